//! Hosts, datagrams and clocks of a trial.

use super::{Shown, Trial};
use bytes::Bytes;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::{
    Health, LeaseSettings, Member, MemberSettings, Output, PersistedMembers, PreviousExit, ViewSettings,
};

pub type Us = u64;
/// Of a host's view, as its settings' default has it.
pub const PERIOD: Us = 500_000;
/// How often it is looked whether views have settled, and whether one did what none may.
const LOOK: Us = 50_000;
/// Datagrams that a stopped host's socket holds.
const SOCKET: usize = 200;
/// For so many periods before a death its host must have been there and heard for the death to be false.
const BEFORE: u64 = 70;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(u32),
    Datagram(SocketAddr, SocketAddr, Vec<u8>),
}

/// A process: several may have one number.
pub struct Process {
    pub slot: u32,
    pub address: SocketAddr,
    pub site: u32,
    member: Option<Member>,
    pub generation: u64,
    stopped: bool,
    held: Vec<(SocketAddr, Vec<u8>)>,
    wake: Us,
    /// What its disk has.
    pub disk: PersistedMembers,
    /// Seconds by which its wall clock is off, and the pace of its steady clock.
    pub wall_off: f64,
    pub pace: f64,
    /// When it was last away, or could not be reached.
    away: Us,
    looked: Us,
    best: BTreeMap<u32, (u64, u32)>,
}

pub struct World {
    pub now: Us,
    pub all: Vec<Process>,
    by_address: HashMap<SocketAddr, usize>,
    pub hosts: u32,
    pub loss: f64,
    pub jitter: Us,
    pub doubled: f64,
    /// Of each number, the group that it is in; datagrams between groups are lost.
    pub groups: Vec<u32>,
    /// Numbers that nobody hears, and those that hear nobody.
    pub mute: Vec<bool>,
    pub deaf: Vec<bool>,
    pub seeds: Vec<SocketAddr>,
    queue: BinaryHeap<Reverse<(Us, u64, usize, Event)>>,
    number: u64,
    pub generator: oorandom::Rand64,
    trial: Trial,
    pub shown: Shown,
    parted: Us,
    next_look: Us,
    /// Accusations that processes answered which have ended.
    answered: u64,
    /// Bytes that all have sent.
    pub sent: u64,
}

pub fn address(slot: u32, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (slot >> 8) as u8, slot as u8], port))
}

fn at(us: Us, pace: f64) -> Instant {
    Instant::from_secs(us as f64 / 1e6 * pace)
}

impl World {
    pub fn new(trial: &Trial) -> World {
        let hosts = trial.hosts;
        World {
            now: 100_000_000,
            all: Vec::new(),
            by_address: HashMap::new(),
            hosts,
            loss: 0.0,
            jitter: 1_000,
            doubled: 0.0,
            groups: vec![0; hosts as usize],
            mute: vec![false; hosts as usize],
            deaf: vec![false; hosts as usize],
            seeds: (0..3).map(|s| address(s, 7400)).collect(),
            queue: BinaryHeap::new(),
            number: 0,
            generator: oorandom::Rand64::new(u128::from(trial.seed) << 8 | trial.case as u128),
            trial: *trial,
            shown: Shown::default(),
            parted: 0,
            sent: 0,
            next_look: 0,
            answered: 0,
        }
    }

    /// A process that does not run yet.
    pub fn add(&mut self, slot: u32, port: u16) -> usize {
        let address = address(slot, port);
        self.by_address.insert(address, self.all.len());
        self.all.push(Process {
            slot,
            address,
            site: slot * 3 / self.hosts.max(1),
            member: None,
            generation: 0,
            stopped: false,
            held: Vec::new(),
            wake: Us::MAX,
            disk: PersistedMembers::default(),
            wall_off: 0.0,
            pace: 1.0,
            away: self.now,
            looked: 0,
            best: BTreeMap::new(),
        });
        self.all.len() - 1
    }

