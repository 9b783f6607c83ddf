//! A Raft server without I/O. It is a voter if the configuration contains its host number with its disk, or else a
//! learner that receives only committed entries. This file has the server's state and its inputs; `dispatch` passes
//! each message to the module that handles it.

mod bootstrap;
mod commit;
mod disk_identity;
mod dispatch;
mod election;
mod follower;
mod leader;
mod leader_state;
mod learner;
mod leases;
mod membership;
mod persistence;
mod progress;
mod recovery;
mod replication;

use crate::event::ConsensusEvent;
use crate::fault::ConsensusFault;
use crate::log::{Log, Snapshot};
use crate::settings::{RaftSettings, ReplicaSettings};
use crate::state::{HardState, Write};
use crate::status::{Counters, ReplicaRole, Status};
use bootstrap::BootstrapState;
use leader_state::LeaderState;
use learner::FetchState;
use persistence::{DelayedMessage, PendingWrite};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tackmast::interface::Instant;
use tackmast_wire::consensus::{DiskIdentity, EntryPayload, Message, Voters};

/// Number of uncommitted entries from which on a leader rejects proposals.
const MAX_UNCOMMITTED: u64 = 1024;
/// Greatest number of entries in one AppendEntries message.
const MAX_APPEND_ENTRIES: usize = 128;
/// Greatest size in bytes of the entries in one AppendEntries message. A single larger entry is sent alone.
const MAX_APPEND_BYTES: usize = 64 << 10;

/// An output of a Raft server, which its replica carries out or passes to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum RaftOutput {
    /// Send a message to a replica, which may be this one.
    Send {
        /// The receiver's host number.
        to: u32,
        /// The message.
        message: Message,
    },
    /// Persist a change of the state, then call `on_persisted`.
    Write(Write),
    /// Apply a committed entry.
    Commit {
        /// Index of the entry.
        index: u64,
        /// Content of the entry.
        payload: EntryPayload,
    },
    /// Replace the state machine's state by that of a snapshot.
    RestoreSnapshot(Snapshot),
    /// Encode the state machine's state as of an entry, then call `on_snapshot_taken`.
    TakeSnapshot {
        /// Index of the last entry that the state is to cover.
        index: u64,
    },
    /// Report an event to operators.
    Event(ConsensusEvent),
}

/// The role of a server and the state that belongs to it (Raft, figure 4).
#[derive(Clone, Debug)]
enum Role {
    Follower { leader: Option<u32> },
    Candidate { pre_vote: bool, votes: BTreeSet<u32> },
    Leader(Box<LeaderState>),
}

/// A Raft server.
#[derive(Clone)]
pub struct RaftNode {
    host: u32,
    identity: DiskIdentity,
    settings: RaftSettings,
    hard_state: HardState,
    log: Log,
    commit_index: u64,
    /// Index of the last entry on disk.
    persisted_index: u64,
    role: Role,
    last_leader_contact: Instant,
    election_deadline: Instant,
    /// State of the bootstrap; `None` once the server has a log.
    bootstrap: Option<BootstrapState>,
    known_disks: BTreeMap<u32, DiskIdentity>,
    known_disks_changed: bool,
    last_write: u64,
    persisted_write: u64,
    pending_writes: VecDeque<PendingWrite>,
    delayed_messages: VecDeque<DelayedMessage>,
    disk_failed: bool,
    fetch: FetchState,
    snapshot_requested: Option<u64>,
    outputs: VecDeque<RaftOutput>,
    random: oorandom::Rand64,
    fault: Option<ConsensusFault>,
    /// Numbers of events since the server started.
    pub counters: Counters,
}

impl RaftNode {
    /// Creates a server with the state that its disk holds.
    pub fn new(now: Instant, settings: ReplicaSettings) -> RaftNode {
        let ReplicaSettings { host, identity, raft, initial_voters, persisted, seed } = settings;
        let commit_index = persisted.snapshot.last.index;
        let log = Log::new(persisted.snapshot, persisted.entries);
        let has_log = !log.configuration().voters.is_empty();
        let bootstrap = (!has_log).then(|| BootstrapState::new(initial_voters, persisted.confirmed_voters));
        let mut node = RaftNode {
            host,
            identity,
            settings: raft,
            hard_state: persisted.hard_state,
            commit_index,
            persisted_index: log.last().index,
            log,
            role: Role::Follower { leader: None },
            last_leader_contact: now,
            election_deadline: now,
            bootstrap,
            known_disks: persisted.known_disks,
            known_disks_changed: false,
            last_write: 0,
            persisted_write: 0,
            pending_writes: VecDeque::new(),
            delayed_messages: VecDeque::new(),
            disk_failed: false,
            fetch: FetchState::default(),
            snapshot_requested: None,
            outputs: VecDeque::new(),
            random: oorandom::Rand64::new(u128::from(seed) << 32 | u128::from(host)),
            fault: None,
            counters: Counters::default(),
        };
        if commit_index > 0 || !node.log.snapshot().state.is_empty() {
            node.outputs.push_back(RaftOutput::RestoreSnapshot(node.log.snapshot().clone()));
        }
        node.reset_election_timer(now);
        node
    }

