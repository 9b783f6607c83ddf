//! One replica of the group: a Raft server, its lease, and its own proposals on their way to the leader. This is the state
//! machine that a host drives: `handle_…` and `on_…` take inputs, `poll_…` gives outputs and the next timeout.
//!
//! `lease_requests` has its lease and reads, `proposals` its proposals, `sessions` keeps each proposal from being applied
//! twice, `effective` knows when a commit is effective.

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

/// Lease requests in a row without a response after which the replica asks another voter for the leader.
const MAX_UNANSWERED: u32 = 2;
/// Heartbeat intervals within which commits count as learned together.
const COMMIT_BATCH_HEARTBEATS: f64 = 0.25;

/// A snapshot that was requested, and the sessions as of its last entry.
#[derive(Clone)]
struct PendingSnapshot {
    index: u64,
    sessions: Sessions,
}

/// A replica of the group.
#[derive(Clone)]
pub struct Replica {
    host: u32,
    settings: RaftSettings,
    /// The Raft server.
    pub raft: RaftNode,
    lease: Lease,
    /// Position of the voter to ask next for the leader.
    next_voter: usize,
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
    /// A replica as its disk has it.
    pub fn new(now: Instant, settings: ReplicaSettings) -> Replica {
        let (host, raft) = (settings.host, settings.raft);
        let commit_wait = Lease::commit_wait(raft.lease_duration, raft.max_clock_drift);
        let mut replica = Replica {
            host,
            settings: raft,
            initial_voters: settings.initial_voters.clone(),
            raft: RaftNode::new(now, settings),
            lease: Lease::new(now, raft.lease_duration, raft.max_clock_drift),
            next_voter: host as usize,
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

    /// The same replica with a deliberate fault.
    pub fn with_fault(mut self, fault: ConsensusFault) -> Replica {
        self.raft = self.raft.with_fault(fault);
        self.lease = self.lease.with_fault(fault);
        self.fault = Some(fault);
        self
    }

    /// Index of the last entry that is committed as far as this replica knows.
    pub fn commit_index(&self) -> u64 {
        self.raft.commit_index()
    }

    /// Index of the last entry that is effective: no replica, connected or not, acts on the state before it any more.
    pub fn effective_index(&self, now: Instant) -> u64 {
        self.commit_times.effective_index(now).unwrap_or(self.raft.commit_index())
    }

    /// When the newest entry that is committed here will be effective.
    pub fn effective_at(&self, now: Instant) -> Instant {
        self.commit_times.effective_at(now)
    }

    /// The leader as far as this replica knows.
    pub fn leader(&self) -> Option<u32> {
        self.raft.leader().or(self.leader_hint)
    }

    /// The state at this moment, for operators.
    pub fn status(&self, now: Instant) -> Status {
        Status { leader: self.leader(), ..self.raft.status(now) }
    }

    fn generation(&self) -> u64 {
        self.raft.identity().generation
    }

    /// Begins a new log alone after most voters are lost for good; its id. `state` is the state machine's, as of the last
    /// committed entry.
    pub fn force_new_log(&mut self, now: Instant, state: &[u8]) -> Result<u64, RecoveryError> {
        let log_id = self.raft.force_new_log(now, self.sessions.encode_with(state))?;
        self.reset_for_new_log(now);
        self.drain_raft(now);
        Ok(log_id)
    }

    /// Discards the log, to follow another one; no lease is valid from here on.
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

    /// A message of another replica has arrived.
    pub fn handle_message(&mut self, now: Instant, from: u32, message: Message) {
        match message {
            Message::LeaseGranted { log_id, to_generation, sequence, index, duration_ms, .. } => {
                let is_mixed = self.fault == Some(ConsensusFault::GenerationsMixed);
                if to_generation == self.generation() || is_mixed {
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

    /// Whether that is the id of another log than this replica's, if it has any committed entries.
    fn is_of_other_log(&self, log_id: u64) -> bool {
        log_id != self.raft.log().snapshot().log_id && self.raft.commit_index() > 0
    }

    fn report_other_log(&mut self, host: u32) {
        if !std::mem::replace(&mut self.other_log_reported, true) {
            self.outputs.push_back(ReplicaOutput::Event(ConsensusEvent::OtherLog { peer: host }));
        }
    }

    /// The write of that number and all before it are on disk.
    pub fn on_persisted(&mut self, now: Instant, write_id: u64) {
        self.raft.on_persisted(now, write_id);
        self.drain_raft(now);
    }

    /// A write failed: this replica takes no further part until its process restarts.
    pub fn on_persist_failed(&mut self, now: Instant) {
        self.raft.on_persist_failed();
        self.drain_raft(now);
    }

    /// The state machine's state as of that entry, as asked for by `TakeSnapshot`.
    pub fn on_snapshot_taken(&mut self, now: Instant, index: u64, state: &[u8]) {
        // The sessions are those as of the snapshot's last entry, like the state. With newer sessions, proposals that were
        // committed since would count as applied although the state lacks them.
        let pending = self.pending_snapshot.take_if(|pending| pending.index == index);
        let Some(PendingSnapshot { sessions, .. }) = pending else { return };
        self.raft.on_snapshot_taken(index, sessions.encode_with(state));
        self.drain_raft(now);
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.raft.handle_timeout(now);
        // Without responses another replica may be leader by now.
        if self.lease.unanswered() >= MAX_UNANSWERED {
            self.leader_hint = None;
        }
        self.request_lease_if_due(now);
        self.send_first_proposal(now);
        self.drain_raft(now);
        self.report_lease_change(now);
    }

    /// When `handle_timeout` is due.
    pub fn poll_timeout(&self, now: Instant) -> Instant {
        let lease = self.lease.poll_timeout(now);
        let proposal = self.proposals.front().map(PendingProposal::poll_timeout);
        [self.raft.poll_timeout(), proposal].into_iter().flatten().fold(lease, Instant::min)
    }

    /// The next thing to be done.
    pub fn poll_output(&mut self) -> Option<ReplicaOutput> {
        self.outputs.pop_front()
    }

    fn send(&mut self, now: Instant, to: u32, message: Message) {
        if to != self.host {
            return self.outputs.push_back(ReplicaOutput::Send { to, message });
        }
        self.raft.handle_message(now, to, message);
    }

    /// Passes on the outputs of the Raft server.
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
                self.on_message_to_itself(now, message);
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
        self.commit_times.restart(now, index);
        ReplicaOutput::RestoreSnapshot { index, state: self.sessions.restore_from(snapshot.state) }
    }

    /// The output for a committed command, unless it was applied before.
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
