//! The membership of a fleet in virtual time, without requests: how long hosts take to learn of each other and of deaths,
//! what that costs, and how views, overrides and plans converge after a partition. Of a host only its `Member` runs.

mod figures;
mod measurement;

pub use figures::FleetFigures;
pub use measurement::fleet;

use crate::sim::peer_address;
use bytes::Bytes;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::{
    CatalogVersion, Extensions, LeaseSettings, Member, MemberSettings, Output, OverrideEvent, OverrideKind,
    OverrideRecord, PreviousExit, ViewSettings,
};

/// Microseconds of virtual time.
type Us = u64;
/// Microseconds of a second.
const SECOND: Us = 1_000_000;
/// Where virtual time begins, in microseconds.
const START_TIME: Us = 100 * SECOND;
/// How often conditions are checked, in microseconds.
const CHECK_INTERVAL: Us = 50_000;
/// A condition is waited for up to this long, in microseconds.
const WAIT_TIMEOUT: Us = 120 * SECOND;
/// The shortest time that a datagram takes, in microseconds.
const MIN_DELAY: Us = 500;
/// A datagram takes up to this much longer, in microseconds.
const MAX_JITTER: Us = 1_000;
/// Hosts that all others start from.
const SEED_COUNT: u32 = 3;
/// Sites over which the hosts are spread.
const SITE_COUNT: u32 = 3;
/// From a change of plans until hosts must have adopted it, in seconds.
const PLAN_DEADLINE_S: f64 = 5.0;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Timer { host: u32 },
    Datagram { from: u32, to: u32, bytes: Vec<u8> },
}

/// Counters of all hosts together.
#[derive(Clone, Copy, Default)]
struct FleetCounters {
    sent_bytes: u64,
    suspicions: u64,
    deaths: u64,
}

/// The state of a fleet.
struct Fleet {
    now: Us,
    /// The hosts that run.
    members: BTreeMap<u32, Member>,
    /// When the timer of each host is due.
    wakes: BTreeMap<u32, Us>,
    /// The newest generation of a host's process.
    generation: u64,
    hosts: u32,
    loss: f64,
    /// Hosts below this number are partitioned from the rest.
    cut: Option<u32>,
    /// Events by time, with a number that keeps the order of those of one time.
    queue: BinaryHeap<Reverse<(Us, u64, Event)>>,
    sequence: u64,
    generator: oorandom::Rand64,
    /// The overrides that each host has, by number.
    overrides: BTreeMap<u32, BTreeSet<u64>>,
    /// Overrides that came back after their end.
    returned: u64,
    /// Overrides that were cleared or have ended.
    ended_overrides: BTreeSet<u64>,
}

fn at(us: Us) -> Instant {
    Instant::from_secs(us as f64 / 1e6)
}