    /// Returns the same server with a deliberate fault, for tests.
    pub fn with_fault(mut self, fault: ConsensusFault) -> RaftNode {
        self.fault = Some(fault);
        self
    }

    fn has_fault(&self, fault: ConsensusFault) -> bool {
        self.fault == Some(fault)
    }

    /// Returns the index of the last entry that this server knows to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the index of the last entry that is committed and on this server's disk.
    pub(crate) fn persisted_commit_index(&self) -> u64 {
        self.commit_index.min(self.persisted_index)
    }

    /// Returns the identity of the disk that this server runs from.
    pub fn identity(&self) -> DiskIdentity {
        self.identity
    }

    /// Returns the voters of the latest configuration in the log, committed or not.
    pub fn voters(&self) -> &Voters {
        self.log.configuration().voters
    }

    /// Returns the hosts that are asked for a log, for committed entries or for the leader: the voters, or the initial
    /// voters during bootstrap.
    pub(crate) fn voters_to_query(&self) -> Vec<u32> {
        match &self.bootstrap {
            Some(bootstrap) => bootstrap.initial_voters.iter().copied().collect(),
            None => self.voters().keys().copied().collect(),
        }
    }

    fn other_voters(&self) -> Vec<u32> {
        self.voters().keys().copied().filter(|host| *host != self.host).collect()
    }

    /// Returns the host number of the leader that this server knows of, if any.
    pub fn leader(&self) -> Option<u32> {
        match &self.role {
            Role::Leader(_) => Some(self.host),
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
        }
    }

    /// Returns whether this server is the leader of its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this server may vote: its host number is a voter's, and its disk is the one registered for it.
    pub fn is_voter(&self) -> bool {
        if self.disk_failed || self.bootstrap.is_some() {
            return false;
        }
        let voting_disk = self.voters().get(&self.host);
        voting_disk == Some(&self.identity.disk)
            || (voting_disk.is_some() && self.has_fault(ConsensusFault::LostDiskVotes))
    }

    /// Returns the number of voters that make a majority.
    fn quorum(&self) -> usize {
        let voter_count = self.voters().len();
        match self.has_fault(ConsensusFault::MinorityCommits) {
            true => voter_count.div_ceil(2).max(1),
            false => majority(voter_count),
        }
    }

    /// Returns the log with its snapshot.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest term that this server has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    fn emit(&mut self, event: ConsensusEvent) {
        self.outputs.push_back(RaftOutput::Event(event));
    }

    /// Becomes a follower if `term` is later than this server's term (Raft, section 5.1).
    fn observe_term(&mut self, now: Instant, term: u64) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, voted_for: None };
            self.write_hard_state();
            self.step_down(now, None);
        }
    }

    fn step_down(&mut self, now: Instant, leader: Option<u32>) {
        if self.is_leader() {
            self.emit(ConsensusEvent::SteppedDown { term: self.hard_state.term });
            self.reset_election_timer(now);
        }
        self.role = Role::Follower { leader };
    }

    /// Performs all actions that are due, such as heartbeats, elections and retries.
    pub fn handle_timeout(&mut self, now: Instant) {
        if self.disk_failed {
            return;
        }
        self.handle_bootstrap_timeout(now);
        if self.is_leader() {
            self.handle_leader_timeout(now);
        } else if !self.is_voter() {
            self.handle_fetch_timeout(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
    }

    /// Returns when `handle_timeout` is due, or `None` if the server only waits for messages.
    pub fn poll_timeout(&self) -> Option<Instant> {
        if self.disk_failed {
            return None;
        }
        let role_timeout = match &self.role {
            Role::Leader(leader) => Some(leader.poll_timeout()),
            _ if self.is_voter() => Some(self.election_deadline),
            _ => self.fetch.retry_at,
        };
        let announcement = self.bootstrap.as_ref().map(|bootstrap| bootstrap.next_announcement);
        [role_timeout, announcement].into_iter().flatten().min()
    }

    /// Returns the next output, if any. Outputs are to be carried out in order.
    pub fn poll_output(&mut self) -> Option<RaftOutput> {
        self.outputs.pop_front()
    }

    /// Returns the state at `now`, for operators.
    pub fn status(&self, now: Instant) -> Status {
        let (role, followers) = match &self.role {
            Role::Follower { .. } => (ReplicaRole::Follower, BTreeMap::new()),
            Role::Candidate { .. } => (ReplicaRole::Candidate, BTreeMap::new()),
            Role::Leader(leader) => (ReplicaRole::Leader, leader.follower_status(now)),
        };
        Status {
            role,
            term: self.hard_state.term,
            leader: self.leader(),
            last_index: self.log.last().index,
            commit_index: self.commit_index,
            snapshot_index: self.log.snapshot().last.index,
            voters: self.voters().clone(),
            is_voter: self.is_voter(),
            bootstrapped: self.bootstrap.is_none(),
            disk_failed: self.disk_failed,
            followers,
        }
    }
}

/// Returns the smallest number of voters such that any two sets of that size overlap.
fn majority(voter_count: usize) -> usize {
    voter_count / 2 + 1
}
