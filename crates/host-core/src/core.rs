//! The state machine. Its inputs are in the submodules, by topic.

mod admin;
mod attempts;
mod commands;
mod consensus;
mod endpoint_list;
mod peers;
mod removed_nodes;
mod replicated_plans;
mod slow_start;
mod tables;
mod timeouts;

use self::slow_start::slow_start_figures;
use self::tables::*;
use crate::admission::{Admission, Usage};
use crate::attempt::{AttemptId, AttemptResult, AttemptWork, SendAttempt};
use crate::combine::{combine, Combined, KeySource, PartState};
use crate::command::{ClientCommand, CommandRef, Verdict, Work};
use crate::consensus::ConsensusDriver;
use crate::error::{PersistError, PlanError};
use crate::event::log::log_final_answer;
use crate::event::{EndpointListEvent, HostEvent, OverrideEvent, PlanEvent};
use crate::fair_queueing::{FairQueueCounts, FairQueueing, QueueKey, QueueTicket};
use crate::layout::{key_id, Access, Layout};
use crate::nodes::{ListEntry, Nodes};
use crate::output::{Counters, OpenCounts, Output};
use crate::override_requests::{
    AdminRequest, AdminResponse, HostStatus, OverrideOutcome, OverrideRequests, PersistBatch,
    PersistedOverride,
};
use crate::peers::{PeerEvent, Peers};
use crate::placed::{PlacedRequest, PlacedSettings, VolumeNames};
use crate::plans::{
    AppliedChange, PersistedChange, PlanOutcome, PlanRequest, PlanResponse, PlanUpdate, Plans, StoredPlans,
};
use crate::ticket::Ticket;
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use tackmast::interface::*;
use tackmast::scheduler::Scheduler;
use tackmast_config::{HostSettings, TrafficClass};
use tackmast_overrides::{ClockStep, Effective, Ended, NodeFacts, Override, Overrides};

/// Part of the grace of a drain after which links that still write to the node are cut.
const GRACE_SHARE: f64 = 0.5;

/// One host without sockets, threads or clocks: inputs are `handle_...`, outputs are taken by `poll_output`.
pub struct Core {
    scheduler: Scheduler,
    layout: Layout,
    volume_names: VolumeNames,
    traffic_classes: Vec<TrafficClass>,
    reports_service: bool,
    lead: TimeDelta,
    longest_wait: TimeDelta,
    generation: u64,
    nodes: Nodes,
    admission: Admission,
    fair_queueing: FairQueueing,
    commands: HashMap<CommandRef, OpenCommand>,
    sessions: HashMap<u32, BTreeSet<u32>>, // open commands
    requests: HashMap<RequestId, PendingRequest>,
    serial: u64,
    at_node: BTreeMap<NodeId, BTreeSet<(RequestId, u32)>>, // attempts out
    until: BTreeSet<(Instant, RequestId, u32)>,            // the same, by the end of their time
    grace: TimeDelta,
    cut_deadlines: BTreeSet<(Instant, NodeId)>, // when what is still being written to a node that drains is cut off
    list_version: u64,
    removed_nodes: removed_nodes::RemovedNodes,
    override_requests: Option<OverrideRequests>,
    peers: Option<Peers>,
    plans: Option<Plans>,
    consensus: Option<ConsensusDriver>,
    /// The host is ending: since when, and nothing new is taken.
    draining: bool,
    number: u32,
    wall_offset_us: i64,
    outputs: VecDeque<Output>,
    /// What happened since the start.
    pub counters: Counters,
}

