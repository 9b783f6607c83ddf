//! Leading: entries to the others, what most of them have is committed, rounds that show that this host still leads, and
//! grants to those who asked before such a round began.

use super::*;
use tackmast_wire::agree::Mark;

/// A round that somebody waits for comes no sooner after the last than this part of a beat.
const SOON: f64 = 0.2;
/// Periods of patience without a majority's word after which a leader gives up.
const ALONE: f64 = 2.0;
/// Bytes of entries from which on a word takes its time on its way, and that time in beats.
const LARGE: usize = 8 << 10;
const LARGE_BEATS: f64 = 20.0;
/// Hosts whose word is remembered, and asks that wait, at most.
const HOSTS: usize = 100_000;

#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The next entry to send, and up to where it has what this host has, on its disk.
    next: u64,
    matched: u64,
    /// The newest round that it answered, and when.
    round: u64,
    answered: Instant,
    /// Since the last beat something came.
    moved: bool,
    /// When a word went out that takes many datagrams; until it has had its time only beats follow.
    large: Option<Instant>,
}

/// A host's ask: its generation and number, and the round that has to be answered by most.
#[derive(Clone, Copy, Debug)]
struct Asked {
    generation: u64,
    seq: u32,
    round: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Lead {
    /// Its own first entry: once that is committed, all before it are.
    pub first: u64,
    peers: BTreeMap<u32, Progress>,
    round: u64,
    beat_at: Instant,
    round_at: Instant,
    /// Who asked until when what it has counts.
    asks: BTreeMap<u32, Asked>,
    /// By host: what it said it has on disk, and when.
    pub has: BTreeMap<u32, (u64, Instant)>,
    /// Disks of hosts as they said.
    pub disks: BTreeMap<u32, u64>,
    /// Up to where those who follow were told of what is committed.
    told: u64,
    /// By place, who asked for the entry: it hears at once that it holds. No more than may be under way.
    proposed: BTreeMap<u64, u32>,
}

impl Lead {
    pub fn next_wake(&self) -> Instant {
        match self.asks.values().any(|a| a.round > self.round) {
            true => self.round_at.min(self.beat_at),
            false => self.beat_at,
        }
    }
}

impl Voter {
    pub(super) fn lead(&mut self, now: Instant) {
        let last = self.log.last().index;
        let lead = Lead {
            first: last + 1,
            peers: BTreeMap::new(),
            round: 0,
            beat_at: now,
            round_at: now,
            asks: BTreeMap::new(),
            has: BTreeMap::new(),
            disks: BTreeMap::new(),
            told: self.commit,
            proposed: BTreeMap::new(),
        };
        self.role = Role::Leader(Box::new(lead));
        self.counters.led += 1;
        self.mode(format!(
            "agreement: this host leads, term {}, {} entries, {} committed",
            self.hard.term, last, self.commit
        ));
        self.put(now, What::Nothing);
    }

    fn put(&mut self, now: Instant, what: What) -> u64 {
        let entry = Entry { term: self.hard.term, what };
        let index = self.log.push(entry.clone());
        self.write_entries(index, vec![entry]);
        self.look_at_peers(now);
        self.send_new(now);
        index
    }

    /// Those who vote now are the ones who are sent to.
    fn look_at_peers(&mut self, now: Instant) {
        let (me, last) = (self.me, self.log.last().index);
        let voters: Vec<u32> = self.voters().keys().copied().filter(|s| *s != me).collect();
        let Role::Leader(l) = &mut self.role else { return };
        l.peers.retain(|s, _| voters.contains(s));
        for s in voters {
            let new = Progress { next: last, matched: 0, round: 0, answered: now, moved: false, large: None };
            l.peers.entry(s).or_insert(new);
        }
    }

    /// A change for the log: its place, where this host leads.
    pub fn propose(&mut self, now: Instant, data: Bytes) -> Result<u64, Refusal> {
        if data.len() > tackmast_wire::agree::MAX_ENTRY {
            return Err(Refusal::TooLong { bytes: data.len() });
        }
        self.may_put()?;
        Ok(self.put(now, What::Data(data)))
    }

