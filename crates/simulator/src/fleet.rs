//! Hosts that know of each other, without requests: how long until all know all, until a loss is known, what it costs,
//! and how views and orders meet again after a partition. Models in virtual time; the very `Member` that hosts run.

mod measurement;

pub use measurement::fleet;

use crate::sim::peer_address;
use bytes::Bytes;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::{
    CatalogVersion, Extensions, LeaseSettings, Member, MemberSettings, Output, OverrideEvent, OverrideKind,
    OverrideRecord, PreviousExit, ViewSettings,
};

type Us = u64;
const SECOND: Us = 1_000_000;
/// How often it is looked whether views have met.
const CHECK_INTERVAL: Us = 50_000;
/// Nothing is waited for longer.
const WAIT_TIMEOUT: Us = 120 * SECOND;

/// What a membership fleet has shown.
#[derive(Clone, Debug, Default)]
pub struct FleetFigures {
    pub hosts: u32,
    pub loss: f64,
    /// Seconds until all know all, from a start of all at once; none: not within two minutes.
    pub all_known_s: Option<f64>,
    /// In a quiet minute: bytes a second that a host sends, and suspicions an hour and host of hosts that were there.
    pub bytes_a_second: f64,
    pub false_suspicions: f64,
    pub false_deaths: u64,
    /// A third is killed at once: seconds until the first and until all that live hold it dead.
    pub first_known_s: Option<f64>,
    pub all_dead_s: Option<f64>,
    /// They start anew: seconds until all know all.
    pub back_s: Option<f64>,
    /// One starts anew after it was held dead, and none of its seeds is there: seconds until all know all.
    pub stale_seeds_s: Option<f64>,
    /// Half is cut off for 30 s, with orders on both sides: seconds from the heal until all views, and all orders, are one.
    pub views_meet_s: Option<f64>,
    pub orders_meet_s: Option<f64>,
    /// All links between two halves come and go each second for 30 s: seconds until all know all, and hosts held dead on
    /// the way that were there.
    pub after_flaps_s: Option<f64>,
    pub flap_deaths: u64,
    /// Orders that were cleared or had ended and came back: none may.
    pub returned: u64,
    /// Seconds until all go by a change of plans: of 500 bytes, of 100,000, and of 500 after a cut of 30 s is healed.
    pub plan_s: Option<f64>,
    pub large_plan_s: Option<f64>,
    pub plan_after_cut_s: Option<f64>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(u32),
    Datagram(u32, u32, Vec<u8>),
}

struct Fleet {
    now: Us,
    members: BTreeMap<u32, Member>,
    wakes: BTreeMap<u32, Us>,
    generations: u64,
    hosts: u32,
    loss: f64,
    cut: Option<u32>,
    queue: BinaryHeap<Reverse<(Us, u64, Event)>>,
    number: u64,
    generator: oorandom::Rand64,
    held: BTreeMap<u32, BTreeSet<u64>>,
    returned: u64,
    over: BTreeSet<u64>,
}

fn at(us: Us) -> Instant {
    Instant::from_secs(us as f64 / 1e6)
}

