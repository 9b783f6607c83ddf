//! The state machine: inputs, the tables, and the outputs.

use crate::admission::{Admission, Held};
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
use tackmast_config::{HostSettings, Stream};
use tackmast_overrides::{Effective, NodeFacts, Overrides};

/// Parts of the stated figures of cold nodes that the module is told. Within one window its guard lets out its part of
/// the safe units at once, a quarter of them again by time, and four fifths of the multiple for what it saw a node do:
/// 1.25 and 0.8 of the two figures. Where operators state figures without any margin, the two together would push a
/// cold node over while its answers are quick errors (found by the laboratory); 1.25 x 0.4 + 0.8 x 0.6 can't.
const COLD_SAFE_PART: f64 = 0.4;
const COLD_MULTIPLE_PART: f64 = 0.6;
/// The least of these parts that is told, where nodes are said to bear hardly more than they can do.
const COLD_LEAST_PART: f64 = 0.05;

/// Safe units and multiple as the module is told of them. What a node has done makes room as well, up to all that it can
/// do in the window; so burst and time share only what the multiple leaves beyond that.
fn cold_figures(c: &tackmast_config::ColdNodes) -> (f64, f64) {
    let spare = ((c.multiple - 1.0) / c.multiple).clamp(COLD_LEAST_PART, 1.0);
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

/// What a leg asks of its node; lengths in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LegWork {
    Read {
        length: u32,
    },
    Write {
        data: Bytes,
    },
    /// As it came; its host only places it.
    Request(Request),
}

/// What every leg of a transfer says.
struct LegText {
    key: u64,
    volume: u32,
    offset: u64,
    units: f64,
    work: LegWork,
}

impl LegText {
    /// How many bytes an answer must bring; none: only its node knows.
    fn wanted(&self) -> Option<usize> {
        match &self.work {
            LegWork::Read { length } => Some(*length as usize),
            LegWork::Write { .. } => Some(0),
            LegWork::Request(_) => None,
        }
    }
}

/// The one final answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Done { data: Bytes },
    Deferred { come_back: Option<Span> },
    Abandoned,
}

/// A leg among all that this host has out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LegId(pub u64);

#[derive(Clone, Debug)]
pub struct SendLeg {
    pub node: NodeId,
    pub leg: LegId,
    /// The transfer's number in this life of the host, the leg's within the transfer.
    pub xfer: u64,
    pub leg_no: u8,
    pub from: CommandRef,
    pub part: u16,
    /// When nobody waits for its answer any more.
    pub until: Instant,
    pub mark: u128,
    /// Order key; 0 where the stream type asks for no order.
    pub key: u64,
    pub volume: u32,
    /// Bytes from the volume's start.
    pub offset: u64,
    pub units: f64,
    pub work: LegWork,
    pub ticket: Ticket,
}

