//! The lease of this replica: its requests to the leader, or to a voter that may know the leader, and linearizable reads,
//! which wait for a grant.

use super::Replica;
use crate::event::ConsensusEvent;
use crate::lease::{LeaseGrant, LeaseState};
use crate::output::ReplicaOutput;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::consensus::Message;

impl Replica {
    /// Starts a linearizable read; returns a number for `is_read_ready`.
    pub fn request_read(&mut self, now: Instant) -> u32 {
        self.lease.request_now(now);
        let sequence = self.request_lease_if_due(now);
        self.drain_raft(now);
        sequence
    }

    /// Whether all that was committed when the read was requested is here.
    pub fn is_read_ready(&self, sequence: u32) -> bool {
        self.lease.read_index(sequence).is_some_and(|index| self.raft.commit_index() >= index)
    }

    /// Whether this replica may treat what it has as the newest.
    pub fn lease_state(&self, now: Instant) -> LeaseState {
        self.lease.state(now)
    }

    pub(super) fn on_lease_granted(&mut self, now: Instant, from: u32, grant: LeaseGrant) {
        self.lease.on_granted(now, grant);
        self.leader_hint = Some(from);
        self.raft.on_commit_advertised(now, from, grant.index);
    }

    pub(super) fn on_leader_hint(&mut self, now: Instant, from: u32, leader: Option<u32>) {
        let named = leader.filter(|leader| *leader != from);
        self.lease.on_response();
        if named == self.leader_hint {
            return;
        }
        self.leader_hint = named;
        if named.is_some() {
            self.lease.request_now(now);
            self.retry_first_proposal(now);
        }
    }

    /// The number of the request; 0 if none was due.
    pub(super) fn request_lease_if_due(&mut self, now: Instant) -> u32 {
        let Some(sequence) = self.lease.poll_request(now) else { return 0 };
        let (stored_index, identity) = (self.raft.persisted_commit_index(), self.raft.identity());
        if let Some(to) = self.leader_or_next_voter() {
            self.send(now, to, Message::RequestLease { sequence, stored_index, identity });
        }
        sequence
    }

    /// The leader as far as it is known; else each of the voters in turn.
    pub(super) fn leader_or_next_voter(&mut self) -> Option<u32> {
        if let Some(leader) = self.leader() {
            return Some(leader);
        }
        let voters = self.raft.voters_to_query();
        self.next_voter = self.next_voter.wrapping_add(1);
        voters.get(self.next_voter % voters.len().max(1)).copied()
    }

    /// A leader grants the lease of its own replica as well.
    pub(super) fn on_message_to_itself(&mut self, now: Instant, message: Message) {
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

/// The grant of a LeaseGranted message.
pub(super) fn lease_grant(sequence: u32, index: u64, duration_ms: u32) -> LeaseGrant {
    let duration = TimeDelta::from_millis(i64::from(duration_ms));
    LeaseGrant { sequence, index, duration }
}
