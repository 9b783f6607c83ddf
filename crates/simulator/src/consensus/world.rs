//! Processes with disks that lose what was not synced, clocks that run apart, letters that wait to be delivered, and what
//! must hold of all of it at any moment.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::{
    ConsensusFault, DiskIdentity, EntryPayload, LogSuffix, Message, PersistentState, RaftSettings, Replica,
    ReplicaOutput, ReplicaSettings, Write,
};

pub const LEASE: f64 = 1.0;
pub const DRIFT: f64 = 0.02;
/// Letters that wait; beyond that the oldest is lost.
const MAX_MESSAGES_IN_FLIGHT: usize = 60;

/// What a disk has, and what was given to it and is not there yet.
#[derive(Clone, Default)]
pub struct Disk {
    pub mark: u64,
    pub boot: u32,
    pub persisted: PersistentState,
    pub pending: Vec<Write>,
}

impl Disk {
    /// As a store does it: all of one write or nothing.
    pub fn take(&mut self, write: Write) {
        let persisted = &mut self.persisted;
        if let Some(hard_state) = write.hard_state {
            persisted.hard_state = hard_state;
        }
        if let Some(snapshot) = write.snapshot {
            persisted.snapshot = snapshot;
            persisted.entries.clear();
        }
        if let Some(LogSuffix { first_index, entries }) = write.entries {
            let at = first_index.saturating_sub(persisted.snapshot.last.index + 1) as usize;
            persisted.entries.truncate(at);
            persisted.entries.extend(entries);
        }
        if write.confirmed_voters.is_some() {
            persisted.confirmed_voters = write.confirmed_voters;
        }
        if let Some(known_disks) = write.known_disks {
            persisted.known_disks = known_disks;
        }
        if let Some(mark) = write.disk {
            self.mark = mark;
        }
    }
}

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

#[derive(Clone, Debug)]
pub struct MessageInFlight {
    pub from: u32,
    pub to: u32,
    pub message: Message,
}

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

    pub fn clock(&self, host: usize) -> Instant {
        Instant::from_secs(self.now * self.all[host].clock_rate + self.all[host].offset)
    }

    pub fn start(&mut self, host: usize) {
        self.generations += 1;
        let (now, generation, settings, fault, voters) =
            (self.clock(host), self.generations, self.settings, self.fault, self.voters);
        let process = &mut self.all[host];
        process.disk.pending.clear();
        // Written down before anything is said under it.
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

    /// What was not synced is gone.
    pub fn crash(&mut self, host: usize) {
        self.all[host].replica = None;
        self.all[host].disk.pending.clear();
    }

    pub fn wipe(&mut self, host: usize) {
        self.crash(host);
        self.generations += 1;
        self.all[host].disk = Disk { mark: 1_000 + self.generations, ..Disk::default() };
        self.start(host);
    }

    pub fn runs(&self, host: usize) -> bool {
        self.all[host].replica.is_some() && !self.all[host].stopped
    }

    pub fn pass(&mut self, seconds: f64) {
        self.now += seconds;
        for h in 0..self.all.len() {
            self.handle_timeout(h);
        }
    }

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

    /// The oldest write of a host is on its disk.
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

    /// A voter more or one less, at whoever takes itself for the leader.
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

    fn report_violation(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// What must hold of one host, after anything that it did.
    fn check(&mut self, host: usize) {
        let Some(s) = self.all[host].replica.take() else { return };
        self.check_replica(host, &s);
        self.all[host].replica = Some(s);
    }

    fn check_replica(&mut self, host: usize, replica: &Replica) {
        let (now, commit) = (self.clock(host), replica.commit_index());
        // One leader a term.
        if replica.raft.is_leader() {
            let first = *self.leaders.entry(replica.raft.term()).or_insert(host as u32);
            if first != host as u32 {
                self.report_violation(format!(
                    "hosts {first} and {host} both lead term {}",
                    replica.raft.term()
                ));
            }
        }
        // One entry a place, for good.
        let log = replica.raft.log();
        for index in (log.snapshot().last.index + 1).max(self.all[host].checked_index + 1)..=commit {
            let Some(e) = log.get(index) else { continue };
            let entry = (e.term, e.payload.clone());
            match self.ledger.get(&index) {
                Some((known, _)) if *known != entry => {
                    let what =
                        format!("two entries hold at {index}: {:?} and, at host {host}, {entry:?}", known);
                    self.report_violation(what);
                }
                Some(_) => {}
                None => _ = self.ledger.insert(index, (entry, self.now)),
            }
        }
        let new = commit != self.all[host].checked_index;
        self.all[host].checked_index = commit;
        // Each change once.
        let once: BTreeSet<u64> = self.all[host].state.iter().copied().filter(|_| new).collect();
        if new && once.len() != self.all[host].state.len() {
            self.report_violation(format!("host {host} has a change twice: {:?}", self.all[host].state));
        }
        // Reads are never stale.
        let done: Vec<(u32, u64)> =
            self.all[host].reads.iter().copied().filter(|(q, _)| replica.is_read_ready(*q)).collect();
        for (seq, newest) in done {
            self.reads_done += 1;
            self.all[host].reads.retain(|(q, _)| *q != seq);
            if commit < newest {
                self.report_violation(format!(
                    "a read at host {host} has {commit}, and {newest} held when it was asked"
                ));
            }
        }
        self.all[host].reads.truncate(64);
        // No host goes by what is older than what holds for longer than the lease. Looked at what it would do now, whatever it
        // has been told; a host that stands still does nothing.
        if !self.all[host].stopped && replica.lease_state(now).is_valid() {
            if let Some((_, (_, since))) = self.ledger.range(commit + 1..).next() {
                let long = self.now - since;
                self.longest = self.longest.max(long);
                if long > LEASE + 1e-6 {
                    self.report_violation(format!(
                        "host {host} goes by {commit} for {long:.3} s since another held; the lease is {LEASE} s"
                    ));
                }
            }
        }
    }

    /// All hosts as they would act now.
    pub fn check_all(&mut self) {
        (0..self.all.len()).for_each(|h| self.check(h));
    }

    pub fn committed(&self) -> u64 {
        self.ledger.keys().last().copied().unwrap_or(0)
    }

    /// Whether a copy of that host's disk can be told from the disk: it was opened since the copy was made, and all other
    /// voters have that on their own disks. Else nobody is there who could know; docs/agreement.md says so.
    pub fn is_old_disk_detectable(&self, host: usize) -> bool {
        let (boot, generation, mark) =
            (self.all[host].disk.boot, self.all[host].generation, self.all[host].disk.mark);
        let newest = Some(DiskIdentity { disk: mark, boot, generation });
        let known = |v: usize| self.all[v].disk.persisted.known_disks.get(&(host as u32)).copied() == newest;
        self.all[host].old.as_ref().is_some_and(|d| d.mark == mark && d.boot < boot)
            && (0..self.voters as usize).filter(|v| *v != host).all(known)
    }

    /// Nothing goes wrong for a while: letters arrive in order, disks write at once.
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

    /// Until somebody leads and the first entry holds.
    pub fn begin(&mut self) {
        for _ in 0..40 {
            self.calm(0.1);
            if self.committed() > 0 {
                break;
            }
        }
    }
}
