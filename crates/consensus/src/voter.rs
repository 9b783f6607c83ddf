//! One host's log and its part in agreeing on it: it votes where its number and disk are among the voters, and else only
//! takes what is committed. What has to be on disk before it is said waits for the disk's receipt.

mod disks;
mod elect;
mod follow;
mod found;
mod lead;

use crate::fault::AgreeFault;
use crate::log::{Base, Log};
use bytes::Bytes;
use lead::Lead;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::agree::{Entry, Origin, Voters, What, Word};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Between two words of a leader.
    pub beat: TimeDelta,
    /// Without a word of a leader for this long, and up to twice this long by chance, another is sought.
    pub patience: TimeDelta,
    /// For how long a grant counts, from when it was asked for.
    pub lease: TimeDelta,
    /// Part by which steady clocks may run apart.
    pub drift: f64,
    /// Hosts' numbers are below this.
    pub hosts: u32,
    /// Entries, and bytes of them, after which they are folded into a state.
    pub fold_entries: u64,
    pub fold_bytes: usize,
}

/// Entries that are not committed yet, at most; a leader refuses those beyond.
const UNCOMMITTED: u64 = 1024;
/// Bytes of entries in one word.
const WORD_BYTES: usize = 64 << 10;
const WORD_ENTRIES: usize = 128;
/// Words that wait for the disk, at most. Beyond that new ones are lost, as on any network.
const HELD: usize = 4096;

/// The term, and whom this voter chose in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hard {
    pub term: u64,
    pub vote: Option<u32>,
}

/// What a disk has of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    pub hard: Hard,
    pub base: Base,
    pub entries: Vec<Entry>,
    /// While nothing is agreed on: the disks that this one stands by.
    pub sealed: Option<Voters>,
    /// Disks of voters as they were last heard of: how often opened, by which generation.
    pub known: BTreeMap<u32, Origin>,
}

/// To be on disk, whole, before the receipt is given.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Write {
    pub receipt: u64,
    pub hard: Option<Hard>,
    /// In place of all entries: a state, and what follows it.
    pub base: Option<Base>,
    /// Entries from the first place on go, and these stand there.
    pub entries: Option<(u64, Vec<Entry>)>,
    pub sealed: Option<Voters>,
    pub known: Option<BTreeMap<u32, Origin>>,
    /// The disk goes by another mark from here on: it does not vote as before.
    pub disk: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: u32,
        word: Word,
    },
    Write(Write),
    /// The entry holds, for good.
    Commit {
        index: u64,
        what: What,
    },
    /// All up to that place led to this state.
    Restore(Base),
    /// The state as of the last commit is wanted, to fold entries into.
    Fold {
        index: u64,
    },
    /// A change of mode, for the log.
    Mode(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Somebody else leads, perhaps that one.
    NotLeader(Option<u32>),
    /// The leader has not made sure yet that it leads.
    NotReady,
    Full {
        waiting: u64,
    },
    TooLong {
        bytes: usize,
    },
    /// Another change of voters is under way.
    VotersMove,
    Voters(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::NotLeader(Some(h)) => {
                write!(f, "this host does not lead; host {h} does, as far as is known")
            }
            Refusal::NotLeader(None) => write!(f, "no leader is known; ask again once one is found"),
            Refusal::NotReady => write!(f, "this host leads since a moment ago; ask again"),
            Refusal::Full { waiting } => write!(f, "{waiting} changes wait to be agreed on; ask again later"),
            Refusal::TooLong { bytes } => {
                write!(f, "a change of {bytes} bytes; expected at most {}", tackmast_wire::agree::MAX_ENTRY)
            }
            Refusal::VotersMove => {
                write!(f, "another change of voters is under way; ask again once it holds")
            }
            Refusal::Voters(why) => write!(f, "voters: {why}"),
        }
    }
}

/// What a voter's place is now.
#[derive(Clone, Debug)]
enum Role {
    Follower { leader: Option<u32> },
    Asking { pre: bool, votes: BTreeSet<u32> },
    Leader(Box<Lead>),
}

