//! The run: one queue of events by time, hosts, links, nodes, list and clients.

use crate::draw::{Kind, World};
use bytes::Bytes;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use tackmast::interface::{Instant, ListKind, NodeState, Outcome, ShardId, ZoneId};
use tackmast_config::HostSettings;
use tackmast_hostcore::{
    CommandRef, Core, LegBack, LegId, LegWork, ListEntry, Output, SendLeg, Verdict, Work,
};
use tackmast_standins::model::{How, Ills, Job, Model, Nature};
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
const WARM_S: f64 = 2.0;
const COLD_FROM: f64 = 0.25;
const FALL_S: f64 = 1.0;
const EXPIRY: [Us; 3] = [1_200_000, 1_000_000, 1_000_000];

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
}

pub struct Run {
    pub trace: Vec<Line>,
    pub asked: u64,
    pub done: u64,
    pub in_time: u64,
    pub deferred: u64,
    pub abandoned: u64,
    /// Commands or legs left in hosts' tables after all is over.
    pub stuck: usize,
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
    Answer(u32, u64, u32, AnswerKindOrd, u64),
}

/// The answer's kind with an order, as events have one.
type AnswerKindOrd = u8;

struct Link {
    life: u64,
    to_node: Frames,
    to_host: Frames,
    /// When the last bytes of each direction arrive: they keep their order.
    last: [Us; 2],
    legs: BTreeMap<u64, LegName>,
}

struct Host {
    core: Core,
    life: u64,
    up: bool,
    wake: Us,
    links: BTreeMap<u32, Link>,
    following: bool,
    next: u32,
    submitted: BTreeMap<u32, (Us, Us)>, // command: when, SLO time
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

struct Sim<'a> {
    w: &'a World,
    mutant: Option<Mutant>,
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
    lives: u64,
    sends: u64,
    answers: u64,
    run: Run,
}

fn at(us: Us) -> Instant {
    Instant::from_secs(us as f64 / 1e6)
}

fn us(t: Instant) -> Us {
    (t.secs() * 1e6).round().max(0.0) as Us
}

fn settings(w: &World, host: u32, mutant: Option<Mutant>) -> HostSettings {
    let shards: Vec<String> = (0..w.nodes).map(|n| n.to_string()).collect();
    let shards = shards.join(", ");
    let capacity = f64::from(w.cores) / w.unit_s;
    let budget = "further_legs {\n  free = 3\n  share = 0.25\n  window_s = 2\n}\n";
    let cold = format!(
        "cold_nodes {{\n  safe_units = {}\n  from = {COLD_FROM}\n  warm_s = {WARM_S}\n  window_s = {FALL_S}\n  multiple = 2\n}}\n",
        capacity * COLD_FROM * 2.0 * FALL_S
    );
    let volume_hosts = w.hosts.min(3);
    let told = if mutant == Some(Mutant::LimitAlone) { 1 } else { volume_hosts };
    let burst = 16.0 * f64::from(volume_hosts) + 20.0;
    let text = format!(
        r#"
host {{
  number = {host}
  hosts = {hosts}
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
  seed = 1
}}
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
  reads = "read"
  writes = "log"
}}
volume "school" {{
  lun = 1
  plan = "basic"
  blocks = 100000
  extent_blocks = 64
  shards = [{shards}]
  hosts = {told}
  reads = "read"
  writes = "save"
}}
"#,
        hosts = w.hosts,
        limit = 30.0 * f64::from(volume_hosts),
        order = mutant != Some(Mutant::OrderIgnored),
        budget = if mutant == Some(Mutant::BudgetIgnored) { "" } else { budget },
        cold = if mutant == Some(Mutant::ColdIgnored) { "" } else { &cold },
    );
    HostSettings::parse("lab", &text).unwrap_or_else(|e| panic!("the lab's own settings: {e}"))
}

