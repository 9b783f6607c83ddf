//! One host among others: datagrams and the time in, datagrams and what follows from them out.

use crate::catalog_replication::{CatalogEvent, CatalogReplication, CatalogUpdate, CatalogVersion, FANOUT};
use crate::node_list::{NodeListEvent, NodeListNotices};
use crate::override_gossip::{OverrideEvent, OverrideGossip};
use crate::quota_leases::LeaseTransmit;
use crate::quota_leases::{LeaseSettings, PreviousExit, QuotaBalance, QuotaLeases, SharedLimit};
use crate::view::{Change, Seen, SiteWord, View, ViewFault, ViewSettings};
use crate::{MemberId, Transmit};
use bytes::Bytes;
use imbl::OrdMap;
use ipnet::IpNet;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_overrides::Origin as Name;
use tackmast_wire::peer::{Body, Datagram, Health, MemberUpdate, NodeRemoval, OverrideRecord, MAX_OVERRIDES};

/// Messages that wait to be sent, at most; beyond that a new one is lost and counted.
const WAITING: usize = 4096;
/// Datagrams of all that is known, in answer to one digest.
const PIECES: usize = 32;
/// Orders told in answer to one digest, at most, beginning elsewhere each time.
const ORDERS: usize = 64;
/// Periods from one writing down of who is known to the next.
const REMEMBER: f64 = 10.0;

/// What the next generation of this host is to know: its number of generation, and others that were there. Addresses to call, no more.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Remembered {
    pub generation: u64,
    pub hosts: Vec<(u32, u64, SocketAddr)>,
}

#[derive(Clone, Debug)]
pub struct MemberSettings {
    pub fleet: String,
    pub slot: u32,
    pub generation: u64,
    pub address: SocketAddr,
    pub site: Option<u32>,
    pub seeds: Vec<SocketAddr>,
    /// What an earlier generation wrote down; they are called, and count only by their own word.
    pub recalled: Vec<(u32, u64, SocketAddr)>,
    /// Prefixes of peers; none: any.
    pub admit: Vec<IpNet>,
    pub view: ViewSettings,
    pub leases: LeaseSettings,
    pub shared_limits: Vec<SharedLimit>,
    /// The slot's earlier generation left in order.
    pub previous_exit: PreviousExit,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Bytes,
    },
    /// A change of a host's health, for the log.
    Mode(String),
    Override(OverrideEvent),
    /// A change of plans came from another host.
    CatalogUpdate(CatalogUpdate),
    /// To be written down for the next generation, in place of what was before.
    Remember(Remembered),
    /// Of the node list that other hosts hold.
    NodeList(NodeListEvent),
    /// A word on the agreed log, or a piece of one, from the address at which that host is known.
    Word {
        from: SocketAddr,
        slot: u32,
        body: Body,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    /// Not from a prefix that is admitted, of another fleet, damaged, or said to be of this very slot.
    pub strangers: u64,
    pub other_fleets: u64,
    pub damaged: u64,
    pub lost_full: u64,
    /// Of a volume, by a host whose address is not the one known.
    pub false_names: u64,
}

pub struct Member {
    fleet: String,
    admit: Vec<IpNet>,
    pub view: View,
    pub leases: QuotaLeases,
    pub overrides: OverrideGossip,
    pub catalog: CatalogReplication,
    node_list: NodeListNotices,
    shared_limits: (LeaseSettings, Vec<SharedLimit>),
    /// Another generation of this host's number may use what hosts share; this one does not, whatever else it does.
    yields: bool,
    remembered: Remembered,
    /// When it was last looked at what is to be written down.
    remembered_at: Instant,
    period: TimeDelta,
    own_word: bool,
    outputs: VecDeque<Output>,
    from_order: usize,
    from_piece: usize,
    pub counters: Counters,
}

impl Member {
    pub fn new(now: Instant, s: MemberSettings) -> Self {
        Member::with(now, s, None)
    }

