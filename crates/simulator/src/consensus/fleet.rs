//! The consensus group at full size in virtual time: messages and disk writes take time. Measures what consensus costs and
//! how soon a change is committed everywhere.

mod measurement;

pub use measurement::simulate_fleet;

use super::disk::Disk;
use bytes::{Buf, Bytes};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::{DiskIdentity, Message, RaftSettings, Replica, ReplicaOutput, ReplicaSettings};

type Us = u64;
/// How long one write to disk takes, with its sync, in microseconds.
const DISK_WRITE_TIME: Us = 4_000;
/// The least time that a message takes, in microseconds.
const MIN_MESSAGE_DELAY: Us = 300;
/// A message takes up to this much longer, drawn for each message, in microseconds.
const MAX_MESSAGE_JITTER: Us = 1_000;
/// Bytes of a datagram beside the message: the sender's state, and the headers of UDP and IP.
const DATAGRAM_OVERHEAD_BYTES: u64 = 90;

/// The fleet that one trial simulates.
#[derive(Clone, Copy, Debug)]
pub struct FleetTrial {
    /// Hosts in all, voters among them.
    pub hosts: u32,
    /// Hosts that vote: the first ones.
    pub voters: u32,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Fraction of messages that is lost.
    pub loss: f64,
}

/// What a trial has measured. Times are in seconds.
#[derive(Clone, Debug, Default)]
pub struct ConsensusFigures {
    /// From the start of all hosts until each has a lease.
    pub begins: f64,
    /// Bytes a second that a host sends at rest, on average.
    pub bytes: f64,
    /// Bytes a second that the leader sends at rest.
    pub leader_bytes: f64,
    /// From a change proposed at a random host until that host knows that it is committed: median and maximum.
    pub known: (f64, f64),
    /// The same until all hosts know: median and maximum.
    pub all_know: (f64, f64),
    /// Committed changes a second, with one proposal open at each of up to 16 hosts.
    pub commits: f64,
    /// From the death of the leader until a change is committed again.
    pub leaderless: f64,
    /// With a third of the hosts partitioned off while changes go on: the longest time for which one of them had a valid
    /// lease and an older state.
    pub longest: f64,
    /// What did not happen as it must, in words.
    pub broken: Vec<String>,
}

enum Event {
    Message(u32, u32, Bytes),
    Disk(u32, u64),
    Wake(u32),
}

struct Host {
    replica: Option<Replica>,
    disk: Disk,
    wake: Us,
    /// When each change, by its number, was known to be committed here.
    known: BTreeMap<u64, Us>,
}

struct Fleet {
    now: Us,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(Us, u64)>>,
    events: BTreeMap<u64, Event>,
    number: u64,
    settings: RaftSettings,
    trial: FleetTrial,
    generator: oorandom::Rand64,
    cut: Vec<bool>,
    bytes: Vec<u64>,
    proposal_count: u64,
    own_proposals: BTreeMap<(u32, u32), u64>,
    done: Vec<(u64, u32, Us)>,
}

fn at(us: Us) -> Instant {
    Instant::from_secs(us as f64 / 1e6)
}

impl Fleet {
    fn new(trial: FleetTrial) -> Fleet {
        let settings = RaftSettings {
            heartbeat_interval: TimeDelta::from_secs(0.1),
            election_timeout: TimeDelta::from_secs(1.0),
            lease: TimeDelta::from_secs(5.0),
            max_clock_drift: 0.001,
            host_count: trial.hosts,
            snapshot_after_entries: 2_000,
            snapshot_after_bytes: 4 << 20,
        };
        let host = |i: u32| Host {
            replica: None,
            disk: Disk { mark: u64::from(i) + 100, ..Disk::default() },
            wake: Us::MAX,
            known: BTreeMap::new(),
        };
        let mut fleet = Fleet {
            now: 10_000_000,
            hosts: (0..trial.hosts).map(host).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            settings,
            trial,
            generator: oorandom::Rand64::new(u128::from(trial.seed)),
            cut: vec![false; trial.hosts as usize],
            bytes: vec![0; trial.hosts as usize],
            proposal_count: 0,
            own_proposals: BTreeMap::new(),
            done: Vec::new(),
        };
        (0..trial.hosts).for_each(|h| fleet.start(h));
        fleet
    }

    fn push(&mut self, at: Us, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.events.insert(self.number, event);
    }