/// For people, and for tests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    pub role: &'static str,
    pub term: u64,
    pub leader: Option<u32>,
    pub last: u64,
    pub commit: u64,
    pub folded: u64,
    pub voters: Voters,
    pub votes: bool,
    pub founded: bool,
    pub failed: bool,
    /// Where this host leads: by host, what it said it has on disk, and for how long it has been silent.
    pub has: BTreeMap<u32, (u64, TimeDelta)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub elections: u64,
    pub led: u64,
    pub commits: u64,
    pub granted: u64,
    /// Words of voters whose disk is not the one that votes, or is an old copy.
    pub wrong_disks: u64,
    pub lost_full: u64,
    pub restores: u64,
    pub folds: u64,
}

#[derive(Clone)]
pub struct Voter {
    me: u32,
    of: Origin,
    settings: Settings,
    hard: Hard,
    log: Log,
    /// Up to where entries hold, and up to where they have been given out.
    commit: u64,
    /// Up to where the log is on disk.
    stable: u64,
    role: Role,
    /// When a leader was last heard, and when this host seeks another.
    heard: Instant,
    seek_at: Instant,
    /// While nothing is agreed on.
    founding: Option<found::Founding>,
    known: BTreeMap<u32, Origin>,
    known_moved: bool,
    last_receipt: u64,
    done_receipt: u64,
    /// Writes under way: receipt, and up to where the log is on disk once it is done.
    writing: VecDeque<(u64, u64)>,
    held: VecDeque<(u64, u32, Word)>,
    failed: bool,
    fetch: follow::Fetch,
    fold_asked: Option<u64>,
    outputs: VecDeque<Output>,
    chance: oorandom::Rand64,
    fault: Option<AgreeFault>,
    pub counters: Counters,
}

impl Voter {
    /// `founders`: who votes by the settings, while nothing is agreed on.
    pub fn new(
        now: Instant,
        me: u32,
        of: Origin,
        settings: Settings,
        founders: &BTreeSet<u32>,
        held: Held,
        seed: u64,
    ) -> Voter {
        let commit = held.base.last.index;
        let log = Log::new(held.base, held.entries);
        let stable = log.last().index;
        let founding = log.voters().1.is_empty().then(|| found::Founding::new(founders.clone(), held.sealed));
        let mut v = Voter {
            me,
            of,
            settings,
            hard: held.hard,
            log,
            commit,
            stable,
            role: Role::Follower { leader: None },
            heard: now,
            seek_at: now,
            founding,
            known: held.known,
            known_moved: false,
            last_receipt: 0,
            done_receipt: 0,
            writing: VecDeque::new(),
            held: VecDeque::new(),
            failed: false,
            fetch: follow::Fetch::default(),
            fold_asked: None,
            outputs: VecDeque::new(),
            chance: oorandom::Rand64::new(u128::from(seed) << 32 | u128::from(me)),
            fault: None,
            counters: Counters::default(),
        };
        if commit > 0 || !v.log.base().state.is_empty() {
            v.outputs.push_back(Output::Restore(v.log.base().clone()));
        }
        v.rest(now);
        v
    }

    pub fn with_fault(mut self, fault: AgreeFault) -> Voter {
        self.fault = Some(fault);
        self
    }

    fn has(&self, fault: AgreeFault) -> bool {
        self.fault == Some(fault)
    }

    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Up to where entries hold and are on this host's disk.
    pub fn has_on_disk(&self) -> u64 {
        self.commit.min(self.stable)
    }

    pub fn of(&self) -> Origin {
        self.of
    }

    pub fn voters(&self) -> &Voters {
        self.log.voters().1
    }

    /// Whom to ask who leads: those who vote, or shall by the settings.
    pub fn to_ask(&self) -> Vec<u32> {
        match &self.founding {
            Some(f) => f.founders.iter().copied().collect(),
            None => self.voters().keys().copied().collect(),
        }
    }

    pub fn leader(&self) -> Option<u32> {
        match &self.role {
            Role::Leader(_) => Some(self.me),
            Role::Follower { leader } => *leader,
            Role::Asking { .. } => None,
        }
    }

    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this host is among the voters, by its number and its disk.
    pub fn votes(&self) -> bool {
        if self.failed || self.founding.is_some() {
            return false;
        }
        let mine = self.voters().get(&self.me);
        mine == Some(&self.of.disk) || (mine.is_some() && self.has(AgreeFault::LostDiskVotes))
    }

