//! The state machine of a host: its tables, settings and outputs. The submodules handle the inputs, one topic each.

mod admin;
mod attempts;
mod commands;
mod consensus;
mod endpoint_list;
mod overrides;
mod peers;
mod persisted;
mod plans;
mod removed_nodes;
mod replicated_plans;
mod settings;
mod slow_start;
mod status;
mod tables;
mod timeouts;

pub use self::settings::CoreSettings;
use self::slow_start::slow_start_settings;
use self::tables::{AttemptKey, OpenCommand, PendingRequest};
use crate::admin_request::AdminResponse;
use crate::admission::Admission;
use crate::attempt::MAX_ATTEMPTS;
use crate::command::CommandId;
use crate::consensus::ConsensusDriver;
use crate::event::HostEvent;
use crate::fair_queueing::{FairQueueCounts, FairQueueing};
use crate::layout::Layout;
use crate::nodes::Nodes;
use crate::output::{Counters, OpenCounts, Output};
use crate::override_requests::OverrideRequests;
use crate::peers::Peers;
use crate::persist_batch::PersistBatch;
use crate::plans::Plans;
use crate::volume_names::VolumeNames;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use tackmast::interface::{Instant, NodeId, RequestId, ShardId, TimeDelta};
use tackmast::scheduler::Scheduler;
use tackmast_config::{HostSettings, TrafficClass};

/// The request number of a write whose completion the store does not report.
const UNREPORTED: u64 = 0;
/// The fraction of the drain grace period after which connections that are still writing to the node are closed.
const CUT_FRACTION: f64 = 0.5;

/// The state machine of one host, without I/O, threads or clocks.
///
/// Inputs arrive through the `handle_...` methods, and `poll_output` returns the outputs.
pub struct Core {
    scheduler: Scheduler,
    layout: Layout,
    volume_names: VolumeNames,
    traffic_classes: Vec<TrafficClass>,
    /// Whether nodes report the units that they served through other hosts.
    reports_peer_service: bool,
    /// How long before a command's deadline its answer must be ready in order to reach the client in time.
    answer_lead: TimeDelta,
    /// The longest retry-after of a rejection.
    max_retry_after: TimeDelta,
    generation: u64,
    nodes: Nodes,
    admission: Admission,
    fair_queueing: FairQueueing,
    /// Commands without a final answer.
    commands: HashMap<CommandId, OpenCommand>,
    /// The numbers of the open commands, by session.
    sessions: HashMap<u32, BTreeSet<u32>>,
    requests: HashMap<RequestId, PendingRequest>,
    /// The number of requests opened since the start.
    serial: u64,
    /// Attempts in flight, by node.
    attempts_at_node: BTreeMap<NodeId, BTreeSet<AttemptKey>>,
    /// Attempts in flight, ordered by when they time out.
    attempt_deadlines: BTreeSet<(Instant, AttemptKey)>,
    /// How long after a node begins to drain the connections that are still writing to it are closed.
    cut_delay: TimeDelta,
    /// When the connections that are still writing to a node are closed.
    cut_deadlines: BTreeSet<(Instant, NodeId)>,
    list_version: u64,
    /// Whether changes of the endpoint list have been missed since the last complete list.
    is_list_incomplete: bool,
    removed_nodes: removed_nodes::RemovedNodes,
    override_requests: Option<OverrideRequests>,
    peers: Option<Peers>,
    plans: Option<Plans>,
    consensus: Option<ConsensusDriver>,
    /// Whether the host is shutting down and rejects new commands.
    draining: bool,
    /// The number of this host.
    number: u32,
    /// The wall-clock time minus the monotonic time, in microseconds.
    wall_offset_us: i64,
    outputs: VecDeque<Output>,
    /// Counts of what has happened since the start.
    pub counters: Counters,
}

/// Creates a scheduler with the settings of a host.
fn configured_scheduler(now: Instant, settings: &HostSettings, seed: u64) -> Scheduler {
    let clock_resolution = TimeDelta::from_secs(settings.host.clock_resolution_ms / 1e3);
    let mean_units = settings.units.mean_per_request;
    let mut scheduler = Scheduler::new(now, seed, settings.host.hosts, clock_resolution, mean_units);
    for class in &settings.traffic_classes {
        scheduler.add_traffic_class(class.latency_objective, class.effect, class.in_order);
    }
    for plan in &settings.plans {
        scheduler.add_plan(plan.into());
    }
    let load = &settings.load;
    let max_retry_after = TimeDelta::from_secs(load.longest_wait_s);
    scheduler.set_attempt_limits(load.max_attempts, max_retry_after, TimeDelta::from_secs(load.settle_s));
    if let Some(budget) = &settings.retry_budget {
        scheduler.set_retry_budget(budget.free, budget.share, TimeDelta::from_secs(budget.window_s));
    }
    if let Some(slow_start) = &settings.slow_start {
        scheduler.set_slow_start(slow_start_settings(slow_start));
        scheduler.set_cache_savings(slow_start.saved);
    }
    scheduler.watch_endpoint_list();
    scheduler
}

impl Core {
    /// Creates a host with the volumes and the scheduler of these settings.
    ///
    /// `seed` seeds the random choices of the scheduler. `generation` must differ between all generations of all hosts.
    pub fn new(now: Instant, settings: &HostSettings, seed: u64, generation: u64) -> Self {
        let core_settings = CoreSettings {
            traffic_classes: settings.traffic_classes.clone(),
            reports_peer_service: settings.load.reports_peer_service,
            max_retry_after: TimeDelta::from_secs(settings.load.longest_wait_s),
            drain_grace: TimeDelta::from_secs(settings.load.drain_grace_ms / 1e3),
            max_requests: settings.bounds.requests,
            max_bytes: settings.bounds.bytes,
            max_nodes: settings.bounds.nodes,
            max_volumes: 0,
        };
        Core {
            layout: Layout::new(settings),
            answer_lead: TimeDelta::from_secs(settings.host.answer_lead_ms / 1e3),
            number: settings.host.number,
            ..Core::with_scheduler(now, configured_scheduler(now, settings, seed), core_settings, generation)
        }
    }

