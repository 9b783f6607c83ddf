//! For how long what a host has counts. A host asks; the answer says that nothing newer than so much was committed at some
//! moment after it was asked, so for a term from when it asked no other host goes by anything newer for longer than that
//! term. The term runs by this host's own steady clock, shortened by what clocks may run apart.

use crate::fault::AgreeFault;
use std::collections::VecDeque;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::agree::Word;

/// Part of a lease after which it is asked for anew, and part after which an ask without an answer is repeated.
const RENEW: f64 = 0.34;
const AGAIN: f64 = 0.1;
/// Asks whose answers may still come.
const ASKS: usize = 32;

/// How a host stands to what it has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It never had a lease in this generation.
    Never,
    /// What it has counts until then.
    Holds { until: Instant },
    /// It counted until then; something newer may hold elsewhere.
    Past { since: Instant },
}

impl Standing {
    pub fn holds(&self) -> bool {
        matches!(self, Standing::Holds { .. })
    }
}

#[derive(Clone, Debug)]
pub struct Lease {
    lease: TimeDelta,
    drift: f64,
    seq: u32,
    asks: VecDeque<(u32, Instant)>,
    next_ask: Instant,
    /// Grants: up to where entries were committed, and until when that counts. The one in use, and one that names entries
    /// which are not here yet.
    held: Option<(u64, Instant)>,
    comes: Option<(u64, Instant)>,
    /// The latest ask that was answered, and what it was told.
    newest: Option<(u32, u64)>,
    fault: Option<AgreeFault>,
    /// Asks since the last answer.
    unanswered: u32,
    pub granted: u64,
}

impl Lease {
    /// `lease` in seconds as all hosts are told; `drift`: part by which steady clocks may run apart.
    pub fn new(now: Instant, lease: TimeDelta, drift: f64) -> Lease {
        Lease {
            lease,
            drift,
            seq: 0,
            asks: VecDeque::new(),
            next_ask: now,
            held: None,
            comes: None,
            newest: None,
            fault: None,
            unanswered: 0,
            granted: 0,
        }
    }

    pub fn with_fault(mut self, fault: AgreeFault) -> Lease {
        self.fault = Some(fault);
        self
    }

    /// From when a change is known to be agreed on until nobody goes by what was before it any more, by this host's clock.
    pub fn until_all(lease: TimeDelta, drift: f64) -> TimeDelta {
        TimeDelta::from_secs(lease.secs() * (1.0 + 2.0 * drift))
    }

    /// The next ask, if it is time; an answer counts from now.
    pub fn ask(&mut self, now: Instant) -> Option<u32> {
        if now < self.next_ask {
            return None;
        }
        self.seq = self.seq.wrapping_add(1);
        self.unanswered = self.unanswered.saturating_add(1);
        if self.asks.len() >= ASKS {
            self.asks.pop_front();
        }
        self.asks.push_back((self.seq, now));
        self.next_ask = now + TimeDelta::from_secs(self.lease.secs() * AGAIN);
        Some(self.seq)
    }

    /// Asks anew now: somebody waits for what is newest.
    pub fn hurry(&mut self, now: Instant) {
        self.next_ask = self.next_ask.min(now);
    }

    pub fn heard(&mut self, now: Instant, word: &Word) {
        let Word::Granted { seq, index, term_ms, .. } = word else { return };
        let Some((_, sent)) = self.asks.iter().copied().find(|(s, _)| s == seq) else { return };
        let has = |f: AgreeFault| self.fault == Some(f);
        // The way of both words, and whatever this host stood still meanwhile, is taken off: it counts from the ask. What the
        // other says is no more than this host was told, whatever that other was told.
        let from = if has(AgreeFault::LeaseFromReceipt) { now } else { sent };
        let drift = if has(AgreeFault::NoDrift) { 0.0 } else { self.drift };
        let term = (f64::from(*term_ms) / 1e3).min(self.lease.secs());
        let until = from + TimeDelta::from_secs(term * (1.0 - 2.0 * drift));
        self.granted += 1;
        self.unanswered = 0;
        if self.newest.is_none_or(|(s, _)| s < *seq) {
            self.newest = Some((*seq, *index));
        }
        let newer = |old: &Option<(u64, Instant)>| old.is_none_or(|(_, u)| until > u);
        if newer(&self.comes) {
            self.comes = Some((*index, until));
        }
        // An answer that was long on its way leaves little of the lease; the next ask still waits its moment.
        let due = sent + TimeDelta::from_secs(self.lease.secs() * RENEW);
        self.next_ask = due.max(now + TimeDelta::from_secs(self.lease.secs() * AGAIN));
    }

    /// Somebody spoke to this host, if only to say who leads.
    pub fn answered(&mut self) {
        self.unanswered = 0;
    }

    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Entries up to there are here.
    pub fn has(&mut self, index: u64) {
        let without = self.fault == Some(AgreeFault::LeaseWithoutEntries);
        if let Some((_, until)) = self.comes.take_if(|(i, _)| *i <= index || without) {
            if self.held.is_none_or(|(_, u)| until > u) {
                self.held = Some((index, until));
            }
        }
    }

    pub fn standing(&self, now: Instant) -> Standing {
        match self.held {
            None => Standing::Never,
            Some((_, until)) if now < until => Standing::Holds { until },
            Some((_, since)) => Standing::Past { since },
        }
    }

    /// Up to where entries were committed at some moment after that ask, once it or a later one is answered.
    pub fn read(&self, seq: u32) -> Option<u64> {
        self.newest.filter(|(s, _)| *s >= seq).map(|(_, index)| index)
    }

    pub fn next_wake(&self, now: Instant) -> Instant {
        match self.standing(now) {
            Standing::Holds { until } => self.next_ask.min(until),
            _ => self.next_ask,
        }
    }
}
