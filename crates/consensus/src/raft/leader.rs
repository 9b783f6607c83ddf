//! Proposals and heartbeat rounds of a leader. A leader steps down if it has had no responses
//! from a majority for some time (thesis, section 6.2). Otherwise clients would wait for commits that cannot happen,
//! while another leader may have been elected.

use super::leader_state::LeaderState;
use super::progress::Progress;
use super::{RaftNode, Role, MAX_APPEND_ENTRIES, MAX_UNCOMMITTED};
use crate::error::ProposeError;
use crate::event::ConsensusEvent;
use bytes::Bytes;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{Entry, EntryPayload, Message, MAX_ENTRY};

/// Minimum time between two rounds, as a fraction of the heartbeat interval, however many lease requests wait.
const MIN_ROUND_HEARTBEATS: f64 = 0.2;
/// Number of election timeouts without responses from a majority after which a leader steps down.
const QUORUM_LOSS_TIMEOUTS: f64 = 2.0;

impl RaftNode {
    pub(super) fn become_leader(&mut self, now: Instant) {
        let last_index = self.log.last().index;
        let leader = LeaderState::new(now, last_index + 1, self.commit_index);
        self.role = Role::Leader(Box::new(leader));
        self.counters.terms_led += 1;
        let (term, commit_index) = (self.hard_state.term, self.commit_index);
        self.emit(ConsensusEvent::BecameLeader { term, last_index, commit_index });
        self.append_entry(now, EntryPayload::Noop);
    }

    /// Appends an entry of this term, sends it to the peers and returns its index.
    pub(super) fn append_entry(&mut self, now: Instant, payload: EntryPayload) -> u64 {
        let entry = Entry { term: self.hard_state.term, payload };
        let index = self.log.push(entry.clone());
        self.write_entries(index, vec![entry]);
        self.update_peers(now);
        self.send_new_entries(now);
        index
    }

    /// Updates the peers to the other voters of the latest configuration.
    fn update_peers(&mut self, now: Instant) {
        let last_index = self.log.last().index;
        let voters = self.other_voters();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.peers.retain(|host, _| voters.contains(host));
        for host in voters {
            leader.peers.entry(host).or_insert(Progress::new(now, last_index));
        }
    }

    /// Appends a command and returns the index of its entry. Only a leader accepts commands.
    pub fn propose(&mut self, now: Instant, data: Bytes) -> Result<u64, ProposeError> {
        if data.len() > MAX_ENTRY {
            return Err(ProposeError::TooLong { bytes: data.len() });
        }
        self.check_can_append()?;
        Ok(self.append_entry(now, EntryPayload::Command(data)))
    }

    pub(super) fn check_can_append(&self) -> Result<(), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader { leader: self.leader() });
        }
        let uncommitted = self.log.last().index - self.commit_index;
        match uncommitted >= MAX_UNCOMMITTED {
            true => Err(ProposeError::QueueFull { waiting: uncommitted }),
            false => Ok(()),
        }
    }

    /// Appends another replica's proposal. That replica is sent the entry as soon as it is committed.
    pub(super) fn handle_proposal(&mut self, now: Instant, from: u32, data: Bytes) {
        match self.propose(now, data) {
            Ok(index) => {
                if let Role::Leader(leader) = &mut self.role {
                    leader.proposers.insert(index, from);
                }
                // If this server alone is a majority, the entry may be committed already.
                self.send_committed_to_proposers(now);
            }
            Err(ProposeError::NotLeader { leader }) => {
                self.send(from, Message::LeaderHint { term: self.hard_state.term, leader });
            }
            Err(_) => {}
        }
    }

    pub(super) fn send_committed_to_proposers(&mut self, now: Instant) {
        let commit_index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else { return };
        for host in leader.take_committed_proposers(commit_index) {
            let Role::Leader(leader) = &self.role else { return };
            if leader.peers.contains_key(&host) {
                self.send_append(now, host);
            } else {
                let stored_index =
                    leader.stored_reports.get(&host).map_or(commit_index, |report| report.stored_index);
                let min_start_index = commit_index.saturating_sub(MAX_APPEND_ENTRIES as u64);
                self.send_committed(host, stored_index.max(min_start_index));
            }
        }
    }

    /// Sends learners the entries that were committed since the last round, without retries. A learner that does not
    /// receive them learns of the commit with its next lease.
    fn notify_learners(&mut self) {
        let commit_index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else { return };
        if std::mem::replace(&mut leader.announced_commit_index, commit_index) >= commit_index {
            return;
        }
        for (host, stored_index) in leader.learners_behind(commit_index) {
            self.send_committed(host, stored_index);
        }
    }

    pub(super) fn handle_leader_timeout(&mut self, now: Instant) {
        let quorum = self.quorum();
        let timeout = self.settings.election_timeouts(QUORUM_LOSS_TIMEOUTS);
        let Role::Leader(leader) = &self.role else { return };
        let reachable = leader.reachable_voters(now, timeout);
        if reachable < quorum {
            self.emit(ConsensusEvent::QuorumLost { silent_for: timeout, reachable, quorum });
            return self.step_down(now, None);
        }
        if now >= leader.heartbeat_due || (leader.awaits_round() && now >= leader.next_round_at) {
            self.update_peers(now);
            self.start_round(now);
        }
    }

    /// Starts a heartbeat round (thesis, section 6.4). A server that responds to it accepted this server as leader at
    /// some moment after `now`.
    pub(super) fn start_round(&mut self, now: Instant) {
        let settings = self.settings;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.round += 1;
        leader.next_round_at = now + settings.heartbeats(MIN_ROUND_HEARTBEATS);
        leader.heartbeat_due = now + settings.heartbeat_interval;
        for progress in leader.peers.values_mut() {
            progress.retry_if_stalled(now, &settings);
        }
        let peers: Vec<u32> = leader.peers.keys().copied().collect();
        for host in peers {
            self.send_append(now, host);
        }
        self.notify_learners();
        self.grant_leases();
    }

    /// Returns whether each of these hosts has reported to this leader that the entry at `index` is on its disk. On a
    /// server that is not the leader the result is always `false`.
    pub fn is_stored_on_all(&self, hosts: impl IntoIterator<Item = u32>, index: u64) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let is_stored = |host: u32| {
            let report = leader.stored_reports.get(&host);
            report.is_some_and(|report| report.stored_index >= index)
        };
        hosts.into_iter().all(is_stored)
    }
}
