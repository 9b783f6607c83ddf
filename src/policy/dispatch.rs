//! Which request is sent next, and where.

use super::concurrency::{BEST_EFFORT_FRACTION, LOWER_PRIORITY_FRACTION};
use crate::interface::*;
use crate::state::*;

const RECHECK_INTERVAL: f64 = 0.05; // seconds until a request that a guard holds is looked at again
const MIN_RECHECK_INTERVAL: f64 = 1e-3; // seconds
const RECENT_KEYS: usize = 16; // pieces of a shard's data that are known again
const QUEUE_SCAN: usize = 16; // waiting requests searched for one that no guard of its own holds

impl Scheduler {
    /// What the host is to do next, if anything now.
    pub fn poll_decision(&mut self, now: Instant) -> Option<Decision> {
        self.now = now;
        while let Some(timer) = self.timers.pop_expired(now) {
            self.on_timer(timer);
        }
        loop {
            if let Some(decision) = self.decisions.pop_front() {
                return Some(decision);
            }
            let shard = *self.pending_shards.first()?;
            match self.pick_request(shard) {
                Some(dispatch) => return Some(self.start_attempt(shard, dispatch)),
                None => _ = self.pending_shards.remove(&shard),
            }
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Deadline(id) if self.requests.get(&id).is_some_and(|r| !r.response_started) => {
                self.reject_or_fail(id, None);
            }
            Timer::Shard(shard) => _ = self.pending_shards.insert(shard),
            Timer::KeySettled(key) if self.key_queues.get(&key).is_some_and(|q| q.is_idle(self.now)) => {
                self.key_queues.remove(&key);
            }
            Timer::NodeList if !self.list_requested => {
                self.list_requested = true;
                self.decisions.push_back(Decision::FollowList);
            }
            Timer::Deadline(_) | Timer::KeySettled(_) | Timer::NodeList => {}
        }
    }

    /// The request that is sent next for this shard, if any may be sent now.
    fn pick_request(&mut self, id: ShardId) -> Option<Dispatch> {
        let shard = self.shards.get(&id)?;
        let node = shard.nodes.iter().rev().find(|node| self.nodes[node].state == NodeState::Ready).copied();
        let queues: Vec<QueueId> = shard.queues.keys().copied().collect();
        let (mut best, mut recheck_at): (Option<Candidate>, Option<Instant>) = (None, None);
        for queue in queues {
            let Some(request) = self.first_on_time(id, queue, node) else { continue };
            let Some(node) = node else { continue };
            match self.check_request(id, request, node) {
                Ok(found) if best.is_none_or(|best| found.score < best.score) => best = Some(found),
                Err(Blocked::Until(at)) => recheck_at = recheck_at.into_iter().chain([at]).min(),
                Ok(_) | Err(Blocked::UntilAnswer) => {}
            }
        }
        let best = best.map(|best| best.dispatch).or_else(|| self.pick_late_request(id, node?));
        if let Some(at) = recheck_at.filter(|_| best.is_none()) {
            let earliest = self.now + TimeDelta::from_secs(MIN_RECHECK_INTERVAL);
            self.timers.set(at.max(earliest), Timer::Shard(id));
        }
        best
    }

    /// Ranks a request that may be sent now.
    fn check_request(&mut self, shard: ShardId, id: RequestId, node: NodeId) -> Result<Candidate, Blocked> {
        let is_reserved = self.is_reserved(id);
        let request = &self.requests[&id];
        // A reserved request whose latency objective draws near is by then as tight as the tightest.
        let is_urgent = is_reserved && request.objective_at - self.now <= self.tightest_objective;
        let class = &self.classes[request.class.0 as usize];
        let priority = if is_urgent { Priority::HIGHEST } else { class.priority };
        let priority = Priority { is_reserved, ..priority };
        let start_tag = self.shards[&shard].start_tag(request.volume);
        self.nodes[&node].check_capacity(self.now, priority, self.mean_units)?;
        self.check_guards(id, node)?;
        let score = Score { rank: priority.rank, is_best_effort: !is_reserved, start_tag };
        Ok(Candidate { score, dispatch: Dispatch { request: id, node, is_reserved } })
    }

    /// First of a queue that can still meet its latency objective; others are set aside on the way.
    fn first_on_time(&mut self, shard: ShardId, queue: QueueId, node: Option<NodeId>) -> Option<RequestId> {
        loop {
            let record = self.shards.get_mut(&shard)?;
            let id = record.first_waiting(queue, |id| is_waiting_at(&self.requests, id, shard))?;
            let request = &self.requests[&id];
            let can_never_leave = !self.is_retry_safe(request, None) || self.exceeds_burst(request);
            let waiting = self.shards.get_mut(&shard)?.queues.get_mut(&queue)?;
            // A new object that waits for a node which can't take it finds another.
            if node.is_none() && request.can_move() && self.now < request.objective_at {
                waiting.pop_front();
                self.enqueue(id, QueueEnd::Front);
                continue;
            }
            let node = node.and_then(|node| self.nodes.get(&node));
            let expected = node.map_or(TimeDelta::ZERO, |node| node.expected_latency(queue.1));
            let is_on_time = self.now + expected < request.objective_at.min(request.deadline);
            if is_on_time && !can_never_leave {
                return Some(self.first_ready(shard, queue)?.unwrap_or(id));
            }
            waiting.pop_front();
            let is_limited = self.plans[request.plan.0 as usize].limit > 0.0;
            let late = &mut self.shards.get_mut(&shard)?.late_requests;
            let max_late = node.map_or(0.0, |node| node.concurrency_limit);
            if can_never_leave {
                // Against one that can't leave any more, held till it is late with all behind it.
                self.reject_or_fail(id, Some(self.max_retry_after));
            } else if is_limited || (late.len() as f64) >= max_late {
                self.reject_or_fail(id, Some(expected + expected));
            } else {
                late.push_back(id);
            }
        }
    }

