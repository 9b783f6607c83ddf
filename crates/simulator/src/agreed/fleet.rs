//! The agreement at full size in virtual time: words take their way, disks their time; what it costs, and how soon it holds.

use super::world::Disk;
use bytes::{Buf, Bytes};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::{DiskIdentity, Message, RaftSettings, Replica, ReplicaOutput, ReplicaSettings};

type Us = u64;
/// A write to disk with its sync, and a word's way: at least, and as much again by chance.
const DISK: Us = 4_000;
const WAY: Us = 300;
const JITTER: Us = 1_000;
/// Bytes of a datagram round a word: the sender's own word on itself, and the headers of UDP and IP.
const ROUND: u64 = 90;

#[derive(Clone, Copy, Debug)]
pub struct FleetTrial {
    pub hosts: u32,
    pub voters: u32,
    pub seed: u64,
    pub loss: f64,
}

/// Seconds, but for the counts.
#[derive(Clone, Debug, Default)]
pub struct AgreedFigures {
    /// From the start of all until all have a lease.
    pub begins: f64,
    /// Bytes a second at rest: each host, and the leader.
    pub bytes: f64,
    pub leader_bytes: f64,
    /// From a change at a host by chance until it knows, until all hosts know: medians, and most.
    pub known: (f64, f64),
    pub all_know: (f64, f64),
    /// Changes a second, one after the other at each of so many hosts.
    pub commits: f64,
    /// From the death of the leader until a change holds again.
    pub leaderless: f64,
    /// With a third cut off while changes go on: the longest for which one of them had a lease and something older.
    pub longest: f64,
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
    /// What has been told of changes: by number of change, when it was known here.
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
    chance: oorandom::Rand64,
    cut: Vec<bool>,
    bytes: Vec<u64>,
    texts: u64,
    own_proposals: BTreeMap<(u32, u32), u64>,
    done: Vec<(u64, u32, Us)>,
}

fn at(us: Us) -> Instant {
    Instant::from_secs(us as f64 / 1e6)
}

impl Fleet {
    fn new(t: FleetTrial) -> Fleet {
        let settings = RaftSettings {
            heartbeat_interval: TimeDelta::from_secs(0.1),
            election_timeout: TimeDelta::from_secs(1.0),
            lease: TimeDelta::from_secs(5.0),
            max_clock_drift: 0.001,
            host_count: t.hosts,
            snapshot_after_entries: 2_000,
            snapshot_after_bytes: 4 << 20,
        };
        let host = |i: u32| Host {
            replica: None,
            disk: Disk { mark: u64::from(i) + 100, ..Disk::default() },
            wake: Us::MAX,
            known: BTreeMap::new(),
        };
        let mut f = Fleet {
            now: 10_000_000,
            hosts: (0..t.hosts).map(host).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            settings,
            trial: t,
            chance: oorandom::Rand64::new(u128::from(t.seed)),
            cut: vec![false; t.hosts as usize],
            bytes: vec![0; t.hosts as usize],
            texts: 0,
            own_proposals: BTreeMap::new(),
            done: Vec::new(),
        };
        (0..t.hosts).for_each(|h| f.start(h));
        f
    }

    fn push(&mut self, at: Us, e: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.events.insert(self.number, e);
    }

