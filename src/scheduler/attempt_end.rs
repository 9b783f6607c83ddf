//! The end of an attempt: updates what is known of its node and decides whether its request is retried.

use super::request::{forget_if_over, AttemptResult};
use super::shard::QueueEnd;
use super::Scheduler;
use crate::interface::{AttemptEnd, Instant, KeyId, NodeId, Outcome, RequestId, SchedulerEvent};
use crate::policy::concurrency_limit::{adjusts_limits, is_fast, LimitSample};
use crate::policy::loss_detection::LossSample;
use crate::policy::outlier_detection::HealthChange;
use crate::policy::retry_safety::{FailedAttempt, RETRY_BACKOFF};
use crate::state::Timer;

impl Scheduler {
    /// Records the end of an attempt, and queues its request again or gives it its final answer. An attempt that is not in
    /// flight is ignored.
    pub fn attempt_ended(&mut self, now: Instant, end: AttemptEnd) {
        self.now = now;
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let objective = self.settings.classes[request.class.0 as usize].latency_objective;
        let Some(result) = request.attempt_finished(&end, objective) else { return };
        let settled_at = end.outcome.may_be_running().then_some(now + self.settings.key_settle_time);
        self.record_end_at_key(result.ordered_key, settled_at);
        let is_done = end.outcome == Outcome::Done;
        let is_lost = self.record_at_node(&result);
        if let Some(event) = self.loss_detector.record(is_lost, is_done) {
            self.emit(event);
        }
        if end.request_is_over || is_done {
            self.finish(end.request);
        } else {
            self.retry_or_answer(end.request);
        }
        forget_if_over(&mut self.requests, &mut self.key_queues, end.request, now);
    }

    /// Records the attempt's result at its node. Returns whether the result shows that this attempt or an earlier
    /// one was lost.
    fn record_at_node(&mut self, result: &AttemptResult) -> bool {
        let class = &self.settings.classes[result.class.0 as usize];
        let adjusts_limit = adjusts_limits(class.latency_objective, self.settings.tightest_objective);
        let Some(node) = self.nodes.get_mut(&result.attempt.node) else { return false };
        node.in_flight.remove(class.priority.rank, result.units);
        self.pending_shards.insert(node.shard);
        let is_lost = node.unexplained_timeout.record(&LossSample {
            is_done: result.outcome == Outcome::Done,
            is_timeout: result.outcome == Outcome::TimedOut,
            was_overtaken: result.was_overtaken(node.answered),
            is_fast: is_fast(result.latency, result.objective),
        });
        let sample = LimitSample {
            outcome: result.outcome,
            latency: result.latency,
            objective: result.objective,
            adjusts_limit,
            was_at_limit: result.attempt.at_limit,
            request_was_over: result.request_was_over,
            node_was_silent: result.node_was_silent(node.answered),
        };
        node.limiter.record(self.now, &sample);
        node.retry_credit.record(result.outcome, result.latency, result.objective);
        let health_change = node.outlier_detector.record(result.outcome);
        if result.outcome == Outcome::Done {
            self.record_answer(result);
        }
        if let Some(change) = health_change {
            self.emit(health_event(result.attempt.node, &change));
        }
        is_lost
    }

    /// Records the latency of an answer and the work it shows the node can do.
    fn record_answer(&mut self, result: &AttemptResult) {
        let Some(node) = self.nodes.get_mut(&result.attempt.node) else { return };
        // An answer from a node's cache does not show what the node can do. If it counted in full, a node in slow start
        // would be sent several times what it can take, and would collapse right after a fast start. Since it counts
        // only in part, a node in slow start gets little more than its safe units (`SlowStartSettings`) if most requests
        // are for few keys.
        let counted_fraction = if result.is_repeat { self.settings.uncached_fraction } else { 1.0 };
        let work = counted_fraction * result.units;
        let latency_secs = result.latency.secs();
        self.shards.entry(node.shard).or_default().service_rate.add(self.now, work);
        node.attempt_answered(result.class, latency_secs, work);
        self.pool_latency[result.class.0 as usize].add(latency_secs);
    }

    /// Handles an attempt that ended without success: queues the request for a retry where the rules and the time left
    /// allow one, otherwise gives the final answer at once.
    fn retry_or_answer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.is_over || !request.in_flight.is_empty() {
            return;
        }
        let failed = FailedAttempt {
            attempts: request.attempts,
            max_attempts: self.settings.max_attempts,
            objective_at: request.objective_at,
            is_retry_safe: self.retry_safety(request).allows_retry(self.now),
        };
        if let Some(reason) = failed.reason_not_to_retry(self.now) {
            return self.reject_or_fail(id, reason, Some(RETRY_BACKOFF));
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.not_before = self.now + RETRY_BACKOFF;
            request.is_waiting = true;
        }
        self.enqueue(id, QueueEnd::Front);
    }

    /// Records that an attempt on this key has ended. The node may still be running it until `settled_at`; `None` if it
    /// is known to have stopped.
    fn record_end_at_key(&mut self, key: Option<KeyId>, settled_at: Option<Instant>) {
        let Some(key) = key else { return };
        let Some(queue) = self.key_queues.get_mut(&key) else { return };
        queue.attempt_finished(settled_at);
        // The timer removes the key's queue if the queue is idle by then. Otherwise, if nothing is requested on the key
        // again, its queue would never be removed.
        if let Some(settled_at) = settled_at {
            self.timers.set(settled_at, Timer::KeySettled(key));
        }
    }
}

fn health_event(node: NodeId, change: &HealthChange) -> SchedulerEvent {
    let HealthChange { is_outlier, successes, failures } = *change;
    match is_outlier {
        true => SchedulerEvent::NodeUnhealthy { node, successes, failures },
        false => SchedulerEvent::NodeHealthy { node, successes, failures },
    }
}
