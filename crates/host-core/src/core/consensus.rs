//! Consensus: messages, writes, committed changes, and degraded mode while this host has no valid lease.

use super::Core;
use crate::admin_request::AdminResponse;
use crate::consensus::{
    is_log_write, ConsensusDriver, ConsensusRequest, ConsensusResponse, ACKNOWLEDGEMENT_CHECK_INTERVAL,
    FIRST_WRITE_REQUEST,
};
use crate::error::{PersistError, PlanError};
use crate::event::{HostEvent, PlanEvent};
use crate::output::Output;
use crate::persist_batch::PersistBatch;
use crate::plans::{CommittedChange, PlanResponse, Plans};
use bytes::Bytes;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::{ReplicaOutput, Transmit};
use tackmast_plans::Command as PlanCommand;
use tackmast_wire::peer::Body;

/// The maximum length of the operator's name and of the reason in an audit record, in bytes.
const MAX_AUDIT_TEXT_BYTES: usize = 200;

/// Returns whether a text is allowed in an audit record: not blank, not too long, and without control characters.
fn is_audit_text(text: &str) -> bool {
    !text.trim().is_empty() && text.len() <= MAX_AUDIT_TEXT_BYTES && !text.contains(char::is_control)
}

/// An action by which an operator recovers consensus after a majority of the voters was lost for good.
#[derive(Clone, Copy)]
enum RecoveryAction {
    ForceNewLog,
    DiscardLog,
}

impl Core {
    /// Makes changes of plans need consensus from now on.
    ///
    /// It must be called before `enable_plans`, which applies the state that was read from the disk.
    pub fn enable_consensus(&mut self, consensus: ConsensusDriver) {
        self.consensus = Some(consensus);
    }

    pub(super) fn handle_consensus_message(&mut self, now: Instant, from: SocketAddr, slot: u32, body: Body) {
        let Some(consensus) = &mut self.consensus else { return };
        if let Some(message) = consensus.handle_body(now, from, body) {
            consensus.replica.handle_message(now, slot, message);
        }
        self.process_consensus_outputs(now);
    }

    pub(super) fn handle_consensus_timeout(&mut self, now: Instant) {
        let Some(consensus) = &mut self.consensus else { return };
        if consensus.poll_timeout(now) > now && now < consensus.next_acknowledgement_check {
            return;
        }
        consensus.replica.handle_timeout(now);
        consensus.chunks.handle_timeout(now);
        self.propose_stored_on_all(now);
        self.advance_consensus(now);
    }

    /// Proposes a log entry which records that all hosts have stored the newest version, if a lower fallback limit waits for it.
    fn propose_stored_on_all(&mut self, now: Instant) {
        let (Some(consensus), Some(plans)) = (&mut self.consensus, &self.plans) else { return };
        if now < consensus.next_acknowledgement_check {
            return;
        }
        consensus.next_acknowledgement_check = now + ACKNOWLEDGEMENT_CHECK_INTERVAL;
        let acknowledged = plans.acknowledged();
        let version = plans.version();
        if acknowledged.is_awaited
            && acknowledged.version < version
            && consensus.replica.raft.is_stored_on_all(0..consensus.settings.host_count, consensus.changed_at)
        {
            let data = serde_json::to_vec(&PlanCommand::Notified { version }).unwrap_or_default();
            _ = consensus.replica.propose(now, data.into());
        }
    }

    /// Handles a completed or failed write of the consensus log. Returns `false` if the request is not such a write.
    pub(super) fn handle_consensus_persisted(
        &mut self,
        now: Instant,
        request: u64,
        result: &Result<(), PersistError>,
    ) -> bool {
        if !is_log_write(request) {
            return false;
        }
        if let Some(consensus) = &mut self.consensus {
            match result {
                Ok(()) => consensus.replica.on_persisted(now, request - FIRST_WRITE_REQUEST),
                Err(_) => consensus.replica.on_persist_failed(now),
            }
        }
        if let Err(error) = result {
            self.emit(HostEvent::ConsensusWriteFailed { error: error.clone() });
        }
        self.advance_consensus(now);
        true
    }