    fn may_put(&self) -> Result<(), Refusal> {
        let Role::Leader(_) = &self.role else { return Err(Refusal::NotLeader(self.leader())) };
        let waiting = self.log.last().index - self.commit;
        match waiting >= UNCOMMITTED {
            true => Err(Refusal::Full { waiting }),
            false => Ok(()),
        }
    }

    /// One voter more, by its number, with the disk that it said it has; or one less.
    pub fn change_voters(&mut self, now: Instant, host: u32, votes: bool) -> Result<u64, Refusal> {
        self.may_put()?;
        let Role::Leader(l) = &self.role else { return Err(Refusal::NotLeader(None)) };
        let (at, voters) = self.log.voters();
        // Against two majorities that do not meet: one change at a time, and none before this term's first entry holds.
        if (at > self.commit || self.commit < l.first) && !self.has(AgreeFault::TwoChangesAtOnce) {
            return Err(Refusal::VotersMove);
        }
        let mut next = voters.clone();
        if votes {
            let (Some(disk), Some((has, _))) = (l.disks.get(&host), l.has.get(&host)) else {
                return Err(Refusal::Voters(format!(
                    "host {host}: nothing heard of it; expected one that runs"
                )));
            };
            if has + UNCOMMITTED < self.commit {
                let expected = format!("one that has {} or more", self.commit.saturating_sub(UNCOMMITTED));
                return Err(Refusal::Voters(format!("host {host} has {has} entries; expected {expected}")));
            }
            if next.len() >= tackmast_wire::agree::MAX_VOTERS || next.contains_key(&host) {
                let found =
                    format!("{} voters, host {host} among them: {}", next.len(), next.contains_key(&host));
                return Err(Refusal::Voters(format!(
                    "{found}; expected less than 7, and a host that is none"
                )));
            }
            next.insert(host, *disk);
        } else if next.remove(&host).is_none() || next.is_empty() {
            return Err(Refusal::Voters(format!("host {host}; expected one of several voters")));
        }
        Ok(self.put(now, What::Voters(next)))
    }

    /// What is new goes out at once, to those who follow closely.
    fn send_new(&mut self, now: Instant) {
        let last = self.log.last().index;
        let Role::Leader(l) = &self.role else { return };
        let due: Vec<u32> = l.peers.iter().filter(|(_, p)| p.next <= last).map(|(s, _)| *s).collect();
        due.into_iter().for_each(|s| self.send_to(now, s));
    }

    fn send_to(&mut self, now: Instant, to: u32) {
        let (id, term, commit) = (self.log.base().id, self.hard.term, self.commit);
        let long = TimeDelta::from_secs(self.settings.beat.secs() * LARGE_BEATS);
        let Role::Leader(l) = &mut self.role else { return };
        let round = l.round;
        let Some(p) = l.peers.get_mut(&to) else { return };
        p.large = p.large.filter(|t| now - *t < long);
        let waits = p.large.is_some();
        let before = match waits {
            true => self.log.mark_at(p.matched),
            false => self.log.mark_at(p.next - 1),
        };
        let Some(before) = before else {
            // It lacks what is folded. While that is on its way it hears at least that this host leads.
            let Base { last, voters, state, .. } = self.log.base().clone();
            if !waits {
                p.large = Some(now);
                p.next = last.index + 1;
                self.say(to, Word::Snapshot { term, id, last, voters, state });
            }
            let (before, entries) = (last, Vec::new());
            return self.say(to, Word::Append { id, term, round, before, commit: 0, entries });
        };
        let entries = match waits {
            true => Vec::new(),
            false => self.log.from(p.next, WORD_ENTRIES, WORD_BYTES),
        };
        p.next += entries.len() as u64;
        let bytes: usize =
            entries.iter().map(|e| if let What::Data(d) = &e.what { d.len() } else { 0 }).sum();
        if bytes > LARGE {
            p.large = Some(now);
        }
        self.say(to, Word::Append { id, term, round, before, commit, entries });
    }

