//! A replica of the group: a Raft server, its lease, and its own proposals until they are committed. This is the state
//! machine that a host drives: the functions `handle_…` and `on_…` take inputs, the functions `poll_…` return outputs
//! and the next timeout.
//!
//! `lease_requests` handles the lease and linearizable reads, `proposals` this replica's own proposals. `sessions`
//! prevents a proposal from being applied twice, and `effective` determines when a committed entry is effective.

mod effective;
mod lease_requests;
mod proposals;
mod sessions;

use crate::error::RecoveryError;
use crate::event::ConsensusEvent;
use crate::fault::ConsensusFault;
use crate::lease::Lease;
use crate::log::Snapshot;
use crate::output::ReplicaOutput;
use crate::raft::{RaftNode, RaftOutput};
use crate::settings::{RaftSettings, ReplicaSettings};
use crate::status::Status;
use bytes::Bytes;
use effective::CommitTimes;
use lease_requests::lease_grant;
use proposals::PendingProposal;
use sessions::{Proposal, Sessions};
use std::collections::{BTreeSet, VecDeque};
use tackmast::interface::Instant;
use tackmast_wire::consensus::{EntryPayload, Message};

/// Number of consecutive lease requests without a response after which the replica asks another voter for the leader.
const MAX_UNANSWERED_REQUESTS: u32 = 2;
/// Time within which commits are recorded as one batch, in heartbeat intervals.
const COMMIT_BATCH_HEARTBEATS: f64 = 0.25;

/// A requested snapshot, with the client sessions as of its last entry.
#[derive(Clone)]
struct PendingSnapshot {
    index: u64,
    sessions: Sessions,
}

/// A replica of the group, which its host drives.
#[derive(Clone)]
pub struct Replica {
    host: u32,
    settings: RaftSettings,
    /// The replica's Raft server.
    pub raft: RaftNode,
    lease: Lease,
    /// Position of the last voter that was asked for the leader.
    last_queried_voter: usize,
    leader_hint: Option<u32>,
    sessions: Sessions,
    initial_voters: BTreeSet<u32>,
    last_proposal: u32,
    proposals: VecDeque<PendingProposal>,
    commit_times: CommitTimes,
    lease_was_valid: bool,
    other_log_reported: bool,
    pending_snapshot: Option<PendingSnapshot>,
    outputs: VecDeque<ReplicaOutput>,
    fault: Option<ConsensusFault>,
}

impl Replica {
    /// Creates a replica with the state that its disk holds.
    pub fn new(now: Instant, settings: ReplicaSettings) -> Replica {
        let (host, raft) = (settings.host, settings.raft);
        let commit_wait = Lease::commit_wait(raft.lease_duration, raft.max_clock_drift);
        let mut replica = Replica {
            host,
            settings: raft,
            initial_voters: settings.initial_voters.clone(),
            raft: RaftNode::new(now, settings),
            lease: Lease::new(now, raft.lease_duration, raft.max_clock_drift),
            last_queried_voter: host as usize,
            leader_hint: None,
            sessions: Sessions::default(),
            last_proposal: 0,
            proposals: VecDeque::new(),
            commit_times: CommitTimes::new(commit_wait, raft.heartbeats(COMMIT_BATCH_HEARTBEATS)),
            lease_was_valid: false,
            other_log_reported: false,
            pending_snapshot: None,
            outputs: VecDeque::new(),
            fault: None,
        };
        replica.drain_raft(now);
        replica
    }

    /// Returns the same replica with a deliberate fault, for tests.
    pub fn with_fault(mut self, fault: ConsensusFault) -> Replica {
        self.raft = self.raft.with_fault(fault);
        self.lease = self.lease.with_fault(fault);
        self.fault = Some(fault);
        self
    }

    /// Returns the index of the last entry that this replica knows to be committed.
    pub fn commit_index(&self) -> u64 {
        self.raft.commit_index()
    }

    /// Returns the index of the last effective entry. No replica, connected or not, serves a state without this entry
    /// as the latest any more.
    pub fn effective_index(&self, now: Instant) -> u64 {
        self.commit_times.effective_index(now).unwrap_or(self.raft.commit_index())
    }

