//! One run in virtual time: a queue of events by time, and the hosts, links, nodes, endpoint list and clients that they act
//! on. `state` has the records, `events` dispatches, and each other module handles the events of one part.

mod account;
mod arrivals;
mod clients;
mod events;
mod figures;
mod hosts;
mod links;
mod mutant;
mod nodes;
mod orders;
mod settings;
mod state;

pub use figures::{Class, Run};
pub use mutant::Mutant;
pub use settings::{blocks, settings};

use crate::clients::{data, Call, Client};
use crate::reference_model::{HostLogic, ReferenceHost, ReferenceModel};
use crate::scenario_script::ScriptRequest;
use crate::world::{FaultKind, World};
use bytes::Bytes;
use state::{Clock, CommandOrd, Event, Host, Link, NodeAttempt, PersistedHost, ScriptAttempt, SimNode};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use tackmast::interface::{Instant, ListKind, NodeState, Outcome, ShardId, TimeDelta, ZoneId};
use tackmast_client_core::{Op, Outcome as CallOutcome, Output as ClientOutput, VolumeAddress};
use tackmast_config::HostSettings;
use tackmast_emulators::model::{EndedJob, Job, JobOutcome, NodeBehavior, NodeFaults, NodeModel};
use tackmast_host_core::{
    member_settings, AdminRequest, AdminResponse, Age, AttemptId, AttemptResult, AttemptWork, Begin,
    CommandRef, Core, ListEntry, NodeStart, OpaqueRequest, OpenCounts, Output, Peers, PersistBatch,
    PlanRequest, PlanResponse, Plans, PreviousExit, SendAttempt, StoredPlans, Verdict, VolumeLimit, Work,
};
use tackmast_overrides::{Kind as OrderKind, Order, Override, OverrideId, Overrides, Target};
use tackmast_target as target;
use tackmast_trace::{AnswerKind, AttemptEndKind, AttemptName, Facts, Line, ListedState};
use tackmast_wire::node::{self, Answer, Frame, NodeOutcome, Origin};
use tackmast_wire::reader::Frames;

type Us = u64;

/// A host closes a link on which nothing has passed for this long, in microseconds.
const LINK_TIMEOUT: Us = 600_000;
/// How long a node that is removed from the list may finish what is in flight, in microseconds.
const DRAIN_GRACE: Us = 250_000;
/// For how long nodes remember an idempotency key, in microseconds.
const IDEMPOTENCY_WINDOW: Us = 2_000_000;
/// From the last arrival until every deadline has passed, in microseconds.
const SETTLE_TIME: Us = 2_500_000;
/// How long a node bears an overload before it collapses, in seconds.
const OVERLOAD_WINDOW_S: f64 = 1.0;
/// Where virtual time begins, in microseconds: late enough that there is a past before it.
const START_TIME: Us = 100_000_000;
/// The session of commands that come without a protocol; sessions of clients have higher numbers.
const DIRECT_SESSION: u32 = 1;
/// Deadline of a client's call, in microseconds.
const CALL_TIMEOUT: Us = 900_000;
/// From the start until the traffic of a workload or scenario begins, in microseconds.
const TRAFFIC_START_DELAY: Us = 500_000;
/// From a change of plans until all hosts must have adopted it, in seconds.
const PLANS_SETTLE_S: f64 = 1.5;
/// Bounds on the overrides of a host.
const OVERRIDE_SETTINGS: tackmast_overrides::Settings =
    tackmast_overrides::Settings { max_overrides: 1000, max_zone_fraction: 0.7 };

struct Sim<'a> {
    world: &'a World,
    mutant: Option<Mutant>,
    reference_model: Option<ReferenceModel>,
    clocks: Vec<Clock>,
    kept: Vec<PersistedHost>,
    clients: Vec<Client>,
    clients_of: Vec<Vec<u32>>,
    arrivals: std::collections::VecDeque<tackmast_workload::Arrival>,
    asks: std::collections::VecDeque<ScriptRequest>,
    tries: BTreeMap<u64, ScriptAttempt>,
    window_us: Us,
    offer: std::sync::Arc<target::Offer>,
    units: std::sync::Arc<Vec<tackmast_wire::scsi::Unit>>,
    settings: Vec<HostSettings>,
    now: Us,
    queue: BinaryHeap<Reverse<(Us, u64, Event)>>,
    number: u64,
    generator: oorandom::Rand64,
    hosts: Vec<Host>,
    nodes: Vec<SimNode>,
    partitions: BTreeMap<(u32, u32), Us>,
    /// IdempotencyKeys that the nodes of a zone know, and when each ran.
    marks: BTreeMap<(u32, u128), Us>,
    list_version: u64,
    list_late: Us,
    list_fails: bool,
    surge: f64,
    leave: f64,
    hot: f64,
    busiest: Option<(f64, u32)>,
    split: Option<f64>,
    generations: u64,
    sends: u64,
    answers: u64,
    /// By change of plans: when each host went by it first.
    plan_adoption: BTreeMap<u64, BTreeMap<u32, Us>>,
    /// By the same, where the trace tells of it.
    acknowledged: BTreeMap<u64, usize>,
    run: Run,
}

