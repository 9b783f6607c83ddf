//! The entries of the list, with their last changes.

use std::collections::BTreeMap;
use tackmast_wire::list::{Entry, State};

/// Changes that are kept to bring a follower up to date; one further behind gets the complete list.
const MAX_CHANGES: usize = 10_000;

struct Change {
    time_us: u64,
    version: u64,
    entry: Entry,
}

/// The entries by their addresses, as of each version whose change is kept.
#[derive(Default)]
pub(super) struct Entries {
    newest: BTreeMap<String, Entry>,
    /// Addresses in the order in which they were first put in.
    order: Vec<String>,
    /// The entries before the oldest change that is kept.
    base: BTreeMap<String, Entry>,
    changes: Vec<Change>,
    version: u64,
}

impl Entries {
    pub(super) fn get(&self, address: &str) -> Option<&Entry> {
        self.newest.get(address)
    }

    /// Puts an entry in, unless it changes nothing.
    pub(super) fn put(&mut self, time_us: u64, entry: Entry) {
        if self.newest.get(&entry.address) == Some(&entry) {
            return;
        }
        self.version += 1;
        if self.newest.insert(entry.address.clone(), entry.clone()).is_none() {
            self.order.push(entry.address.clone());
        }
        self.changes.push(Change { time_us, version: self.version, entry });
    }

    pub(super) fn forget_old_changes(&mut self) {
        let old_count = self.changes.len().saturating_sub(MAX_CHANGES);
        let old = self.changes.drain(..old_count);
        self.base.extend(old.map(|change| (change.entry.address.clone(), change.entry)));
    }

    /// The newest version of that time.
    pub(super) fn version_at(&self, time_us: u64) -> u64 {
        match self.changes.iter().rev().find(|change| change.time_us <= time_us) {
            Some(change) => change.version,
            None => self.changes.first().map_or(self.version, |oldest| oldest.version - 1),
        }
    }

    /// The complete list as of a version.
    pub(super) fn complete(&self, version: u64) -> Vec<Entry> {
        let mut entries: BTreeMap<&str, &Entry> =
            self.base.iter().map(|(address, entry)| (address.as_str(), entry)).collect();
        for change in self.changes.iter().filter(|change| change.version <= version) {
            entries.insert(&change.entry.address, &change.entry);
        }
        let in_order = self.order.iter().filter_map(|address| entries.get(address.as_str()));
        in_order.filter(|entry| entry.state != State::Gone).map(|entry| (*entry).clone()).collect()
    }

    /// The changes after one version up to another; `None` where they are not kept.
    pub(super) fn changes_between(&self, from: u64, to: u64) -> Option<Vec<Entry>> {
        let is_kept = self.changes.first().is_some_and(|oldest| oldest.version <= from + 1);
        if from == 0 || !is_kept || from > to {
            return None;
        }
        let changes = self.changes.iter().filter(|change| change.version > from && change.version <= to);
        Some(changes.map(|change| change.entry.clone()).collect())
    }
}

/// What a message says of each node in the end: a host that was away gets several changes of a node at once, and the last counts.
pub(super) fn last_of_each(entries: &[Entry]) -> Vec<Entry> {
    let mut last: Vec<Entry> = Vec::with_capacity(entries.len());
    for entry in entries.iter().rev() {
        if !last.iter().any(|later| later.address == entry.address) {
            last.push(entry.clone());
        }
    }
    last.reverse();
    last
}
