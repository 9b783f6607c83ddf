//! A request and its attempts.

use super::rejected_requests::RequestFingerprint;
use crate::interface::{
    AttemptEnd, HoldReason, Instant, KeyId, NewRequest, NodeId, Outcome, PlanId, RequestId, ShardId,
    TimeDelta, TrafficClassId, VolumeId,
};
use crate::state::KeyQueue;
use std::collections::HashMap;

/// A request that is not over, or has attempts in flight.
pub struct Request {
    /// Volume whose data is requested.
    pub volume: VolumeId,
    /// Plan that the volume is under now.
    pub plan: PlanId,
    /// Traffic class.
    pub class: TrafficClassId,
    /// Piece of data that is requested; `None` if the client named none.
    pub key: Option<KeyId>,
    /// The key, if the traffic class keeps the order of requests on a key.
    pub ordered_key: Option<KeyId>,
    /// Shard at which the request waits. For a new object it is chosen at arrival and may change; `None` while no node can
    /// take the object.
    pub shard: Option<ShardId>,
    /// Whether the request is for a new object, which any node can take.
    pub is_new_object: bool,
    /// Cost in units.
    pub units: f64,
    /// When the request arrived at this host.
    pub arrived_at: Instant,
    /// When the latency objective ends.
    pub objective_at: Instant,
    /// When the final answer is due.
    pub deadline: Instant,
    /// Earliest time of the next attempt: the end of the backoff.
    pub not_before: Instant,
    /// Position in its queue, which is in order of tags; see `Scheduler::request_tagged`.
    pub tag: f64,
    /// Whether the units were charged to the volume's limit; they are charged once, at the first attempt.
    pub is_charged: bool,
    /// Whether this host lately sent another attempt for the same piece of data to the shard.
    pub is_repeat: bool,
    /// The guard that held the request when it was last checked.
    pub held_by: Option<HoldReason>,
    /// Whether the request waits to be sent.
    pub is_waiting: bool,
    /// Whether the request is done, has its final answer, or was ended without one.
    pub is_over: bool,
    /// Whether the client has received the beginning of the answer.
    pub response_started: bool,
    /// Number of attempts sent so far.
    pub attempts: u32,
    /// Attempts that have not ended.
    pub in_flight: Vec<Attempt>,
    /// The first attempt that may have had an effect.
    pub first_effect: Option<FirstEffect>,
}

/// The first attempt of a request that may have had an effect.
#[derive(Clone, Copy)]
pub struct FirstEffect {
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// When the attempt was sent.
    pub sent_at: Instant,
    /// Node to which the attempt was sent.
    pub node: NodeId,
}

/// An attempt in flight.
pub struct Attempt {
    /// Number of the attempt within its request, from 0.
    pub number: u32,
    /// Node to which the attempt was sent.
    pub node: NodeId,
    /// The node's count of answers without an error when the attempt was sent.
    pub answered_before: u64,
    /// Once the node's count of answers without an error exceeds this number, a later attempt has overtaken this one.
    pub overtaken_after: u64,
    /// Whether the concurrency limit was what held requests back when the attempt was sent.
    pub at_limit: bool,
}

/// An attempt that is sent, with the state of its node just before.
pub struct SentAttempt {
    /// Node to which the attempt is sent.
    pub node: NodeId,
    /// The node's count of answers without an error.
    pub node_answered: u64,
    /// Number of attempts in flight at the node.
    pub node_in_flight: usize,
    /// Whether the concurrency limit is what holds requests back.
    pub at_limit: bool,
}

/// An attempt that has ended, with the properties of its request that its evaluation needs.
pub struct AttemptResult {
    /// The attempt, as recorded when it was sent.
    pub attempt: Attempt,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// How long the attempt took.
    pub latency: TimeDelta,
    /// Traffic class of the request.
    pub class: TrafficClassId,
    /// Latency objective of the traffic class.
    pub objective: TimeDelta,
    /// Cost of the request, in units.
    pub units: f64,
    /// See `Request::ordered_key`.
    pub ordered_key: Option<KeyId>,
    /// See `Request::is_repeat`.
    pub is_repeat: bool,
    /// Whether the request was over before the attempt ended.
    pub request_was_over: bool,
}

impl AttemptResult {
    /// Returns whether the node answered no attempt without an error while this one was in flight. `answered` is the
    /// node's count of such answers now.
    pub fn node_was_silent(&self, answered: u64) -> bool {
        answered == self.attempt.answered_before
    }

