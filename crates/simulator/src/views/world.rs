//! Hosts, datagrams and clocks of a trial.

mod checks;

use super::{Shown, Trial};
use bytes::Bytes;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::{
    LeaseSettings, Member, MemberSettings, Output, PersistedMembers, PreviousExit, ViewSettings,
};

/// Microseconds of virtual time.
pub type Us = u64;
/// Of a host's view, as its settings' default has it.
pub const PERIOD: Us = 500_000;
/// How often it is looked whether views have settled, and whether one did what none may.
const CHECK_INTERVAL: Us = 50_000;
/// Datagrams that a stopped host's socket holds.
const MAX_SOCKET_DATAGRAMS: usize = 200;
/// For so many periods before a death its host must have been there and heard for the death to be false.
const ALIVE_PERIODS_BEFORE_DEATH: u64 = 70;

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
    pub clock_rate: f64,
    /// When it was last away, or could not be reached.
    away: Us,
    checked_until: Us,
    best: BTreeMap<u32, (u64, u32)>,
}

/// A fleet of membership processes in virtual time, and the network between them.
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
    next_check: Us,
    /// Accusations that processes answered which have ended.
    answered: u64,
    /// Bytes that all have sent.
    pub sent: u64,
}

/// The address of a slot.
pub fn address(slot: u32, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (slot >> 8) as u8, slot as u8], port))
}

fn at(us: Us, clock_rate: f64) -> Instant {
    Instant::from_secs(us as f64 / 1e6 * clock_rate)
}

impl World {
    /// A fleet without processes.
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
            next_check: 0,
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
            clock_rate: 1.0,
            away: self.now,
            checked_until: 0,
            best: BTreeMap::new(),
        });
        self.all.len() - 1
    }

    /// Moves a process that does not run to another port.
    pub fn change_address(&mut self, process_index: usize, port: u16) {
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
        let now = at(self.now, process.clock_rate);
        let member = match self.trial.fault {
            Some(f) => Member::with_fault(now, settings, f),
            None => Member::new(now, settings),
        };
        (process.stopped, process.away, process.checked_until, process.best) =
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

    /// Kills a process.
    pub fn kill(&mut self, process_index: usize) {
        self.answered += self.all[process_index].member.take().map_or(0, |m| m.view.counters.accused);
        self.all[process_index].away = self.now;
    }

    /// Stops a process without ending it.
    pub fn stop(&mut self, process_index: usize) {
        self.all[process_index].stopped = true;
    }

    /// Resumes a stopped process: first it receives what its socket has buffered, then its timers fire.
    pub fn resume(&mut self, process_index: usize) {
        (self.all[process_index].stopped, self.all[process_index].away) = (false, self.now);
        for (from, bytes) in std::mem::take(&mut self.all[process_index].held) {
            self.receive(process_index, from, bytes);
        }
        self.push(self.now, process_index, Event::Wake(0));
    }

    /// All ways between groups are cut, or whole again.
    pub fn partition(&mut self, group: impl Fn(u32) -> u32) {
        self.parted = self.now;
        self.groups = (0..self.hosts).map(group).collect();
    }

    /// That number is heard again from here on: it was away until now.
    pub fn mark_reachable_again(&mut self, slot: u32) {
        let now = self.now;
        self.all.iter_mut().filter(|x| x.slot == slot).for_each(|x| x.away = now);
    }

    fn push(&mut self, due: Us, process_index: usize, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((due, self.number, process_index, event)));
    }

    /// Runs for so many protocol periods.
    pub fn run(&mut self, periods: f64) {
        let end = self.now + (periods * PERIOD as f64) as Us;
        while self.now < end {
            let next = (self.now + CHECK_INTERVAL).min(end);
            self.run_until(next);
            self.check_views();
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
                    let now = at(t, process.clock_rate);
                    if let Some(m) = process.member.as_mut().filter(|_| !process.stopped) {
                        m.handle_timeout(now);
                        self.pull(p);
                    }
                }
                Event::Datagram(from, to, bytes) if self.all[p].address == to => {
                    if !self.all[p].stopped {
                        self.receive(p, from, bytes);
                    } else if self.all[p].held.len() < MAX_SOCKET_DATAGRAMS {
                        self.all[p].held.push((from, bytes));
                    }
                }
                Event::Datagram(..) => {}
            }
        }
        self.now = end;
    }

    fn receive(&mut self, process_index: usize, from: SocketAddr, bytes: Vec<u8>) {
        let process = &mut self.all[process_index];
        let now = at(self.now, process.clock_rate);
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
                | Output::EndpointList(_) => {}
            }
        }
        let process = &mut self.all[process_index];
        let Some(m) = &process.member else { return };
        let wake = ((m.poll_timeout().secs() / process.clock_rate * 1e6) as Us).max(self.now + 1);
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
            self.run(CHECK_INTERVAL as f64 / PERIOD as f64);
        }
    }
}
