//! The run: one queue of events by time, hosts, links, nodes, list and clients.

use crate::clients::{data, Call, Client};
use crate::day::Ask as DayAsk;
use crate::draw::{Kind, World};
use crate::plain::{Heart, Plain, PlainHost};
use bytes::Bytes;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use tackmast::interface::{Instant, ListKind, NodeState, Outcome, ShardId, Span, ZoneId};
use tackmast_clientcore::{Op, Outcome as CallOutcome, Output as ClientOutput, Place};
use tackmast_config::HostSettings;
use tackmast_hostcore::{
    member_settings, Age, Ask, CommandRef, Core, Fellows, Keep, LegBack, LegId, LegWork, ListEntry, Output,
    PlanAsk, PlanReply, Plans, Reply, Request, SendLeg, Start, Verdict, Work,
};
use tackmast_overrides::{Kind as OrderKind, Order, Override, OverrideId, Overrides, Target};
use tackmast_standins::model::{How, Ills, Job, Model, Nature};
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
const ORDERS: tackmast_overrides::Settings = tackmast_overrides::Settings { most: 1000, zone_part: 0.7 };

/// Deliberate faults, for the hunt to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Drains and ends told by the list never reach the core.
    GraceIgnored,
    /// Every hundredth leg leaves twice.
    SecondLegEarly,
    /// Every fiftieth answer is lost, or given again.
    AnswerLost,
    AnswerTwice,
    /// Answers leave half a second late.
    AnswerLate,
    /// What is abandoned is called deferred.
    DeferredLie,
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

/// Answers of one plan and stream type.
#[derive(Clone, Debug)]
pub struct Class {
    pub asked: u64,
    pub done: u64,
    pub in_time: u64,
    pub deferred: u64,
    pub abandoned: u64,
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
            deferred: 0,
            abandoned: 0,
            times: times.expect("the library takes these constants"),
        }
    }
}

pub struct Run {
    /// By plan and stream type.
    pub classes: BTreeMap<String, Class>,
    /// The same for first tries of a script's traffic, with what later tries made of them.
    pub firsts: BTreeMap<String, Class>,
    /// Nodes that fell over while cold.
    pub fallen: usize,
    /// Units of all legs that left, and of those whose transfer was not done by them in time for its client.
    pub sent_units: f64,
    pub wasted_units: f64,
    /// Units a second of the limited volume over its limit.
    pub limit_used: f64,
    pub trace: Vec<Line>,
    pub asked: u64,
    pub done: u64,
    pub in_time: u64,
    pub deferred: u64,
    pub abandoned: u64,
    /// Commands, legs or calls left in the tables of hosts and clients after all is over.
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
    /// The most commands, transfers and legs that one host had open.
    pub most_open: (usize, usize, usize),
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
    /// Bytes for a node, or for a host, of a link's life.
    ToNode(u32, u32, u64, Vec<u8>),
    ToHost(u32, u32, u64, Vec<u8>),
    /// The host learns of a refused connection.
    Refused(u32, u64, u64),
    LinkDown(u32, u32, u64),
    NodeTime(u32),
    HostTime(u32),
    /// A list as it was, told to a host's life.
    List(u32, u64, u64, Vec<(String, u8, u32, u64)>),
    ListFailed(u32, u64),
    NodeUp(u32),
    HostUp(u32),
    Leave(u32, u64, u32),
    Answer(u32, u64, CommandOrd, AnswerKindOrd, u64),
    /// A client's connection is made, ends, or brings bytes to the host or the client; of a slot's life.
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
    life: u64,
    to_node: Frames,
    to_host: Frames,
    /// When the last bytes of each direction arrive: they keep their order.
    last: [Us; 2],
    /// The least difference the node has seen between its clock and the host's, in microseconds.
    offset: i64,
    /// Legs that wait for the node's hello; none once it has come.
    waiting: Option<Vec<SendLeg>>,
    legs: BTreeMap<u64, LegName>,
}

/// How a host's clocks go wrong: its steady one starts elsewhere and drifts, its wall clock is off.
#[derive(Clone, Copy, Default)]
struct Clock {
    offset_us: i64,
    drift: f64,
    wall_off_us: i64,
}

/// What a host keeps over its lives.
#[derive(Default)]
struct Kept {
    /// The mark of a leave.
    left: bool,
    overrides: BTreeMap<OverrideId, Override>,
    next: u64,
    /// Changes of plans, by number.
    changes: BTreeMap<u64, Vec<u8>>,
}

struct Host {
    core: Heart,
    life: u64,
    up: bool,
    wake: Us,
    /// Until then it stands still, and what happens meanwhile waits.
    stands: Us,
    links: BTreeMap<u32, Link>,
    following: bool,
    next: u32,
    submitted: BTreeMap<(u32, u32), (Us, Us)>, // session and command: when, SLO time
    asked: BTreeMap<(u32, u32), u64>,          // the same, of a script's traffic: its number
    sessions: BTreeMap<u32, (u32, usize, u64)>, // client, slot, its life
    numbers: u16,
}

struct Held {
    host: u32,
    life: u64,
    link: u64,
    leg: u64,
    name: LegName,
    volume: u32,
    units: f64,
    read: u32,
    mark: u128,
}

