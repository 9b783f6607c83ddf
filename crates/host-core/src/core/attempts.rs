//! Attempts: sending, results, withdrawal and cancellation.

use super::tables::{AttemptKey, InFlightAttempt, PendingRequest};
use super::Core;
use crate::attempt::{AttemptId, AttemptResult, SendAttempt};
use crate::combine::PartState;
use crate::event::log::log_final_answer;
use crate::event::HostEvent;
use crate::output::Output;
use crate::ticket::Ticket;
use bytes::Bytes;
use tackmast::interface::{
    AttemptEnd, AttemptNumber, Decision, Effect, Instant, NodeId, Outcome, RequestId, TimeDelta,
};

impl Core {
    /// Returns whether an attempt is in flight.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.find_in_flight(AttemptKey::of(attempt)).is_some()
    }

    pub(super) fn find_in_flight(&self, key: AttemptKey) -> Option<&InFlightAttempt> {
        self.requests.get(&key.request)?.in_flight.iter().find(|attempt| attempt.number == key.number)
    }

    /// Handles the result of an attempt, which the connection to its node reports.
    ///
    /// The result of an attempt that has ended already is ignored, apart from being counted.
    pub fn handle_attempt_result(&mut self, now: Instant, result: AttemptResult) {
        let key = AttemptKey::of(result.attempt);
        let Some(node) = self.find_in_flight(key).map(|attempt| attempt.node) else {
            self.counters.late_results += 1;
            return;
        };
        if let Some(waiting) = result.waiting {
            self.scheduler.load_reported(now, node, f64::from(waiting));
        }
        self.finish_attempt(now, key, result.outcome, result.peer_units, result.data);
    }

    pub(super) fn execute(&mut self, now: Instant, decision: Decision) {
        log_final_answer(&decision);
        match decision {
            Decision::Send { request, node, timeout, begin_by } => {
                self.send(now, request, node, timeout, begin_by)
            }
            Decision::Reject { request, retry_after, reason: _ } => {
                let end = PartState::Rejected { may_have_run: true, retry_after };
                self.finish_part(now, request, end, Bytes::new());
            }
            Decision::Fail { request, reason: _ } => {
                self.finish_part(now, request, PartState::Failed { may_have_run: true }, Bytes::new());
            }
            Decision::WatchEndpointList => {
                let since = self.version_to_watch_from();
                self.outputs.push_back(Output::WatchEndpointList { since });
            }
            Decision::Event(event) => self.emit(HostEvent::Scheduler(event)),
        }
    }

    fn send(
        &mut self,
        now: Instant,
        id: RequestId,
        node: NodeId,
        timeout: Option<TimeDelta>,
        begin_by: Option<Instant>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let deadline = timeout.map_or(request.deadline, |timeout| request.deadline.min(now + timeout));
        let key = AttemptKey { request: id, number: request.attempts };
        request.attempts += 1;
        if let Some(queue_ticket) = request.queue_ticket.take() {
            self.fair_queueing.remove_sent(queue_ticket);
        }
        let ticket = Ticket::default();
        let in_flight =
            InFlightAttempt { number: key.number, node, sent_at: now, deadline, ticket: ticket.clone() };
        request.in_flight.push(in_flight);
        let identity = request.identity;
        let effect = self.traffic_classes[request.traffic_class].effect;
        let attempt = SendAttempt {
            node,
            attempt: key.id(),
            request: identity.serial,
            attempt_number: key.number.min(u32::from(u8::MAX)) as u8,
            from: identity.from,
            part: identity.part,
            deadline,
            begin_by,
            idempotency_key: idempotency_key(effect, self.generation, identity.serial),
            key: request.payload.key,
            volume: request.payload.volume,
            offset: request.payload.offset,
            units: request.payload.units,
            work: request.payload.work.clone(),
            ticket,
        };
        self.counters.attempts += 1;
        self.counters.retries += u64::from(key.number > 0);
        self.attempt_deadlines.insert((deadline, key));
        self.attempts_at_node.entry(node).or_default().insert(key);
        self.outputs.push_back(Output::Send(Box::new(attempt)));
    }

    /// Ends an attempt by its answer, the end of its connection, its deadline or its withdrawal, whichever comes first.
    ///
    /// Nothing happens if the attempt has ended already.
    pub(super) fn finish_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        outcome: Outcome,
        peer_units: Option<f64>,
        data: Bytes,
    ) {
        let Some(attempt) = self.remove_in_flight(key) else { return };
        let Some(request) = self.requests.get_mut(&key.request) else { return };
        let expected_bytes = request.payload.answer_bytes();
        let is_short = expected_bytes.is_some_and(|expected| data.len() != expected);
        let outcome = match outcome {
            // An answer of another length does not contain the requested data, and must not reach the client as if it did.
            Outcome::Done if is_short => {
                self.counters.short_answers += 1;
                Outcome::Error
            }
            outcome => outcome,
        };
        request.ended_attempt_may_have_run |= outcome.may_have_run();
        let (is_done, was_answered) = (outcome == Outcome::Done, request.answered);
        if let Some(peer_units) = peer_units.filter(|_| self.reports_peer_service) {
            self.scheduler.service_reported(now, key.request, is_done, peer_units);
        }
        let end = AttemptEnd {
            request: key.request,
            number: AttemptNumber(key.number),
            outcome,
            latency: now - attempt.sent_at,
            request_is_over: was_answered || is_done,
        };
        self.scheduler.attempt_ended(now, end);
        if is_done && !was_answered {
            self.finish_part(now, key.request, PartState::Done, data);
        }
        self.remove_if_finished(key.request);
    }

    /// Removes an attempt from all tables.
    fn remove_in_flight(&mut self, key: AttemptKey) -> Option<InFlightAttempt> {
        let in_flight = &mut self.requests.get_mut(&key.request)?.in_flight;
        let index = in_flight.iter().position(|attempt| attempt.number == key.number)?;
        let attempt = in_flight.swap_remove(index);
        self.attempt_deadlines.remove(&(attempt.deadline, key));
        if let Some(attempts) = self.attempts_at_node.get_mut(&attempt.node) {
            attempts.remove(&key);
            if attempts.is_empty() {
                self.attempts_at_node.remove(&attempt.node);
            }
        }
        Some(attempt)
    }

    /// Removes a request that was answered and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |request: &PendingRequest| request.answered && request.in_flight.is_empty();
        if self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }

    /// Ends a request whose command ended before it: no attempt is sent any more, and those in flight are cancelled.
    pub(super) fn release_request(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.answered = true;
        if let Some(queue_ticket) = request.queue_ticket.take() {
            self.fair_queueing.remove_cancelled(queue_ticket);
        }
        self.scheduler.request_cancelled(now, id);
        self.withdraw_unsent(now, id);
        self.cancel_in_flight(id);
        self.remove_if_finished(id);
    }

    /// Withdraws those attempts of a request that no connection has begun to write.
    ///
    /// They provably did not run. Their outcome is `Skipped`, which counts neither for nor against a node, as no node received them.
    pub(super) fn withdraw_unsent(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let unsent = request.in_flight.iter().filter(|attempt| attempt.ticket.withdraw());
        let unsent: Vec<u32> = unsent.map(|attempt| attempt.number).collect();
        for number in unsent {
            self.counters.withdrawn += 1;
            let key = AttemptKey { request: id, number };
            self.finish_attempt(now, key, Outcome::Skipped, None, Bytes::new());
        }
    }

    /// Cancels the attempts of a request that are in flight, so that their nodes need not process them.
    pub(super) fn cancel_in_flight(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let cancel = |attempt: &InFlightAttempt| {
            let key = AttemptKey { request: id, number: attempt.number };
            (attempt.node, key.id(), attempt.ticket.is_stuck())
        };
        let attempts: Vec<_> = request.in_flight.iter().map(cancel).collect();
        for (node, attempt, is_stuck) in attempts {
            self.push_cancel(node, attempt, is_stuck);
        }
    }

    /// Outputs the cancellation of an attempt. An attempt that is still being written can only be stopped by closing its connection.
    pub(super) fn push_cancel(&mut self, node: NodeId, attempt: AttemptId, is_stuck: bool) {
        self.counters.cut += u64::from(is_stuck);
        self.outputs.push_back(match is_stuck {
            true => Output::Cut { node, attempt },
            false => Output::Cancel { node, attempt },
        });
    }

    /// Withdraws those attempts at a node that no connection has begun to write.
    ///
    /// Their outcome is `Skipped`, which counts neither for nor against the node. If attempts that waited for a connection counted as
    /// failures, a node that has just restarted would be ejected.
    pub(super) fn withdraw_unsent_at(&mut self, now: Instant, node: NodeId) {
        for key in self.attempts_at_node.get(&node).cloned().unwrap_or_default() {
            if self.find_in_flight(key).is_some_and(|attempt| attempt.ticket.withdraw()) {
                self.counters.withdrawn += 1;
                self.finish_attempt(now, key, Outcome::Skipped, None, Bytes::new());
            }
        }
    }
}

/// Returns the key by which nodes recognise a retry, made of the host's generation and the request's number in it.
///
/// It is 0 if the traffic class has no idempotency keys.
fn idempotency_key(effect: Effect, generation: u64, serial: u64) -> u128 {
    match effect {
        Effect::IdempotentByKey { .. } => u128::from(generation) << u64::BITS | u128::from(serial),
        Effect::Idempotent | Effect::NonIdempotent => 0,
    }
}
