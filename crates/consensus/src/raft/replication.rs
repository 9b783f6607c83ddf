//! Log replication by a leader (Raft, section 5.3): AppendEntries to each peer from the first entry that it lacks, and
//! the commit index from the entries that a majority has on disk (section 5.4.2).

use super::progress::Progress;
use super::{RaftNode, Role, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES};
use crate::fault::ConsensusFault;
use crate::log::Snapshot;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{DiskIdentity, Entry, EntryPayload, Message};

/// Size in bytes of the commands of a message above which it counts as large, as it takes many datagrams.
const LARGE_MESSAGE_BYTES: usize = 8 << 10;

/// The fields of an AppendEntriesResponse message.
pub(super) struct AppendResponse {
    pub term: u64,
    pub round: u64,
    pub success: bool,
    pub index: u64,
    pub identity: DiskIdentity,
}

fn command_bytes(entries: &[Entry]) -> usize {
    let length = |entry: &Entry| match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        _ => 0,
    };
    entries.iter().map(length).sum()
}

impl RaftNode {
    /// Sends new entries immediately to all peers that were not sent them yet.
    pub(super) fn send_new_entries(&mut self, now: Instant) {
        let last_index = self.log.last().index;
        let Role::Leader(leader) = &self.role else { return };
        let lacks_entries = |progress: &Progress| progress.next_index <= last_index;
        let due = leader.peers.iter().filter(|(_, progress)| lacks_entries(progress));
        let due: Vec<u32> = due.map(|(host, _)| *host).collect();
        for host in due {
            self.send_append(now, host);
        }
    }

    pub(super) fn send_append(&mut self, now: Instant, to: u32) {
        let settings = self.settings;
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let Some(progress) = leader.peers.get_mut(&to) else { return };
        progress.expire_large_message(now, &settings);
        let has_large_message = progress.has_large_message_in_flight();
        let previous = match has_large_message {
            true => self.log.position_at(progress.match_index),
            false => self.log.position_at(progress.next_index - 1),
        };
        let Some(previous) = previous else {
            return self.send_snapshot(now, to);
        };
        let entries = match has_large_message {
            true => Vec::new(),
            false => self.log.entries_from(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES),
        };
        progress.next_index += entries.len() as u64;
        if command_bytes(&entries) > LARGE_MESSAGE_BYTES {
            progress.on_large_message_sent(now);
        }
        let (log_id, term, commit_index) =
            (self.log.snapshot().log_id, self.hard_state.term, self.commit_index);
        self.send(to, Message::AppendEntries { log_id, term, round, previous, commit_index, entries });
    }

    /// Sends the snapshot to a peer that lacks compacted entries. While the snapshot is in flight the peer is sent
    /// heartbeats; without them it would start an election before the snapshot is complete.
    fn send_snapshot(&mut self, now: Instant, to: u32) {
        let term = self.hard_state.term;
        let Snapshot { log_id, last, voters, state } = self.log.snapshot().clone();
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let Some(progress) = leader.peers.get_mut(&to) else { return };
        if !progress.has_large_message_in_flight() {
            progress.on_large_message_sent(now);
            progress.next_index = last.index + 1;
            self.send(to, Message::InstallSnapshot { term, log_id, last, voters, state });
        }
        let heartbeat = Message::AppendEntries {
            log_id,
            term,
            round,
            previous: last,
            commit_index: 0,
            entries: Vec::new(),
        };
        self.send(to, heartbeat);
    }

    pub(super) fn handle_append_response(&mut self, now: Instant, from: u32, response: AppendResponse) {
        self.observe_term(now, response.term);
        let is_old = response.term < self.hard_state.term;
        if is_old || !self.is_leader() || !self.is_current_disk(from, response.identity) {
            return;
        }
        let last_index = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.peers.get_mut(&from) else { return };
        progress.on_response(now, response.round);
        match response.success {
            true => progress.on_match(response.index),
            false => progress.on_mismatch(response.index, last_index),
        }
        if progress.should_send_more(response.success, last_index) {
            self.send_append(now, from);
        }
        self.update_commit_index(now);
        self.grant_leases();
    }

    /// Commits the entries that a majority has on disk, once they include one of this term (Raft, section 5.4.2).
    ///
    /// An entry of an earlier term may be on a majority's disks and still be overwritten by a later leader that this
    /// majority elects (Raft, figure 8). Once an entry of this term is stored as well, no server without both can be
    /// elected.
    pub(super) fn update_commit_index(&mut self, now: Instant) {
        let Some(majority_index) = self.majority_index() else { return };
        let position = self.log.position_at(majority_index);
        let is_of_this_term = position.is_some_and(|position| position.term == self.hard_state.term);
        let may_commit = is_of_this_term || self.has_fault(ConsensusFault::CommitOldTerm);
        if majority_index <= self.commit_index || !may_commit {
            return;
        }
        self.advance_commit_index(majority_index);
        self.send_committed_to_proposers(now);
        self.grant_leases();
        // Followers learn of the commit from a heartbeat. The next one is sent early to reduce the latency for clients.
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_due = leader.heartbeat_due.min(leader.next_round_at);
        // A leader that was removed from the voters steps down once its removal is committed (Raft, section 6).
        let is_voter = self.voters().contains_key(&self.host);
        if !is_voter && self.commit_index >= self.log.configuration().index {
            self.step_down(now, None);
        }
    }

    /// Returns the index of the last entry that a majority has on disk.
    fn majority_index(&self) -> Option<u64> {
        let Role::Leader(leader) = &self.role else { return None };
        let mut indexes: Vec<u64> = leader.peers.values().map(|progress| progress.match_index).collect();
        if self.voters().contains_key(&self.host) {
            let acks_early = self.has_fault(ConsensusFault::AckBeforePersist);
            indexes.push(if acks_early { self.log.last().index } else { self.persisted_index });
        }
        nth_largest(indexes, self.quorum())
    }
}

/// Returns the greatest number that at least `count` of the values reach, or `None` if there are fewer values or
/// `count` is 0.
pub(super) fn nth_largest(mut values: Vec<u64>, count: usize) -> Option<u64> {
    values.sort_unstable_by_key(|value| std::cmp::Reverse(*value));
    count.checked_sub(1).and_then(|position| values.get(position).copied())
}
