//! Reading fields in turn, and cutting a byte stream into length-prefixed frames.

use crate::WireError;
use bytes::{Buf, Bytes, BytesMut};

/// Takes big-endian fields off the front of a frame.
pub struct Fields(pub Bytes);

impl Fields {
    fn need(&self, field: &'static str, n: usize) -> Result<(), WireError> {
        match n.saturating_sub(self.0.len()) {
            0 => Ok(()),
            missing => Err(WireError::Short { field, missing }),
        }
    }
    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        self.need(field, 1).map(|()| self.0.get_u8())
    }
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.need(field, 2).map(|()| self.0.get_u16())
    }
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.need(field, 4).map(|()| self.0.get_u32())
    }
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.need(field, 8).map(|()| self.0.get_u64())
    }
    /// A finite number of at least 0.
    pub fn amount(&mut self, field: &'static str) -> Result<f32, WireError> {
        let bits = self.u32(field)?;
        let value = f32::from_bits(bits);
        match value.is_finite() && value >= 0.0 {
            true => Ok(value),
            false => {
                Err(WireError::Value { field, found: u64::from(bits), expected: "a finite f32 of 0 or more" })
            }
        }
    }
    pub fn bytes(&mut self, field: &'static str, n: usize) -> Result<Bytes, WireError> {
        self.need(field, n).map(|()| self.0.split_to(n))
    }
    /// Text with a length byte before it.
    pub fn text(&mut self, field: &'static str) -> Result<String, WireError> {
        let n = usize::from(self.u8(field)?);
        String::from_utf8(self.bytes(field, n)?.to_vec()).map_err(|_| WireError::Text { field })
    }
    /// All that is left must be nothing.
    pub fn end(&self, field: &'static str) -> Result<(), WireError> {
        match self.0.len() {
            0 => Ok(()),
            n => Err(WireError::Value { field, found: n as u64, expected: "no bytes after the last field" }),
        }
    }
}

/// Cuts a stream into frames that begin with their length: four bytes, big-endian, not counting themselves.
pub struct Frames {
    held: BytesMut,
    most: usize,
}

impl Frames {
    /// `most` bytes a frame, its length field aside.
    pub fn new(most: usize) -> Self {
        Frames { held: BytesMut::new(), most }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Bytes held that are not yet a whole frame.
    pub fn partial(&self) -> usize {
        self.held.len()
    }

    /// The next whole frame, without its length. After an error the stream can't be followed any further.
    pub fn next_frame(&mut self) -> Result<Option<Bytes>, WireError> {
        let Some(head) = self.held.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > self.most {
            let (found, most) = (length as u64, self.most as u64);
            return Err(WireError::TooLong { field: "frame length", found, most });
        }
        if self.held.len() < 4 + length {
            return Ok(None);
        }
        self.held.advance(4);
        Ok(Some(self.held.split_to(length).freeze()))
    }
}
