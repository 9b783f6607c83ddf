//! The disk of a simulated process: what is synced, and the writes that are not synced yet.

use tackmast_consensus::{LogSuffix, PersistentState, Write};

/// What a disk has, and what was given to it and is not there yet.
#[derive(Clone, Default)]
pub struct Disk {
    pub mark: u64,
    pub boot: u32,
    pub persisted: PersistentState,
    pub pending: Vec<Write>,
}

impl Disk {
    /// As a store does it: all of one write or nothing.
    pub fn take(&mut self, write: Write) {
        let persisted = &mut self.persisted;
        if let Some(hard_state) = write.hard_state {
            persisted.hard_state = hard_state;
        }
        if let Some(snapshot) = write.snapshot {
            persisted.snapshot = snapshot;
            persisted.entries.clear();
        }
        if let Some(LogSuffix { first_index, entries }) = write.entries {
            let at = first_index.saturating_sub(persisted.snapshot.last.index + 1) as usize;
            persisted.entries.truncate(at);
            persisted.entries.extend(entries);
        }
        if write.confirmed_voters.is_some() {
            persisted.confirmed_voters = write.confirmed_voters;
        }
        if let Some(known_disks) = write.known_disks {
            persisted.known_disks = known_disks;
        }
        if let Some(mark) = write.disk {
            self.mark = mark;
        }
    }
}
