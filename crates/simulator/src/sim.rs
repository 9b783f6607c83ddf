//! The run: one queue of events by time, hosts, links, nodes, list and clients.

mod account;
mod arrivals;
mod clients;
mod events;
mod hosts;
mod links;
mod nodes;
mod orders;
mod settings;

pub use settings::{blocks, settings};

use crate::clients::{data, Call, Client};
use crate::day::Ask as DayAsk;
use crate::draw::{Kind, World};
use crate::plain::{Heart, Plain, PlainHost};
use bytes::Bytes;
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
use tackmast_trace::*;
use tackmast_wire::node::{self, Answer, Frame, NodeOutcome, Origin};
use tackmast_wire::reader::Frames;

type Us = u64;

/// A link on which nothing passes for so long is given up by its host.
const SILENCE: Us = 600_000;
const DRAIN_GRACE: Us = 250_000;
/// For how long nodes know a mark.
const MARKS: Us = 2_000_000;
/// After the last arrival, until all that was due is past its time.
const AFTER: Us = 2_500_000;
const FALL_S: f64 = 1.0;
/// Virtual time begins late enough that what is long past has a place before it.
const START: Us = 100_000_000;
/// The session of commands that come without a protocol; those of clients have numbers above.
const BESIDE: u32 = 1;
/// A client's call; clients wait as long as their sessions allow.
const CALL: Us = 900_000;
/// From the start until a load from a file begins.
const LOAD_AFTER: Us = 500_000;
/// From a change of plans until all hosts go by it.
const PLANS_SETTLE_S: f64 = 1.5;
const ORDERS: tackmast_overrides::Settings =
    tackmast_overrides::Settings { max_overrides: 1000, max_zone_fraction: 0.7 };

/// Deliberate faults, for the hunt to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Drains and ends told by the list never reach the core.
    GraceIgnored,
    /// Every hundredth attempt leaves twice.
    HedgeTooEarly,
    /// Every fiftieth answer is lost, or given again.
    AnswerLost,
    AnswerTwice,
    /// Answers leave half a second late.
    AnswerLate,
    /// What is failed is called rejected.
    FalseRejection,
    /// Starts of nodes never reach the core, and cold nodes have no guard. The caps alone keep cold nodes up in the
    /// worlds drawn here, so no seed finds this one.
    ColdIgnored,
    /// Each host takes all of a limit for itself, at every start anew.
    LimitAlone,
    OrderIgnored,
    BudgetIgnored,
    /// A change of the limit is acknowledged and goes by under its number, but the limit stays.
    PlanIgnored,
}

/// Answers of one plan and traffic class.
#[derive(Clone, Debug)]
pub struct Class {
    pub asked: u64,
    pub done: u64,
    pub in_time: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Microseconds until done.
    pub times: hdrhistogram::Histogram<u64>,
}

impl Default for Class {
    fn default() -> Self {
        let times = hdrhistogram::Histogram::new_with_bounds(1, 60_000_000, 2);
        Class {
            asked: 0,
            done: 0,
            in_time: 0,
            rejected: 0,
            failed: 0,
            times: times.expect("the library takes these constants"),
        }
    }
}

pub struct Run {
    /// By plan and traffic class.
    pub classes: BTreeMap<String, Class>,
    /// The same for first tries of a script's traffic, with what later tries made of them.
    pub firsts: BTreeMap<String, Class>,
    /// Nodes that fell over while cold.
    pub fallen: usize,
    /// Units of all attempts that left, and of those whose request was not done by them in time for its client.
    pub sent_units: f64,
    pub wasted_units: f64,
    /// Units a second of the limited volume over its limit.
    pub limit_used: f64,
    pub trace: Vec<Line>,
    pub asked: u64,
    pub done: u64,
    pub in_time: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Commands, attempts or calls left in the tables of hosts and clients after all is over.
    pub stuck: usize,
    /// Calls of clients that speak a protocol, those done, and those answered after their deadline.
    pub calls: u64,
    pub calls_done: u64,
    pub calls_late: u64,
    /// Overrides that hosts took, and refused.
    pub orders: (u64, u64),
    /// Changes of plans that were acknowledged, and how many of them all hosts went by within the settings' time.
    pub plans: (u64, u64),
    pub events: u64,
    /// The most commands, requests and attempts that one host had open.
    pub max_open: (usize, usize, usize),
}

