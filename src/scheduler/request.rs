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
    /// As requested.
    pub volume: VolumeId,
    /// Of its volume at the moment.
    pub plan: PlanId,
    /// As requested.
    pub class: TrafficClassId,
    /// As requested.
    pub key: Option<KeyId>,
    /// Its key, where its traffic class keeps order.
    pub ordered_key: Option<KeyId>,
    /// Where it waits; of a new object, until another is chosen.
    pub shard: Option<ShardId>,
    /// A new object, which any node can take.
    pub any_node: bool,
    /// Its cost.
    pub units: f64,
    /// When it was received.
    pub arrived_at: Instant,
    /// When its latency objective ends.
    pub objective_at: Instant,
    /// When it must have its final answer.
    pub deadline: Instant,
    /// No attempt before this.
    pub not_before: Instant,
    /// Its place among its volume's others of its traffic class.
    pub tag: f64,
    /// Its units were charged to its volume's limit.
    pub is_charged: bool,
    /// Asks for a piece of data that this host lately asked for at its shard.
    pub is_repeat: bool,
    /// The guard that held it when it was last looked at.
    pub held_by: Option<HoldReason>,
    /// Waits to be sent.
    pub is_waiting: bool,
    /// Has its final answer, or its client has left.
    pub is_over: bool,
    /// Its client has the beginning of the answer.
    pub response_started: bool,
    /// Attempts sent so far.
    pub attempts: u32,
    /// Attempts that have not ended.
    pub in_flight: Vec<Attempt>,
    /// The first attempt that may have had an effect.
    pub first_effect: Option<FirstEffect>,
}

/// The first attempt of a request that may have had an effect.
#[derive(Clone, Copy)]
pub struct FirstEffect {
    /// The attempt's number.
    pub attempt: u32,
    /// When it was sent.
    pub sent_at: Instant,
    /// Where to.
    pub node: NodeId,
}

/// An attempt in flight.
pub struct Attempt {
    /// Within its request, from 0.
    pub number: u32,
    /// Where it was sent.
    pub node: NodeId,
    /// What the node had answered when it was sent.
    pub answered_before: u64,
    /// Once the node has answered more than this, later attempts have overtaken it.
    pub overtaken_after: u64,
    /// Was sent while the concurrency limit was what held requests back.
    pub at_limit: bool,
}

/// An attempt that is sent, and the node's state just before.
pub struct SentAttempt {
    /// Where to.
    pub node: NodeId,
    /// What the node had answered well.
    pub node_answered: u64,
    /// Attempts in flight at the node.
    pub node_in_flight: usize,
    /// The concurrency limit was what held requests back.
    pub at_limit: bool,
}

/// An attempt that has ended, with what counts of its request.
pub struct AttemptResult {
    /// As it was sent.
    pub attempt: Attempt,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub latency: TimeDelta,
    /// Of its request.
    pub class: TrafficClassId,
    /// Of its traffic class.
    pub objective: TimeDelta,
    /// Of its request.
    pub units: f64,
    /// Of its request.
    pub ordered_key: Option<KeyId>,
    /// See `Request::is_repeat`.
    pub is_repeat: bool,
    /// The request was over before the attempt ended.
    pub request_was_over: bool,
}

impl AttemptResult {
    /// Whether the node answered nothing while the attempt was in flight. `answered` counts what it has answered by now.
    pub fn node_was_silent(&self, answered: u64) -> bool {
        answered == self.attempt.answered_before
    }

    /// Whether a later attempt was answered meanwhile. `answered` counts what the node has answered by now.
    pub fn was_overtaken(&self, answered: u64) -> bool {
        answered > self.attempt.overtaken_after
    }
}

impl Request {
    /// A request that has just arrived; `in_order`: its traffic class keeps the order of a key.
    pub fn new(now: Instant, new: &NewRequest, in_order: bool) -> Self {
        Request {
            volume: new.volume,
            plan: new.plan,
            class: new.class,
            key: new.key,
            ordered_key: new.key.filter(|_| in_order),
            shard: new.shard,
            any_node: new.shard.is_none(),
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

    /// What a later try of its client has in common with it.
    pub fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint {
            volume: self.volume,
            class: self.class,
            key: self.key,
            shard: self.shard.filter(|_| !self.any_node),
            unit_bits: self.units.to_bits(),
        }
    }

    /// Whether it is a new object that any node can still take.
    pub fn can_move(&self) -> bool {
        self.any_node && self.first_effect.is_none()
    }

    /// Records an attempt that is sent.
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

    /// Removes an attempt that has ended, and its possible effect where there can't be any.
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

/// Marks a request as over; gives the shard of the one that has its key next.
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

/// Drops a request that is over and has no attempt in flight, and its key where nothing is left to order.
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

/// Whether a request waits at this shard.
pub fn is_waiting_at(requests: &HashMap<RequestId, Request>, id: RequestId, shard: ShardId) -> bool {
    requests.get(&id).is_some_and(|request| request.is_waiting && request.shard == Some(shard))
}
