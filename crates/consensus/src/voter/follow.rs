//! Following: what a leader sends, where this host votes; what is committed, asked for piece by piece, where it does not.

use super::*;
use tackmast_wire::agree::Mark;

/// Asks again after so many beats without an answer.
const AGAIN: f64 = 3.0;

/// How a host that does not vote comes by what is committed.
#[derive(Clone, Debug, Default)]
pub(super) struct Fetch {
    /// Up to where entries are committed, as far as was heard, and from whom.
    wanted: u64,
    of: Option<u32>,
    pub asked: Option<Instant>,
}

impl Voter {
    #[allow(clippy::too_many_arguments)] // the fields of one word
    pub(super) fn append(
        &mut self,
        now: Instant,
        from: u32,
        term: u64,
        round: u64,
        before: Mark,
        commit: u64,
        entries: Vec<Entry>,
    ) {
        if self.founding.is_some() || !self.follows(now, from, term, round) {
            return;
        }
        let of = self.of;
        let answer =
            |term: u64, matches: bool, index: u64| Word::Appended { term, round, matches, index, of };
        // What is folded is committed, so it is as the leader has it.
        let folded = self.log.base().last.index;
        let known = before.index < folded || self.log.mark_at(before.index) == Some(before);
        if !known {
            // Where to try next: at the end, or before the first entry of the term that differs here.
            let mut index = self.log.last().index;
            if index >= before.index {
                let other = self.log.mark_at(before.index).map(|m| m.term);
                index = before.index - 1;
                while index > self.commit && self.log.mark_at(index).map(|m| m.term) == other {
                    index -= 1;
                }
            }
            return self.say_after_disk(from, answer(self.hard.term, false, index.max(self.commit)));
        }
        let upto = before.index + entries.len() as u64;
        let places = (before.index + 1..).zip(entries);
        let mut new: Vec<Entry> = Vec::new();
        let mut first = 0;
        for (index, e) in places {
            if index <= folded
                || (new.is_empty() && self.log.mark_at(index).is_some_and(|m| m.term == e.term))
            {
                continue;
            }
            if new.is_empty() {
                if self.has(AgreeFault::KeepsConflicts) && self.log.get(index).is_some() {
                    continue;
                }
                first = index;
            }
            new.push(e);
        }
        if !new.is_empty() {
            self.cut(first);
            new.iter().for_each(|e| _ = self.log.push(e.clone()));
            if self.has(AgreeFault::AckBeforeDisk) {
                self.write_entries(first, new);
                self.say(from, answer(self.hard.term, true, upto));
            } else {
                self.write_entries(first, new);
            }
        }
        self.committed(commit.min(upto));
        self.say_after_disk(from, answer(self.hard.term, true, upto.max(folded)));
    }

    /// Whether the word is of the leader of this term or a later one.
    fn follows(&mut self, now: Instant, from: u32, term: u64, round: u64) -> bool {
        if term < self.hard.term && !self.has(AgreeFault::OldLeaderFollowed) {
            let (term, of, index) = (self.hard.term, self.of, self.commit);
            self.say_after_disk(from, Word::Appended { term, round, matches: false, index, of });
            return false;
        }
        self.see_term(now, term);
        if self.leads() {
            // Two leaders of one term are not possible; a word that says so is not followed.
            return false;
        }
        if self.leader() != Some(from) {
            self.mode(format!("agreement: host {from} leads, term {term}"));
        }
        self.role = Role::Follower { leader: Some(from) };
        self.heard = now;
        self.rest(now);
        true
    }

    pub(super) fn snapshot(&mut self, now: Instant, from: u32, term: u64, base: Base) {
        let round = 0;
        if self.founding.is_some() || base.id != self.log.base().id || !self.follows(now, from, term, round) {
            return;
        }
        let index = base.last.index;
        self.take_state(base);
        let (term, of, index) = (self.hard.term, self.of, index.max(self.commit));
        // What is here beyond the state is the leader's only as far as it is committed.
        self.say_after_disk(from, Word::Appended { term, round, matches: true, index, of });
    }