impl Fleet {
    fn new(hosts: u32, loss: f64, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: START_TIME,
            members: BTreeMap::new(),
            wakes: BTreeMap::new(),
            generation: seed << 20,
            hosts,
            loss,
            cut: None,
            queue: BinaryHeap::new(),
            sequence: 0,
            generator: oorandom::Rand64::new(u128::from(seed)),
            overrides: BTreeMap::new(),
            returned: 0,
            ended_overrides: BTreeSet::new(),
        };
        (0..hosts).for_each(|host| fleet.start(host));
        fleet
    }

    /// Starts the process of a host.
    fn start(&mut self, host_index: u32) {
        self.start_with(host_index, (0..SEED_COUNT).map(peer_address).collect());
    }

    /// Starts the process of a host with those seeds.
    fn start_with(&mut self, host_index: u32, seeds: Vec<SocketAddr>) {
        self.generation += 1;
        let secs = TimeDelta::from_secs;
        let settings = MemberSettings {
            fleet: "lab".into(),
            slot: host_index,
            generation: self.generation,
            address: peer_address(host_index),
            site: Some(host_index % SITE_COUNT),
            persisted: Vec::new(),
            seeds,
            allowed_networks: Vec::new(),
            view: ViewSettings { protocol_period: secs(0.5), max_hosts: 1000, extensions: Extensions::all() },
            leases: LeaseSettings { term: secs(2.0), leave_term: secs(60.0), drift: 0.001, owned: 0.9 },
            shared_limits: Vec::new(),
            previous_exit: PreviousExit::Unclean,
            seed: self.generation ^ u64::from(self.hosts) << 32,
        };
        self.members.insert(host_index, Member::new(at(self.now), settings));
        self.overrides.insert(host_index, BTreeSet::new());
        self.schedule(self.now, Event::Timer { host: host_index });
    }

    fn schedule(&mut self, due: Us, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((due, self.sequence, event)));
    }

    fn run_until(&mut self, end: Us) {
        while self.queue.peek().is_some_and(|Reverse((due, ..))| *due <= end) {
            let Some(Reverse((due, _, event))) = self.queue.pop() else { break };
            self.now = due;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Hands an event to its host, if the host runs.
    fn handle_event(&mut self, event: Event) {
        let now = at(self.now);
        let host_index = match event {
            Event::Timer { host } => {
                self.wakes.remove(&host);
                let Some(member) = self.members.get_mut(&host) else { return };
                member.handle_timeout(now);
                host
            }
            Event::Datagram { from, to, bytes } => {
                let Some(member) = self.members.get_mut(&to) else { return };
                member.handle_datagram(now, peer_address(from), Bytes::from(bytes));
                to
            }
        };
        self.poll_member(host_index);
    }

    /// Executes what a member asks for, and schedules its timer.
    fn poll_member(&mut self, host_index: u32) {
        while let Some(output) = self.members.get_mut(&host_index).and_then(Member::poll_output) {
            self.execute(host_index, output);
        }
        let Some(member) = self.members.get(&host_index) else { return };
        let wake = ((member.poll_timeout().secs() * 1e6) as Us).max(self.now + 1);
        if self.wakes.get(&host_index).is_none_or(|earlier| wake < *earlier) {
            self.wakes.insert(host_index, wake);
            self.schedule(wake, Event::Timer { host: host_index });
        }
    }

    fn execute(&mut self, host_index: u32, output: Output) {
        let now = at(self.now);
        match output {
            Output::Send { to, bytes } => self.send_datagram(host_index, to, &bytes),
            Output::Event(_) | Output::Persist(_) | Output::Consensus { .. } | Output::EndpointList(_) => {}
            Output::CatalogUpdate(update) => {
                let Some(member) = self.members.get_mut(&host_index) else { return };
                let deadline = member.catalog.deadline(update.number, now);
                let version = CatalogVersion { number: update.number, digest_prefix: update.number };
                member.handle_catalog_applied(now, version, update.text, deadline);
            }
            Output::Override(OverrideEvent::Set { origin, .. }) => {
                self.returned += u64::from(self.ended_overrides.contains(&origin.number));
                self.overrides.entry(host_index).or_default().insert(origin.number);
            }
            Output::Override(OverrideEvent::Clear { origin }) => {
                self.overrides.entry(host_index).or_default().remove(&origin.number);
            }
        }
    }

    /// Sends a datagram, which may be lost.
    fn send_datagram(&mut self, from: u32, to: SocketAddr, bytes: &Bytes) {
        let Some(to) = (0..self.hosts).find(|host| peer_address(*host) == to) else { return };
        let is_partitioned =
            self.cut.is_some_and(|first_of_rest| (from < first_of_rest) != (to < first_of_rest));
        if is_partitioned || self.generator.rand_float() < self.loss {
            return;
        }
        let due = self.now + MIN_DELAY + self.generator.rand_range(0..MAX_JITTER);
        self.schedule(due, Event::Datagram { from, to, bytes: bytes.to_vec() });
    }

    /// Runs until a condition holds, and returns the time in seconds; none after the timeout.
    fn run_until_true(&mut self, condition: impl Fn(&Fleet) -> bool) -> Option<f64> {
        let start = self.now;
        while self.now < start + WAIT_TIMEOUT {
            if condition(self) {
                return Some((self.now - start) as f64 / 1e6);
            }
            self.run_until(self.now + CHECK_INTERVAL);
        }
        None
    }

    /// Whether all views are the same, and have all hosts that run alive.
    fn do_all_know_all(&self) -> bool {
        let member_count = self.members.len() as u32;
        let Some(first) = self.members.values().next() else { return true };
        let digest = first.view.digest();
        let knows_all =
            |member: &Member| member.live_count() == member_count && member.view.digest() == digest;
        self.members.values().all(knows_all)
    }

    fn counters(&self) -> FleetCounters {
        let mut counters = FleetCounters::default();
        for member in self.members.values() {
            counters.sent_bytes += member.counters.sent_bytes;
            counters.suspicions += member.view.counters.suspected;
            counters.deaths += member.view.counters.dead;
        }
        counters
    }

    /// Whether all hosts have adopted that change of plans or a later one.
    fn have_all_adopted(&self, number: u64) -> bool {
        self.members.values().all(|member| member.catalog.newest() >= number)
    }

    /// The first host takes a change of plans. Returns the seconds until all hosts have adopted it.
    fn change_plans(&mut self, number: u64, bytes: usize) -> Option<f64> {
        self.apply_plan_change(number, bytes);
        self.run_until_true(|fleet| fleet.have_all_adopted(number))
    }

    fn apply_plan_change(&mut self, number: u64, bytes: usize) {
        let now = at(self.now);
        if let Some(member) = self.members.get_mut(&0) {
            let version = CatalogVersion { number, digest_prefix: number };
            let deadline = now + TimeDelta::from_secs(PLAN_DEADLINE_S);
            member.handle_catalog_applied(now, version, Bytes::from(vec![0; bytes]), deadline);
        }
        self.poll_member(0);
    }

    /// Sets an override at a host, which ends after that number of seconds.
    fn set_override(&mut self, host_index: u32, number: u64, seconds: f64) {
        let remaining_ms = (seconds * 1e3) as u64;
        let (reason, who) = ("drawn".into(), "lab".into());
        let generation = self.members.get(&host_index).map_or(0, |member| member.view.me().generation);
        let record = OverrideRecord {
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
        if let Some(member) = self.members.get_mut(&host_index) {
            member.add_override(now, record);
        }
        self.overrides.entry(host_index).or_default().insert(number);
    }
}
