//! iSCSI protocol data units (RFC 7143, section 11) and their text keys (section 6). A unit is a 48-byte basic
//! header, optional further headers, and data padded to four bytes; digests are CRC32C (section 13.1).

pub mod field;
mod stream;
mod text_keys;

pub use stream::{encode, Digests, Units};
pub use text_keys::{read_keys, write_keys, TextKey};

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes of a basic header.
const BHS: usize = 48;
/// The tag of no task.
pub const NO_TAG: u32 = 0xffff_ffff;
/// Second byte of many units: the last of its sequence.
pub const FINAL: u8 = 0x80;
/// Second byte of a command: data comes in.
pub const READS: u8 = 0x40;
/// Second byte of a command: data goes out.
pub const WRITES: u8 = 0x20;
/// Second byte of a text or login unit: more text follows.
pub const CONTINUES: u8 = 0x40;
/// Second byte of Data-In: the status is in this unit.
pub const STATUS_HERE: u8 = 0x01;
/// Second byte of a response: more data than was asked for.
pub const OVERFLOW: u8 = 0x04;
/// Second byte of a response: less data than was asked for.
pub const UNDERFLOW: u8 = 0x02;

/// Operation codes (section 11.2.1.2).
pub mod op {
    /// Ping of the initiator.
    pub const NOP_OUT: u8 = 0x00;
    /// SCSI command.
    pub const COMMAND: u8 = 0x01;
    /// Task management request.
    pub const TASK: u8 = 0x02;
    /// Login request.
    pub const LOGIN: u8 = 0x03;
    /// Text request.
    pub const TEXT: u8 = 0x04;
    /// Data of a write.
    pub const DATA_OUT: u8 = 0x05;
    /// Logout request.
    pub const LOGOUT: u8 = 0x06;
    /// Ping of the target.
    pub const NOP_IN: u8 = 0x20;
    /// SCSI response.
    pub const RESPONSE: u8 = 0x21;
    /// Task management response.
    pub const TASK_RESPONSE: u8 = 0x22;
    /// Login response.
    pub const LOGIN_RESPONSE: u8 = 0x23;
    /// Text response.
    pub const TEXT_RESPONSE: u8 = 0x24;
    /// Data of a read.
    pub const DATA_IN: u8 = 0x25;
    /// Logout response.
    pub const LOGOUT_RESPONSE: u8 = 0x26;
    /// Ready to transfer.
    pub const R2T: u8 = 0x31;
    /// The unit was rejected.
    pub const REJECT: u8 = 0x3f;
}

/// One protocol data unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pdu {
    /// The basic header.
    pub head: [u8; BHS],
    /// Further headers as they are, in whole words (section 11.2.2).
    pub further: Bytes,
    /// The data segment.
    pub data: Bytes,
}

/// Type of the further header in which a client that has negotiated it sends a command's deadline.
const DEADLINE_HEADER: u8 = 0x3f;

impl Pdu {
    /// A unit without data.
    pub fn new(opcode: u8, flags: u8) -> Self {
        let mut head = [0; BHS];
        (head[0], head[1]) = (opcode, flags);
        Pdu { head, further: Bytes::new(), data: Bytes::new() }
    }

    /// The operation code.
    pub fn opcode(&self) -> u8 {
        self.head[0] & 0x3f
    }

    /// Whether it is to be delivered at once.
    pub fn immediate(&self) -> bool {
        self.head[0] & 0x40 != 0
    }

    /// The second byte.
    pub fn flags(&self) -> u8 {
        self.head[1]
    }

    /// Whether the second byte has a flag.
    pub fn has(&self, flag: u8) -> bool {
        self.head[1] & flag != 0
    }

    /// The four bytes at `at`, which is at most 44.
    pub fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes([self.head[at], self.head[at + 1], self.head[at + 2], self.head[at + 3]])
    }

    /// The two bytes at `at`, which is at most 46.
    pub fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes([self.head[at], self.head[at + 1]])
    }

    /// Sets the four bytes at `at`.
    pub fn set32(&mut self, at: usize, value: u32) -> &mut Self {
        self.head[at..at + 4].copy_from_slice(&value.to_be_bytes());
        self
    }

    /// Sets the two bytes at `at`.
    pub fn set16(&mut self, at: usize, value: u16) -> &mut Self {
        self.head[at..at + 2].copy_from_slice(&value.to_be_bytes());
        self
    }

    /// Initiator task tag.
    pub fn tag(&self) -> u32 {
        self.u32(16)
    }

    /// The unit's logical unit number in the peripheral or flat addressing of SAM-5, section 4.7.
    pub fn lun(&self) -> Option<u32> {
        let rest = self.head[10..16].iter().all(|b| *b == 0);
        let two = self.u16(8);
        (rest && two >> 14 <= 1).then_some(u32::from(two & 0x3fff))
    }

    /// Sets the logical unit number.
    pub fn set_lun(&mut self, lun: u32) -> &mut Self {
        let two = lun as u16 & 0x3fff;
        self.set16(8, if two < 256 { two } else { 0x4000 | two })
    }

    /// Microseconds in which the command's client wants its answer, in a further header of our own: its length, 9, its
    /// type, a reserved byte, and the number.
    pub fn set_deadline(&mut self, us: u64) -> &mut Self {
        let mut out = BytesMut::with_capacity(12);
        out.put_u16(9);
        out.put_u8(DEADLINE_HEADER);
        out.put_u8(0);
        out.put_u64(us);
        self.further = out.freeze();
        self
    }

    /// Microseconds in which the command's client wants its answer.
    pub fn deadline(&self) -> Option<u64> {
        let mut rest = self.further.clone();
        while rest.len() >= 4 {
            let (length, kind) = (usize::from(rest.get_u16()), rest.get_u8());
            if kind == DEADLINE_HEADER && length == 9 && rest.len() >= 9 {
                rest.advance(1);
                return Some(rest.get_u64());
            }
            // Each header is padded to whole words, its length and type with it.
            let whole = (length + 3).next_multiple_of(4) - 3;
            rest.advance(whole.min(rest.len()));
        }
        None
    }

    /// The command block.
    pub fn cdb(&self) -> [u8; 16] {
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&self.head[32..]);
        cdb
    }
}