    /// With a deliberate fault of its view, for tests.
    pub fn with_fault(now: Instant, s: MemberSettings, fault: ViewFault) -> Self {
        Member::with(now, s, Some(fault))
    }

    fn with(now: Instant, mut s: MemberSettings, fault: Option<ViewFault>) -> Self {
        // Against a disk of a larger fleet: numbers beyond those told would be called, and written down, for ever.
        s.recalled.retain(|(slot, _, _)| (*slot as usize) < s.view.most);
        let (incarnation, health, address, by) = (0, Health::Alive, s.address, None);
        let me = MemberUpdate {
            slot: s.slot,
            generation: s.generation,
            incarnation,
            health,
            address,
            site: s.site,
            suspected_by: by,
        };
        let recalled = s.recalled.iter().map(|(slot, _, a)| (*slot, *a)).collect();
        let mut view = View::new(now, me, s.seeds, recalled, s.view, s.seed);
        if let Some(f) = fault {
            view = view.with_fault(now, f, &s.recalled);
        }
        let id = MemberId { slot: s.slot, generation: s.generation };
        Member {
            fleet: s.fleet,
            admit: s.admit,
            view,
            leases: QuotaLeases::new(now, id, s.leases, s.shared_limits.clone(), s.previous_exit),
            overrides: OverrideGossip::default(),
            catalog: CatalogReplication::default(),
            node_list: NodeListNotices::default(),
            shared_limits: (s.leases, s.shared_limits),
            yields: false,
            remembered: Remembered { generation: s.generation, hosts: s.recalled },
            remembered_at: now,
            period: s.view.period,
            own_word: s.view.ways.own_word,
            outputs: VecDeque::new(),
            from_order: 0,
            from_piece: 0,
            counters: Counters::default(),
        }
    }

    pub fn snapshot(&self) -> OrdMap<u32, Seen> {
        self.view.snapshot()
    }

    /// How many hosts are thought to be there, this one included.
    pub fn alive(&self) -> u32 {
        self.view.there() + 1
    }

    fn is_admitted(&self, a: &SocketAddr) -> bool {
        self.admit.is_empty() || self.admit.iter().any(|p| p.contains(&a.ip()))
    }