    /// Enters or leaves degraded mode, depending on this host's lease.
    ///
    /// A host whose lease has expired may have outdated plans with higher limits than those in force. This is therefore called
    /// before each decision.
    pub(super) fn update_degraded_mode(&mut self, now: Instant) {
        let (Some(consensus), Some(plans)) = (&self.consensus, &mut self.plans) else { return };
        let degraded = !consensus.replica.lease_state(now).is_valid();
        if plans.is_degraded() != degraded {
            let updates = plans.set_degraded(degraded);
            self.apply_plan_updates(now, &updates);
        }
    }

    pub(super) fn process_consensus_outputs(&mut self, now: Instant) {
        loop {
            let Some(consensus) = &mut self.consensus else { return };
            let Some(output) = consensus.replica.poll_output() else { break };
            match output {
                ReplicaOutput::Send { to, message } => {
                    let to = self.peers.as_ref().and_then(|peers| peers.member.view.address(to));
                    if let Some(to) = to {
                        consensus.chunks.send(to, message.to_bytes());
                    }
                }
                ReplicaOutput::Write(write) => {
                    let request = FIRST_WRITE_REQUEST + write.write_id;
                    let batch = PersistBatch { consensus: Some(Box::new(write)), ..PersistBatch::default() };
                    self.outputs.push_back(Output::Persist { request, batch });
                }
                ReplicaOutput::Committed { index, data, own_proposal } => {
                    self.handle_committed(now, index, &data, own_proposal)
                }
                ReplicaOutput::RestoreSnapshot { index, state } => self.restore_plans(now, index, &state),
                ReplicaOutput::TakeSnapshot { index } => {
                    let state = self.plans.as_ref().map(Plans::snapshot).unwrap_or_default();
                    consensus.replica.on_snapshot_taken(now, index, &state);
                }
                ReplicaOutput::ProposalTimedOut { number } => {
                    let why = "the change was not committed in time; it may still be committed later: \
                               check the change log";
                    self.respond_to_proposal(number, PlanResponse::Refused { why: why.into() });
                }
                ReplicaOutput::Event(event) => self.emit(HostEvent::Consensus(event)),
            }
        }
        self.complete_reads(now);
        let (Some(consensus), Some(peers)) = (&mut self.consensus, &mut self.peers) else { return };
        while let Some(Transmit { to, body }) = consensus.chunks.poll_transmit() {
            peers.member.send(to, body);
        }
    }

    /// Processes the outputs of consensus, and sends its messages.
    ///
    /// It must not be called while peer events are being processed, because it processes them itself.
    pub(super) fn advance_consensus(&mut self, now: Instant) {
        self.process_consensus_outputs(now);
        self.process_peer_events(now);
    }

    pub(super) fn respond_to_proposal(&mut self, number: u32, response: PlanResponse) {
        let request = self.consensus.as_mut().and_then(|consensus| consensus.changes.remove(&number));
        if let Some(request) = request {
            self.respond(request, AdminResponse::Plan(response));
        }
    }

    fn handle_committed(&mut self, now: Instant, index: u64, data: &Bytes, own_proposal: Option<u32>) {
        let Some(plans) = &mut self.plans else { return };
        let command = serde_json::from_slice::<PlanCommand>(data).map_err(PlanError::Malformed);
        let is_change = matches!(command, Ok(PlanCommand::Change { .. }));
        let applied = command.and_then(|command| plans.apply_committed(command));
        let settle = self.consensus.as_ref().map_or(TimeDelta::ZERO, ConsensusDriver::settle_time);
        match applied {
            Ok(CommittedChange { updates, entry, lines }) => {
                self.apply_plan_updates(now, &updates);
                let Some(entry) = entry else {
                    let acknowledged = self.plans.as_ref().map_or(0, |plans| plans.acknowledged().version);
                    return self.emit(PlanEvent::StoredOnAllHosts { version: acknowledged });
                };
                if let Some(consensus) = &mut self.consensus {
                    consensus.changed_at = index;
                }
                self.emit(PlanEvent::change_applied(&entry, updates.len()));
                if let Some(proposal) = own_proposal {
                    let (number, version, in_force_s) = (entry.number, entry.version, settle.secs());
                    let response =
                        PlanResponse::Applied { number, version, lines, in_force_s, dry_run: false };
                    self.respond_to_proposal(proposal, response);
                }
            }
            Err(error) => {
                if is_change {
                    self.emit(PlanEvent::ChangeRejected { change: None, error: error.to_string() });
                }
                if let Some(proposal) = own_proposal {
                    self.respond_to_proposal(proposal, PlanResponse::Refused { why: error.to_string() });
                }
            }
        }
    }

