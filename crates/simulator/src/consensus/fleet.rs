//! The consensus group at full size in virtual time: messages and disk writes take time. Measures what consensus costs and
//! how soon a change is committed everywhere.

mod figures;
mod measurement;

pub use figures::{ConsensusFigures, FleetTrial};
pub use measurement::simulate_fleet;

use super::disk::Disk;
use bytes::{Buf, Bytes};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::{DiskIdentity, Message, RaftSettings, Replica, ReplicaOutput, ReplicaSettings};

/// Microseconds of virtual time.
type Us = u64;
/// How long one write to disk takes, with its sync, in microseconds.
const DISK_WRITE_TIME: Us = 4_000;
/// The shortest time that a message takes, in microseconds.
const MIN_MESSAGE_DELAY: Us = 300;
/// A message takes up to this much longer, drawn for each message, in microseconds.
const MAX_MESSAGE_JITTER: Us = 1_000;
/// Bytes of a datagram beside the message: the sender's state, and the headers of UDP and IP.
const DATAGRAM_OVERHEAD_BYTES: u64 = 90;
/// Bytes of a message that one datagram carries.
const DATAGRAM_PAYLOAD_BYTES: u64 = 1_200;
/// Size of a proposed change, which is that of a change of a plan's limits, in bytes.
const CHANGE_BYTES: usize = 400;
/// Where virtual time begins, in microseconds.
const START_TIME: Us = 10_000_000;
/// Marks of disks begin here.
const FIRST_DISK_MARK: u64 = 100;

enum Event {
    Message { from: u32, to: u32, bytes: Bytes },
    DiskWritten { host: u32, write_id: u64 },
    Timer { host: u32 },
}

struct Host {
    /// None: the host does not run.
    replica: Option<Replica>,
    disk: Disk,
    /// When its timer is due.
    wake: Us,
    /// When each change, by its number, was known to be committed here.
    known: BTreeMap<u64, Us>,
}

/// The state of a trial.
struct Fleet {
    now: Us,
    hosts: Vec<Host>,
    /// The numbers of pending events by time.
    queue: BinaryHeap<Reverse<(Us, u64)>>,
    events: BTreeMap<u64, Event>,
    /// The number of the newest event.
    sequence: u64,
    settings: RaftSettings,
    trial: FleetTrial,
    generator: oorandom::Rand64,
    /// Hosts that are partitioned off from the others.
    cut: Vec<bool>,
    /// Bytes that each host has sent.
    bytes: Vec<u64>,
    proposal_count: u64,
    /// By host and number of its proposal: the number of the change.
    own_proposals: BTreeMap<(u32, u32), u64>,
    /// Hosts whose proposals are committed, in the order in which they learned so.
    committed_proposers: Vec<u32>,
}

fn at(us: Us) -> Instant {
    Instant::from_secs(us as f64 / 1e6)
}

impl Host {
    /// A write has reached the disk, unless the host has ended meanwhile.
    fn finish_write(&mut self, now: Instant, write_id: u64) {
        let pending = &mut self.disk.pending;
        let Some(position) = pending.iter().position(|write| write.write_id == write_id) else { return };
        let write = pending.remove(position);
        self.disk.sync(write);
        if let Some(replica) = &mut self.replica {
            replica.on_persisted(now, write_id);
        }
    }
}

impl Fleet {
    fn new(trial: FleetTrial) -> Fleet {
        let settings = RaftSettings {
            heartbeat_interval: TimeDelta::from_secs(0.1),
            election_timeout: TimeDelta::from_secs(1.0),
            lease_duration: TimeDelta::from_secs(5.0),
            max_clock_drift: 0.001,
            host_count: trial.hosts,
            snapshot_after_entries: 2_000,
            snapshot_after_bytes: 4 << 20,
        };
        let host = |host: u32| Host {
            replica: None,
            disk: Disk { mark: u64::from(host) + FIRST_DISK_MARK, ..Disk::default() },
            wake: Us::MAX,
            known: BTreeMap::new(),
        };
        let mut fleet = Fleet {
            now: START_TIME,
            hosts: (0..trial.hosts).map(host).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            settings,
            trial,
            generator: oorandom::Rand64::new(u128::from(trial.seed)),
            cut: vec![false; trial.hosts as usize],
            bytes: vec![0; trial.hosts as usize],
            proposal_count: 0,
            own_proposals: BTreeMap::new(),
            committed_proposers: Vec::new(),
        };
        (0..trial.hosts).for_each(|host| fleet.start(host));
        fleet
    }

