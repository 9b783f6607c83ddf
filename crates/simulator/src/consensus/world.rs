//! The world of a consensus group: processes with disks that lose what was not synced, clocks that drift, and messages in
//! flight. `checks` has the safety properties.

mod checks;

use super::disk::Disk;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::{
    ConsensusFault, DiskIdentity, EntryPayload, Message, RaftSettings, Replica, ReplicaOutput,
    ReplicaSettings,
};

/// The term of a lease, in seconds.
pub const LEASE: f64 = 1.0;
/// The most by which the rate of a clock differs from real time, as a fraction.
pub const DRIFT: f64 = 0.02;
/// Bound on messages in flight; beyond it the oldest message is lost.
const MAX_MESSAGES_IN_FLIGHT: usize = 60;

/// A host that runs a replica: its disk, its clock and what the checks remember of it.
#[derive(Clone)]
pub struct Process {
    pub replica: Option<Replica>,
    pub disk: Disk,
    pub old: Option<Disk>,
    pub stopped: bool,
    pub generation: u64,
    pub clock_rate: f64,
    offset: f64,
    /// The changes that its state machine has applied, in order.
    pub state: Vec<u64>,
    /// The log index up to which its entries have been checked.
    checked_index: u64,
    /// Reads under way: their number, and what was known to be committed when they were asked.
    reads: Vec<(u32, u64)>,
}

/// A message that was sent and not delivered yet.
#[derive(Clone, Debug)]
pub struct MessageInFlight {
    pub from: u32,
    pub to: u32,
    pub message: Message,
}

/// A consensus group in virtual time, and what is known of it across all hosts.
#[derive(Clone)]
pub struct World {
    pub now: f64,
    pub all: Vec<Process>,
    pub voters: u32,
    pub in_flight: Vec<MessageInFlight>,
    /// Ways that are cut, from one to the other.
    pub cut: BTreeSet<(u32, u32)>,
    pub fault: Option<ConsensusFault>,
    pub settings: RaftSettings,
    generations: u64,
    proposal_count: u64,
    /// What holds at each place, and since when that was first known anywhere.
    pub ledger: BTreeMap<u64, ((u64, EntryPayload), f64)>,
    leaders: BTreeMap<u64, u32>,
    pub broken: Option<String>,
    /// The longest time for which a host went by something older than what held.
    pub longest: f64,
    pub reads_done: u64,
}

fn bytes_of(state: &[u64]) -> Bytes {
    let mut out = BytesMut::new();
    state.iter().for_each(|t| out.put_u64(*t));
    out.freeze()
}

impl World {
    /// A group whose hosts have all just started. `clock_rate` gives the rate of each host's clock.
    pub fn new(
        voters: u32,
        followers: u32,
        fault: Option<ConsensusFault>,
        clock_rate: impl Fn(u32) -> f64,
    ) -> World {
        let settings = RaftSettings {
            heartbeat_interval: TimeDelta::from_secs(0.05),
            election_timeout: TimeDelta::from_secs(0.3),
            lease: TimeDelta::from_secs(LEASE),
            max_clock_drift: DRIFT,
            host_count: voters + followers,
            snapshot_after_entries: 6,
            snapshot_after_bytes: 1 << 20,
        };
        let process = |i: u32| Process {
            replica: None,
            disk: Disk { mark: u64::from(i) + 100, ..Disk::default() },
            old: None,
            stopped: false,
            generation: 0,
            clock_rate: clock_rate(i),
            offset: 1_000.0 * f64::from(i),
            state: Vec::new(),
            checked_index: 0,
            reads: Vec::new(),
        };
        let mut world = World {
            now: 10.0,
            all: (0..voters + followers).map(process).collect(),
            voters,
            in_flight: Vec::new(),
            cut: BTreeSet::new(),
            fault,
            settings,
            generations: 0,
            proposal_count: 0,
            ledger: BTreeMap::new(),
            leaders: BTreeMap::new(),
            broken: None,
            longest: 0.0,
            reads_done: 0,
        };
        (0..world.all.len()).for_each(|h| world.start(h));
        world
    }

    /// What a host's steady clock shows.
    pub fn clock(&self, host: usize) -> Instant {
        Instant::from_secs(self.now * self.all[host].clock_rate + self.all[host].offset)
    }

    /// Starts the process of a host from its disk.
    pub fn start(&mut self, host: usize) {
        self.generations += 1;
        let (now, generation, settings, fault, voters) =
            (self.clock(host), self.generations, self.settings, self.fault, self.voters);
        let process = &mut self.all[host];
        process.disk.pending.clear();
        // Persisted before anything is sent under it.
        process.disk.boot += 1;
        let identity = DiskIdentity { disk: process.disk.mark, boot: process.disk.boot, generation };
        (process.generation, process.stopped) = (generation, false);
        (process.state, process.reads, process.checked_index) = (Vec::new(), Vec::new(), 0);
        let persisted = process.disk.persisted.clone();
        let initial_voters = (0..voters).collect();
        let replica_settings = ReplicaSettings {
            me: host as u32,
            identity,
            raft: settings,
            initial_voters,
            persisted,
            seed: generation,
        };
        let mut replica = Replica::new(now, replica_settings);
        if let Some(f) = fault {
            replica = replica.with_fault(f);
        }
        process.replica = Some(replica);
        self.collect(host);
    }

    /// Ends a process. What was not synced is lost.
    pub fn crash(&mut self, host: usize) {
        self.all[host].replica = None;
        self.all[host].disk.pending.clear();
    }

