//! One host's place in the agreement: its log, its lease, and its own changes on their way to whoever leads. Each change
//! counts once, however often it had to be said: it carries the host, the generation and the number that it comes from, and the
//! last of each host is part of what entries are folded into.

use crate::fault::AgreeFault;
use crate::lease::{Lease, Standing};
use crate::log::Base;
use crate::voter::{Held, Output, Refusal, Settings, Status, Voter, Write};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::agree::{Origin, What, Word, MAX_ENTRY};

/// Changes of this host that wait, at most.
const WAITING: usize = 256;
/// Times of patience after which one that has no answer is given up: it may hold all the same, later.
const GIVE_UP: f64 = 12.0;
/// Asks in a row without an answer after which another is asked.
const UNANSWERED: u32 = 2;
/// Beats after which a change without a word is said again: it counts once all the same.
const SAY_AGAIN: f64 = 4.0;
/// Bytes before a change's own: host, generation and number.
const HEAD: usize = 20;

#[derive(Clone, Debug)]
pub struct SeatSettings {
    pub me: u32,
    pub of: Origin,
    pub agree: Settings,
    pub founders: BTreeSet<u32>,
    pub held: Held,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum SeatOutput {
    Send {
        to: u32,
        word: Word,
    },
    Write(Write),
    /// A change holds from here on. `mine`: its number, where this generation of this host asked for it.
    Holds {
        index: u64,
        data: Bytes,
        mine: Option<u32>,
    },
    /// All up to there led to this.
    Restore {
        index: u64,
        state: Bytes,
    },
    /// What all up to there led to is wanted.
    Fold {
        index: u64,
    },
    /// Nothing was heard of a change of this host for so long that it is given up; it may hold all the same.
    GaveUp {
        number: u32,
    },
    Mode(String),
}

/// By host, generation and number of the last change that counted. There are no more of them than hosts.
type Clients = BTreeMap<u32, (u64, u32)>;

#[derive(Clone)]
struct Change {
    number: u32,
    data: Bytes,
    again: Instant,
    until: Instant,
    /// Taken by this host itself as leader, in that term.
    put: Option<u64>,
}

/// Places from `first` on that were learned within a moment, and when the first and the last of them were.
#[derive(Clone, Copy, Debug)]
struct Learned {
    first: u64,
    from: Instant,
    last: Instant,
}

#[derive(Clone)]
pub struct Seat {
    me: u32,
    settings: Settings,
    pub voter: Voter,
    lease: Lease,
    /// Whom to ask who does not know the leader.
    turn: usize,
    leader: Option<u32>,
    clients: Clients,
    founders: BTreeSet<u32>,
    number: u32,
    changes: VecDeque<Change>,
    /// Places that hold, by when this host learned of them: nobody goes by what was before any more once that is long enough ago.
    learned: VecDeque<Learned>,
    was_held: bool,
    /// Another log was heard of.
    other_log: bool,
    /// A fold that was asked for, and the clients as of then.
    folding: Option<(u64, Clients)>,
    outputs: VecDeque<SeatOutput>,
    fault: Option<AgreeFault>,
}

impl Seat {
    pub fn new(now: Instant, s: SeatSettings) -> Seat {
        let voter = Voter::new(now, s.me, s.of, s.agree, &s.founders, s.held, s.seed);
        let mut seat = Seat {
            me: s.me,
            settings: s.agree,
            voter,
            lease: Lease::new(now, s.agree.lease, s.agree.drift),
            turn: s.me as usize,
            leader: None,
            clients: BTreeMap::new(),
            founders: s.founders.clone(),
            number: 0,
            changes: VecDeque::new(),
            learned: VecDeque::new(),
            was_held: false,
            other_log: false,
            folding: None,
            outputs: VecDeque::new(),
            fault: None,
        };
        seat.follow(now);
        seat
    }

    pub fn with_fault(mut self, fault: AgreeFault) -> Seat {
        self.voter = self.voter.with_fault(fault);
        self.lease = self.lease.with_fault(fault);
        self.fault = Some(fault);
        self
    }