/// Plays a world to its end.
pub fn run(w: &World, mutant: Option<Mutant>) -> Run {
    let nature = Nature {
        cores: w.cores,
        unit_s: w.unit_s,
        queue: 400,
        cold_from: COLD_FROM,
        warm_s: WARM_S,
        fall_multiple: 2.0,
        fall_s: FALL_S,
        ..Nature::default()
    };
    let node = |n: u32| SimNode {
        model: Model::new(0, nature.clone(), w.seed * 1000 + u64::from(n), false),
        address: format!("10.0.{}.{}:9000", n / 250, n % 250),
        up: true,
        silent: false,
        started: 0,
        next: 0,
        held: BTreeMap::new(),
        served: BTreeMap::new(),
        total: BTreeMap::new(),
        wake: 0,
        listed: NodeState::Ready,
        listed_start: 0,
        generation: 0,
    };
    let mut sim = Sim {
        w,
        mutant,
        settings: (0..w.hosts).map(|h| settings(w, h, mutant)).collect(),
        // Time begins late enough that what is long past has a place before it.
        now: 100_000_000,
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
        lives: 0,
        sends: 0,
        answers: 0,
        run: Run {
            trace: Vec::new(),
            asked: 0,
            done: 0,
            in_time: 0,
            deferred: 0,
            abandoned: 0,
            stuck: 0,
            events: 0,
            most_open: (0, 0, 0),
        },
    };
    sim.play();
    sim.run.trace.sort_by_key(|l| l.t);
    sim.run
}