    fn start(&mut self, h: u32) {
        let now = at(self.now);
        let x = &mut self.hosts[h as usize];
        x.disk.boot += 1;
        let generation = u64::from(x.disk.boot) << 20 | u64::from(h);
        let identity = DiskIdentity { disk: x.disk.mark, boot: x.disk.boot, generation };
        let initial_voters = (0..self.trial.voters).collect();
        let persisted = x.disk.persisted.clone();
        let s = ReplicaSettings {
            me: h,
            identity,
            raft: self.settings,
            initial_voters,
            persisted,
            seed: self.trial.seed ^ generation,
        };
        x.replica = Some(Replica::new(now, s));
        self.pull(h);
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
                    let x = &mut self.hosts[h as usize];
                    if let Some(i) = x.disk.pending.iter().position(|w| w.write_id == write_id) {
                        let w = x.disk.pending.remove(i);
                        x.disk.take(w);
                        if let Some(s) = &mut x.replica {
                            s.on_persisted(now, write_id);
                        }
                    }
                    self.pull(h);
                }
                Some(Event::Wake(h)) => {
                    let x = &mut self.hosts[h as usize];
                    if x.wake <= self.now {
                        x.wake = Us::MAX;
                    }
                    if let Some(s) = &mut x.replica {
                        s.handle_timeout(now);
                    }
                    self.pull(h);
                }
                None => {}
            }
        }
        self.now = end;
    }

    fn pull(&mut self, h: u32) {
        let now = at(self.now);
        loop {
            let x = &mut self.hosts[h as usize];
            let Some(o) = x.replica.as_mut().and_then(Replica::poll_output) else { break };
            match o {
                ReplicaOutput::Send { to, message } => self.post(h, to, &message),
                ReplicaOutput::Write(w) => {
                    let write_id = w.write_id;
                    x.disk.pending.push(w);
                    // One after the other, on one disk.
                    let due = self.now + DISK * x.disk.pending.len() as Us;
                    self.push(due, Event::Disk(h, write_id));
                }
                ReplicaOutput::Committed { mut data, own_proposal, .. } => {
                    let text = data.get_u64();
                    x.known.insert(text, self.now);
                    if let Some(n) = own_proposal {
                        if self.own_proposals.remove(&(h, n)).is_some() {
                            self.done.push((text, h, self.now));
                        }
                    }
                }
                ReplicaOutput::TakeSnapshot { index } => {
                    if let Some(s) = &mut x.replica {
                        s.on_snapshot_taken(now, index, b"");
                    }
                }
                ReplicaOutput::RestoreSnapshot { .. }
                | ReplicaOutput::ProposalTimedOut { .. }
                | ReplicaOutput::Event(_) => {}
            }
        }
        let x = &mut self.hosts[h as usize];
        let Some(s) = &x.replica else { return };
        let wake = ((s.poll_timeout(now).secs() * 1e6) as Us).max(self.now + 1);
        if wake < x.wake {
            x.wake = wake;
            self.push(wake, Event::Wake(h));
        }
    }

    fn post(&mut self, from: u32, to: u32, message: &Message) {
        let bytes = message.to_bytes();
        self.bytes[from as usize] += bytes.len() as u64 + ROUND * (1 + bytes.len() as u64 / 1_200);
        if self.cut[from as usize] != self.cut[to as usize] || self.chance.rand_float() < self.trial.loss {
            return;
        }
        let t = self.now + WAY + self.chance.rand_range(0..JITTER);
        self.push(t, Event::Message(from, to, bytes));
    }

    fn change(&mut self, h: u32) -> u64 {
        self.texts += 1;
        let (now, text) = (at(self.now), self.texts);
        // As long as a change of a plan's figures is.
        let mut data = text.to_be_bytes().to_vec();
        data.resize(400, 0);
        if let Some(s) = &mut self.hosts[h as usize].replica {
            if let Ok(n) = s.propose(now, data.into()) {
                self.own_proposals.insert((h, n), text);
            }
        }
        self.pull(h);
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

fn max_median(mut x: Vec<f64>) -> (f64, f64) {
    x.sort_by(f64::total_cmp);
    (x.get(x.len() / 2).copied().unwrap_or(f64::NAN), x.last().copied().unwrap_or(f64::NAN))
}

pub fn agreed_fleet(t: &FleetTrial) -> AgreedFigures {
    let mut f = Fleet::new(*t);
    let mut figures = AgreedFigures::default();
    let none = |broken: &mut Vec<String>, what: &str| {
        broken.push(what.to_owned());
        f64::NAN
    };
    figures.begins = f
        .until(60.0, 0.02, Fleet::all_hold)
        .unwrap_or_else(|| none(&mut figures.broken, "not all have a lease after 60 s"));
    f.run(10.0);
    // At rest.
    f.bytes.iter_mut().for_each(|b| *b = 0);
    f.run(20.0);
    let leader = f.leader().unwrap_or(0) as usize;
    figures.leader_bytes = f.bytes[leader] as f64 / 20.0;
    figures.bytes = f.bytes.iter().sum::<u64>() as f64 / 20.0 / f64::from(t.hosts);
    // One change after the other, at hosts by chance.
    let (mut known, mut all) = (Vec::new(), Vec::new());
    for _ in 0..40 {
        let h = f.chance.rand_range(0..u64::from(t.hosts)) as u32;
        let began = f.now;
        let text = f.change(h);
        f.run(4.0);
        let at = |x: &Host| x.known.get(&text).map(|t| (*t - began) as f64 / 1e6);
        known.extend(at(&f.hosts[h as usize]));
        let each: Vec<f64> = f.hosts.iter().filter_map(at).collect();
        match each.len() == f.hosts.len() {
            true => all.push(each.into_iter().fold(0.0, f64::max)),
            false => figures.broken.push(format!("{} hosts know of a change after 4 s", each.len())),
        }
    }
    (figures.known, figures.all_know) = (max_median(known), max_median(all));
    // As many as go, one under way at each of sixteen hosts.
    let askers = t.hosts.min(16);
    let (began, before) = (f.now, f.done.len());
    (0..askers).for_each(|h| _ = f.change(h));
    while f.now < began + 5_000_000 {
        let seen = f.done.len();
        f.run(0.001);
        let again: Vec<u32> = f.done[seen..].iter().map(|(_, h, _)| *h).collect();
        again.into_iter().for_each(|h| _ = f.change(h));
    }
    figures.commits = (f.done.len() - before) as f64 / 5.0;
    f.run(3.0);
    // The leader ends.
    if let Some(l) = f.leader() {
        f.hosts[l as usize].replica = None;
        f.hosts[l as usize].disk.pending.clear();
        let (began, h) = (f.now, (l + 1) % t.voters);
        let text = f.change(h);
        let knows = |f: &Fleet| f.hosts[h as usize].known.contains_key(&text);
        match f.until(30.0, 0.005, knows) {
            Some(_) => figures.leaderless = (f.now - began) as f64 / 1e6,
            None => figures.broken.push("nothing is agreed on 30 s after the leader ended".into()),
        }
        f.start(l);
        f.run(8.0);
    }
    // A third is cut off, one voter among them, while changes go on elsewhere.
    f.cut = (0..t.hosts).map(|h| h % 3 == 2).collect();
    let (began, newest) = (f.now, |f: &Fleet| {
        f.hosts.iter().filter_map(|x| x.replica.as_ref()).map(Replica::commit_index).max()
    });
    let base = newest(&f).unwrap_or(0);
    // Since when something newer is known anywhere.
    let mut first = None;
    while f.now < began + 12_000_000 {
        f.change(0);
        f.run(0.05);
        if newest(&f).unwrap_or(0) > base {
            first.get_or_insert(f.now);
        }
        let now = at(f.now);
        let behind = |x: &Host| {
            x.replica.as_ref().is_some_and(|s| s.commit_index() <= base && s.lease_state(now).is_valid())
        };
        let cut_off = f.hosts.iter().zip(&f.cut).filter(|(_, c)| **c);
        if let Some(t) = first.filter(|_| cut_off.clone().any(|(x, _)| behind(x))) {
            figures.longest = (f.now - t) as f64 / 1e6;
        }
    }
    if first.is_none() {
        figures.broken.push("nothing is agreed on without a third".into());
    }
    let lease = f.settings.lease.secs();
    if figures.longest > lease {
        figures.broken.push(format!("an older word for {:.3} s; the lease is {lease} s", figures.longest));
    }
    figures
}
