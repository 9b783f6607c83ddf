//! Command blocks that the target serves.

use super::Sense;

/// A command block that the target serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// TEST UNIT READY.
    TestUnitReady,
    /// INQUIRY.
    Inquiry {
        /// Page of vital product data; none: standard data.
        page: Option<u8>,
        /// Bytes of the response, at most.
        allocation_length: u32,
    },
    /// REPORT LUNS.
    ReportLuns {
        /// Bytes of the response, at most.
        allocation_length: u32,
    },
    /// READ CAPACITY (10).
    ReadCapacity10,
    /// READ CAPACITY (16).
    ReadCapacity16 {
        /// Bytes of the response, at most.
        allocation_length: u32,
    },
    /// MODE SENSE.
    ModeSense {
        /// Whether it is the form of ten bytes, else that of six.
        long: bool,
        /// Bytes of the response, at most.
        allocation_length: u32,
    },
    /// REQUEST SENSE.
    RequestSense {
        /// Bytes of the response, at most.
        allocation_length: u32,
    },
    /// SYNCHRONIZE CACHE.
    Synchronize,
    /// READ.
    Read {
        /// First block.
        block: u64,
        /// Number of blocks.
        blocks: u32,
    },
    /// WRITE.
    Write {
        /// First block.
        block: u64,
        /// Number of blocks.
        blocks: u32,
    },
}

impl Command {
    /// Reads a command block; one that is not served yields the sense data to answer with.
    pub fn parse(cdb: &[u8; 16]) -> Result<Command, Sense> {
        let max16 = big_endian(&cdb[3..5]) as u32;
        let max32 = big_endian(&cdb[10..14]) as u32;
        let range10 = (big_endian(&cdb[2..6]), big_endian(&cdb[7..9]) as u32);
        let range16 = (big_endian(&cdb[2..10]), max32);
        Ok(match cdb[0] {
            0x00 => Command::TestUnitReady,
            0x03 => Command::RequestSense { allocation_length: u32::from(cdb[4]) },
            0x12 if cdb[1] & 1 == 0 && cdb[2] != 0 => return Err(Sense::INVALID_FIELD),
            0x12 => Command::Inquiry { page: (cdb[1] & 1 != 0).then_some(cdb[2]), allocation_length: max16 },
            0x1a => Command::ModeSense { long: false, allocation_length: u32::from(cdb[4]) },
            0x5a => Command::ModeSense { long: true, allocation_length: range10.1 },
            0x25 => Command::ReadCapacity10,
            0x9e if cdb[1] & 0x1f == 0x10 => Command::ReadCapacity16 { allocation_length: max32 },
            0xa0 => Command::ReportLuns { allocation_length: big_endian(&cdb[6..10]) as u32 },
            0x35 | 0x91 => Command::Synchronize,
            // Protection information is not kept, so a command that asks for it can't be served.
            0x28 | 0x88 | 0x2a | 0x8a if cdb[1] >> 5 != 0 => return Err(Sense::INVALID_FIELD),
            0x28 => Command::Read { block: range10.0, blocks: range10.1 },
            0x88 => Command::Read { block: range16.0, blocks: range16.1 },
            0x2a => Command::Write { block: range10.0, blocks: range10.1 },
            0x8a => Command::Write { block: range16.0, blocks: range16.1 },
            _ => return Err(Sense::UNKNOWN_COMMAND),
        })
    }

    /// The command block of a read or write in its 16-byte form, or of the simple commands.
    pub fn to_cdb(self) -> [u8; 16] {
        let mut cdb = [0; 16];
        match self {
            Command::TestUnitReady => {}
            Command::Inquiry { page, allocation_length } => {
                (cdb[0], cdb[1], cdb[2]) = (0x12, u8::from(page.is_some()), page.unwrap_or(0));
                cdb[3..5].copy_from_slice(&(allocation_length as u16).to_be_bytes());
            }
            Command::ReportLuns { allocation_length } => {
                cdb[0] = 0xa0;
                cdb[6..10].copy_from_slice(&allocation_length.to_be_bytes());
            }
            Command::ReadCapacity10 => cdb[0] = 0x25,
            Command::ReadCapacity16 { allocation_length } => {
                (cdb[0], cdb[1]) = (0x9e, 0x10);
                cdb[10..14].copy_from_slice(&allocation_length.to_be_bytes());
            }
            Command::ModeSense { long, allocation_length } => {
                cdb[0] = if long { 0x5a } else { 0x1a };
                match long {
                    true => cdb[7..9].copy_from_slice(&(allocation_length as u16).to_be_bytes()),
                    false => cdb[4] = allocation_length as u8,
                }
            }
            Command::RequestSense { allocation_length } => (cdb[0], cdb[4]) = (0x03, allocation_length as u8),
            Command::Synchronize => cdb[0] = 0x91,
            Command::Read { block, blocks } | Command::Write { block, blocks } => {
                cdb[0] = if matches!(self, Command::Read { .. }) { 0x88 } else { 0x8a };
                cdb[2..10].copy_from_slice(&block.to_be_bytes());
                cdb[10..14].copy_from_slice(&blocks.to_be_bytes());
            }
        }
        cdb
    }
}

/// The number in up to eight big-endian bytes.
fn big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, b| sum << 8 | u64::from(*b))
}