    pub fn moves(&mut self, process_index: usize, port: u16) {
        self.by_address.remove(&self.all[process_index].address);
        self.all[process_index].address = address(self.all[process_index].slot, port);
        self.by_address.insert(self.all[process_index].address, process_index);
    }

    /// Starts a process, as a host starts: its generation by its clock, but never below what its disk knows.
    pub fn start(&mut self, process_index: usize) {
        let process = &mut self.all[process_index];
        let wall = (self.now as f64 + process.wall_off * 1e6).max(1.0) as u64;
        process.generation = (wall << 12 | u64::from(process.slot & 0xfff)).max(process.disk.generation + 1);
        process.disk.generation = process.generation;
        let secs = TimeDelta::from_secs;
        let settings = MemberSettings {
            fleet: "lab".into(),
            slot: process.slot,
            generation: process.generation,
            address: process.address,
            site: Some(process.site),
            seeds: self.seeds.clone(),
            persisted: process.disk.peers.clone(),
            allowed_networks: Vec::new(),
            view: ViewSettings {
                protocol_period: secs(PERIOD as f64 / 1e6),
                max_hosts: self.hosts as usize,
                extensions: self.trial.extensions,
            },
            leases: LeaseSettings { term: secs(2.0), leave_term: secs(60.0), drift: 0.001, owned: 0.9 },
            shared_limits: Vec::new(),
            previous_exit: PreviousExit::Unclean,
            seed: process.generation ^ self.trial.seed << 40,
        };
        let now = at(self.now, process.pace);
        let member = match self.trial.fault {
            Some(f) => Member::with_fault(now, settings, f),
            None => Member::new(now, settings),
        };
        (process.stopped, process.away, process.looked, process.best) =
            (false, self.now, self.now, BTreeMap::new());
        process.held.clear();
        if member.view.live_count() > 0 {
            let what =
                format!("host {}: {} are there before a word came", process.slot, member.view.live_count());
            self.shown.broken.push(what);
        }
        process.member = Some(member);
        self.push(self.now, process_index, Event::Wake(0));
    }

    pub fn kill(&mut self, process_index: usize) {
        self.answered += self.all[process_index].member.take().map_or(0, |m| m.view.counters.accused);
        self.all[process_index].away = self.now;
    }

    pub fn stop(&mut self, process_index: usize) {
        self.all[process_index].stopped = true;
    }

    /// It goes on: what its socket held comes first, then its own time.
    pub fn go_on(&mut self, process_index: usize) {
        (self.all[process_index].stopped, self.all[process_index].away) = (false, self.now);
        for (from, bytes) in std::mem::take(&mut self.all[process_index].held) {
            self.get(process_index, from, bytes);
        }
        self.push(self.now, process_index, Event::Wake(0));
    }

    /// All ways between groups are cut, or whole again.
    pub fn part(&mut self, group: impl Fn(u32) -> u32) {
        self.parted = self.now;
        self.groups = (0..self.hosts).map(group).collect();
    }

    /// That number is heard again from here on: it was away until now.
    pub fn all_heard(&mut self, slot: u32) {
        let now = self.now;
        self.all.iter_mut().filter(|x| x.slot == slot).for_each(|x| x.away = now);
    }

