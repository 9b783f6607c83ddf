//! The replicated log of one replica (Raft, section 5.3) and its compaction into a snapshot (section 7). Some entries that
//! the snapshot covers stay in memory, so that followers which are a little behind need no snapshot.

use bytes::Bytes;
use std::collections::VecDeque;
use tackmast_wire::consensus::{Entry, EntryPayload, LogPosition, Voters};

/// Greatest number of entries that stay in memory although the snapshot covers them.
const MAX_KEPT_ENTRIES: u64 = 1000;
/// Bytes of all entries above which entries that the snapshot covers are dropped.
const MAX_KEPT_BYTES: usize = 2 << 20;
/// Bytes of an entry in memory beside its command, approximately.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// Bytes in memory of an entry without a command, approximately.
const SMALL_ENTRY_BYTES: usize = 64;

/// The state that all entries up to `last` led to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Identifies the log, since it was bootstrapped or forced.
    pub log_id: u64,
    /// The last entry that the snapshot covers.
    pub last: LogPosition,
    /// The configuration as of that entry.
    pub voters: Voters,
    /// The replicated state machine's own bytes.
    pub state: Bytes,
}

/// The log after the last snapshot, and how much of it there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogLength {
    /// Entries.
    pub entries: u64,
    /// Their bytes in memory, approximately.
    pub bytes: usize,
}

/// The voters, and the entry that made them so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Configuration<'a> {
    /// Index of the entry, or of the snapshot.
    pub index: u64,
    /// The voters.
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
    /// Indexes of the entries after the snapshot that change the voters, in order.
    voter_changes: Vec<u64>,
}

fn size(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => command.len() + ENTRY_OVERHEAD_BYTES,
        _ => SMALL_ENTRY_BYTES,
    }
}

impl Log {
    /// A log as it was persisted.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log { before_first: snapshot.last, snapshot, ..Log::default() };
        entries.into_iter().for_each(|entry| _ = log.push(entry));
        log
    }

    /// The snapshot that the log begins with.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The position of the last entry.
    pub fn last(&self) -> LogPosition {
        let index = self.before_first.index + self.entries.len() as u64;
        let term = self.entries.back().map_or(self.before_first.term, |entry| entry.term);
        LogPosition { term, index }
    }

    /// What was appended since the snapshot.
    pub(crate) fn since_snapshot(&self) -> LogLength {
        LogLength { entries: self.last().index - self.snapshot.last.index, bytes: self.bytes }
    }

    fn offset(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.before_first.index + 1).map(|offset| offset as usize)
    }

    /// The entry at `index`; none if it was dropped, or is not appended yet.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Index and term of the entry at `index`, also where only its position is still known.
    pub(crate) fn position_at(&self, index: u64) -> Option<LogPosition> {
        if index == self.before_first.index {
            return Some(self.before_first);
        }
        self.get(index).map(|entry| LogPosition { term: entry.term, index })
    }

    /// The index after which a leader is to try next whose entry at `mismatch` this log lacks: the end of the log, or right
    /// before the entries of the term that differs (Raft, end of section 5.3). One step back for each entry would take a
    /// round trip each. Committed entries match, so it is never before them.
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

    /// Appends an entry; its index.
    pub fn push(&mut self, entry: Entry) -> u64 {
        self.bytes += size(&entry);
        let index = self.last().index + 1;
        if matches!(entry.payload, EntryPayload::Voters(_)) {
            self.voter_changes.push(index);
        }
        self.entries.push_back(entry);
        index
    }

    /// Removes the entry at `index` and all after it, but none that the snapshot covers.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let first_removed = index.max(self.snapshot.last.index + 1);
        while self.last().index >= first_removed {
            let Some(entry) = self.entries.pop_back() else { break };
            self.bytes -= size(&entry);
        }
        self.voter_changes.retain(|change| *change < first_removed);
    }

    /// Entries from `index` on: as many as the bounds allow, and at least one.
    pub(crate) fn entries_from(&self, index: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let Some(offset) = self.offset(index) else { return Vec::new() };
        let mut taken = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter().skip(offset).take(max_entries) {
            bytes += size(entry);
            if bytes > max_bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// The newest configuration in the log, committed or not.
    pub fn configuration(&self) -> Configuration<'_> {
        self.configuration_at(self.last().index)
    }

    fn configuration_at(&self, index: u64) -> Configuration<'_> {
        let newest = self.voter_changes.iter().rev().copied().find(|change| *change <= index);
        match newest.and_then(|change| Some((change, &self.get(change)?.payload))) {
            Some((index, EntryPayload::Voters(voters))) => Configuration { index, voters },
            _ => Configuration { index: self.snapshot.last.index, voters: &self.snapshot.voters },
        }
    }

    /// Takes `state` as the snapshot at `index`, and drops most entries that it covers. False, and nothing done, where
    /// the log has no such entry after its snapshot.
    pub fn compact(&mut self, index: u64, state: Bytes) -> bool {
        if index <= self.snapshot.last.index || index > self.last().index {
            return false;
        }
        let Some(last) = self.position_at(index) else { return false };
        let voters = self.configuration_at(index).voters.clone();
        self.voter_changes.retain(|change| *change > index);
        self.snapshot = Snapshot { log_id: self.snapshot.log_id, last, voters, state };
        while self.before_first.index < index && self.keeps_too_much() {
            let Some(entry) = self.entries.pop_front() else { break };
            self.bytes -= size(&entry);
            self.before_first = LogPosition { term: entry.term, index: self.before_first.index + 1 };
        }
        true
    }

    fn keeps_too_much(&self) -> bool {
        let kept = self.snapshot.last.index - self.before_first.index;
        kept > MAX_KEPT_ENTRIES || self.bytes > MAX_KEPT_BYTES
    }

    /// Replaces the whole log by a snapshot.
    pub fn restore(&mut self, snapshot: Snapshot) {
        *self = Log::new(snapshot, Vec::new());
    }
}

#[cfg(test)]
mod tests;
