//! SCSI command blocks that the target serves (SPC-4, SBC-3), and the bytes of its answers.

use bytes::{BufMut, Bytes, BytesMut};

/// Status codes of SAM-5, section 5.3.1.
pub mod status {
    pub const GOOD: u8 = 0x00;
    pub const CHECK_CONDITION: u8 = 0x02;
    pub const BUSY: u8 = 0x08;
    pub const TASK_ABORTED: u8 = 0x40;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    TestUnitReady,
    Inquiry { page: Option<u8>, most: u32 },
    ReportLuns { most: u32 },
    ReadCapacity10,
    ReadCapacity16 { most: u32 },
    ModeSense { long: bool, most: u32 },
    RequestSense { most: u32 },
    Synchronize,
    Read { block: u64, blocks: u32 },
    Write { block: u64, blocks: u32 },
}

/// Sense key, additional code and its qualifier (SPC-4, section 4.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense(pub u8, pub u8, pub u8);

impl Sense {
    pub const UNKNOWN_COMMAND: Sense = Sense(0x05, 0x20, 0x00);
    pub const INVALID_FIELD: Sense = Sense(0x05, 0x24, 0x00);
    pub const OUT_OF_RANGE: Sense = Sense(0x05, 0x21, 0x00);
    pub const NO_SUCH_UNIT: Sense = Sense(0x05, 0x25, 0x00);
    /// The request was failed: logical unit communication time-out, no promise about its effect.
    pub const FAILED: Sense = Sense(0x0b, 0x08, 0x01);
    pub const SHORT_DATA: Sense = Sense(0x0b, 0x0c, 0x0d);

    /// Fixed format (SPC-4, section 4.5.3) behind its two-byte length, as RFC 7143 section 11.4.7.2 wants it.
    pub fn to_segment(self) -> Bytes {
        let mut out = BytesMut::with_capacity(20);
        out.put_u16(18);
        out.put_slice(&self.fixed());
        out.freeze()
    }

    pub fn fixed(self) -> [u8; 18] {
        let mut bytes = [0; 18];
        (bytes[0], bytes[2], bytes[7]) = (0x70, self.0, 10);
        (bytes[12], bytes[13]) = (self.1, self.2);
        bytes
    }

    pub fn from_segment(data: &[u8]) -> Option<Sense> {
        let sense = data.get(2..)?;
        Some(Sense(sense.get(2)? & 0x0f, *sense.get(12)?, *sense.get(13)?))
    }
}

fn be(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, b| sum << 8 | u64::from(*b))
}

impl Command {
    pub fn parse(c: &[u8; 16]) -> Result<Command, Sense> {
        let max16 = be(&c[3..5]) as u32;
        let max32 = be(&c[10..14]) as u32;
        let range10 = (be(&c[2..6]), be(&c[7..9]) as u32);
        let range16 = (be(&c[2..10]), max32);
        Ok(match c[0] {
            0x00 => Command::TestUnitReady,
            0x03 => Command::RequestSense { most: u32::from(c[4]) },
            0x12 if c[1] & 1 == 0 && c[2] != 0 => return Err(Sense::INVALID_FIELD),
            0x12 => Command::Inquiry { page: (c[1] & 1 != 0).then_some(c[2]), most: max16 },
            0x1a => Command::ModeSense { long: false, most: u32::from(c[4]) },
            0x5a => Command::ModeSense { long: true, most: range10.1 },
            0x25 => Command::ReadCapacity10,
            0x9e if c[1] & 0x1f == 0x10 => Command::ReadCapacity16 { most: max32 },
            0xa0 => Command::ReportLuns { most: be(&c[6..10]) as u32 },
            0x35 | 0x91 => Command::Synchronize,
            // Protection information is not kept, so a command that asks for it can't be served.
            0x28 | 0x88 | 0x2a | 0x8a if c[1] >> 5 != 0 => return Err(Sense::INVALID_FIELD),
            0x28 => Command::Read { block: range10.0, blocks: range10.1 },
            0x88 => Command::Read { block: range16.0, blocks: range16.1 },
            0x2a => Command::Write { block: range10.0, blocks: range10.1 },
            0x8a => Command::Write { block: range16.0, blocks: range16.1 },
            _ => return Err(Sense::UNKNOWN_COMMAND),
        })
    }