#[derive(Clone, Debug)]
pub enum Output {
    Send(Box<SendLeg>),
    /// Nobody waits for this leg any more.
    Cancel {
        node: NodeId,
        leg: LegId,
    },
    /// The same, and its link is still writing it to a node that takes no bytes: what has not left by now must
    /// not leave later, so the connection ends here.
    Cut {
        node: NodeId,
        leg: LegId,
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

/// What came back for a leg.
#[derive(Clone, Debug)]
pub struct LegBack {
    pub leg: LegId,
    pub outcome: Outcome,
    /// Transfers waiting at the node, and units it served for the volume through other hosts, where it told.
    pub waiting: Option<u32>,
    pub elsewhere: Option<f64>,
    pub data: Bytes,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub taken: u64,
    pub over_bound: u64,
    pub done: u64,
    pub deferred: u64,
    pub abandoned: u64,
    pub left: u64,
    pub legs: u64,
    pub further_legs: u64,
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

struct Xfer {
    serial: u64,
    from: CommandRef,
    part: u16,
    text: LegText,
    stream: usize,
    expiry: Instant,
    legs: u32,
    out: Vec<Out>,
    /// In its session's turn, until its first leg leaves.
    place: Option<Place>,
    /// Whether a leg may have had an effect; those that are out count by their ticket.
    ran: bool,
    answered: bool,
}

impl Xfer {
    fn new(
        serial: u64,
        (from, part): (CommandRef, u16),
        text: LegText,
        stream: usize,
        expiry: Instant,
        place: Option<Place>,
    ) -> Self {
        Xfer {
            serial,
            from,
            part,
            text,
            stream,
            expiry,
            legs: 0,
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
    parts: Vec<(XferId, Option<PartEnd>, Bytes)>,
    stream: usize,
    volume: usize,
    marked: bool,
    bytes: usize,
    write: bool,
}

pub struct Core {
    scheduler: Scheduler,
    layout: Layout,
    volume_names: VolumeNames,
    streams: Vec<Stream>,
    tells: bool,
    lead: Span,
    longest_wait: Span,
    life: u64,
    nodes: Nodes,
    admission: Admission,
    sharing: Sharing,
    commands: HashMap<CommandRef, Command>,
    sessions: HashMap<u32, BTreeSet<u32>>, // open commands
    xfers: HashMap<XferId, Xfer>,
    serial: u64,
    at_node: BTreeMap<NodeId, BTreeSet<(XferId, u32)>>, // legs out
    until: BTreeSet<(Instant, XferId, u32)>,            // the same, by the end of their time
    grace: Span,
    cuts: BTreeSet<(Instant, NodeId)>, // when what is still being written to a node that drains is cut off
    list_version: u64,
    orders: Option<Orders>,
    fellows: Option<Fellows>,
    plans: Option<Plans>,
    /// The host is ending: since when, and nothing new is taken.
    draining: bool,
    number: u32,
    wall_offset_us: i64,
    outputs: VecDeque<Output>,
    pub counters: Counters,
}

impl Core {
    /// `life` differs between all lives of all hosts; `seed` is for chance in decisions.
    pub fn new(now: Instant, s: &HostSettings, seed: u64, life: u64) -> Self {
        let tick = Span::from_secs(s.host.tick_ms / 1e3);
        let longest = Span::from_secs(s.load.longest_wait_s);
        let mut scheduler = Scheduler::new(now, seed, s.host.hosts, tick, s.units.mean);
        for st in &s.streams {
            scheduler.stream(st.slo, st.effect, st.in_order);
        }
        for p in &s.plans {
            scheduler.plan(p.limit, p.burst, p.slack, p.reserve, p.weight);
        }
        scheduler.leg_limits(s.load.most_legs, longest, Span::from_secs(s.load.settle_s));
        if let Some(f) = &s.further_legs {
            scheduler.further_leg_budget(f.free, f.share, Span::from_secs(f.window_s));
        }
        if let Some(c) = &s.cold {
            let (warm, window) = (Span::from_secs(c.warm_s), Span::from_secs(c.window_s));
            let (safe, multiple) = cold_figures(c);
            scheduler.cold_nodes(safe, c.from, warm, window, multiple);
            scheduler.work_saved(c.saved);
        }
        scheduler.list_must_be_asked();
        let placed = PlacedSettings {
            streams: s.streams.clone(),
            tells: s.load.tells_others,
            longest_wait: longest,
            grace: Span::from_secs(s.load.drain_grace_ms / 1e3),
            transfers: s.bounds.transfers,
            bytes: s.bounds.bytes,
            nodes: s.bounds.nodes,
            volumes: 0,
        };
        Core {
            layout: Layout::new(s),
            lead: Span::from_secs(s.host.answer_lead_ms / 1e3),
            number: s.host.number,
            ..Core::placed(now, scheduler, placed, life)
        }
    }

    /// A host whose transfers arrive already placed, round a module that has its settings.
    pub fn placed(now: Instant, scheduler: Scheduler, s: PlacedSettings, life: u64) -> Self {
        Core {
            scheduler,
            layout: Layout::default(),
            volume_names: VolumeNames::new(s.volumes),
            streams: s.streams,
            tells: s.tells,
            lead: Span::ZERO,
            longest_wait: s.longest_wait,
            life,
            nodes: Nodes::new(s.nodes),
            admission: Admission::new(now, s.transfers, s.bytes, s.longest_wait),
            sharing: Sharing::default(),
            commands: HashMap::new(),
            sessions: HashMap::new(),
            xfers: HashMap::new(),
            serial: 0,
            at_node: BTreeMap::new(),
            until: BTreeSet::new(),
            grace: Span::from_secs(s.grace.secs() * GRACE_PART),
            cuts: BTreeSet::new(),
            list_version: 0,
            orders: None,
            fellows: None,
            plans: None,
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

    /// Whether this host has a leg out at the node.
    pub fn has_legs_at(&self, node: NodeId) -> bool {
        self.at_node.contains_key(&node)
    }

    /// Lines of sessions with something waiting, and sessions remembered in them.
    pub fn sharing(&self) -> (usize, usize) {
        self.sharing.kept()
    }

    /// Order keys that the module remembers.
    pub fn keys_in_order(&self) -> usize {
        self.scheduler.keys_in_order()
    }

    /// Commands without an answer, transfers that are kept, and legs out.
    pub fn open(&self) -> (usize, usize, usize) {
        (self.commands.len(), self.xfers.len(), self.until.len())
    }
}

/// Inputs.
impl Core {
    /// A client's command, owed one answer. `began` is when its first byte came; `asked` the time its client
    /// waits, where that was negotiated; `mark` the client's own mark against repeats. The caller has checked
    /// that the volume exists and holds the blocks.
    #[allow(clippy::too_many_arguments)] // one decoded field, one argument
    pub fn submit(
        &mut self,
        now: Instant,
        from: CommandRef,
        lun: u32,
        block: u64,
        work: Work,
        began: Instant,
        asked: Option<Span>,
        mark: Option<u128>,
    ) {
        self.counters.taken += 1;
        let Some(volume) = self.layout.volume_of(lun) else {
            return self.refuse(from, None);
        };
        let v = self.layout.volume(volume);
        let block_bytes = v.block_bytes as usize;
        let (write, blocks) = match &work {
            Work::Read { blocks } => (false, *blocks),
            Work::Write { data } => (true, (data.len() / block_bytes) as u32),
        };
        let (plan, hosts, name) = (PlanId(v.plan), v.hosts, VolumeId(volume as u32));
        let stream = self.layout.stream(volume, write, blocks);
        let expiry = began + asked.unwrap_or(self.streams[stream].expiry) - self.lead;
        let parts = self.layout.parts(volume, stream, block, blocks);
        if self.draining || self.clients_wait(now) {
            return self.refuse(from, Some(self.longest_wait));
        }
        if expiry <= now || parts.is_empty() || self.commands.contains_key(&from) {
            return self.refuse(from, None);
        }
        let bytes = blocks as usize * block_bytes;
        // A full table answers at once with when to come back; nothing is dropped in silence.
        let held = Held { transfers: parts.len(), bytes };
        if let Err(wait) = self.admission.enter(now, from.session, volume, held) {
            self.counters.over_bound += 1;
            return self.refuse(from, Some(wait));
        }
        let data = match work {
            Work::Write { data } => Some(data),
            Work::Read { .. } => None,
        };
        let ids: Vec<XferId> = parts.iter().map(|_| self.new_id()).collect();
        let open = ids.iter().map(|id| (*id, None, Bytes::new())).collect();
        let command = Command { parts: open, stream, volume, marked: mark.is_some(), bytes, write };
        self.commands.insert(from, command);
        self.sessions.entry(from.session).or_default().insert(from.command);
        let mut taken = 0;
        for (i, (id, spec)) in ids.iter().zip(&parts).enumerate() {
            let n = spec.blocks as usize * block_bytes;
            let part_data = data.as_ref().map(|d| d.slice(taken..taken + n));
            taken += n;
            let serial = self.serial - (ids.len() - 1 - i) as u64;
            let line = LineName { shard: spec.shard.0, volume: name.0, stream: stream as u32 };
            let place = self.sharing.arrived(line, from.session, spec.units);
            if let Some(f) = &mut self.fellows {
                f.member.asked(now, lun, spec.units);
            }
            let tag = place.tag;
            let v = self.layout.volume(volume);
            let text = LegText {
                key: if self.streams[stream].in_order { spec.key } else { 0 },
                volume: v.lun,
                offset: spec.block * u64::from(v.block_bytes),
                units: spec.units,
                work: match part_data {
                    Some(data) => LegWork::Write { data },
                    None => LegWork::Read { length: spec.blocks * v.block_bytes },
                },
            };
            self.xfers.insert(*id, Xfer::new(serial, (from, i as u16), text, stream, expiry, Some(place)));
            self.scheduler.transfer_arrived(
                now,
                *id,
                StreamId(stream as u32),
                plan,
                Some(key_id(spec.key)),
                expiry - now,
                name,
                spec.units,
                Some(spec.shard),
                hosts,
            );
            self.scheduler.transfer_tagged(*id, tag);
        }
    }

    /// A transfer that its client has placed already, owed one answer. Volumes, keys and shards are the client's words.
    pub fn submit_placed(&mut self, now: Instant, from: CommandRef, p: Placed) {
        self.counters.taken += 1;
        if self.draining {
            return self.refuse(from, Some(self.longest_wait));
        }
        let known = self.scheduler.knows(p.stream, p.plan);
        if !known || p.left <= Span::ZERO || self.commands.contains_key(&from) {
            return self.refuse(from, None);
        }
        let open = |v: usize| self.commands.values().any(|c| c.volume == v);
        let Some(volume) = self.volume_names.number(now, p.volume, open) else {
            self.counters.over_bound += 1;
            return self.refuse(from, Some(self.longest_wait));
        };
        let bytes = p.request.bytes();
        if let Err(wait) = self.admission.enter(now, from.session, volume, Held { transfers: 1, bytes }) {
            self.counters.over_bound += 1;
            return self.refuse(from, Some(wait));
        }
        let (id, stream) = (self.new_id(), p.stream.0 as usize);
        let parts = vec![(id, None, Bytes::new())];
        // The client's own mark stands in the request: it is the same at each of its tries.
        self.commands.insert(from, Command { parts, stream, volume, marked: true, bytes, write: false });
        self.sessions.entry(from.session).or_default().insert(from.command);
        let work = LegWork::Request(p.request);
        let text = LegText { key: 0, volume: volume as u32, offset: 0, units: p.units, work };
        self.xfers.insert(id, Xfer::new(self.serial, (from, 0), text, stream, now + p.left, None));
        let (volume, key) = (VolumeId(volume as u32), Some(key_id(p.key)));
        self.scheduler
            .transfer_arrived(now, id, p.stream, p.plan, key, p.left, volume, p.units, p.shard, p.hosts);
    }

    /// The next number that no open transfer has. Answered ones keep theirs until their last leg is back.
    fn new_id(&mut self) -> XferId {
        loop {
            self.serial += 1;
            let id = XferId(self.serial as u32);
            if !self.xfers.contains_key(&id) {
                return id;
            }
        }
    }

    fn refuse(&mut self, to: CommandRef, come_back: Option<Span>) {
        self.counters.deferred += 1;
        self.outputs.push_back(Output::Answer { to, verdict: Verdict::Deferred { come_back } });
    }

    /// The host will end: what comes from now on is deferred, what is open goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Against a host that comes back with plans that have moved meanwhile: a lower limit may be in force by now.
    fn clients_wait(&mut self, now: Instant) -> bool {
        let Some(plans) = &mut self.plans else { return false };
        let up_to_date = self.fellows.as_ref().is_none_or(|f| f.member.papers.is_up_to_date());
        plans.clients_wait(now, up_to_date)
    }

    /// Takes plans in that change while the host runs; `first`: nothing of them is kept yet.
    pub fn with_plans(&mut self, now: Instant, mut plans: Plans, first: bool) {
        let resumed = plans.resumed();
        if first {
            let keep = Keep { changes: vec![(0, plans.anchor_line())], ..Keep::default() };
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
        if let Some(f) = &mut self.fellows {
            f.begin_papers(&plans);
        }
        self.plans = Some(plans);
        self.go_by(now, &resumed);
    }

    pub fn plans(&self) -> Option<&Plans> {
        self.plans.as_ref()
    }

    /// Tells the module what moves, and those who lend parts of limits.
    fn go_by(&mut self, now: Instant, moves: &[Move]) {
        for m in moves {
            match m {
                Move::Plan { plan, figures } => self.scheduler.plan_changed(now, *plan, *figures),
                Move::Volume { name, plan } => {
                    let Some(volume) = self.layout.volume_named(name) else { continue };
                    self.layout.put_under(volume, plan.0);
                    self.scheduler.volume_moved(now, VolumeId(volume as u32), *plan);
                }
            }
        }
        let Some((f, plans)) = self.fellows.as_mut().zip(self.plans.as_ref()) else { return };
        for v in self.layout.volumes() {
            if let Some((limit, _, _)) = plans.limit_of(&v.name) {
                f.member.loans.limit_changed(v.lun, limit);
            }
        }
    }

    /// A change holds here: others are told, and it is kept where that has not been done.
    fn holds(&mut self, now: Instant, h: Holds, kept: bool) {
        self.mode(h.line);
        self.go_by(now, &h.moves);
        if !kept {
            let keep = Keep { changes: vec![(h.number, h.text.clone())], ..Keep::default() };
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
        if let Some(f) = &mut self.fellows {
            f.member.paper_taken(now, h.number, h.mark, Bytes::from(h.text), h.ends);
        }
    }

    fn ask_plans(&mut self, now: Instant, request: u64, ask: PlanAsk) {
        let wall_us = self.wall_us(now);
        // Against two changes of one number: a home that has lost what others go by takes that back first.
        let writes = matches!(ask, PlanAsk::Apply { .. } | PlanAsk::Undo { .. });
        if let Some(n) = self.fellows.as_ref().and_then(|f| f.member.papers.behind()).filter(|_| writes) {
            let newest = self.plans.as_ref().map_or(0, Plans::newest);
            let why =
                format!("others go by change {n}, this host by {newest}; ask again when it has caught up");
            let reply = Reply::Plan(PlanReply::Refused { why });
            return self.outputs.push_back(Output::Reply { request, reply });
        }
        let next = self.plans.as_mut().and_then(|p| p.ask(now, wall_us, request, ask));
        match next {
            None => {}
            Some(PlanNext::Keep(request, entry)) => {
                let keep = Keep {
                    changes: vec![(entry.number, tackmast_plans::Trail::line(&entry))],
                    ..Keep::default()
                };
                self.outputs.push_back(Output::Keep { request, keep });
            }
            Some(PlanNext::Reply(request, mut reply)) => {
                if let (PlanReply::Shown(s), Some(f)) = (&mut reply, &self.fellows) {
                    s.at = f.member.papers.at().1.clone();
                }
                self.outputs.push_back(Output::Reply { request, reply: Reply::Plan(reply) });
            }
        }
    }

    /// What each shard did for this host, units a second; and what an earlier life of it saw.
    pub fn paces(&self, now: Instant) -> Vec<(ShardId, f64)> {
        self.scheduler.paces(now)
    }

    pub fn pace_known(&mut self, now: Instant, shard: ShardId, rate: f64) {
        self.scheduler.pace_known(now, shard, rate);
    }

    /// Takes this host in among others.
    pub fn with_fellows(&mut self, now: Instant, fellows: Fellows) {
        if let Some(orders) = &mut self.orders {
            orders.me = Some(fellows.me());
        }
        self.fellows = Some(fellows);
        if let Some((f, plans)) = self.fellows.as_mut().zip(self.plans.as_ref()) {
            f.begin_papers(plans);
        }
        self.go_by(now, &[]);
        let standing = self.orders.as_ref().map(|o| o.overrides.list(now)).unwrap_or_default();
        if let Some(f) = &mut self.fellows {
            standing.iter().for_each(|(o, left)| f.stands(now, o, *left));
        }
        self.follow_fellows(now);
    }

    /// Bytes from another host.
    pub fn datagram(&mut self, now: Instant, from: std::net::SocketAddr, bytes: Bytes) {
        if let Some(f) = &mut self.fellows {
            f.member.datagram(now, from, bytes);
            self.follow_fellows(now);
        }
    }

    /// The host leaves in order and lends what it has; the mark that it does so lasts already.
    pub fn leave(&mut self, now: Instant) {
        if let Some(f) = &mut self.fellows {
            f.member.leave(now);
            self.follow_fellows(now);
        }
    }

    /// Its last word to the others.
    pub fn left(&mut self, now: Instant) {
        if let Some(f) = &mut self.fellows {
            f.member.left();
            self.follow_fellows(now);
        }
    }

    pub fn is_leaving(&self) -> bool {
        self.fellows.as_ref().is_some_and(|f| f.member.loans.is_leaving())
    }

    /// Whether the mark of an earlier leave may go: nothing that was lent can be out any more.
    pub fn is_free(&self, now: Instant) -> bool {
        self.fellows.as_ref().is_none_or(|f| f.member.loans.is_free(now))
    }

    /// What follows from what other hosts said, and from the time.
    fn follow_fellows(&mut self, now: Instant) {
        loop {
            let Some(f) = &mut self.fellows else { return };
            let Some(next) = f.next(now, &self.layout) else { return };
            match next {
                Followed::There(hosts) => self.scheduler.hosts_there(hosts),
                Followed::Moved { volume, m } => {
                    let v = self.layout.volume(volume);
                    let (id, plan) = (VolumeId(volume as u32), PlanId(v.plan));
                    self.scheduler.limit_moved(now, id, plan, v.hosts, m.lent, m.borrowed, m.until);
                }
                Followed::Send { to, bytes } => self.outputs.push_back(Output::Datagram { to, bytes }),
                Followed::Mode(line) => self.mode(line),
                Followed::Ask(request, ask) => self.ask(now, request, ask),
                Followed::Paper(p) => {
                    let Some(plans) = &mut self.plans else { continue };
                    let ends = f.member.papers.ends(p.number, now);
                    match plans.came(&p.text, ends) {
                        Ok(h) => self.holds(now, h, false),
                        Err(why) => {
                            f.member.papers.refused();
                            self.mode(format!("plans: change {} is not taken: {why}", p.number));
                        }
                    }
                }
            }
        }
    }

    /// The host ends now: each command still open has its answer at once. Deferred where nothing of it can have run,
    /// abandoned otherwise.
    pub fn settle(&mut self, now: Instant) {
        self.draining = true;
        let mut open: Vec<CommandRef> = self.commands.keys().copied().collect();
        open.sort();
        for from in open {
            let Some(first) = self.commands.get(&from).and_then(|c| c.parts.iter().find(|p| p.1.is_none()))
            else {
                continue;
            };
            let (id, come_back) = (first.0, Some(self.longest_wait));
            // As if the module had deferred it: the parts together tell whether that can be said.
            self.part_over(now, id, PartEnd::Deferred { ran: true, come_back }, Bytes::new());
        }
    }

    /// The client has taken the command back, or was told that it is over; no answer is wanted.
    pub fn abort(&mut self, now: Instant, from: CommandRef) {
        if let Some(c) = self.commands.remove(&from) {
            self.counters.left += 1;
            self.forget_command(now, from, &c);
            for (id, _, _) in c.parts {
                self.let_go(now, id);
            }
        }
    }

    pub fn session_gone(&mut self, now: Instant, session: u32) {
        for command in self.sessions.remove(&session).unwrap_or_default() {
            self.abort(now, CommandRef { session, command });
        }
        self.sharing.gone(session);
    }

    /// Whether a leg has not had its end yet.
    pub fn is_out(&self, leg: LegId) -> bool {
        let (id, no) = (XferId((leg.0 >> 8) as u32), (leg.0 & 0xff) as u32);
        self.xfers.get(&id).is_some_and(|x| x.out.iter().any(|o| o.no == no))
    }

    /// A leg came back from its link. One that is not known any more had its end before.
    pub fn leg_back(&mut self, now: Instant, back: LegBack) {
        let (id, no) = (XferId((back.leg.0 >> 8) as u32), (back.leg.0 & 0xff) as u32);
        let known = self.xfers.get(&id).and_then(|x| x.out.iter().find(|o| o.no == no));
        let Some(node) = known.map(|o| o.node) else {
            self.counters.strays += 1;
            return;
        };
        if let Some(waiting) = back.waiting {
            self.scheduler.load_reported(now, node, f64::from(waiting));
        }
        self.leg_over(now, id, no, back.outcome, back.elsewhere, back.data);
    }

    /// A complete list, or changes that begin at version `from`. What is known is brought to version `to`.
    pub fn list_came(&mut self, now: Instant, kind: ListKind, from: u64, to: u64, entries: &[ListEntry]) {
        match kind {
            ListKind::Failed => return self.scheduler.nodes_changed(now, kind, &[]),
            // Changes after a gap are news all the same, above all drains; what else has changed is asked for.
            ListKind::Changes if from != self.list_version => self.outputs.push_back(Output::FetchList),
            _ => {}
        }
        self.list_version = to;
        let mut known: Vec<NodeEntry> = Vec::with_capacity(entries.len());
        for e in entries {
            match self.nodes.note(now, e) {
                Some(entry) => known.push(entry),
                None => {
                    self.counters.nodes_over_bound += 1;
                    let line = format!("node {} not taken: the table of nodes is full", e.address);
                    self.outputs.push_back(Output::Mode { node: None, line });
                }
            }
        }
        if kind != ListKind::Changes {
            self.nodes.only(&known);
        }
        let at_node = &self.at_node;
        self.nodes.forget_gone(|node| at_node.contains_key(&node));
        let facts: Vec<NodeFacts> = self.nodes.entries().filter_map(facts).collect();
        if let Some(orders) = &mut self.orders {
            orders.overrides.nodes_listed(now, facts);
        }
        for e in &mut known {
            self.given(now, e);
        }
        self.scheduler.nodes_changed(now, kind, &known);
        self.order_nodes(now);
        self.stop_nodes(now);
    }

    /// Makes a line of the list what the operators' orders make of it.
    fn given(&self, now: Instant, e: &mut NodeEntry) {
        let address = self.nodes.address(e.node).and_then(|a| a.parse().ok());
        let effective = self.orders.as_ref().zip(address).and_then(|(o, a)| o.overrides.effective(now, &a));
        if let Some(Effective { state, .. }) = effective {
            e.state = state;
        }
    }

    /// Tells the module of nodes that are to be given something else than before.
    fn order_nodes(&mut self, now: Instant) {
        let Some(orders) = &mut self.orders else { return };
        let mut stops = false;
        for (address, given) in orders.overrides.take_changed(now) {
            let Some(node) = self.nodes.number(&address.to_string()) else { continue };
            let Some(entry) = self.nodes.entry(node) else { continue };
            self.scheduler.nodes_changed(
                now,
                ListKind::Changes,
                &[NodeEntry { state: given.state, ..entry }],
            );
            self.scheduler.node_ordered(now, node, given.weight, given.pinned);
            stops |= given.state != NodeState::Ready;
        }
        if stops {
            self.stop_nodes(now);
        }
    }

    /// What still waits on a link to a node that drains, or is out of service, must not reach it after the grace.
    fn stop_nodes(&mut self, now: Instant) {
        let used = self.at_node.keys().copied();
        let stopped: Vec<NodeId> = used.filter(|n| self.is_stopped(now, *n)).collect();
        for node in stopped {
            self.withdraw_at(now, node);
            if !self.cuts.iter().any(|(_, n)| *n == node) {
                self.cuts.insert((now + self.grace, node));
            }
        }
    }

    fn is_stopped(&self, now: Instant, node: NodeId) -> bool {
        let entry = self.nodes.entry(node);
        entry.is_some_and(|mut e| {
            self.given(now, &mut e);
            e.state != NodeState::Ready
        })
    }

    /// Takes operators' overrides in. `keep` is what has become of those of an earlier life.
    pub fn with_overrides(&mut self, now: Instant, overrides: Overrides, keep: Keep) {
        self.orders = Some(Orders::new(now, overrides));
        if keep != Keep::default() {
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
    }

    /// What the wall clock shows, now and then: audits carry it, and its steps move no end.
    pub fn wall_seen(&mut self, now: Instant, wall_us: u64) {
        self.wall_offset_us = wall_us as i64 - (now.secs() * 1e6).round() as i64;
        let step = self.orders.as_mut().and_then(|o| o.overrides.wall_seen(now, wall_us));
        if let Some((put, audit)) = step {
            self.mode(audit.what.clone());
            let keep = Keep { put, audits: vec![audit], ..Keep::default() };
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
    }

    fn wall_us(&self, now: Instant) -> u64 {
        ((now.secs() * 1e6).round() as i64 + self.wall_offset_us).max(0) as u64
    }

    fn mode(&mut self, line: String) {
        self.outputs.push_back(Output::Mode { node: None, line });
    }

    /// An operator's ask, under a number of the caller's that is not 0.
    pub fn ask(&mut self, now: Instant, request: u64, ask: Ask) {
        let ask = match ask {
            Ask::Plan(ask) if self.plans.is_some() => return self.ask_plans(now, request, ask),
            other => other,
        };
        let wall_us = self.wall_us(now);
        let Some(orders) = &mut self.orders else {
            let why = "this host has no overrides block in its settings".to_owned();
            return self.outputs.push_back(Output::Reply { request, reply: Reply::NotKept { why } });
        };
        match orders.ask(now, wall_us, request, ask) {
            None => {}
            Some(Next::Keep(request, keep)) => self.outputs.push_back(Output::Keep { request, keep }),
            Some(Next::Reply(request, Reply::Status(_))) => {
                let reply = Reply::Status(Box::new(self.status(now)));
                self.outputs.push_back(Output::Reply { request, reply });
            }
            Some(Next::Reply(request, Reply::Members(_))) => {
                let status = self.fellows.as_ref().map(|f| f.status(now)).unwrap_or_default();
                self.outputs.push_back(Output::Reply { request, reply: Reply::Members(Box::new(status)) });
            }
            Some(Next::Reply(request, Reply::Refused(r))) if Fellows::is_own(request) => {
                self.mode(format!("an order of another host is refused here: {r}"));
            }
            Some(Next::Reply(request, Reply::Explain(mut e))) => {
                let entry = self.nodes.number(&e.address.to_string()).and_then(|n| self.nodes.entry(n));
                e.up_s = entry.and_then(|e| e.up_since).map(|t| (now - t).secs());
                self.outputs.push_back(Output::Reply { request, reply: Reply::Explain(e) });
            }
            Some(Next::Reply(request, reply)) => self.outputs.push_back(Output::Reply { request, reply }),
        }
    }

    /// The store's word on a `Keep`.
    pub fn kept(&mut self, now: Instant, request: u64, result: Result<(), String>) {
        let plans = self.plans.as_mut().and_then(|p| p.kept(now, request, result.clone()));
        if let Some((reply, holds)) = plans {
            if let Some(h) = holds {
                self.holds(now, h, true);
                self.follow_fellows(now);
            }
            self.outputs.push_back(Output::Reply { request, reply: Reply::Plan(reply) });
        }
        if let Some((request, ask)) = self.plans.as_mut().and_then(Plans::next_waiting) {
            self.ask_plans(now, request, ask);
        }
        let told = self.orders.as_mut().and_then(|o| o.kept(now, request, result));
        if let Some((reply, line)) = told {
            if let Some(f) = &mut self.fellows {
                f.kept(now, &reply);
            }
            self.mode(line);
            self.order_nodes(now);
            self.outputs.push_back(Output::Reply { request, reply });
        }
        if let Some((request, ask)) = self.orders.as_mut().and_then(Orders::next_waiting) {
            self.ask(now, request, ask);
        }
    }

    fn status(&self, now: Instant) -> OrdersStatus {
        let c = &self.counters;
        let orders = self.orders.as_ref();
        let word = |s: NodeState| format!("{s:?}").to_lowercase();
        let node = |(address, e): (&str, &NodeEntry)| {
            let mut given = *e;
            self.given(now, &mut given);
            Some((address.parse().ok()?, word(e.state), word(given.state)))
        };
        OrdersStatus {
            host: self.number,
            overrides: orders.map_or(0, |o| o.overrides.len()),
            version: orders.map_or(0, |o| o.overrides.version()),
            returning: orders.map_or(0, |o| o.overrides.returning().0),
            there: self.fellows.as_ref().map_or(0, |f| f.member.alive()),
            commands: self.commands.len(),
            legs: self.until.len(),
            taken: c.taken,
            done: c.done,
            deferred: c.deferred,
            abandoned: c.abandoned,
            nodes: self.nodes.entries().filter_map(node).collect(),
        }
    }

    /// Ends of overrides, and steps of nodes on their way back.
    fn tick_orders(&mut self, now: Instant) {
        let wall_us = self.wall_us(now);
        let Some(orders) = self.orders.as_mut().filter(|o| o.next(now).is_some_and(|t| t <= now)) else {
            return;
        };
        let ended = orders.overrides.tick(now, wall_us);
        let mut lines = orders.tell(now);
        let mut keep = Keep::default();
        for e in ended {
            let o = &e.record;
            lines.push(format!("override {} ended: {} {}, set by {}", o.id.0, o.target, o.kind, o.who));
            keep.remove.push(o.id);
            keep.audits.push(e.audit);
        }
        lines.into_iter().for_each(|l| self.mode(l));
        if keep != Keep::default() {
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
        self.order_nodes(now);
    }

    fn withdraw_at(&mut self, now: Instant, node: NodeId) {
        for (id, no) in self.at_node.get(&node).cloned().unwrap_or_default() {
            let ticket =
                self.xfers.get(&id).and_then(|x| x.out.iter().find(|o| o.no == no)).map(|o| &o.ticket);
            if ticket.is_some_and(Ticket::withdraw) {
                self.counters.withdrawn += 1;
                self.leg_over(now, id, no, Outcome::Refused, None, Bytes::new());
            }
        }
    }

    /// A node said at the start of a link how long it has been up. Later than the list knows: it restarted, and what
    /// waits for the link was meant for the node as it was. The link must not write before this has been heard.
    pub fn node_said_up(&mut self, now: Instant, node: NodeId, up: Span) {
        if let Some(mut entry) = self.nodes.started(now, node, up) {
            self.given(now, &mut entry);
            self.scheduler.nodes_changed(now, ListKind::Changes, &[entry]);
            // Decided for a warm node: against a burst into a cold one at the first link after its start.
            self.withdraw_at(now, node);
        }
    }

    /// Time has passed: legs whose time is up end.
    pub fn tick(&mut self, now: Instant) {
        self.tick_orders(now);
        if self.fellows.as_ref().is_some_and(|f| f.member.next_wake() <= now) {
            if let Some(f) = &mut self.fellows {
                f.member.tick(now);
            }
            self.follow_fellows(now);
        }
        while let Some((_, node)) = self.cuts.first().copied().filter(|(t, _)| *t <= now) {
            self.cuts.pop_first();
            let stopped = self.is_stopped(now, node);
            for (id, no) in self.at_node.get(&node).cloned().unwrap_or_default() {
                let leg = self.xfers.get(&id).and_then(|x| x.out.iter().find(|o| o.no == no));
                if stopped && leg.is_some_and(|o| o.ticket.is_stuck()) {
                    self.counters.cut += 1;
                    self.outputs.push_back(Output::Cut { node, leg: leg_id(id, no) });
                }
            }
        }
        while let Some((_, id, no)) = self.until.first().copied().filter(|(t, _, _)| *t <= now) {
            let leg = self.xfers.get(&id).and_then(|x| x.out.iter().find(|o| o.no == no));
            let Some((node, unsent, stuck)) = leg.map(|o| (o.node, o.ticket.withdraw(), o.ticket.is_stuck()))
            else {
                self.until.pop_first();
                continue;
            };
            let outcome = if unsent { Outcome::Refused } else { Outcome::TimedOut };
            match unsent {
                true => self.counters.withdrawn += 1,
                false => {
                    self.counters.timed_out += 1;
                    self.push_cancel(node, leg_id(id, no), stuck);
                }
            }
            self.leg_over(now, id, no, outcome, None, Bytes::new());
        }
    }
}

fn leg_id(id: XferId, no: u32) -> LegId {
    LegId(u64::from(id.0) << 8 | u64::from(no & 0xff))
}

/// Outputs.
impl Core {
    /// What is to be done next; none: nothing more at this moment.
    pub fn next_output(&mut self, now: Instant) -> Option<Output> {
        loop {
            if let Some(o) = self.outputs.pop_front() {
                return Some(o);
            }
            let decision = self.scheduler.next_decision(now)?;
            self.carry_out(now, decision);
        }
    }

    /// When to come back if nothing else happens before.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let leg = self.until.first().map(|(t, _, _)| *t);
        let cut = self.cuts.first().map(|(t, _)| *t);
        let ends = self.orders.as_ref().and_then(|o| o.next(now));
        let fellows = self.fellows.as_ref().map(|f| f.member.next_wake());
        [leg, cut, ends, fellows, self.scheduler.next_wake()].into_iter().flatten().min()
    }

    fn carry_out(&mut self, now: Instant, decision: Decision) {
        match decision {
            Decision::Send { xfer, node, timeout } => self.send(now, xfer, node, timeout),
            Decision::Defer { xfer, come_back } => {
                let end = PartEnd::Deferred { ran: true, come_back };
                self.part_over(now, xfer, end, Bytes::new());
            }
            Decision::Abandon { xfer } => {
                self.part_over(now, xfer, PartEnd::Abandoned { ran: true }, Bytes::new());
            }
            Decision::FollowList => self.outputs.push_back(Output::FollowList { since: self.list_version }),
            Decision::Log(line) => {
                // The module's lines name a node by its number, as their second word.
                let mut words = line.split(' ');
                let number = words.next().filter(|w| *w == "node").and_then(|_| words.next()?.parse().ok());
                self.outputs.push_back(Output::Mode { node: number.map(NodeId), line });
            }
        }
    }

    fn send(&mut self, now: Instant, id: XferId, node: NodeId, timeout: Option<Span>) {
        let Some(x) = self.xfers.get_mut(&id) else { return };
        let until = timeout.map_or(x.expiry, |t| x.expiry.min(now + t));
        let (no, st) = (x.legs, &self.streams[x.stream]);
        x.legs += 1;
        if let Some(place) = x.place.take() {
            self.sharing.sent(place);
        }
        let ticket = Ticket::default();
        x.out.push(Out { no, node, sent: now, until, ticket: ticket.clone() });
        self.counters.legs += 1;
        self.counters.further_legs += u64::from(no > 0);
        self.until.insert((until, id, no));
        self.at_node.entry(node).or_default().insert((id, no));
        let keyed = matches!(st.effect, Effect::Keyed { .. });
        let leg = SendLeg {
            node,
            leg: leg_id(id, no),
            xfer: x.serial,
            leg_no: no.min(255) as u8,
            from: x.from,
            part: x.part,
            until,
            mark: if keyed { u128::from(self.life) << 64 | u128::from(x.serial) } else { 0 },
            key: x.text.key,
            volume: x.text.volume,
            offset: x.text.offset,
            units: x.text.units,
            work: x.text.work.clone(),
            ticket,
        };
        self.outputs.push_back(Output::Send(Box::new(leg)));
    }

    /// Every leg has one end: its answer, its link's end, its time, or its withdrawal, whichever is first.
    fn leg_over(
        &mut self,
        now: Instant,
        id: XferId,
        no: u32,
        o: Outcome,
        elsewhere: Option<f64>,
        data: Bytes,
    ) {
        let Some(x) = self.xfers.get_mut(&id) else { return };
        let Some(i) = x.out.iter().position(|l| l.no == no) else { return };
        let out = x.out.swap_remove(i);
        self.until.remove(&(out.until, id, no));
        if let Some(legs) = self.at_node.get_mut(&out.node) {
            legs.remove(&(id, no));
            if legs.is_empty() {
                self.at_node.remove(&out.node);
            }
        }
        let mut outcome = o;
        if outcome == Outcome::Done && x.text.wanted().is_some_and(|wanted| data.len() != wanted) {
            // Bytes that are not those asked for must not pass for them.
            self.counters.short_answers += 1;
            outcome = Outcome::Error;
        }
        x.ran |= outcome.may_have_run();
        let (done, answered) = (outcome == Outcome::Done, x.answered);
        let known = self.tells && elsewhere.is_some();
        self.scheduler.service_reported(now, id, done, known, elsewhere.unwrap_or(0.0));
        let (leg, took) = (LegNo(no), now - out.sent);
        self.scheduler.leg_ended(now, id, leg, outcome, took, answered || done);
        if done && !answered {
            self.part_over(now, id, PartEnd::Done, data);
        }
        self.forget(id);
    }

    /// A transfer that was answered and has no leg out leaves the table.
    fn forget(&mut self, id: XferId) {
        if self.xfers.get(&id).is_some_and(|x| x.answered && x.out.is_empty()) {
            self.xfers.remove(&id);
        }
    }

    /// The command is over before this part of it: nothing new is sent for it, and its legs are called back.
    fn let_go(&mut self, now: Instant, id: XferId) {
        let Some(x) = self.xfers.get_mut(&id).filter(|x| !x.answered) else { return };
        x.answered = true;
        if let Some(place) = x.place.take() {
            self.sharing.left(place);
        }
        self.scheduler.transfer_gone(now, id);
        self.withdraw_legs(now, id);
        self.call_back(id);
        self.forget(id);
    }

    /// Legs of which no byte has left never will: they provably did not run.
    fn withdraw_legs(&mut self, now: Instant, id: XferId) {
        let out = self.xfers.get(&id).map_or(&[][..], |x| &x.out);
        let unsent: Vec<u32> = out.iter().filter(|o| o.ticket.withdraw()).map(|o| o.no).collect();
        for no in unsent {
            self.counters.withdrawn += 1;
            self.leg_over(now, id, no, Outcome::Refused, None, Bytes::new());
        }
    }

    /// Nobody waits for the legs that are out: their nodes need not go on.
    fn call_back(&mut self, id: XferId) {
        let out = self.xfers.get(&id).map_or(&[][..], |x| &x.out);
        let legs: Vec<_> = out.iter().map(|o| (o.node, leg_id(id, o.no), o.ticket.is_stuck())).collect();
        for (node, leg, stuck) in legs {
            self.push_cancel(node, leg, stuck);
        }
    }

    fn push_cancel(&mut self, node: NodeId, leg: LegId, stuck: bool) {
        self.counters.cut += u64::from(stuck);
        self.outputs.push_back(if stuck { Output::Cut { node, leg } } else { Output::Cancel { node, leg } });
    }

    /// The transfer of one part has its end.
    fn part_over(&mut self, now: Instant, id: XferId, mut end: PartEnd, data: Bytes) {
        let Some((from, part)) = self.xfers.get(&id).filter(|x| !x.answered).map(|x| (x.from, x.part)) else {
            return;
        };
        // An undone part settles the whole command. What is still unsent of it is taken back before it is
        // judged whether any of it may have run: a leg that left in between would make the judgement false.
        let ids: Vec<XferId> = match (end, self.commands.get(&from)) {
            (PartEnd::Done, _) | (_, None) => vec![id],
            (_, Some(c)) => c.parts.iter().map(|(id, _, _)| *id).collect(),
        };
        for id in ids {
            self.withdraw_legs(now, id);
        }
        if let Some(x) = self.xfers.get(&id) {
            if let PartEnd::Deferred { ran, .. } | PartEnd::Abandoned { ran } = &mut end {
                *ran = x.may_have_run();
            }
        }
        if let Some(x) = self.xfers.get_mut(&id) {
            x.answered = true;
            if let Some(place) = x.place.take() {
                self.sharing.left(place);
            }
        }
        self.call_back(id);
        self.forget(id);
        let Some(c) = self.commands.get_mut(&from) else { return };
        if let Some(slot) = c.parts.get_mut(usize::from(part)) {
            (slot.1, slot.2) = (Some(end), data);
        }
        let open = |id: &XferId| self.xfers.get(id).is_some_and(Xfer::may_have_run);
        let ends: Vec<PartEnd> =
            c.parts.iter().map(|(id, end, _)| end.unwrap_or(PartEnd::Open { ran: open(id) })).collect();
        let Some(combined) = combine(self.streams[c.stream].effect, c.marked, &ends) else { return };
        let Some(c) = self.commands.remove(&from) else { return };
        self.forget_command(now, from, &c);
        let verdict = match combined {
            Combined::Done => {
                self.counters.done += 1;
                Verdict::Done { data: if c.write { Bytes::new() } else { joined(&c.parts, c.bytes) } }
            }
            Combined::Deferred { come_back } => {
                self.counters.deferred += 1;
                Verdict::Deferred { come_back }
            }
            Combined::Abandoned => {
                self.counters.abandoned += 1;
                Verdict::Abandoned
            }
        };
        self.outputs.push_back(Output::Answer { to: from, verdict });
        for (id, _, _) in c.parts {
            self.let_go(now, id);
        }
    }

    fn forget_command(&mut self, now: Instant, from: CommandRef, c: &Command) {
        let held = Held { transfers: c.parts.len(), bytes: c.bytes };
        self.admission.leave(now, from.session, c.volume, held);
        if let Some(open) = self.sessions.get_mut(&from.session) {
            open.remove(&from.command);
            if open.is_empty() {
                self.sessions.remove(&from.session);
            }
        }
    }
}

fn facts((address, e): (&str, &NodeEntry)) -> Option<NodeFacts> {
    Some(NodeFacts { address: address.parse().ok()?, zone: e.zone.0, shard: e.shard.0, listed: e.state })
}

fn joined(parts: &[(XferId, Option<PartEnd>, Bytes)], bytes: usize) -> Bytes {
    if let [(_, _, only)] = parts {
        return only.clone();
    }
    let mut all = BytesMut::with_capacity(bytes);
    parts.iter().for_each(|(_, _, data)| all.extend_from_slice(data));
    all.freeze()
}