impl Sim<'_> {
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
            self.note_node_up(n, 1.0);
        }
        let start = self.now;
        for h in 0..self.w.hosts {
            let host = self.new_host(h);
            self.hosts.push(host);
            self.note(Seen::HostUp { host: h });
            self.push(start, Event::HostTime(h));
            let first = start + (self.chance.rand_float() * 20_000.0) as Us;
            self.push(first, Event::Arrive(h));
        }
        for (i, t) in self.w.troubles.iter().enumerate() {
            self.push(start + t.at_us, Event::Trouble(i, true));
            self.push(start + t.at_us + t.for_us, Event::Trouble(i, false));
        }
        let end = start + (self.w.seconds * 1e6) as Us + AFTER;
        while let Some(Reverse((t, _, e))) = self.queue.pop() {
            if t > end {
                break;
            }
            self.now = t;
            self.run.events += 1;
            self.event(e, end - AFTER);
        }
        self.now = end;
        self.note(Seen::Trouble { what: "end".into(), on: false });
        for h in self.hosts.iter().filter(|h| h.up) {
            let (commands, xfers, legs) = h.core.open();
            self.run.stuck += commands + xfers + legs;
        }
    }

    fn facts(&self) -> Facts {
        let s = settings(self.w, 0, None);
        let stream = |name: &str, effect, in_order| StreamFacts {
            name: name.into(),
            slo_us: 250_000,
            effect,
            window_us: 2_000_000,
            in_order,
        };
        let p = &s.plans[0];
        Facts {
            streams: vec![
                stream("read", EffectKind::Repeatable, false),
                stream("log", EffectKind::Unrepeatable, true),
                stream("save", EffectKind::KeyedZone, false),
            ],
            volumes: [(0, "premium", 0.0, 0.0, 0.0), (1, "basic", p.limit, p.burst, p.slack)]
                .map(|(volume, plan, limit, burst, slack)| VolumeFacts {
                    volume,
                    plan: plan.into(),
                    limit,
                    burst,
                    slack,
                    extent_bytes: 64 * 512,
                })
                .to_vec(),
            unit_bytes: 4096,
            most_units: 8.0,
            answer_slack_us: 1000,
            grace_us: DRAIN_GRACE,
            cold_multiple: 2.0,
            cold_window_us: (FALL_S * 1e6) as Us,
            cold_safe_units: s.cold.as_ref().map_or(0.0, |c| c.safe_units),
            settle_us: 300_000,
            further: Some((3.0, 0.25, 2_000_000)),
            // The way of a message, one way and back, and the jitter of both.
            skew_us: 2 * (self.w.delay_us + self.w.jitter_us) + 2000,
        }
    }

    fn new_host(&mut self, h: u32) -> Host {
        self.lives += 1;
        let seed = self.w.seed ^ self.lives << 20;
        let core = Core::new(at(self.now), &self.settings[h as usize], seed, self.lives);
        Host {
            core,
            life: self.lives,
            up: true,
            wake: Us::MAX,
            links: BTreeMap::new(),
            following: false,
            next: 0,
            submitted: BTreeMap::new(),
        }
    }

    fn note_node_up(&mut self, n: usize, cold_from: f64) {
        let node = &self.nodes[n];
        let (address, capacity) = (node.address.clone(), node.model.capacity());
        let warm_us = if cold_from < 1.0 { (WARM_S * 1e6) as Us } else { 0 };
        let (zone, shard) = (n as u32 % 3, n as u32);
        self.note(tackmast_trace::Event::NodeUp { node: address, zone, shard, capacity, cold_from, warm_us });
    }

    fn event(&mut self, e: Event, last: Us) {
        match e {
            Event::Trouble(i, on) => self.trouble(i, on),
            Event::Arrive(h) => self.arrive(h, last),
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
                    let now = at(self.now);
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
                if host.life == life && host.up && host.submitted.remove(&command).is_some() {
                    self.note(tackmast_trace::Event::Left { host: h, session: 1, command });
                    let from = CommandRef { session: 1, command };
                    self.hosts[h as usize].core.abort(at(self.now), from);
                    self.pull(h);
                }
            }
            Event::Answer(h, life, command, kind, come_back_us) => {
                self.answered(h, life, command, kind, come_back_us)
            }
        }
    }

    fn arrive(&mut self, h: u32, last: Us) {
        let gap = -(1.0 - self.chance.rand_float()).ln() / (self.w.rate * self.surge).max(0.01);
        let next = self.now + (gap * 1e6) as Us + 1;
        if next < last {
            self.push(next, Event::Arrive(h));
        }
        if !self.hosts[h as usize].up {
            return;
        }
        // The limited volume comes through the first hosts only, as it was told.
        let lun = u32::from(h < self.w.hosts.min(3) && self.chance.rand_float() < 0.4);
        let write = self.chance.rand_float() < 0.4;
        let blocks = self.chance.rand_range(1..25) as u32;
        let span = if write && lun == 0 { 640 } else { 50_000 };
        let block = self.chance.rand_range(0..span);
        let stream = match (write, lun) {
            (false, _) => 0,
            (true, 0) => 1,
            _ => 2,
        };
        let host = &mut self.hosts[h as usize];
        host.next += 1;
        let command = host.next;
        host.submitted.insert(command, (self.now, if write { 250_000 } else { 200_000 }));
        let (expiry_us, life) = (EXPIRY[stream], host.life);
        self.run.asked += 1;
        let (offset, bytes) = (block * 512, u64::from(blocks) * 512);
        let (session, volume, stream) = (1, lun, stream as u32);
        self.note(tackmast_trace::Event::Submit {
            host: h,
            session,
            command,
            volume,
            stream,
            write,
            offset,
            bytes,
            expiry_us,
        });
        let work = match write {
            true => Work::Write { data: Bytes::from(vec![0; bytes as usize]) },
            false => Work::Read { blocks },
        };
        let now = at(self.now);
        let from = CommandRef { session, command };
        self.hosts[h as usize].core.submit(now, from, lun, block, work, now, None, None);
        if self.chance.rand_float() < self.leave {
            let later = self.now + self.chance.rand_range(0..400_000);
            self.push(later, Event::Leave(h, life, command));
        }
        self.pull(h);
    }

    /// Carries out what the core wants done.
    fn pull(&mut self, h: u32) {
        if !self.hosts[h as usize].up {
            return;
        }
        let now = at(self.now);
        self.hosts[h as usize].core.tick(now);
        while let Some(o) = self.hosts[h as usize].core.next_output(now) {
            match o {
                Output::Send(leg) => self.send(h, *leg),
                Output::Cancel { node, leg } | Output::Cut { node, leg } => {
                    let cancel = Frame::Cancel { leg: leg.0 }.to_bytes();
                    self.pass_on(h, node.0, &cancel, true);
                }
                Output::Answer { to, verdict } => self.answer(h, to.command, &verdict),
                Output::FollowList { .. } | Output::FetchList => self.follow(h),
                Output::Keep { .. } | Output::Reply { .. } | Output::Mode { .. } => {}
            }
        }
        let host = &mut self.hosts[h as usize];
        let open = host.core.open();
        let most = &mut self.run.most_open;
        *most = (most.0.max(open.0), most.1.max(open.1), most.2.max(open.2));
        if let Some(t) = host.core.next_wake(now).map(us).filter(|t| *t < host.wake) {
            host.wake = t.max(self.now + 1);
            let t = host.wake;
            self.push(t, Event::HostTime(h));
        }
    }

    fn answer(&mut self, h: u32, command: u32, verdict: &Verdict) {
        self.answers += 1;
        let (kind, come_back_us) = match verdict {
            Verdict::Done { .. } => (0, 0),
            Verdict::Deferred { come_back } => (1, come_back.map_or(0, |w| (w.secs() * 1e6) as u64)),
            Verdict::Abandoned if self.mutant == Some(Mutant::DeferredLie) => (1, 0),
            Verdict::Abandoned => (2, 0),
        };
        let life = self.hosts[h as usize].life;
        let now = self.now;
        let odd = self.answers.is_multiple_of(50);
        match self.mutant {
            Some(Mutant::AnswerLost) if odd => return,
            Some(Mutant::AnswerLate) if odd => {
                return self.push(now + 1_200_000, Event::Answer(h, life, command, kind, come_back_us));
            }
            Some(Mutant::AnswerTwice) if odd => {
                self.note(tackmast_trace::Event::Answer {
                    host: h,
                    session: 1,
                    command,
                    kind: AnswerKind::Deferred,
                    come_back_us: 0,
                });
            }
            _ => {}
        }
        // Clients sit beside their hosts: what their way costs is no part of this model.
        self.answered(h, life, command, kind, come_back_us);
    }

    fn answered(&mut self, h: u32, life: u64, command: u32, kind: u8, come_back_us: u64) {
        let host = &mut self.hosts[h as usize];
        if host.life != life {
            return;
        }
        let Some((began, slo)) = host.submitted.remove(&command) else { return };
        let kind = [AnswerKind::Done, AnswerKind::Deferred, AnswerKind::Abandoned][usize::from(kind)];
        match kind {
            AnswerKind::Done => {
                self.run.done += 1;
                self.run.in_time += u64::from(self.now - began <= slo);
            }
            AnswerKind::Deferred => self.run.deferred += 1,
            _ => self.run.abandoned += 1,
        }
        self.note(tackmast_trace::Event::Answer { host: h, session: 1, command, kind, come_back_us });
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
        leg.ticket.claim();
        leg.ticket.written();
        let name = LegName { host: h, life, xfer: leg.xfer, leg: leg.leg_no };
        let frame = |leg_no: u8| {
            Frame::Send(node::SendLeg {
                leg: leg.leg.0,
                xfer: leg.xfer,
                leg_no,
                origin: Origin { session: leg.from.session, command: leg.from.command, part: leg.part },
                sent_us: self.now,
                left_us: us(leg.until).saturating_sub(self.now) as u32,
                mark: leg.mark,
                key: leg.key,
                volume: leg.volume,
                offset: leg.offset,
                units: leg.units as f32,
                work: match &leg.work {
                    LegWork::Read { length } => node::Work::Read { length: *length },
                    LegWork::Write { data } => node::Work::Write { data: data.clone() },
                },
            })
            .to_bytes()
        };
        // A leg counts from when its host sends it: what the network holds back after that is no fault of its.
        let (write, length) = match &leg.work {
            LegWork::Read { length } => (false, u64::from(*length)),
            LegWork::Write { data } => (true, data.len() as u64),
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
            left_us: us(leg.until).saturating_sub(self.now),
        };
        let (first, second) = (seen(leg.leg_no), seen(leg.leg_no + 1));
        let bytes = frame(leg.leg_no);
        let twice = (self.mutant == Some(Mutant::SecondLegEarly) && self.sends.is_multiple_of(100))
            .then(|| frame(leg.leg_no + 1));
        self.note(first);
        if twice.is_some() {
            self.note(second);
        }
        self.open_link(h, n);
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
        let new = || Link {
            life,
            to_node: node::frames(1 << 20),
            to_host: node::frames(1 << 20),
            last: [0; 2],
            legs: BTreeMap::new(),
        };
        self.hosts[h as usize].links.entry(n).or_insert_with(new);
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
            let until = leg.sent_us + u64::from(leg.left_us);
            let job = Job { id, units, write, key: leg.key, further: leg.leg_no > 0, until };
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
            let (waiting, address) = (node.model.waiting() as u32, node.address.clone());
            let ran = how == How::Done && self.first_run(n % 3, x.mark);
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
        known.is_none_or(|t| t + MARKS < self.now)
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
        let now = at(self.now);
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
        let now = at(self.now);
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
            let cold = (started_us > 0 && self.mutant != Some(Mutant::ColdIgnored)).then(|| at(started_us));
            lines.push(ListEntry {
                address: address.clone(),
                state: if ignored { NodeState::Ready } else { state },
                zone: ZoneId(i % 3),
                shard: ShardId(*i),
                up_since: cold,
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
        let now = at(self.now);
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
        self.note_node_up(n as usize, COLD_FROM);
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
            Kind::Pause | Kind::Restart | Kind::MassRestart | Kind::Resets => {}
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
        let (life, links) = (host.life, std::mem::take(&mut host.links));
        for (n, l) in links {
            let node = self.nodes[n as usize].address.clone();
            let legs = l.legs.values().copied().collect();
            self.note(tackmast_trace::Event::LinkDown { node, host: h, life, legs });
        }
        self.note(tackmast_trace::Event::HostDown { host: h });
    }
}