    /// Returns whether the node has answered a later attempt while this one was in flight. `answered` is the node's count
    /// of answers without an error now.
    pub fn was_overtaken(&self, answered: u64) -> bool {
        answered > self.attempt.overtaken_after
    }
}

impl Request {
    /// Creates a request that has just arrived. `in_order` says whether its traffic class keeps the order of requests on a
    /// key. The caller sets the deadline and the end of the latency objective.
    pub fn new(now: Instant, new: &NewRequest, in_order: bool) -> Self {
        Request {
            volume: new.volume,
            plan: new.plan,
            class: new.class,
            key: new.key,
            ordered_key: new.key.filter(|_| in_order),
            shard: new.shard,
            is_new_object: new.shard.is_none(),
            units: new.units,
            arrived_at: now,
            objective_at: now,
            deadline: now,
            not_before: now,
            tag: 0.0,
            is_charged: false,
            is_repeat: false,
            held_by: None,
            is_waiting: true,
            is_over: false,
            response_started: false,
            attempts: 0,
            in_flight: Vec::new(),
            first_effect: None,
        }
    }

    /// Returns what this request has in common with one that its client sends again.
    pub fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint {
            volume: self.volume,
            class: self.class,
            key: self.key,
            shard: self.shard.filter(|_| !self.is_new_object),
            unit_bits: self.units.to_bits(),
        }
    }

    /// Returns whether the request is for a new object that may still go to any node: none has run it.
    pub fn can_move(&self) -> bool {
        self.is_new_object && self.first_effect.is_none()
    }

    /// Records an attempt that is sent. The request no longer waits.
    pub fn attempt_started(&mut self, now: Instant, sent: SentAttempt) {
        let first = FirstEffect { attempt: self.attempts, sent_at: now, node: sent.node };
        self.first_effect = self.first_effect.or(Some(first));
        self.is_charged = true;
        self.is_waiting = false;
        self.held_by = None;
        self.in_flight.push(Attempt {
            number: self.attempts,
            node: sent.node,
            answered_before: sent.node_answered,
            overtaken_after: sent.node_answered + sent.node_in_flight as u64,
            at_limit: sent.at_limit,
        });
        self.attempts += 1;
    }

    /// Removes an attempt that has ended, and returns its result; `None` if it was not in flight. If the outcome proves that
    /// the attempt did not run, it no longer counts as the first that may have had an effect.
    pub fn attempt_finished(&mut self, end: &AttemptEnd, objective: TimeDelta) -> Option<AttemptResult> {
        let index = self.in_flight.iter().position(|attempt| attempt.number == end.number.0)?;
        if !end.outcome.may_have_run() {
            self.first_effect = self.first_effect.filter(|first| first.attempt != end.number.0);
        }
        Some(AttemptResult {
            attempt: self.in_flight.remove(index),
            outcome: end.outcome,
            latency: end.latency,
            class: self.class,
            objective,
            units: self.units,
            ordered_key: self.ordered_key,
            is_repeat: self.is_repeat,
            request_was_over: self.is_over,
        })
    }
}

/// Marks a request as over. Returns the shard of the next request on its key, if there is one.
pub fn finish_request(
    requests: &mut HashMap<RequestId, Request>,
    key_queues: &mut HashMap<KeyId, KeyQueue>,
    id: RequestId,
    now: Instant,
) -> Option<ShardId> {
    let request = requests.get_mut(&id)?;
    (request.is_over, request.is_waiting) = (true, false);
    let queue = request.ordered_key.and_then(|key| key_queues.get_mut(&key));
    let next = queue.and_then(|queue| queue.remove(id));
    forget_if_over(requests, key_queues, id, now);
    next.and_then(|id| requests.get(&id)).and_then(|request| request.shard)
}

/// Removes a request that is over and has no attempt in flight, and then its key's queue if that is idle.
pub fn forget_if_over(
    requests: &mut HashMap<RequestId, Request>,
    key_queues: &mut HashMap<KeyId, KeyQueue>,
    id: RequestId,
    now: Instant,
) {
    let Some(request) = requests.get(&id).filter(|r| r.is_over && r.in_flight.is_empty()) else { return };
    let key = request.ordered_key;
    requests.remove(&id);
    if let Some(key) = key.filter(|key| key_queues.get(key).is_some_and(|queue| queue.is_idle(now))) {
        key_queues.remove(&key);
    }
}

/// Returns whether a request waits at this shard.
pub fn is_waiting_at(requests: &HashMap<RequestId, Request>, id: RequestId, shard: ShardId) -> bool {
    requests.get(&id).is_some_and(|request| request.is_waiting && request.shard == Some(shard))
}
