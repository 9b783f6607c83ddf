//! Volatile state of a leader (Raft, figure 2): the progress of its peers, and the lease requests of replicas.

use super::progress::Progress;
use crate::status::FollowerStatus;
use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::{Instant, TimeDelta};

/// A replica's report of its stored entries, from its last lease request.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredReport {
    pub stored_index: u64,
    pub at: Instant,
}

/// Volatile state of a leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    /// Index of the first entry of the leader's own term. Once it is committed, all earlier entries are known to be.
    pub term_start_index: u64,
    pub peers: BTreeMap<u32, Progress>,
    /// Number of the last heartbeat round.
    pub round: u64,
    pub heartbeat_due: Instant,
    /// Earliest time of the next round, regardless of the number of requests that wait for it.
    pub next_round_at: Instant,
    /// Lease requests that wait for a round, by host number.
    pub lease_requests: BTreeMap<u32, PendingLeaseRequest>,
    /// Last report of each replica, by host number.
    pub stored_reports: BTreeMap<u32, StoredReport>,
    /// Id of each replica's disk as last reported, by host number.
    pub reported_disks: BTreeMap<u32, u64>,
    /// The commit index up to which learners were sent entries.
    pub announced_commit_index: u64,
    /// Host that proposed an entry, by index of the uncommitted entry.
    pub proposers: BTreeMap<u64, u32>,
}

impl LeaderState {
    /// Returns the state at the start of a term.
    pub(super) fn new(now: Instant, term_start_index: u64, commit_index: u64) -> LeaderState {
        LeaderState {
            term_start_index,
            peers: BTreeMap::new(),
            round: 0,
            heartbeat_due: now,
            next_round_at: now,
            lease_requests: BTreeMap::new(),
            stored_reports: BTreeMap::new(),
            reported_disks: BTreeMap::new(),
            announced_commit_index: commit_index,
            proposers: BTreeMap::new(),
        }
    }

    /// Returns whether a lease request waits for a round that has not started.
    pub(super) fn awaits_round(&self) -> bool {
        self.lease_requests.values().any(|request| request.round > self.round)
    }

    /// Returns when the next round is due.
    pub(super) fn poll_timeout(&self) -> Instant {
        match self.awaits_round() {
            true => self.next_round_at.min(self.heartbeat_due),
            false => self.heartbeat_due,
        }
    }

    /// Returns the number of voters that have responded within `timeout`, including this server.
    pub(super) fn reachable_voters(&self, now: Instant, timeout: TimeDelta) -> usize {
        let is_reachable = |progress: &&Progress| now - progress.last_response < timeout;
        1 + self.peers.values().filter(is_reachable).count()
    }

    /// Returns the host numbers of learners that lack committed entries, each with the last index that it reported.
    pub(super) fn learners_behind(&self, commit_index: u64) -> Vec<(u32, u64)> {
        let is_learner = |host: &u32| !self.peers.contains_key(host);
        let is_behind = |report: &StoredReport| report.stored_index < commit_index;
        let behind =
            self.stored_reports.iter().filter(|(host, report)| is_learner(host) && is_behind(report));
        behind.map(|(host, report)| (*host, report.stored_index)).collect()
    }

    /// Removes and returns the lease requests whose round a majority has responded to, with their host numbers.
    pub(super) fn take_confirmed_requests(
        &mut self,
        confirmed_round: u64,
    ) -> Vec<(u32, PendingLeaseRequest)> {
        let is_confirmed = |_: &u32, request: &mut PendingLeaseRequest| request.round <= confirmed_round;
        self.lease_requests.extract_if(.., is_confirmed).collect()
    }

    /// Removes and returns the hosts whose proposals are committed.
    pub(super) fn take_committed_proposers(&mut self, commit_index: u64) -> BTreeSet<u32> {
        let uncommitted = self.proposers.split_off(&(commit_index + 1));
        std::mem::replace(&mut self.proposers, uncommitted).into_values().collect()
    }

    /// Returns the last reports of other replicas, by host number.
    pub(super) fn follower_status(&self, now: Instant) -> BTreeMap<u32, FollowerStatus> {
        let status = |report: &StoredReport| FollowerStatus {
            stored_index: report.stored_index,
            silent_for: now - report.at,
        };
        self.stored_reports.iter().map(|(host, report)| (*host, status(report))).collect()
    }
}

/// A lease request that waits for a heartbeat round.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingLeaseRequest {
    /// Generation of the process that sent the request.
    pub generation: u64,
    pub sequence: u32,
    /// The round that a majority has to respond to before the lease is granted.
    pub round: u64,
}
