//! Selection of the request that is sent next, and of its node.

use super::request::{is_waiting_at, SentAttempt};
use super::shard::{Candidate, Dispatch, QueueEnd, QueueId};
use super::Scheduler;
use crate::interface::{Decision, HoldReason, Instant, NodeId, NodeState, RequestId, ShardId, TimeDelta};
use crate::policy::attempt_timeout::AttemptTimeout;
use crate::policy::concurrency_limit::late_priority;
use crate::policy::hold::MIN_RECHECK_INTERVAL;
use crate::policy::priority::{current_priority, weighted_cost, Score};
use crate::policy::request_fate::{QueueHead, QueueHeadAction};
use crate::policy::retention::{MAX_RECENT_KEYS, MAX_SCANNED_REQUESTS};
use crate::policy::volume_limit::is_limited;
use crate::policy::Hold;
use crate::state::Timer;

impl Scheduler {
    /// Returns the request to send next at this shard, or `None` if none may be sent now. Picks the candidate with the
    /// lowest score from all queues. A late request is picked only if no queue has a waiting request.
    pub(super) fn pick_request(&mut self, shard: ShardId) -> Option<Dispatch> {
        let shard_state = self.shards.get(&shard)?;
        let node =
            shard_state.nodes.iter().rev().find(|node| self.nodes[node].state == NodeState::Ready).copied();
        let queues: Vec<QueueId> = shard_state.queues.keys().copied().collect();
        let mut best: Option<Candidate> = None;
        let mut recheck_at: Option<Instant> = None;
        for queue in queues {
            let Some(request) = self.settle_heads_and_pick(shard, queue, node) else { continue };
            let Some(node) = node else {
                self.record_hold(request, HoldReason::NoReadyNode);
                continue;
            };
            match self.candidate_if_allowed(shard, request, node) {
                Ok(found) if best.is_none_or(|best| found.score < best.score) => best = Some(found),
                Ok(_) => {}
                Err(hold) => {
                    self.record_hold(request, hold.reason);
                    recheck_at = recheck_at.into_iter().chain(hold.until).min();
                }
            }
        }
        let best = best.map(|best| best.dispatch).or_else(|| self.pick_late_request(shard, node?));
        if let Some(at) = recheck_at.filter(|_| best.is_none()) {
            self.timers.set(at.max(self.now + MIN_RECHECK_INTERVAL), Timer::Shard(shard));
        }
        best
    }

