//! The queue of member updates to piggyback (SWIM, section 4.1; memberlist's `TransmitLimitedQueue`).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A member's position in the queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    /// Number of remaining transmissions. Entries with more come first.
    remaining: Reverse<u32>,
    /// Number of the broadcast. Among entries with equally many remaining transmissions the oldest comes first.
    number: u64,
    slot: u32,
}

/// Members on which updates are still to be sent, with at most one entry for each. The content of an update is looked up
/// when it is sent.
#[derive(Default)]
pub(super) struct BroadcastQueue {
    by_slot: BTreeMap<u32, Entry>,
    order: BTreeSet<Entry>,
    /// Number of broadcasts so far.
    count: u64,
}

impl BroadcastQueue {
    /// Queues an update on a member for this many transmissions. It replaces an earlier entry of the member.
    pub(super) fn push(&mut self, slot: u32, transmissions: u32) {
        self.remove(slot);
        self.count += 1;
        self.insert(Entry { remaining: Reverse(transmissions), number: self.count, slot });
    }

    /// Removes the entry of a member, if there is one.
    pub(super) fn remove(&mut self, slot: u32) {
        if let Some(entry) = self.by_slot.remove(&slot) {
            self.order.remove(&entry);
        }
    }

    fn insert(&mut self, entry: Entry) {
        if entry.remaining.0 > 0 {
            self.by_slot.insert(entry.slot, entry);
            self.order.insert(entry);
        }
    }

    /// Returns the first members of the queue, up to `max_len`, and counts one transmission of each.
    pub(super) fn next_batch(&mut self, max_len: usize) -> Vec<u32> {
        let batch: Vec<Entry> = self.order.iter().take(max_len).copied().collect();
        for entry in &batch {
            self.remove(entry.slot);
            self.insert(Entry { remaining: Reverse(entry.remaining.0 - 1), ..*entry });
        }
        batch.into_iter().map(|entry| entry.slot).collect()
    }
}
