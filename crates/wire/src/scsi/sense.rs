//! Sense data: why a command failed.

use bytes::{BufMut, Bytes, BytesMut};

/// Sense data: sense key, additional code and its qualifier (SPC-4, section 4.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense(pub u8, pub u8, pub u8);

impl Sense {
    /// Invalid command operation code.
    pub(crate) const UNKNOWN_COMMAND: Sense = Sense(0x05, 0x20, 0x00);
    /// Invalid field in the command block.
    pub const INVALID_FIELD: Sense = Sense(0x05, 0x24, 0x00);
    /// Logical block address out of range.
    pub const OUT_OF_RANGE: Sense = Sense(0x05, 0x21, 0x00);
    /// Logical unit not supported.
    pub const NO_SUCH_UNIT: Sense = Sense(0x05, 0x25, 0x00);
    /// The request was failed: logical unit communication time-out, no promise about its effect.
    pub const FAILED: Sense = Sense(0x0b, 0x08, 0x01);
    /// Write error: not enough unsolicited data.
    pub const SHORT_DATA: Sense = Sense(0x0b, 0x0c, 0x0d);

    /// Fixed format behind its two-byte length, as RFC 7143 section 11.4.7.2 wants it.
    pub fn to_segment(self) -> Bytes {
        let mut out = BytesMut::with_capacity(20);
        out.put_u16(18);
        out.put_slice(&self.fixed());
        out.freeze()
    }

    /// Fixed format (SPC-4, section 4.5.3).
    pub fn fixed(self) -> [u8; 18] {
        let mut bytes = [0; 18];
        (bytes[0], bytes[2], bytes[7]) = (0x70, self.0, 10);
        (bytes[12], bytes[13]) = (self.1, self.2);
        bytes
    }

    /// Reads what `to_segment` yields.
    pub fn from_segment(data: &[u8]) -> Option<Sense> {
        let sense = data.get(2..)?;
        Some(Sense(sense.get(2)? & 0x0f, *sense.get(12)?, *sense.get(13)?))
    }
}