    /// Restarts a host with an empty disk.
    pub fn wipe(&mut self, host: usize) {
        self.crash(host);
        self.generations += 1;
        self.all[host].disk = Disk { mark: 1_000 + self.generations, ..Disk::default() };
        self.start(host);
    }

    /// Whether the process of a host is up and not stopped.
    pub fn runs(&self, host: usize) -> bool {
        self.all[host].replica.is_some() && !self.all[host].stopped
    }

    /// Lets time pass, and fires the timers of all hosts.
    pub fn pass(&mut self, seconds: f64) {
        self.now += seconds;
        for h in 0..self.all.len() {
            self.handle_timeout(h);
        }
    }

    /// Fires the timers of one host that are due.
    pub fn handle_timeout(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        let now = self.clock(host);
        let mut wakes = None;
        if let Some(s) = &mut self.all[host].replica {
            s.handle_timeout(now);
            wakes = Some(s.poll_timeout(now));
        }
        // A host that wants to be woken at once, again and again, does nothing else.
        if wakes.is_some_and(|w| w <= now) {
            self.report_violation(format!("host {host} wants to be woken at {wakes:?}, at {now:?}"));
        }
        self.collect(host);
    }

    /// Syncs the oldest pending write of a host.
    pub fn sync(&mut self, host: usize) {
        let now = self.clock(host);
        let process = &mut self.all[host];
        if process.disk.pending.is_empty() || process.stopped {
            return;
        }
        let write = process.disk.pending.remove(0);
        let write_id = write.write_id;
        process.disk.take(write);
        if let Some(s) = &mut process.replica {
            s.on_persisted(now, write_id);
        }
        self.collect(host);
    }

    /// Delivers a message in flight; with `again` a copy of it stays in flight.
    pub fn deliver(&mut self, message_index: usize, again: bool) {
        let in_flight =
            if again { self.in_flight[message_index].clone() } else { self.in_flight.remove(message_index) };
        let to = in_flight.to as usize;
        if !self.runs(to) || self.cut.contains(&(in_flight.from, in_flight.to)) {
            return;
        }
        let now = self.clock(to);
        // As on the wire.
        let message = Message::decode(in_flight.message.to_bytes());
        if let (Some(s), Ok(message)) = (&mut self.all[to].replica, message) {
            s.handle_message(now, in_flight.from, message);
        }
        self.collect(to);
    }

    /// Proposes a change at a host.
    pub fn change(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        self.proposal_count += 1;
        let (now, text) = (self.clock(host), self.proposal_count);
        if let Some(s) = &mut self.all[host].replica {
            _ = s.propose(now, bytes_of(&[text]));
        }
        self.collect(host);
    }

    /// Begins a linearizable read at a host.
    pub fn read(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        let (now, newest) = (self.clock(host), self.ledger.keys().last().copied().unwrap_or(0));
        if let Some(s) = &mut self.all[host].replica {
            let seq = s.request_read(now);
            self.all[host].reads.push((seq, newest));
        }
        self.collect(host);
    }

    /// Adds or removes a voter, at each host that believes itself to be the leader.
    pub fn move_voters(&mut self, host: u32, votes: bool) {
        for h in 0..self.all.len() {
            let now = self.clock(h);
            if self.runs(h) {
                if let Some(s) = self.all[h].replica.as_mut().filter(|s| s.raft.is_leader()) {
                    _ = match votes {
                        true => s.raft.add_voter(now, host),
                        false => s.raft.remove_voter(now, host),
                    };
                }
                self.handle_timeout(h);
            }
        }
    }

    fn collect(&mut self, host: usize) {
        loop {
            let now = self.clock(host);
            let process = &mut self.all[host];
            let Some(o) = process.replica.as_mut().and_then(Replica::poll_output) else { break };
            match o {
                ReplicaOutput::Send { to, message } => {
                    if self.in_flight.len() >= MAX_MESSAGES_IN_FLIGHT {
                        self.in_flight.remove(0);
                    }
                    self.in_flight.push(MessageInFlight { from: host as u32, to, message });
                }
                ReplicaOutput::Write(w) => process.disk.pending.push(w),
                ReplicaOutput::Committed { mut data, .. } => process.state.push(data.get_u64()),
                ReplicaOutput::RestoreSnapshot { mut state, .. } => {
                    process.state.clear();
                    while state.len() >= 8 {
                        process.state.push(state.get_u64());
                    }
                }
                ReplicaOutput::TakeSnapshot { index } => {
                    let state = bytes_of(&process.state);
                    if let Some(s) = &mut process.replica {
                        s.on_snapshot_taken(now, index, &state);
                    }
                }
                ReplicaOutput::ProposalTimedOut { .. } | ReplicaOutput::Event(_) => {}
            }
        }
        self.check(host);
    }

    /// Runs without faults for a while: messages arrive in order, and disks sync at once.
    pub fn calm(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end && self.broken.is_none() {
            for _ in 0..self.in_flight.len() {
                for h in 0..self.all.len() {
                    while !self.all[h].disk.pending.is_empty() && self.runs(h) {
                        self.sync(h);
                    }
                }
                if !self.in_flight.is_empty() {
                    self.deliver(0, false);
                }
            }
            self.pass(0.01);
            self.check_all();
        }
    }

    /// Runs until there is a leader and the first entry is committed.
    pub fn begin(&mut self) {
        for _ in 0..40 {
            self.calm(0.1);
            if self.committed() > 0 {
                break;
            }
        }
    }
}
