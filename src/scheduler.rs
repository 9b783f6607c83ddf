//! The scheduler of one host. It keeps the host's tables, collects the values that the rules in `policy` read, and
//! applies their results.
//!
//! A host creates one `Scheduler`, passes it the settings, and reports events through its inputs (`request_arrived`,
//! `attempt_ended`, `nodes_changed`, ...). An input updates the tables and returns no decision. After each input the
//! host calls `poll_decision` until it returns `None`, and again at the time that `poll_timeout` returns.
//!
//! A request arrives and waits in a queue of its shard (`arrival`). `dispatch` picks the request that is sent next;
//! `guards` hold a request while a rule does not allow it to be sent. `attempt_end` records the outcome of an attempt
//! and decides whether the request is retried. `final_answer` ends a request that was not done. `endpoint_list` and
//! `volumes` handle the other inputs.

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
mod stale_entries;
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
///
/// Decisions depend only on the seed, the settings and the inputs. The scheduler reads no clock: inputs and polls are given
/// the current time.
pub struct Scheduler {
    now: Instant,
    random: Random,
    settings: Settings,
    /// Number of hosts of the pool believed alive; only concurrency limits depend on it.
    alive_hosts: f64,
    retry_budget: RetryBudget,
    loss_detector: LossDetector,
    /// Latencies of the answers of all nodes, by traffic class.
    pool_latency: Vec<Histogram>,
    /// Whether the host has been asked to watch the endpoint list and the call has not failed since.
    list_requested: bool,
    /// Consecutive failed calls for the endpoint list.
    list_failures: u32,
    nodes: BTreeMap<NodeId, Node>,
    shards: BTreeMap<ShardId, Shard>,
    volumes: HashMap<VolumeId, Volume>,
    /// When idle volumes were last searched for.
    volumes_searched_at: Instant,
    requests: HashMap<RequestId, Request>,
    key_queues: HashMap<KeyId, KeyQueue>,
    rejected_requests: RejectedRequests,
    /// Requests for new objects that no node can take; they are placed at the next change of the endpoint list.
    unplaced_requests: Vec<RequestId>,
    /// Shards at which a request may be ready to be sent.
    pending_shards: BTreeSet<ShardId>,
    timers: Timers,
    /// The number of timers at which those that are no longer needed are searched for next.
    timer_search_size: usize,
    /// Decisions that the host has not polled yet.
    decisions: VecDeque<Decision>,
}

impl Scheduler {
    /// Returns the next decision for the host to carry out, or `None` if there is nothing to do now.
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
                None => {
                    self.pending_shards.remove(&shard);
                    self.forget_unknown_shard(shard);
                }
            }
        }
    }

    /// Returns the time at which to call `poll_decision` again if there is no input before; `None` if no timer is set.
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

    /// Removes the shard if nothing is known of it. A client that names a new shard in each request would otherwise grow the
    /// table without bound.
    fn forget_unknown_shard(&mut self, id: ShardId) {
        if self.shards.get(&id).is_some_and(Shard::is_unknown) {
            self.shards.remove(&id);
        }
    }

    fn forget_idle_key(&mut self, key: KeyId) {
        if self.key_queues.get(&key).is_some_and(|queue| queue.is_idle(self.now)) {
            self.key_queues.remove(&key);
        }
    }

    /// Returns the number of keys in the table: those with a request that is not over, and those whose last attempt may
    /// still be running.
    pub fn key_queue_count(&self) -> usize {
        self.key_queues.len()
    }

    /// Returns the number of nodes in the table, including nodes that have left the endpoint list and are not forgotten yet.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the number of shards in the table: those that a list has named, and those with a waiting request.
    pub fn shard_count(&self) -> usize {
        self.shards.len()
    }

    /// Returns the number of volumes in the table, including idle ones that are not forgotten yet.
    pub fn volume_count(&self) -> usize {
        self.volumes.len()
    }

    /// Returns the number of requests for new objects that wait until a node can take them, and of those of them that are
    /// over and not removed yet.
    pub fn unplaced_request_count(&self) -> usize {
        self.unplaced_requests.len()
    }

    /// Returns the number of rejected or failed requests that are kept to recognize requests that clients send again.
    pub fn rejected_request_count(&self) -> usize {
        self.rejected_requests.len()
    }

    fn class(&self, id: TrafficClassId) -> &TrafficClass {
        &self.settings.classes[id.0 as usize]
    }

    fn emit(&mut self, event: SchedulerEvent) {
        self.decisions.push_back(Decision::Event(event));
    }
}