struct SimNode {
    model: Model,
    zone: u32,
    shard: u32,
    /// What it last told of the transfers that wait there, and when; told anew after so long.
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
    generation: u32,
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
    arrivals: std::collections::VecDeque<tackmast_load::Arrival>,
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
    /// Marks that the nodes of a zone know, and when each ran.
    marks: BTreeMap<(u32, u128), Us>,
    list_version: u64,
    list_late: Us,
    list_fails: bool,
    surge: f64,
    leave: f64,
    hot: f64,
    busiest: Option<(f64, u32)>,
    split: Option<f64>,
    lives: u64,
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

/// What each host of a world is told.
pub fn settings(w: &World, host: u32, mutant: Option<Mutant>) -> HostSettings {
    if let Some(day) = &w.day {
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let text = day.host_file(host, nowhere, nowhere, std::path::Path::new("unused"));
        return HostSettings::parse("day", &text).unwrap_or_else(|e| panic!("settings of a script: {e}"));
    }
    let text = format!(
        "host {{\n  number = {host}\n  hosts = {}\n  listen = \"127.0.0.1:0\"\n  node_list = \"127.0.0.1:1\"\n  seed = 1\n}}\n{}",
        w.hosts,
        blocks(w, mutant)
    );
    HostSettings::parse("lab", &text).unwrap_or_else(|e| panic!("the lab's own settings: {e}"))
}

/// The settings of a drawn world beside each host's own block.
pub fn blocks(w: &World, mutant: Option<Mutant>) -> String {
    let shards: Vec<String> = (0..w.nodes).map(|n| n.to_string()).collect();
    let shards = shards.join(", ");
    let capacity = f64::from(w.cores) / w.unit_s;
    let budget = "further_legs {\n  free = 3\n  share = 0.25\n  window_s = 2\n}\n";
    let (from, multiple, warm) = (w.cold_from, w.fall_multiple, w.warm_s);
    let cold = format!(
        "cold_nodes {{\n  safe_units = {}\n  from = {from}\n  warm_s = {warm}\n  window_s = {FALL_S}\n  multiple = {multiple}\n}}\n",
        capacity * from * multiple * FALL_S
    );
    let volume_hosts = w.limited_hosts.min(w.hosts);
    let told = if mutant == Some(Mutant::LimitAlone) { 1 } else { volume_hosts };
    // A store is named since settings ask for one; the lab keeps what hosts keep itself.
    let live = format!(
        "overrides {{\n  store = \"unused\"\n  admin = \"unused\"\n}}\nplans {{\n  home = 0\n  settle_s = {PLANS_SETTLE_S}\n  node_units = 1e9\n}}\n"
    );
    let live = if w.has_plans() { live.as_str() } else { "" };
    let all: Vec<u32> = (0..w.hosts).collect();
    let museum = if w.has_plans() { format!("  through = {all:?}\n") } else { String::new() };
    let burst = 16.0 * f64::from(volume_hosts) + 20.0;
    let text = format!(
        r#"
load {{
  settle_s = 0.3
  longest_wait_s = 1
}}
units {{
  bytes = 4096
  most = 8
  mean = 2
}}
{budget}
{cold}
{live}
plan "basic" {{
  limit = {limit}
  burst = {burst}
  slack = 8
}}
plan "premium" {{
  reserve = 50
  weight = 3
}}
stream "read" {{
  slo_ms = 200
  expiry_ms = 1200
  effect = "repeatable"
}}
stream "log" {{
  slo_ms = 250
  expiry_ms = 1000
  effect = "unrepeatable"
  in_order = {order}
}}
stream "save" {{
  slo_ms = 250
  expiry_ms = 1000
  effect = "keyed"
  group = "zone"
  window_s = 2
}}
volume "museum" {{
  lun = 0
  plan = "premium"
  blocks = 100000
  extent_blocks = 64
  shards = [{shards}]
  hosts = {hosts}
{museum}  reads = "read"
  writes = "log"
}}
volume "school" {{
  lun = 1
  plan = "basic"
  blocks = 100000
  extent_blocks = 64
  shards = [{shards}]
  hosts = {told}
  through = {through}
  reads = "read"
  writes = "save"
}}
"#,
        hosts = w.hosts,
        through =
            if told == volume_hosts { format!("{:?}", (0..told).collect::<Vec<u32>>()) } else { "[]".into() },
        limit = 30.0 * f64::from(volume_hosts),
        order = mutant != Some(Mutant::OrderIgnored),
        budget = if mutant == Some(Mutant::BudgetIgnored) { "" } else { budget },
        cold = if mutant == Some(Mutant::ColdIgnored) { "" } else { &cold },
    );
    // Each line of an attribute that is set has its value.
    let line = |l: &str| {
        let name = l.split('=').next().unwrap_or("").trim();
        w.set.get(name).map_or_else(|| l.to_owned(), |x| format!("  {name} = {x}"))
    };
    text.lines().map(line).collect::<Vec<_>>().join("\n") + "\n"
}

fn heart(now: Instant, s: &HostSettings, seed: u64, life: u64, plain: Option<Plain>) -> Heart {
    match plain {
        Some(how) => Heart::Plain(Box::new(PlainHost::new(how, s))),
        None => Heart::Core(Box::new(Core::new(now, s, seed, life))),
    }
}

/// Plays a world to its end, with the host core or with a plain host in its place.
pub fn run(w: &World, mutant: Option<Mutant>, plain: Option<Plain>) -> Run {
    let like = |n: u32| match w.day.as_ref().and_then(|d| d.node(n)) {
        Some((block, shard)) => (block.nature(), block.zone, shard, block.cold, block.report_ms * 1000),
        None => {
            let nature = Nature {
                cores: w.cores,
                unit_s: w.unit_s,
                queue: 400,
                cold_from: w.cold_from,
                warm_s: w.warm_s,
                fall_multiple: w.fall_multiple,
                fall_s: FALL_S,
                saved: w.saved,
                remembers: w.remembers,
                put_off: w.put_off,
                flush_s: w.flush_s,
                ..Nature::default()
            };
            (nature, n % 3, n, false, 0)
        }
    };
    let node = |n: u32| {
        let (nature, zone, shard, cold, report_us) = like(n);
        let started = if cold { START } else { 0 };
        SimNode {
            model: Model::new(started, nature, w.seed * 1000 + u64::from(n), cold),
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
            generation: 0,
        }
    };
    let all: Vec<HostSettings> = (0..w.hosts).map(|h| settings(w, h, mutant)).collect();
    let first = heart(at(START), &all[0], 0, 0, plain);
    let units = target::units(&all[0], |v| first.layout().most_blocks(v));
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
        lives: 0,
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
            deferred: 0,
            abandoned: 0,
            stuck: 0,
            calls: 0,
            calls_done: 0,
            calls_late: 0,
            orders: (0, 0),
            plans: (0, 0),
            events: 0,
            most_open: (0, 0, 0),
        },
    };
    let windows = sim.settings[0].streams.iter().filter_map(|s| match s.effect {
        tackmast::interface::Effect::Keyed { window, .. } => Some((window.secs() * 1e6) as Us),
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
            self.note_node_up(n, if cold { self.nodes[n].model.nature.cold_from } else { 1.0 });
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
        let longest = self.settings[0].streams.iter().map(|s| s.expiry.secs()).fold(0.0, f64::max);
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
        self.note(Seen::Trouble { what: "end".into(), on: false });
        for h in self.hosts.iter().filter(|h| h.up) {
            let (commands, xfers, legs) = h.core.open();
            self.run.stuck += commands + xfers + legs + h.core.keys_in_order();
        }
        self.run.stuck += self.clients.iter().map(|c| c.core.open()).sum::<usize>();
        self.run.fallen = self.nodes.iter().filter(|n| n.model.is_fallen()).count();
    }

    /// What the trace shows by class, of work, and of the limit.
    fn account(&mut self) {
        use tackmast_trace::Event as Seen;
        let mut open: BTreeMap<(u32, u32, u32), (Us, usize)> = BTreeMap::new();
        let mut served: BTreeMap<(u32, u32, u32), f64> = BTreeMap::new();
        let (mut limited, mut classes) = (0.0, BTreeMap::<usize, Class>::new());
        let mut legs: BTreeMap<LegName, (f64, u32)> = BTreeMap::new();
        let s = &self.settings[0];
        let streams = s.streams.len();
        let limit_of = |lun: u32| {
            let v = s.volumes.iter().find(|v| v.lun == lun);
            v.map_or(0.0, |v| s.plans[v.plan as usize].limit)
        };
        for l in &self.run.trace {
            match &l.event {
                Seen::Submit { host, session, command, volume, stream, .. } => {
                    let plan = s.volumes.iter().find(|v| v.lun == *volume).map_or(0, |v| v.plan);
                    let class = plan as usize * streams + *stream as usize;
                    classes.entry(class).or_default().asked += 1;
                    open.insert((*host, *session, *command), (l.t, class));
                }
                Seen::Leg { name, session, command, units, volume, .. } => {
                    self.run.sent_units += units;
                    legs.insert(*name, (*units, *volume));
                    *served.entry((name.host, *session, *command)).or_default() += units;
                }
                Seen::LegEnd { name, kind: LegEndKind::Done, .. } => {
                    limited += legs.get(name).filter(|(_, v)| limit_of(*v) > 0.0).map_or(0.0, |(u, _)| *u);
                }
                Seen::Answer { host, session, command, kind, .. } if *kind != AnswerKind::Done => {
                    if let Some((_, class)) = open.remove(&(*host, *session, *command)) {
                        let c = classes.entry(class).or_default();
                        match kind {
                            AnswerKind::Deferred => c.deferred += 1,
                            _ => c.abandoned += 1,
                        }
                    }
                }
                Seen::Answer { host, session, command, .. } => {
                    if let Some((t, class)) = open.remove(&(*host, *session, *command)) {
                        let c = classes.entry(class).or_default();
                        c.done += 1;
                        let in_time = l.t - t <= (s.streams[class % streams].slo.secs() * 1e6) as Us;
                        c.in_time += u64::from(in_time);
                        _ = c.times.record((l.t - t).max(1));
                        if in_time {
                            served.remove(&(*host, *session, *command));
                        }
                    }
                }
                _ => {}
            }
        }
        self.run.wasted_units = served.values().sum();
        let limit: f64 = s.volumes.iter().map(|v| limit_of(v.lun)).sum();
        self.run.limit_used = limited / (limit * self.w.seconds).max(1e-9);
        let name = |c: usize| format!("{} {}", s.plans[c / streams].name, s.streams[c % streams].name);
        self.run.classes = classes.into_iter().map(|(c, x)| (name(c), x)).collect();
    }

    fn facts(&self) -> Facts {
        // The way of a message, one way and back, and the jitter of both.
        let skew_us = 2 * (self.w.delay_us + self.w.jitter_us) + 2000 + (self.w.drift * 4e7) as Us;
        let grace_s = self.w.day.as_ref().map_or(DRAIN_GRACE as f64 / 1e6, |d| d.day.drain_grace_ms / 1e3);
        tackmast_day::facts(&settings(self.w, 0, None), 0.001, grace_s, skew_us as f64 / 1e6)
    }

    fn new_host(&mut self, h: u32) -> Host {
        self.lives += 1;
        let seed = self.w.seed ^ self.lives << 20;
        let now = self.time(h);
        let mut core = heart(now, &self.settings[h as usize], seed, self.lives, self.plain);
        let wall = self.wall(h);
        let kept = &mut self.kept[h as usize];
        if let Some(core) = core.core().filter(|_| self.w.has_orders()) {
            let records = kept.overrides.values().cloned().collect();
            let (overrides, ended) = Overrides::new(now, wall, ORDERS, records, kept.next);
            ended.iter().for_each(|e| _ = kept.overrides.remove(&e.record.id));
            core.wall_seen(now, wall);
            core.with_overrides(now, overrides, Keep::default());
        }
        if let Some((core, b)) = core.core().zip(self.settings[h as usize].plans_live.as_ref()) {
            let trail: Vec<u8> = kept.changes.values().flatten().copied().collect();
            let plans = Plans::new(now, &self.settings[h as usize], b, &trail)
                .unwrap_or_else(|e| panic!("a trail that the lab kept: {e}"));
            core.with_plans(now, plans, trail.is_empty());
        }
        if let Some(core) = core.core().filter(|_| self.w.members.is_some()) {
            let s = &self.settings[h as usize];
            let address = peer_address(h);
            let member = member_settings(s, &MEMBERS, address, self.lives, kept.left, seed);
            core.with_fellows(now, Fellows::new(now, member));
        }
        Host {
            core,
            life: self.lives,
            up: true,
            wake: Us::MAX,
            stands: 0,
            links: BTreeMap::new(),
            following: false,
            next: 0,
            submitted: BTreeMap::new(),
            asked: BTreeMap::new(),
            sessions: BTreeMap::new(),
            numbers: BESIDE as u16,
        }
    }

    fn note_node_up(&mut self, n: usize, cold_from: f64) {
        let node = &self.nodes[n];
        let (address, capacity) = (node.address.clone(), node.model.capacity());
        let warm_us = if cold_from < 1.0 { (node.model.nature.warm_s * 1e6) as Us } else { 0 };
        let (zone, shard) = (node.zone, node.shard);
        self.note(tackmast_trace::Event::NodeUp { node: address, zone, shard, capacity, cold_from, warm_us });
    }

    /// The host that an event is for, where a process that stands still would only see it later.
    fn stands_before(&self, e: &Event) -> Option<Us> {
        let h = match e {
            Event::ToHost(h, ..) | Event::Refused(h, ..) | Event::List(h, ..) | Event::ListFailed(h, _) => *h,
            Event::Datagram(_, h, _) | Event::Hello(h, ..) | Event::Gone(h, _) => *h,
            Event::ToServer(c, ..) | Event::Connected(c, ..) => self.clients[*c as usize].host,
            _ => return None,
        };
        let host = &self.hosts[h as usize];
        (host.up && host.stands > self.now).then_some(host.stands)
    }

    fn event(&mut self, e: Event, last: Us) {
        if let Some(t) = self.stands_before(&e) {
            return self.push(t, e);
        }
        match e {
            Event::Trouble(i, on) => self.trouble(i, on),
            Event::Arrive(h) => self.arrive(h, last),
            Event::Loaded => self.loaded(),
            Event::Asked => {
                let Some(a) = self.asks.pop_front() else { return };
                if let Some(next) = self.asks.front() {
                    self.push(self.now + (next.at_us - a.at_us), Event::Asked);
                }
                self.number += 1;
                let (number, first) = (self.number, self.now);
                self.tries.insert(number, Try { ask: a, first, tries: 0 });
                self.ask(number);
            }
            Event::Again(number) => self.ask(number),
            Event::ToNode(h, n, life, bytes) => self.node_gets(h, n, life, &bytes),
            Event::ToHost(h, n, life, bytes) => self.host_gets(h, n, life, &bytes),
            Event::Refused(h, life, leg) => {
                if self.hosts[h as usize].life == life {
                    self.back(h, leg, Outcome::Refused);
                    self.pull(h);
                }
            }
            Event::LinkDown(h, n, life) => self.link_down(h, n, life),
            Event::NodeTime(n) => {
                self.nodes[n as usize].wake = Us::MAX;
                self.settle(n);
            }
            Event::HostTime(h) => {
                self.hosts[h as usize].wake = Us::MAX;
                self.pull(h);
            }
            Event::List(h, life, version, entries) => self.list(h, life, version, &entries),
            Event::ListFailed(h, life) => {
                if self.hosts[h as usize].life == life && self.hosts[h as usize].up {
                    self.hosts[h as usize].following = false;
                    let now = self.time(h);
                    self.hosts[h as usize].core.list_came(now, ListKind::Failed, 0, 0, &[]);
                    self.pull(h);
                }
            }
            Event::NodeUp(n) => self.node_up(n),
            Event::HostUp(h) => {
                if !self.hosts[h as usize].up {
                    self.hosts[h as usize] = self.new_host(h);
                    self.note(tackmast_trace::Event::HostUp { host: h });
                    self.pull(h);
                }
            }
            Event::Leave(h, life, command) => {
                let host = &mut self.hosts[h as usize];
                if host.life == life && host.up && host.submitted.remove(&(BESIDE, command)).is_some() {
                    self.note(tackmast_trace::Event::Left { host: h, session: BESIDE, command });
                    let from = CommandRef { session: BESIDE, command };
                    let now = self.time(h);
                    self.hosts[h as usize].core.abort(now, from);
                    self.pull(h);
                }
            }
            Event::Answer(h, life, command, kind, come_back_us) => {
                self.answered(h, life, command, kind, come_back_us)
            }
            Event::Connected(c, slot, life) => self.connected(c, slot, life),
            Event::Closed(c, slot, life) => self.closed(c, slot, life),
            Event::ToServer(c, slot, life, bytes) => self.server_gets(c, slot, life, &bytes),
            Event::ToClient(c, slot, life, bytes) => {
                if self.clients[c as usize].slots[slot].life == life {
                    let now = at(self.now);
                    self.clients[c as usize].core.took(now, slot, &bytes);
                    self.client_pull(c);
                }
            }
            Event::ClientTime(c) => {
                self.clients[c as usize].wake = Us::MAX;
                self.client_pull(c);
            }
            Event::OrderOver(host, node) => {
                self.note(tackmast_trace::Event::Ordered { host, node, out: false });
            }
            Event::Hello(h, life, n, started) => self.hello(h, life, n, started),
            Event::Datagram(from, h, bytes) => {
                let now = self.time(h);
                let host = &mut self.hosts[h as usize];
                if let Some(core) = host.core.core().filter(|_| host.up) {
                    core.datagram(now, peer_address(from), Bytes::from(bytes));
                    self.pull(h);
                }
            }
            Event::Gone(h, life) => {
                if self.hosts[h as usize].life == life {
                    let now = self.time(h);
                    self.hosts[h as usize].core.core().into_iter().for_each(|c| c.left(now));
                    self.pull(h);
                    self.host_kill(h, true);
                }
            }
        }
    }

    fn loaded(&mut self) {
        let Some(a) = self.arrivals.pop_front() else { return };
        if let Some(next) = self.arrivals.front() {
            self.push(self.now + (next.at_us - a.at_us), Event::Loaded);
        }
        let volume = self.w.load.as_ref().map_or("", |l| l.flows[a.flow].volume.as_str());
        let Some(v) = self.settings[0].volumes.iter().find(|v| v.name == volume) else { return };
        // A volume comes through its first hosts only, as it was told.
        let (lun, h) = (v.lun, a.host % v.hosts.clamp(1, self.w.hosts));
        if !self.hosts[h as usize].up || self.hosts[h as usize].stands > self.now {
            return;
        }
        match self.clients_of[h as usize].iter().find(|c| self.clients[**c as usize].lun == lun).copied() {
            Some(c) => self.call(c, a.write, a.block, a.blocks),
            None => self.beside(h, lun, a.write, a.block, a.blocks),
        }
    }

    /// A try of a script's traffic: at a host that is up, or not at all, as on loopback.
    fn ask(&mut self, number: u64) {
        let Some(t) = self.tries.get(&number) else { return };
        let (first, h) = (t.tries == 0, t.ask.host);
        let (lun, write, block, blocks) = (t.ask.lun, t.ask.write, t.ask.block, t.ask.blocks);
        let class = self.class_of(lun, write, blocks);
        if first {
            self.run.firsts.entry(class).or_default().asked += 1;
        }
        if !self.hosts[h as usize].up {
            _ = self.tries.remove(&number);
            return;
        }
        let command = self.hosts[h as usize].next + 1;
        self.hosts[h as usize].asked.insert((BESIDE, command), number);
        self.beside(h, lun, write, block, blocks);
    }

    /// Plan and stream type, by name.
    fn class_of(&self, lun: u32, write: bool, blocks: u32) -> String {
        let s = &self.settings[0];
        let (stream, volume) = self.stream_of(lun, write, blocks);
        format!("{} {}", s.plans[s.volumes[volume].plan as usize].name, s.streams[stream].name)
    }

    /// The stream type of a command, and its volume's place.
    fn stream_of(&self, lun: u32, write: bool, blocks: u32) -> (usize, usize) {
        let s = &self.settings[0];
        let volume = s.volumes.iter().position(|v| v.lun == lun).unwrap_or(0);
        let v = &s.volumes[volume];
        let large = v.large.filter(|(from, _)| blocks >= *from && !write).map(|(_, stream)| stream);
        (large.unwrap_or(if write { v.writes } else { v.reads }) as usize, volume)
    }

    /// What a try's answer makes of it.
    fn tried(&mut self, number: u64, kind: AnswerKind, come_back_us: Us) {
        let Some(t) = self.tries.get_mut(&number) else { return };
        let (again, first) = (kind == AnswerKind::Deferred && t.tries < t.ask.retries, t.first);
        if again {
            t.tries += 1;
            let wait = if t.ask.waits { come_back_us } else { 0 };
            return self.push(self.now + wait, Event::Again(number));
        }
        let Some(t) = self.tries.remove(&number) else { return };
        let (stream, _) = self.stream_of(t.ask.lun, t.ask.write, t.ask.blocks);
        let name = self.class_of(t.ask.lun, t.ask.write, t.ask.blocks);
        let (slo, took) = (self.settings[0].streams[stream].slo, self.now - first);
        let c = self.run.firsts.entry(name).or_default();
        match kind {
            AnswerKind::Done => {
                c.done += 1;
                c.in_time += u64::from(took <= (slo.secs() * 1e6) as Us);
                _ = c.times.record(took.max(1));
            }
            AnswerKind::Deferred => c.deferred += 1,
            _ => c.abandoned += 1,
        }
    }

    fn arrive(&mut self, h: u32, last: Us) {
        let gap = -(1.0 - self.chance.rand_float()).ln() / (self.w.rate * self.surge).max(0.01);
        let next = self.now + (gap * 1e6) as Us + 1;
        if next < last {
            self.push(next, Event::Arrive(h));
        }
        if !self.hosts[h as usize].up || self.hosts[h as usize].stands > self.now {
            return;
        }
        // The limited volume comes through the first hosts only, as it was told.
        let mut lun = u32::from(h < self.w.limited_hosts.min(self.w.hosts) && self.chance.rand_float() < 0.4);
        if let Some((part, busiest)) = self.busiest.filter(|_| lun == 1) {
            // What would come through the others asks for the other volume meanwhile.
            lun = u32::from(h == busiest || self.chance.rand_float() >= part);
        }
        let write = self.chance.rand_float() < 0.4;
        let blocks = self.chance.rand_range(1..25) as u32;
        let span = if write && lun == 0 { 640 } else { 50_000 };
        let drawn = self.chance.rand_range(0..span);
        let hot = self.hot > 0.0 && self.chance.rand_float() < self.hot;
        let block = if hot { 0 } else { drawn };
        // One that speaks a protocol, in its turn.
        if !self.clients_of[h as usize].is_empty() {
            let i = self.chance.rand_range(0..self.clients_of[h as usize].len() as u64 + 1) as usize;
            if let Some(c) = self.clients_of[h as usize].get(i).copied() {
                return self.call(c, write, block, blocks);
            }
        }
        self.beside(h, lun, write, block, blocks);
    }

    /// A command that comes without a protocol.
    fn beside(&mut self, h: u32, lun: u32, write: bool, block: u64, blocks: u32) {
        let host = &mut self.hosts[h as usize];
        host.next += 1;
        let command = host.next;
        let life = host.life;
        let work = match write {
            true => Work::Write { data: data(blocks * 512) },
            false => Work::Read { blocks },
        };
        self.submit(h, CommandRef { session: BESIDE, command }, lun, block, work, self.now, None);
        if self.chance.rand_float() < self.leave {
            let later = self.now + self.chance.rand_range(0..400_000);
            self.push(later, Event::Leave(h, life, command));
        }
        self.pull(h);
    }

    /// A command reaches its host, which knows it from `began` on.
    #[allow(clippy::too_many_arguments)] // as the host core has them
    fn submit(
        &mut self,
        h: u32,
        from: CommandRef,
        lun: u32,
        block: u64,
        work: Work,
        began: Us,
        asked: Option<Us>,
    ) {
        let (write, bytes) = match &work {
            Work::Read { blocks } => (false, u64::from(*blocks) * 512),
            Work::Write { data } => (true, data.len() as u64),
        };
        let (stream, _) = self.stream_of(lun, write, (bytes / 512) as u32);
        let st = &self.settings[0].streams[stream];
        let (slo, expiry) = ((st.slo.secs() * 1e6) as Us, (st.expiry.secs() * 1e6) as Us);
        self.run.asked += 1;
        let (session, command) = (from.session, from.command);
        let host = &mut self.hosts[h as usize];
        host.submitted.insert((session, command), (began, slo));
        self.note(tackmast_trace::Event::Submit {
            host: h,
            session,
            command,
            volume: lun,
            stream: stream as u32,
            write,
            offset: block * 512,
            bytes,
            expiry_us: asked.unwrap_or(expiry).saturating_sub(self.now - began),
        });
        let (now, began) = (self.time(h), self.time_at(h, began));
        let asked = asked.map(|us| Span::from_secs(us as f64 / 1e6));
        self.hosts[h as usize].core.submit(now, from, lun, block, work, began, asked);
    }

    /// Carries out what the core wants done.
    fn pull(&mut self, h: u32) {
        if !self.hosts[h as usize].up || self.hosts[h as usize].stands > self.now {
            return;
        }
        let now = self.time(h);
        self.hosts[h as usize].core.tick(now);
        while let Some(o) = self.hosts[h as usize].core.next_output(now) {
            match o {
                Output::Send(leg) => self.send(h, *leg),
                Output::Cancel { node, leg } | Output::Cut { node, leg } => {
                    let cancel = Frame::Cancel { leg: leg.0 }.to_bytes();
                    self.pass_on(h, node.0, &cancel, true);
                }
                Output::Answer { to, verdict } => self.answer(h, to, verdict),
                Output::FollowList { .. } | Output::FetchList => self.follow(h),
                Output::Keep { request, keep } => self.keep(h, request, keep),
                Output::Reply { reply, .. } => self.ordered(h, reply),
                Output::Datagram { to, bytes } => self.post(h, to, &bytes),
                Output::Mode { .. } => {}
            }
        }
        if let Some(core) = self.hosts[h as usize].core.core().filter(|_| self.w.members.is_some()) {
            if core.is_free(now) && !core.is_leaving() {
                self.kept[h as usize].left = false;
            }
        }
        let host = &mut self.hosts[h as usize];
        let open = host.core.open();
        let most = &mut self.run.most_open;
        *most = (most.0.max(open.0), most.1.max(open.1), most.2.max(open.2));
        let wake = host.core.next_wake(now);
        let wake = wake.map(|t| self.when(h, t));
        let host = &mut self.hosts[h as usize];
        if let Some(t) = wake.filter(|t| *t < host.wake) {
            host.wake = t.max(self.now + 1);
            let t = host.wake;
            self.push(t, Event::HostTime(h));
        }
    }

    fn answer(&mut self, h: u32, to: CommandRef, verdict: Verdict) {
        self.answers += 1;
        let (kind, come_back_us) = match &verdict {
            Verdict::Done { .. } => (0, 0),
            Verdict::Deferred { come_back } => (1, come_back.map_or(0, |w| (w.secs() * 1e6) as u64)),
            Verdict::Abandoned if self.mutant == Some(Mutant::DeferredLie) => (1, 0),
            Verdict::Abandoned => (2, 0),
        };
        let life = self.hosts[h as usize].life;
        let now = self.now;
        let (session, command) = (to.session, to.command);
        let odd = self.answers.is_multiple_of(50);
        match self.mutant {
            Some(Mutant::AnswerLost) if odd => return,
            Some(Mutant::AnswerLate) if odd => {
                let late = Event::Answer(h, life, (session, command), kind, come_back_us);
                return self.push(now + 1_200_000, late);
            }
            Some(Mutant::AnswerTwice) if odd => {
                self.note(tackmast_trace::Event::Answer {
                    host: h,
                    session,
                    command,
                    kind: AnswerKind::Deferred,
                    come_back_us: 0,
                });
            }
            _ => {}
        }
        // Commands without a protocol come from beside the host: what their way costs is no part of this model.
        self.answered(h, life, (session, command), kind, come_back_us);
        let Some((c, slot, slot_life)) = self.hosts[h as usize].sessions.get(&session).copied() else {
            return;
        };
        let Some(pipe) = self.clients[c as usize].pipe_of(slot, slot_life) else { return };
        pipe.session.answer(
            command,
            match verdict {
                Verdict::Done { data } => target::Verdict::Done { data },
                Verdict::Deferred { .. } => target::Verdict::Deferred { come_back_us },
                Verdict::Abandoned => target::Verdict::Abandoned,
            },
        );
        // What had to wait for this answer is read on from here.
        if !pipe.session.is_paused() {
            self.push(now, Event::ToServer(c, slot, slot_life, Vec::new()));
        }
        self.flush(c, slot, slot_life);
    }

    fn answered(&mut self, h: u32, life: u64, of: CommandOrd, kind: u8, come_back_us: u64) {
        let host = &mut self.hosts[h as usize];
        if host.life != life {
            return;
        }
        let Some((began, slo)) = host.submitted.remove(&of) else { return };
        let kind = [AnswerKind::Done, AnswerKind::Deferred, AnswerKind::Abandoned][usize::from(kind)];
        match kind {
            AnswerKind::Done => {
                self.run.done += 1;
                self.run.in_time += u64::from(self.now - began <= slo);
            }
            AnswerKind::Deferred => self.run.deferred += 1,
            _ => self.run.abandoned += 1,
        }
        let (session, command) = of;
        self.note(tackmast_trace::Event::Answer { host: h, session, command, kind, come_back_us });
        if let Some(number) = self.hosts[h as usize].asked.remove(&of) {
            self.tried(number, kind, come_back_us);
        }
    }

    fn send(&mut self, h: u32, leg: SendLeg) {
        self.sends += 1;
        let n = self.node_of(h, leg.node.0);
        let life = self.hosts[h as usize].life;
        let Some(n) = n.filter(|n| self.nodes[*n as usize].up) else {
            // Nobody listens: the host hears so after a round trip.
            let t = self.now + 2 * self.w.delay_us;
            leg.ticket.withdraw();
            return self.push(t, Event::Refused(h, life, leg.leg.0));
        };
        self.open_link(h, n);
        if let Some(waiting) = self.hosts[h as usize].links.get_mut(&n).and_then(|l| l.waiting.as_mut()) {
            return waiting.push(leg);
        }
        self.transmit(h, n, &leg);
    }

    /// A leg leaves its host, unless it was taken back.
    fn transmit(&mut self, h: u32, n: u32, leg: &SendLeg) {
        let life = self.hosts[h as usize].life;
        let now = self.time(h);
        let left = ((leg.until - now).secs() * 1e6).max(0.0) as Us;
        if !leg.ticket.claim() {
            return;
        }
        leg.ticket.written();
        let name = LegName { host: h, life, xfer: leg.xfer, leg: leg.leg_no };
        let frame = |leg_no: u8| {
            Frame::Send(node::SendLeg {
                leg: leg.leg.0,
                xfer: leg.xfer,
                leg_no,
                origin: Origin { session: leg.from.session, command: leg.from.command, part: leg.part },
                sent_us: us(now),
                left_us: left as u32,
                mark: leg.mark,
                key: leg.key,
                volume: leg.volume,
                offset: leg.offset,
                units: leg.units as f32,
                work: match &leg.work {
                    LegWork::Read { length } => node::Work::Read { length: *length },
                    LegWork::Write { data } | LegWork::Request(Request { body: data, .. }) => {
                        node::Work::Write { data: data.clone() }
                    }
                },
            })
            .to_bytes()
        };
        // A leg counts from when its host sends it: what the network holds back after that is no fault of its.
        let (write, length) = match &leg.work {
            LegWork::Read { length } => (false, u64::from(*length)),
            LegWork::Write { data } | LegWork::Request(Request { body: data, .. }) => {
                (true, data.len() as u64)
            }
        };
        let address = self.nodes[n as usize].address.clone();
        let seen = |leg_no: u8| tackmast_trace::Event::Leg {
            node: address.clone(),
            name: LegName { leg: leg_no, ..name },
            session: leg.from.session,
            command: leg.from.command,
            part: leg.part,
            volume: leg.volume,
            write,
            offset: leg.offset,
            bytes: length,
            units: leg.units,
            key: leg.key,
            mark: format!("{:x}", leg.mark),
            left_us: left,
        };
        let (first, second) = (seen(leg.leg_no), seen(leg.leg_no + 1));
        let bytes = frame(leg.leg_no);
        let twice = (self.mutant == Some(Mutant::SecondLegEarly) && self.sends.is_multiple_of(100))
            .then(|| frame(leg.leg_no + 1));
        self.note(first);
        if twice.is_some() {
            self.note(second);
        }
        if let Some(l) = self.hosts[h as usize].links.get_mut(&n) {
            l.legs.insert(leg.leg.0, name);
        }
        self.pass(h, n, &bytes, true);
        if let Some(again) = twice {
            self.pass(h, n, &again, true);
        }
    }

    /// The core's number of a node to the lab's.
    fn node_of(&self, h: u32, number: u32) -> Option<u32> {
        let core = &self.hosts[h as usize].core;
        let address = core.nodes().address(tackmast::interface::NodeId(number))?;
        self.nodes.iter().position(|n| n.address == address).map(|n| n as u32)
    }

    fn pass_on(&mut self, h: u32, number: u32, bytes: &Bytes, to_node: bool) {
        if let Some(n) = self.node_of(h, number) {
            if self.hosts[h as usize].links.contains_key(&n) {
                self.pass(h, n, bytes, to_node);
            }
        }
    }

    fn open_link(&mut self, h: u32, n: u32) {
        self.number += 1;
        let life = self.number;
        // As the hello at the start of the link shows it.
        let offset = self.now as i64 - us(self.time(h)) as i64 + self.w.delay_us as i64;
        let new = || Link {
            life,
            to_node: node::frames(1 << 20),
            to_host: node::frames(1 << 20),
            last: [0; 2],
            offset,
            waiting: Some(Vec::new()),
            legs: BTreeMap::new(),
        };
        let links = &mut self.hosts[h as usize].links;
        if let std::collections::btree_map::Entry::Vacant(place) = links.entry(n) {
            place.insert(new());
            let (host_life, started) = (self.hosts[h as usize].life, self.nodes[n as usize].started);
            let held_until = self.partitions.get(&(h, n)).copied().unwrap_or(0);
            let t = self.now.max(held_until) + 2 * self.w.delay_us;
            self.push(t, Event::Hello(h, host_life, n, started));
        }
    }

    /// Bytes go on their way, cut where it happens; each direction keeps its order.
    fn pass(&mut self, h: u32, n: u32, bytes: &Bytes, to_node: bool) {
        let held_until = self.partitions.get(&(h, n)).copied().unwrap_or(0);
        let cut = self.chance.rand_range(0..bytes.len() as u64 + 1) as usize;
        let parts = if self.chance.rand_float() < 0.1 {
            vec![&bytes[..cut], &bytes[cut..]]
        } else {
            vec![&bytes[..]]
        };
        for part in parts.into_iter().filter(|p| !p.is_empty()) {
            let jitter = if self.w.jitter_us > 0 { self.chance.rand_range(0..self.w.jitter_us) } else { 0 };
            let Some(l) = self.hosts[h as usize].links.get_mut(&n) else { return };
            let t =
                (self.now.max(held_until) + self.w.delay_us + jitter).max(l.last[usize::from(to_node)] + 1);
            l.last[usize::from(to_node)] = t;
            let life = l.life;
            let bytes = part.to_vec();
            self.push(
                t,
                if to_node { Event::ToNode(h, n, life, bytes) } else { Event::ToHost(h, n, life, bytes) },
            );
        }
    }

    fn node_gets(&mut self, h: u32, n: u32, life: u64, bytes: &[u8]) {
        let Some(l) = self.hosts[h as usize].links.get_mut(&n).filter(|l| l.life == life) else { return };
        l.to_node.push(bytes);
        let mut frames = Vec::new();
        while let Ok(Some(f)) = node::next(&mut l.to_node) {
            frames.push(f);
        }
        for f in frames {
            match f {
                Frame::Send(leg) => self.leg_arrives(h, n, life, leg),
                Frame::Cancel { leg } => {
                    let node = &mut self.nodes[n as usize];
                    let found = node.held.iter().find(|(_, x)| x.link == life && x.leg == leg);
                    if let Some((id, name)) = found.map(|(id, x)| (*id, x.name)) {
                        let address = node.address.clone();
                        if !node.silent {
                            node.model.cancel(self.now, id);
                        }
                        self.note(tackmast_trace::Event::Cancel { node: address, name });
                        self.settle(n);
                    }
                }
                _ => {}
            }
        }
    }

    fn leg_arrives(&mut self, h: u32, n: u32, link: u64, leg: node::SendLeg) {
        let life = self.hosts[h as usize].life;
        let name = LegName { host: h, life, xfer: leg.xfer, leg: leg.leg_no };
        let (write, bytes) = match &leg.work {
            node::Work::Read { length } => (false, u64::from(*length)),
            node::Work::Write { data } => (true, data.len() as u64),
        };
        let now = self.now;
        let node = &mut self.nodes[n as usize];
        if !node.up {
            return;
        }
        node.next += 1;
        let id = node.next;
        let read = if write { 0 } else { bytes as u32 };
        let units = f64::from(leg.units);
        let held =
            Held { host: h, life, link, leg: leg.leg, name, volume: leg.volume, units, read, mark: leg.mark };
        if !node.silent {
            node.held.insert(id, held);
            let link = self.hosts[h as usize].links.get_mut(&n);
            let offset = link.map_or(0, |l| {
                l.offset = l.offset.min(now as i64 - leg.sent_us as i64);
                l.offset
            });
            let until = (leg.sent_us as i64 + offset).max(0) as Us + u64::from(leg.left_us);
            let node = &mut self.nodes[n as usize];
            // The piece of data, as the stand-in nodes on loopback tell it.
            let key = leg.key ^ leg.offset << 8;
            let job = Job { id, units, write, key, further: leg.leg_no > 0, until };
            node.model.arrive(now, job);
        }
        self.settle(n);
    }

    /// Answers of what has ended at a node, and its next time.
    fn settle(&mut self, n: u32) {
        let now = self.now;
        let node = &mut self.nodes[n as usize];
        if !node.up || node.silent {
            return;
        }
        node.model.advance(now);
        let ended = node.model.ended();
        for (id, how) in ended {
            let node = &mut self.nodes[n as usize];
            let Some(x) = node.held.remove(&id) else { continue };
            let (outcome, kind) = match how {
                How::Done => (NodeOutcome::Done, LegEndKind::Done),
                How::Error => (NodeOutcome::Error, LegEndKind::Error),
                How::NeverRan => (NodeOutcome::Full, LegEndKind::NeverRan),
            };
            let own = node.served.entry((x.volume, x.host)).or_default();
            if how == How::Done {
                own.0 += x.units;
                *node.total.entry(x.volume).or_default() += x.units;
            }
            let others = node.total.get(&x.volume).copied().unwrap_or(0.0) - own.0;
            let elsewhere = (others - own.1).max(0.0) as f32;
            own.1 = others;
            let data = if how == How::Done { Bytes::from(vec![0; x.read as usize]) } else { Bytes::new() };
            if node.told.0 == 0 || now >= node.told.0 + node.report_us {
                node.told = (now, node.model.waiting() as u32);
            }
            let (waiting, address, zone) = (node.told.1, node.address.clone(), node.zone);
            let ran = how == How::Done && self.first_run(zone, x.mark);
            self.note(tackmast_trace::Event::LegEnd { node: address, name: x.name, kind, ran });
            let answer = Frame::Answer(Answer { leg: x.leg, outcome, waiting, elsewhere, data }).to_bytes();
            let host = &self.hosts[x.host as usize];
            if host.life == x.life && host.links.get(&n).is_some_and(|l| l.life == x.link) {
                self.pass(x.host, n, &answer, false);
            }
        }
        let node = &mut self.nodes[n as usize];
        if let Some(t) = node.model.next_time().filter(|t| *t < node.wake) {
            node.wake = t.max(now + 1);
            let t = node.wake;
            self.push(t, Event::NodeTime(n));
        }
    }

    /// Whether a mark runs for the first time within its window; a repeat is dropped.
    fn first_run(&mut self, zone: u32, mark: u128) -> bool {
        if mark == 0 {
            return true;
        }
        let known = self.marks.insert((zone, mark), self.now);
        known.is_none_or(|t| t + self.window_us < self.now)
    }

    fn host_gets(&mut self, h: u32, n: u32, life: u64, bytes: &[u8]) {
        if !self.hosts[h as usize].up {
            return;
        }
        let Some(l) = self.hosts[h as usize].links.get_mut(&n).filter(|l| l.life == life) else { return };
        l.to_host.push(bytes);
        let mut backs = Vec::new();
        while let Ok(Some(f)) = node::next(&mut l.to_host) {
            if let Frame::Answer(a) = f {
                if l.legs.remove(&a.leg).is_some() {
                    backs.push(a);
                }
            }
        }
        let now = self.time(h);
        for a in backs {
            let outcome = match a.outcome {
                NodeOutcome::Done => Outcome::Done,
                NodeOutcome::Error => Outcome::Error,
                NodeOutcome::Full => Outcome::Full,
                NodeOutcome::NotHere => Outcome::Skipped,
            };
            let (waiting, elsewhere) = (Some(a.waiting), Some(f64::from(a.elsewhere)));
            let back = LegBack { leg: LegId(a.leg), outcome, waiting, elsewhere, data: a.data };
            self.hosts[h as usize].core.leg_back(now, back);
        }
        self.pull(h);
    }

    fn back(&mut self, h: u32, leg: u64, outcome: Outcome) {
        let back = LegBack { leg: LegId(leg), outcome, waiting: None, elsewhere: None, data: Bytes::new() };
        let now = self.time(h);
        self.hosts[h as usize].core.leg_back(now, back);
    }

    /// A link ends for both sides: its legs may have run.
    fn link_down(&mut self, h: u32, n: u32, life: u64) {
        let host = &mut self.hosts[h as usize];
        if host.links.get(&n).is_none_or(|l| l.life != life) {
            return;
        }
        let Some(l) = host.links.remove(&n) else { return };
        let (node, life) = (self.nodes[n as usize].address.clone(), host.life);
        let legs: Vec<LegName> = l.legs.values().copied().collect();
        self.note(tackmast_trace::Event::LinkDown { node, host: h, life, legs });
        for leg in l.legs.keys() {
            self.back(h, *leg, Outcome::Reset);
        }
        for leg in l.waiting.into_iter().flatten().filter(|leg| leg.ticket.withdraw()) {
            self.back(h, leg.leg.0, Outcome::Refused);
        }
        self.pull(h);
    }

    fn all_links_down(&mut self, n: u32) {
        for h in 0..self.w.hosts {
            if let Some(life) = self.hosts[h as usize].links.get(&n).map(|l| l.life) {
                self.link_down(h, n, life);
            }
        }
    }

    fn follow(&mut self, h: u32) {
        let life = self.hosts[h as usize].life;
        let t = self.now + 2 * self.w.delay_us;
        if self.list_fails {
            return self.push(t, Event::ListFailed(h, life));
        }
        self.hosts[h as usize].following = true;
        let (version, entries) = self.entries();
        self.push(t, Event::List(h, life, version, entries));
    }

    fn entries(&self) -> (u64, Vec<(String, u8, u32, u64)>) {
        let entry = |(i, n): (usize, &SimNode)| {
            let state = match n.listed {
                NodeState::Ready => 0,
                NodeState::Draining => 1,
                NodeState::Gone => 2,
            };
            (n.address.clone(), state, i as u32, n.listed_start)
        };
        let listed = self.nodes.iter().enumerate().filter(|(_, n)| n.listed != NodeState::Gone);
        (self.list_version, listed.map(entry).collect())
    }

    /// The list has changed: all that follow hear of it, late.
    fn tell(&mut self) {
        self.list_version += 1;
        if self.list_fails {
            return;
        }
        let (version, entries) = self.entries();
        for h in 0..self.w.hosts {
            if self.hosts[h as usize].following {
                let life = self.hosts[h as usize].life;
                let jitter = self.chance.rand_range(0..50_000);
                let t = self.now + self.list_late + jitter;
                self.push(t, Event::List(h, life, version, entries.clone()));
            }
        }
    }

    fn list(&mut self, h: u32, life: u64, version: u64, entries: &[(String, u8, u32, u64)]) {
        if self.hosts[h as usize].life != life || !self.hosts[h as usize].up {
            return;
        }
        let mut lines = Vec::new();
        for (address, state, i, started) in entries {
            let state = [NodeState::Ready, NodeState::Draining, NodeState::Gone][usize::from(*state)];
            let told = match state {
                NodeState::Ready => ListedState::Ready,
                NodeState::Draining => ListedState::Draining,
                NodeState::Gone => ListedState::Gone,
            };
            let started_us = *started;
            self.note(tackmast_trace::Event::Told {
                host: h,
                node: address.clone(),
                state: told,
                started_us,
            });
            let ignored = self.mutant == Some(Mutant::GraceIgnored);
            let cold = (started_us > 0 && self.mutant != Some(Mutant::ColdIgnored)).then(|| {
                // By the list's clock, or by this host's wall clock, right or wrong.
                let shown = if self.w.timed_list { self.now - self.w.delay_us } else { self.wall(h) };
                let age = Span::from_secs((shown as f64 - started_us as f64) / 1e6);
                let age = if self.w.timed_list { Age::Told(age) } else { Age::ByWall(age) };
                Start { name: started_us, age }
            });
            lines.push(ListEntry {
                id: address.clone(),
                address: address.clone(),
                state: if ignored { NodeState::Ready } else { state },
                zone: ZoneId(self.nodes[*i as usize].zone),
                shard: ShardId(self.nodes[*i as usize].shard),
                start: cold,
            });
        }
        // What the list no longer names is gone.
        let known: BTreeSet<&String> = entries.iter().map(|e| &e.0).collect();
        let core = &self.hosts[h as usize].core;
        let gone: Vec<String> = core
            .nodes()
            .entries()
            .filter(|(a, e)| e.state != NodeState::Gone && !known.contains(&(*a).to_owned()))
            .map(|(a, _)| a.to_owned())
            .collect();
        for node in gone {
            self.note(tackmast_trace::Event::Told { host: h, node, state: ListedState::Gone, started_us: 0 });
        }
        let now = self.time(h);
        self.hosts[h as usize].core.list_came(now, ListKind::Complete, 0, version, &lines);
        self.pull(h);
    }

    fn node_dies(&mut self, n: u32) {
        let node = &mut self.nodes[n as usize];
        if !node.up {
            return;
        }
        node.up = false;
        node.held.clear();
        let address = node.address.clone();
        self.note(tackmast_trace::Event::NodeDown { node: address });
        self.all_links_down(n);
    }

    fn node_up(&mut self, n: u32) {
        let now = self.now;
        let node = &mut self.nodes[n as usize];
        if node.up {
            return;
        }
        let ills = node.model.ills.clone();
        node.model = Model::new(now, node.model.nature.clone(), self.w.seed ^ now, true);
        node.model.ills = ills;
        (node.up, node.silent, node.started, node.wake) = (true, false, now, Us::MAX);
        node.served.clear();
        node.total.clear();
        (node.listed, node.listed_start) = (NodeState::Ready, now);
        let from = self.nodes[n as usize].model.nature.cold_from;
        self.note_node_up(n as usize, from);
        self.tell();
    }

    fn set(&mut self, n: u32, change: impl Fn(&mut Ills)) {
        let now = self.now;
        let model = &mut self.nodes[n as usize].model;
        model.advance(now);
        change(&mut model.ills);
        self.settle(n);
    }

    fn trouble(&mut self, i: usize, on: bool) {
        let t = self.w.troubles[i];
        let n = t.node;
        let node = n as usize;
        match t.kind {
            Kind::Slow(x) => self.set(n, |ills| ills.slow = if on { x } else { 1.0 }),
            Kind::Errors(x) => self.set(n, |ills| ills.errors = if on { x } else { 0.0 }),
            Kind::Neighbour(x) => self.set(n, |ills| ills.neighbour = if on { x } else { 0.0 }),
            Kind::Heavy(part, times) => {
                self.set(n, |ills| ills.heavy = if on { (part, times) } else { (0.0, 1.0) })
            }
            Kind::Pause if on => {
                let now = self.now;
                self.nodes[node].model.pause(now, t.for_us as f64 / 1e6);
                self.settle(n);
            }
            Kind::Silent if on => self.nodes[node].silent = true,
            // What it had is gone: it comes back as a process that starts.
            Kind::Silent => {
                self.node_dies(n);
                self.push(self.now + 50_000, Event::NodeUp(n));
            }
            Kind::Restart if on => {
                self.node_dies(n);
                self.push(self.now + t.for_us, Event::NodeUp(n));
            }
            Kind::MassRestart if on => {
                for n in 0..self.w.nodes {
                    self.node_dies(n);
                    self.push(self.now + t.for_us / 2, Event::NodeUp(n));
                }
            }
            Kind::Drain | Kind::Deploy if on => {
                if self.nodes[node].listed == NodeState::Ready {
                    self.nodes[node].listed = NodeState::Draining;
                    self.tell();
                }
            }
            Kind::Drain => {
                if self.nodes[node].listed == NodeState::Draining {
                    self.nodes[node].listed = NodeState::Ready;
                    self.tell();
                }
            }
            Kind::Deploy => {
                self.node_dies(n);
                let x = &mut self.nodes[node];
                x.generation += 1;
                x.address = format!("10.{}.{}.{}:9000", x.generation, n / 250, n % 250);
                self.push(self.now + 100_000, Event::NodeUp(n));
            }
            Kind::ListLate(s) => {
                self.list_late = if on { (s * 1e6) as Us } else { self.w.list_late_us };
            }
            Kind::ListFails => {
                self.list_fails = on;
                for h in 0..self.w.hosts {
                    let host = &self.hosts[h as usize];
                    if on && host.following {
                        let life = host.life;
                        self.push(self.now, Event::ListFailed(h, life));
                    }
                }
            }
            Kind::HostKill => self.host_kill(t.host.unwrap_or(0), on),
            Kind::Partition if on => {
                let h = t.host.unwrap_or(0);
                let until = self.now + t.for_us;
                self.partitions.insert((h, n), until);
                if let Some(life) =
                    self.hosts[h as usize].links.get(&n).map(|l| l.life).filter(|_| t.for_us > SILENCE)
                {
                    self.push(self.now + SILENCE, Event::LinkDown(h, n, life));
                }
            }
            Kind::Partition => _ = self.partitions.remove(&(t.host.unwrap_or(0), n)),
            Kind::Resets if on => self.all_links_down(n),
            Kind::Surge(x) => self.surge = if on { x } else { 1.0 },
            Kind::Leave(x) => self.leave = if on { x } else { 0.0 },
            Kind::Hot(x) => self.hot = if on { x } else { 0.0 },
            Kind::Order(kind, all) if on => self.order(t.host.filter(|_| !all), n, kind, t.for_us),
            Kind::Hangup(x) if on => self.hang_up(x),
            Kind::Order(..) | Kind::Hangup(_) => {}
            Kind::Split(x) => self.split = on.then_some(x),
            Kind::Busiest(part, h) => self.busiest = on.then_some((part, h)),
            Kind::Plan(limit, burst) if on => self.plan(limit, burst),
            Kind::Plan(..) => self.plan(1.0, 1.0),
            Kind::HostLeaves if on => self.host_leaves(t.host.unwrap_or(0)),
            Kind::HostLeaves => self.push(self.now, Event::HostUp(t.host.unwrap_or(0))),
            Kind::HostStands if on => self.host_stands(t.host.unwrap_or(0), t.for_us),
            Kind::HostStands => {}
            Kind::Pause | Kind::Restart | Kind::MassRestart | Kind::Resets => {}
        }
    }

    /// The process is stopped. Its clients give up on what is open, and it hears so when it goes on.
    fn host_stands(&mut self, h: u32, for_us: Us) {
        let host = &mut self.hosts[h as usize];
        if !host.up || host.stands > self.now {
            return;
        }
        host.stands = self.now + for_us;
        let slots: Vec<(u32, usize, u64)> = host.sessions.values().copied().collect();
        let open = std::mem::take(&mut host.submitted);
        host.asked.clear();
        for (session, command) in open.into_keys() {
            self.note(tackmast_trace::Event::Left { host: h, session, command });
        }
        for (c, slot, life) in slots {
            self.closed(c, slot, life);
        }
        let now = self.time(h);
        self.hosts[h as usize].core.session_gone(now, BESIDE);
        self.push(self.now + for_us, Event::HostTime(h));
    }

    /// Nothing new is taken; what is open has half a second, and then what it has of limits goes to others.
    fn host_leaves(&mut self, h: u32) {
        let (now, life) = (self.time(h), self.hosts[h as usize].life);
        if !self.hosts[h as usize].up || self.plain.is_some() {
            return;
        }
        self.kept[h as usize].left = self.w.members.is_some();
        if let Some(core) = self.hosts[h as usize].core.core() {
            core.drain();
            core.leave(now);
        }
        self.pull(h);
        self.push(self.now + 500_000, Event::Gone(h, life));
    }

    /// A datagram goes on its way, or is lost, or comes twice.
    fn post(&mut self, from: u32, to: std::net::SocketAddr, bytes: &Bytes) {
        let Some(h) = (0..self.w.hosts).find(|h| peer_address(*h) == to) else { return };
        let loss = self.w.members.unwrap_or(0.0);
        let apart = |x: f64| {
            let edge = (x * f64::from(self.w.hosts)) as u32;
            (from < edge) != (h < edge)
        };
        if self.split.is_some_and(apart) {
            return;
        }
        let copies = match self.chance.rand_float() {
            x if x < loss => 0,
            x if x > 1.0 - loss / 4.0 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let jitter = if loss > 0.0 { self.chance.rand_range(0..300_000) } else { 0 };
            self.push(self.now + self.w.delay_us + jitter, Event::Datagram(from, h, bytes.to_vec()));
        }
    }

    fn host_kill(&mut self, h: u32, on: bool) {
        let host = &mut self.hosts[h as usize];
        if !on {
            return self.push(self.now, Event::HostUp(h));
        }
        if !host.up {
            return;
        }
        host.up = false;
        host.following = false;
        host.submitted.clear();
        host.asked.clear();
        let sessions = std::mem::take(&mut host.sessions);
        let (life, links) = (host.life, std::mem::take(&mut host.links));
        for (n, l) in links {
            let node = self.nodes[n as usize].address.clone();
            let legs = l.legs.values().copied().collect();
            self.note(tackmast_trace::Event::LinkDown { node, host: h, life, legs });
        }
        self.note(tackmast_trace::Event::HostDown { host: h });
        for (c, slot, slot_life) in sessions.into_values() {
            self.clients[c as usize].slots[slot].pipe = None;
            self.push(self.now + self.w.delay_us, Event::Closed(c, slot, slot_life));
        }
    }
}