    /// Returns when the last entry that this replica knows to be committed will be effective, or `now` if it already
    /// is.
    pub fn effective_at(&self, now: Instant) -> Instant {
        self.commit_times.effective_at(now)
    }

    /// Returns the host number of the leader that this replica knows of, if any.
    pub fn leader(&self) -> Option<u32> {
        self.raft.leader().or(self.leader_hint)
    }

    /// Returns the state at `now`, for operators.
    pub fn status(&self, now: Instant) -> Status {
        Status { leader: self.leader(), ..self.raft.status(now) }
    }

    fn generation(&self) -> u64 {
        self.raft.identity().generation
    }

    /// Starts a new log with this replica as the only voter, after a majority of the voters is permanently lost, and
    /// returns the log's id. `state` is the state machine's encoded state as of the last committed entry.
    pub fn force_new_log(&mut self, now: Instant, state: &[u8]) -> Result<u64, RecoveryError> {
        let log_id = self.raft.force_new_log(now, self.sessions.encode_with(state))?;
        self.reset_for_new_log(now);
        self.drain_raft(now);
        Ok(log_id)
    }

    /// Discards the log, so that this replica can follow another one. Its lease is no longer valid.
    pub fn discard_log(&mut self, now: Instant) -> Result<(), RecoveryError> {
        self.raft.discard_log(now, &self.initial_voters)?;
        self.reset_for_new_log(now);
        self.sessions.clear();
        self.commit_times.clear();
        self.drain_raft(now);
        Ok(())
    }

    fn reset_for_new_log(&mut self, now: Instant) {
        self.lease = Lease::new(now, self.settings.lease_duration, self.settings.max_clock_drift);
        self.leader_hint = None;
        self.other_log_reported = false;
        self.pending_snapshot = None;
    }

    /// Handles a message from the replica of host `from`.
    pub fn handle_message(&mut self, now: Instant, from: u32, message: Message) {
        match message {
            Message::LeaseGranted { log_id, to_generation, sequence, index, duration_ms, .. } => {
                let accepts_any_generation = self.fault == Some(ConsensusFault::GenerationsMixed);
                if to_generation == self.generation() || accepts_any_generation {
                    if self.is_of_other_log(log_id) {
                        return self.report_other_log(from);
                    }
                    self.on_lease_granted(now, from, lease_grant(sequence, index, duration_ms));
                }
            }
            Message::LeaderHint { leader, .. } => self.on_leader_hint(now, from, leader),
            message => self.raft.handle_message(now, from, message),
        }
        self.handle_timeout(now);
    }

    /// Returns whether `log_id` differs from the id of this replica's log, which has committed entries.
    fn is_of_other_log(&self, log_id: u64) -> bool {
        log_id != self.raft.log().snapshot().log_id && self.raft.commit_index() > 0
    }

    fn report_other_log(&mut self, host: u32) {
        if !std::mem::replace(&mut self.other_log_reported, true) {
            self.outputs.push_back(ReplicaOutput::Event(ConsensusEvent::OtherLog { peer: host }));
        }
    }

    /// Handles the completion of the write with this number and of all before it.
    pub fn on_persisted(&mut self, now: Instant, write_id: u64) {
        self.raft.on_persisted(now, write_id);
        self.drain_raft(now);
    }

    /// Handles a failed write. This replica takes no part until its process restarts.
    pub fn on_persist_failed(&mut self, now: Instant) {
        self.raft.on_persist_failed();
        self.drain_raft(now);
    }

    /// Handles the state machine's encoded state as of entry `index`, which the output `TakeSnapshot` requested. Any
    /// other state is ignored.
    pub fn on_snapshot_taken(&mut self, now: Instant, index: u64, state: &[u8]) {
        // The sessions are stored as of the snapshot's last entry, like the state. With later sessions, proposals that
        // were committed since would count as applied although the state lacks them.
        let pending = self.pending_snapshot.take_if(|pending| pending.index == index);
        let Some(PendingSnapshot { sessions, .. }) = pending else { return };
        self.raft.on_snapshot_taken(index, sessions.encode_with(state));
        self.drain_raft(now);
    }

