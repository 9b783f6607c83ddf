//! The world of a consensus group: processes with disks that lose what was not synced, clocks that drift, and messages in
//! flight. `checks` has the safety properties.

mod checks;
mod process;

pub(super) use process::Process;

use super::disk::Disk;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use process::ProcessStart;
use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::{ConsensusFault, EntryPayload, Message, RaftSettings, Replica, ReplicaOutput};

/// The term of a lease, in seconds.
pub(super) const LEASE: f64 = 1.0;
/// The most by which the rate of a clock differs from real time, as a fraction.
pub(super) const DRIFT: f64 = 0.02;
/// Bound on messages in flight; beyond it the oldest message is lost.
const MAX_MESSAGES_IN_FLIGHT: usize = 60;
/// Marks of disks in place of lost ones begin here.
const FIRST_NEW_DISK_MARK: u64 = 1_000;
/// Length of a step without faults, in seconds.
const CALM_STEP_S: f64 = 0.01;

/// A message that was sent and not delivered yet.
#[derive(Clone, Debug)]
pub(super) struct MessageInFlight {
    pub from: u32,
    pub to: u32,
    pub message: Message,
}

/// An entry that is known to be committed.
#[derive(Clone)]
pub(super) struct CommittedEntry {
    pub term: u64,
    pub payload: EntryPayload,
    /// When a host first knew that it is committed, in seconds of virtual time.
    pub since: f64,
}

/// A consensus group in virtual time, and what is known of it across all hosts.
#[derive(Clone)]
pub(super) struct World {
    /// Virtual time in seconds.
    pub now: f64,
    pub all: Vec<Process>,
    /// Hosts that vote at first: the first ones.
    pub voters: u32,
    pub in_flight: Vec<MessageInFlight>,
    /// Links that are cut: messages from the first host to the second are lost.
    pub cut: BTreeSet<(u32, u32)>,
    pub fault: Option<ConsensusFault>,
    pub settings: RaftSettings,
    /// The newest generation of a process.
    generation: u64,
    proposal_count: u64,
    /// The entries that are committed, by log index.
    pub ledger: BTreeMap<u64, CommittedEntry>,
    /// The leader of each term.
    leaders: BTreeMap<u64, u32>,
    /// The first violation of a safety property.
    pub broken: Option<String>,
    /// The longest time for which a host with a valid lease had an older state, in seconds.
    pub longest: f64,
    /// Reads that were answered.
    pub reads_done: u64,
}

/// The changes of a state machine as bytes.
fn encode_changes(changes: &[u64]) -> Bytes {
    let mut bytes = BytesMut::new();
    changes.iter().for_each(|change| bytes.put_u64(*change));
    bytes.freeze()
}

impl World {
    /// A group whose hosts have all just started. `clock_rate` gives the rate of each host's clock.
    pub(super) fn new(
        voters: u32,
        followers: u32,
        fault: Option<ConsensusFault>,
        clock_rate: impl Fn(u32) -> f64,
    ) -> World {
        let settings = RaftSettings {
            heartbeat_interval: TimeDelta::from_secs(0.05),
            election_timeout: TimeDelta::from_secs(0.3),
            lease_duration: TimeDelta::from_secs(LEASE),
            max_clock_drift: DRIFT,
            host_count: voters + followers,
            snapshot_after_entries: 6,
            snapshot_after_bytes: 1 << 20,
        };
        let mut world = World {
            now: 10.0,
            all: (0..voters + followers).map(|host| Process::new(host, clock_rate(host))).collect(),
            voters,
            in_flight: Vec::new(),
            cut: BTreeSet::new(),
            fault,
            settings,
            generation: 0,
            proposal_count: 0,
            ledger: BTreeMap::new(),
            leaders: BTreeMap::new(),
            broken: None,
            longest: 0.0,
            reads_done: 0,
        };
        (0..world.all.len()).for_each(|host| world.start(host));
        world
    }

    /// What a host's steady clock shows.
    pub(super) fn clock(&self, host: usize) -> Instant {
        self.all[host].steady_clock(self.now)
    }

    /// Starts the process of a host from its disk.
    pub(super) fn start(&mut self, host: usize) {
        self.generation += 1;
        let start = ProcessStart {
            generation: self.generation,
            raft: self.settings,
            voters: self.voters,
            fault: self.fault,
        };
        let now = self.clock(host);
        self.all[host].start(now, host as u32, &start);
        self.poll_replica(host);
    }

    /// Ends a process. What was not synced is lost.
    pub(super) fn crash(&mut self, host: usize) {
        self.all[host].replica = None;
        self.all[host].disk.pending.clear();
    }

    /// Restarts a host with an empty disk.
    pub(super) fn wipe(&mut self, host: usize) {
        self.crash(host);
        self.generation += 1;
        self.all[host].disk = Disk { mark: FIRST_NEW_DISK_MARK + self.generation, ..Disk::default() };
        self.start(host);
    }

    /// Whether the process of a host is up and not stopped.
    pub(super) fn runs(&self, host: usize) -> bool {
        self.all[host].replica.is_some() && !self.all[host].stopped
    }

    /// Lets time pass, and fires the timers of all hosts.
    pub(super) fn pass(&mut self, seconds: f64) {
        self.now += seconds;
        for host in 0..self.all.len() {
            self.handle_timeout(host);
        }
    }