    fn quorum(&self) -> usize {
        match self.has(AgreeFault::MinorityCommits) {
            true => self.voters().len().div_ceil(2).max(1),
            false => self.voters().len() / 2 + 1,
        }
    }

    fn mode(&mut self, line: String) {
        self.outputs.push_back(Output::Mode(line));
    }

    /// Until a leader is sought, from now.
    fn rest(&mut self, now: Instant) {
        let patience = self.settings.patience.secs() * (1.0 + self.chance.rand_float());
        self.seek_at = now + TimeDelta::from_secs(patience);
    }

    fn write(&mut self, w: Write) {
        self.last_receipt += 1;
        let known = std::mem::take(&mut self.known_moved).then(|| self.known.clone());
        self.writing.push_back((self.last_receipt, self.log.last().index));
        self.outputs.push_back(Output::Write(Write { receipt: self.last_receipt, known, ..w }));
    }

    fn write_hard(&mut self) {
        self.write(Write { hard: Some(self.hard), ..Write::default() });
    }

    fn write_entries(&mut self, from: u64, entries: Vec<Entry>) {
        self.write(Write { entries: Some((from, entries)), ..Write::default() });
    }

    fn write_base(&mut self) {
        let base = Some(self.log.base().clone());
        let after = self.log.base().last.index + 1;
        let entries = Some((after, self.log.from(after, usize::MAX, usize::MAX)));
        self.write(Write { base, entries, ..Write::default() });
    }

    /// Said once all that was given to the disk so far is there.
    fn say_after_disk(&mut self, to: u32, word: Word) {
        if self.held.len() >= HELD {
            self.counters.lost_full += 1;
            return;
        }
        self.held.push_back((self.last_receipt, to, word));
        self.release();
    }

    /// Said at once: nothing in it has to be on this host's disk.
    fn say(&mut self, to: u32, word: Word) {
        self.outputs.push_back(Output::Send { to, word });
    }

    fn release(&mut self) {
        while self.held.front().is_some_and(|(r, _, _)| *r <= self.done_receipt) {
            let Some((_, to, word)) = self.held.pop_front() else { break };
            self.say(to, word);
        }
    }

    /// The disk's word on a write, in their order. One that failed ends this host's part until it starts anew: what it
    /// said it has must be there.
    pub fn written(&mut self, now: Instant, receipt: u64, done: bool) {
        if !done {
            if !std::mem::replace(&mut self.failed, true) {
                self.mode(
                    "the disk takes no writes: this host neither votes nor leads until it starts anew".into(),
                );
            }
            self.held.clear();
            self.role = Role::Follower { leader: None };
            return;
        }
        if self.failed || receipt <= self.done_receipt {
            return;
        }
        self.done_receipt = receipt;
        while self.writing.front().is_some_and(|(r, _)| *r <= receipt) {
            let Some((_, upto)) = self.writing.pop_front() else { break };
            self.stable = upto.min(self.log.last().index);
        }
        self.release();
        self.founding_written(now);
        match self.role {
            Role::Leader(_) => self.count_commits(now),
            Role::Asking { .. } => self.count_votes(now),
            Role::Follower { .. } => {}
        }
        self.give_out();
    }

    /// That entry and all after it go; what of them was on its way to the disk no longer counts.
    fn cut(&mut self, from: u64) {
        self.log.cut(from);
        self.unstable(from - 1);
    }

    fn unstable(&mut self, upto: u64) {
        self.stable = self.stable.min(upto);
        self.writing.iter_mut().for_each(|(_, u)| *u = upto.min(*u));
    }

    fn see_term(&mut self, now: Instant, term: u64) {
        if term > self.hard.term {
            self.hard = Hard { term, vote: None };
            self.write_hard();
            self.step_down(now, None);
        }
    }

    fn step_down(&mut self, now: Instant, leader: Option<u32>) {
        if self.leads() {
            self.mode(format!("agreement: this host leads no longer, term {}", self.hard.term));
            self.rest(now);
        }
        self.role = Role::Follower { leader };
    }

    /// Entries up to there hold.
    fn committed(&mut self, upto: u64) {
        let upto = upto.min(self.log.last().index);
        while self.commit < upto {
            let Some(e) = self.log.get(self.commit + 1).cloned() else { break };
            self.commit += 1;
            self.counters.commits += 1;
            self.outputs.push_back(Output::Commit { index: self.commit, what: e.what });
        }
        self.give_out();
    }