/// Operators' orders.
impl Sim<'_> {
    /// An order at one host or at all.
    fn order(&mut self, host: Option<u32>, n: u32, kind: OrderKind, for_us: Us) {
        let Ok(address) = self.nodes[n as usize].address.parse() else { return };
        let (reason, who, seconds) = ("drawn".into(), "lab".into(), for_us as f64 / 1e6);
        let order = Order { target: Target::Node(address), kind, reason, who, seconds, origin: None };
        for h in (0..self.w.hosts).filter(|h| host.is_none_or(|x| x == *h)) {
            if !self.hosts[h as usize].up || self.hosts[h as usize].stands > self.now {
                continue;
            }
            let (now, order) = (self.time(h), order.clone());
            // Each shard has one node here: taking it out of service needs force.
            let ask = Ask::Set { order, force: true, dry_run: false, if_version: None };
            if let Some(core) = self.hosts[h as usize].core.core() {
                core.ask(now, 1, ask);
            }
            self.pull(h);
        }
    }

    /// The host's store takes all it is given.
    fn keep(&mut self, h: u32, request: u64, keep: Keep) {
        let kept = &mut self.kept[h as usize];
        for o in keep.put {
            kept.next = kept.next.max(o.id.0 + 1);
            kept.overrides.insert(o.id, o);
        }
        keep.remove.iter().for_each(|id| _ = kept.overrides.remove(id));
        for (number, line) in keep.changes {
            kept.changes.insert(number, line);
            self.went.entry(number).or_default().entry(h).or_insert(self.now);
        }
        let now = self.time(h);
        if let Some(core) = self.hosts[h as usize].core.core().filter(|_| request > 0) {
            core.kept(now, request, Ok(()));
        }
    }

    fn ordered(&mut self, host: u32, reply: Reply) {
        match reply {
            Reply::Set { record, preview, dry_run: false } => {
                self.run.orders.0 += 1;
                let left = record.ends_us.saturating_sub(record.set_us);
                for (node, _, _) in preview.changes.iter().filter(|_| record.kind == OrderKind::OutOfService)
                {
                    let node = node.to_string();
                    self.note(tackmast_trace::Event::Ordered { host, node: node.clone(), out: true });
                    // By the host's own steady clock, which may be a little early.
                    let early = (left as f64 * self.w.drift) as Us;
                    self.push(self.now + left - early, Event::OrderOver(host, node));
                }
            }
            Reply::Refused(_) => self.run.orders.1 += 1,
            Reply::Plan(PlanReply::Applied { number, .. }) => {
                let core = self.hosts[host as usize].core.core();
                let Some((limit, burst, slack)) =
                    core.and_then(|c| c.plans()).and_then(|p| p.limit_of("school"))
                else {
                    return;
                };
                let limit = if self.mutant == Some(Mutant::PlanIgnored) { limit * 0.3 } else { limit };
                self.acknowledged.insert(number, self.run.trace.len());
                let in_force_us = self.now + (PLANS_SETTLE_S * 1e6) as Us;
                self.note(tackmast_trace::Event::PlanMoved { volume: 1, limit, burst, slack, in_force_us });
            }
            _ => {}
        }
    }

    /// The host that takes changes is asked to make the limited volume's plan so many times what the settings say.
    fn plan(&mut self, limit_times: f64, burst_times: f64) {
        let home = 0;
        if !self.hosts[home].up || self.hosts[home].stands > self.now {
            return;
        }
        let now = self.time(home as u32);
        let p = &self.settings[home].plans[0];
        let (name, weight) = (p.name.clone(), p.weight);
        let to = tackmast_plans::Plan {
            limit: p.limit * limit_times,
            burst: p.burst * burst_times,
            slack: p.slack,
            reserve: p.reserve,
            weight,
        };
        let Some(core) = self.hosts[home].core.core() else { return };
        let Some(base) = core.plans().map(|p| p.status(now).catalogue.version) else { return };
        let steps = vec![tackmast_plans::Step::Plan { name, to: Some(to) }];
        let change = tackmast_plans::Change { base, steps, who: "lab".into(), why: "drawn".into() };
        core.ask(now, 1, Ask::Plan(PlanAsk::Apply { change, dry_run: false }));
        self.pull(home as u32);
    }

    /// A change is in force once all hosts that its volume comes through go by it: one that was cut off learns late, and
    /// until then it may go by the one before. A host goes by a later one as well.
    fn in_force(&mut self) {
        let few = self.w.limited_hosts.min(self.w.hosts);
        for (number, at) in &self.acknowledged {
            let when = |h: u32| {
                let later = self.went.range(number..).filter_map(|(_, went)| went.get(&h));
                later.min().copied().unwrap_or(Us::MAX)
            };
            let last = (0..few).map(when).max().unwrap_or(0);
            let Some(line) = self.run.trace.get_mut(*at) else { continue };
            if let tackmast_trace::Event::PlanMoved { in_force_us, .. } = &mut line.event {
                self.run.plans.0 += 1;
                self.run.plans.1 += u64::from(last <= *in_force_us);
                *in_force_us = (*in_force_us).max(last).min(self.now);
            }
        }
    }

    fn hello(&mut self, h: u32, life: u64, n: u32, started: Us) {
        let node = &self.nodes[n as usize];
        let host = &self.hosts[h as usize];
        if host.life != life || !host.up || node.started != started || !host.links.contains_key(&n) {
            return;
        }
        // One that was up when time began has been so for long.
        let up = if started == 0 { 86_400.0 } else { (self.now - started) as f64 / 1e6 };
        let (now, number) = (self.time(h), host.core.nodes().number(&node.address));
        if let Some((core, number)) = self.hosts[h as usize].core.core().zip(number) {
            core.node_said_up(now, number, Span::from_secs(up));
        }
        self.pull(h);
        // What the core has not taken back now leaves.
        let waiting = self.hosts[h as usize].links.get_mut(&n).and_then(|l| l.waiting.take());
        waiting.into_iter().flatten().for_each(|leg| self.transmit(h, n, &leg));
    }
}