    fn start(&mut self, host_index: u32) {
        let now = at(self.now);
        let host = &mut self.hosts[host_index as usize];
        host.disk.boot += 1;
        let generation = u64::from(host.disk.boot) << 20 | u64::from(host_index);
        let identity = DiskIdentity { disk: host.disk.mark, boot: host.disk.boot, generation };
        let initial_voters = (0..self.trial.voters).collect();
        let persisted = host.disk.persisted.clone();
        let settings = ReplicaSettings {
            me: host_index,
            identity,
            raft: self.settings,
            initial_voters,
            persisted,
            seed: self.trial.seed ^ generation,
        };
        host.replica = Some(Replica::new(now, settings));
        self.pull(host_index);
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + (seconds * 1e6) as Us;
        while let Some(Reverse((t, _))) = self.queue.peek().copied().filter(|Reverse((t, _))| *t <= end) {
            let Some(Reverse((_, n))) = self.queue.pop() else { break };
            self.now = self.now.max(t);
            let now = at(self.now);
            match self.events.remove(&n) {
                Some(Event::Message(from, to, bytes)) => {
                    if let (Some(s), Ok(message)) =
                        (&mut self.hosts[to as usize].replica, Message::decode(bytes))
                    {
                        s.handle_message(now, from, message);
                    }
                    self.pull(to);
                }
                Some(Event::Disk(h, write_id)) => {
                    let host = &mut self.hosts[h as usize];
                    if let Some(i) = host.disk.pending.iter().position(|write| write.write_id == write_id) {
                        let write = host.disk.pending.remove(i);
                        host.disk.take(write);
                        if let Some(s) = &mut host.replica {
                            s.on_persisted(now, write_id);
                        }
                    }
                    self.pull(h);
                }
                Some(Event::Wake(h)) => {
                    let host = &mut self.hosts[h as usize];
                    if host.wake <= self.now {
                        host.wake = Us::MAX;
                    }
                    if let Some(s) = &mut host.replica {
                        s.handle_timeout(now);
                    }
                    self.pull(h);
                }
                None => {}
            }
        }
        self.now = end;
    }

    fn pull(&mut self, host_index: u32) {
        let now = at(self.now);
        loop {
            let host = &mut self.hosts[host_index as usize];
            let Some(o) = host.replica.as_mut().and_then(Replica::poll_output) else { break };
            match o {
                ReplicaOutput::Send { to, message } => self.post(host_index, to, &message),
                ReplicaOutput::Write(w) => {
                    let write_id = w.write_id;
                    host.disk.pending.push(w);
                    // A disk does one write after the other.
                    let due = self.now + DISK_WRITE_TIME * host.disk.pending.len() as Us;
                    self.push(due, Event::Disk(host_index, write_id));
                }
                ReplicaOutput::Committed { mut data, own_proposal, .. } => {
                    let text = data.get_u64();
                    host.known.insert(text, self.now);
                    if let Some(n) = own_proposal {
                        if self.own_proposals.remove(&(host_index, n)).is_some() {
                            self.done.push((text, host_index, self.now));
                        }
                    }
                }
                ReplicaOutput::TakeSnapshot { index } => {
                    if let Some(s) = &mut host.replica {
                        s.on_snapshot_taken(now, index, b"");
                    }
                }
                ReplicaOutput::RestoreSnapshot { .. }
                | ReplicaOutput::ProposalTimedOut { .. }
                | ReplicaOutput::Event(_) => {}
            }
        }
        let host = &mut self.hosts[host_index as usize];
        let Some(s) = &host.replica else { return };
        let wake = ((s.poll_timeout(now).secs() * 1e6) as Us).max(self.now + 1);
        if wake < host.wake {
            host.wake = wake;
            self.push(wake, Event::Wake(host_index));
        }
    }

    fn post(&mut self, from: u32, to: u32, message: &Message) {
        let bytes = message.to_bytes();
        self.bytes[from as usize] +=
            bytes.len() as u64 + DATAGRAM_OVERHEAD_BYTES * (1 + bytes.len() as u64 / 1_200);
        if self.cut[from as usize] != self.cut[to as usize] || self.generator.rand_float() < self.trial.loss {
            return;
        }
        let due = self.now + MIN_MESSAGE_DELAY + self.generator.rand_range(0..MAX_MESSAGE_JITTER);
        self.push(due, Event::Message(from, to, bytes));
    }

    fn change(&mut self, host_index: u32) -> u64 {
        self.proposal_count += 1;
        let (now, text) = (at(self.now), self.proposal_count);
        // The size of a change of a plan's limits.
        let mut data = text.to_be_bytes().to_vec();
        data.resize(400, 0);
        if let Some(s) = &mut self.hosts[host_index as usize].replica {
            if let Ok(n) = s.propose(now, data.into()) {
                self.own_proposals.insert((host_index, n), text);
            }
        }
        self.pull(host_index);
        text
    }

    fn leader(&self) -> Option<u32> {
        let is_leader = |x: &Host| x.replica.as_ref().is_some_and(|s| s.raft.is_leader());
        self.hosts.iter().position(is_leader).map(|h| h as u32)
    }

    fn until(&mut self, timeout: f64, step: f64, is: impl Fn(&Fleet) -> bool) -> Option<f64> {
        let began = self.now;
        while !is(self) {
            if (self.now - began) as f64 / 1e6 > timeout {
                return None;
            }
            self.run(step);
        }
        Some((self.now - began) as f64 / 1e6)
    }

    fn all_hold(&self) -> bool {
        let now = at(self.now);
        self.hosts.iter().all(|x| x.replica.as_ref().is_some_and(|s| s.lease_state(now).is_valid()))
    }
}
