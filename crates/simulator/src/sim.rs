//! One run in virtual time: a queue of events by time, and the hosts, links, nodes, endpoint list and clients that they act
//! on. `state` has the records, `events` dispatches, and each other module handles the events of one part.

mod account;
mod arrivals;
mod clients;
mod events;
mod faults;
mod figures;
mod hosts;
mod links;
mod mutant;
mod nodes;
mod orders;
mod settings;
mod setup;
mod state;

pub use figures::{Class, Run};
pub use mutant::Mutant;
pub use settings::{blocks, settings};

use crate::clients::{data, Call, Client};
use crate::reference_model::{HostLogic, ReferenceHost, ReferenceModel};
use crate::scenario_script::ScriptRequest;
use crate::world::{FaultKind, World};
use bytes::Bytes;
use setup::host_logic;
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
use tackmast_overrides::{Kind as OrderKind, Override, OverrideId, OverrideRequest, Overrides, Target};
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
/// Mixed into the seed for the clocks of hosts.
const CLOCK_SEED: u128 = 0x0063_6c6f_636b;
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
    seen_keys: BTreeMap<(u32, u128), Us>,
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

/// Plays a world to its end, with the host core or with a reference model in its place.
pub fn run(world: &World, mutant: Option<Mutant>, reference_model: Option<ReferenceModel>) -> Run {
    let mut sim = Sim::new(world, mutant, reference_model);
    sim.play();
    sim.run.trace.sort_by_key(|line| line.t);
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
        let start = self.now;
        self.start_all();
        // The faults of a script count from when its traffic begins.
        let start = if self.world.scenario.is_some() { start + TRAFFIC_START_DELAY } else { start };
        for (index, fault) in self.world.faults.iter().enumerate() {
            self.push(start + fault.at_us, Event::FaultChange(index, true));
            self.push(start + fault.at_us + fault.for_us, Event::FaultChange(index, false));
        }
        let deadlines = self.settings[0].traffic_classes.iter().map(|class| class.deadline.secs());
        let after = SETTLE_TIME.max((deadlines.fold(0.0, f64::max) * 1e6) as Us + 1_300_000);
        let end = start + (self.world.seconds * 1e6) as Us + after;
        while let Some(Reverse((due, _, event))) = self.queue.pop() {
            if due > end {
                break;
            }
            self.now = due;
            self.run.events += 1;
            self.handle_event(event, end - after);
        }
        self.now = end;
        self.finish();
    }

    /// Starts nodes, hosts, clients and traffic.
    fn start_all(&mut self) {
        let facts = self.facts();
        self.record(tackmast_trace::Event::Facts(facts));
        for node in 0..self.nodes.len() {
            let is_warming_up = self.nodes[node].started > 0;
            let initial_capacity = self.nodes[node].model.behavior().initial_capacity;
            self.note_node_up(node, if is_warming_up { initial_capacity } else { 1.0 });
        }
        let start = self.now;
        for host_index in 0..self.world.hosts {
            let host = self.new_host(host_index);
            self.hosts.push(host);
            self.record(tackmast_trace::Event::HostUp { host: host_index });
            self.add_clients(host_index);
            self.push(start, Event::HostTime(host_index));
            let first = start + (self.generator.rand_float() * 20_000.0) as Us;
            if self.world.load.is_none() && self.world.scenario.is_none() {
                self.push(first, Event::Arrive(host_index));
            }
        }
        // Hosts have the endpoint list by the time the traffic of a workload or script begins.
        if let Some(arrival) = self.arrivals.front() {
            self.push(start + TRAFFIC_START_DELAY + arrival.at_us, Event::Loaded);
        }
        if let Some(request) = self.asks.front() {
            self.push(start + TRAFFIC_START_DELAY + request.at_us, Event::Asked);
        }
    }

    /// Counts what is left open at the end.
    fn finish(&mut self) {
        self.record_plan_convergence();
        self.record(tackmast_trace::Event::Fault { what: "end".into(), on: false });
        for host in self.hosts.iter().filter(|host| host.up) {
            let OpenCounts { commands, requests, attempts } = host.core.open_counts();
            self.run.stuck += commands + requests + attempts + host.core.key_queue_count();
        }
        self.run.stuck += self.clients.iter().map(|client| client.core.open_calls()).sum::<usize>();
        self.run.fallen = self.nodes.iter().filter(|node| node.model.has_collapsed()).count();
    }
}
