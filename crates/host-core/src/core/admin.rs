//! Requests of operators, overrides, and completed writes of the store.

use super::*;

impl Core {
    /// Operators may set overrides from now on. `batch` is what is to be persisted of the overrides of an earlier generation.
    pub fn with_overrides(&mut self, now: Instant, overrides: Overrides, batch: PersistBatch) {
        self.override_requests = Some(OverrideRequests::new(now, overrides));
        if batch != PersistBatch::default() {
            self.outputs.push_back(Output::Persist { request: 0, batch });
        }
    }

    /// What the wall clock shows, now and then. Audit records have its time; a step of it changes the end of no override.
    pub fn handle_wall_clock(&mut self, now: Instant, wall_us: u64) {
        self.wall_offset_us = wall_us as i64 - (now.secs() * 1e6).round() as i64;
        let step = self.override_requests.as_mut().and_then(|o| o.overrides.handle_wall_clock(now, wall_us));
        if let Some(ClockStep { records, audit, moved_by }) = step {
            self.emit(OverrideEvent::WallClockStepped { moved_by });
            let batch = PersistBatch { put: records, audits: vec![audit], ..PersistBatch::default() };
            self.outputs.push_back(Output::Persist { request: 0, batch });
        }
    }

    pub(super) fn wall_us(&self, now: Instant) -> u64 {
        ((now.secs() * 1e6).round() as i64 + self.wall_offset_us).max(0) as u64
    }

    pub(super) fn emit(&mut self, event: impl Into<HostEvent>) {
        self.outputs.push_back(Output::Event(event.into()));
    }

    /// A request of an operator, under a number of the caller's that is not 0.
    pub fn handle_admin_request(&mut self, now: Instant, request: u64, admin_request: AdminRequest) {
        let admin_request = match admin_request {
            AdminRequest::Plan(plan_request) if self.plans.is_some() => {
                return self.handle_plan_request(now, request, plan_request)
            }
            AdminRequest::Consensus(consensus_request) => {
                return self.handle_consensus_request(now, request, consensus_request)
            }
            other => other,
        };
        let wall_us = self.wall_us(now);
        let Some(override_requests) = &mut self.override_requests else {
            let why = "this host has no overrides block in its settings".to_owned();
            return self
                .outputs
                .push_back(Output::AdminResponse { request, response: AdminResponse::NotKept { why } });
        };
        match override_requests.handle_request(now, wall_us, request, admin_request) {
            None => {}
            Some(OverrideOutcome::Persist { request, batch }) => {
                self.outputs.push_back(Output::Persist { request, batch })
            }
            Some(OverrideOutcome::Respond { request, response: AdminResponse::Status(_) }) => {
                let response = AdminResponse::Status(Box::new(self.status(now)));
                self.outputs.push_back(Output::AdminResponse { request, response });
            }
            Some(OverrideOutcome::Respond { request, response: AdminResponse::Members(_) }) => {
                let status = self.peers.as_ref().map(|peers| peers.status(now)).unwrap_or_default();
                self.outputs.push_back(Output::AdminResponse {
                    request,
                    response: AdminResponse::Members(Box::new(status)),
                });
            }
            Some(OverrideOutcome::Respond { request, response: AdminResponse::Refused(refusal) })
                if Peers::is_from_peer(request) =>
            {
                self.emit(OverrideEvent::PeerOverrideRefused { refusal });
            }
            Some(OverrideOutcome::Respond { request, response: AdminResponse::Explain(mut e) }) => {
                let entry = self.nodes.number(&e.address.to_string()).and_then(|n| self.nodes.entry(n));
                e.up_s = entry.and_then(|e| e.up_since).map(|t| (now - t).secs());
                self.outputs
                    .push_back(Output::AdminResponse { request, response: AdminResponse::Explain(e) });
            }
            Some(OverrideOutcome::Respond { request, response }) => {
                self.outputs.push_back(Output::AdminResponse { request, response })
            }
        }
    }

    /// The store has written a `PersistBatch`, or could not.
    pub fn handle_persisted(&mut self, now: Instant, request: u64, result: Result<(), PersistError>) {
        if self.handle_consensus_persisted(now, request, &result) {
            return;
        }
        let change =
            self.plans.as_mut().and_then(|plans| plans.handle_persisted(now, request, result.clone()));
        if let Some(PersistedChange { response, applied }) = change {
            if let Some(change) = applied {
                self.apply_change(now, change);
                self.process_peer_events(now);
            }
            self.outputs
                .push_back(Output::AdminResponse { request, response: AdminResponse::Plan(response) });
        }
        if let Some((request, plan_request)) = self.plans.as_mut().and_then(Plans::next_queued) {
            self.handle_plan_request(now, request, plan_request);
        }
        let persisted =
            self.override_requests.as_mut().and_then(|o| o.handle_persisted(now, request, result));
        if let Some(PersistedOverride { response, event }) = persisted {
            if let Some(peers) = &mut self.peers {
                peers.handle_override_response(now, &response);
            }
            self.emit(event);
            self.apply_changed_overrides(now);
            self.outputs.push_back(Output::AdminResponse { request, response });
        }
        if let Some((request, admin_request)) =
            self.override_requests.as_mut().and_then(OverrideRequests::next_queued)
        {
            self.handle_admin_request(now, request, admin_request);
        }
    }

    pub(super) fn status(&self, now: Instant) -> HostStatus {
        let override_requests = self.override_requests.as_ref();
        let node = |(address, e): (&str, &NodeEntry)| {
            let mut effective = *e;
            self.apply_overrides(now, &mut effective);
            Some((address.parse().ok()?, state_name(e.state), state_name(effective.state)))
        };
        HostStatus {
            host: self.number,
            overrides: override_requests.map_or(0, |o| o.overrides.len()),
            version: override_requests.map_or(0, |o| o.overrides.version()),
            returning: override_requests.map_or(0, |o| o.overrides.returning().0),
            alive_hosts: self.peers.as_ref().map_or(0, |peers| peers.member.live_count()),
            commands: self.commands.len(),
            attempts: self.attempt_deadlines.len(),
            taken: self.counters.taken,
            done: self.counters.done,
            rejected: self.counters.rejected,
            failed: self.counters.failed,
            nodes: self.nodes.entries().filter_map(node).collect(),
        }
    }

    /// Ends of overrides, and steps of nodes on their way back.
    pub(super) fn handle_override_timeout(&mut self, now: Instant) {
        let wall_us = self.wall_us(now);
        let Some(override_requests) = self
            .override_requests
            .as_mut()
            .filter(|requests| requests.poll_timeout(now).is_some_and(|due| due <= now))
        else {
            return;
        };
        let ended = override_requests.overrides.handle_timeout(now, wall_us);
        let mut events = override_requests.poll_active_report(now);
        let mut batch = PersistBatch::default();
        for Ended { record, audit } in ended {
            batch.remove.push(record.id);
            batch.audits.push(audit);
            let Override { id, target, kind, who, .. } = record;
            events.push(OverrideEvent::Ended { id, target, kind, who });
        }
        events.into_iter().for_each(|event| self.emit(event));
        if batch != PersistBatch::default() {
            self.outputs.push_back(Output::Persist { request: 0, batch });
        }
        self.apply_changed_overrides(now);
    }
}

/// The state's name, as operators read it.
fn state_name(state: NodeState) -> String {
    let name = match state {
        NodeState::Ready => "ready",
        NodeState::Draining => "draining",
        NodeState::Gone => "gone",
    };
    name.to_owned()
}
