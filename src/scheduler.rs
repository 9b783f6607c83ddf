//! The scheduler of one host: gathers what each rule of `policy` reads, applies what it decides, and keeps the tables.
//!
//! A host makes one `Scheduler`, tells it the settings, and reports what happens through the inputs (`request_arrived`,
//! `attempt_ended`, `nodes_changed`, ...), which only update what is known. After each it calls `poll_decision` until there is none,
//! and again at `poll_timeout`.
//!
//! The way of a request: it arrives and waits in a queue of its shard (`arrival`); `dispatch` picks which request is sent next, and
//! `guards` hold it while a rule does not allow it to be sent; `attempt_end` learns from the outcome and decides on a retry;
//! `final_answer` ends a request that was not done. `endpoint_list` and `volumes` take the other inputs.

mod arrival;
mod attempt_end;
mod dispatch;
mod endpoint_list;
mod final_answer;
mod guards;
mod node;
mod placement;
mod rejected_requests;
mod request;
mod service_rates;
mod settings;
mod shard;
mod volume;
mod volumes;

use crate::histogram::Histogram;
use crate::interface::{
    Decision, Instant, KeyId, NodeId, RequestId, SchedulerEvent, ShardId, TrafficClassId, VolumeId,
};
use crate::policy::loss_detection::LossDetector;
use crate::policy::retry_budget::RetryBudget;
use crate::policy::traffic_class::TrafficClass;
use crate::state::{KeyQueue, Random, Timer, Timers};
use node::Node;
use rejected_requests::RejectedRequests;
use request::Request;
use settings::Settings;
use shard::Shard;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use volume::Volume;

/// Decides which requests of one host are sent to which node, and when.
pub struct Scheduler {
    now: Instant,
    random: Random,
    settings: Settings,
    /// Hosts of the pool that are alive as far as is known; only concurrency limits follow it.
    alive_hosts: f64,
    retry_budget: RetryBudget,
    loss_detector: LossDetector,
    /// Latencies of answers of all nodes, for each traffic class.
    pool_latency: Vec<Histogram>,
    /// A call for the endpoint list has been asked for.
    list_requested: bool,
    /// Calls for the endpoint list that failed in a row.
    list_failures: u32,
    nodes: BTreeMap<NodeId, Node>,
    shards: BTreeMap<ShardId, Shard>,
    volumes: HashMap<VolumeId, Volume>,
    requests: HashMap<RequestId, Request>,
    key_queues: HashMap<KeyId, KeyQueue>,
    rejected_requests: RejectedRequests,
    /// New objects for which there was no node.
    unplaced_requests: Vec<RequestId>,
    /// Shards where a request may be ready to be sent.
    pending_shards: BTreeSet<ShardId>,
    timers: Timers,
    /// Decisions that were not polled yet.
    decisions: VecDeque<Decision>,
}

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
            match self.pick_request(shard).and_then(|dispatch| self.start_attempt(shard, dispatch)) {
                Some(decision) => return Some(decision),
                None => _ = self.pending_shards.remove(&shard),
            }
        }
    }

    /// When `poll_decision` should be called again, if nothing happens before.
    pub fn poll_timeout(&self) -> Option<Instant> {
        self.timers.next_at()
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Deadline(id) => self.on_deadline(id),
            Timer::Shard(shard) => _ = self.pending_shards.insert(shard),
            Timer::KeySettled(key) => self.forget_idle_key(key),
            Timer::EndpointList => self.request_list(),
        }
    }

    fn forget_idle_key(&mut self, key: KeyId) {
        if self.key_queues.get(&key).is_some_and(|queue| queue.is_idle(self.now)) {
            self.key_queues.remove(&key);
        }
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

    fn class(&self, id: TrafficClassId) -> &TrafficClass {
        &self.settings.classes[id.0 as usize]
    }

    fn emit(&mut self, event: SchedulerEvent) {
        self.decisions.push_back(Decision::Event(event));
    }
}