    /// Bytes came from there. What is not this fleet's is dropped and counted.
    pub fn datagram(&mut self, now: Instant, from: SocketAddr, bytes: Bytes) {
        if !self.is_admitted(&from) {
            self.counters.strangers += 1;
            return;
        }
        let Ok(d) = Datagram::decode(bytes) else {
            self.counters.damaged += 1;
            return;
        };
        if d.fleet != self.fleet {
            self.counters.other_fleets += 1;
            return;
        }
        if !self.is_admitted(&d.sender.address) {
            self.counters.strangers += 1;
            return;
        }
        let (slot, generation) = (d.sender.slot, d.sender.generation);
        if slot == self.view.me().slot {
            // A later generation of this slot, or an earlier one that woke up; neither is to be listened to.
            self.counters.strangers += 1;
            self.view.heard_namesake(now, d.sender, from);
            return self.settle(now);
        }
        self.counters.taken += 1;
        let known = self.view.generation(slot);
        if known.is_none_or(|k| k < generation) {
            self.leases.handle_new_generation(now, MemberId { slot, generation });
        }
        // Who speaks is there: its word on itself, where it is reached and how often it had to say so.
        if self.own_word {
            self.view.learn(now, d.sender);
        } else if known.is_none_or(|k| k < generation) {
            self.view.learn(
                now,
                MemberUpdate { incarnation: 0, health: Health::Alive, address: from, ..d.sender },
            );
        }
        self.view.heard_from(now, slot, generation);
        for n in d.updates {
            // Who a host is, is known from itself or by hearsay; its parts are lent by itself alone.
            if !self.is_admitted(&n.address) {
                self.counters.strangers += 1;
                continue;
            }
            self.view.learn(now, n);
        }
        if known.is_some_and(|k| k > generation) {
            // An earlier generation that woke up: it is told so, and its word counts no more.
            let all = self.view.all_news();
            let about = all.into_iter().flatten().filter(|n| n.slot == slot).collect();
            self.push(from, Body::Gossip, about);
            return self.settle(now);
        }
        let say = match d.body {
            Body::Lease(message) => message,
            Body::Digest { members: view, overrides: orders } => {
                if view != self.view.digest() {
                    self.view.differs(now);
                    // Beginning elsewhere each time: a fleet of many hundreds has more than one answer holds.
                    let mut all = self.view.all_news();
                    let first = self.from_piece % all.len().max(1);
                    all.rotate_left(first);
                    all.truncate(PIECES);
                    self.from_piece = first + all.len();
                    all.into_iter().for_each(|news| self.push(from, Body::Gossip, news));
                }
                if orders != self.overrides.digest(now) {
                    self.tell_orders(now, from);
                }
                return self.settle(now);
            }
            Body::Overrides(orders) => {
                orders.into_iter().for_each(|o| self.overrides.merge(now, o));
                return self.settle(now);
            }
            Body::Catalog(message) => {
                self.catalog.handle_message(now, from, slot, &message);
                return self.settle(now);
            }
            body @ (Body::Consensus { .. }
            | Body::ConsensusChunk { .. }
            | Body::ConsensusChunkRequest { .. }) => {
                // As with loans: a word counts from the address at which its host is known.
                if self.view.address(slot) != Some(from) {
                    self.counters.false_names += 1;
                } else if self.outputs.len() < WAITING {
                    self.outputs.push_back(Output::Word { from, slot, body });
                } else {
                    self.counters.lost_full += 1;
                }
                return self.settle(now);
            }
            Body::NodeList(message) => {
                self.node_list.handle_message(now, from, message);
                return self.settle(now);
            }
            Body::Gossip => return self.settle(now),
            Body::Probe(message) => {
                self.view.heard(now, from, slot, &message);
                return self.settle(now);
            }
        };
        // A loan is its lender's own word: it counts from the address at which that host is known.
        if self.view.address(slot) != Some(from) {
            self.counters.false_names += 1;
            return;
        }
        self.leases.handle_message(now, MemberId { slot, generation }, say);
        self.settle(now);
    }

    fn tell_orders(&mut self, now: Instant, to: SocketAddr) {
        let all = self.overrides.records(now);
        if all.is_empty() {
            return;
        }
        let first = self.from_order % all.len();
        let some: Vec<OverrideRecord> =
            all.iter().cycle().skip(first).take(ORDERS.min(all.len())).cloned().collect();
        self.from_order = first + some.len();
        for two in some.chunks(MAX_OVERRIDES) {
            self.push(to, Body::Overrides(two.to_vec()), Vec::new());
        }
    }