    fn schedule(&mut self, due: Us, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((due, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Starts the process of a host from its disk.
    fn start(&mut self, host_index: u32) {
        let now = at(self.now);
        let host = &mut self.hosts[host_index as usize];
        host.disk.boot += 1;
        let generation = u64::from(host.disk.boot) << 20 | u64::from(host_index);
        let identity = DiskIdentity { disk: host.disk.mark, boot: host.disk.boot, generation };
        let initial_voters = (0..self.trial.voters).collect();
        let persisted = host.disk.persisted.clone();
        let settings = ReplicaSettings {
            host: host_index,
            identity,
            raft: self.settings,
            initial_voters,
            persisted,
            seed: self.trial.seed ^ generation,
        };
        host.replica = Some(Replica::new(now, settings));
        self.poll_replica(host_index);
    }

    /// Runs for that number of seconds.
    fn run(&mut self, seconds: f64) {
        let end = self.now + (seconds * 1e6) as Us;
        while self.queue.peek().is_some_and(|Reverse((due, _))| *due <= end) {
            let Some(Reverse((due, sequence))) = self.queue.pop() else { break };
            self.now = self.now.max(due);
            if let Some(event) = self.events.remove(&sequence) {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        let now = at(self.now);
        let host_index = match event {
            Event::Message { to, .. } => to,
            Event::DiskWritten { host, .. } | Event::Timer { host } => host,
        };
        let host = &mut self.hosts[host_index as usize];
        match event {
            Event::Message { from, bytes, .. } => {
                if let (Some(replica), Ok(message)) = (&mut host.replica, Message::decode(bytes)) {
                    replica.handle_message(now, from, message);
                }
            }
            Event::DiskWritten { write_id, .. } => host.finish_write(now, write_id),
            Event::Timer { .. } => {
                if host.wake <= self.now {
                    host.wake = Us::MAX;
                }
                if let Some(replica) = &mut host.replica {
                    replica.handle_timeout(now);
                }
            }
        }
        self.poll_replica(host_index);
    }

    /// Executes what a replica asks for, and schedules its timer.
    fn poll_replica(&mut self, host_index: u32) {
        let now = at(self.now);
        while let Some(output) =
            self.hosts[host_index as usize].replica.as_mut().and_then(Replica::poll_output)
        {
            self.execute(host_index, output);
        }
        let host = &mut self.hosts[host_index as usize];
        let Some(replica) = &host.replica else { return };
        let wake = ((replica.poll_timeout(now).secs() * 1e6) as Us).max(self.now + 1);
        if wake < host.wake {
            host.wake = wake;
            self.schedule(wake, Event::Timer { host: host_index });
        }
    }

    fn execute(&mut self, host_index: u32, output: ReplicaOutput) {
        let now = at(self.now);
        let host = &mut self.hosts[host_index as usize];
        match output {
            ReplicaOutput::Send { to, message } => self.send_message(host_index, to, &message),
            ReplicaOutput::Write(write) => {
                let write_id = write.write_id;
                host.disk.pending.push(write);
                // A disk does one write after the other.
                let due = self.now + DISK_WRITE_TIME * host.disk.pending.len() as Us;
                self.schedule(due, Event::DiskWritten { host: host_index, write_id });
            }
            ReplicaOutput::Committed { mut data, own_proposal, .. } => {
                host.known.insert(data.get_u64(), self.now);
                let own = own_proposal.and_then(|number| self.own_proposals.remove(&(host_index, number)));
                if own.is_some() {
                    self.committed_proposers.push(host_index);
                }
            }
            ReplicaOutput::TakeSnapshot { index } => {
                if let Some(replica) = &mut host.replica {
                    replica.on_snapshot_taken(now, index, b"");
                }
            }
            ReplicaOutput::RestoreSnapshot { .. }
            | ReplicaOutput::ProposalTimedOut { .. }
            | ReplicaOutput::Event(_) => {}
        }
    }

    fn send_message(&mut self, from: u32, to: u32, message: &Message) {
        let bytes = message.to_bytes();
        let length = bytes.len() as u64;
        let datagram_count = 1 + length / DATAGRAM_PAYLOAD_BYTES;
        self.bytes[from as usize] += length + DATAGRAM_OVERHEAD_BYTES * datagram_count;
        if self.cut[from as usize] != self.cut[to as usize] || self.generator.rand_float() < self.trial.loss {
            return;
        }
        let due = self.now + MIN_MESSAGE_DELAY + self.generator.rand_range(0..MAX_MESSAGE_JITTER);
        self.schedule(due, Event::Message { from, to, bytes });
    }

    /// Proposes a change at a host, and returns its number.
    fn change(&mut self, host_index: u32) -> u64 {
        self.proposal_count += 1;
        let (now, change) = (at(self.now), self.proposal_count);
        let mut data = change.to_be_bytes().to_vec();
        data.resize(CHANGE_BYTES, 0);
        if let Some(replica) = &mut self.hosts[host_index as usize].replica {
            if let Ok(number) = replica.propose(now, data.into()) {
                self.own_proposals.insert((host_index, number), change);
            }
        }
        self.poll_replica(host_index);
        change
    }

    fn leader(&self) -> Option<u32> {
        let is_leader = |host: &Host| host.replica.as_ref().is_some_and(|replica| replica.raft.is_leader());
        self.hosts.iter().position(is_leader).map(|host_index| host_index as u32)
    }

    /// Runs in steps until a condition holds, and returns the time in seconds; none after the timeout.
    fn run_until(&mut self, timeout: f64, step: f64, condition: impl Fn(&Fleet) -> bool) -> Option<f64> {
        let began = self.now;
        while !condition(self) {
            if (self.now - began) as f64 / 1e6 > timeout {
                return None;
            }
            self.run(step);
        }
        Some((self.now - began) as f64 / 1e6)
    }

    /// Whether all hosts have a valid lease.
    fn do_all_have_leases(&self) -> bool {
        let now = at(self.now);
        let has_lease = |replica: &Replica| replica.lease_state(now).is_valid();
        self.hosts.iter().all(|host| host.replica.as_ref().is_some_and(has_lease))
    }
}