    /// The command block of a read or write in its 16-byte form, or of the simple commands.
    pub fn to_cdb(self) -> [u8; 16] {
        let mut c = [0; 16];
        match self {
            Command::TestUnitReady => {}
            Command::Inquiry { page, most } => {
                (c[0], c[1], c[2]) = (0x12, u8::from(page.is_some()), page.unwrap_or(0));
                c[3..5].copy_from_slice(&(most as u16).to_be_bytes());
            }
            Command::ReportLuns { most } => {
                c[0] = 0xa0;
                c[6..10].copy_from_slice(&most.to_be_bytes());
            }
            Command::ReadCapacity10 => c[0] = 0x25,
            Command::ReadCapacity16 { most } => {
                (c[0], c[1]) = (0x9e, 0x10);
                c[10..14].copy_from_slice(&most.to_be_bytes());
            }
            Command::ModeSense { long, most } => {
                c[0] = if long { 0x5a } else { 0x1a };
                match long {
                    true => c[7..9].copy_from_slice(&(most as u16).to_be_bytes()),
                    false => c[4] = most as u8,
                }
            }
            Command::RequestSense { most } => (c[0], c[4]) = (0x03, most as u8),
            Command::Synchronize => c[0] = 0x91,
            Command::Read { block, blocks } | Command::Write { block, blocks } => {
                c[0] = if matches!(self, Command::Read { .. }) { 0x88 } else { 0x8a };
                c[2..10].copy_from_slice(&block.to_be_bytes());
                c[10..14].copy_from_slice(&blocks.to_be_bytes());
            }
        }
        c
    }
}

/// What a logical unit is, as its answers tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unit {
    pub lun: u32,
    pub name: String,
    pub blocks: u64,
    pub block_bytes: u32,
    /// Blocks in one request, at most.
    pub max_blocks: u32,
}

/// Answer to INQUIRY: standard data, or one of the pages 00, 80, 83 and B0.
pub fn inquiry(unit: Option<&Unit>, page: Option<u8>) -> Result<Bytes, Sense> {
    let mut out = BytesMut::new();
    // Peripheral qualifier 3 and type 1F: no unit there (SPC-4, section 6.6.2).
    let kind = if unit.is_some() { 0x00 } else { 0x7f };
    let name = unit.map_or("", |u| u.name.as_str());
    let Some(page) = page else {
        out.put_slice(&[kind, 0, 0x06, 0x12, 31, 0, 0, 0x02]);
        out.put_slice(&padded("TACKMAST", 8));
        out.put_slice(&padded("STORAGE GATEWAY", 16));
        out.put_slice(b"0001");
        return Ok(out.freeze());
    };
    let body: Bytes = match page {
        0x00 => Bytes::from_static(&[0x00, 0x80, 0x83, 0xb0]),
        0x80 => Bytes::copy_from_slice(name.as_bytes()),
        0x83 => {
            // One designator: T10 vendor identification, ASCII, of the logical unit.
            let id = format!("TACKMAST{name}");
            let id = &id.as_bytes()[..id.len().min(255)];
            let mut d = BytesMut::from(&[0x02, 0x01, 0x00, id.len() as u8][..]);
            d.put_slice(id);
            d.freeze()
        }
        0xb0 => {
            let mut limits = [0u8; 60];
            let most = unit.map_or(0, |u| u.max_blocks).to_be_bytes();
            limits[4..8].copy_from_slice(&most);
            limits[8..12].copy_from_slice(&most);
            Bytes::copy_from_slice(&limits)
        }
        _ => return Err(Sense::INVALID_FIELD),
    };
    out.put_slice(&[kind, page]);
    out.put_u16(body.len() as u16);
    out.put_slice(&body);
    Ok(out.freeze())
}

fn padded(text: &str, n: usize) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    bytes.resize(n, b' ');
    bytes
}

pub fn report_luns(units: &[Unit]) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u32(units.len() as u32 * 8);
    out.put_u32(0);
    for u in units {
        let two = u.lun as u16 & 0x3fff;
        out.put_u16(if two < 256 { two } else { 0x4000 | two });
        out.put_bytes(0, 6);
    }
    out.freeze()
}

pub fn capacity10(unit: &Unit) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u32(u32::try_from(unit.blocks.saturating_sub(1)).unwrap_or(u32::MAX));
    out.put_u32(unit.block_bytes);
    out.freeze()
}

pub fn capacity16(unit: &Unit) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u64(unit.blocks.saturating_sub(1));
    out.put_u32(unit.block_bytes);
    out.put_bytes(0, 20);
    out.freeze()
}

/// Mode parameter header alone: no pages are kept, nothing is write-protected.
pub fn mode_sense(long: bool) -> Bytes {
    Bytes::from_static(if long { &[0, 6, 0, 0, 0, 0, 0, 0] } else { &[3, 0, 0, 0] })
}

/// Retry delay of SAM-5, section 5.3.2, in a status qualifier: steps of 100 ms, rounded up, scope 0.
pub fn retry_delay(us: u64) -> u16 {
    us.div_ceil(100_000).min(0x3fef) as u16
}
