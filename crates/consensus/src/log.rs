//! The log of one voter: a base that earlier entries were folded into, and the entries since. Some entries before the base
//! stay in memory for those who are a little behind.

use bytes::Bytes;
use std::collections::VecDeque;
use tackmast_wire::agree::{Entry, Mark, Voters, What};

/// Entries, and bytes of them, that stay before the base.
const KEPT: usize = 1000;
const KEPT_BYTES: usize = 2 << 20;

/// What entries up to `last` led to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Base {
    /// Of the log itself, drawn when the fleet began.
    pub id: u64,
    pub last: Mark,
    /// Who voted then.
    pub voters: Voters,
    pub state: Bytes,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    base: Base,
    /// The place before the first entry that is here.
    front: Mark,
    entries: VecDeque<Entry>,
    /// Of the entries' texts.
    bytes: usize,
    /// Places of entries after the base that change who votes, in order.
    sets: Vec<u64>,
}

fn size(e: &Entry) -> usize {
    match &e.what {
        What::Data(d) => d.len() + 16,
        _ => 64,
    }
}

impl Log {
    pub fn new(base: Base, entries: Vec<Entry>) -> Log {
        let mut log = Log { front: base.last, base, ..Log::default() };
        entries.into_iter().for_each(|e| _ = log.push(e));
        log
    }

    pub fn base(&self) -> &Base {
        &self.base
    }

    pub fn last(&self) -> Mark {
        let index = self.front.index + self.entries.len() as u64;
        Mark { term: self.entries.back().map_or(self.front.term, |e| e.term), index }
    }

    /// Entries and bytes that are not folded yet.
    pub fn unfolded(&self) -> (u64, usize) {
        (self.last().index - self.base.last.index, self.bytes)
    }

    fn at(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.front.index + 1).map(|i| i as usize)
    }

    /// None: no longer here, or not yet.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.at(index)?)
    }

    pub fn mark_at(&self, index: u64) -> Option<Mark> {
        if index == self.front.index {
            return Some(self.front);
        }
        self.get(index).map(|e| Mark { term: e.term, index })
    }

    pub fn push(&mut self, e: Entry) -> u64 {
        self.bytes += size(&e);
        let index = self.last().index + 1;
        if matches!(e.what, What::Voters(_)) {
            self.sets.push(index);
        }
        self.entries.push_back(e);
        index
    }

    /// That entry and all after it go; what is folded stays.
    pub fn cut(&mut self, from: u64) {
        let from = from.max(self.base.last.index + 1);
        while self.last().index >= from {
            let Some(e) = self.entries.pop_back() else { break };
            self.bytes -= size(&e);
        }
        self.sets.retain(|i| *i < from);
    }

    /// Entries from there on, as many as fit, and at least one.
    pub fn from(&self, index: u64, most: usize, max_bytes: usize) -> Vec<Entry> {
        let Some(i) = self.at(index) else { return Vec::new() };
        let mut all = Vec::new();
        let mut bytes = 0;
        for e in self.entries.iter().skip(i).take(most) {
            bytes += size(e);
            if bytes > max_bytes && !all.is_empty() {
                break;
            }
            all.push(e.clone());
        }
        all
    }

    /// Who votes by the newest word on it, committed or not, and where that stands.
    pub fn voters(&self) -> (u64, &Voters) {
        self.voters_at(self.last().index)
    }

    fn voters_at(&self, index: u64) -> (u64, &Voters) {
        let newest =
            self.sets.iter().rev().find(|i| **i <= index).and_then(|i| self.get(*i).map(|e| (*i, e)));
        match newest {
            Some((i, Entry { what: What::Voters(v), .. })) => (i, v),
            _ => (self.base.last.index, &self.base.voters),
        }
    }

    /// Entries up to there led to that state, and are folded into it.
    pub fn fold(&mut self, index: u64, state: Bytes) -> bool {
        if index <= self.base.last.index || index > self.last().index {
            return false;
        }
        let voters = self.voters_at(index).1.clone();
        let Some(last) = self.mark_at(index) else { return false };
        self.sets.retain(|i| *i > index);
        self.base = Base { id: self.base.id, last, voters, state };
        let most = |log: &Log| log.base.last.index - log.front.index > KEPT as u64 || log.bytes > KEPT_BYTES;
        while self.front.index < index && most(self) {
            let Some(e) = self.entries.pop_front() else { break };
            self.bytes -= size(&e);
            self.front = Mark { term: e.term, index: self.front.index + 1 };
        }
        true
    }

    /// In place of all that is here.
    pub fn restore(&mut self, base: Base) {
        *self = Log::new(base, Vec::new());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn data(term: u64, n: u8) -> Entry {
        Entry { term, what: What::Data(Bytes::from(vec![n])) }
    }

    #[test]
    fn places_terms_and_voters_through_folds_and_cuts() {
        let set = |n: u64| Voters::from([(0, n)]);
        let last = Mark { term: 1, index: 10 };
        let base = Base { id: 3, last, voters: set(1), state: Bytes::new() };
        let mut log = Log::new(base, vec![data(1, 11), data(2, 12)]);
        assert_eq!((log.last(), log.mark_at(10).map(|m| m.term)), (Mark { term: 2, index: 12 }, Some(1)));
        assert_eq!(log.push(Entry { term: 3, what: What::Voters(set(2)) }), 13);
        log.push(data(3, 14));
        assert_eq!(log.voters(), (13, &set(2)));
        // A cut takes the set back with it.
        log.cut(13);
        assert_eq!((log.voters(), log.last().index), ((10, &set(1)), 12));
        log.push(Entry { term: 4, what: What::Voters(set(3)) });
        log.push(data(4, 14));
        assert!(
            log.fold(13, Bytes::from_static(b"s"))
                && !log.fold(13, Bytes::new())
                && !log.fold(99, Bytes::new())
        );
        assert_eq!((log.base().last, log.voters()), (Mark { term: 4, index: 13 }, (13, &set(3))));
        // What is folded is still told to who is a little behind, and can't be cut.
        assert_eq!(log.from(11, 2, 100).len(), 2);
        log.cut(5);
        assert_eq!((log.last().index, log.get(14)), (13, None));
        log.restore(Base { last: Mark { term: 9, index: 40 }, ..Base::default() });
        assert_eq!((log.last().index, log.get(13), log.mark_at(40).map(|m| m.term)), (40, None, Some(9)));
    }

    #[test]
    fn what_is_kept_before_the_base_is_bounded() {
        let mut log = Log::default();
        for i in 0..5_000u64 {
            log.push(data(1, i as u8));
        }
        assert!(log.fold(4_990, Bytes::new()));
        assert_eq!(log.from(4_000, 10_000, 1 << 30).len(), 1_001);
        assert!(log.from(3_900, 10, 1 << 30).is_empty());
        let large = Entry { term: 2, what: What::Data(Bytes::from(vec![0; 1 << 20])) };
        (0..6).for_each(|_| _ = log.push(large.clone()));
        assert!(log.fold(log.last().index, Bytes::new()));
        assert!(log.bytes <= KEPT_BYTES);
    }
}
