//! The agreement: words, writes, changes that hold, and the lease without which this host keeps to the floors.

use super::*;
use crate::consensus::{
    ConsensusRequest, ConsensusResponse, ACKNOWLEDGEMENT_CHECK_S, FIRST_WRITE_REQUEST, MAX_WAITING_READS,
    READ_TIMEOUT_S,
};
use crate::plans::CommittedChange;
use std::net::SocketAddr;
use tackmast_consensus::{ReplicaOutput, Transmit};
use tackmast_plans::{Change, Command as PlanCommand};
use tackmast_wire::peer::Body;

/// What an operator may do where a majority is gone for good.
#[derive(Clone, Copy)]
enum RecoveryAction {
    ForceNewLog,
    DiscardLog,
}

impl Core {
    /// Hosts agree on changes of plans from here on. To be told before the plans are: what the disk has of them follows then.
    pub fn with_consensus(&mut self, consensus: ConsensusDriver) {
        self.consensus = Some(consensus);
    }

    pub(super) fn handle_consensus_message(&mut self, now: Instant, from: SocketAddr, slot: u32, body: Body) {
        let Some(consensus) = &mut self.consensus else { return };
        if let Some(word) = consensus.came(now, from, body) {
            consensus.replica.handle_message(now, slot, word);
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

    /// Where some floor waits for it: all hosts have the newest version on their disks, which the log has to say.
    fn propose_stored_on_all(&mut self, now: Instant) {
        let (Some(consensus), Some(plans)) = (&mut self.consensus, &self.plans) else { return };
        if now < consensus.next_acknowledgement_check {
            return;
        }
        consensus.next_acknowledgement_check = now + TimeDelta::from_secs(ACKNOWLEDGEMENT_CHECK_S);
        let (acknowledged, waits) = plans.acknowledged();
        let version = plans.version();
        if waits
            && acknowledged < version
            && consensus.replica.raft.is_stored_on_all(0..consensus.settings.host_count, consensus.changed_at)
        {
            let data = serde_json::to_vec(&PlanCommand::Told { version }).unwrap_or_default();
            _ = consensus.replica.propose(now, data.into());
        }
    }

    /// The store's word on a write of the log; false: it was none.
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
            self.log(format!("consensus: write failed: {why}"));
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
                    let to = self.peers.as_ref().and_then(|f| f.member.view.address(to));
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
                ReplicaOutput::Event(event) => self.log(event.to_string()),
            }
        }
        self.complete_reads(now);
        let (Some(consensus), Some(f)) = (&mut self.consensus, &mut self.peers) else { return };
        while let Some(Transmit { to, body }) = consensus.chunks.poll_transmit() {
            f.member.send(to, body);
        }
    }

    /// The same, and what is said of it goes out. Not from within what follows other hosts' words: that goes on by itself.
    fn advance_consensus(&mut self, now: Instant) {
        self.process_consensus_outputs(now);
        self.process_peer_events(now);
    }

    fn respond_to_proposal(&mut self, number: u32, response: PlanResponse) {
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
                    let (acknowledged, _) = self.plans.as_ref().map_or((0, false), Plans::acknowledged);
                    return self.log(format!(
                        "plans: version {acknowledged} is stored on all hosts: lower fallback limits apply"
                    ));
                };
                if let Some(consensus) = &mut self.consensus {
                    consensus.changed_at = index;
                }
                self.log(format!(
                    "plans: change {} applied, by {}: {}; {} updates",
                    e.number,
                    e.change.who,
                    e.change.why,
                    updates.len()
                ));
                if let Some(number) = mine {
                    let (number_, version, in_force_s) = (e.number, e.version, settle.secs());
                    let response =
                        PlanResponse::Applied { number: number_, version, lines, in_force_s, dry_run: false };
                    self.respond_to_proposal(number, response);
                }
            }
            Err(why) => {
                if is_change {
                    self.log(format!("plans: change rejected: {why}"));
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
            Err(e) => self.log(format!("plans: snapshot not readable: {e}")),
        }
    }

    pub(super) fn handle_replicated_plan_request(
        &mut self,
        now: Instant,
        wall_us: u64,
        request: u64,
        plan_request: PlanRequest,
    ) {
        if self.consensus.is_none() || self.plans.is_none() {
            return;
        }
        let response = match plan_request {
            PlanRequest::Show | PlanRequest::Log => {
                if let Some(refused) = self.begin_read(now, request, plan_request) {
                    let response = AdminResponse::Plan(refused);
                    return self.outputs.push_back(Output::AdminResponse { request, response });
                }
                None
            }
            PlanRequest::Apply { change, dry_run: true } => self.preview(wall_us, change),
            PlanRequest::Apply { change, dry_run: false } => self.propose(now, wall_us, request, change),
            PlanRequest::Undo { number, who, why, dry_run } => {
                let Some(plans) = &self.plans else { return };
                match plans.undo_change(number, &who, &why) {
                    Err(error) => Some(PlanResponse::Refused { why: error.to_string() }),
                    Ok(change) if dry_run => self.preview(wall_us, change),
                    Ok(change) => self.propose(now, wall_us, request, change),
                }
            }
        };
        if let Some(response) = response {
            let response = AdminResponse::Plan(response);
            self.outputs.push_back(Output::AdminResponse { request, response });
        }
        self.advance_consensus(now);
    }

    /// Never stale: answered once all that was committed before the request is here.
    fn begin_read(&mut self, now: Instant, request: u64, plan_request: PlanRequest) -> Option<PlanResponse> {
        let consensus = self.consensus.as_mut()?;
        if consensus.reads.len() >= MAX_WAITING_READS {
            return Some(PlanResponse::Refused { why: format!("{MAX_WAITING_READS} asks wait already") });
        }
        let read = consensus.replica.request_read(now);
        let until = now + TimeDelta::from_secs(READ_TIMEOUT_S);
        consensus.reads.push((read, until, request, plan_request));
        None
    }

    /// What a change would do, as far as this host knows.
    fn preview(&self, wall_us: u64, change: Change) -> Option<PlanResponse> {
        let (consensus, plans) = (self.consensus.as_ref()?, self.plans.as_ref()?);
        Some(match plans.preview_change(wall_us, change) {
            Ok((number, version, lines)) => {
                let in_force_s = consensus.settle().secs();
                PlanResponse::Applied { number, version, lines, in_force_s, dry_run: true }
            }
            Err(error) => PlanResponse::Refused { why: error.to_string() },
        })
    }

    /// Proposes a change; it is answered once it is committed, or not in time.
    fn propose(&mut self, now: Instant, wall_us: u64, request: u64, change: Change) -> Option<PlanResponse> {
        let consensus = self.consensus.as_mut()?;
        let command = PlanCommand::Change { at_us: wall_us, change };
        let data = serde_json::to_vec(&command).unwrap_or_default();
        match consensus.replica.propose(now, data.into()) {
            Ok(number) => {
                consensus.changes.insert(number, request);
                None
            }
            Err(error) => Some(PlanResponse::Refused { why: error.to_string() }),
        }
    }

    fn complete_reads(&mut self, now: Instant) {
        let (Some(consensus), Some(plans)) = (&mut self.consensus, &mut self.plans) else { return };
        let mut i = 0;
        while i < consensus.reads.len() {
            let (read, until, request, _) = consensus.reads[i];
            let known = consensus.replica.is_read_ready(read);
            if !known && now < until {
                i += 1;
                continue;
            }
            let (_, _, _, plan_request) = consensus.reads.swap_remove(i);
            let response = match plans.handle_request(now, 0, request, plan_request) {
                Some(PlanOutcome::Respond(_, PlanResponse::Shown(mut s))) => {
                    s.stale = !known;
                    s.in_force_s = (consensus.replica.effective_at(now) - now).secs();
                    s.settle_s = consensus.settle().secs();
                    let followers = consensus.replica.status(now).followers.into_iter();
                    s.at = followers.map(|(host, f)| (host, f.stored_index)).collect();
                    PlanResponse::Shown(s)
                }
                Some(PlanOutcome::Respond(_, PlanResponse::Log { .. })) if !known => {
                    let why = "no word from those who agree on it: what this host has may be old".to_owned();
                    PlanResponse::Refused { why }
                }
                Some(PlanOutcome::Respond(_, response)) => response,
                _ => continue,
            };
            self.outputs
                .push_back(Output::AdminResponse { request, response: AdminResponse::Plan(response) });
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
                        (p.version(), p.acknowledged().0, p.is_degraded());
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

    /// What an operator does by force, with who and why in the audit trail before it is said to be done.
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
