//! Leases: for how long what a replica has counts as the newest. A replica requests one from the leader; the grant says
//! that nothing after an index was committed at some moment after the request was sent. For the lease's duration from that
//! moment no other replica takes anything newer for effective either, so reads here are not stale beyond it. Unlike the
//! leader leases of Raft (thesis, section 6.4.1) each replica holds one, counted by its own steady clock and shortened by
//! what clocks may run apart.

use crate::fault::ConsensusFault;
use std::collections::VecDeque;
use tackmast::interface::{Instant, TimeDelta};

/// Fraction of a lease after which it is renewed.
const RENEW_AFTER: f64 = 0.34;
/// Fraction of a lease after which a request without a response is repeated.
const RETRY_AFTER: f64 = 0.1;
/// Requests whose responses may still arrive.
const MAX_OUTSTANDING: usize = 32;

/// Whether what a replica has counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseState {
    /// It has had no lease since it started.
    Never,
    /// What it has counts.
    Valid {
        /// The end of the lease.
        until: Instant,
    },
    /// Something newer may count elsewhere.
    Expired {
        /// The end of the last lease.
        since: Instant,
    },
}

impl LeaseState {
    /// Whether what the replica has counts.
    pub fn is_valid(&self) -> bool {
        matches!(self, LeaseState::Valid { .. })
    }
}

/// A leader's response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseGrant {
    /// Number of the request.
    pub sequence: u32,
    /// Index of the last entry that was committed.
    pub index: u64,
    /// How long the lease lasts, from when it was requested.
    pub duration: TimeDelta,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    sequence: u32,
    sent: Instant,
}

/// What is granted: entries up to `index` count as the newest until then.
#[derive(Clone, Copy, Debug)]
struct Validity {
    index: u64,
    until: Instant,
}

/// A replica's lease, its requests and what they were answered.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: TimeDelta,
    max_clock_drift: f64,
    last_sequence: u32,
    outstanding: VecDeque<Request>,
    next_request_at: Instant,
    current: Option<Validity>,
    /// Names entries that are not here yet.
    awaiting_entries: Option<Validity>,
    newest_grant: Option<LeaseGrant>,
    fault: Option<ConsensusFault>,
    unanswered: u32,
}

impl Lease {
    /// `duration` as all replicas are told; `max_clock_drift`: fraction by which steady clocks may run apart.
    pub fn new(now: Instant, duration: TimeDelta, max_clock_drift: f64) -> Lease {
        Lease {
            duration,
            max_clock_drift,
            last_sequence: 0,
            outstanding: VecDeque::new(),
            next_request_at: now,
            current: None,
            awaiting_entries: None,
            newest_grant: None,
            fault: None,
            unanswered: 0,
        }
    }

    /// The same lease with a deliberate fault.
    pub fn with_fault(mut self, fault: ConsensusFault) -> Lease {
        self.fault = Some(fault);
        self
    }

    /// From when a replica learns that an entry is committed until nobody goes by what was before it any more, by that
    /// replica's clock.
    pub fn max_holdover(duration: TimeDelta, max_clock_drift: f64) -> TimeDelta {
        TimeDelta::from_secs(duration.secs() * (1.0 + 2.0 * max_clock_drift))
    }

    fn fraction(&self, fraction: f64) -> TimeDelta {
        TimeDelta::from_secs(self.duration.secs() * fraction)
    }

    /// The number of a new request, if one is due; a lease counts from now.
    pub fn poll_request(&mut self, now: Instant) -> Option<u32> {
        if now < self.next_request_at {
            return None;
        }
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.unanswered = self.unanswered.saturating_add(1);
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(Request { sequence: self.last_sequence, sent: now });
        self.next_request_at = now + self.fraction(RETRY_AFTER);
        Some(self.last_sequence)
    }

    /// Makes a request due now: somebody waits for what is newest.
    pub(crate) fn request_now(&mut self, now: Instant) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// A grant has arrived.
    pub fn on_granted(&mut self, now: Instant, grant: LeaseGrant) {
        let request = self.outstanding.iter().find(|request| request.sequence == grant.sequence);
        let Some(sent) = request.map(|request| request.sent) else { return };
        self.unanswered = 0;
        if self.newest_grant.is_none_or(|newest| newest.sequence < grant.sequence) {
            self.newest_grant = Some(grant);
        }
        let until = self.lease_end(now, sent, grant.duration);
        if self.awaiting_entries.is_none_or(|awaiting| until > awaiting.until) {
            self.awaiting_entries = Some(Validity { index: grant.index, until });
        }
        // A grant that took long leaves little of the lease; the next request still waits its time.
        let renewal = sent + self.fraction(RENEW_AFTER);
        self.next_request_at = renewal.max(now + self.fraction(RETRY_AFTER));
    }

    /// The lease counts from its request, so that the time of both messages, and any for which this process stood still,
    /// is taken off. It is no longer than this replica was told, whatever the leader was.
    fn lease_end(&self, now: Instant, sent: Instant, granted: TimeDelta) -> Instant {
        let has_fault = |fault: ConsensusFault| self.fault == Some(fault);
        let start = if has_fault(ConsensusFault::LeaseFromResponse) { now } else { sent };
        let ignores_drift = has_fault(ConsensusFault::IgnoreClockDrift);
        let drift = if ignores_drift { 0.0 } else { self.max_clock_drift };
        let duration = granted.secs().min(self.duration.secs());
        start + TimeDelta::from_secs(duration * (1.0 - 2.0 * drift))
    }

    /// Another replica has responded, if only to say who leads.
    pub(crate) fn on_response(&mut self) {
        self.unanswered = 0;
    }

    /// Requests since the last response.
    pub(crate) fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Entries up to `index` are here and committed. A lease begins once the entries that it names are.
    pub fn on_committed(&mut self, index: u64) {
        let without_entries = self.fault == Some(ConsensusFault::LeaseWithoutEntries);
        let is_usable = |awaiting: &mut Validity| awaiting.index <= index || without_entries;
        let Some(usable) = self.awaiting_entries.take_if(is_usable) else { return };
        if self.current.is_none_or(|current| usable.until > current.until) {
            self.current = Some(usable);
        }
    }

    /// Whether what this replica has counts now.
    pub fn state(&self, now: Instant) -> LeaseState {
        match self.current {
            None => LeaseState::Never,
            Some(Validity { until, .. }) if now < until => LeaseState::Valid { until },
            Some(Validity { until, .. }) => LeaseState::Expired { since: until },
        }
    }

    /// Index of the last entry that was committed at some moment after that request, once it or a later one is granted.
    pub fn read_index(&self, sequence: u32) -> Option<u64> {
        self.newest_grant.filter(|newest| newest.sequence >= sequence).map(|newest| newest.index)
    }

    /// When the next request is due, or the state changes.
    pub fn poll_timeout(&self, now: Instant) -> Instant {
        match self.state(now) {
            LeaseState::Valid { until } => self.next_request_at.min(until),
            _ => self.next_request_at,
        }
    }
}
