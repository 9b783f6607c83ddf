//! The record of all that the scheduler knows.

use super::*;
use crate::histogram::Histogram;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Decides which requests of one host are sent to which node, and when. `policy` says how it is called.
#[derive(Default)]
pub struct Scheduler {
    pub(crate) now: Instant,
    pub(crate) random: Random,
    /// Hosts that share the pool.
    pub(crate) hosts: f64,
    /// Of them, those that are alive as far as is known; only concurrency limits follow it.
    pub(crate) alive_hosts: f64,
    /// Answers are given this long before the deadline.
    pub(crate) deadline_margin: TimeDelta,
    pub(crate) plans: Vec<Plan>,
    pub(crate) classes: Vec<TrafficClass>,
    pub(crate) tightest_objective: TimeDelta,
    pub(crate) mean_units: f64,
    pub(crate) max_attempts: u32,
    pub(crate) max_retry_after: TimeDelta,
    /// How long a key rests after an attempt that may still be running.
    pub(crate) key_settle_time: TimeDelta,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) slow_start: SlowStart,
    /// Fraction that counts of the work of a request whose data a node may have cached.
    pub(crate) uncached_fraction: f64,
    pub(crate) list_requested: bool,
    pub(crate) list_failures: i32,
    pub(crate) volumes: HashMap<VolumeId, Volume>,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    pub(crate) key_queues: HashMap<KeyId, KeyQueue>,
    pub(crate) requests: HashMap<RequestId, Request>,
    pub(crate) timers: Timers,
    pub(crate) loss_rate: LossRate,
    /// Times of answers of all nodes, for each traffic class.
    pub(crate) pool_latency: Vec<Histogram>,
    pub(crate) rejected_requests: RejectedRequests,
    /// Shards where a request may be ready to be sent.
    pub(crate) pending_shards: BTreeSet<ShardId>,
    /// New objects for which no node was to be had.
    pub(crate) unplaced_requests: Vec<RequestId>,
    /// Decisions that were not polled yet.
    pub(crate) decisions: VecDeque<Decision>,
}

impl Scheduler {
    /// Plans are numbered in the order given.
    pub fn add_plan(&mut self, plan: Plan) {
        self.plans.push(Plan { weight: plan.weight.max(1e-6), ..plan });
    }

    /// `max_retry_after` is the longest that a client can be asked to stay away; zero: it can't be asked.
    /// `settle` is how long a key rests after an attempt that may still be running.
    pub fn set_attempt_limits(&mut self, max_attempts: u32, max_retry_after: TimeDelta, settle: TimeDelta) {
        self.max_attempts = max_attempts;
        self.max_retry_after = max_retry_after;
        self.key_settle_time = settle;
    }

    /// Retries over any `window`: `free` ones, and `share` of the requests received.
    pub fn set_retry_budget(&mut self, free: f64, share: f64, window: TimeDelta) {
        self.retry_budget = RetryBudget::new(free, share, window);
    }

    /// Nodes may save up to this fraction of the work for data that they have cached; 0 by default.
    pub fn set_cache_savings(&mut self, fraction: f64) {
        self.uncached_fraction = 1.0 - fraction.clamp(0.0, 1.0);
    }

    /// The host has to call for the node list.
    pub fn subscribe_to_node_list(&mut self) {
        self.timers.set(self.now, Timer::NodeList);
    }

    /// Whether the settings named this traffic class and plan.
    pub fn is_configured(&self, class: TrafficClassId, plan: PlanId) -> bool {
        (class.0 as usize) < self.classes.len() && (plan.0 as usize) < self.plans.len()
    }

    /// Keys that are remembered: those with a request that is not over, or at rest.
    pub fn key_queue_count(&self) -> usize {
        self.key_queues.len()
    }

    /// Nodes that are remembered.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Volumes that are remembered.
    pub fn volume_count(&self) -> usize {
        self.volumes.len()
    }

    /// When `poll_decision` should be called again, if nothing happens before.
    pub fn poll_timeout(&self) -> Option<Instant> {
        self.timers.next_at()
    }

    /// A streamed answer has begun: its client has it, and nothing is owed by a set time any more.
    pub fn response_started(&mut self, now: Instant, id: RequestId) {
        self.now = now;
        self.requests.entry(id).and_modify(|request| request.response_started = true);
    }

    /// The client has left, or the request was ended for us.
    pub fn request_cancelled(&mut self, now: Instant, id: RequestId) {
        self.now = now;
        self.finish(id);
    }

    /// How many requests a node reports to wait there; reports lag.
    pub fn load_reported(&mut self, now: Instant, node: NodeId, waiting: f64) {
        self.now = now;
        self.nodes.entry(node).and_modify(|node| node.reported_queue = waiting);
    }

    /// Counts an attempt that is sent: against its volume, its node, its key and the retry budget.
    pub(crate) fn record_attempt(&mut self, id: ShardId, sent: Dispatch, terms: SendTerms) {
        let (Some(request), Some(node)) =
            (self.requests.get_mut(&sent.request), self.nodes.get_mut(&sent.node))
        else {
            return;
        };
        let shard = self.shards.entry(id).or_default();
        if let Some(volume) = self.volumes.get_mut(&request.volume) {
            volume.charge(request.units, request.is_charged, sent.is_reserved);
        }
        if let Some(cost) = terms.weighted_cost {
            shard.charge(request.volume, cost);
        }
        if request.attempts > 0 {
            node.retry_credit -= 1.0;
            self.retry_budget.record_retry(self.now);
        }
        if let Some(key) = request.key {
            request.is_repeat = shard.record_key(key, terms.recent_keys);
        }
        request.attempt_started(self.now, sent.node, node, terms.at_limit);
        let rank = self.classes[request.class.0 as usize].priority.rank;
        node.attempt_started(self.now, rank, request.units);
        if let Some(queue) = request.ordered_key.and_then(|key| self.key_queues.get_mut(&key)) {
            queue.attempt_started(sent.request);
        }
    }

    /// An attempt on this key has ended; it may still be running until `settled_at`, where one is given.
    pub(crate) fn release_key(&mut self, key: Option<KeyId>, settled_at: Option<Instant>) {
        let Some(key) = key else { return };
        let Some(queue) = self.key_queues.get_mut(&key) else { return };
        queue.attempt_finished(settled_at);
        // Against a memory of keys that grows with each unknown end: a rested key is looked at once more.
        if let Some(settled_at) = settled_at {
            self.timers.set(settled_at, Timer::KeySettled(key));
        }
    }

    /// Adds a request to its queue at a shard; before all others it takes a tag that is no later than theirs.
    pub(crate) fn add_to_queue(&mut self, id: RequestId, shard: ShardId, end: QueueEnd) {
        let Some(request) = self.requests.get(&id) else { return };
        let queues = &mut self.shards.entry(shard).or_default().queues;
        let queue = queues.entry((request.volume, request.class)).or_default();
        match end {
            QueueEnd::Back => queue.push_back(id),
            QueueEnd::Front => {
                let first = queue.front().and_then(|first| self.requests.get(first));
                let first_tag = first.map_or(f64::MAX, |first| first.tag);
                self.requests.entry(id).and_modify(|request| request.tag = request.tag.min(first_tag));
                queue.push_front(id);
            }
        }
    }

    pub(crate) fn finish(&mut self, id: RequestId) {
        let next = finish_request(&mut self.requests, &mut self.key_queues, id, self.now);
        self.pending_shards.extend(next);
    }

    pub(crate) fn log(&mut self, line: String) {
        self.decisions.push_back(Decision::Log(line));
    }
}
