//! The disk of a simulated process: what is synced, and the writes that are not synced yet.

use tackmast_consensus::{LogSuffix, PersistentState, Write};

/// A disk: what is synced, and the writes that are not.
#[derive(Clone, Default)]
pub(super) struct Disk {
    /// Identifies the disk.
    pub mark: u64,
    /// How often a host has started from it.
    pub boot: u32,
    pub persisted: PersistentState,
    /// Writes that are not synced, the oldest first.
    pub pending: Vec<Write>,
}

impl Disk {
    /// Syncs a write. As in a store, it is synced as a whole or not at all.
    pub(super) fn sync(&mut self, write: Write) {
        let persisted = &mut self.persisted;
        if let Some(hard_state) = write.hard_state {
            persisted.hard_state = hard_state;
        }
        if let Some(snapshot) = write.snapshot {
            persisted.snapshot = snapshot;
            persisted.entries.clear();
        }
        if let Some(LogSuffix { first_index, entries }) = write.entries {
            let kept_entries = first_index.saturating_sub(persisted.snapshot.last.index + 1) as usize;
            persisted.entries.truncate(kept_entries);
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