    /// A change of this host's, to be agreed on; its number, by which its outcome is told.
    pub fn change(&mut self, now: Instant, data: Bytes) -> Result<u32, Refusal> {
        if data.len() + HEAD > MAX_ENTRY {
            return Err(Refusal::TooLong { bytes: data.len() });
        }
        if self.changes.len() >= WAITING {
            return Err(Refusal::Full { waiting: self.changes.len() as u64 });
        }
        self.number += 1;
        let mut whole = BytesMut::with_capacity(data.len() + HEAD);
        whole.put_u32(self.me);
        whole.put_u64(self.voter.of().generation);
        whole.put_u32(self.number);
        whole.put_u32(data.len() as u32);
        whole.put_slice(&data);
        let until = now + TimeDelta::from_secs(self.settings.patience.secs() * GIVE_UP);
        let (number, data) = (self.number, whole.freeze());
        self.changes.push_back(Change { number, data, again: now, until, put: None });
        self.tick(now);
        Ok(number)
    }

    /// What is newest now is wanted: what `read` says of this number once it is known here.
    pub fn ask_newest(&mut self, now: Instant) -> u32 {
        self.lease.hurry(now);
        let seq = self.renew(now);
        self.follow(now);
        seq
    }

    /// Whether all that was committed when that was asked is here.
    pub fn read(&self, seq: u32) -> bool {
        self.lease.read(seq).is_some_and(|index| self.voter.commit() >= index)
    }

    pub fn standing(&self, now: Instant) -> Standing {
        self.lease.standing(now)
    }

    /// Up to where entries hold here.
    pub fn commit(&self) -> u64 {
        self.voter.commit()
    }

    /// Up to where entries are in force: no host, connected or not, goes by what was before them.
    pub fn in_force(&self, now: Instant) -> u64 {
        let long = Lease::until_all(self.settings.lease, self.settings.drift);
        let open = self.learned.iter().find(|l| now - l.last < long).map(|l| l.first - 1);
        open.unwrap_or(self.voter.commit())
    }

    /// When the newest entry that holds here will be in force.
    pub fn in_force_at(&self, now: Instant) -> Instant {
        let long = Lease::until_all(self.settings.lease, self.settings.drift);
        self.learned.back().map_or(now, |l| l.last + long).max(now)
    }

    pub fn leader(&self) -> Option<u32> {
        self.voter.leader().or(self.leader)
    }

    pub fn status(&self, now: Instant) -> Status {
        Status { leader: self.leader(), ..self.voter.status(now) }
    }

    /// Goes on alone where most voters are gone for good; the new log's mark. `state` is what all that holds here led to.
    pub fn force(&mut self, now: Instant, state: &[u8]) -> Result<u64, Refusal> {
        let whole = self.with_clients(&self.clients, state);
        let id = self.voter.force(now, whole)?;
        self.lease = Lease::new(now, self.settings.lease, self.settings.drift);
        (self.leader, self.other_log, self.folding) = (None, false, None);
        self.follow(now);
        Ok(id)
    }

    /// Forgets its log, to follow another; no lease counts from here on.
    pub fn forget(&mut self, now: Instant) -> Result<(), Refusal> {
        let founders = self.founders.clone();
        self.voter.forget(now, &founders)?;
        self.lease = Lease::new(now, self.settings.lease, self.settings.drift);
        (self.leader, self.other_log, self.folding) = (None, false, None);
        self.clients.clear();
        self.learned.clear();
        self.follow(now);
        Ok(())
    }

    pub fn heard(&mut self, now: Instant, from: u32, word: Word) {
        match &word {
            Word::Granted { to_generation, .. }
                if *to_generation != self.voter.of().generation
                    && self.fault != Some(AgreeFault::GenerationsMixed) => {}
            Word::Granted { id, index, .. } => {
                // Against a fleet that was begun anew while this host kept what the one before had agreed on.
                if *id != self.voter.log().base().id && self.voter.commit() > 0 {
                    if !std::mem::replace(&mut self.other_log, true) {
                        let line = format!(
                            "agreement: host {from} goes by another log, begun anew: this host keeps to its own; its store has to go"
                        );
                        self.outputs.push_back(SeatOutput::Mode(line));
                    }
                    return;
                }
                self.lease.heard(now, &word);
                self.leader = Some(from);
                self.voter.behind(now, from, *index);
            }
            Word::Leads { leader, .. } => {
                let named = leader.filter(|l| *l != from);
                self.lease.answered();
                if named != self.leader {
                    self.leader = named;
                    if named.is_some() {
                        self.lease.hurry(now);
                        self.changes.iter_mut().take(1).for_each(|c| c.again = now);
                    }
                }
            }
            _ => self.voter.heard(now, from, word),
        }
        self.tick(now);
    }