impl Run {
    /// Of the whole trace, to compare runs by.
    pub fn digest(&self) -> u32 {
        let mut sum = 0;
        for line in &self.trace {
            let text = serde_json::to_vec(line).unwrap_or_default();
            sum = crc32c::crc32c_append(sum, &text);
        }
        sum
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Trouble(usize, bool),
    Arrive(u32),
    /// The next arrival of the file's load, or of the script's traffic.
    Loaded,
    Asked,
    /// A client's next try, by its number.
    Again(u64),
    /// Bytes for a node, or for a host, of a link's generation.
    ToNode(u32, u32, u64, Vec<u8>),
    ToHost(u32, u32, u64, Vec<u8>),
    /// The host learns of a refused connection.
    Refused(u32, u64, u64),
    LinkDown(u32, u32, u64),
    NodeTime(u32),
    HostTime(u32),
    /// A list as it was, told to a host's generation.
    List(u32, u64, u64, Vec<(String, u8, u32, u64)>),
    ListFailed(u32, u64),
    NodeUp(u32),
    HostUp(u32),
    Leave(u32, u64, u32),
    Answer(u32, u64, CommandOrd, AnswerKindOrd, u64),
    /// A client's connection is made, ends, or brings bytes to the host or the client; of a slot's generation.
    Connected(u32, usize, u64),
    Closed(u32, usize, u64),
    ToServer(u32, usize, u64, Vec<u8>),
    ToClient(u32, usize, u64, Vec<u8>),
    ClientTime(u32),
    /// A node may be used again by its host: an override has ended.
    OrderOver(u32, String),
    /// The node's hello has come over a new link: how long it has been up.
    Hello(u32, u64, u32, Us),
    /// A datagram from one host to another.
    Datagram(u32, u32, Vec<u8>),
    /// A host that leaves ends now.
    Gone(u32, u64),
}

/// The answer's kind and a command with an order, as events have one.
type AnswerKindOrd = u8;
type CommandOrd = (u32, u32);

struct Link {
    generation: u64,
    to_node: Frames,
    to_host: Frames,
    /// When the last bytes of each direction arrive: they keep their order.
    last: [Us; 2],
    /// The least difference the node has seen between its clock and the host's, in microseconds.
    offset: i64,
    /// Attempts that wait for the node's hello; none once it has come.
    waiting: Option<Vec<SendAttempt>>,
    attempts: BTreeMap<u64, AttemptName>,
}

/// How a host's clocks go wrong: its steady one starts elsewhere and drifts, its wall clock is off.
#[derive(Clone, Copy, Default)]
struct Clock {
    offset_us: i64,
    drift: f64,
    wall_off_us: i64,
}

/// What a host keeps over its generations.
#[derive(Default)]
struct Kept {
    /// The mark of a leave.
    left: bool,
    overrides: BTreeMap<OverrideId, Override>,
    next: u64,
    /// Changes of plans, by number.
    changes: BTreeMap<u64, Vec<u8>>,
    members: Vec<tackmast_host_core::KnownPeer>,
}

struct Host {
    core: Heart,
    generation: u64,
    up: bool,
    wake: Us,
    /// Until then it stands still, and what happens meanwhile waits.
    stands: Us,
    links: BTreeMap<u32, Link>,
    following: bool,
    next: u32,
    submitted: BTreeMap<(u32, u32), (Us, Us)>, // session and command: when, latency objective
    asked: BTreeMap<(u32, u32), u64>,          // the same, of a script's traffic: its number
    sessions: BTreeMap<u32, (u32, usize, u64)>, // client, slot, its generation
    numbers: u16,
}

struct Held {
    host: u32,
    generation: u64,
    link: u64,
    attempt: u64,
    name: AttemptName,
    volume: u32,
    units: f64,
    read: u32,
    mark: u128,
}

struct SimNode {
    model: NodeModel,
    zone: u32,
    shard: u32,
    /// What it last told of the requests that wait there, and when; told anew after so long.
    told: (Us, u32),
    report_us: Us,
    address: String,
    up: bool,
    silent: bool,
    started: Us,
    next: u64,
    held: BTreeMap<u64, Held>,
    served: BTreeMap<(u32, u32), (f64, f64)>, // volume, host: own units, told of others
    total: BTreeMap<u32, f64>,
    wake: Us,
    listed: NodeState,
    listed_start: Us,
    address_generation: u32,
}

/// What a script's traffic asked, and is asked again until it is done or its client has tried enough.
struct Try {
    ask: DayAsk,
    first: Us,
    tries: u32,
}

struct Sim<'a> {
    w: &'a World,
    mutant: Option<Mutant>,
    plain: Option<Plain>,
    clocks: Vec<Clock>,
    kept: Vec<Kept>,
    clients: Vec<Client>,
    clients_of: Vec<Vec<u32>>,
    arrivals: std::collections::VecDeque<tackmast_workload::Arrival>,
    asks: std::collections::VecDeque<DayAsk>,
    tries: BTreeMap<u64, Try>,
    window_us: Us,
    offer: std::sync::Arc<target::Offer>,
    units: std::sync::Arc<Vec<tackmast_wire::scsi::Unit>>,
    settings: Vec<HostSettings>,
    now: Us,
    queue: BinaryHeap<Reverse<(Us, u64, Event)>>,
    number: u64,
    chance: oorandom::Rand64,
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
    went: BTreeMap<u64, BTreeMap<u32, Us>>,
    /// By the same, where the trace tells of it.
    acknowledged: BTreeMap<u64, usize>,
    run: Run,
}

