//! The bytes of answers to commands.

use super::Sense;
use bytes::{BufMut, Bytes, BytesMut};

/// What a logical unit reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unit {
    /// Logical unit number.
    pub lun: u32,
    /// Name of the volume.
    pub name: String,
    /// Size in blocks.
    pub blocks: u64,
    /// Bytes of a block.
    pub block_bytes: u32,
    /// Blocks in one request, at most.
    pub max_blocks: u32,
}

/// Answer to INQUIRY: standard data, or one of the pages 00, 80, 83 and B0.
pub fn inquiry(unit: Option<&Unit>, page: Option<u8>) -> Result<Bytes, Sense> {
    // Peripheral qualifier 3 and type 1F: no unit there (SPC-4, section 6.6.2).
    let peripheral = if unit.is_some() { 0x00 } else { 0x7f };
    match page {
        None => Ok(standard_inquiry(peripheral)),
        Some(page) => Ok(inquiry_page(peripheral, page, &page_body(unit, page)?)),
    }
}

fn standard_inquiry(peripheral: u8) -> Bytes {
    let mut out = BytesMut::new();
    out.put_slice(&[peripheral, 0, 0x06, 0x12, 31, 0, 0, 0x02]);
    out.put_slice(&padded("TACKMAST", 8));
    out.put_slice(&padded("STORAGE GATEWAY", 16));
    out.put_slice(b"0001");
    out.freeze()
}

fn inquiry_page(peripheral: u8, page: u8, body: &[u8]) -> Bytes {
    let mut out = BytesMut::new();
    out.put_slice(&[peripheral, page]);
    out.put_u16(body.len() as u16);
    out.put_slice(body);
    out.freeze()
}

fn page_body(unit: Option<&Unit>, page: u8) -> Result<Bytes, Sense> {
    let name = unit.map_or("", |unit| unit.name.as_str());
    match page {
        0x00 => Ok(Bytes::from_static(&[0x00, 0x80, 0x83, 0xb0])),
        0x80 => Ok(Bytes::copy_from_slice(name.as_bytes())),
        0x83 => Ok(device_identification(name)),
        0xb0 => Ok(block_limits(unit.map_or(0, |unit| unit.max_blocks))),
        _ => Err(Sense::INVALID_FIELD),
    }
}

/// One designator: T10 vendor identification, ASCII, of the logical unit.
fn device_identification(name: &str) -> Bytes {
    let id = format!("TACKMAST{name}");
    let id = &id.as_bytes()[..id.len().min(255)];
    let mut out = BytesMut::from(&[0x02, 0x01, 0x00, id.len() as u8][..]);
    out.put_slice(id);
    out.freeze()
}

/// Longest and optimal request are the same.
fn block_limits(max_blocks: u32) -> Bytes {
    let mut limits = [0u8; 60];
    limits[4..8].copy_from_slice(&max_blocks.to_be_bytes());
    limits[8..12].copy_from_slice(&max_blocks.to_be_bytes());
    Bytes::copy_from_slice(&limits)
}

/// The text, filled up with spaces.
fn padded(text: &str, length: usize) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    bytes.resize(length, b' ');
    bytes
}

/// Answer to REPORT LUNS.
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

/// Answer to READ CAPACITY (10).
pub fn capacity10(unit: &Unit) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u32(u32::try_from(unit.blocks.saturating_sub(1)).unwrap_or(u32::MAX));
    out.put_u32(unit.block_bytes);
    out.freeze()
}

/// Answer to READ CAPACITY (16).
pub fn capacity16(unit: &Unit) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u64(unit.blocks.saturating_sub(1));
    out.put_u32(unit.block_bytes);
    out.put_bytes(0, 20);
    out.freeze()
}

/// Answer to MODE SENSE (6): the mode parameter header alone; no pages are kept, nothing is write-protected.
pub fn mode_sense6() -> Bytes {
    Bytes::from_static(&[3, 0, 0, 0])
}

/// Answer to MODE SENSE (10), as that to MODE SENSE (6).
pub fn mode_sense10() -> Bytes {
    Bytes::from_static(&[0, 6, 0, 0, 0, 0, 0, 0])
}

/// Retry delay of SAM-5, section 5.3.2, in a status qualifier: steps of 100 ms, rounded up, scope 0.
pub fn retry_delay(us: u64) -> u16 {
    us.div_ceil(100_000).min(0x3fef) as u16
}