    /// A round begins: who answers it took this host for the leader after now.
    fn next_round(&mut self, now: Instant) {
        let settings = self.settings;
        let long = TimeDelta::from_secs(settings.beat.secs() * LARGE_BEATS);
        let Role::Leader(l) = &mut self.role else { return };
        l.round += 1;
        l.round_at = now + TimeDelta::from_secs(settings.beat.secs() * SOON);
        l.beat_at = now + settings.beat;
        for p in l.peers.values_mut() {
            // What was sent and not answered within a beat was lost on its way.
            if !std::mem::take(&mut p.moved) && p.large.is_none_or(|t| now - t >= long) {
                p.next = p.matched + 1;
            }
        }
        let peers: Vec<u32> = l.peers.keys().copied().collect();
        peers.into_iter().for_each(|s| self.send_to(now, s));
        self.tell_followers();
        self.grant();
    }

    /// An entry that another host asks for.
    pub(super) fn propose_for(&mut self, now: Instant, from: u32, data: Bytes) -> Result<(), Refusal> {
        let index = self.propose(now, data)?;
        if let Role::Leader(l) = &mut self.role {
            l.proposed.insert(index, from);
        }
        // Where this host alone is most of the voters it may hold already.
        self.tell_proposers(now);
        Ok(())
    }

    fn tell_proposers(&mut self, now: Instant) {
        let commit = self.commit;
        let Role::Leader(l) = &mut self.role else { return };
        let later = l.proposed.split_off(&(commit + 1));
        let due = std::mem::replace(&mut l.proposed, later);
        let due: BTreeSet<u32> = due.into_values().collect();
        for to in due {
            let Role::Leader(l) = &self.role else { return };
            match l.peers.contains_key(&to) {
                true => self.send_to(now, to),
                false => {
                    let has = l.has.get(&to).map_or(commit, |(has, _)| *has);
                    self.wanted(to, has.max(commit.saturating_sub(WORD_ENTRIES as u64)));
                }
            }
        }
    }

    /// What was committed since the last round goes to those who follow without voting, once: one that misses it hears of it
    /// with its next lease.
    fn tell_followers(&mut self) {
        let commit = self.commit;
        let Role::Leader(l) = &mut self.role else { return };
        if std::mem::replace(&mut l.told, commit) >= commit {
            return;
        }
        let behind = l.has.iter().filter(|(h, (has, _))| *has < commit && !l.peers.contains_key(h));
        let behind: Vec<(u32, u64)> = behind.map(|(h, (has, _))| (*h, *has)).collect();
        behind.into_iter().for_each(|(h, has)| self.wanted(h, has));
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        let quorum = self.quorum();
        let alone = TimeDelta::from_secs(self.settings.patience.secs() * ALONE);
        let Role::Leader(l) = &mut self.role else { return };
        let waits = l.asks.values().any(|a| a.round > l.round);
        let due = now >= l.beat_at || (waits && now >= l.round_at);
        let near = 1 + l.peers.values().filter(|p| now - p.answered < alone).count();
        if near < quorum {
            self.mode(format!(
                "agreement: no majority has answered for {:.2} s, {near} of {quorum}",
                alone.secs()
            ));
            return self.step_down(now, None);
        }
        if due {
            self.look_at_peers(now);
            self.next_round(now);
        }
    }

    #[allow(clippy::too_many_arguments)] // the fields of one word
    pub(super) fn appended(
        &mut self,
        now: Instant,
        from: u32,
        term: u64,
        round: u64,
        matches: bool,
        index: u64,
        of: Origin,
    ) {
        self.see_term(now, term);
        if term < self.hard.term || !self.leads() || !self.is_voters(from, of) {
            return;
        }
        let last = self.log.last().index;
        let Role::Leader(l) = &mut self.role else { return };
        let Some(p) = l.peers.get_mut(&from) else { return };
        (p.answered, p.round) = (now, p.round.max(round));
        if matches {
            if index > p.matched {
                (p.moved, p.large) = (true, None);
            }
            p.matched = p.matched.max(index);
            p.next = p.next.max(p.matched + 1);
        } else if p.large.is_none() {
            p.next = (index + 1).clamp(p.matched + 1, last + 1);
            p.moved = true;
        }
        let more = p.next <= last && (!matches || p.next <= p.matched + WORD_ENTRIES as u64);
        if more && p.large.is_none() {
            self.send_to(now, from);
        }
        self.count_commits(now);
        self.grant();
    }

