//! Log replication by a leader (Raft, section 5.3): AppendEntries to each peer from where its log matches, and the commit
//! index by what a majority has on disk (section 5.4.2).

use super::*;

/// Bytes of commands above which a message counts as large: it takes many datagrams, and its time.
const LARGE_APPEND_BYTES: usize = 8 << 10;
/// Heartbeat intervals that a large message has, during which its receiver is sent heartbeats only.
const LARGE_APPEND_HEARTBEATS: f64 = 20.0;

/// What a leader knows of a peer's log.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    next_index: u64,
    /// Index up to which its log, on its disk, is known to match.
    match_index: u64,
    /// The newest round that it responded to.
    pub round: u64,
    pub last_response: Instant,
    /// Whether something new matched since the last round.
    progressed: bool,
    /// When a large message was sent that may still be on its way.
    large_sent_at: Option<Instant>,
}

/// The fields of an AppendEntriesResponse message.
pub(super) struct AppendResponse {
    pub term: u64,
    pub round: u64,
    pub success: bool,
    pub index: u64,
    pub identity: DiskIdentity,
}

impl Progress {
    /// Of a peer of whose log nothing is known.
    pub(super) fn new(now: Instant, next_index: u64) -> Progress {
        Progress {
            next_index,
            match_index: 0,
            round: 0,
            last_response: now,
            progressed: false,
            large_sent_at: None,
        }
    }

    /// What was sent and brought nothing since the last round was lost: it is sent again.
    pub(super) fn retry_if_stalled(&mut self, now: Instant, settings: &RaftSettings) {
        let large_time = settings.heartbeats(LARGE_APPEND_HEARTBEATS);
        let has_progressed = std::mem::take(&mut self.progressed);
        if !has_progressed && self.large_sent_at.is_none_or(|sent_at| now - sent_at >= large_time) {
            self.next_index = self.match_index + 1;
        }
    }

    fn on_response(&mut self, now: Instant, response: &AppendResponse, last_index: u64) {
        self.last_response = now;
        self.round = self.round.max(response.round);
        if response.success {
            if response.index > self.match_index {
                self.progressed = true;
                self.large_sent_at = None;
            }
            self.match_index = self.match_index.max(response.index);
            self.next_index = self.next_index.max(self.match_index + 1);
        } else if self.large_sent_at.is_none() {
            self.next_index = (response.index + 1).clamp(self.match_index + 1, last_index + 1);
            self.progressed = true;
        }
    }

    /// Whether more is to be sent now, in response to a response.
    fn wants_more(&self, is_success: bool, last_index: u64) -> bool {
        let is_close = !is_success || self.next_index <= self.match_index + MAX_APPEND_ENTRIES as u64;
        self.next_index <= last_index && is_close && self.large_sent_at.is_none()
    }
}

fn command_bytes(entries: &[Entry]) -> usize {
    let length = |entry: &Entry| match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        _ => 0,
    };
    entries.iter().map(length).sum()
}

impl RaftNode {
    /// New entries go out at once to all peers that lack them.
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
        let large_time = self.settings.heartbeats(LARGE_APPEND_HEARTBEATS);
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let Some(progress) = leader.peers.get_mut(&to) else { return };
        progress.large_sent_at = progress.large_sent_at.filter(|sent_at| now - *sent_at < large_time);
        let is_large_pending = progress.large_sent_at.is_some();
        let previous = match is_large_pending {
            true => self.log.position_at(progress.match_index),
            false => self.log.position_at(progress.next_index - 1),
        };
        let Some(previous) = previous else {
            return self.send_snapshot(now, to);
        };
        let entries = match is_large_pending {
            true => Vec::new(),
            false => self.log.entries_from(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES),
        };
        progress.next_index += entries.len() as u64;
        if command_bytes(&entries) > LARGE_APPEND_BYTES {
            progress.large_sent_at = Some(now);
        }
        let (log_id, term, commit_index) =
            (self.log.snapshot().log_id, self.hard_state.term, self.commit_index);
        self.send(to, Message::AppendEntries { log_id, term, round, previous, commit_index, entries });
    }

    /// The peer lacks entries that were compacted. While a snapshot is on its way it receives heartbeats at least.
    fn send_snapshot(&mut self, now: Instant, to: u32) {
        let term = self.hard_state.term;
        let Snapshot { log_id, last, voters, state } = self.log.snapshot().clone();
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let Some(progress) = leader.peers.get_mut(&to) else { return };
        if progress.large_sent_at.is_none() {
            progress.large_sent_at = Some(now);
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
        progress.on_response(now, &response, last_index);
        if progress.wants_more(response.success, last_index) {
            self.send_append(now, from);
        }
        self.update_commit_index(now);
        self.grant_leases();
    }

    /// What a majority has on disk is committed, once an entry of this term is among it (Raft, section 5.4.2).
    pub(super) fn update_commit_index(&mut self, now: Instant) {
        let Some(majority_index) = self.majority_index() else { return };
        let position = self.log.position_at(majority_index);
        let is_of_this_term = position.is_some_and(|position| position.term == self.hard_state.term);
        let may_commit = is_of_this_term || self.has_fault(ConsensusFault::CommitOldTerm);
        if majority_index <= self.commit_index || !may_commit {
            return;
        }
        self.advance_commit_index(majority_index);
        self.notify_proposers(now);
        self.grant_leases();
        // Followers need not wait for the next heartbeat to learn of it.
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_due = leader.heartbeat_due.min(leader.next_round_at);
        // A leader that was removed from the voters steps down once that is committed (Raft, section 6).
        let is_voter = self.voters().contains_key(&self.me);
        if !is_voter && self.commit_index >= self.log.configuration().index {
            self.step_down(now, None);
        }
    }

    /// Index of the last entry that a majority has on disk.
    fn majority_index(&self) -> Option<u64> {
        let Role::Leader(leader) = &self.role else { return None };
        let mut indexes: Vec<u64> = leader.peers.values().map(|progress| progress.match_index).collect();
        if self.voters().contains_key(&self.me) {
            let acks_early = self.has_fault(ConsensusFault::AckBeforePersist);
            indexes.push(if acks_early { self.log.last().index } else { self.persisted_index });
        }
        nth_largest(indexes, self.quorum())
    }
}

/// What at least `count` of the values reach.
pub(super) fn nth_largest(mut values: Vec<u64>, count: usize) -> Option<u64> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    count.checked_sub(1).and_then(|position| values.get(position).copied())
}