/// Where a host's peers reach it.
pub fn peer_address(host_index: u32) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([10, 9, (host_index / 250) as u8, (host_index % 250) as u8], 7000))
}

/// The membership settings of hosts that know of each other.
static MEMBERSHIP: std::sync::LazyLock<tackmast_config::MembershipBlock> =
    std::sync::LazyLock::new(|| tackmast_config::MembershipBlock {
        listen: peer_address(0),
        advertise: None,
        fleet: "lab".into(),
        seeds: (0..3).map(peer_address).collect(),
        admit: Vec::new(),
        period_ms: 500.0,
        term_s: 1.0,
        leave_s: 10.0,
        drift: 0.001,
        left_file: None,
    });

fn at(us: Us) -> Instant {
    Instant::from_secs(us as f64 / 1e6)
}

fn us(time: Instant) -> Us {
    (time.secs() * 1e6).round().max(0.0) as Us
}

fn host_logic(
    now: Instant,
    settings: &HostSettings,
    seed: u64,
    generation: u64,
    reference_model: Option<ReferenceModel>,
) -> HostLogic {
    match reference_model {
        Some(how) => HostLogic::Reference(Box::new(ReferenceHost::new(how, settings))),
        None => HostLogic::Core(Box::new(Core::new(now, settings, seed, generation))),
    }
}

/// Plays a world to its end, with the host core or with a plain host in its place.
pub fn run(world: &World, mutant: Option<Mutant>, reference_model: Option<ReferenceModel>) -> Run {
    let like = |n: u32| match world.scenario.as_ref().and_then(|d| d.node(n)) {
        Some((block, shard)) => (block.nature(), block.zone, shard, block.cold, block.report_ms * 1000),
        None => {
            let nature = NodeBehavior {
                cores: world.cores,
                unit_s: world.unit_s,
                queue: 400,
                initial_capacity: world.initial_capacity,
                warm_up_s: world.warm_up_s,
                overload_multiple: world.overload_multiple,
                overload_window_s: OVERLOAD_WINDOW_S,
                cache_savings: world.cache_savings,
                cached_keys: world.cached_keys,
                write_back_fraction: world.write_back_fraction,
                flush_interval_s: world.flush_interval_s,
                ..NodeBehavior::default()
            };
            (nature, n % 3, n, false, 0)
        }
    };
    let node = |n: u32| {
        let (nature, zone, shard, cold, report_us) = like(n);
        let started = if cold { START_TIME } else { 0 };
        SimNode {
            model: NodeModel::new(started, nature, world.seed * 1000 + u64::from(n), cold),
            zone,
            shard,
            reported_load: (0, 0),
            report_us,
            address: format!("10.0.{}.{}:9000", n / 250, n % 250),
            up: true,
            silent: false,
            started,
            next: 0,
            held: BTreeMap::new(),
            served: BTreeMap::new(),
            total: BTreeMap::new(),
            wake: Us::MAX,
            listed: NodeState::Ready,
            listed_start: started,
            address_generation: 0,
        }
    };
    let all: Vec<HostSettings> = (0..world.hosts).map(|h| settings(world, h, mutant)).collect();
    let first = host_logic(at(START_TIME), &all[0], 0, 0, reference_model);
    let units = target::units(&all[0], |v| first.layout().max_blocks(v));
    let mut odd = oorandom::Rand64::new(u128::from(world.seed) ^ 0x0063_6c6f_636b);
    let mut clock = || {
        let mut signed_unit = || 2.0 * odd.rand_float() - 1.0;
        let (drift, wall_off_us) =
            (world.drift * signed_unit(), (world.wall_off_s * signed_unit() * 1e6) as i64);
        Clock {
            offset_us: if world.drift > 0.0 { (40e6 * signed_unit()) as i64 } else { 0 },
            drift,
            wall_off_us,
        }
    };
    let mut sim = Sim {
        world,
        mutant,
        reference_model,
        clocks: (0..world.hosts).map(|_| clock()).collect(),
        kept: (0..world.hosts).map(|_| PersistedHost::default()).collect(),
        plan_adoption: BTreeMap::new(),
        acknowledged: BTreeMap::new(),
        clients: Vec::new(),
        clients_of: vec![Vec::new(); world.hosts as usize],
        arrivals: world.load.iter().flat_map(|l| l.arrivals(world.hosts)).collect(),
        asks: world.scenario.iter().flat_map(|d| d.asks(world.seed)).collect(),
        tries: BTreeMap::new(),
        window_us: IDEMPOTENCY_WINDOW,
        offer: std::sync::Arc::new(target::Offer::of(&all[0])),
        units: std::sync::Arc::new(units),
        settings: all,
        now: START_TIME,
        queue: BinaryHeap::new(),
        number: 0,
        generator: oorandom::Rand64::new(u128::from(world.seed)),
        hosts: Vec::new(),
        nodes: (0..world.nodes).map(node).collect(),
        partitions: BTreeMap::new(),
        marks: BTreeMap::new(),
        list_version: 1,
        list_late: world.list_late_us,
        list_fails: false,
        surge: 1.0,
        leave: 0.0,
        hot: 0.0,
        busiest: None,
        split: None,
        generations: 0,
        sends: 0,
        answers: 0,
        run: Run {
            classes: BTreeMap::new(),
            firsts: BTreeMap::new(),
            fallen: 0,
            sent_units: 0.0,
            wasted_units: 0.0,
            limit_used: 0.0,
            trace: Vec::new(),
            asked: 0,
            done: 0,
            in_time: 0,
            rejected: 0,
            failed: 0,
            stuck: 0,
            calls: 0,
            calls_done: 0,
            calls_late: 0,
            orders: (0, 0),
            plans: (0, 0),
            events: 0,
            max_open: (0, 0, 0),
        },
    };
    let windows = sim.settings[0].traffic_classes.iter().filter_map(|s| match s.effect {
        tackmast::interface::Effect::IdempotentByKey { window, .. } => Some((window.secs() * 1e6) as Us),
        _ => None,
    });
    sim.window_us = windows.max().unwrap_or(IDEMPOTENCY_WINDOW);
    sim.play();
    sim.run.trace.sort_by_key(|l| l.t);
    sim.sum_up();
    sim.run
}