    /// What most have on their disks is committed, once an entry of this term is among it.
    pub(super) fn count_commits(&mut self, now: Instant) {
        let quorum = self.quorum();
        let own = self.voters().contains_key(&self.me);
        let Role::Leader(l) = &self.role else { return };
        let mut all: Vec<u64> = l.peers.values().map(|p| p.matched).collect();
        if own {
            let acks_early = self.fault == Some(AgreeFault::AckBeforeDisk);
            all.push(if acks_early { self.log.last().index } else { self.stable });
        }
        all.sort_unstable_by(|a, b| b.cmp(a));
        let Some(most) = quorum.checked_sub(1).and_then(|i| all.get(i).copied()) else { return };
        let of_this_term = self.log.mark_at(most).is_some_and(|m| m.term == self.hard.term);
        if most > self.commit && (of_this_term || self.has(AgreeFault::CommitOldTerm)) {
            self.committed(most);
            self.tell_proposers(now);
            self.grant();
            // The others need not wait for the beat to go by it.
            let Role::Leader(l) = &mut self.role else { return };
            l.beat_at = l.beat_at.min(l.round_at);
            // One that was taken out has done its part.
            if !own && self.commit >= self.log.voters().0 {
                self.step_down(now, None);
            }
        }
    }

    /// A host asks until when what it has counts.
    pub(super) fn renew(&mut self, now: Instant, from: u32, seq: u32, has: u64, of: Origin) {
        let Role::Leader(l) = &mut self.role else {
            let (term, leader) = (self.hard.term, self.leader());
            return self.say(from, Word::Leads { term, leader });
        };
        if from >= self.settings.hosts || (l.has.len() >= HOSTS && !l.has.contains_key(&from)) {
            return;
        }
        l.has.insert(from, (has, now));
        l.disks.insert(from, of.disk);
        l.asks.insert(from, Asked { generation: of.generation, seq, round: l.round + 1 });
        if self.has(AgreeFault::StaleRead) {
            self.grant_all();
        }
        if let Role::Leader(l) = &self.role {
            if now >= l.round_at {
                self.next_round(now);
            }
        }
    }

    fn grant_all(&mut self) {
        let (id, term, index) = (self.log.base().id, self.hard.term, self.commit);
        let Role::Leader(l) = &mut self.role else { return };
        let term_ms = (self.settings.lease.secs() * 1e3) as u32;
        for (to, Asked { generation: to_generation, seq, .. }) in std::mem::take(&mut l.asks) {
            self.say(to, Word::Granted { id, to_generation, seq, term, index, term_ms });
        }
    }

    /// Answers those whose round most have answered by now.
    pub(super) fn grant(&mut self) {
        let (id, term, index) = (self.log.base().id, self.hard.term, self.commit);
        let quorum = self.quorum();
        let own = self.voters().contains_key(&self.me);
        let Role::Leader(l) = &mut self.role else { return };
        // Until an entry of its own term holds, a leader does not know what is committed.
        if index < l.first {
            return;
        }
        let mut rounds: Vec<u64> = l.peers.values().map(|p| p.round).collect();
        if own {
            rounds.push(l.round);
        }
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(answered) = quorum.checked_sub(1).and_then(|i| rounds.get(i).copied()) else { return };
        let due = l.asks.iter().filter(|(_, a)| a.round <= answered);
        let due: Vec<(u32, Asked)> = due.map(|(to, a)| (*to, *a)).collect();
        let term_ms = (self.settings.lease.secs() * 1e3) as u32;
        for (to, Asked { generation: to_generation, seq, .. }) in due {
            l.asks.remove(&to);
            self.counters.granted += 1;
            self.outputs.push_back(Output::Send {
                to,
                word: Word::Granted { id, to_generation, seq, term, index, term_ms },
            });
        }
    }

    /// Whether each of these hosts said to this leader that it has that on its disk.
    pub fn all_have(&self, hosts: impl IntoIterator<Item = u32>, index: u64) -> Result<(), Vec<u32>> {
        let Role::Leader(l) = &self.role else { return Err(Vec::new()) };
        let lacks = |h: &u32| l.has.get(h).is_none_or(|(has, _)| *has < index);
        let behind: Vec<u32> = hosts.into_iter().filter(lacks).collect();
        match behind.is_empty() {
            true => Ok(()),
            false => Err(behind),
        }
    }

    pub(super) fn before_of(&self, index: u64) -> Option<Mark> {
        self.log.mark_at(index)
    }
}
