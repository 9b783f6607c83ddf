//! The state machine: inputs, the tables, and the outputs.

mod agreed;
mod attempts;
mod commands;
mod fellows;
mod listed;
mod orders;
mod stops;

use crate::admission::{Admission, Held};
use crate::agreed::Agreed;
use crate::combine::{combine, Combined, PartEnd};
use crate::fellows::{Fellows, Followed};
use crate::layout::{key_id, Layout};
use crate::nodes::{ListEntry, Nodes};
use crate::orders::{Ask, Keep, Next, Orders, OrdersStatus, Reply};
use crate::placed::{Placed, PlacedSettings, Request, VolumeNames};
use crate::plans::{Holds, Move, PlanAsk, PlanNext, PlanReply, Plans};
use crate::sharing::{LineName, Place, Sharing};
use crate::ticket::Ticket;
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use tackmast::interface::*;
use tackmast::policy::Scheduler;
use tackmast_config::{HostSettings, TrafficClass};
use tackmast_overrides::{Effective, NodeFacts, Overrides};

/// Parts of the stated figures of cold nodes that the module is told. Within one window its guard lets out its part of
/// the safe units at once, a quarter of them again by time, and four fifths of the multiple for what it saw a node do:
/// 1.25 and 0.8 of the two figures. Where operators state figures without any margin, the two together would push a
/// cold node over while its answers are quick errors (found by the laboratory); 1.25 x 0.4 + 0.8 x 0.6 can't.
const COLD_SAFE_PART: f64 = 0.4;
const COLD_MULTIPLE_PART: f64 = 0.6;
/// The least of these parts that is told, where nodes are said to bear hardly more than they can do.
const COLD_MIN_PART: f64 = 0.05;

/// Safe units and multiple as the module is told of them. What a node has done makes room as well, up to all that it can
/// do in the window; so burst and time share only what the multiple leaves beyond that.
fn cold_figures(c: &tackmast_config::SlowStartBlock) -> (f64, f64) {
    let spare = ((c.multiple - 1.0) / c.multiple).clamp(COLD_MIN_PART, 1.0);
    (c.safe_units * COLD_SAFE_PART * spare, c.multiple * COLD_MULTIPLE_PART * spare)
}
/// Part of the grace of a drain after which links that still write to the node are cut.
const GRACE_PART: f64 = 0.5;

/// A client's command: its session at this host, and its number within that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommandRef {
    pub session: u32,
    pub command: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    Read { blocks: u32 },
    Write { data: Bytes },
}

/// What an attempt asks of its node; lengths in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptWork {
    Read {
        length: u32,
    },
    Write {
        data: Bytes,
    },
    /// As it came; its host only places it.
    Request(Request),
}

/// What every attempt of a request says.
struct AttemptText {
    key: u64,
    volume: u32,
    offset: u64,
    units: f64,
    work: AttemptWork,
}

impl AttemptText {
    /// How many bytes an answer must bring; none: only its node knows.
    fn wanted(&self) -> Option<usize> {
        match &self.work {
            AttemptWork::Read { length } => Some(*length as usize),
            AttemptWork::Write { .. } => Some(0),
            AttemptWork::Request(_) => None,
        }
    }
}

/// The one final answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Done { data: Bytes },
    Rejected { retry_after: Option<TimeDelta> },
    Failed,
}

/// An attempt among all that this host has out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

#[derive(Clone, Debug)]
pub struct SendAttempt {
    pub node: NodeId,
    pub attempt: AttemptId,
    /// The request's number in this generation of the host, the attempt's within the request.
    pub request: u64,
    pub attempt_number: u8,
    pub from: CommandRef,
    pub part: u16,
    /// When nobody waits for its answer any more.
    pub until: Instant,
    /// When a repeat may no longer be known for one: no first byte leaves from then on.
    pub begin_by: Option<Instant>,
    pub mark: u128,
    /// Order key; 0 where the traffic class asks for no order.
    pub key: u64,
    pub volume: u32,
    /// Bytes from the volume's start.
    pub offset: u64,
    pub units: f64,
    pub work: AttemptWork,
    pub ticket: Ticket,
}

