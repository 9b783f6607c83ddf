//! Lease requests of this replica, to the leader or to a voter that may know the leader, and linearizable reads, which
//! wait for a grant.

use super::Replica;
use crate::event::ConsensusEvent;
use crate::lease::{LeaseGrant, LeaseState};
use crate::output::ReplicaOutput;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::consensus::Message;

impl Replica {
    /// Starts a linearizable read, and returns its number for `is_read_ready`.
    pub fn request_read(&mut self, now: Instant) -> u32 {
        self.lease.request_now(now);
        let sequence = self.request_lease_if_due(now);
        self.drain_raft(now);
        sequence
    }

    /// Returns whether this replica has all entries that were committed when the read was requested.
    pub fn is_read_ready(&self, sequence: u32) -> bool {
        self.lease.read_index(sequence).is_some_and(|index| self.raft.commit_index() >= index)
    }

    /// Returns whether this replica may treat its committed state as the latest at `now`.
    pub fn lease_state(&self, now: Instant) -> LeaseState {
        self.lease.state(now)
    }

    pub(super) fn on_lease_granted(&mut self, now: Instant, from: u32, grant: LeaseGrant) {
        self.lease.on_granted(now, grant);
        self.leader_hint = Some(from);
        self.raft.on_commit_advertised(now, from, grant.index);
    }

    pub(super) fn on_leader_hint(&mut self, now: Instant, from: u32, leader: Option<u32>) {
        let hint = leader.filter(|leader| *leader != from);
        self.lease.on_response();
        if hint == self.leader_hint {
            return;
        }
        self.leader_hint = hint;
        if hint.is_some() {
            self.lease.request_now(now);
            self.retry_first_proposal(now);
        }
    }

    /// Sends a lease request if one is due. Returns its sequence number, or 0 if none was due.
    pub(super) fn request_lease_if_due(&mut self, now: Instant) -> u32 {
        let Some(sequence) = self.lease.poll_request(now) else { return 0 };
        let (stored_index, identity) = (self.raft.persisted_commit_index(), self.raft.identity());
        if let Some(to) = self.leader_or_next_voter() {
            self.send(now, to, Message::RequestLease { sequence, stored_index, identity });
        }
        sequence
    }

    /// Returns the known leader, or else each of the voters in turn.
    pub(super) fn leader_or_next_voter(&mut self) -> Option<u32> {
        if let Some(leader) = self.leader() {
            return Some(leader);
        }
        let voters = self.raft.voters_to_query();
        self.last_queried_voter = self.last_queried_voter.wrapping_add(1);
        voters.get(self.last_queried_voter % voters.len().max(1)).copied()
    }

    /// Handles a message from this replica's own Raft server: as leader it grants the replica's lease.
    pub(super) fn handle_own_message(&mut self, now: Instant, message: Message) {
        if let Message::LeaseGranted { sequence, index, duration_ms, .. } = message {
            self.lease.on_granted(now, lease_grant(sequence, index, duration_ms));
        }
    }

    pub(super) fn report_lease_change(&mut self, now: Instant) {
        let is_valid = self.lease.state(now).is_valid();
        if is_valid == self.lease_was_valid {
            return;
        }
        self.lease_was_valid = is_valid;
        let commit_index = self.raft.commit_index();
        self.outputs.push_back(ReplicaOutput::Event(match is_valid {
            true => ConsensusEvent::LeaseValid { commit_index },
            false => ConsensusEvent::LeaseExpired { commit_index },
        }));
    }
}

/// Returns the grant that a LeaseGranted message contains.
pub(super) fn lease_grant(sequence: u32, index: u64, duration_ms: u32) -> LeaseGrant {
    let duration = TimeDelta::from_millis(i64::from(duration_ms));
    LeaseGrant { sequence, index, duration }
}
