//! The queue of member updates that are still to be piggybacked (SWIM, section 4.1; memberlist's
//! `TransmitLimitedQueue`).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A member's place in the queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    /// Transmissions that are left: entries with most come first.
    remaining: Reverse<u32>,
    /// Number of the broadcast: of entries with equal transmissions left the oldest comes first.
    number: u64,
    slot: u32,
}

/// Members whose updates are still to be sent, at most one for each. An update itself is looked up when it is sent.
#[derive(Default)]
pub(super) struct BroadcastQueue {
    by_slot: BTreeMap<u32, Entry>,
    order: BTreeSet<Entry>,
    /// Number of the last broadcast.
    count: u64,
}

impl BroadcastQueue {
    /// Queues a member's update to be sent so many times, in place of what is queued of it.
    pub(super) fn push(&mut self, slot: u32, transmissions: u32) {
        self.remove(slot);
        self.count += 1;
        self.insert(Entry { remaining: Reverse(transmissions), number: self.count, slot });
    }

    /// Removes a member.
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

    /// The first members of the queue, each of which then has one transmission less left.
    pub(super) fn next_batch(&mut self, max_len: usize) -> Vec<u32> {
        let batch: Vec<Entry> = self.order.iter().take(max_len).copied().collect();
        for entry in &batch {
            self.remove(entry.slot);
            self.insert(Entry { remaining: Reverse(entry.remaining.0 - 1), ..*entry });
        }
        batch.into_iter().map(|entry| entry.slot).collect()
    }
}
