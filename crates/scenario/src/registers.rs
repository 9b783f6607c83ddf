//! What a read of a block may return. Each block is a register: a write sets it to a version, and may be done, may
//! have run or not, or surely not have run. A plain reference, checked against every byte that comes back.

use std::collections::HashMap;

const STAMP: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Open,
    Done(u64),
    /// It may have run, or may still run: nobody was promised anything.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Write {
    version: u64,
    start: u64,
    end: End,
}

/// The blocks of one volume that one writer has for itself.
pub struct Registers {
    owner: u64,
    block_bytes: usize,
    blocks: HashMap<u64, Vec<Write>>,
    pub checked: u64,
}

impl Registers {
    pub fn new(owner: u64, block_bytes: usize) -> Self {
        Registers { owner, block_bytes, blocks: HashMap::new(), checked: 0 }
    }

    fn stamp(&self, block: u64, version: u64) -> [u8; STAMP] {
        let mut s = [0; STAMP];
        if version > 0 {
            s[..8].copy_from_slice(&(block ^ self.owner << 40).to_be_bytes());
            s[8..].copy_from_slice(&version.to_be_bytes());
        }
        s
    }

    /// The bytes of a write, and note that it begins.
    pub fn write(&mut self, now: u64, block: u64, blocks: u32, version: u64) -> Vec<u8> {
        let mut data = Vec::with_capacity(blocks as usize * self.block_bytes);
        for b in block..block + u64::from(blocks) {
            let stamp = self.stamp(b, version);
            (0..self.block_bytes / STAMP).for_each(|_| data.extend_from_slice(&stamp));
            let writes = self
                .blocks
                .entry(b)
                .or_insert_with(|| vec![Write { version: 0, start: 0, end: End::Done(0) }]);
            writes.push(Write { version, start: now, end: End::Open });
        }
        data
    }

    /// How a write ended: done, surely not run, or unknown.
    pub fn wrote(&mut self, now: u64, block: u64, blocks: u32, version: u64, ran: Option<bool>) {
        for b in block..block + u64::from(blocks) {
            let Some(writes) = self.blocks.get_mut(&b) else { continue };
            match ran {
                Some(false) => writes.retain(|w| w.version != version),
                Some(true) => {
                    writes.iter_mut().filter(|w| w.version == version).for_each(|w| w.end = End::Done(now));
                }
                None => writes.iter_mut().filter(|w| w.version == version).for_each(|w| w.end = End::Unknown),
            }
        }
    }

    /// Whether a read that began at `start` and has ended now may have returned these bytes.
    pub fn read(&mut self, start: u64, now: u64, block: u64, data: &[u8]) -> Result<(), String> {
        for (i, bytes) in data.chunks(self.block_bytes).enumerate() {
            let b = block + i as u64;
            let mut version = [0; 8];
            version.copy_from_slice(&bytes[8..STAMP]);
            let version = u64::from_be_bytes(version);
            let stamp = self.stamp(b, version);
            if bytes.chunks(STAMP).any(|c| c != stamp) {
                return Err(format!("block {b}: bytes that nobody wrote there, or a mix"));
            }
            let Some(writes) = self.blocks.get_mut(&b) else {
                match version {
                    0 => continue,
                    v => return Err(format!("block {b}: version {v}; nothing was written")),
                }
            };
            // Done writes that began after this one ended, and ended before the read began, hide it.
            let newest_hidden = |end: u64| {
                let hides = |w: &&Write| matches!(w.end, End::Done(e) if e < start && w.start > end);
                writes.iter().find(hides).map(|w| w.version)
            };
            let Some(found) = writes.iter().find(|w| w.version == version) else {
                return Err(format!(
                    "block {b}: version {version}, which was never written or surely did not run"
                ));
            };
            if found.start > now {
                return Err(format!("block {b}: version {version} from the future"));
            }
            if let End::Done(end) = found.end {
                if let Some(newer) = newest_hidden(end) {
                    return Err(format!("block {b}: version {version}, though {newer} was done after it"));
                }
            }
            self.checked += 1;
        }
        Ok(())
    }

    /// Forgets what can't be returned any more by a read that begins from now on.
    pub fn prune(&mut self, before: u64) {
        for writes in self.blocks.values_mut() {
            let done: Vec<(u64, u64)> = writes
                .iter()
                .filter_map(|w| match w.end {
                    End::Done(e) if e < before => Some((w.start, e)),
                    _ => None,
                })
                .collect();
            writes.retain(|w| match w.end {
                End::Done(e) => !done.iter().any(|(start, _)| *start > e),
                _ => true,
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reads_return_what_some_order_allows() {
        // Writes as (start, end, how it ended) of versions 1, 2, ...; a read from 100 to 200; allowed versions.
        type Ended = Option<bool>;
        type Case<'a> = (&'a str, &'a [(u64, u64, Ended)], &'a [u64]);
        let cases: &[Case] = &[
            ("nothing written", &[], &[0]),
            ("done before", &[(10, 20, Some(true))], &[1]),
            ("done twice in turn", &[(10, 20, Some(true)), (30, 40, Some(true))], &[2]),
            ("done at once", &[(10, 40, Some(true)), (20, 30, Some(true))], &[1, 2]),
            ("meanwhile", &[(10, 20, Some(true)), (90, 150, Some(true))], &[1, 2]),
            ("unknown", &[(10, 20, Some(true)), (30, 40, None)], &[1, 2]),
            ("unknown may land late", &[(10, 20, None), (30, 40, Some(true))], &[1, 2]),
            ("surely not run", &[(10, 20, Some(true)), (30, 40, Some(false))], &[1]),
        ];
        for (name, writes, allowed) in cases {
            for version in 0..=3u64 {
                let mut r = Registers::new(7, 512);
                let mut bytes = vec![vec![0; 512]];
                for (i, (start, _, _)) in writes.iter().enumerate() {
                    bytes.push(r.write(*start, 5, 1, i as u64 + 1));
                }
                for (i, (_, end, ran)) in writes.iter().enumerate() {
                    r.wrote(*end, 5, 1, i as u64 + 1, *ran);
                }
                r.prune(100);
                let Some(data) = bytes.get(version as usize) else { continue };
                let found = r.read(100, 200, 5, data);
                assert_eq!(found.is_ok(), allowed.contains(&version), "{name}: version {version}: {found:?}");
            }
        }
        let mut r = Registers::new(7, 512);
        let mut mixed = r.write(1, 5, 1, 1);
        mixed[256..].copy_from_slice(&r.write(2, 5, 1, 2)[256..]);
        assert!(r.read(3, 4, 5, &mixed).is_err(), "a mix of two versions");
    }
}
