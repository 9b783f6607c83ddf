//! What a server keeps while it leads (Raft, figure 2): the progress of its peers, and the leases that replicas request.

use super::progress::Progress;
use crate::status::FollowerStatus;
use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::{Instant, TimeDelta};

/// What another replica reported with its last request for a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredReport {
    pub stored_index: u64,
    pub at: Instant,
}

/// What a server keeps while it leads.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    /// Index of the first entry of its own term. Once that entry is committed, all before it are known to be.
    pub term_start_index: u64,
    pub peers: BTreeMap<u32, Progress>,
    /// Number of the last heartbeat round.
    pub round: u64,
    pub heartbeat_due: Instant,
    /// The next round begins no sooner, however many requests wait for it.
    pub next_round_at: Instant,
    /// By host, the lease request that waits for a round.
    pub lease_requests: BTreeMap<u32, WaitingRequest>,
    /// By host, what it reported last.
    pub stored: BTreeMap<u32, StoredReport>,
    /// By host, the id of its disk as it reported it.
    pub disks: BTreeMap<u32, u64>,
    /// The commit index that learners were sent.
    pub announced_commit: u64,
    /// By index of an entry that is not committed yet, the host that proposed it.
    pub proposers: BTreeMap<u64, u32>,
}

impl LeaderState {
    /// The state at the beginning of a term.
    pub(super) fn new(now: Instant, term_start_index: u64, commit_index: u64) -> LeaderState {
        LeaderState {
            term_start_index,
            peers: BTreeMap::new(),
            round: 0,
            heartbeat_due: now,
            next_round_at: now,
            lease_requests: BTreeMap::new(),
            stored: BTreeMap::new(),
            disks: BTreeMap::new(),
            announced_commit: commit_index,
            proposers: BTreeMap::new(),
        }
    }

    /// Whether a lease request waits for a round that has not begun.
    pub(super) fn awaits_round(&self) -> bool {
        self.lease_requests.values().any(|request| request.round > self.round)
    }

    /// When the next round is due.
    pub(super) fn poll_timeout(&self) -> Instant {
        match self.awaits_round() {
            true => self.next_round_at.min(self.heartbeat_due),
            false => self.heartbeat_due,
        }
    }

    /// Voters that have responded within that time, this server included.
    pub(super) fn reachable(&self, now: Instant, silent_for: TimeDelta) -> usize {
        let responds = |progress: &&Progress| now - progress.last_response < silent_for;
        1 + self.peers.values().filter(responds).count()
    }

    /// The learners that reported fewer entries than are committed, with the index up to which they have them.
    pub(super) fn learners_behind(&self, commit_index: u64) -> Vec<(u32, u64)> {
        let is_learner = |host: &u32| !self.peers.contains_key(host);
        let is_behind = |report: &StoredReport| report.stored_index < commit_index;
        let behind = self.stored.iter().filter(|(host, report)| is_learner(host) && is_behind(report));
        behind.map(|(host, report)| (*host, report.stored_index)).collect()
    }

    /// Removes the lease requests whose round a majority has responded to.
    pub(super) fn take_confirmed_requests(&mut self, confirmed_round: u64) -> Vec<(u32, WaitingRequest)> {
        let is_confirmed = |_: &u32, request: &mut WaitingRequest| request.round <= confirmed_round;
        self.lease_requests.extract_if(.., is_confirmed).collect()
    }

    /// Removes the hosts whose proposals are committed.
    pub(super) fn take_committed_proposers(&mut self, commit_index: u64) -> BTreeSet<u32> {
        let uncommitted = self.proposers.split_off(&(commit_index + 1));
        std::mem::replace(&mut self.proposers, uncommitted).into_values().collect()
    }

    /// What other replicas have reported.
    pub(super) fn follower_status(&self, now: Instant) -> BTreeMap<u32, FollowerStatus> {
        let status = |report: &StoredReport| FollowerStatus {
            stored_index: report.stored_index,
            silent_for: now - report.at,
        };
        self.stored.iter().map(|(host, report)| (*host, status(report))).collect()
    }
}

/// A lease request that waits for its heartbeat round.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    /// Generation of the process that sent it.
    pub generation: u64,
    pub sequence: u32,
    /// The round that a majority has to respond to.
    pub round: u64,
}
