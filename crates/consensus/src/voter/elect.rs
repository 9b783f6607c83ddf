//! Seeking a leader: first whether votes would be given, so that a host that was cut off does not unseat anyone, then votes.

use super::*;
use tackmast_wire::agree::Mark;

impl Voter {
    pub(super) fn seek(&mut self, now: Instant) {
        self.rest(now);
        self.role = Role::Asking { pre: true, votes: BTreeSet::from([self.me]) };
        self.counters.elections += 1;
        self.ask_all(true);
        self.count_votes(now);
    }

    fn ask_all(&mut self, pre: bool) {
        let term = self.hard.term + u64::from(pre);
        let (last, of) = (self.log.last(), self.of);
        let others: Vec<u32> = self.voters().keys().copied().filter(|s| *s != self.me).collect();
        for to in others {
            self.say_after_disk(to, Word::Ask { pre, term, last, of });
        }
    }

    pub(super) fn asked(&mut self, now: Instant, from: u32, pre: bool, term: u64, last: Mark, of: Origin) {
        if !self.votes() {
            return;
        }
        if !self.is_voters(from, of) {
            return self
                .say_after_disk(from, Word::Vote { pre, term: self.hard.term, granted: false, of: self.of });
        }
        // Against one that was cut off, or has been taken out, and unseats a leader that the others hear.
        let leads = self.leads() || (self.leader().is_some() && now - self.heard < self.settings.patience);
        let newer = last >= self.log.last() || self.has(AgreeFault::NoLogCheck);
        if pre {
            let granted = !leads && newer && term > self.hard.term;
            let said = if granted { term } else { self.hard.term };
            return self.say_after_disk(from, Word::Vote { pre, term: said, granted, of: self.of });
        }
        if leads {
            return;
        }
        self.see_term(now, term);
        let free = self.hard.vote.is_none_or(|v| v == from);
        let granted = term == self.hard.term && free && newer && !self.leads();
        if granted {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from);
                if !self.has(AgreeFault::VoteNotOnDisk) {
                    self.write_hard();
                }
            }
            self.rest(now);
        }
        let word = Word::Vote { pre, term: self.hard.term, granted, of: self.of };
        self.say_after_disk(from, word);
    }

    pub(super) fn voted(&mut self, now: Instant, from: u32, pre: bool, term: u64, granted: bool, of: Origin) {
        if !granted {
            return self.see_term(now, term);
        }
        if !self.votes() || !self.is_voters(from, of) {
            return;
        }
        let right = term == self.hard.term + u64::from(pre);
        match &mut self.role {
            Role::Asking { pre: p, votes } if *p == pre && right => _ = votes.insert(from),
            _ => return,
        }
        self.count_votes(now);
    }

    pub(super) fn count_votes(&mut self, now: Instant) {
        let Role::Asking { pre, votes } = &self.role else { return };
        let (pre, count) = (*pre, votes.iter().filter(|v| self.voters().contains_key(v)).count());
        if count < self.quorum() {
            return;
        }
        if pre {
            self.hard = Hard { term: self.hard.term + 1, vote: Some(self.me) };
            self.write_hard();
            self.role = Role::Asking { pre: false, votes: BTreeSet::from([self.me]) };
            self.ask_all(false);
            return self.count_votes(now);
        }
        // One's own vote as well has to be on disk: without others' words it comes last.
        if count == 1 && self.done_receipt < self.last_receipt {
            return;
        }
        self.lead(now);
    }
}
