//! How many attempts may be in flight at a node: an adaptive limit, with additive rise and cuts by a factor.

use crate::interface::*;
use crate::state::*;

const INITIAL_LIMIT: f64 = 8.0; // attempts in flight at one node, and mean requests in units
const FEW_HOSTS: f64 = 4.0; // up to these each may keep one in flight at a node, beyond them they share
const MAX_LIMIT: f64 = 24.0; // attempts
const INCREASE: f64 = 0.5; // by this much for each window of good answers
const MIN_DECREASE_FACTOR: f64 = 0.5; // the strongest cut, the stronger the slower the answer
const MAX_DECREASE_FACTOR: f64 = 0.9;
pub(super) const LATENCY_TARGET: f64 = 0.5; // slower than this fraction of the objective cuts the limit
const MAX_SEND_PAUSE: f64 = 2.0; // seconds, at few hosts
pub(super) const BEST_EFFORT_FRACTION: f64 = 0.7; // of the limit, for units past the reservation
pub(super) const LOWER_PRIORITY_FRACTION: f64 = 0.5; // while a higher one is in flight, and for late ones
const NODE_QUEUE: f64 = 8.0; // requests a node may report to wait before they divide the limit
const NODE_QUEUE_BEST_EFFORT: f64 = 2.0; // and before they divide it for units past the reservation
const JUDGING_OBJECTIVES: f64 = 2.0; // classes within this multiple of the tightest one judge nodes

impl Scheduler {
    /// How many hosts are thought to be alive. Concurrency limits follow it, whose sum no rule bounds; the
    /// guards keep to the configured number, whatever is thought.
    pub fn alive_hosts_changed(&mut self, alive: u32) {
        self.alive_hosts = f64::from(alive.max(1)).min(self.hosts);
        let (_, min) = self.initial_limits();
        for node in self.nodes.values_mut() {
            node.min_concurrency_limit = min;
            node.concurrency_limit = node.concurrency_limit.max(min);
        }
    }

    /// The concurrency limit of a new node, and the lowest of any.
    pub(super) fn initial_limits(&self) -> (f64, f64) {
        let min = (FEW_HOSTS / self.alive_hosts).min(1.0);
        (INITIAL_LIMIT * min.sqrt(), min)
    }

    /// Only answers of the tighter classes move the limit: others may be slow at a node that is well.
    pub(super) fn judges_nodes(&self, class: &TrafficClass) -> bool {
        class.latency_objective.secs() <= JUDGING_OBJECTIVES * self.tightest_objective.secs()
    }

    /// An operator's override: the part of what the node would be given otherwise, and whether it stays in
    /// service whatever its health. Off at 1 and false. The list, the guards and the rules come first.
    pub fn node_overridden(&mut self, now: Instant, id: NodeId, weight: f64, is_pinned: bool) {
        self.now = now;
        if let Some(node) = self.nodes.get_mut(&id) {
            (node.weight, node.is_pinned) = (weight.clamp(0.01, 1.0), is_pinned);
            self.pending_shards.insert(node.shard);
        }
    }
}

impl Node {
    /// The limit rises while answers come well within the latency objective and is cut when they don't:
    /// against any slowness (queue, pauses, costly work), whatever its cause.
    pub(super) fn adjust_limit(&mut self, now: Instant, result: &AttemptResult, judges_node: bool) {
        self.last_latency = result.latency;
        let (objective, target) = (result.objective, LATENCY_TARGET * result.objective);
        match result.outcome {
            Outcome::Done if !judges_node => {}
            Outcome::Done if result.latency >= target => self.cut_limit(now, target / result.latency),
            Outcome::Done if result.attempt.at_limit => {
                let step = INCREASE * self.concurrency_limit.min(1.0 / self.concurrency_limit);
                self.concurrency_limit = (self.concurrency_limit + step).min(MAX_LIMIT);
            }
            // Its client's time was up before the latency objective, or nothing at all was answered
            // meanwhile: too slow, or drowned. Against hurried clients, and against many hosts that each send
            // one attempt a time-out and so keep a full queue full. Else it may have got lost.
            Outcome::TimedOut if result.latency < objective && !result.request_was_over => {}
            Outcome::TimedOut if result.latency >= objective && !result.node_was_silent(self) => {}
            Outcome::TimedOut | Outcome::Full => self.cut_limit(now, MIN_DECREASE_FACTOR),
            _ => {}
        }
    }

    /// At most one cut for what was in flight at once, by the time that the last attempt took.
    fn cut_limit(&mut self, now: Instant, factor: f64) {
        if (now - self.limit_cut_at).secs() > self.last_latency {
            let factor = factor.clamp(MIN_DECREASE_FACTOR, MAX_DECREASE_FACTOR);
            self.concurrency_limit = (self.concurrency_limit * factor).max(self.min_concurrency_limit);
            self.limit_cut_at = now;
        }
    }

    /// Whether the node has capacity for a request of this priority. Hosts that each keep one in flight can
    /// still fill a node: a limit below one pauses between requests.
    pub(super) fn check_capacity(&self, now: Instant, priority: Priority, mean_units: f64) -> Check {
        let limit = self.effective_limit(priority);
        let above: usize = self.in_flight_by_rank[..priority.rank].iter().sum();
        let at_or_below = self.in_flight - above;
        let is_free = self.in_flight == 0
            || (self.in_flight as f64) < limit.floor()
                && self.in_flight_units < limit * mean_units
                && (above == 0 || (at_or_below as f64) < (limit * LOWER_PRIORITY_FRACTION).max(1.0));
        let max_pause = MAX_SEND_PAUSE / self.min_concurrency_limit.sqrt();
        let pause = if limit < 1.0 { (self.last_latency / limit).min(max_pause) } else { 0.0 };
        let paused_until = self.last_sent_at + TimeDelta::from_secs(pause);
        is_free.then_some(()).ok_or(Blocked::UntilAnswer)?;
        check_due(paused_until, now)
    }

    fn effective_limit(&self, priority: Priority) -> f64 {
        let fraction = if priority.is_reserved { 1.0 } else { BEST_EFFORT_FRACTION };
        let queue = if priority.is_reserved { NODE_QUEUE } else { NODE_QUEUE_BEST_EFFORT };
        // What a node reports is common to all hosts; what each has in flight is not, once they are many.
        let limit = self.concurrency_limit * self.weight * fraction / (self.reported_queue / queue).max(1.0);
        let limit = if self.is_ejected() { limit.min(1.0) } else { limit };
        // Ranks hold within a host; where many share a node, looser classes pause longer at it.
        limit * if limit < 1.0 { priority.tightness } else { 1.0 }
    }

    /// How long an answer is expected to take.
    pub(super) fn expected_latency(&self, class: TrafficClassId) -> TimeDelta {
        let median = self.latency[class.0 as usize].at(0.5).unwrap_or(0.0);
        TimeDelta::from_secs(median.min(self.last_latency))
    }
}
