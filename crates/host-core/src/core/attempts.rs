//! Attempts: sent, ended by results, withdrawn, cancelled.

use super::*;

impl Core {
    /// Whether an attempt has not had its end yet.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        let (id, no) = (RequestId((attempt.0 >> 8) as u32), (attempt.0 & 0xff) as u32);
        self.requests.get(&id).is_some_and(|request| request.out.iter().any(|o| o.no == no))
    }

    /// The connection to a node reports how an attempt ended. One that is unknown had its end before.
    pub fn handle_attempt_result(&mut self, now: Instant, back: AttemptResult) {
        let (id, no) = (RequestId((back.attempt.0 >> 8) as u32), (back.attempt.0 & 0xff) as u32);
        let known = self.requests.get(&id).and_then(|request| request.out.iter().find(|o| o.no == no));
        let Some(node) = known.map(|o| o.node) else {
            self.counters.strays += 1;
            return;
        };
        if let Some(waiting) = back.waiting {
            self.scheduler.load_reported(now, node, f64::from(waiting));
        }
        self.finish_attempt(now, id, no, back.outcome, back.elsewhere, back.data);
    }

    pub(super) fn execute(&mut self, now: Instant, decision: Decision) {
        log_final_answer(&decision);
        match decision {
            Decision::Send { request, node, timeout, begin_by } => {
                self.send(now, request, node, timeout, begin_by)
            }
            Decision::Reject { request, retry_after, reason: _ } => {
                let end = PartState::Rejected { ran: true, retry_after };
                self.finish_part(now, request, end, Bytes::new());
            }
            Decision::Fail { request, reason: _ } => {
                self.finish_part(now, request, PartState::Failed { ran: true }, Bytes::new());
            }
            Decision::FollowList => self.outputs.push_back(Output::FollowList { since: self.list_version }),
            Decision::Event(event) => {
                self.outputs.push_back(Output::Event(HostEvent::Scheduler(event)));
            }
        }
    }

    pub(super) fn send(
        &mut self,
        now: Instant,
        id: RequestId,
        node: NodeId,
        timeout: Option<TimeDelta>,
        begin_by: Option<Instant>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let until = timeout.map_or(request.deadline, |t| request.deadline.min(now + t));
        let (no, traffic_class) = (request.attempts, &self.traffic_classes[request.traffic_class]);
        request.attempts += 1;
        if let Some(queue_ticket) = request.queue_ticket.take() {
            self.fair_queueing.sent(queue_ticket);
        }
        let ticket = Ticket::default();
        request.out.push(InFlightAttempt { no, node, sent: now, until, ticket: ticket.clone() });
        self.counters.attempts += 1;
        self.counters.retries += u64::from(no > 0);
        self.until.insert((until, id, no));
        self.at_node.entry(node).or_default().insert((id, no));
        let idempotent_by_key = matches!(traffic_class.effect, Effect::IdempotentByKey { .. });
        let attempt = SendAttempt {
            node,
            attempt: attempt_id(id, no),
            request: request.identity.serial,
            attempt_number: no.min(255) as u8,
            from: request.identity.from,
            part: request.identity.part,
            until,
            begin_by,
            mark: if idempotent_by_key {
                u128::from(self.generation) << 64 | u128::from(request.identity.serial)
            } else {
                0
            },
            key: request.payload.key,
            volume: request.payload.volume,
            offset: request.payload.offset,
            units: request.payload.units,
            work: request.payload.work.clone(),
            ticket,
        };
        self.outputs.push_back(Output::Send(Box::new(attempt)));
    }

    /// Every attempt has one end: its answer, its link's end, its time, or its withdrawal, whichever is first.
    pub(super) fn finish_attempt(
        &mut self,
        now: Instant,
        id: RequestId,
        no: u32,
        o: Outcome,
        elsewhere: Option<f64>,
        data: Bytes,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(i) = request.out.iter().position(|l| l.no == no) else { return };
        let out = request.out.swap_remove(i);
        self.until.remove(&(out.until, id, no));
        if let Some(attempts) = self.at_node.get_mut(&out.node) {
            attempts.remove(&(id, no));
            if attempts.is_empty() {
                self.at_node.remove(&out.node);
            }
        }
        let mut outcome = o;
        if outcome == Outcome::Done && request.payload.wanted().is_some_and(|wanted| data.len() != wanted) {
            // Bytes that are not those asked for must not pass for them.
            self.counters.short_answers += 1;
            outcome = Outcome::Error;
        }
        request.ran |= outcome.may_have_run();
        let (done, answered) = (outcome == Outcome::Done, request.answered);
        if let Some(others) = elsewhere.filter(|_| self.reports_service) {
            self.scheduler.service_reported(now, id, done, others);
        }
        let (attempt, took) = (AttemptNumber(no), now - out.sent);
        let end =
            AttemptEnd { request: id, number: attempt, outcome, latency: took, is_over: answered || done };
        self.scheduler.attempt_ended(now, end);
        if done && !answered {
            self.finish_part(now, id, PartState::Done, data);
        }
        self.remove_if_finished(id);
    }

    /// A request that was answered and has no attempt out leaves the table.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|request| request.answered && request.out.is_empty()) {
            self.requests.remove(&id);
        }
    }

    /// The command is over before this part of it: nothing new is sent for it, and its attempts are called back.
    pub(super) fn release_request(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.answered = true;
        if let Some(queue_ticket) = request.queue_ticket.take() {
            self.fair_queueing.cancelled(queue_ticket);
        }
        self.scheduler.request_cancelled(now, id);
        self.withdraw_unsent(now, id);
        self.cancel_in_flight(id);
        self.remove_if_finished(id);
    }

    /// Attempts of which no byte has left never will: they provably did not run.
    pub(super) fn withdraw_unsent(&mut self, now: Instant, id: RequestId) {
        let out = self.requests.get(&id).map_or(&[][..], |request| &request.out);
        let unsent: Vec<u32> = out.iter().filter(|o| o.ticket.withdraw()).map(|o| o.no).collect();
        // Nothing is learned of its node, which never saw it.
        for no in unsent {
            self.counters.withdrawn += 1;
            self.finish_attempt(now, id, no, Outcome::Skipped, None, Bytes::new());
        }
    }

    /// Nobody waits for the attempts that are out: their nodes need not go on.
    pub(super) fn cancel_in_flight(&mut self, id: RequestId) {
        let out = self.requests.get(&id).map_or(&[][..], |request| &request.out);
        let attempts: Vec<_> =
            out.iter().map(|o| (o.node, attempt_id(id, o.no), o.ticket.is_stuck())).collect();
        for (node, attempt, stuck) in attempts {
            self.push_cancel(node, attempt, stuck);
        }
    }

    pub(super) fn push_cancel(&mut self, node: NodeId, attempt: AttemptId, stuck: bool) {
        self.counters.cut += u64::from(stuck);
        self.outputs.push_back(if stuck {
            Output::Cut { node, attempt }
        } else {
            Output::Cancel { node, attempt }
        });
    }

    pub(super) fn withdraw_unsent_at(&mut self, now: Instant, node: NodeId) {
        for (id, no) in self.at_node.get(&node).cloned().unwrap_or_default() {
            let ticket = self
                .requests
                .get(&id)
                .and_then(|request| request.out.iter().find(|o| o.no == no))
                .map(|o| &o.ticket);
            if ticket.is_some_and(Ticket::withdraw) {
                self.counters.withdrawn += 1;
                self.finish_attempt(now, id, no, Outcome::Refused, None, Bytes::new());
            }
        }
    }
}
