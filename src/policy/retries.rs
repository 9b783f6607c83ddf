//! What follows when an attempt ends, when a retry is safe, and when an attempt is given up.

use super::concurrency::LATENCY_TARGET;
use super::slow_start::SERVICE_RATE_MEMORY;
use crate::interface::*;
use crate::state::*;

const LOSSY: LossThreshold = LossThreshold { window: 128.0, min_lost: 2.0, fraction: 0.02 }; // of attempts
const TIMEOUT_QUANTILE: f64 = 0.9; // of the answers seen
const TIMEOUT_MULTIPLE: f64 = 3.0; // of that quantile
const MIN_TIMEOUT: f64 = 0.4; // of the latency objective
const TIMEOUT_SAMPLE: f64 = 8.0; // answers
const RETRY_BACKOFF: f64 = 0.02; // seconds before a retry
const WINDOW_MARGIN: f64 = 0.02; // seconds kept from the edge of any stated window

impl Scheduler {
    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Instant, end: AttemptEnd) {
        self.now = now;
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let objective = self.classes[request.class.0 as usize].latency_objective;
        let Some(result) = request.attempt_finished(&end, objective) else { return };
        let settled_at = end.outcome.may_be_running().then_some(now + self.key_settle_time);
        self.release_key(result.ordered_key, settled_at);
        let is_done = end.outcome == Outcome::Done;
        let is_lost = self.record_at_node(&result);
        self.record_loss(is_lost, is_done);
        if end.is_over || is_done {
            self.finish(end.request);
        } else if self.requests.get(&end.request).is_some_and(|r| !r.is_over && r.in_flight.is_empty()) {
            self.retry_or_answer(end.request);
        }
        forget_if_over(&mut self.requests, &mut self.key_queues, end.request, now);
    }

    /// Counts the attempt at its node; whether this shows that an attempt got lost.
    fn record_at_node(&mut self, result: &AttemptResult) -> bool {
        let class = &self.classes[result.class.0 as usize];
        let (id, judges_node) = (result.attempt.node, self.judges_nodes(class));
        let Some(node) = self.nodes.get_mut(&id) else { return false };
        node.attempt_finished(class.priority.rank, result.units);
        self.pending_shards.insert(node.shard);
        // A timed-out attempt got lost if a later one was answered meanwhile, or else if the next is fast.
        let (is_done, is_timeout) = (result.outcome == Outcome::Done, result.outcome == Outcome::TimedOut);
        let (had_timeout, overtaken) = (node.has_unexplained_timeout, result.was_overtaken(node));
        let is_fast = result.latency < LATENCY_TARGET * result.objective;
        node.has_unexplained_timeout = if is_timeout { !overtaken } else { had_timeout && !is_done };
        node.adjust_limit(self.now, result, judges_node);
        let outlier = node.record_health(result);
        let (good, bad) = (node.successes, node.failures);
        if is_done {
            // Against nodes that are quick with what they have cached: it is no sign of what they can do, and
            // in slow start it would get several times what it bears. Hurts where most asks are for few keys.
            let work = if result.is_repeat { self.uncached_fraction * result.units } else { result.units };
            let shard = self.shards.entry(node.shard).or_default();
            shard.service_rate.add(self.now, work, SERVICE_RATE_MEMORY);
            node.attempt_answered(result.class, result.latency, work);
            self.pool_latency[result.class.0 as usize].add(result.latency);
        }
        if let Some(is_outlier) = outlier {
            let state = if is_outlier { "unhealthy" } else { "healthy" };
            self.log(format!("node {} {state}: {good:.1} good {bad:.1} bad", id.0));
        }
        is_timeout && overtaken || is_done && is_fast && had_timeout
    }

    /// Whether attempts get lost, by how many were against those answered.
    fn record_loss(&mut self, is_lost: bool, is_answered: bool) {
        if let Some(is_lossy) = self.loss_rate.record(is_lost, is_answered, &LOSSY) {
            let (rate, state) = (&self.loss_rate, if is_lossy { "get lost" } else { "arrive" });
            self.log(format!("attempts {state}: {:.1} lost {:.1} answered", rate.lost, rate.answered));
        }
    }

    /// An attempt ended without success: another where rules and time allow, else the final answer at once.
    fn retry_or_answer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let backoff = TimeDelta::from_secs(RETRY_BACKOFF);
        let is_late = request.objective_at <= self.now;
        if request.attempts >= self.max_attempts || is_late || !self.is_retry_safe(request, None) {
            return self.reject_or_fail(id, Some(backoff));
        }
        if let Some(request) = self.requests.get_mut(&id) {
            (request.not_before, request.is_waiting) = (self.now + backoff, true);
        }
        self.enqueue(id, QueueEnd::Front);
    }

    /// Rule 6. The window is read narrower for requests and wider for retries.
    pub(super) fn retry_budget_allows(&self) -> bool {
        let (budget, margin) = (&self.retry_budget, TimeDelta::from_secs(WINDOW_MARGIN));
        let Some(window) = budget.window else { return true };
        let retries = budget.retries_within(self.now, window + margin);
        retries + 1.0 <= budget.free + budget.share * budget.requests_within(self.now, window, margin)
    }

    /// Until when nodes know a repeat by its idempotency key: an attempt must have begun by then.
    pub(super) fn dedup_until(&self, request: &Request) -> Option<Instant> {
        match self.classes[request.class.0 as usize].effect {
            Effect::IdempotentByKey { window, .. } => {
                Some(request.first_effect?.sent_at + window - TimeDelta::from_secs(WINDOW_MARGIN))
            }
            _ => None,
        }
    }

    /// Whether a retry at `node` (or at any, if none is named) can do no harm.
    pub(super) fn is_retry_safe(&self, request: &Request, node: Option<NodeId>) -> bool {
        let Some(first) = request.first_effect else { return true };
        match self.classes[request.class.0 as usize].effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotentByKey { scope, .. } => {
                let first_node = self.nodes.get(&first.node);
                let in_scope = |node| in_same_scope(scope, self.nodes.get(&node), first_node);
                node.is_none_or(in_scope) && self.dedup_until(request).is_some_and(|until| self.now < until)
            }
        }
    }

    /// When an attempt is given up before its client gives up. Where attempts get lost, one that takes far
    /// longer than usual must not hold the limit: against bad links; hurts where cheap requests overtake
    /// costly ones. A crowded node has until the latency objective, so the queue can drop what is late:
    /// against drowned nodes; costs what late ones earn.
    pub(super) fn attempt_timeout(&self, request: &Request, node: &Node) -> Option<TimeDelta> {
        let class = &self.classes[request.class.0 as usize];
        let here = &node.latency[request.class.0 as usize];
        let pool = &self.pool_latency[request.class.0 as usize];
        let seen = if here.count() >= TIMEOUT_SAMPLE { here } else { pool };
        let may_retry = request.attempts + 1 < self.max_attempts;
        let timeout = if self.loss_rate.is_lossy && may_retry && seen.count() >= TIMEOUT_SAMPLE {
            let usual = seen.at(TIMEOUT_QUANTILE).unwrap_or(0.0);
            let min = TimeDelta::from_secs(class.latency_objective.secs() * MIN_TIMEOUT);
            Some(TimeDelta::from_secs(usual * TIMEOUT_MULTIPLE).max(min))
        } else {
            (node.concurrency_limit < 1.0).then_some(class.latency_objective)
        };
        let is_useful = |timeout: &TimeDelta| self.now + *timeout < request.deadline;
        timeout.filter(is_useful).filter(|_| class.effect != Effect::NonIdempotent)
    }
}