    /// What a guard of its own holds (a backoff, its key) must not hold those behind it.
    fn first_ready(&self, shard: ShardId, queue: QueueId) -> Option<Option<RequestId>> {
        let is_ready = |id: &&RequestId| {
            let request = self.requests.get(id).filter(|r| r.is_waiting && r.not_before <= self.now);
            request.is_some_and(|request| self.key_blocked_until(**id, request).is_none())
        };
        let queue = self.shards.get(&shard)?.queues.get(&queue)?;
        Some(queue.iter().take(QUEUE_SCAN).find(is_ready).copied())
    }

    /// A late request earns little: it is sent only when nothing on time can be.
    fn pick_late_request(&mut self, id: ShardId, node: NodeId) -> Option<Dispatch> {
        let shard = self.shards.get_mut(&id)?;
        while shard.late_requests.pop_front_if(|late| !is_waiting_at(&self.requests, *late, id)).is_some() {}
        let request = *shard.late_requests.front()?;
        let rank = self.classes[self.requests[&request].class.0 as usize].priority.rank;
        let priority = Priority { rank, tightness: LOWER_PRIORITY_FRACTION, is_reserved: false };
        let capacity = self.nodes[&node].check_capacity(self.now, priority, self.mean_units);
        let is_idle = shard.queues.is_empty() && capacity.is_ok();
        let may_send = is_idle && self.check_guards(request, node).is_ok();
        may_send.then_some(Dispatch { request, node, is_reserved: false })
    }

    /// Whether the guards let this request leave for this node now; if not, when to look again.
    fn check_guards(&mut self, id: RequestId, node_id: NodeId) -> Check {
        let recheck_at = self.now + TimeDelta::from_secs(RECHECK_INTERVAL);
        let (request, node) = (&self.requests[&id], &self.nodes[&node_id]);
        check_due(request.not_before, self.now)?;
        // Rule 2: an idempotent-by-key request that may have run stays in its scope and window.
        if !self.is_retry_safe(request, Some(node_id)) {
            return Err(Blocked::Until(request.deadline));
        }
        node.check_probe(self.now)?;
        // Rule 6, and a credit of our own: retries must be earned by the node's answers.
        if request.attempts > 0 && (node.retry_credit < 1.0 || !self.retry_budget_allows()) {
            return Err(Blocked::Until(recheck_at));
        }
        if let Some(free_at) = self.key_blocked_until(id, request) {
            return Err(Blocked::Until(free_at.max(recheck_at)));
        }
        if self.exceeds_burst(request) {
            return Err(Blocked::Until(request.deadline));
        }
        let units = request.units;
        match self.limit_wait(id) {
            TimeDelta::ZERO => self.check_slow_start(node_id, units),
            wait => Err(Blocked::Until(self.now + wait)),
        }
    }

    /// Rule 5: until when, at least, another request or an unknown outcome keeps the key from this one.
    fn key_blocked_until(&self, id: RequestId, request: &Request) -> Option<Instant> {
        self.key_queues.get(&request.ordered_key?)?.blocked_until(id, self.now)
    }

    fn start_attempt(&mut self, shard: ShardId, dispatch: Dispatch) -> Decision {
        let (id, node) = (dispatch.request, dispatch.node);
        let Some((request, record)) = self.requests.get(&id).zip(self.nodes.get(&node)) else {
            return Decision::Fail { request: id };
        };
        let (begin_by, timeout) = (self.dedup_until(request), self.attempt_timeout(request, record));
        let at_limit = (record.in_flight + 1) as f64 >= record.concurrency_limit * BEST_EFFORT_FRACTION;
        let weight = self.plans[request.plan.0 as usize].weight;
        let weighted_cost = (!dispatch.is_reserved).then_some(request.units / weight);
        self.record_attempt(shard, dispatch, SendTerms { at_limit, weighted_cost, recent_keys: RECENT_KEYS });
        Decision::Send { request: id, node, timeout, begin_by }
    }

    /// New objects: nodes in rotation, weighted by what each was seen to manage (concurrency limit over usual
    /// time); one that has not answered yet counts like the mean of the others.
    pub(super) fn place_new_object(&mut self) -> Option<ShardId> {
        let (now, mean_units) = (self.now, self.mean_units);
        let is_able = |node: &Node| node.state == NodeState::Ready && !node.is_ejected();
        let has_capacity =
            |node: &Node| is_able(node) && node.check_capacity(now, Priority::HIGHEST, mean_units).is_ok();
        let any_capacity = self.nodes.values().any(has_capacity);
        let usual = mean(self.nodes.values().filter(|node| is_able(node)).filter_map(Node::mean_latency));
        let is_eligible = |node: &Node| if any_capacity { has_capacity(node) } else { is_able(node) };
        let nodes = self.nodes.values_mut().filter(|node| is_eligible(node));
        next_in_rotation(nodes.map(|node| {
            let is_warming_up =
                node.up_since.is_some_and(|up_since| now - up_since < self.slow_start.duration);
            let fraction = if is_warming_up { self.slow_start.initial_capacity } else { 1.0 };
            let capacity = fraction * node.concurrency_limit;
            let weight = node.weight * capacity / node.mean_latency().unwrap_or(usual).max(1e-3);
            (node, weight)
        }))
    }
}
