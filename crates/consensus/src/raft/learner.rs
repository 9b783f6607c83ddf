//! Learners: replicas that do not vote (thesis, section 4.2.1) and receive only committed entries. Unlike in Raft as
//! published the leader does not track their progress, as there are hundreds of them. Each learner fetches the entries
//! that it lacks from any voter.

use super::{RaftNode, RaftOutput, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES};
use crate::log::Snapshot;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{Entry, Message};

/// Number of heartbeat intervals without a response after which a learner retries its request.
const FETCH_RETRY_HEARTBEATS: f64 = 3.0;

/// Which entries a learner fetches, and from where.
#[derive(Clone, Debug, Default)]
pub(super) struct FetchState {
    /// Index of the last entry that is known to be committed.
    target_index: u64,
    source: Option<u32>,
    pub retry_at: Option<Instant>,
}

impl RaftNode {
    /// Sends committed entries after `stored_index` to a learner, or the snapshot if some of them were compacted.
    pub(super) fn send_committed(&mut self, to: u32, stored_index: u64) {
        if self.bootstrap.is_some() {
            return;
        }
        let after = stored_index.min(self.commit_index);
        if !self.has_all_entries_after(after) {
            return self.send_committed_snapshot(to);
        }
        let count = ((self.commit_index - after) as usize).min(MAX_APPEND_ENTRIES);
        let entries = self.log.entries_from(after + 1, count, MAX_APPEND_BYTES);
        // A learner without entries needs the configuration, which only the snapshot contains.
        if stored_index == 0 {
            self.send_committed_snapshot(to);
        }
        if !entries.is_empty() {
            let log_id = self.log.snapshot().log_id;
            self.send(to, Message::CommittedEntries { log_id, after, entries });
        }
    }

    /// Returns whether all entries after `index` are still in the log.
    fn has_all_entries_after(&self, index: u64) -> bool {
        let is_known = self.log.position_at(index).is_some();
        is_known && (index > 0 || self.log.snapshot().last.index == 0)
    }

    fn send_committed_snapshot(&mut self, to: u32) {
        let Snapshot { log_id, last, voters, state } = self.log.snapshot().clone();
        self.send(to, Message::CommittedSnapshot { log_id, last, voters, state });
    }

    /// Starts to fetch entries up to `index`, which another replica knows to be committed, if this server is a learner
    /// and lacks them.
    pub(crate) fn on_commit_advertised(&mut self, now: Instant, from: u32, index: u64) {
        if self.is_voter() || index <= self.commit_index.max(self.fetch.target_index) {
            return;
        }
        self.fetch.target_index = index;
        self.fetch.source = Some(from);
        if self.fetch.retry_at.is_none() {
            self.fetch_committed(now);
        }
    }

    fn fetch_committed(&mut self, now: Instant) {
        self.fetch.retry_at = Some(now + self.settings.heartbeats(FETCH_RETRY_HEARTBEATS));
        let Some(source) = self.fetch.source else { return };
        self.send(source, Message::FetchCommitted { stored_index: self.commit_index });
    }

    pub(super) fn handle_fetch_timeout(&mut self, now: Instant) {
        if self.fetch.retry_at.is_none_or(|retry_at| now < retry_at) {
            return;
        }
        if self.commit_index >= self.fetch.target_index && self.bootstrap.is_none() {
            self.fetch.retry_at = None;
            return;
        }
        self.choose_source();
        self.fetch_committed(now);
    }

    /// Chooses a voter at random, as the previous one may be unreachable.
    fn choose_source(&mut self) {
        let voters = self.voters_to_query();
        if voters.is_empty() {
            return;
        }
        let choice = self.random.rand_range(0..voters.len() as u64) as usize;
        let other = voters.get(choice).copied().filter(|host| *host != self.host);
        self.fetch.source = other.or(self.fetch.source);
    }

    pub(super) fn handle_committed_entries(&mut self, now: Instant, after: u64, entries: Vec<Entry>) {
        if self.is_voter() || self.bootstrap.is_some() || after > self.commit_index {
            return;
        }
        let known = (self.commit_index - after) as usize;
        let new: Vec<Entry> = entries.into_iter().skip(known).collect();
        if new.is_empty() {
            return;
        }
        // Entries after the commit index were appended when this server was a voter. A later leader may have
        // overwritten them.
        let first_index = self.commit_index + 1;
        self.truncate_log_from(first_index);
        for entry in &new {
            self.log.push(entry.clone());
        }
        let last_index = self.log.last().index;
        self.write_entries(first_index, new);
        self.advance_commit_index(last_index);
        self.fetch_more_or_stop(now);
    }

    pub(super) fn handle_committed_snapshot(&mut self, now: Instant, snapshot: Snapshot) {
        if self.is_voter() {
            return;
        }
        let is_initial = snapshot.last.index == 0 && !snapshot.voters.is_empty();
        if is_initial && self.bootstrap.is_some() {
            self.log.restore(snapshot.clone());
            self.write_snapshot();
            self.bootstrap = None;
            self.outputs.push_back(RaftOutput::RestoreSnapshot(snapshot));
        } else {
            self.install_snapshot(snapshot);
        }
        self.fetch_more_or_stop(now);
    }

    fn fetch_more_or_stop(&mut self, now: Instant) {
        if self.commit_index < self.fetch.target_index {
            self.fetch_committed(now);
        } else {
            self.fetch.retry_at = None;
        }
    }
}
