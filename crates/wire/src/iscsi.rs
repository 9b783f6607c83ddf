//! iSCSI protocol data units (RFC 7143, section 11) and their text keys (section 6). A unit is a 48-byte basic
//! header, optional further headers, and data padded to four bytes; digests are CRC32C (section 13.1).

use crate::WireError;
use bytes::{Buf, BufMut, Bytes, BytesMut};

pub const BHS: usize = 48;
pub const NO_TAG: u32 = 0xffff_ffff;
pub const FINAL: u8 = 0x80;
/// Second byte of a command: data comes in, or goes out.
pub const READS: u8 = 0x40;
pub const WRITES: u8 = 0x20;
/// Second byte of a text or login unit: more text follows.
pub const CONTINUES: u8 = 0x40;
/// Second byte of Data-In: the status is in this unit.
pub const STATUS_HERE: u8 = 0x01;
pub const OVERFLOW: u8 = 0x04;
pub const UNDERFLOW: u8 = 0x02;

macro_rules! opcodes {
    ($($name:ident = $value:expr),* $(,)?) => {
        /// Operation codes (section 11.2.1.2).
        pub mod op { $(pub const $name: u8 = $value;)* }
    };
}
opcodes! {
    NOP_OUT = 0x00, COMMAND = 0x01, TASK = 0x02, LOGIN = 0x03, TEXT = 0x04, DATA_OUT = 0x05, LOGOUT = 0x06,
    NOP_IN = 0x20, RESPONSE = 0x21, TASK_RESPONSE = 0x22, LOGIN_RESPONSE = 0x23, TEXT_RESPONSE = 0x24,
    DATA_IN = 0x25, LOGOUT_RESPONSE = 0x26, R2T = 0x31, REJECT = 0x3f,
}

/// One protocol data unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pdu {
    pub head: [u8; BHS],
    /// Further headers as they are, in whole words (section 11.2.2).
    pub further: Bytes,
    pub data: Bytes,
}

/// Type of the further header in which a client that has agreed on it tells a command's deadline.
const DEADLINE_HEADER: u8 = 0x3f;

impl Pdu {
    pub fn new(opcode: u8, flags: u8) -> Self {
        let mut head = [0; BHS];
        (head[0], head[1]) = (opcode, flags);
        Pdu { head, further: Bytes::new(), data: Bytes::new() }
    }
    pub fn opcode(&self) -> u8 {
        self.head[0] & 0x3f
    }
    pub fn immediate(&self) -> bool {
        self.head[0] & 0x40 != 0
    }
    pub fn flags(&self) -> u8 {
        self.head[1]
    }
    pub fn has(&self, flag: u8) -> bool {
        self.head[1] & flag != 0
    }
    /// The four bytes at `at`, which is at most 44.
    pub fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes([self.head[at], self.head[at + 1], self.head[at + 2], self.head[at + 3]])
    }
    pub fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes([self.head[at], self.head[at + 1]])
    }
    pub fn set32(&mut self, at: usize, value: u32) -> &mut Self {
        self.head[at..at + 4].copy_from_slice(&value.to_be_bytes());
        self
    }
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
    pub fn cdb(&self) -> [u8; 16] {
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&self.head[32..]);
        cdb
    }
}

/// Which digests follow the headers and the data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    pub header: bool,
    pub data: bool,
}

/// Appends the unit with its lengths, padding and digests.
pub fn encode(pdu: &Pdu, digests: Digests, out: &mut BytesMut) {
    let mut head = pdu.head;
    head[4] = (pdu.further.len() / 4) as u8;
    head[5..8].copy_from_slice(&(pdu.data.len() as u32).to_be_bytes()[1..]);
    let start = out.len();
    out.put_slice(&head);
    out.put_slice(&pdu.further);
    if digests.header {
        let sum = crc32c::crc32c(&out[start..]);
        out.put_u32_le(sum);
    }
    if !pdu.data.is_empty() {
        let start = out.len();
        out.put_slice(&pdu.data);
        out.put_bytes(0, padding(pdu.data.len()));
        if digests.data {
            let sum = crc32c::crc32c(&out[start..]);
            out.put_u32_le(sum);
        }
    }
}

fn padding(n: usize) -> usize {
    n.wrapping_neg() & 3
}

/// Cuts a byte stream into units. `max_data` bounds the data of one; further headers are bounded by their length's byte.
pub struct Units {
    held: BytesMut,
    max_data: usize,
    pub digests: Digests,
}

impl Units {
    pub fn new(max_data: usize) -> Self {
        Units { held: BytesMut::new(), max_data, digests: Digests::default() }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    pub fn partial(&self) -> usize {
        self.held.len()
    }

    /// The next whole unit. After an error the stream can't be followed any further.
    pub fn next_unit(&mut self) -> Result<Option<Pdu>, WireError> {
        let Some(head) = self.held.first_chunk::<BHS>().copied() else { return Ok(None) };
        let further = usize::from(head[4]) * 4;
        let data = usize::from(head[5]) << 16 | usize::from(head[6]) << 8 | usize::from(head[7]);
        if data > self.max_data {
            let (found, most) = (data as u64, self.max_data as u64);
            return Err(WireError::TooLong { field: "data segment length", found, most });
        }
        let headers = BHS + further;
        let head_sum = if self.digests.header { 4 } else { 0 };
        let padded = data + padding(data);
        let data_sum = if self.digests.data && data > 0 { 4 } else { 0 };
        if self.held.len() < headers + head_sum + padded + data_sum {
            return Ok(None);
        }
        let heads = self.held.split_to(headers);
        if self.digests.header {
            same_digest("header digest", self.held.get_u32_le(), &heads)?;
        }
        let mut body = self.held.split_to(padded);
        if data_sum > 0 {
            same_digest("data digest", self.held.get_u32_le(), &body)?;
        }
        body.truncate(data);
        let further = heads.freeze().slice(BHS..);
        Ok(Some(Pdu { head, further, data: body.freeze() }))
    }
}

fn same_digest(field: &'static str, found: u32, bytes: &[u8]) -> Result<(), WireError> {
    match crc32c::crc32c(bytes) {
        sum if sum == found => Ok(()),
        expected => Err(WireError::Digest { field, found, expected }),
    }
}

/// Reads `key=value` pairs, each ended by a zero byte (section 6.1).
pub fn read_keys(data: &[u8]) -> Result<Vec<(String, String)>, WireError> {
    let text = std::str::from_utf8(data).map_err(|_| WireError::Text { field: "text keys" })?;
    let pairs = text.split('\0').filter(|pair| !pair.is_empty());
    pairs
        .map(|pair| match pair.split_once('=') {
            Some((key, value)) if !key.is_empty() => Ok((key.to_owned(), value.to_owned())),
            _ => {
                let found = pair.len() as u64;
                Err(WireError::Value { field: "text key", found, expected: "key=value" })
            }
        })
        .collect()
}

pub fn write_keys<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Bytes {
    let mut out = BytesMut::new();
    for (key, value) in pairs {
        out.put_slice(key.as_bytes());
        out.put_u8(b'=');
        out.put_slice(value.as_bytes());
        out.put_u8(0);
    }
    out.freeze()
}
