//! The bytes of a node, in memory, by sectors.

use bytes::{Bytes, BytesMut};
use std::collections::HashMap;

/// Bytes of a sector.
const SECTOR_BYTES: u64 = 512;

/// A sector of a volume.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct SectorId {
    volume: u32,
    number: u64,
}

/// The bytes of all volumes that a node has.
#[derive(Default)]
pub struct Store(HashMap<SectorId, Box<[u8; SECTOR_BYTES as usize]>>);

impl Store {
    /// Writes bytes at an offset from the volume's start.
    pub fn write(&mut self, volume: u32, offset: u64, data: &[u8]) {
        let mut position = offset;
        let mut rest = data;
        while !rest.is_empty() {
            let within = (position % SECTOR_BYTES) as usize;
            let length = rest.len().min(SECTOR_BYTES as usize - within);
            let id = SectorId { volume, number: position / SECTOR_BYTES };
            let sector = self.0.entry(id).or_insert_with(|| Box::new([0; SECTOR_BYTES as usize]));
            sector[within..within + length].copy_from_slice(&rest[..length]);
            rest = &rest[length..];
            position += length as u64;
        }
    }

    /// Reads bytes at an offset from the volume's start. Bytes that were never written are zero.
    pub fn read(&self, volume: u32, offset: u64, length: u32) -> Bytes {
        let mut data = BytesMut::with_capacity(length as usize);
        let end = offset + u64::from(length);
        let mut position = offset;
        while position < end {
            let within = (position % SECTOR_BYTES) as usize;
            let part = (end - position).min(SECTOR_BYTES - within as u64) as usize;
            match self.0.get(&SectorId { volume, number: position / SECTOR_BYTES }) {
                Some(sector) => data.extend_from_slice(&sector[within..within + part]),
                None => data.resize(data.len() + part, 0),
            }
            position += part as u64;
        }
        data.freeze()
    }
}