    /// Records which guard holds a request. Its final answer may name that guard.
    fn record_hold(&mut self, id: RequestId, reason: HoldReason) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.held_by = Some(reason);
        }
    }

    /// Returns the request with its score if its guards let it be sent now, otherwise the guard that holds it.
    fn candidate_if_allowed(
        &mut self,
        shard: ShardId,
        id: RequestId,
        node: NodeId,
    ) -> Result<Candidate, Hold> {
        let is_reserved = self.is_reserved(id);
        let request = &self.requests[&id];
        let priority = current_priority(
            self.class(request.class).priority,
            is_reserved,
            self.time_until(request.objective_at),
            self.settings.tightest_objective,
        );
        let start_tag = self.shards[&shard].start_tag(request.volume);
        self.check_guards(id, node, priority)?;
        let score = Score { rank: priority.rank, is_best_effort: !is_reserved, start_tag };
        Ok(Candidate { score, dispatch: Dispatch { request: id, node, is_reserved } })
    }

    /// Returns whether the request fits into its volume's reservation.
    fn is_reserved(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let plan = &self.settings.plans[request.plan.0 as usize];
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return false };
        volume.limit.is_reserved(self.now, plan, request.units)
    }

    /// Chooses the action for one queue head after another, and carries it out, until one is to be sent. Returns the first
    /// request held neither by a backoff nor by the order of its key, or the head if all are. A request behind the head
    /// may already be late; only the head was checked.
    fn settle_heads_and_pick(
        &mut self,
        shard: ShardId,
        queue: QueueId,
        node: Option<NodeId>,
    ) -> Option<RequestId> {
        loop {
            let shard_state = self.shards.get_mut(&shard)?;
            let head = shard_state.first_waiting(queue, |id| is_waiting_at(&self.requests, id, shard))?;
            let action = self.queue_head(shard, head, node)?.action(self.now);
            if action == QueueHeadAction::Send {
                return Some(self.first_without_own_hold(shard, queue).unwrap_or(head));
            }
            self.shards.get_mut(&shard)?.pop_head(queue);
            match action {
                QueueHeadAction::Send => {}
                QueueHeadAction::Move => self.enqueue(head, QueueEnd::Front),
                QueueHeadAction::SetAside => self.shards.get_mut(&shard)?.late_requests.push_back(head),
                QueueHeadAction::Reject { reason, retry_after } => {
                    self.reject_or_fail(head, reason, Some(retry_after));
                }
            }
        }
    }

    /// Collects the values on which the action for a queue's head depends.
    fn queue_head(&self, shard: ShardId, id: RequestId, node: Option<NodeId>) -> Option<QueueHead> {
        let request = self.requests.get(&id)?;
        let node = node.and_then(|node| self.nodes.get(&node));
        let expected_latency = node.map_or(TimeDelta::ZERO, |node| {
            node.limiter.expected_latency(node.median_latency_secs(request.class))
        });
        Some(QueueHead {
            objective_at: request.objective_at,
            deadline: request.deadline,
            expected_latency,
            has_node: node.is_some(),
            can_move: request.can_move(),
            is_retry_safe: self.retry_safety(request).allows_retry(self.now),
            exceeds_burst: self.exceeds_burst(request),
            is_limited: is_limited(self.plan(request.plan)),
            held_by: request.held_by,
            late_requests: self.shards.get(&shard)?.late_requests.len(),
            concurrency_limit: node.map_or(0.0, |node| node.limiter.limit()),
            max_retry_after: self.settings.max_retry_after,
        })
    }

    /// Returns the first request of a queue that is held neither by a backoff nor by the order of its key. These guards
    /// concern a single request, which must not hold up the requests behind it. Only the first `MAX_SCANNED_REQUESTS`
    /// requests are looked at.
    fn first_without_own_hold(&self, shard: ShardId, queue: QueueId) -> Option<RequestId> {
        let is_ready = |id: &&RequestId| {
            let request = self.requests.get(id).filter(|request| request.is_waiting);
            request.is_some_and(|request| {
                request.not_before <= self.now && self.check_key_order(**id, request).is_ok()
            })
        };
        let queue = self.shards.get(&shard)?.queues.get(&queue)?;
        queue.iter().take(MAX_SCANNED_REQUESTS).find(is_ready).copied()
    }

    /// Returns the shard's first late request, if its guards let it be sent. A late answer is worth little, so this
    /// returns `None` while a request waits in any queue of the shard.
    fn pick_late_request(&mut self, shard: ShardId, node: NodeId) -> Option<Dispatch> {
        let shard_state = self.shards.get_mut(&shard)?;
        let request = shard_state.first_late(|late| is_waiting_at(&self.requests, late, shard))?;
        if !shard_state.queues.is_empty() {
            return None;
        }
        let priority = late_priority(self.class(self.requests[&request].class));
        match self.check_guards(request, node, priority) {
            Ok(()) => Some(Dispatch { request, node, is_reserved: false }),
            Err(hold) => {
                self.record_hold(request, hold.reason);
                None
            }
        }
    }

    /// Returns the decision to send an attempt, and records that attempt.
    pub(super) fn start_attempt(&mut self, shard: ShardId, dispatch: Dispatch) -> Option<Decision> {
        let request = self.requests.get(&dispatch.request)?;
        let node = self.nodes.get(&dispatch.node)?;
        let class = self.class(request.class);
        let timeout = AttemptTimeout {
            class,
            node_latency: &node.latency[request.class.0 as usize],
            pool_latency: &self.pool_latency[request.class.0 as usize],
            is_lossy: self.loss_detector.is_lossy(),
            may_retry: request.attempts + 1 < self.settings.max_attempts,
            limit_is_below_one: node.limiter.is_below_one(),
            time_left: self.time_until(request.deadline),
        };
        let decision = Decision::Send {
            request: dispatch.request,
            node: dispatch.node,
            timeout: timeout.timeout(),
            begin_by: self.retry_safety(request).begin_by(),
        };
        self.record_attempt(shard, dispatch);
        Some(decision)
    }

    /// Charges the volume and the shard for an attempt that is being sent, and for a retry also the node's retry credit and
    /// the retry budget. Records the attempt at its node and its key.
    fn record_attempt(&mut self, shard: ShardId, sent: Dispatch) {
        let (Some(request), Some(node)) =
            (self.requests.get_mut(&sent.request), self.nodes.get_mut(&sent.node))
        else {
            return;
        };
        let plan = &self.settings.plans[request.plan.0 as usize];
        let shard_state = self.shards.entry(shard).or_default();
        if let Some(volume) = self.volumes.get_mut(&request.volume) {
            if !request.is_charged {
                volume.limit.charge_limit(request.units);
            }
            if sent.is_reserved {
                volume.limit.charge_reservation(request.units);
            }
        }
        if let Some(cost) = weighted_cost(request.units, plan.weight, sent.is_reserved) {
            shard_state.charge(request.volume, cost);
        }
        if request.attempts > 0 {
            node.retry_credit.spend();
            self.retry_budget.record_retry(self.now);
        }
        if let Some(key) = request.key {
            request.is_repeat = shard_state.record_key(key, MAX_RECENT_KEYS);
        }
        let attempt = SentAttempt {
            node: sent.node,
            node_answered: node.answered,
            node_in_flight: node.in_flight.attempts,
            at_limit: node.limiter.is_at_limit(&node.in_flight),
        };
        request.attempt_started(self.now, attempt);
        let rank = self.settings.classes[request.class.0 as usize].priority.rank;
        node.attempt_started(self.now, rank, request.units);
        if let Some(queue) = request.ordered_key.and_then(|key| self.key_queues.get_mut(&key)) {
            queue.attempt_started(sent.request);
        }
    }
}