    pub fn written(&mut self, now: Instant, receipt: u64, done: bool) {
        self.voter.written(now, receipt, done);
        self.follow(now);
    }

    /// What all up to there led to.
    pub fn folded(&mut self, now: Instant, index: u64, state: &[u8]) {
        // Those of then, whatever came since: the state is of then, too.
        let Some((_, clients)) = self.folding.take_if(|(i, _)| *i == index) else { return };
        let whole = self.with_clients(&clients, state);
        self.voter.folded(index, whole);
        self.follow(now);
    }

    fn with_clients(&self, clients: &Clients, state: &[u8]) -> Bytes {
        let mut out = BytesMut::with_capacity(state.len() + 4 + clients.len() * 16);
        out.put_u32(clients.len() as u32);
        for (slot, (generation, number)) in clients {
            out.put_u32(*slot);
            out.put_u64(*generation);
            out.put_u32(*number);
        }
        out.put_slice(state);
        out.freeze()
    }

    fn restore(&mut self, base: Base) -> SeatOutput {
        let mut state = base.state;
        self.clients.clear();
        if state.len() >= 4 {
            let n = state.get_u32();
            for _ in 0..n {
                if state.len() < 16 {
                    break;
                }
                let (slot, generation, number) = (state.get_u32(), state.get_u64(), state.get_u32());
                self.clients.insert(slot, (generation, number));
            }
        }
        SeatOutput::Restore { index: base.last.index, state }
    }

    /// What the entry is, if it counts: none for one that was said before.
    fn counts(&mut self, now: Instant, index: u64, mut data: Bytes) -> Option<SeatOutput> {
        if data.len() < HEAD {
            return None;
        }
        let (slot, generation, number, n) = (data.get_u32(), data.get_u64(), data.get_u32(), data.get_u32());
        if n as usize != data.len() || slot >= self.settings.hosts {
            return None;
        }
        // Against one that was said twice, as its answer was late; and one that comes after later ones of its host.
        if self.clients.get(&slot).is_some_and(|last| *last >= (generation, number)) {
            return None;
        }
        self.clients.insert(slot, (generation, number));
        let mine = (slot == self.me && generation == self.voter.of().generation).then_some(number);
        if mine.is_some() {
            self.changes.retain(|c| c.number > number);
            self.changes.iter_mut().take(1).for_each(|c| c.again = now);
        }
        Some(SeatOutput::Holds { index, data, mine })
    }

    fn renew(&mut self, now: Instant) -> u32 {
        let Some(seq) = self.lease.ask(now) else { return 0 };
        let (has, of) = (self.voter.has_on_disk(), self.voter.of());
        if let Some(to) = self.whom() {
            self.send(now, to, Word::Renew { seq, has, of });
        }
        seq
    }

    /// The leader as far as is known; else one after the other of those who may know.
    fn whom(&mut self) -> Option<u32> {
        if let Some(l) = self.leader() {
            return Some(l);
        }
        let all = self.voter.to_ask();
        self.turn = self.turn.wrapping_add(1);
        all.get(self.turn % all.len().max(1)).copied()
    }

    fn send(&mut self, now: Instant, to: u32, word: Word) {
        if to != self.me {
            return self.outputs.push_back(SeatOutput::Send { to, word });
        }
        self.voter.heard(now, to, word);
    }

    pub fn tick(&mut self, now: Instant) {
        self.voter.tick(now);
        // An answer that did not come: somebody else may lead by now.
        if self.lease.unanswered() >= UNANSWERED {
            self.leader = None;
        }
        self.renew(now);
        self.say_changes(now);
        self.follow(now);
        self.look(now);
    }