    /// Performs all actions that are due, such as heartbeats, elections, lease requests and retries.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.raft.handle_timeout(now);
        // Without responses, another replica may be the leader by now.
        if self.lease.unanswered_requests() >= MAX_UNANSWERED_REQUESTS {
            self.leader_hint = None;
        }
        self.request_lease_if_due(now);
        self.send_first_proposal(now);
        self.drain_raft(now);
        self.report_lease_change(now);
    }

    /// Returns when `handle_timeout` is due.
    pub fn poll_timeout(&self, now: Instant) -> Instant {
        let lease = self.lease.poll_timeout(now);
        let proposal = self.proposals.front().map(PendingProposal::poll_timeout);
        [self.raft.poll_timeout(), proposal].into_iter().flatten().fold(lease, Instant::min)
    }

    /// Returns the next output, if any. Outputs are to be carried out in order.
    pub fn poll_output(&mut self) -> Option<ReplicaOutput> {
        self.outputs.pop_front()
    }

    fn send(&mut self, now: Instant, to: u32, message: Message) {
        if to != self.host {
            return self.outputs.push_back(ReplicaOutput::Send { to, message });
        }
        self.raft.handle_message(now, to, message);
    }

    /// Converts all outputs of the Raft server to outputs of this replica.
    fn drain_raft(&mut self, now: Instant) {
        while let Some(output) = self.raft.poll_output() {
            if let Some(output) = self.convert_output(now, output) {
                self.outputs.push_back(output);
            }
        }
        self.lease.on_committed(self.raft.commit_index());
    }

    fn convert_output(&mut self, now: Instant, output: RaftOutput) -> Option<ReplicaOutput> {
        match output {
            RaftOutput::Send { to, message } if to == self.host => {
                self.handle_own_message(now, message);
                None
            }
            RaftOutput::Send { to, message } => Some(ReplicaOutput::Send { to, message }),
            RaftOutput::Write(write) => Some(ReplicaOutput::Write(write)),
            RaftOutput::Event(event) => Some(ReplicaOutput::Event(event)),
            RaftOutput::TakeSnapshot { index } => Some(self.begin_snapshot(index)),
            RaftOutput::RestoreSnapshot(snapshot) => Some(self.restore_snapshot(now, snapshot)),
            RaftOutput::Commit { index, payload } => {
                self.commit_times.record(now, index);
                match payload {
                    EntryPayload::Command(command) => self.apply(now, index, command),
                    _ => None,
                }
            }
        }
    }

    fn begin_snapshot(&mut self, index: u64) -> ReplicaOutput {
        let drops_sessions = self.fault == Some(ConsensusFault::SnapshotDropsSessions);
        let sessions = if drops_sessions { Sessions::default() } else { self.sessions.clone() };
        self.pending_snapshot = Some(PendingSnapshot { index, sessions });
        ReplicaOutput::TakeSnapshot { index }
    }

    fn restore_snapshot(&mut self, now: Instant, snapshot: Snapshot) -> ReplicaOutput {
        let index = snapshot.last.index;
        self.commit_times.record_snapshot(now, index);
        ReplicaOutput::RestoreSnapshot { index, state: self.sessions.restore_from(snapshot.state) }
    }

    /// Returns the output for a committed command, or `None` if it was applied before or is malformed.
    fn apply(&mut self, now: Instant, index: u64, command: Bytes) -> Option<ReplicaOutput> {
        let proposal = Proposal::decode(command)?;
        if proposal.host >= self.settings.host_count || !self.sessions.admit(&proposal) {
            return None;
        }
        let Proposal { host, id, data } = proposal;
        let is_own = host == self.host && id.generation == self.generation();
        let own_proposal = is_own.then_some(id.number);
        if let Some(number) = own_proposal {
            self.on_own_proposal_committed(now, number);
        }
        Some(ReplicaOutput::Committed { index, data, own_proposal })
    }
}
