//! The world of a trial: events of processes and of the network between them in virtual time. `checks` has what a view must
//! never do.

mod checks;
mod network;
mod process;

use super::{Shown, Trial};
use bytes::Bytes;
use network::Network;
use process::Process;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use tackmast_membership::{Member, Output};

/// Microseconds of virtual time.
pub(super) type Us = u64;
/// The protocol period, which is the default of the settings, in microseconds.
pub(super) const PERIOD: Us = 500_000;
/// Where virtual time begins, in microseconds.
const START_TIME: Us = 100_000_000;
/// How often the views are checked, in microseconds.
const CHECK_INTERVAL: Us = 50_000;
/// A death is false if its host was alive and reachable for this time before it, in periods.
const ALIVE_PERIODS_BEFORE_DEATH: u64 = 70;
/// The shortest delay of a datagram, in microseconds.
const MIN_DELAY: Us = 300;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Timer,
    Datagram { from: SocketAddr, to: SocketAddr, bytes: Vec<u8> },
}

/// A fleet of membership processes in virtual time, and the network between them.
pub(super) struct World {
    pub now: Us,
    pub all: Vec<Process>,
    by_address: HashMap<SocketAddr, usize>,
    pub hosts: u32,
    pub network: Network,
    /// Events by time, with a number that keeps the order of those of one time, and the process.
    queue: BinaryHeap<Reverse<(Us, u64, usize, Event)>>,
    sequence: u64,
    pub generator: oorandom::Rand64,
    trial: Trial,
    pub shown: Shown,
    next_check: Us,
    /// Accusations that were answered by processes which have ended.
    answered: u64,
    /// Bytes that all processes have sent.
    pub sent: u64,
}

impl World {
    /// A fleet without processes.
    pub(super) fn new(trial: &Trial) -> World {
        let hosts = trial.hosts;
        World {
            now: START_TIME,
            all: Vec::new(),
            by_address: HashMap::new(),
            hosts,
            network: Network::new(hosts),
            queue: BinaryHeap::new(),
            sequence: 0,
            generator: oorandom::Rand64::new(u128::from(trial.seed) << 8 | trial.case as u128),
            trial: *trial,
            shown: Shown::default(),
            sent: 0,
            next_check: 0,
            answered: 0,
        }
    }

    /// A process that does not run yet.
    pub(super) fn add(&mut self, slot: u32, port: u16) -> usize {
        let process = Process::new(slot, port, self.hosts, self.now);
        self.by_address.insert(process.address, self.all.len());
        self.all.push(process);
        self.all.len() - 1
    }

    /// Moves a process that does not run to another port.
    pub(super) fn change_address(&mut self, process_index: usize, port: u16) {
        let process = &mut self.all[process_index];
        self.by_address.remove(&process.address);
        process.address = process::address(process.slot, port);
        self.by_address.insert(process.address, process_index);
    }

    /// Starts a process. It must not know any other host before it has received a message.
    pub(super) fn start(&mut self, process_index: usize) {
        let process = &mut self.all[process_index];
        let live_count = process.start(self.now, &self.trial);
        if live_count > 0 {
            let slot = process.slot;
            self.shown.broken.push(format!("host {slot} has {live_count} live hosts before any message"));
        }
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
        self.network.partition_changed = self.now;
        self.network.groups = (0..self.hosts).map(group).collect();
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
        let now = process.steady_clock(self.now);
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
        } else {
            process.buffer(from, bytes);
        }
    }

    fn receive(&mut self, process_index: usize, from: SocketAddr, bytes: Vec<u8>) {
        let process = &mut self.all[process_index];
        let now = process.steady_clock(self.now);
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
                | Output::EndpointList(_) => {}
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
        if !self.network.passes(self.all[sender].slot as usize, self.all[receiver].slot as usize) {
            return;
        }
        let from = self.all[sender].address;
        let copies = 1 + usize::from(self.generator.rand_float() < self.network.duplicated);
        for _ in 0..copies {
            if self.generator.rand_float() < self.network.loss {
                continue;
            }
            let due = self.now + MIN_DELAY + self.generator.rand_range(0..self.network.jitter);
            self.schedule(due, receiver, Event::Datagram { from, to, bytes: bytes.to_vec() });
        }
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