    /// Folds once entries are many.
    fn give_out(&mut self) {
        let (entries, bytes) = self.log.unfolded();
        let many = entries >= self.settings.fold_entries || bytes >= self.settings.fold_bytes;
        let asked = self.fold_asked.is_some_and(|i| i > self.log.base().last.index);
        if many && !asked && self.commit > self.log.base().last.index {
            self.fold_asked = Some(self.commit);
            self.outputs.push_back(Output::Fold { index: self.commit });
        }
    }

    /// What entries up to there led to, as asked for.
    pub fn folded(&mut self, index: u64, state: Bytes) {
        if index > self.commit || state.len() > tackmast_wire::agree::MAX_STATE {
            return;
        }
        if self.log.fold(index, state) {
            self.counters.folds += 1;
            self.write_base();
        }
    }

    /// A word of another host has come.
    pub fn heard(&mut self, now: Instant, from: u32, word: Word) {
        if self.failed {
            return;
        }
        match word {
            Word::Ask { pre, term, last, of } => self.asked(now, from, pre, term, last, of),
            Word::Vote { pre, term, granted, of } => self.voted(now, from, pre, term, granted, of),
            // Against the words of a log that goes on elsewhere beside one that was begun by force.
            Word::Append { id, .. } | Word::Fill { id, .. } | Word::Propose { id, .. }
                if id != self.log.base().id => {}
            Word::Append { term, round, before, commit, entries, .. } => {
                self.append(now, from, term, round, before, commit, entries)
            }
            Word::Appended { term, round, matches, index, of } => {
                self.appended(now, from, term, round, matches, index, of)
            }
            Word::Snapshot { term, id, last, voters, state } => {
                self.snapshot(now, from, term, Base { id, last, voters, state })
            }
            Word::Propose { data, .. } => {
                if let Err(Refusal::NotLeader(leader)) = self.propose_for(now, from, data) {
                    self.say(from, Word::Leads { term: self.hard.term, leader });
                }
            }
            Word::Renew { seq, has, of } => self.renew(now, from, seq, has, of),
            Word::Want { has } => self.wanted(from, has),
            Word::Fill { after, entries, .. } => self.fill(now, after, entries),
            Word::FillState { id, last, voters, state } => {
                self.fill_state(now, Base { id, last, voters, state })
            }
            Word::Found { of, sealed, founded, disks } => self.found(now, from, of, sealed, founded, disks),
            Word::Stale { of } => self.retire(of),
            Word::Granted { .. } | Word::Leads { .. } => {}
        }
    }

    pub fn tick(&mut self, now: Instant) {
        if self.failed {
            return;
        }
        self.tick_founding(now);
        if self.leads() {
            return self.tick_leader(now);
        }
        if self.votes() {
            if now >= self.seek_at {
                self.seek(now);
            }
        } else {
            self.tick_fetch(now);
        }
    }

    /// None: only a word can bring anything new.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.failed {
            return None;
        }
        let wake = match &self.role {
            Role::Leader(l) => Some(l.next_wake()),
            _ if self.votes() => Some(self.seek_at),
            _ => self.fetch.asked,
        };
        let founding = self.founding.as_ref().map(|f| f.next_say);
        [wake, founding].into_iter().flatten().min()
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    pub fn status(&self, now: Instant) -> Status {
        let has = match &self.role {
            Role::Leader(l) => l.has.iter().map(|(h, (has, at))| (*h, (*has, now - *at))).collect(),
            _ => BTreeMap::new(),
        };
        Status {
            role: match &self.role {
                Role::Leader(_) => "leads",
                Role::Asking { .. } => "asks for votes",
                Role::Follower { .. } => "follows",
            },
            term: self.hard.term,
            leader: self.leader(),
            last: self.log.last().index,
            commit: self.commit,
            folded: self.log.base().last.index,
            voters: self.voters().clone(),
            votes: self.votes(),
            founded: self.founding.is_none(),
            failed: self.failed,
            has,
        }
    }

    /// Of which disk, opened how often and by which generation, that voter was last heard.
    pub fn known_disk(&self, host: u32) -> Option<Origin> {
        self.known.get(&host).copied()
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    pub fn term(&self) -> u64 {
        self.hard.term
    }
}
