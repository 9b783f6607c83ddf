//! The bytes of a node, in memory, by sectors.

use bytes::{Bytes, BytesMut};
use std::collections::HashMap;

const SECTOR: u64 = 512;

#[derive(Default)]
pub struct Store(HashMap<(u32, u64), Box<[u8; SECTOR as usize]>>);

impl Store {
    pub fn write(&mut self, volume: u32, offset: u64, data: &[u8]) {
        let mut at = offset;
        let mut rest = data;
        while !rest.is_empty() {
            let inside = (at % SECTOR) as usize;
            let n = rest.len().min(SECTOR as usize - inside);
            let sector =
                self.0.entry((volume, at / SECTOR)).or_insert_with(|| Box::new([0; SECTOR as usize]));
            sector[inside..inside + n].copy_from_slice(&rest[..n]);
            rest = &rest[n..];
            at += n as u64;
        }
    }

    /// What was never written is zeros.
    pub fn read(&self, volume: u32, offset: u64, length: u32) -> Bytes {
        let mut out = BytesMut::with_capacity(length as usize);
        let (mut at, end) = (offset, offset + u64::from(length));
        while at < end {
            let inside = (at % SECTOR) as usize;
            let n = (end - at).min(SECTOR - at % SECTOR) as usize;
            match self.0.get(&(volume, at / SECTOR)) {
                Some(s) => out.extend_from_slice(&s[inside..inside + n]),
                None => out.resize(out.len() + n, 0),
            }
            at += n as u64;
        }
        out.freeze()
    }
}