/// Clients of both protocols.
impl Sim<'_> {
    fn add_clients(&mut self, h: u32) {
        for (i, nbd) in [(0, false), (1, true)] {
            for _ in 0..self.w.clients[i] {
                let lun =
                    u32::from(h < self.w.limited_hosts.min(self.w.hosts) && self.clients.len() % 3 == 1);
                let target = self.settings[h as usize].host.target.clone();
                let name = if lun == 1 { "school" } else { "museum" }.into();
                let c = self.clients.len() as u32;
                let seed = self.w.seed << 16 | u64::from(c);
                self.clients.push(Client::new(at(self.now), h, nbd, Place { target, lun, name }, seed));
                self.clients_of[h as usize].push(c);
                self.push(self.now, Event::ClientTime(c));
            }
        }
    }

    fn call(&mut self, c: u32, write: bool, block: u64, blocks: u32) {
        let now = self.now;
        let client = &mut self.clients[c as usize];
        client.next += 1;
        let (number, deadline) = (client.next, now + CALL);
        let op = match write {
            true => Op::Write { offset: block * 512, data: data(blocks * 512) },
            false => Op::Read { offset: block * 512, length: blocks * 512 },
        };
        client.calls.insert(number, Call { deadline });
        client.core.call(at(now), number, op, at(deadline));
        self.run.calls += 1;
        self.client_pull(c);
    }

    fn client_pull(&mut self, c: u32) {
        let now = self.now;
        self.clients[c as usize].core.tick(at(now));
        while let Some(o) = self.clients[c as usize].core.next_output() {
            match o {
                ClientOutput::Connect { slot } => {
                    self.number += 1;
                    let life = self.number;
                    self.clients[c as usize].slots[slot].life = life;
                    self.push(now + 2 * self.w.delay_us, Event::Connected(c, slot, life));
                }
                ClientOutput::Write { slot, bytes } => {
                    let life = self.clients[c as usize].slots[slot].life;
                    self.carry(c, slot, life, &bytes, true);
                }
                ClientOutput::Close { slot } => {
                    let life = std::mem::take(&mut self.clients[c as usize].slots[slot].life);
                    self.drop_pipe(c, slot, life);
                }
                ClientOutput::Answer { call, outcome } => {
                    let Some(x) = self.clients[c as usize].calls.remove(&call) else { continue };
                    self.run.calls_done += u64::from(matches!(outcome, CallOutcome::Done(_)));
                    self.run.calls_late += u64::from(now > x.deadline + 1000);
                }
                ClientOutput::Ready(_) | ClientOutput::Refused(_) => {}
            }
        }
        let client = &mut self.clients[c as usize];
        if let Some(t) = client.core.next_wake(at(now)).map(us).filter(|t| *t < client.wake) {
            client.wake = t.max(now + 1);
            let t = client.wake;
            self.push(t, Event::ClientTime(c));
        }
    }

    /// Bytes of a client's connection go on their way, cut where it happens.
    fn carry(&mut self, c: u32, slot: usize, life: u64, bytes: &[u8], up: bool) {
        let cut = self.chance.rand_range(0..bytes.len() as u64 + 1) as usize;
        let parts = [&bytes[..cut], &bytes[cut..]];
        for part in parts.into_iter().filter(|p| !p.is_empty()) {
            let jitter = if self.w.jitter_us > 0 { self.chance.rand_range(0..self.w.jitter_us) } else { 0 };
            let t = self.now + self.w.delay_us + jitter;
            let Some(pipe) = self.clients[c as usize].pipe_of(slot, life) else { return };
            let last = &mut pipe.last[usize::from(!up)];
            *last = t.max(*last + 1);
            let (t, bytes) = (*last, part.to_vec());
            self.push(
                t,
                if up {
                    Event::ToServer(c, slot, life, bytes)
                } else {
                    Event::ToClient(c, slot, life, bytes)
                },
            );
        }
    }

    fn connected(&mut self, c: u32, slot: usize, life: u64) {
        let client = &mut self.clients[c as usize];
        if client.slots[slot].life != life {
            return;
        }
        let h = client.host;
        let host = &mut self.hosts[h as usize];
        if !host.up {
            client.slots[slot].life = 0;
            client.core.closed(at(self.now), slot);
            return self.client_pull(c);
        }
        host.numbers += 1;
        let number = host.numbers;
        host.sessions.insert(u32::from(number), (c, slot, life));
        let pipe = client.pipe(&self.offer, &self.units, number);
        client.slots[slot].pipe = Some(pipe);
        client.core.connected(slot);
        self.flush(c, slot, life);
        self.client_pull(c);
    }

    /// The connection is at its end for the client.
    fn closed(&mut self, c: u32, slot: usize, life: u64) {
        if self.clients[c as usize].slots[slot].life != life {
            return;
        }
        self.clients[c as usize].slots[slot].life = 0;
        self.drop_pipe(c, slot, life);
        self.clients[c as usize].core.closed(at(self.now), slot);
        self.client_pull(c);
    }

    /// The connection is at its end for the host: what it had open has nobody who waits.
    fn drop_pipe(&mut self, c: u32, slot: usize, life: u64) {
        let Some(pipe) = self.clients[c as usize].slots[slot].pipe.take() else { return };
        let h = self.clients[c as usize].host;
        let host = &mut self.hosts[h as usize];
        if host.sessions.get(&pipe.number) != Some(&(c, slot, life)) {
            return;
        }
        host.sessions.remove(&pipe.number);
        let session = pipe.number;
        let open: Vec<u32> =
            host.submitted.range((session, 0)..(session + 1, 0)).map(|((_, c), _)| *c).collect();
        for command in open {
            self.hosts[h as usize].submitted.remove(&(session, command));
            self.note(tackmast_trace::Event::Left { host: h, session, command });
        }
        let now = self.time(h);
        self.hosts[h as usize].core.session_gone(now, session);
        self.pull(h);
    }

    fn server_gets(&mut self, c: u32, slot: usize, life: u64, bytes: &[u8]) {
        let (h, now) = (self.clients[c as usize].host, self.now);
        let Some(pipe) = self.clients[c as usize].pipe_of(slot, life) else { return };
        let failed = pipe.session.take(bytes).is_err();
        let session = pipe.number;
        let mut events = Vec::new();
        while let Some(e) = pipe.session.next_event() {
            events.push(e);
        }
        for e in events {
            match e {
                target::Event::Begun { command } => {
                    if let Some(pipe) = self.clients[c as usize].pipe_of(slot, life) {
                        pipe.began.insert(command, now);
                    }
                }
                target::Event::Submit { command, lun, block, work, expiry_ms } => {
                    let pipe = self.clients[c as usize].pipe_of(slot, life);
                    let began = pipe.and_then(|p| p.began.remove(&command)).unwrap_or(now);
                    let work = match work {
                        target::Work::Read { blocks } => Work::Read { blocks },
                        target::Work::Write { data } => Work::Write { data },
                    };
                    let asked = expiry_ms.map(|ms| u64::from(ms) * 1000);
                    self.submit(h, CommandRef { session, command }, lun, block, work, began, asked);
                }
                target::Event::Abort { command } => {
                    if self.hosts[h as usize].submitted.remove(&(session, command)).is_some() {
                        self.note(tackmast_trace::Event::Left { host: h, session, command });
                    }
                    let at_host = self.time(h);
                    self.hosts[h as usize].core.abort(at_host, CommandRef { session, command });
                }
                target::Event::Close(_) | target::Event::Note(_) => {}
            }
        }
        self.flush(c, slot, life);
        self.pull(h);
        let over = self.clients[c as usize].pipe_of(slot, life).is_some_and(|p| p.session.is_over());
        if failed || over {
            self.drop_pipe(c, slot, life);
            self.push(now + self.w.delay_us, Event::Closed(c, slot, life));
        }
    }

    /// What a session has to say goes on its way.
    fn flush(&mut self, c: u32, slot: usize, life: u64) {
        let Some(pipe) = self.clients[c as usize].pipe_of(slot, life) else { return };
        let bytes = pipe.session.output();
        if !bytes.is_empty() {
            self.carry(c, slot, life, &bytes, false);
        }
    }

    /// A part of all connections ends at once, at both sides.
    fn hang_up(&mut self, part: f64) {
        for c in 0..self.clients.len() as u32 {
            for slot in 0..self.clients[c as usize].slots.len() {
                let life = self.clients[c as usize].slots[slot].life;
                if life > 0 && self.chance.rand_float() < part {
                    self.closed(c, slot, life);
                }
            }
        }
    }
}
