//! The processes, disks and clocks of a trial, and the network between them. `checks` has what a view must never do.

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
pub(super) type Us = u64;
/// The protocol period, which is the default of the settings, in microseconds.
pub(super) const PERIOD: Us = 500_000;
/// How often the views are checked, in microseconds.
const CHECK_INTERVAL: Us = 50_000;
/// Datagrams that the socket of a stopped process buffers.
const MAX_SOCKET_DATAGRAMS: usize = 200;
/// A death is false if its host was alive and reachable for this time before it, in periods.
const ALIVE_PERIODS_BEFORE_DEATH: u64 = 70;
/// The shortest delay of a datagram, in microseconds.
const MIN_DELAY: Us = 300;
/// Hosts that all processes start from.
const SEED_COUNT: u32 = 3;
/// The port of seeds.
const SEED_PORT: u16 = 7400;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Timer,
    Datagram { from: SocketAddr, to: SocketAddr, bytes: Vec<u8> },
}

/// A process of a host. Several may have the same number.
pub(super) struct Process {
    pub slot: u32,
    pub address: SocketAddr,
    pub site: u32,
    /// None: the process does not run.
    member: Option<Member>,
    pub generation: u64,
    stopped: bool,
    /// Datagrams in its socket while it is stopped.
    buffered: Vec<(SocketAddr, Vec<u8>)>,
    /// When its timer is due.
    wake: Us,
    /// What its disk has.
    pub disk: PersistedMembers,
    /// By how much its wall clock is ahead, in seconds.
    pub wall_offset_s: f64,
    /// The rate of its steady clock, where 1 is that of virtual time.
    pub clock_rate: f64,
    /// When it last did not run, or could not be reached.
    unreachable_at: Us,
    checked_until: Us,
    /// The newest generation and incarnation that its view had of each host.
    newest: BTreeMap<u32, (u64, u32)>,
}

/// A fleet of membership processes in virtual time, and the network between them.
pub(super) struct World {
    pub now: Us,
    pub all: Vec<Process>,
    by_address: HashMap<SocketAddr, usize>,
    pub hosts: u32,
    /// Fraction of datagrams that is lost.
    pub loss: f64,
    /// A datagram takes up to this much longer, in microseconds.
    pub jitter: Us,
    /// Fraction of datagrams that is duplicated.
    pub duplicated: f64,
    /// The group of each host, by its number. Datagrams between groups are lost.
    pub groups: Vec<u32>,
    /// Hosts of which no datagram arrives, by their number.
    pub mute: Vec<bool>,
    /// Hosts at which no datagram arrives, by their number.
    pub deaf: Vec<bool>,
    pub seeds: Vec<SocketAddr>,
    /// Events by time, with a number that keeps the order of those of one time, and the process.
    queue: BinaryHeap<Reverse<(Us, u64, usize, Event)>>,
    sequence: u64,
    pub generator: oorandom::Rand64,
    trial: Trial,
    pub shown: Shown,
    /// When the network was last partitioned or healed.
    partition_changed: Us,
    next_check: Us,
    /// Accusations that were answered by processes which have ended.
    answered: u64,
    /// Bytes that all processes have sent.
    pub sent: u64,
}

/// The address of a slot.
pub(super) fn address(slot: u32, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (slot >> 8) as u8, slot as u8], port))
}

fn at(us: Us, clock_rate: f64) -> Instant {
    Instant::from_secs(us as f64 / 1e6 * clock_rate)
}

impl World {
    /// A fleet without processes.
    pub(super) fn new(trial: &Trial) -> World {
        let hosts = trial.hosts;
        World {
            now: 100_000_000,
            all: Vec::new(),
            by_address: HashMap::new(),
            hosts,
            loss: 0.0,
            jitter: 1_000,
            duplicated: 0.0,
            groups: vec![0; hosts as usize],
            mute: vec![false; hosts as usize],
            deaf: vec![false; hosts as usize],
            seeds: (0..SEED_COUNT).map(|slot| address(slot, SEED_PORT)).collect(),
            queue: BinaryHeap::new(),
            sequence: 0,
            generator: oorandom::Rand64::new(u128::from(trial.seed) << 8 | trial.case as u128),
            trial: *trial,
            shown: Shown::default(),
            partition_changed: 0,
            sent: 0,
            next_check: 0,
            answered: 0,
        }
    }