    fn say_changes(&mut self, now: Instant) {
        let again = TimeDelta::from_secs(self.settings.beat.secs() * SAY_AGAIN);
        while let Some(c) = self.changes.front().filter(|c| now >= c.until) {
            self.outputs.push_back(SeatOutput::GaveUp { number: c.number });
            self.changes.pop_front();
        }
        // One at a time: a later one that held first would make this one an old one.
        let Some(c) = self.changes.front() else { return };
        let (leads, term) = (self.voter.leads(), self.voter.term());
        if now < c.again && !(leads && c.put != Some(term)) {
            return;
        }
        let data = c.data.clone();
        let put = if leads {
            if c.put == Some(term) {
                // It stands in this leader's log: what is left is that it holds. Looked at again later, not without end.
                if let Some(c) = self.changes.front_mut() {
                    c.again = now + again;
                }
                return;
            }
            self.voter.propose(now, data).ok().map(|_| term)
        } else {
            if let Some(to) = self.whom().filter(|to| *to != self.me) {
                let id = self.voter.log().base().id;
                self.send(now, to, Word::Propose { id, data });
            }
            None
        };
        if let Some(c) = self.changes.front_mut() {
            (c.again, c.put) = (now + again, put);
        }
    }

    /// What the log has brought.
    fn follow(&mut self, now: Instant) {
        while let Some(o) = self.voter.next_output() {
            let out = match o {
                Output::Send { to, word } if to == self.me => {
                    self.lease.heard(now, &word);
                    continue;
                }
                Output::Send { to, word } => SeatOutput::Send { to, word },
                Output::Write(w) => SeatOutput::Write(w),
                Output::Mode(line) => SeatOutput::Mode(line),
                Output::Fold { index } => {
                    let drops = self.fault == Some(AgreeFault::FoldDropsClients);
                    let clients = if drops { BTreeMap::new() } else { self.clients.clone() };
                    self.folding = Some((index, clients));
                    SeatOutput::Fold { index }
                }
                Output::Restore(base) => {
                    // Since when that has held is not known here: from now is late enough.
                    self.learned.clear();
                    self.learned.push_back(Learned { first: base.last.index.max(1), from: now, last: now });
                    self.restore(base)
                }
                Output::Commit { index, what } => {
                    self.learn(now, index);
                    match what {
                        What::Data(data) => match self.counts(now, index, data) {
                            Some(o) => o,
                            None => continue,
                        },
                        _ => continue,
                    }
                }
            };
            self.outputs.push_back(out);
        }
        self.lease.has(self.voter.commit());
    }

    /// Places that were learned within a moment are one: there are at most so many as moments in a lease.
    fn learn(&mut self, now: Instant, index: u64) {
        let long = Lease::until_all(self.settings.lease, self.settings.drift);
        while self.learned.front().is_some_and(|l| now - l.last >= long) {
            self.learned.pop_front();
        }
        let moment = TimeDelta::from_secs(self.settings.beat.secs() / 4.0);
        match self.learned.back_mut() {
            Some(l) if now - l.from < moment => l.last = now,
            _ => self.learned.push_back(Learned { first: index, from: now, last: now }),
        }
    }

    /// A line where the lease begins or is over.
    fn look(&mut self, now: Instant) {
        let standing = self.lease.standing(now);
        if standing.holds() != self.was_held {
            self.was_held = standing.holds();
            let line = match standing {
                Standing::Holds { .. } => {
                    format!("agreement: what this host has counts, up to {}", self.voter.commit())
                }
                _ => format!(
                    "agreement: this host's lease is over: it keeps to what can't have changed, up to {}",
                    self.voter.commit()
                ),
            };
            self.outputs.push_back(SeatOutput::Mode(line));
        }
    }

    pub fn next_wake(&self, now: Instant) -> Instant {
        let change = self.changes.front().map(|c| c.again.min(c.until));
        let all = [self.voter.next_wake(), change, Some(self.lease.next_wake(now))];
        all.into_iter().flatten().fold(self.lease.next_wake(now), Instant::min)
    }

    pub fn next_output(&mut self) -> Option<SeatOutput> {
        self.outputs.pop_front()
    }
}