impl Sim<'_> {
    /// What a host's steady clock shows.
    fn time(&self, host_index: u32) -> Instant {
        self.time_at(host_index, self.now)
    }

    fn time_at(&self, host_index: u32, time: Us) -> Instant {
        let clock = self.clocks[host_index as usize];
        let passed = time as i64 - START_TIME as i64;
        at((time as i64 + clock.offset_us + (passed as f64 * clock.drift) as i64).max(0) as Us)
    }

    /// When a host's steady clock will show that.
    fn when(&self, host_index: u32, time: Instant) -> Us {
        let clock = self.clocks[host_index as usize];
        let shown = us(time) as i64 - clock.offset_us - START_TIME as i64;
        (START_TIME as i64 + (shown as f64 / (1.0 + clock.drift)).ceil() as i64).max(0) as Us
    }

    fn wall(&self, host_index: u32) -> Us {
        (self.now as i64 + self.clocks[host_index as usize].wall_off_us).max(0) as Us
    }

    fn record(&mut self, event: tackmast_trace::Event) {
        self.run.trace.push(Line { t: self.now, event });
    }

    fn push(&mut self, due: Us, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((due.max(self.now), self.number, event)));
    }

    fn play(&mut self) {
        use tackmast_trace::Event as Seen;
        let facts = self.facts();
        self.record(Seen::Facts(facts));
        for n in 0..self.nodes.len() {
            let cold = self.nodes[n].started > 0;
            self.note_node_up(n, if cold { self.nodes[n].model.behavior().initial_capacity } else { 1.0 });
        }
        let start = self.now;
        for h in 0..self.world.hosts {
            let host = self.new_host(h);
            self.hosts.push(host);
            self.record(Seen::HostUp { host: h });
            self.add_clients(h);
            self.push(start, Event::HostTime(h));
            let first = start + (self.generator.rand_float() * 20_000.0) as Us;
            if self.world.load.is_none() && self.world.scenario.is_none() {
                self.push(first, Event::Arrive(h));
            }
        }
        // Hosts have the list by the time a load from a file begins.
        if let Some(a) = self.arrivals.front() {
            self.push(start + TRAFFIC_START_DELAY + a.at_us, Event::Loaded);
        }
        if let Some(a) = self.asks.front() {
            self.push(start + TRAFFIC_START_DELAY + a.at_us, Event::Asked);
        }
        // A script's troubles count from when its traffic begins.
        let start = if self.world.scenario.is_some() { start + TRAFFIC_START_DELAY } else { start };
        for (i, t) in self.world.faults.iter().enumerate() {
            self.push(start + t.at_us, Event::FaultChange(i, true));
            self.push(start + t.at_us + t.for_us, Event::FaultChange(i, false));
        }
        let longest = self.settings[0].traffic_classes.iter().map(|s| s.deadline.secs()).fold(0.0, f64::max);
        let after = SETTLE_TIME.max((longest * 1e6) as Us + 1_300_000);
        let end = start + (self.world.seconds * 1e6) as Us + after;
        while let Some(Reverse((t, _, e))) = self.queue.pop() {
            if t > end {
                break;
            }
            self.now = t;
            self.run.events += 1;
            self.handle_event(e, end - after);
        }
        self.now = end;
        self.record_plan_convergence();
        self.record(Seen::Fault { what: "end".into(), on: false });
        for h in self.hosts.iter().filter(|h| h.up) {
            let OpenCounts { commands, requests, attempts } = h.core.open_counts();
            self.run.stuck += commands + requests + attempts + h.core.key_queue_count();
        }
        self.run.stuck += self.clients.iter().map(|c| c.core.open_calls()).sum::<usize>();
        self.run.fallen = self.nodes.iter().filter(|n| n.model.has_collapsed()).count();
    }
}
