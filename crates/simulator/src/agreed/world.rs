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
const LETTERS: usize = 60;

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
    pub fn take(&mut self, w: Write) {
        let h = &mut self.persisted;
        if let Some(hard_state) = w.hard_state {
            h.hard_state = hard_state;
        }
        if let Some(snapshot) = w.snapshot {
            h.snapshot = snapshot;
            h.entries.clear();
        }
        if let Some(LogSuffix { first_index, entries }) = w.entries {
            let at = first_index.saturating_sub(h.snapshot.last.index + 1) as usize;
            h.entries.truncate(at);
            h.entries.extend(entries);
        }
        if w.confirmed_voters.is_some() {
            h.confirmed_voters = w.confirmed_voters;
        }
        if let Some(known_disks) = w.known_disks {
            h.known_disks = known_disks;
        }
        if let Some(mark) = w.disk {
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
    pub pace: f64,
    offset: f64,
    /// What its state machine has: texts in order.
    pub state: Vec<u64>,
    /// Up to where its log was looked at.
    looked: u64,
    /// Reads under way: their number, and what was known to be committed when they were asked.
    reads: Vec<(u32, u64)>,
}

#[derive(Clone, Debug)]
pub struct Letter {
    pub from: u32,
    pub to: u32,
    pub message: Message,
}

#[derive(Clone)]
pub struct World {
    pub now: f64,
    pub all: Vec<Process>,
    pub voters: u32,
    pub letters: Vec<Letter>,
    /// Ways that are cut, from one to the other.
    pub cut: BTreeSet<(u32, u32)>,
    pub fault: Option<ConsensusFault>,
    pub settings: RaftSettings,
    generations: u64,
    texts: u64,
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
        pace: impl Fn(u32) -> f64,
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
            pace: pace(i),
            offset: 1_000.0 * f64::from(i),
            state: Vec::new(),
            looked: 0,
            reads: Vec::new(),
        };
        let mut w = World {
            now: 10.0,
            all: (0..voters + followers).map(process).collect(),
            voters,
            letters: Vec::new(),
            cut: BTreeSet::new(),
            fault,
            settings,
            generations: 0,
            texts: 0,
            ledger: BTreeMap::new(),
            leaders: BTreeMap::new(),
            broken: None,
            longest: 0.0,
            reads_done: 0,
        };
        (0..w.all.len()).for_each(|h| w.start(h));
        w
    }

    pub fn clock(&self, h: usize) -> Instant {
        Instant::from_secs(self.now * self.all[h].pace + self.all[h].offset)
    }

    pub fn start(&mut self, h: usize) {
        self.generations += 1;
        let (now, generation, settings, fault, voters) =
            (self.clock(h), self.generations, self.settings, self.fault, self.voters);
        let p = &mut self.all[h];
        p.disk.pending.clear();
        // Written down before anything is said under it.
        p.disk.boot += 1;
        let identity = DiskIdentity { disk: p.disk.mark, boot: p.disk.boot, generation };
        (p.generation, p.stopped) = (generation, false);
        (p.state, p.reads, p.looked) = (Vec::new(), Vec::new(), 0);
        let persisted = p.disk.persisted.clone();
        let initial_voters = (0..voters).collect();
        let s = ReplicaSettings {
            me: h as u32,
            identity,
            raft: settings,
            initial_voters,
            persisted,
            seed: generation,
        };
        let mut replica = Replica::new(now, s);
        if let Some(f) = fault {
            replica = replica.with_fault(f);
        }
        p.replica = Some(replica);
        self.collect(h);
    }

    /// What was not synced is gone.
    pub fn crash(&mut self, h: usize) {
        self.all[h].replica = None;
        self.all[h].disk.pending.clear();
    }

    pub fn wipe(&mut self, h: usize) {
        self.crash(h);
        self.generations += 1;
        self.all[h].disk = Disk { mark: 1_000 + self.generations, ..Disk::default() };
        self.start(h);
    }

    pub fn runs(&self, h: usize) -> bool {
        self.all[h].replica.is_some() && !self.all[h].stopped
    }

    pub fn pass(&mut self, seconds: f64) {
        self.now += seconds;
        for h in 0..self.all.len() {
            self.tick(h);
        }
    }

    pub fn tick(&mut self, h: usize) {
        if !self.runs(h) {
            return;
        }
        let now = self.clock(h);
        let mut wakes = None;
        if let Some(s) = &mut self.all[h].replica {
            s.handle_timeout(now);
            wakes = Some(s.poll_timeout(now));
        }
        // A host that wants to be woken at once, again and again, does nothing else.
        if wakes.is_some_and(|w| w <= now) {
            self.breaks(format!("host {h} wants to be woken at {wakes:?}, at {now:?}"));
        }
        self.collect(h);
    }

    /// The oldest write of a host is on its disk.
    pub fn sync(&mut self, h: usize) {
        let now = self.clock(h);
        let p = &mut self.all[h];
        if p.disk.pending.is_empty() || p.stopped {
            return;
        }
        let w = p.disk.pending.remove(0);
        let write_id = w.write_id;
        p.disk.take(w);
        if let Some(s) = &mut p.replica {
            s.on_persisted(now, write_id);
        }
        self.collect(h);
    }

    pub fn deliver(&mut self, i: usize, again: bool) {
        let l = if again { self.letters[i].clone() } else { self.letters.remove(i) };
        let to = l.to as usize;
        if !self.runs(to) || self.cut.contains(&(l.from, l.to)) {
            return;
        }
        let now = self.clock(to);
        // As on the wire.
        let message = Message::decode(l.message.to_bytes());
        if let (Some(s), Ok(message)) = (&mut self.all[to].replica, message) {
            s.handle_message(now, l.from, message);
        }
        self.collect(to);
    }

    pub fn change(&mut self, h: usize) {
        if !self.runs(h) {
            return;
        }
        self.texts += 1;
        let (now, text) = (self.clock(h), self.texts);
        if let Some(s) = &mut self.all[h].replica {
            _ = s.propose(now, bytes_of(&[text]));
        }
        self.collect(h);
    }

    pub fn read(&mut self, h: usize) {
        if !self.runs(h) {
            return;
        }
        let (now, newest) = (self.clock(h), self.ledger.keys().last().copied().unwrap_or(0));
        if let Some(s) = &mut self.all[h].replica {
            let seq = s.request_read(now);
            self.all[h].reads.push((seq, newest));
        }
        self.collect(h);
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
                self.tick(h);
            }
        }
    }

    fn collect(&mut self, h: usize) {
        loop {
            let now = self.clock(h);
            let p = &mut self.all[h];
            let Some(o) = p.replica.as_mut().and_then(Replica::poll_output) else { break };
            match o {
                ReplicaOutput::Send { to, message } => {
                    if self.letters.len() >= LETTERS {
                        self.letters.remove(0);
                    }
                    self.letters.push(Letter { from: h as u32, to, message });
                }
                ReplicaOutput::Write(w) => p.disk.pending.push(w),
                ReplicaOutput::Committed { mut data, .. } => p.state.push(data.get_u64()),
                ReplicaOutput::RestoreSnapshot { mut state, .. } => {
                    p.state.clear();
                    while state.len() >= 8 {
                        p.state.push(state.get_u64());
                    }
                }
                ReplicaOutput::TakeSnapshot { index } => {
                    let state = bytes_of(&p.state);
                    if let Some(s) = &mut p.replica {
                        s.on_snapshot_taken(now, index, &state);
                    }
                }
                ReplicaOutput::ProposalTimedOut { .. } | ReplicaOutput::Event(_) => {}
            }
        }
        self.look(h);
    }

    fn breaks(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// What must hold of one host, after anything that it did.
    fn look(&mut self, h: usize) {
        let Some(s) = self.all[h].replica.take() else { return };
        self.look_at(h, &s);
        self.all[h].replica = Some(s);
    }

    fn look_at(&mut self, h: usize, s: &Replica) {
        let (now, commit) = (self.clock(h), s.commit_index());
        // One leader a term.
        if s.raft.is_leader() {
            let first = *self.leaders.entry(s.raft.term()).or_insert(h as u32);
            if first != h as u32 {
                self.breaks(format!("hosts {first} and {h} both lead term {}", s.raft.term()));
            }
        }
        // One entry a place, for good.
        let log = s.raft.log();
        for index in (log.snapshot().last.index + 1).max(self.all[h].looked + 1)..=commit {
            let Some(e) = log.get(index) else { continue };
            let entry = (e.term, e.payload.clone());
            match self.ledger.get(&index) {
                Some((known, _)) if *known != entry => {
                    let what =
                        format!("two entries hold at {index}: {:?} and, at host {h}, {entry:?}", known);
                    self.breaks(what);
                }
                Some(_) => {}
                None => _ = self.ledger.insert(index, (entry, self.now)),
            }
        }
        let new = commit != self.all[h].looked;
        self.all[h].looked = commit;
        // Each change once.
        let once: BTreeSet<u64> = self.all[h].state.iter().copied().filter(|_| new).collect();
        if new && once.len() != self.all[h].state.len() {
            self.breaks(format!("host {h} has a change twice: {:?}", self.all[h].state));
        }
        // Reads are never stale.
        let done: Vec<(u32, u64)> =
            self.all[h].reads.iter().copied().filter(|(q, _)| s.is_read_ready(*q)).collect();
        for (seq, newest) in done {
            self.reads_done += 1;
            self.all[h].reads.retain(|(q, _)| *q != seq);
            if commit < newest {
                self.breaks(format!("a read at host {h} has {commit}, and {newest} held when it was asked"));
            }
        }
        self.all[h].reads.truncate(64);
        // No host goes by what is older than what holds for longer than the lease. Looked at what it would do now, whatever it
        // has been told; a host that stands still does nothing.
        if !self.all[h].stopped && s.lease_state(now).is_valid() {
            if let Some((_, (_, since))) = self.ledger.range(commit + 1..).next() {
                let long = self.now - since;
                self.longest = self.longest.max(long);
                if long > LEASE + 1e-6 {
                    self.breaks(format!(
                        "host {h} goes by {commit} for {long:.3} s since another held; the lease is {LEASE} s"
                    ));
                }
            }
        }
    }

    /// All hosts as they would act now.
    pub fn look_at_all(&mut self) {
        (0..self.all.len()).for_each(|h| self.look(h));
    }

    pub fn committed(&self) -> u64 {
        self.ledger.keys().last().copied().unwrap_or(0)
    }

    /// Whether a copy of that host's disk can be told from the disk: it was opened since the copy was made, and all other
    /// voters have that on their own disks. Else nobody is there who could know; docs/agreement.md says so.
    pub fn old_can_be_told(&self, host: usize) -> bool {
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
            for _ in 0..self.letters.len() {
                for h in 0..self.all.len() {
                    while !self.all[h].disk.pending.is_empty() && self.runs(h) {
                        self.sync(h);
                    }
                }
                if !self.letters.is_empty() {
                    self.deliver(0, false);
                }
            }
            self.pass(0.01);
            self.look_at_all();
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
