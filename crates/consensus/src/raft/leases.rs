//! Granting of leases by a leader, in the same way as read-only requests are answered in the thesis (section 6.4).
//!
//! A leader that was replaced may not know it yet, and its commit index may be out of date. A request therefore waits
//! for a heartbeat round that starts after its arrival, and is granted once a majority has responded to that round.
//! That majority was still in this leader's term when the round started. So no later leader had been elected by then,
//! and no entry after this leader's commit index was committed before the request.

use super::leader_state::{PendingLeaseRequest, StoredReport};
use super::replication::nth_largest;
use super::{RaftNode, Role};
use crate::fault::ConsensusFault;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{DiskIdentity, Message};

/// Greatest number of hosts whose reports and requests a leader stores.
const MAX_TRACKED_HOSTS: usize = 100_000;

/// The fields of a RequestLease message.
pub(super) struct LeaseRequest {
    pub sequence: u32,
    pub stored_index: u64,
    pub identity: DiskIdentity,
}

impl RaftNode {
    pub(super) fn handle_lease_request(&mut self, now: Instant, from: u32, request: LeaseRequest) {
        let Role::Leader(leader) = &mut self.role else {
            let (term, leader) = (self.hard_state.term, self.leader());
            return self.send(from, Message::LeaderHint { term, leader });
        };
        let is_full =
            leader.stored_reports.len() >= MAX_TRACKED_HOSTS && !leader.stored_reports.contains_key(&from);
        if from >= self.settings.host_count || is_full {
            return;
        }
        let LeaseRequest { sequence, stored_index, identity } = request;
        let pending =
            PendingLeaseRequest { generation: identity.generation, sequence, round: leader.round + 1 };
        leader.stored_reports.insert(from, StoredReport { stored_index, at: now });
        leader.reported_disks.insert(from, identity.disk);
        leader.lease_requests.insert(from, pending);
        let may_start_round = now >= leader.next_round_at;
        if self.has_fault(ConsensusFault::StaleRead) {
            self.grant_without_round();
        }
        if may_start_round {
            self.start_round(now);
        }
    }

    /// Grants the lease requests whose round a majority has responded to.
    pub(super) fn grant_leases(&mut self) {
        let quorum = self.quorum();
        let is_voter = self.voters().contains_key(&self.host);
        let Role::Leader(leader) = &mut self.role else { return };
        // Until an entry of its own term is committed, a new leader's commit index may be lower than that of an earlier
        // leader. With a lease on that index a replica would serve an old state as the latest.
        if self.commit_index < leader.term_start_index {
            return;
        }
        let mut rounds: Vec<u64> = leader.peers.values().map(|progress| progress.round).collect();
        if is_voter {
            rounds.push(leader.round);
        }
        let Some(confirmed_round) = nth_largest(rounds, quorum) else { return };
        for (host, request) in leader.take_confirmed_requests(confirmed_round) {
            self.counters.leases_granted += 1;
            self.send_lease(host, request);
        }
    }

    /// Grants all requests without a heartbeat round, which is the fault `StaleRead`.
    fn grant_without_round(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for (host, request) in std::mem::take(&mut leader.lease_requests) {
            self.send_lease(host, request);
        }
    }

    fn send_lease(&mut self, to: u32, request: PendingLeaseRequest) {
        let PendingLeaseRequest { generation: to_generation, sequence, .. } = request;
        let (log_id, term, index) = (self.log.snapshot().log_id, self.hard_state.term, self.commit_index);
        let duration_ms = (self.settings.lease_duration.secs() * 1e3) as u32;
        self.send(to, Message::LeaseGranted { log_id, to_generation, sequence, term, index, duration_ms });
    }
}