    /// Fires the timers of one host that are due.
    pub(super) fn handle_timeout(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        let now = self.clock(host);
        if let Some(replica) = &mut self.all[host].replica {
            replica.handle_timeout(now);
            let next = replica.poll_timeout(now);
            // A timer that is due at once again would keep a host from everything else.
            if next <= now {
                self.report_violation(format!(
                    "the next timer of host {host} is due at {next:?}, at {now:?}"
                ));
            }
        }
        self.poll_replica(host);
    }

    /// Syncs the oldest pending write of a host.
    pub(super) fn sync(&mut self, host: usize) {
        let now = self.clock(host);
        let process = &mut self.all[host];
        if process.disk.pending.is_empty() || process.stopped {
            return;
        }
        let write = process.disk.pending.remove(0);
        let write_id = write.write_id;
        process.disk.sync(write);
        if let Some(replica) = &mut process.replica {
            replica.on_persisted(now, write_id);
        }
        self.poll_replica(host);
    }

    /// Delivers a message in flight; with `again` a copy of it stays in flight.
    pub(super) fn deliver(&mut self, message_index: usize, again: bool) {
        let MessageInFlight { from, to, message } = match again {
            true => self.in_flight[message_index].clone(),
            false => self.in_flight.remove(message_index),
        };
        let is_cut = self.cut.contains(&(from, to));
        let to = to as usize;
        if !self.runs(to) || is_cut {
            return;
        }
        let now = self.clock(to);
        // Encoded and decoded as on the wire.
        let message = Message::decode(message.to_bytes());
        if let (Some(replica), Ok(message)) = (&mut self.all[to].replica, message) {
            replica.handle_message(now, from, message);
        }
        self.poll_replica(to);
    }

    /// Proposes a change at a host.
    pub(super) fn change(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        self.proposal_count += 1;
        let (now, data) = (self.clock(host), encode_changes(&[self.proposal_count]));
        if let Some(replica) = &mut self.all[host].replica {
            // A host that knows no leader rejects the change.
            _ = replica.propose(now, data);
        }
        self.poll_replica(host);
    }

    /// Begins a linearizable read at a host.
    pub(super) fn read(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        let (now, newest) = (self.clock(host), self.committed());
        if let Some(replica) = &mut self.all[host].replica {
            let read = replica.request_read(now);
            self.all[host].reads.push((read, newest));
        }
        self.poll_replica(host);
    }

    /// Adds or removes a voter, at each host that believes itself to be the leader.
    pub(super) fn move_voters(&mut self, host: u32, votes: bool) {
        for leader in 0..self.all.len() {
            if !self.runs(leader) {
                continue;
            }
            let now = self.clock(leader);
            let replica = self.all[leader].replica.as_mut();
            if let Some(replica) = replica.filter(|replica| replica.raft.is_leader()) {
                _ = match votes {
                    true => replica.raft.add_voter(now, host),
                    false => replica.raft.remove_voter(now, host),
                };
            }
            self.handle_timeout(leader);
        }
    }

    /// Executes what a replica asks for, and checks it.
    fn poll_replica(&mut self, host: usize) {
        while let Some(output) = self.all[host].replica.as_mut().and_then(Replica::poll_output) {
            self.execute(host, output);
        }
        self.check(host);
    }

    fn execute(&mut self, host: usize, output: ReplicaOutput) {
        let now = self.clock(host);
        let process = &mut self.all[host];
        match output {
            ReplicaOutput::Send { to, message } => {
                if self.in_flight.len() >= MAX_MESSAGES_IN_FLIGHT {
                    self.in_flight.remove(0);
                }
                self.in_flight.push(MessageInFlight { from: host as u32, to, message });
            }
            ReplicaOutput::Write(write) => process.disk.pending.push(write),
            ReplicaOutput::Committed { mut data, .. } => process.state.push(data.get_u64()),
            ReplicaOutput::RestoreSnapshot { mut state, .. } => {
                process.state.clear();
                while state.len() >= size_of::<u64>() {
                    process.state.push(state.get_u64());
                }
            }
            ReplicaOutput::TakeSnapshot { index } => {
                let state = encode_changes(&process.state);
                if let Some(replica) = &mut process.replica {
                    replica.on_snapshot_taken(now, index, &state);
                }
            }
            ReplicaOutput::ProposalTimedOut { .. } | ReplicaOutput::Event(_) => {}
        }
    }

    /// Runs without faults for a while: messages arrive in order, and disks sync at once.
    pub(super) fn calm(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end && self.broken.is_none() {
            for _ in 0..self.in_flight.len() {
                for host in 0..self.all.len() {
                    while !self.all[host].disk.pending.is_empty() && self.runs(host) {
                        self.sync(host);
                    }
                }
                if !self.in_flight.is_empty() {
                    self.deliver(0, false);
                }
            }
            self.pass(CALM_STEP_S);
            self.check_all();
        }
    }

    /// Runs until there is a leader and the first entry is committed.
    pub(super) fn begin(&mut self) {
        for _ in 0..40 {
            self.calm(0.1);
            if self.committed() > 0 {
                break;
            }
        }
    }
}