impl Core {
    /// `generation` differs between all generations of all hosts; `seed` is for chance in decisions.
    pub fn new(now: Instant, s: &HostSettings, seed: u64, generation: u64) -> Self {
        let clock_resolution = TimeDelta::from_secs(s.host.clock_resolution_ms / 1e3);
        let longest = TimeDelta::from_secs(s.load.longest_wait_s);
        let mut scheduler =
            Scheduler::new(now, seed, s.host.hosts, clock_resolution, s.units.mean_per_request);
        for st in &s.traffic_classes {
            scheduler.add_traffic_class(st.latency_objective, st.effect, st.in_order);
        }
        for p in &s.plans {
            scheduler.add_plan(Plan {
                limit: p.limit,
                burst: p.burst,
                slack: p.slack,
                reserve: p.reserve,
                weight: p.weight,
            });
        }
        scheduler.set_attempt_limits(s.load.max_attempts, longest, TimeDelta::from_secs(s.load.settle_s));
        if let Some(budget) = &s.retry_budget {
            scheduler.set_retry_budget(budget.free, budget.share, TimeDelta::from_secs(budget.window_s));
        }
        if let Some(c) = &s.slow_start {
            let (warm, window) = (TimeDelta::from_secs(c.ramp_s), TimeDelta::from_secs(c.window_s));
            let (safe_units, overload_multiple) = slow_start_figures(c);
            scheduler.set_slow_start(SlowStartSettings {
                safe_units,
                initial_capacity: c.from,
                duration: warm,
                window,
                overload_multiple,
            });
            scheduler.set_cache_savings(c.saved);
        }
        scheduler.subscribe_to_node_list();
        let placed = PlacedSettings {
            traffic_classes: s.traffic_classes.clone(),
            reports_service: s.load.reports_peer_service,
            longest_wait: longest,
            grace: TimeDelta::from_secs(s.load.drain_grace_ms / 1e3),
            requests: s.bounds.requests,
            bytes: s.bounds.bytes,
            nodes: s.bounds.nodes,
            volumes: 0,
        };
        Core {
            layout: Layout::new(s),
            lead: TimeDelta::from_secs(s.host.answer_lead_ms / 1e3),
            number: s.host.number,
            ..Core::placed(now, scheduler, placed, generation)
        }
    }

    /// A host whose requests arrive already placed, around a scheduler that has its settings.
    pub fn placed(now: Instant, scheduler: Scheduler, s: PlacedSettings, generation: u64) -> Self {
        Core {
            scheduler,
            layout: Layout::default(),
            volume_names: VolumeNames::new(s.volumes),
            traffic_classes: s.traffic_classes,
            reports_service: s.reports_service,
            lead: TimeDelta::ZERO,
            longest_wait: s.longest_wait,
            generation,
            nodes: Nodes::new(s.nodes),
            admission: Admission::new(now, s.requests, s.bytes, s.longest_wait),
            fair_queueing: FairQueueing::default(),
            commands: HashMap::new(),
            sessions: HashMap::new(),
            requests: HashMap::new(),
            serial: 0,
            at_node: BTreeMap::new(),
            until: BTreeSet::new(),
            grace: TimeDelta::from_secs(s.grace.secs() * GRACE_SHARE),
            cut_deadlines: BTreeSet::new(),
            list_version: 0,
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

    /// Of the node list, as far as it is known.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Whether this host has an attempt out at the node.
    pub fn has_attempts_at(&self, node: NodeId) -> bool {
        self.at_node.contains_key(&node)
    }

    /// Queues that are not empty, and sessions remembered in them.
    pub fn fair_queue_counts(&self) -> FairQueueCounts {
        self.fair_queueing.counts()
    }

    /// Order keys that the scheduler remembers.
    pub fn key_queue_count(&self) -> usize {
        self.scheduler.key_queue_count()
    }

    /// What is open.
    pub fn open_counts(&self) -> OpenCounts {
        OpenCounts {
            commands: self.commands.len(),
            requests: self.requests.len(),
            attempts: self.until.len(),
        }
    }
}

/// Inputs.
impl Core {
    /// What each shard did for this host, units a second; and what an earlier generation of it saw.
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
    /// What is to be done next; none: nothing more at this moment.
    pub fn poll_output(&mut self, now: Instant) -> Option<Output> {
        loop {
            if let Some(o) = self.outputs.pop_front() {
                return Some(o);
            }
            // However long this host stood still: nothing is sent by a lease that has expired.
            self.update_degraded_mode(now);
            let decision = self.scheduler.poll_decision(now)?;
            self.execute(now, decision);
        }
    }

    /// When to come back if nothing else happens before.
    pub fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        let attempt = self.until.first().map(|(t, _, _)| *t);
        let cut = self.cut_deadlines.first().map(|(t, _)| *t);
        let ends = self.override_requests.as_ref().and_then(|o| o.next(now));
        let peers = self.peers.as_ref().map(|peers| peers.member.poll_timeout());
        let consensus = self.consensus.as_ref().map(|a| a.poll_timeout(now));
        [attempt, cut, ends, peers, consensus, self.scheduler.poll_timeout()].into_iter().flatten().min()
    }
}

fn node_facts((address, e): (&str, &NodeEntry)) -> Option<NodeFacts> {
    Some(NodeFacts { address: address.parse().ok()?, zone: e.zone.0, shard: e.shard.0, listed: e.state })
}