impl Fleet {
    fn new(hosts: u32, loss: f64, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 100 * SECOND,
            members: BTreeMap::new(),
            wakes: BTreeMap::new(),
            generations: seed << 20,
            hosts,
            loss,
            cut: None,
            queue: BinaryHeap::new(),
            number: 0,
            generator: oorandom::Rand64::new(u128::from(seed)),
            held: BTreeMap::new(),
            returned: 0,
            over: BTreeSet::new(),
        };
        (0..hosts).for_each(|host| fleet.start(host));
        fleet
    }

    fn start(&mut self, host_index: u32) {
        self.start_with(host_index, (0..3).map(peer_address).collect());
    }

    fn start_with(&mut self, host_index: u32, seeds: Vec<std::net::SocketAddr>) {
        self.generations += 1;
        let secs = TimeDelta::from_secs;
        let settings = MemberSettings {
            fleet: "lab".into(),
            slot: host_index,
            generation: self.generations,
            address: peer_address(host_index),
            site: Some(host_index % 3),
            persisted: Vec::new(),
            seeds,
            allowed_networks: Vec::new(),
            view: ViewSettings { protocol_period: secs(0.5), max_hosts: 1000, extensions: Extensions::all() },
            leases: LeaseSettings { term: secs(2.0), leave_term: secs(60.0), drift: 0.001, owned: 0.9 },
            shared_limits: Vec::new(),
            previous_exit: PreviousExit::Unclean,
            seed: self.generations ^ u64::from(self.hosts) << 32,
        };
        self.members.insert(host_index, Member::new(at(self.now), settings));
        self.held.insert(host_index, BTreeSet::new());
        self.push(self.now, Event::Wake(host_index));
    }

    fn push(&mut self, due: Us, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((due, self.number, event)));
    }

    fn run_until(&mut self, end: Us) {
        while self.queue.peek().is_some_and(|Reverse((t, _, _))| *t <= end) {
            let Some(Reverse((t, _, e))) = self.queue.pop() else { break };
            self.now = t;
            let now = at(t);
            let host_index = match e {
                Event::Wake(host_index) => {
                    self.wakes.remove(&host_index);
                    let Some(m) = self.members.get_mut(&host_index) else { continue };
                    m.handle_timeout(now);
                    host_index
                }
                Event::Datagram(from, host_index, bytes) => {
                    let Some(m) = self.members.get_mut(&host_index) else { continue };
                    m.handle_datagram(now, peer_address(from), Bytes::from(bytes));
                    host_index
                }
            };
            self.pull(host_index);
        }
        self.now = end;
    }

    fn pull(&mut self, host_index: u32) {
        loop {
            let Some(m) = self.members.get_mut(&host_index) else { return };
            let Some(o) = m.poll_output() else { break };
            match o {
                Output::Send { to, bytes } => self.post(host_index, to, &bytes),
                Output::Event(_)
                | Output::Persist(_)
                | Output::Consensus { .. }
                | Output::EndpointList(_) => {}
                Output::CatalogUpdate(p) => {
                    let ends = m.catalog.deadline(p.number, at(self.now));
                    m.handle_catalog_applied(
                        at(self.now),
                        CatalogVersion { number: p.number, digest_prefix: p.number },
                        p.text,
                        ends,
                    );
                }
                Output::Override(OverrideEvent::Set { origin, .. }) => {
                    self.returned += u64::from(self.over.contains(&origin.number));
                    self.held.entry(host_index).or_default().insert(origin.number);
                }
                Output::Override(OverrideEvent::Clear { origin }) => {
                    _ = self.held.entry(host_index).or_default().remove(&origin.number)
                }
            }
        }
        let Some(m) = self.members.get(&host_index) else { return };
        let wake = ((m.poll_timeout().secs() * 1e6) as Us).max(self.now + 1);
        if self.wakes.get(&host_index).is_none_or(|t| wake < *t) {
            self.wakes.insert(host_index, wake);
            self.push(wake, Event::Wake(host_index));
        }
    }

    fn post(&mut self, from: u32, to: std::net::SocketAddr, bytes: &Bytes) {
        let Some(h) = (0..self.hosts).find(|h| peer_address(*h) == to) else { return };
        if self.cut.is_some_and(|edge| (from < edge) != (h < edge)) || self.generator.rand_float() < self.loss
        {
            return;
        }
        let due = self.now + 500 + self.generator.rand_range(0..1000);
        self.push(due, Event::Datagram(from, h, bytes.to_vec()));
    }

    /// Seconds until it is so.
    fn until(&mut self, is: impl Fn(&Fleet) -> bool) -> Option<f64> {
        let start = self.now;
        while self.now < start + WAIT_TIMEOUT {
            if is(self) {
                return Some((self.now - start) as f64 / 1e6);
            }
            self.run_until(self.now + CHECK_INTERVAL);
        }
        None
    }

    fn all_know_all(&self) -> bool {
        let member_count = self.members.len() as u32;
        self.members
            .values()
            .all(|m| m.live_count() == member_count && m.view.digest() == self.one().view.digest())
    }

    fn one(&self) -> &Member {
        self.members.values().next().expect("a fleet has a host")
    }

    fn sums(&self) -> (u64, u64, u64) {
        let of = |m: &Member| (m.counters.sent_bytes, m.view.counters.suspected, m.view.counters.dead);
        self.members.values().map(of).fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2))
    }

    fn all_go_by(&self, number: u64) -> bool {
        self.members.values().all(|m| m.catalog.newest() >= number)
    }

    /// The first host takes a change of plans.
    fn plan(&mut self, number: u64, bytes: usize) -> Option<f64> {
        self.plan_until(number, bytes, None)
    }

    /// The same, for so long at most.
    fn plan_until(&mut self, number: u64, bytes: usize, most: Option<Us>) -> Option<f64> {
        let (now, start) = (at(self.now), self.now);
        if let Some(m) = self.members.get_mut(&0) {
            m.handle_catalog_applied(
                now,
                CatalogVersion { number, digest_prefix: number },
                Bytes::from(vec![0; bytes]),
                now + TimeDelta::from_secs(5.0),
            );
        }
        self.pull(0);
        let Some(most) = most else { return self.until(|f| f.all_go_by(number)) };
        self.run_until(start + most);
        self.all_go_by(number).then_some(most as f64 / 1e6)
    }

    fn order(&mut self, host_index: u32, number: u64, seconds: f64) {
        let remaining_ms = (seconds * 1e3) as u64;
        let (reason, who) = ("drawn".into(), "lab".into());
        let generation = self.members.get(&host_index).map_or(0, |m| m.view.me().generation);
        let order = OverrideRecord {
            slot: host_index,
            generation,
            number,
            kind: OverrideKind::Out,
            target: "zone:1".into(),
            reason,
            who,
            remaining_ms,
            total_ms: remaining_ms,
            cleared: false,
        };
        let now = at(self.now);
        if let Some(m) = self.members.get_mut(&host_index) {
            m.add_override(now, order);
        }
        self.held.entry(host_index).or_default().insert(number);
    }
}
