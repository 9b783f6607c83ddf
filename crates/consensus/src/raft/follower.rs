//! Handling of a leader's messages by a follower: AppendEntries (Raft, section 5.3) and InstallSnapshot (section 7).

use super::{RaftNode, RaftOutput, Role};
use crate::event::ConsensusEvent;
use crate::fault::ConsensusFault;
use crate::log::Snapshot;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{Entry, LogPosition, Message};

/// The fields of an AppendEntries message.
pub(super) struct AppendRequest {
    pub term: u64,
    pub round: u64,
    pub previous: LogPosition,
    pub commit_index: u64,
    pub entries: Vec<Entry>,
}

/// Entries that the log lacks, or that conflict with its own.
struct NewEntries {
    first_index: u64,
    entries: Vec<Entry>,
}

impl RaftNode {
    pub(super) fn handle_append_entries(&mut self, now: Instant, from: u32, request: AppendRequest) {
        let AppendRequest { term, round, previous, commit_index, entries } = request;
        if self.bootstrap.is_some() || !self.accept_leader(now, from, term, round) {
            return;
        }
        // Entries that the snapshot covers are committed, so the leader has the same ones.
        let snapshot_index = self.log.snapshot().last.index;
        let matches =
            previous.index < snapshot_index || self.log.position_at(previous.index) == Some(previous);
        if !matches {
            let index = self.log.conflict_hint(previous.index, self.commit_index);
            let response = self.append_response(round, false, index);
            return self.send_after_persist(from, response);
        }
        let last_new = previous.index + entries.len() as u64;
        let new = self.select_new_entries(previous.index, entries);
        if !new.entries.is_empty() {
            self.replace_suffix(new);
            if self.has_fault(ConsensusFault::AckBeforePersist) {
                let response = self.append_response(round, true, last_new);
                self.send(from, response);
            }
        }
        self.advance_commit_index(commit_index.min(last_new));
        let response = self.append_response(round, true, last_new.max(snapshot_index));
        self.send_after_persist(from, response);
    }

    fn append_response(&self, round: u64, success: bool, index: u64) -> Message {
        let (term, identity) = (self.hard_state.term, self.identity);
        Message::AppendEntriesResponse { term, round, success, index, identity }
    }

    /// Returns the received entries after `previous_index`, from the first one that the log lacks or that conflicts
    /// with its own. Matching entries are not replaced. Otherwise a delayed message would remove later entries that
    /// this server has acknowledged.
    fn select_new_entries(&self, previous_index: u64, entries: Vec<Entry>) -> NewEntries {
        let snapshot_index = self.log.snapshot().last.index;
        let mut new = NewEntries { first_index: 0, entries: Vec::new() };
        for (index, entry) in (previous_index + 1..).zip(entries) {
            if index <= snapshot_index {
                continue;
            }
            if new.entries.is_empty() {
                let is_match =
                    self.log.position_at(index).is_some_and(|position| position.term == entry.term);
                let keeps_conflict =
                    self.has_fault(ConsensusFault::KeepsConflicts) && self.log.get(index).is_some();
                if is_match || keeps_conflict {
                    continue;
                }
                new.first_index = index;
            }
            new.entries.push(entry);
        }
        new
    }

    /// Replaces the entries from the first new one on.
    fn replace_suffix(&mut self, new: NewEntries) {
        self.truncate_log_from(new.first_index);
        for entry in &new.entries {
            self.log.push(entry.clone());
        }
        self.write_entries(new.first_index, new.entries);
    }

    /// Returns whether a message is from the leader of this term or of a later one, and if so follows that leader.
    fn accept_leader(&mut self, now: Instant, from: u32, term: u64, round: u64) -> bool {
        if term < self.hard_state.term && !self.has_fault(ConsensusFault::OldLeaderFollowed) {
            let response = self.append_response(round, false, self.commit_index);
            self.send_after_persist(from, response);
            return false;
        }
        self.observe_term(now, term);
        if self.is_leader() {
            // A term has at most one leader, so the message is forged or corrupt.
            return false;
        }
        if self.leader() != Some(from) {
            self.emit(ConsensusEvent::FollowsLeader { leader: from, term });
        }
        self.role = Role::Follower { leader: Some(from) };
        self.last_leader_contact = now;
        self.reset_election_timer(now);
        true
    }

    pub(super) fn handle_install_snapshot(&mut self, now: Instant, from: u32, term: u64, snapshot: Snapshot) {
        let round = 0;
        let is_same_log = snapshot.log_id == self.log.snapshot().log_id;
        if self.bootstrap.is_some() || !is_same_log || !self.accept_leader(now, from, term, round) {
            return;
        }
        let index = snapshot.last.index;
        self.install_snapshot(snapshot);
        // Entries after the snapshot are known to match the leader's only up to the commit index.
        let response = self.append_response(round, true, index.max(self.commit_index));
        self.send_after_persist(from, response);
    }

    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let own_log_id = self.log.snapshot().log_id;
        let is_other_log = own_log_id != 0 && own_log_id != snapshot.log_id;
        if snapshot.last.index <= self.commit_index || is_other_log {
            return;
        }
        self.counters.snapshots_installed += 1;
        // If the log contains the snapshot's last entry, later entries are kept (Raft, figure 13, step 6), as they may
        // be committed, and this server may have acknowledged them.
        let contains_last = self.log.position_at(snapshot.last.index) == Some(snapshot.last);
        if contains_last && !self.has_fault(ConsensusFault::SnapshotDropsSuffix) {
            self.commit_index = snapshot.last.index;
            self.log.compact(snapshot.last.index, snapshot.state.clone());
        } else {
            self.limit_persisted_index(self.commit_index);
            self.commit_index = snapshot.last.index;
            self.log.restore(snapshot.clone());
        }
        self.write_snapshot();
        self.outputs.push_back(RaftOutput::RestoreSnapshot(snapshot));
        if self.bootstrap.take().is_some() {
            self.emit(ConsensusEvent::Joined);
        }
    }
}
