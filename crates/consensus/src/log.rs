//! The replicated log of one replica (Raft, section 5.3) and its compaction into a snapshot (section 7). Some entries
//! that the snapshot covers stay in memory, so that followers that are slightly behind need no snapshot.

use bytes::Bytes;
use std::collections::VecDeque;
use tackmast_wire::consensus::{Entry, EntryPayload, LogPosition, Voters};

/// Greatest number of entries that stay in memory although the snapshot covers them.
const MAX_RETAINED_ENTRIES: u64 = 1000;
/// Size in bytes of all entries above which entries that the snapshot covers are dropped.
const MAX_RETAINED_BYTES: usize = 2 << 20;
/// Approximate size in memory of an entry without its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// Approximate size in memory of an entry that has no command, in bytes.
const SMALL_ENTRY_BYTES: usize = 64;

/// The state after all entries up to `last` were applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Id of the log, chosen when the log was bootstrapped or forced; 0 before that.
    pub log_id: u64,
    /// The last entry that the snapshot covers.
    pub last: LogPosition,
    /// The configuration as of that entry.
    pub voters: Voters,
    /// The client sessions and the state machine's state, encoded.
    pub state: Bytes,
}

/// Length of the log after the last snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogLength {
    /// Number of entries.
    pub entries: u64,
    /// Approximate size in memory, in bytes. It includes retained entries that the snapshot covers.
    pub bytes: usize,
}

/// The voters of the group, and where the log defines them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Configuration<'a> {
    /// Index of the entry that set these voters, or of the snapshot's last entry.
    pub index: u64,
    /// The voters with their disks.
    pub voters: &'a Voters,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    snapshot: Snapshot,
    /// The position before the first entry in memory.
    before_first: LogPosition,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Indexes of entries after the snapshot that change the voters, in ascending order.
    voter_changes: Vec<u64>,
}

fn memory_size(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => command.len() + ENTRY_OVERHEAD_BYTES,
        _ => SMALL_ENTRY_BYTES,
    }
}

impl Log {
    /// Creates a log from a persisted snapshot and the entries after it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log { before_first: snapshot.last, snapshot, ..Log::default() };
        entries.into_iter().for_each(|entry| _ = log.push(entry));
        log
    }

    /// Returns the snapshot that the log starts with.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the position of the last entry, which is that of the snapshot if there are no entries after it.
    pub fn last(&self) -> LogPosition {
        let index = self.before_first.index + self.entries.len() as u64;
        let term = self.entries.back().map_or(self.before_first.term, |entry| entry.term);
        LogPosition { term, index }
    }

    /// Returns how much was appended since the snapshot.
    pub(crate) fn since_snapshot(&self) -> LogLength {
        LogLength { entries: self.last().index - self.snapshot.last.index, bytes: self.bytes }
    }

    fn offset(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.before_first.index + 1).map(|offset| offset as usize)
    }

    /// Returns the entry at `index`, or `None` if it was dropped or is not appended yet.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns the position of the entry at `index`. It is known for the last dropped entry as well.
    pub(crate) fn position_at(&self, index: u64) -> Option<LogPosition> {
        if index == self.before_first.index {
            return Some(self.before_first);
        }
        self.get(index).map(|entry| LogPosition { term: entry.term, index })
    }

    /// Returns the index after which a leader is to retry when this log does not match its entry at `mismatch`. That is
    /// the end of the log, or the last entry before the conflicting term (Raft, end of section 5.3). Going back one
    /// entry at a time would take a round trip for each entry. The hint is never below `commit_index`, as committed
    /// entries match.
    pub(crate) fn conflict_hint(&self, mismatch: u64, commit_index: u64) -> u64 {
        let term_at = |index: u64| self.position_at(index).map(|position| position.term);
        let mut index = self.last().index;
        if index >= mismatch {
            let conflicting_term = term_at(mismatch);
            index = mismatch - 1;
            while index > commit_index && term_at(index) == conflicting_term {
                index -= 1;
            }
        }
        index.max(commit_index)
    }

    /// Appends an entry and returns its index.
    pub fn push(&mut self, entry: Entry) -> u64 {
        self.bytes += memory_size(&entry);
        let index = self.last().index + 1;
        if matches!(entry.payload, EntryPayload::Voters(_)) {
            self.voter_changes.push(index);
        }
        self.entries.push_back(entry);
        index
    }

    /// Removes the entry at `index` and all later ones, except those that the snapshot covers.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let first_removed = index.max(self.snapshot.last.index + 1);
        while self.last().index >= first_removed {
            let Some(entry) = self.entries.pop_back() else { break };
            self.bytes -= memory_size(&entry);
        }
        self.voter_changes.retain(|change| *change < first_removed);
    }

    /// Returns the entries from `index` on, as many as the bounds allow. `max_bytes` does not apply to the first entry.
    pub(crate) fn entries_from(&self, index: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let Some(offset) = self.offset(index) else { return Vec::new() };
        let mut selected = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter().skip(offset).take(max_entries) {
            bytes += memory_size(entry);
            if bytes > max_bytes && !selected.is_empty() {
                break;
            }
            selected.push(entry.clone());
        }
        selected
    }

    /// Returns the latest configuration in the log, committed or not.
    pub fn configuration(&self) -> Configuration<'_> {
        self.configuration_at(self.last().index)
    }

    fn configuration_at(&self, index: u64) -> Configuration<'_> {
        let latest = self.voter_changes.iter().rev().copied().find(|change| *change <= index);
        match latest.and_then(|change| Some((change, &self.get(change)?.payload))) {
            Some((index, EntryPayload::Voters(voters))) => Configuration { index, voters },
            _ => Configuration { index: self.snapshot.last.index, voters: &self.snapshot.voters },
        }
    }

    /// Replaces the snapshot by `state`, which covers all entries up to `index`, and drops covered entries beyond the
    /// bounds on retained ones. Returns `false` and changes nothing if the log has no entry `index` after its snapshot.
    pub fn compact(&mut self, index: u64, state: Bytes) -> bool {
        if index <= self.snapshot.last.index || index > self.last().index {
            return false;
        }
        let Some(last) = self.position_at(index) else { return false };
        let voters = self.configuration_at(index).voters.clone();
        self.voter_changes.retain(|change| *change > index);
        self.snapshot = Snapshot { log_id: self.snapshot.log_id, last, voters, state };
        while self.before_first.index < index && self.exceeds_retention_bounds() {
            let Some(entry) = self.entries.pop_front() else { break };
            self.bytes -= memory_size(&entry);
            self.before_first = LogPosition { term: entry.term, index: self.before_first.index + 1 };
        }
        true
    }

    fn exceeds_retention_bounds(&self) -> bool {
        let retained = self.snapshot.last.index - self.before_first.index;
        retained > MAX_RETAINED_ENTRIES || self.bytes > MAX_RETAINED_BYTES
    }

    /// Replaces the snapshot and all entries by `snapshot`.
    pub fn restore(&mut self, snapshot: Snapshot) {
        *self = Log::new(snapshot, Vec::new());
    }
}

#[cfg(test)]
mod tests;