/// Where a host's peers reach it.
pub fn peer_address(h: u32) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([10, 9, (h / 250) as u8, (h % 250) as u8], 7000))
}

/// What hosts that know of each other are told of that.
static MEMBERS: std::sync::LazyLock<tackmast_config::MembershipBlock> =
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

fn us(t: Instant) -> Us {
    (t.secs() * 1e6).round().max(0.0) as Us
}

fn heart(now: Instant, s: &HostSettings, seed: u64, generation: u64, plain: Option<Plain>) -> Heart {
    match plain {
        Some(how) => Heart::Plain(Box::new(PlainHost::new(how, s))),
        None => Heart::Core(Box::new(Core::new(now, s, seed, generation))),
    }
}

/// Plays a world to its end, with the host core or with a plain host in its place.
pub fn run(w: &World, mutant: Option<Mutant>, plain: Option<Plain>) -> Run {
    let like = |n: u32| match w.day.as_ref().and_then(|d| d.node(n)) {
        Some((block, shard)) => (
            block.node_behavior(),
            block.zone,
            shard,
            block.has_just_started,
            block.report_interval_ms * 1000,
        ),
        None => {
            let nature = NodeBehavior {
                cores: w.cores,
                unit_s: w.unit_s,
                queue: 400,
                initial_capacity: w.cold_from,
                warm_up_s: w.warm_s,
                overload_multiple: w.fall_multiple,
                overload_window_s: FALL_S,
                cache_savings: w.saved,
                cached_keys: w.remembers,
                write_back_fraction: w.put_off,
                flush_interval_s: w.flush_s,
                ..NodeBehavior::default()
            };
            (nature, n % 3, n, false, 0)
        }
    };
    let node = |n: u32| {
        let (nature, zone, shard, cold, report_us) = like(n);
        let started = if cold { START } else { 0 };
        SimNode {
            model: NodeModel::new(started, nature, w.seed * 1000 + u64::from(n), cold),
            zone,
            shard,
            told: (0, 0),
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
    let all: Vec<HostSettings> = (0..w.hosts).map(|h| settings(w, h, mutant)).collect();
    let first = heart(at(START), &all[0], 0, 0, plain);
    let units = target::units(&all[0], |v| first.layout().max_blocks(v));
    let mut odd = oorandom::Rand64::new(u128::from(w.seed) ^ 0x0063_6c6f_636b);
    let mut clock = || {
        let mut x = || 2.0 * odd.rand_float() - 1.0;
        let (drift, wall_off_us) = (w.drift * x(), (w.wall_off_s * x() * 1e6) as i64);
        Clock { offset_us: if w.drift > 0.0 { (40e6 * x()) as i64 } else { 0 }, drift, wall_off_us }
    };
    let mut sim = Sim {
        w,
        mutant,
        plain,
        clocks: (0..w.hosts).map(|_| clock()).collect(),
        kept: (0..w.hosts).map(|_| Kept::default()).collect(),
        went: BTreeMap::new(),
        acknowledged: BTreeMap::new(),
        clients: Vec::new(),
        clients_of: vec![Vec::new(); w.hosts as usize],
        arrivals: w.load.iter().flat_map(|l| l.arrivals(w.hosts)).collect(),
        asks: w.day.iter().flat_map(|d| d.asks(w.seed)).collect(),
        tries: BTreeMap::new(),
        window_us: MARKS,
        offer: std::sync::Arc::new(target::Offer::of(&all[0])),
        units: std::sync::Arc::new(units),
        settings: all,
        now: START,
        queue: BinaryHeap::new(),
        number: 0,
        chance: oorandom::Rand64::new(u128::from(w.seed)),
        hosts: Vec::new(),
        nodes: (0..w.nodes).map(node).collect(),
        partitions: BTreeMap::new(),
        marks: BTreeMap::new(),
        list_version: 1,
        list_late: w.list_late_us,
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
    sim.window_us = windows.max().unwrap_or(MARKS);
    sim.play();
    sim.run.trace.sort_by_key(|l| l.t);
    sim.account();
    sim.run
}

impl Sim<'_> {
    /// What a host's steady clock shows.
    fn time(&self, h: u32) -> Instant {
        self.time_at(h, self.now)
    }

    fn time_at(&self, h: u32, t: Us) -> Instant {
        let c = self.clocks[h as usize];
        let passed = t as i64 - START as i64;
        at((t as i64 + c.offset_us + (passed as f64 * c.drift) as i64).max(0) as Us)
    }

    /// When a host's steady clock will show that.
    fn when(&self, h: u32, t: Instant) -> Us {
        let c = self.clocks[h as usize];
        let shown = us(t) as i64 - c.offset_us - START as i64;
        (START as i64 + (shown as f64 / (1.0 + c.drift)).ceil() as i64).max(0) as Us
    }

    fn wall(&self, h: u32) -> Us {
        (self.now as i64 + self.clocks[h as usize].wall_off_us).max(0) as Us
    }

    fn note(&mut self, event: tackmast_trace::Event) {
        self.run.trace.push(Line { t: self.now, event });
    }

    fn push(&mut self, t: Us, e: Event) {
        self.number += 1;
        self.queue.push(Reverse((t.max(self.now), self.number, e)));
    }

    fn play(&mut self) {
        use tackmast_trace::Event as Seen;
        let facts = self.facts();
        self.note(Seen::Facts(facts));
        for n in 0..self.nodes.len() {
            let cold = self.nodes[n].started > 0;
            self.note_node_up(n, if cold { self.nodes[n].model.behavior().initial_capacity } else { 1.0 });
        }
        let start = self.now;
        for h in 0..self.w.hosts {
            let host = self.new_host(h);
            self.hosts.push(host);
            self.note(Seen::HostUp { host: h });
            self.add_clients(h);
            self.push(start, Event::HostTime(h));
            let first = start + (self.chance.rand_float() * 20_000.0) as Us;
            if self.w.load.is_none() && self.w.day.is_none() {
                self.push(first, Event::Arrive(h));
            }
        }
        // Hosts have the list by the time a load from a file begins.
        if let Some(a) = self.arrivals.front() {
            self.push(start + LOAD_AFTER + a.at_us, Event::Loaded);
        }
        if let Some(a) = self.asks.front() {
            self.push(start + LOAD_AFTER + a.at_us, Event::Asked);
        }
        // A script's troubles count from when its traffic begins.
        let start = if self.w.day.is_some() { start + LOAD_AFTER } else { start };
        for (i, t) in self.w.troubles.iter().enumerate() {
            self.push(start + t.at_us, Event::Trouble(i, true));
            self.push(start + t.at_us + t.for_us, Event::Trouble(i, false));
        }
        let longest = self.settings[0].traffic_classes.iter().map(|s| s.deadline.secs()).fold(0.0, f64::max);
        let after = AFTER.max((longest * 1e6) as Us + 1_300_000);
        let end = start + (self.w.seconds * 1e6) as Us + after;
        while let Some(Reverse((t, _, e))) = self.queue.pop() {
            if t > end {
                break;
            }
            self.now = t;
            self.run.events += 1;
            self.event(e, end - after);
        }
        self.now = end;
        self.in_force();
        self.note(Seen::Fault { what: "end".into(), on: false });
        for h in self.hosts.iter().filter(|h| h.up) {
            let OpenCounts { commands, requests, attempts } = h.core.open_counts();
            self.run.stuck += commands + requests + attempts + h.core.key_queue_count();
        }
        self.run.stuck += self.clients.iter().map(|c| c.core.open_calls()).sum::<usize>();
        self.run.fallen = self.nodes.iter().filter(|n| n.model.has_collapsed()).count();
    }
}