/// Whether an attempt's first byte may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// It leaves now: claimed.
    Now,
    /// It was withdrawn, and has had its end.
    Withdrawn,
    /// Its time is over. It never leaves, and its link says that it never ran.
    TooLate,
}

impl SendAttempt {
    /// Asked by its link once it could write, which may be long after the attempt was decided: against a connection that comes
    /// up when nobody waits any more, and against a repeat that nodes no longer know for one.
    pub fn begin(&self, now: Instant) -> Begin {
        let over = self.until <= now || self.begin_by.is_some_and(|t| t <= now);
        match () {
            () if over && self.ticket.withdraw() => Begin::TooLate,
            () if !over && self.ticket.claim() => Begin::Now,
            () => Begin::Withdrawn,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Output {
    Send(Box<SendAttempt>),
    /// Nobody waits for this attempt any more.
    Cancel {
        node: NodeId,
        attempt: AttemptId,
    },
    /// The same, and its link is still writing it to a node that takes no bytes: what has not left by now must
    /// not leave later, so the connection ends here.
    Cut {
        node: NodeId,
        attempt: AttemptId,
    },
    Answer {
        to: CommandRef,
        verdict: Verdict,
    },
    /// Follow the node list from the version that is known.
    FollowList {
        since: u64,
    },
    /// Ask for the complete list: a change is missing.
    FetchList,
    /// To be written durably, all or nothing, and then told of by `kept` under this number; 0: no word is wanted.
    Keep {
        request: u64,
        keep: Keep,
    },
    Reply {
        request: u64,
        reply: Reply,
    },
    /// To another host.
    Datagram {
        to: std::net::SocketAddr,
        bytes: Bytes,
    },
    /// A change of mode, with its figures, and the node it is about.
    Mode {
        node: Option<NodeId>,
        line: String,
    },
}

/// What came back for an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub attempt: AttemptId,
    pub outcome: Outcome,
    /// Requests waiting at the node, and units it served for the volume through other hosts, where it told.
    pub waiting: Option<u32>,
    pub elsewhere: Option<f64>,
    pub data: Bytes,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub taken: u64,
    pub over_bound: u64,
    pub done: u64,
    pub rejected: u64,
    pub failed: u64,
    pub left: u64,
    pub attempts: u64,
    pub retries: u64,
    pub timed_out: u64,
    pub withdrawn: u64,
    pub cut: u64,
    pub strays: u64,
    pub short_answers: u64,
    pub nodes_over_bound: u64,
}

struct Out {
    no: u32,
    node: NodeId,
    sent: Instant,
    until: Instant,
    ticket: Ticket,
}

struct PendingRequest {
    serial: u64,
    from: CommandRef,
    part: u16,
    text: AttemptText,
    traffic_class: usize,
    deadline: Instant,
    attempts: u32,
    out: Vec<Out>,
    /// In its session's turn, until its first attempt leaves.
    place: Option<Place>,
    /// Whether an attempt may have had an effect; those that are out count by their ticket.
    ran: bool,
    answered: bool,
}

impl PendingRequest {
    fn new(
        serial: u64,
        (from, part): (CommandRef, u16),
        text: AttemptText,
        traffic_class: usize,
        deadline: Instant,
        place: Option<Place>,
    ) -> Self {
        PendingRequest {
            serial,
            from,
            part,
            text,
            traffic_class,
            deadline,
            attempts: 0,
            out: Vec::new(),
            place,
            ran: false,
            answered: false,
        }
    }

    fn may_have_run(&self) -> bool {
        self.ran || self.out.iter().any(|o| o.ticket.is_claimed())
    }
}

struct Command {
    parts: Vec<(RequestId, Option<PartEnd>, Bytes)>,
    traffic_class: usize,
    volume: usize,
    marked: bool,
    bytes: usize,
    write: bool,
}

pub struct Core {
    scheduler: Scheduler,
    layout: Layout,
    volume_names: VolumeNames,
    traffic_classes: Vec<TrafficClass>,
    tells: bool,
    lead: TimeDelta,
    longest_wait: TimeDelta,
    generation: u64,
    nodes: Nodes,
    admission: Admission,
    sharing: Sharing,
    commands: HashMap<CommandRef, Command>,
    sessions: HashMap<u32, BTreeSet<u32>>, // open commands
    requests: HashMap<RequestId, PendingRequest>,
    serial: u64,
    at_node: BTreeMap<NodeId, BTreeSet<(RequestId, u32)>>, // attempts out
    until: BTreeSet<(Instant, RequestId, u32)>,            // the same, by the end of their time
    grace: TimeDelta,
    cuts: BTreeSet<(Instant, NodeId)>, // when what is still being written to a node that drains is cut off
    list_version: u64,
    stops: stops::Stops,
    orders: Option<Orders>,
    fellows: Option<Fellows>,
    plans: Option<Plans>,
    agreed: Option<Agreed>,
    /// The host is ending: since when, and nothing new is taken.
    draining: bool,
    number: u32,
    wall_offset_us: i64,
    outputs: VecDeque<Output>,
    pub counters: Counters,
}

impl Core {
    /// `address_generation` differs between all generations of all hosts; `seed` is for chance in decisions.
    pub fn new(now: Instant, s: &HostSettings, seed: u64, generation: u64) -> Self {
        let tick = TimeDelta::from_secs(s.host.clock_resolution_ms / 1e3);
        let longest = TimeDelta::from_secs(s.load.longest_wait_s);
        let mut scheduler = Scheduler::new(now, seed, s.host.hosts, tick, s.units.mean_per_request);
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
        if let Some(f) = &s.retry_budget {
            scheduler.set_retry_budget(f.free, f.share, TimeDelta::from_secs(f.window_s));
        }
        if let Some(c) = &s.slow_start {
            let (warm, window) = (TimeDelta::from_secs(c.ramp_s), TimeDelta::from_secs(c.window_s));
            let (safe_units, overload_multiple) = cold_figures(c);
            scheduler.set_slow_start(SlowStart {
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
            tells: s.load.tells_others,
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

    /// A host whose requests arrive already placed, round a module that has its settings.
    pub fn placed(now: Instant, scheduler: Scheduler, s: PlacedSettings, generation: u64) -> Self {
        Core {
            scheduler,
            layout: Layout::default(),
            volume_names: VolumeNames::new(s.volumes),
            traffic_classes: s.traffic_classes,
            tells: s.tells,
            lead: TimeDelta::ZERO,
            longest_wait: s.longest_wait,
            generation,
            nodes: Nodes::new(s.nodes),
            admission: Admission::new(now, s.requests, s.bytes, s.longest_wait),
            sharing: Sharing::default(),
            commands: HashMap::new(),
            sessions: HashMap::new(),
            requests: HashMap::new(),
            serial: 0,
            at_node: BTreeMap::new(),
            until: BTreeSet::new(),
            grace: TimeDelta::from_secs(s.grace.secs() * GRACE_PART),
            cuts: BTreeSet::new(),
            list_version: 0,
            stops: stops::Stops::default(),
            orders: None,
            fellows: None,
            plans: None,
            agreed: None,
            draining: false,
            number: 0,
            wall_offset_us: 0,
            outputs: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    pub fn layout(&self) -> &Layout {
        &self.layout
    }

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

    /// Lines of sessions with something waiting, and sessions remembered in them.
    pub fn sharing(&self) -> (usize, usize) {
        self.sharing.kept()
    }

    /// Order keys that the module remembers.
    pub fn keys_in_order(&self) -> usize {
        self.scheduler.key_queue_count()
    }

    /// Commands without an answer, requests that are kept, and attempts out.
    pub fn open(&self) -> (usize, usize, usize) {
        (self.commands.len(), self.requests.len(), self.until.len())
    }
}

/// Inputs.
impl Core {
    /// What each shard did for this host, units a second; and what an earlier generation of it saw.
    pub fn paces(&self, now: Instant) -> Vec<(ShardId, f64)> {
        self.scheduler.service_rates(now)
    }

    pub fn pace_known(&mut self, now: Instant, shard: ShardId, rate: f64) {
        self.scheduler.service_rate_restored(now, shard, rate);
    }

    /// Time has passed: attempts whose time is up end.
    pub fn tick(&mut self, now: Instant) {
        self.tick_orders(now);
        self.tick_agreed(now);
        if self.fellows.as_ref().is_some_and(|f| f.member.poll_timeout() <= now) {
            if let Some(f) = &mut self.fellows {
                f.member.handle_timeout(now);
            }
            self.follow_fellows(now);
        }
        while let Some((_, node)) = self.cuts.first().copied().filter(|(t, _)| *t <= now) {
            self.cuts.pop_first();
            let stopped = self.is_stopped(now, node);
            for (id, no) in self.at_node.get(&node).cloned().unwrap_or_default() {
                let attempt = self.requests.get(&id).and_then(|x| x.out.iter().find(|o| o.no == no));
                if stopped && attempt.is_some_and(|o| o.ticket.is_stuck()) {
                    self.counters.cut += 1;
                    self.outputs.push_back(Output::Cut { node, attempt: attempt_id(id, no) });
                }
            }
        }
        while let Some((_, id, no)) = self.until.first().copied().filter(|(t, _, _)| *t <= now) {
            let attempt = self.requests.get(&id).and_then(|x| x.out.iter().find(|o| o.no == no));
            let Some((node, unsent, stuck)) =
                attempt.map(|o| (o.node, o.ticket.withdraw(), o.ticket.is_stuck()))
            else {
                self.until.pop_first();
                continue;
            };
            let outcome = if unsent { Outcome::Refused } else { Outcome::TimedOut };
            match unsent {
                true => self.counters.withdrawn += 1,
                false => {
                    self.counters.timed_out += 1;
                    self.push_cancel(node, attempt_id(id, no), stuck);
                }
            }
            self.attempt_over(now, id, no, outcome, None, Bytes::new());
        }
    }
}

fn attempt_id(id: RequestId, no: u32) -> AttemptId {
    AttemptId(u64::from(id.0) << 8 | u64::from(no & 0xff))
}

/// Outputs.
impl Core {
    /// What is to be done next; none: nothing more at this moment.
    pub fn next_output(&mut self, now: Instant) -> Option<Output> {
        loop {
            if let Some(o) = self.outputs.pop_front() {
                return Some(o);
            }
            // Whatever came meanwhile, and however long this host stood still: nothing leaves by what counts no more.
            self.look_at_lease(now);
            let decision = self.scheduler.poll_decision(now)?;
            self.carry_out(now, decision);
        }
    }

    /// When to come back if nothing else happens before.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let attempt = self.until.first().map(|(t, _, _)| *t);
        let cut = self.cuts.first().map(|(t, _)| *t);
        let ends = self.orders.as_ref().and_then(|o| o.next(now));
        let fellows = self.fellows.as_ref().map(|f| f.member.poll_timeout());
        let agreed = self.agreed.as_ref().map(|a| a.next_wake(now));
        [attempt, cut, ends, fellows, agreed, self.scheduler.poll_timeout()].into_iter().flatten().min()
    }
}

fn facts((address, e): (&str, &NodeEntry)) -> Option<NodeFacts> {
    Some(NodeFacts { address: address.parse().ok()?, zone: e.zone.0, shard: e.shard.0, listed: e.state })
}

fn joined(parts: &[(RequestId, Option<PartEnd>, Bytes)], bytes: usize) -> Bytes {
    if let [(_, _, only)] = parts {
        return only.clone();
    }
    let mut all = BytesMut::with_capacity(bytes);
    parts.iter().for_each(|(_, _, data)| all.extend_from_slice(data));
    all.freeze()
}