    fn take_state(&mut self, base: Base) {
        let known = self.log.base().id;
        if base.last.index <= self.commit || (known != 0 && known != base.id) {
            return;
        }
        self.counters.restores += 1;
        // What stands behind the state may be committed already, and this host one of those who said they have it: where its
        // log leads through the state's last entry, it stays.
        let through = self.log.mark_at(base.last.index) == Some(base.last);
        if through && !self.has(AgreeFault::StateDropsRest) {
            self.commit = base.last.index;
            self.log.fold(base.last.index, base.state.clone());
        } else {
            self.unstable(self.commit);
            self.commit = base.last.index;
            self.log.restore(base.clone());
        }
        self.write_base();
        self.outputs.push_back(Output::Restore(base));
        if self.founding.take().is_some() {
            self.mode("agreement: joined a fleet that has agreed before".into());
        }
    }

    /// A host that follows asks for what it lacks; only what is committed is given.
    pub(super) fn wanted(&mut self, from: u32, has: u64) {
        if self.founding.is_some() {
            return;
        }
        let after = has.min(self.commit);
        let Some(_) = self.before_of(after).filter(|m| m.index > 0 || self.log.base().last.index == 0) else {
            let Base { id, last, voters, state } = self.log.base().clone();
            return self.say(from, Word::FillState { id, last, voters, state });
        };
        let most = ((self.commit - after) as usize).min(WORD_ENTRIES);
        let entries = match most {
            0 => Vec::new(),
            n => self.log.from(after + 1, n, WORD_BYTES),
        };
        // One that has nothing needs to know who votes: that stands in the state.
        if has == 0 {
            let Base { id, last, voters, state } = self.log.base().clone();
            self.say(from, Word::FillState { id, last, voters, state });
        }
        if !entries.is_empty() {
            let id = self.log.base().id;
            self.say(from, Word::Fill { id, after, entries });
        }
    }

    /// Entries up to there are committed, as that host said.
    pub fn behind(&mut self, now: Instant, from: u32, index: u64) {
        if self.votes() || index <= self.commit.max(self.fetch.wanted) {
            return;
        }
        (self.fetch.wanted, self.fetch.of) = (index, Some(from));
        if self.fetch.asked.is_none() {
            self.ask_for_more(now);
        }
    }

    fn ask_for_more(&mut self, now: Instant) {
        let again = TimeDelta::from_secs(self.settings.beat.secs() * AGAIN);
        self.fetch.asked = Some(now + again);
        let Some(to) = self.fetch.of else { return };
        self.say(to, Word::Want { has: self.commit });
    }

    pub(super) fn tick_fetch(&mut self, now: Instant) {
        if self.fetch.asked.is_none_or(|t| now < t) {
            return;
        }
        if self.commit >= self.fetch.wanted && self.founding.is_none() {
            self.fetch.asked = None;
            return;
        }
        // Another of those who vote may be better reached.
        let all = self.to_ask();
        if !all.is_empty() {
            let i = self.chance.rand_range(0..all.len() as u64) as usize;
            self.fetch.of = all.get(i).copied().filter(|s| *s != self.me).or(self.fetch.of);
        }
        self.ask_for_more(now);
    }

    pub(super) fn fill(&mut self, now: Instant, after: u64, entries: Vec<Entry>) {
        if self.votes() || self.founding.is_some() || after > self.commit {
            return;
        }
        let first = self.commit + 1;
        let skip = (self.commit - after) as usize;
        let new: Vec<Entry> = entries.into_iter().skip(skip).collect();
        if new.is_empty() {
            return;
        }
        // What an earlier time as a voter left here was perhaps never committed.
        self.cut(first);
        new.iter().for_each(|e| _ = self.log.push(e.clone()));
        let upto = self.log.last().index;
        self.write_entries(first, new);
        self.committed(upto);
        if self.commit < self.fetch.wanted {
            self.ask_for_more(now);
        } else {
            self.fetch.asked = None;
        }
    }

    pub(super) fn fill_state(&mut self, now: Instant, base: Base) {
        if self.votes() {
            return;
        }
        if base.last.index == 0 && self.founding.is_some() && !base.voters.is_empty() {
            // The fleet's beginning: who votes, and nothing else yet.
            self.log.restore(base.clone());
            self.write_base();
            self.founding = None;
            self.outputs.push_back(Output::Restore(base));
        } else {
            self.take_state(base);
        }
        if self.commit < self.fetch.wanted {
            self.ask_for_more(now);
        } else {
            self.fetch.asked = None;
        }
    }
}
