//! Reading fields in turn, and cutting a byte stream into length-prefixed frames.

use crate::WireError;
use bytes::{Buf, Bytes, BytesMut};

/// Takes big-endian fields off the front of a frame.
pub struct Fields(pub Bytes);

impl Fields {
    fn require(&self, field: &'static str, length: usize) -> Result<(), WireError> {
        match length.saturating_sub(self.0.len()) {
            0 => Ok(()),
            missing => Err(WireError::Short { field, missing }),
        }
    }
    /// The next byte; `field` is what an error calls it.
    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        self.require(field, 1).map(|()| self.0.get_u8())
    }
    /// The next two bytes.
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.require(field, 2).map(|()| self.0.get_u16())
    }
    /// The next four bytes.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.require(field, 4).map(|()| self.0.get_u32())
    }
    /// The next eight bytes.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.require(field, 8).map(|()| self.0.get_u64())
    }
    /// A finite number of at least 0.
    pub fn amount(&mut self, field: &'static str) -> Result<f32, WireError> {
        let bits = self.u32(field)?;
        let value = f32::from_bits(bits);
        match value.is_finite() && value >= 0.0 {
            true => Ok(value),
            false => Err(WireError::unexpected(field, bits, "a finite f32 of 0 or more")),
        }
    }
    /// A byte that is 0 or 1.
    pub(crate) fn flag(&mut self, field: &'static str) -> Result<bool, WireError> {
        match self.u8(field)? {
            0 => Ok(false),
            1 => Ok(true),
            other => Err(WireError::unexpected(field, other, "0 or 1")),
        }
    }
    /// The next bytes, so many.
    pub fn bytes(&mut self, field: &'static str, length: usize) -> Result<Bytes, WireError> {
        self.require(field, length).map(|()| self.0.split_to(length))
    }
    /// Text with a length byte before it.
    pub fn text(&mut self, field: &'static str) -> Result<String, WireError> {
        let length = usize::from(self.u8(field)?);
        String::from_utf8(self.bytes(field, length)?.to_vec()).map_err(|_| WireError::Text { field })
    }
    /// Checks that no bytes are left.
    pub fn end(&self, field: &'static str) -> Result<(), WireError> {
        match self.0.len() {
            0 => Ok(()),
            left => Err(WireError::unexpected(field, left as u64, "no bytes after the last field")),
        }
    }
}

/// Checks a length against its bound; `field` is what an error calls it.
pub(crate) fn check_len(field: &'static str, length: usize, max: usize) -> Result<(), WireError> {
    if length <= max {
        return Ok(());
    }
    Err(WireError::TooLong { field, found: length as u64, max: max as u64 })
}

/// Cuts a stream into frames that begin with their length: four bytes, big-endian, not counting themselves.
pub struct Frames {
    received: BytesMut,
    max: usize,
}

impl Frames {
    /// At most `max` bytes a frame, its length field aside.
    pub fn new(max: usize) -> Self {
        Frames { received: BytesMut::new(), max }
    }

    /// Takes received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// Bytes received that are not yet a whole frame.
    pub fn partial(&self) -> usize {
        self.received.len()
    }

    /// The next whole frame, without its length. After an error no further frame can be found.
    pub(crate) fn next_frame(&mut self) -> Result<Option<Bytes>, WireError> {
        let Some(head) = self.received.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        check_len("frame length", length, self.max)?;
        if self.received.len() < 4 + length {
            return Ok(None);
        }
        self.received.advance(4);
        Ok(Some(self.received.split_to(length).freeze()))
    }
}