    /// A process that does not run yet.
    pub(super) fn add(&mut self, slot: u32, port: u16) -> usize {
        let address = address(slot, port);
        self.by_address.insert(address, self.all.len());
        self.all.push(Process {
            slot,
            address,
            site: slot * 3 / self.hosts.max(1),
            member: None,
            generation: 0,
            stopped: false,
            buffered: Vec::new(),
            wake: Us::MAX,
            disk: PersistedMembers::default(),
            wall_offset_s: 0.0,
            clock_rate: 1.0,
            unreachable_at: self.now,
            checked_until: 0,
            newest: BTreeMap::new(),
        });
        self.all.len() - 1
    }

    /// Moves a process that does not run to another port.
    pub(super) fn change_address(&mut self, process_index: usize, port: u16) {
        self.by_address.remove(&self.all[process_index].address);
        self.all[process_index].address = address(self.all[process_index].slot, port);
        self.by_address.insert(self.all[process_index].address, process_index);
    }

    /// Starts a process, as a host starts: its generation by its clock, but never below what its disk knows.
    pub(super) fn start(&mut self, process_index: usize) {
        let process = &mut self.all[process_index];
        let wall = (self.now as f64 + process.wall_offset_s * 1e6).max(1.0) as u64;
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
            Some(fault) => Member::with_fault(now, settings, fault),
            None => Member::new(now, settings),
        };
        process.stopped = false;
        (process.unreachable_at, process.checked_until) = (self.now, self.now);
        process.newest.clear();
        process.buffered.clear();
        let live_count = member.view.live_count();
        if live_count > 0 {
            let slot = process.slot;
            self.shown.broken.push(format!("host {slot} has {live_count} live hosts before any message"));
        }
        process.member = Some(member);
        self.schedule(self.now, process_index, Event::Timer);
    }

    /// Kills a process.
    pub(super) fn kill(&mut self, process_index: usize) {
        let process = &mut self.all[process_index];
        self.answered += process.member.take().map_or(0, |member| member.view.counters.accused);
        process.unreachable_at = self.now;
    }

    /// Stops a process without ending it.
    pub(super) fn stop(&mut self, process_index: usize) {
        self.all[process_index].stopped = true;
    }

    /// Resumes a stopped process: first it receives what its socket has buffered, then its timers fire.
    pub(super) fn resume(&mut self, process_index: usize) {
        let process = &mut self.all[process_index];
        (process.stopped, process.unreachable_at) = (false, self.now);
        for (from, bytes) in std::mem::take(&mut process.buffered) {
            self.receive(process_index, from, bytes);
        }
        self.schedule(self.now, process_index, Event::Timer);
    }

    /// Partitions the network into groups, or heals it with a single group.
    pub(super) fn partition(&mut self, group: impl Fn(u32) -> u32) {
        self.partition_changed = self.now;
        self.groups = (0..self.hosts).map(group).collect();
    }

    /// The processes of a number, which were unreachable, can be reached from now on.
    pub(super) fn mark_reachable_again(&mut self, slot: u32) {
        let now = self.now;
        let processes = self.all.iter_mut().filter(|process| process.slot == slot);
        processes.for_each(|process| process.unreachable_at = now);
    }

    fn schedule(&mut self, due: Us, process_index: usize, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((due, self.sequence, process_index, event)));
    }

    /// Runs for that number of protocol periods.
    pub(super) fn run(&mut self, periods: f64) {
        let end = self.now + (periods * PERIOD as f64) as Us;
        while self.now < end {
            let next = (self.now + CHECK_INTERVAL).min(end);
            self.run_until(next);
            self.check_views();
        }
    }

    fn run_until(&mut self, end: Us) {
        while self.queue.peek().is_some_and(|Reverse((due, ..))| *due <= end) {
            let Some(Reverse((due, _, process_index, event))) = self.queue.pop() else { break };
            self.now = due;
            match event {
                Event::Timer => self.on_timer(process_index),
                Event::Datagram { from, to, bytes } => self.on_datagram(process_index, from, to, bytes),
            }
        }
        self.now = end;
    }

    fn on_timer(&mut self, process_index: usize) {
        let process = &mut self.all[process_index];
        if process.wake <= self.now {
            process.wake = Us::MAX;
        }
        let now = at(self.now, process.clock_rate);
        if let Some(member) = process.member.as_mut().filter(|_| !process.stopped) {
            member.handle_timeout(now);
            self.poll_member(process_index);
        }
    }

    /// A datagram arrives at the process that had its destination when it was sent.
    fn on_datagram(&mut self, process_index: usize, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let process = &mut self.all[process_index];
        if process.address != to {
            return;
        }
        if !process.stopped {
            self.receive(process_index, from, bytes);
        } else if process.buffered.len() < MAX_SOCKET_DATAGRAMS {
            process.buffered.push((from, bytes));
        }
    }

    fn receive(&mut self, process_index: usize, from: SocketAddr, bytes: Vec<u8>) {
        let process = &mut self.all[process_index];
        let now = at(self.now, process.clock_rate);
        if let Some(member) = &mut process.member {
            member.handle_datagram(now, from, Bytes::from(bytes));
            self.poll_member(process_index);
        }
    }

    /// Executes what a member asks for, and schedules its timer.
    fn poll_member(&mut self, process_index: usize) {
        while let Some(output) = self.all[process_index].member.as_mut().and_then(Member::poll_output) {
            match output {
                Output::Send { to, bytes } => {
                    self.sent += bytes.len() as u64;
                    self.send_datagram(process_index, to, &bytes);
                }
                Output::Persist(persisted) => self.all[process_index].disk = persisted,
                Output::Event(_)
                | Output::Override(_)
                | Output::CatalogUpdate(_)
                | Output::Consensus { .. }
                | Output::NodeList(_) => {}
            }
        }
        let process = &mut self.all[process_index];
        let Some(member) = &process.member else { return };
        let wake = ((member.poll_timeout().secs() / process.clock_rate * 1e6) as Us).max(self.now + 1);
        if wake < process.wake {
            process.wake = wake;
            self.schedule(wake, process_index, Event::Timer);
        }
    }

    fn send_datagram(&mut self, sender: usize, to: SocketAddr, bytes: &Bytes) {
        let Some(receiver) = self.by_address.get(&to).copied() else { return };
        if !self.passes(self.all[sender].slot as usize, self.all[receiver].slot as usize) {
            return;
        }
        let from = self.all[sender].address;
        let copies = 1 + usize::from(self.generator.rand_float() < self.duplicated);
        for _ in 0..copies {
            if self.generator.rand_float() < self.loss {
                continue;
            }
            let due = self.now + MIN_DELAY + self.generator.rand_range(0..self.jitter);
            self.schedule(due, receiver, Event::Datagram { from, to, bytes: bytes.to_vec() });
        }
    }

    /// Whether datagrams from one number arrive at another one.
    fn passes(&self, sender: usize, receiver: usize) -> bool {
        self.groups[sender] == self.groups[receiver] && !self.mute[sender] && !self.deaf[receiver]
    }

    /// Runs until the views have settled, and returns the time in periods; none after `timeout` periods.
    pub(super) fn until_settled(&mut self, timeout: f64) -> Option<f64> {
        let start = self.now;
        loop {
            let periods = (self.now - start) as f64 / PERIOD as f64;
            if self.is_settled() {
                return Some(periods);
            }
            if periods >= timeout {
                return None;
            }
            self.run(CHECK_INTERVAL as f64 / PERIOD as f64);
        }
    }
}