    fn restore_plans(&mut self, now: Instant, index: u64, state: &[u8]) {
        let Some(plans) = self.plans.as_mut() else { return };
        if let Some(consensus) = &mut self.consensus {
            consensus.changed_at = index;
        }
        let restored = match state {
            // An empty snapshot is the start of a log, where the plans are those of the settings.
            [] => Ok(plans.reset_to_settings()),
            state => plans.restore_snapshot(state),
        };
        match restored {
            Ok(updates) => self.apply_plan_updates(now, &updates),
            Err(error) => self.emit(PlanEvent::SnapshotUnreadable { error: error.to_string() }),
        }
    }

    pub(super) fn handle_consensus_request(
        &mut self,
        now: Instant,
        request: u64,
        consensus_request: ConsensusRequest,
    ) {
        let response = match (&mut self.consensus, consensus_request) {
            (None, _) => {
                ConsensusResponse::Refused { why: "this host has no agreement block in its settings".into() }
            }
            (Some(consensus), ConsensusRequest::Status) => {
                let mut status = consensus.status(now);
                if let Some(plans) = &self.plans {
                    status.version = plans.version();
                    status.acknowledged = plans.acknowledged().version;
                    status.degraded = plans.is_degraded();
                }
                ConsensusResponse::Status(Box::new(status))
            }
            (Some(_), ConsensusRequest::Force { who, why }) => {
                self.recover_by_operator(now, &who, &why, RecoveryAction::ForceNewLog)
            }
            (Some(_), ConsensusRequest::Forget { who, why }) => {
                self.recover_by_operator(now, &who, &why, RecoveryAction::DiscardLog)
            }
            (Some(consensus), ConsensusRequest::Voter { host, votes }) => {
                let changed = match votes {
                    true => consensus.replica.raft.add_voter(now, host),
                    false => consensus.replica.raft.remove_voter(now, host),
                };
                match changed {
                    Ok(index) => ConsensusResponse::Taken { index },
                    Err(error) => ConsensusResponse::Refused { why: error.to_string() },
                }
            }
        };
        self.respond(request, AdminResponse::Consensus(response));
        self.advance_consensus(now);
    }

    /// Performs a recovery action of an operator, which needs no majority.
    ///
    /// The audit record with the operator's name and reason is output before the response.
    fn recover_by_operator(
        &mut self,
        now: Instant,
        who: &str,
        why: &str,
        action: RecoveryAction,
    ) -> ConsensusResponse {
        let at_us = self.wall_us(now);
        if !is_audit_text(who) || !is_audit_text(why) {
            let why = format!("who {who:?}, why {why:?}; expected 1 to 200 printable bytes each");
            return ConsensusResponse::Refused { why };
        }
        let Some(consensus) = &mut self.consensus else {
            return ConsensusResponse::Refused {
                why: "this host has no agreement block in its settings".into(),
            };
        };
        let state = self.plans.as_ref().map(Plans::snapshot).unwrap_or_default();
        let done = match action {
            RecoveryAction::DiscardLog => consensus.replica.discard_log(now).map(|()| 0),
            RecoveryAction::ForceNewLog => consensus.replica.force_new_log(now, &state),
        };
        let log = match done {
            Ok(log) => log,
            Err(error) => return ConsensusResponse::Refused { why: error.to_string() },
        };
        consensus.changed_at = consensus.replica.commit_index();
        let what = match action {
            RecoveryAction::DiscardLog => format!("agreement: forgot its log: {why}"),
            RecoveryAction::ForceNewLog => {
                format!("agreement: forced, log {log:x}, from entry {}: {why}", consensus.changed_at)
            }
        };
        let audit = tackmast_overrides::Audit {
            at_us,
            kind: tackmast_overrides::AuditKind::Forced,
            id: None,
            who: who.to_owned(),
            what,
        };
        let batch = PersistBatch { audits: vec![audit], ..PersistBatch::default() };
        self.persist(batch);
        ConsensusResponse::Done { log }
    }
}
