//! The reference model of a volume's blocks: what a read may return. Each block is a register. A write sets it to a version; it may
//! be done, may have run or not, or certainly has not run. Every byte that is read is compared with this model.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

/// Bytes of the pattern that a block repeats: its number and owner, then its version.
const STAMP_BYTES: usize = 16;
/// Bytes of a stamp before the version.
const VERSION_OFFSET: usize = 8;
/// Bits by which the owner is shifted, so that it does not collide with block numbers.
const OWNER_SHIFT: u32 = 40;
/// The version of a block that was never written.
const UNWRITTEN: u64 = 0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteState {
    InFlight,
    /// Done at this time.
    Done(u64),
    /// It may have run, or may still run: the client has no promise.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Write {
    version: u64,
    started: u64,
    state: WriteState,
}

/// Bytes of a read that no order of the writes explains.
#[derive(Debug, thiserror::Error)]
pub enum InconsistentRead {
    /// The bytes are not a whole block of one write.
    #[error("block {block}: bytes that nobody wrote there, or a mix")]
    ForeignBytes {
        /// Number of the block.
        block: u64,
    },
    /// The block was never written.
    #[error("block {block}: version {version}; nothing was written")]
    NothingWritten {
        /// Number of the block.
        block: u64,
        /// The version that was read.
        version: u64,
    },
    /// The version was never written, or its write was rejected.
    #[error("block {block}: version {version}, which was never written or surely did not run")]
    UnknownVersion {
        /// Number of the block.
        block: u64,
        /// The version that was read.
        version: u64,
    },
    /// The write began after the read had ended.
    #[error("block {block}: version {version} from the future")]
    FutureVersion {
        /// Number of the block.
        block: u64,
        /// The version that was read.
        version: u64,
    },
    /// A later write was done before the read began.
    #[error("block {block}: version {version}, though {newer} was done after it")]
    StaleVersion {
        /// Number of the block.
        block: u64,
        /// The version that was read.
        version: u64,
        /// A version that the read must not miss.
        newer: u64,
    },
}

/// The blocks of one volume that a single client writes.
pub struct Registers {
    owner: u64,
    block_bytes: usize,
    writes: HashMap<u64, Vec<Write>>,
    /// Number of blocks that were read and compared.
    pub checked: u64,
}

impl Registers {
    /// Blocks that were never written; `owner` marks the bytes of this client.
    pub fn new(owner: u64, block_bytes: usize) -> Self {
        Registers { owner, block_bytes, writes: HashMap::new(), checked: 0 }
    }

    fn stamp(&self, block: u64, version: u64) -> [u8; STAMP_BYTES] {
        let mut stamp = [0; STAMP_BYTES];
        if version != UNWRITTEN {
            let identity = block ^ self.owner << OWNER_SHIFT;
            stamp[..VERSION_OFFSET].copy_from_slice(&identity.to_be_bytes());
            stamp[VERSION_OFFSET..].copy_from_slice(&version.to_be_bytes());
        }
        stamp
    }

    /// A write of `block_count` blocks begins; returns its bytes.
    pub fn write(&mut self, now: u64, first_block: u64, block_count: u32, version: u64) -> Vec<u8> {
        let mut data = Vec::with_capacity(block_count as usize * self.block_bytes);
        for block in first_block..first_block + u64::from(block_count) {
            let stamp = self.stamp(block, version);
            (0..self.block_bytes / STAMP_BYTES).for_each(|_| data.extend_from_slice(&stamp));
            let initial = || vec![Write { version: UNWRITTEN, started: 0, state: WriteState::Done(0) }];
            let writes = self.writes.entry(block).or_insert_with(initial);
            writes.push(Write { version, started: now, state: WriteState::InFlight });
        }
        data
    }

    /// A write ended. `ran` is whether it has run; `None`: unknown.
    pub fn wrote(&mut self, now: u64, first_block: u64, block_count: u32, version: u64, ran: Option<bool>) {
        let state = match ran {
            Some(true) => WriteState::Done(now),
            _ => WriteState::Unknown,
        };
        for block in first_block..first_block + u64::from(block_count) {
            let Some(writes) = self.writes.get_mut(&block) else { continue };
            if ran == Some(false) {
                writes.retain(|write| write.version != version);
            }
            let of_version = writes.iter_mut().filter(|write| write.version == version);
            of_version.for_each(|write| write.state = state);
        }
    }

    /// Whether a read that began at `started` and has ended now may have returned these bytes.
    pub fn read(
        &mut self,
        started: u64,
        now: u64,
        first_block: u64,
        data: &[u8],
    ) -> Result<(), InconsistentRead> {
        for (block, bytes) in (first_block..).zip(data.chunks(self.block_bytes)) {
            let version = self.version_in(block, bytes)?;
            match self.writes.get(&block) {
                None if version == UNWRITTEN => {}
                None => return Err(InconsistentRead::NothingWritten { block, version }),
                Some(writes) => {
                    check_version(writes, started, now, block, version)?;
                    self.checked += 1;
                }
            }
        }
        Ok(())
    }

    /// The version in a block, which must hold that version's stamp throughout.
    fn version_in(&self, block: u64, bytes: &[u8]) -> Result<u64, InconsistentRead> {
        let mut version = [0; STAMP_BYTES - VERSION_OFFSET];
        version.copy_from_slice(&bytes[VERSION_OFFSET..STAMP_BYTES]);
        let version = u64::from_be_bytes(version);
        let stamp = self.stamp(block, version);
        match bytes.chunks(STAMP_BYTES).any(|chunk| chunk != stamp) {
            true => Err(InconsistentRead::ForeignBytes { block }),
            false => Ok(version),
        }
    }

    /// Forgets versions that no read can return which begins at `before` or later.
    pub(crate) fn prune(&mut self, before: u64) {
        for writes in self.writes.values_mut() {
            let done = |write: &Write| matches!(write.state, WriteState::Done(end) if end < before);
            let starts: Vec<u64> =
                writes.iter().filter(|write| done(write)).map(|write| write.started).collect();
            writes.retain(|write| match write.state {
                WriteState::Done(end) => !starts.iter().any(|started| *started > end),
                _ => true,
            });
        }
    }
}

fn check_version(
    writes: &[Write],
    started: u64,
    now: u64,
    block: u64,
    version: u64,
) -> Result<(), InconsistentRead> {
    let Some(found) = writes.iter().find(|write| write.version == version) else {
        return Err(InconsistentRead::UnknownVersion { block, version });
    };
    if found.started > now {
        return Err(InconsistentRead::FutureVersion { block, version });
    }
    let WriteState::Done(end) = found.state else { return Ok(()) };
    // A write that began after this one had ended, and was done before the read began, hides it.
    let hides = |write: &&Write| matches!(write.state, WriteState::Done(done) if done < started && write.started > end);
    match writes.iter().find(hides) {
        Some(write) => Err(InconsistentRead::StaleVersion { block, version, newer: write.version }),
        None => Ok(()),
    }
}
