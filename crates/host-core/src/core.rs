//! The state machine of a host: its tables, its settings and its outputs. The inputs are in the submodules, by topic.

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

/// The number of a write of which the store is to make no report.
const UNREPORTED: u64 = 0;
/// The fraction of the grace of a drain after which connections that still write to the node are cut.
const CUT_FRACTION: f64 = 0.5;

/// One host without sockets, threads or clocks: inputs are `handle_...`, outputs are taken by `poll_output`.
pub struct Core {
    scheduler: Scheduler,
    layout: Layout,
    volume_names: VolumeNames,
    traffic_classes: Vec<TrafficClass>,
    /// Whether nodes report what they served through other hosts.
    reports_peer_service: bool,
    /// How long before a command's deadline its answer must be ready, to reach the client in time.
    answer_lead: TimeDelta,
    /// The longest wait that a rejected client is advised.
    max_retry_after: TimeDelta,
    generation: u64,
    nodes: Nodes,
    admission: Admission,
    fair_queueing: FairQueueing,
    /// Commands that have no answer yet.
    commands: HashMap<CommandId, OpenCommand>,
    /// The numbers of these commands, by session.
    sessions: HashMap<u32, BTreeSet<u32>>,
    requests: HashMap<RequestId, PendingRequest>,
    /// Requests so far.
    serial: u64,
    /// Attempts in flight, by node.
    attempts_at_node: BTreeMap<NodeId, BTreeSet<AttemptKey>>,
    /// Attempts in flight, by when they time out.
    attempt_deadlines: BTreeSet<(Instant, AttemptKey)>,
    /// How long after a node begins to drain the connections that still write to it are cut.
    cut_delay: TimeDelta,
    /// When the connections that still write to a node are cut.
    cut_deadlines: BTreeSet<(Instant, NodeId)>,
    list_version: u64,
    /// Changes of the endpoint list are missing since the last complete one.
    is_list_incomplete: bool,
    removed_nodes: removed_nodes::RemovedNodes,
    override_requests: Option<OverrideRequests>,
    peers: Option<Peers>,
    plans: Option<Plans>,
    consensus: Option<ConsensusDriver>,
    /// The host shuts down: nothing new is admitted.
    draining: bool,
    /// This host's number.
    number: u32,
    /// Wall time less steady time, in microseconds.
    wall_offset_us: i64,
    outputs: VecDeque<Output>,
    /// What happened since the start.
    pub counters: Counters,
}

/// The scheduler with the settings of a host.
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
    let longest_wait = TimeDelta::from_secs(load.longest_wait_s);
    scheduler.set_attempt_limits(load.max_attempts, longest_wait, TimeDelta::from_secs(load.settle_s));
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
    /// `generation` differs between all generations of all hosts; `seed` is for chance in decisions.
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

    /// A host without volumes of its own, around a scheduler that has its settings: its work arrives as requests for objects.
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

    /// Where the blocks of volumes lie.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// The nodes that are known.
    pub fn nodes(&self) -> &Nodes {
        &self.nodes
    }

    /// The version of the endpoint list that is known.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Whether this host has an attempt in flight at the node.
    pub fn has_attempts_at(&self, node: NodeId) -> bool {
        self.attempts_at_node.contains_key(&node)
    }

    /// Queues that are not empty, and sessions remembered in them.
    pub fn fair_queue_counts(&self) -> FairQueueCounts {
        self.fair_queueing.counts()
    }

    /// Order keys that the scheduler remembers.
    pub fn key_queue_count(&self) -> usize {
        self.scheduler.key_queue_count()
    }

    /// How much work is in flight.
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
    /// The rate at which each shard serves this host, in units a second, as this or an earlier generation of it measured.
    pub fn service_rates(&self, now: Instant) -> Vec<(ShardId, f64)> {
        self.scheduler.service_rates(now)
    }

    /// Tells the scheduler at which rate a shard served an earlier generation of this host.
    pub fn restore_service_rate(&mut self, now: Instant, shard: ShardId, rate: f64) {
        self.scheduler.service_rate_restored(now, shard, rate);
    }
}

/// Outputs.
impl Core {
    /// Something for the log.
    fn emit(&mut self, event: impl Into<HostEvent>) {
        self.outputs.push_back(Output::Event(event.into()));
    }

    /// Answers a request of an operator.
    fn respond(&mut self, request: u64, response: AdminResponse) {
        self.outputs.push_back(Output::AdminResponse { request, response });
    }

    /// Has the store write something that nothing waits for.
    fn persist(&mut self, batch: PersistBatch) {
        self.outputs.push_back(Output::Persist { request: UNREPORTED, batch });
    }

    /// What is to be done next; none: nothing more at this moment.
    pub fn poll_output(&mut self, now: Instant) -> Option<Output> {
        loop {
            if let Some(output) = self.outputs.pop_front() {
                return Some(output);
            }
            // The process may have been paused for any time before this call. A lease that expired meanwhile must not be used, so the mode
            // is updated before each decision.
            self.update_degraded_mode(now);
            let decision = self.scheduler.poll_decision(now)?;
            self.execute(now, decision);
        }
    }

    /// When to come back if nothing else happens before.
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