    /// Creates a host without configured volumes around a scheduler that has its settings already.
    ///
    /// Such a host accepts object requests only. `generation` must differ between all generations of all hosts.
    pub fn with_scheduler(
        now: Instant,
        mut scheduler: Scheduler,
        settings: CoreSettings,
        generation: u64,
    ) -> Self {
        scheduler.bound_attempts(MAX_ATTEMPTS);
        let CoreSettings { max_requests, max_bytes, max_retry_after, .. } = settings;
        Core {
            scheduler,
            layout: Layout::default(),
            volume_names: VolumeNames::new(settings.max_volumes),
            traffic_classes: settings.traffic_classes,
            reports_peer_service: settings.reports_peer_service,
            answer_lead: TimeDelta::ZERO,
            max_retry_after,
            generation,
            nodes: Nodes::new(settings.max_nodes),
            admission: Admission::new(now, max_requests, max_bytes, max_retry_after),
            fair_queueing: FairQueueing::default(),
            commands: HashMap::new(),
            sessions: HashMap::new(),
            requests: HashMap::new(),
            serial: 0,
            attempts_at_node: BTreeMap::new(),
            attempt_deadlines: BTreeSet::new(),
            cut_delay: TimeDelta::from_secs(settings.drain_grace.secs() * CUT_FRACTION),
            cut_deadlines: BTreeSet::new(),
            list_version: 0,
            is_list_incomplete: false,
            removed_nodes: removed_nodes::RemovedNodes::default(),
            override_requests: None,
            peers: None,
            plans: None,
            consensus: None,
            draining: false,
            number: 0,
            wall_offset_us: 0,
            outputs: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// Returns the mapping of volumes onto extents and shards.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns the known nodes.
    pub fn nodes(&self) -> &Nodes {
        &self.nodes
    }

    /// Returns the version of the endpoint list that this host knows.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns whether this host has an attempt in flight at the node.
    pub fn has_attempts_at(&self, node: NodeId) -> bool {
        self.attempts_at_node.contains_key(&node)
    }

    /// Returns the number of fair queues that are not empty, and of sessions in them.
    pub fn fair_queue_counts(&self) -> FairQueueCounts {
        self.fair_queueing.counts()
    }

    /// Returns the number of order keys for which the scheduler has state.
    pub fn key_queue_count(&self) -> usize {
        self.scheduler.key_queue_count()
    }

    /// Returns the number of volumes for which the scheduler has state.
    pub fn volume_count(&self) -> usize {
        self.scheduler.volume_count()
    }

    /// Returns the numbers of commands, requests and attempts in flight.
    pub fn open_counts(&self) -> OpenCounts {
        OpenCounts {
            commands: self.commands.len(),
            requests: self.requests.len(),
            attempts: self.attempt_deadlines.len(),
        }
    }
}

/// Inputs.
impl Core {
    /// Returns the rate at which each shard serves this host, in units per second, as measured by this generation of the
    /// host or an earlier one.
    pub fn service_rates(&self, now: Instant) -> Vec<(ShardId, f64)> {
        self.scheduler.service_rates(now)
    }

    /// Passes to the scheduler the rate at which a shard served an earlier generation of this host, in units per second.
    pub fn restore_service_rate(&mut self, now: Instant, shard: ShardId, rate: f64) {
        self.scheduler.service_rate_restored(now, shard, rate);
    }
}

/// Outputs.
impl Core {
    /// Outputs an event.
    fn emit(&mut self, event: impl Into<HostEvent>) {
        self.outputs.push_back(Output::Event(event.into()));
    }

    /// Answers an operator request.
    fn respond(&mut self, request: u64, response: AdminResponse) {
        self.outputs.push_back(Output::AdminResponse { request, response });
    }

    /// Has the store write a batch whose completion nothing waits for.
    fn persist(&mut self, batch: PersistBatch) {
        self.outputs.push_back(Output::Persist { request: UNREPORTED, batch });
    }

    /// Returns the next output, or `None` if there is nothing to do at this time.
    pub fn poll_output(&mut self, now: Instant) -> Option<Output> {
        loop {
            if let Some(output) = self.outputs.pop_front() {
                return Some(output);
            }
            // The process may have been paused before this call, and its lease may have expired meanwhile. The mode is therefore
            // updated before each decision.
            self.update_degraded_mode(now);
            let decision = self.scheduler.poll_decision(now)?;
            self.execute(now, decision);
        }
    }

    /// Returns when to call `handle_timeout` next, or `None` if nothing is due.
    pub fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        let attempt = self.attempt_deadlines.first().map(|(due, _)| *due);
        let cut = self.cut_deadlines.first().map(|(due, _)| *due);
        let overrides = self.override_requests.as_ref().and_then(|requests| requests.poll_timeout(now));
        let peers = self.peers.as_ref().map(|peers| peers.member.poll_timeout());
        let consensus = self.consensus.as_ref().map(|consensus| consensus.poll_timeout(now));
        let removal = self.removed_nodes.poll_timeout();
        let scheduler = self.scheduler.poll_timeout();
        [attempt, cut, overrides, peers, consensus, removal, scheduler].into_iter().flatten().min()
    }
}