    fn push(&mut self, due: Us, process_index: usize, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((due, self.number, process_index, event)));
    }

    pub fn run(&mut self, periods: f64) {
        let end = self.now + (periods * PERIOD as f64) as Us;
        while self.now < end {
            let next = (self.now + LOOK).min(end);
            self.run_until(next);
            self.look();
        }
    }

    fn run_until(&mut self, end: Us) {
        while self.queue.peek().is_some_and(|Reverse((t, _, _, _))| *t <= end) {
            let Some(Reverse((t, _, p, e))) = self.queue.pop() else { break };
            self.now = t;
            match e {
                Event::Wake(_) => {
                    let process = &mut self.all[p];
                    if process.wake <= t {
                        process.wake = Us::MAX;
                    }
                    let now = at(t, process.pace);
                    if let Some(m) = process.member.as_mut().filter(|_| !process.stopped) {
                        m.handle_timeout(now);
                        self.pull(p);
                    }
                }
                Event::Datagram(from, to, bytes) if self.all[p].address == to => {
                    if !self.all[p].stopped {
                        self.get(p, from, bytes);
                    } else if self.all[p].held.len() < SOCKET {
                        self.all[p].held.push((from, bytes));
                    }
                }
                Event::Datagram(..) => {}
            }
        }
        self.now = end;
    }

    fn get(&mut self, process_index: usize, from: SocketAddr, bytes: Vec<u8>) {
        let process = &mut self.all[process_index];
        let now = at(self.now, process.pace);
        if let Some(m) = &mut process.member {
            m.handle_datagram(now, from, Bytes::from(bytes));
            self.pull(process_index);
        }
    }

    fn pull(&mut self, process_index: usize) {
        loop {
            let Some(o) = self.all[process_index].member.as_mut().and_then(Member::poll_output) else {
                break;
            };
            match o {
                Output::Send { to, bytes } => {
                    self.sent += bytes.len() as u64;
                    self.post(process_index, to, &bytes);
                }
                Output::Persist(r) => self.all[process_index].disk = r,
                Output::Event(_)
                | Output::Override(_)
                | Output::CatalogUpdate(_)
                | Output::Consensus { .. }
                | Output::NodeList(_) => {}
            }
        }
        let process = &mut self.all[process_index];
        let Some(m) = &process.member else { return };
        let wake = ((m.poll_timeout().secs() / process.pace * 1e6) as Us).max(self.now + 1);
        if wake < process.wake {
            process.wake = wake;
            self.push(wake, process_index, Event::Wake(0));
        }
    }

    fn post(&mut self, from: usize, to: SocketAddr, bytes: &Bytes) {
        let Some(p) = self.by_address.get(&to).copied() else { return };
        let (a, b) = (self.all[from].slot as usize, self.all[p].slot as usize);
        if self.groups[a] != self.groups[b] || self.mute[a] || self.deaf[b] {
            return;
        }
        let times = 1 + usize::from(self.generator.rand_float() < self.doubled);
        for _ in 0..times {
            if self.generator.rand_float() < self.loss {
                continue;
            }
            let due = self.now + 300 + self.generator.rand_range(0..self.jitter);
            self.push(due, p, Event::Datagram(self.all[from].address, to, bytes.to_vec()));
        }
    }

    /// Whether that number was away, or cut off from the other, lately.
    fn was_away(&self, slot: u32, from: u32, since: Us) -> bool {
        let of = self.all.iter().filter(|x| x.slot == slot);
        of.clone().all(|x| x.member.is_none())
            || of.into_iter().any(|x| x.away >= since || x.stopped)
            || self.parted >= since
            || self.groups[slot as usize] != self.groups[from as usize]
            || self.mute[slot as usize]
            || self.deaf[slot as usize]
    }

    /// What no view may do, and deaths of hosts that were there.
    fn look(&mut self) {
        // Each view has as many lines as there are hosts: large fleets are looked at once a period.
        let every = match self.hosts {
            0..=100 => LOOK,
            101..=400 => PERIOD,
            _ => 4 * PERIOD,
        };
        if self.now < self.next_look {
            return;
        }
        self.next_look = self.now + every;
        let running: HashMap<(u32, u64), SocketAddr> = self
            .all
            .iter()
            .filter(|x| x.member.is_some())
            .map(|x| ((x.slot, x.generation), x.address))
            .collect();
        for p in 0..self.all.len() {
            if self.all[p].stopped {
                continue;
            }
            let Some(m) = &self.all[p].member else { continue };
            let (pace, looked, slot) = (self.all[p].pace, self.all[p].looked, self.all[p].slot);
            let new = m.view.deaths().filter(|d| d.at > at(looked, pace));
            let new: Vec<(u32, bool)> = new.map(|d| (d.slot, d.declared_here)).collect();
            let mut broken = Vec::new();
            let mut best = std::mem::take(&mut self.all[p].best);
            for (k, s) in &self.all[p].member.as_ref().map(Member::snapshot).unwrap_or_default() {
                let word = (s.generation, s.incarnation);
                let known = best.entry(*k).or_insert(word);
                if word < *known {
                    broken.push(format!("host {slot} went back on host {k}: {known:?}, then {word:?}"));
                }
                *known = word;
                if let Some(a) = running.get(&(*k, s.generation)).filter(|a| **a != s.address) {
                    broken.push(format!("host {slot} has host {k} at {}, it is at {a}", s.address));
                }
            }
            let seen = self.all[p].member.as_ref().map(Member::snapshot).unwrap_or_default();
            for k in best.keys() {
                if !seen.contains_key(k) {
                    broken.push(format!("host {slot} has forgotten host {k}"));
                }
            }
            self.all[p].best = best;
            self.shown.broken.extend(broken);
            self.shown.broken.truncate(20);
            let since = self.now.saturating_sub(BEFORE * PERIOD);
            for (k, own) in new {
                if !self.was_away(k, slot, since) {
                    self.shown.false_deaths += u64::from(own);
                    self.shown.false_views += 1;
                }
            }
            self.all[p].looked = self.now;
        }
    }

    /// The process that has a number: the one of the latest generation that runs.
    fn holder(&self, slot: u32) -> Option<&Process> {
        let of = self.all.iter().filter(|x| x.slot == slot && x.member.is_some());
        of.max_by_key(|x| x.member.as_ref().map(|m| m.view.me().generation))
    }

    /// Settled: all that run hold all that run alive, with their generations, addresses and sites, and the others not; and their
    /// digests are one.
    pub fn is_settled(&self) -> bool {
        let holders: Vec<&Process> = (0..self.hosts).filter_map(|s| self.holder(s)).collect();
        let digest = |x: &&Process| x.member.as_ref().map(|m| m.view.digest());
        let Some(first) = holders.first() else { return true };
        if holders.len() > 1 && digest(first) != holders.last().and_then(digest) {
            return false;
        }
        if holders.iter().any(|x| digest(x) != digest(first)) {
            return false;
        }
        // All digests are one, so one view is looked at whole, and each for its own number.
        let Some(m) = &first.member else { return false };
        let seen = m.snapshot();
        let others = holders.iter().skip(1);
        let all_right = others.clone().all(|x| {
            let Some(own) = x.member.as_ref().map(|m| m.view.me()) else { return false };
            seen.get(&x.slot).is_some_and(|s| {
                let right = (s.generation, s.address, s.site) == (own.generation, x.address, Some(x.site));
                right && s.health == Health::Alive && own.address == x.address
            })
        });
        let displaced = holders.iter().any(|x| x.member.as_ref().is_some_and(|m| m.view.is_displaced()));
        let away = |s: &tackmast_membership::MemberState| matches!(s.health, Health::Dead | Health::Left);
        let others_away = seen.iter().all(|(k, s)| holders.iter().any(|x| x.slot == *k) || away(s));
        all_right && others_away && !displaced
    }

    /// Runs until it has settled; periods from now, none after the patience.
    pub fn until_settled(&mut self, patience: f64) -> Option<f64> {
        let start = self.now;
        loop {
            let periods = (self.now - start) as f64 / PERIOD as f64;
            if self.is_settled() {
                return Some(periods);
            }
            if periods >= patience {
                return None;
            }
            self.run(LOOK as f64 / PERIOD as f64);
        }
    }

    /// Accusations of hosts that were there, answered by them.
    pub fn accused(&self) -> u64 {
        let now = self.all.iter().filter_map(|x| x.member.as_ref()).map(|m| m.view.counters.accused);
        self.answered + now.sum::<u64>()
    }

    /// Whether all that run hold that number dead.
    pub fn all_miss(&self, slot: u32) -> bool {
        let dead = |m: &Member| m.snapshot().get(&slot).is_some_and(|s| s.health == Health::Dead);
        self.all.iter().filter(|x| x.slot != slot).filter_map(|x| x.member.as_ref()).all(dead)
    }
}
