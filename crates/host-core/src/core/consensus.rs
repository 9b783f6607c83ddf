//! Consensus: messages, writes, committed changes, and the lease without which this host is in degraded mode.

use super::*;
use crate::consensus::{ConsensusRequest, ConsensusResponse, ACKNOWLEDGEMENT_CHECK_S, FIRST_WRITE_REQUEST};
use crate::plans::CommittedChange;
use std::net::SocketAddr;
use tackmast_consensus::{ReplicaOutput, Transmit};
use tackmast_plans::Command as PlanCommand;
use tackmast_wire::peer::Body;

/// What an operator may do where a majority is gone for good.
#[derive(Clone, Copy)]
enum RecoveryAction {
    ForceNewLog,
    DiscardLog,
}

impl Core {
    /// Changes of plans need consensus from here on. To be called before `with_plans`, by which the disk's state is applied.
    pub fn with_consensus(&mut self, consensus: ConsensusDriver) {
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

    /// Where a lower fallback limit waits for it: records in the log that all hosts have stored the newest version.
    fn propose_stored_on_all(&mut self, now: Instant) {
        let (Some(consensus), Some(plans)) = (&mut self.consensus, &self.plans) else { return };
        if now < consensus.next_acknowledgement_check {
            return;
        }
        consensus.next_acknowledgement_check = now + TimeDelta::from_secs(ACKNOWLEDGEMENT_CHECK_S);
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

    /// The store has written entries of the log, or could not; false: the request was none of the log's.
    pub(super) fn handle_consensus_persisted(
        &mut self,
        now: Instant,
        request: u64,
        result: &Result<(), PersistError>,
    ) -> bool {
        if request & (3 << 62) != FIRST_WRITE_REQUEST {
            return false;
        }
        if let Some(consensus) = &mut self.consensus {
            match result {
                Ok(()) => consensus.replica.on_persisted(now, request - FIRST_WRITE_REQUEST),
                Err(_) => consensus.replica.on_persist_failed(now),
            }
        }
        if let Err(why) = result {
            self.emit(HostEvent::ConsensusWriteFailed { error: why.clone() });
        }
        self.advance_consensus(now);
        true
    }

    /// Against acting by what may count no more: looked at before each decision.
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
            let Some(o) = consensus.replica.poll_output() else { break };
            match o {
                ReplicaOutput::Send { to, message } => {
                    let to = self.peers.as_ref().and_then(|peers| peers.member.view.address(to));
                    if let Some(to) = to {
                        consensus.chunks.send(to, message.to_bytes());
                    }
                }
                ReplicaOutput::Write(w) => {
                    let request = FIRST_WRITE_REQUEST + w.write_id;
                    let batch = PersistBatch { consensus: Some(Box::new(w)), ..PersistBatch::default() };
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
                    let why = "no word from those who agree on it: it may hold all the same, later; look at the log";
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

    /// Processes the outputs of consensus, and sends its messages. Not to be called while events of peers are processed.
    pub(super) fn advance_consensus(&mut self, now: Instant) {
        self.process_consensus_outputs(now);
        self.process_peer_events(now);
    }

    pub(super) fn respond_to_proposal(&mut self, number: u32, response: PlanResponse) {
        let request = self.consensus.as_mut().and_then(|consensus| consensus.changes.remove(&number));
        if let Some(request) = request {
            self.outputs
                .push_back(Output::AdminResponse { request, response: AdminResponse::Plan(response) });
        }
    }

    fn handle_committed(&mut self, now: Instant, index: u64, data: &Bytes, mine: Option<u32>) {
        let Some(plans) = &mut self.plans else { return };
        let command = serde_json::from_slice::<PlanCommand>(data).map_err(PlanError::Malformed);
        let is_change = matches!(command, Ok(PlanCommand::Change { .. }));
        let applied = command.and_then(|c| plans.apply_committed(c));
        let settle = self.consensus.as_ref().map_or(TimeDelta::ZERO, ConsensusDriver::settle);
        match applied {
            Ok(CommittedChange { updates, entry, lines }) => {
                self.apply_plan_updates(now, &updates);
                let Some(e) = entry else {
                    let acknowledged = self.plans.as_ref().map_or(0, |plans| plans.acknowledged().version);
                    return self.emit(PlanEvent::StoredOnAllHosts { version: acknowledged });
                };
                if let Some(consensus) = &mut self.consensus {
                    consensus.changed_at = index;
                }
                self.emit(PlanEvent::change_applied(&e, updates.len()));
                if let Some(number) = mine {
                    let (number_, version, in_force_s) = (e.number, e.version, settle.secs());
                    let response =
                        PlanResponse::Applied { number: number_, version, lines, in_force_s, dry_run: false };
                    self.respond_to_proposal(number, response);
                }
            }
            Err(why) => {
                if is_change {
                    self.emit(PlanEvent::ChangeRejected { change: None, error: why.to_string() });
                }
                if let Some(number) = mine {
                    self.respond_to_proposal(number, PlanResponse::Refused { why: why.to_string() });
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
            // A log's beginning: what the settings say.
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
                let mut s = consensus.status(now);
                if let Some(p) = &self.plans {
                    (s.version, s.acknowledged, s.degraded) =
                        (p.version(), p.acknowledged().version, p.is_degraded());
                }
                ConsensusResponse::Status(Box::new(s))
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
                    Err(r) => ConsensusResponse::Refused { why: r.to_string() },
                }
            }
        };
        self.outputs
            .push_back(Output::AdminResponse { request, response: AdminResponse::Consensus(response) });
        self.advance_consensus(now);
    }

    /// What an operator does without a majority, with who and why in the audit trail before it is acknowledged.
    fn recover_by_operator(
        &mut self,
        now: Instant,
        who: &str,
        why: &str,
        action: RecoveryAction,
    ) -> ConsensusResponse {
        let at_us = self.wall_us(now);
        let text = |t: &str| !t.trim().is_empty() && t.len() <= 200 && !t.contains(char::is_control);
        if !text(who) || !text(why) {
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
            Err(r) => return ConsensusResponse::Refused { why: r.to_string() },
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
        self.outputs.push_back(Output::Persist { request: 0, batch });
        ConsensusResponse::Done { log }
    }
}