    fn push(&mut self, to: SocketAddr, body: Body, news: Vec<MemberUpdate>) {
        let d = Datagram { fleet: self.fleet.clone(), sender: self.view.me(), body, updates: news };
        let bytes = d.to_bytes();
        // The new one is lost, as on any network: what waits may be an operator's order, which is told only once.
        if self.outputs.len() >= WAITING {
            self.counters.lost_full += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.outputs.push_back(Output::Send { to, bytes });
    }

    /// What the parts have to say goes out.
    fn settle(&mut self, now: Instant) {
        if let Some(at_own_address) = self.view.next_take_over() {
            // Where no other can listen at this host's address, the later generation has ended, and this is a new one that
            // starts with nothing that is lent. Else silence proves nothing: the other may only stand still.
            self.yields |= !at_own_address;
            let me = self.view.me();
            let id = MemberId { slot: me.slot, generation: me.generation };
            let (settings, shared_limits) = self.shared_limits.clone();
            self.leases = QuotaLeases::new(now, id, settings, shared_limits, PreviousExit::Unclean);
        }
        if self.yields || self.view.is_displaced() {
            self.leases.set_displaced();
        }
        while let Some((to, body, slot)) = self.view.next_send() {
            let news = self.view.beside(slot);
            self.push(to, body, news);
        }
        while let Some(LeaseTransmit { to: slot, message: say }) = self.leases.poll_transmit() {
            let Some(to) = self.view.address(slot) else { continue };
            let body = Body::Lease(say);
            let news = self.view.beside(Some(slot));
            self.push(to, body, news);
        }
        while let Some(change) = self.view.next_change() {
            let line = self.line(change);
            self.outputs.push_back(Output::Mode(line));
        }
        while let Some(d) = self.overrides.poll_event() {
            self.outputs.push_back(Output::Override(d));
        }
        while let Some(Transmit { to, body, .. }) =
            self.catalog.poll_transmit().or_else(|| self.node_list.poll_transmit())
        {
            self.push(to, body, Vec::new());
        }
        while let Some(c) = self.node_list.poll_event() {
            self.outputs.push_back(Output::NodeList(c));
        }
        while let Some(event) = self.catalog.poll_event() {
            let output = match event {
                CatalogEvent::Update(update) => Output::CatalogUpdate(update),
                CatalogEvent::Fork { slot, number } => Output::Mode(format!(
                    "host {slot} goes by other plans: another change {number} than here"
                )),
            };
            self.outputs.push_back(output);
        }
    }

    /// A change of the view in words, with its figures.
    fn line(&self, change: Change) -> String {
        let there = self.alive();
        match change {
            Change::Health(slot, health) => {
                format!("host {slot} {health}: {there} hosts are there")
            }
            Change::Flaps(slot) => {
                format!("host {slot} comes and goes: it is not asked for help until it stays; {there} hosts are there")
            }
            Change::Site(site, word) => match word {
                SiteWord::Unheard(n) => format!("site {site} is unheard: its {n} hosts fell silent together"),
                SiteWord::Emptied(n) => format!("site {site} is empty: its {n} hosts fell silent one by one"),
                SiteWord::Left => format!("site {site} is empty: its hosts left"),
                SiteWord::There => format!("site {site} is heard again"),
            },
            Change::Paused(late) => {
                format!("this host stood still for {:.2} s: nothing of that is others' fault", late.secs())
            }
            Change::Strained(0) => "answers come in time again".into(),
            Change::Strained(n) => {
                format!("answers come late or not at all: strain {n}, others are given time")
            }
            Change::Displaced(generation) => {
                format!("a later life of this host's number was heard of ({generation:x}): it uses nothing that hosts share")
            }
            Change::TookOver(generation) => {
                let rest = match self.yields {
                    true => "it still uses nothing that hosts share until it starts anew",
                    false => "it is there again",
                };
                format!("the later life of this host's number does not run; this goes on as life {generation:x}: {rest}")
            }
        }
    }

    /// What the next generation is to know, where that has changed, and at most every so many periods.
    fn remember(&mut self, now: Instant) {
        // Against hosts that all move within a moment of their start and know nobody any more: who joins is written down
        // within a period. All else is looked at now and then: with hundreds of hosts it is no work for every tick.
        let joined = self.view.there() as usize > self.remembered.hosts.len();
        let waits = if joined { 1.0 } else { REMEMBER };
        if now < self.remembered_at + TimeDelta::from_secs(waits * self.period.secs()) {
            return;
        }
        self.remembered_at = now;
        // Whoever an earlier generation knew and nobody has spoken of yet stays written down. At most one line a number.
        let mut all: BTreeMap<u32, (u64, SocketAddr)> =
            self.remembered.hosts.iter().map(|(slot, generation, a)| (*slot, (*generation, *a))).collect();
        let left = |slot: &u32| self.view.snapshot().get(slot).is_some_and(|s| s.health == Health::Left);
        all.retain(|slot, _| !left(slot));
        all.extend(self.view.known().map(|(slot, generation, a)| (slot, (generation, a))));
        let hosts = all.into_iter().map(|(slot, (generation, a))| (slot, generation, a)).collect();
        let new = Remembered { generation: self.view.me().generation, hosts };
        if new != self.remembered {
            self.remembered = new.clone();
            self.outputs.push_back(Output::Remember(new));
        }
    }

    pub fn tick(&mut self, now: Instant) {
        self.view.tick(now);
        // The view does not know of orders: the digest it sends is filled in here.
        let orders = self.overrides.digest(now);
        let mut sends = Vec::new();
        while let Some((to, body, slot)) = self.view.next_send() {
            let body = match body {
                Body::Digest { members: view, .. } => Body::Digest { members: view, overrides: orders },
                other => other,
            };
            sends.push((to, body, slot));
        }
        for (to, body, slot) in sends {
            let beat = matches!(body, Body::Digest { .. });
            let news = self.view.beside(slot);
            self.push(to, body, news);
            if beat && self.catalog.is_enabled() {
                self.push(to, Body::Catalog(self.catalog.version_message(now)), Vec::new());
            }
            if beat && self.node_list.is_enabled() {
                self.push(to, Body::NodeList(self.node_list.version_message()), Vec::new());
            }
        }
        if self.leases.poll_timeout() <= now {
            self.leases.handle_timeout(now, &self.view.steady(now));
        }
        self.overrides.handle_timeout(now);
        self.catalog.handle_timeout(now);
        self.remember(now);
        self.settle(now);
    }

    pub fn next_wake(&self) -> Instant {
        let papers = self.catalog.poll_timeout();
        [self.leases.poll_timeout()].into_iter().chain(papers).fold(self.view.next_wake(), Instant::min)
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    pub fn record_demand(&mut self, now: Instant, volume: u32, units: f64) {
        self.leases.record_demand(now, volume, units);
    }

    pub fn quota_balance(&self, now: Instant, volume: u32) -> Option<QuotaBalance> {
        self.leases.balance(now, volume)
    }

    /// The host leaves in order: it says so, uses nothing that it shares from here on, and lends what it has.
    pub fn leave(&mut self, now: Instant) {
        self.leases.leave(now);
        self.leases.handle_timeout(now, &self.view.live().iter().copied().collect());
        self.settle(now);
    }

    /// The last word, when its parts are lent.
    pub fn left(&mut self, now: Instant) {
        self.view.leave();
        self.settle(now);
    }

    /// An order that this host took itself, or had kept.
    pub fn ordered(&mut self, now: Instant, order: OverrideRecord) {
        self.overrides.add_local(now, order);
    }

    /// A change of plans is taken here, and told on.
    pub fn paper_taken(&mut self, now: Instant, number: u64, mark: u64, text: Bytes, ends: Instant) {
        self.catalog.handle_applied(now, CatalogVersion { number, mark }, text, ends);
        let word = Body::Catalog(self.catalog.version_message(now));
        for slot in self.view.pick(now, FANOUT, None) {
            if let Some(to) = self.view.address(slot) {
                self.push(to, word.clone(), Vec::new());
            }
        }
        self.settle(now);
    }

    /// This host's node list is at that version, and takes these away; news go to three others at once.
    pub fn listed(&mut self, now: Instant, version: u64, stops: impl IntoIterator<Item = NodeRemoval>) {
        if self.node_list.handle_list(version, stops) {
            let word = Body::NodeList(self.node_list.version_message());
            for slot in self.view.pick(now, FANOUT, None) {
                if let Some(to) = self.view.address(slot) {
                    self.push(to, word.clone(), Vec::new());
                }
            }
        }
        self.settle(now);
    }

    /// A word on the agreed log, or a piece of one, goes there.
    pub fn post(&mut self, to: SocketAddr, body: Body) {
        self.push(to, body, Vec::new());
    }

    pub fn cleared(&mut self, name: Name) {
        self.overrides.clear_local(name);
    }
}
