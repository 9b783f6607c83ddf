//! Leases: how long a replica may treat what it has as the newest.
//!
//! A replica requests a lease from the leader. The grant confirms that nothing after an index was committed at some moment
//! after the request was sent. For the lease's duration from that moment no other replica takes anything newer for
//! effective, so reads here are not stale.
//!
//! Unlike the leader leases of Raft (thesis, section 6.4.1) each replica holds one. It is counted by the replica's own
//! monotonic clock, and shortened by what clocks may drift apart.

use crate::fault::ConsensusFault;
use std::collections::VecDeque;
use tackmast::interface::{Instant, TimeDelta};

/// Fraction of a lease's duration after which it is renewed.
const RENEWAL_FRACTION: f64 = 0.34;
/// Fraction of a lease's duration after which a request without a response is repeated.
const RETRY_FRACTION: f64 = 0.1;
/// Greatest number of requests whose responses may still arrive. Responses to older ones are ignored.
const MAX_OUTSTANDING: usize = 32;

/// Whether a replica may treat what it has as the newest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseState {
    /// It has had no lease since it started.
    Never,
    /// It may.
    Valid {
        /// The end of the lease.
        until: Instant,
    },
    /// It may not: other replicas may have something newer.
    Expired {
        /// The end of the last lease.
        since: Instant,
    },
}

impl LeaseState {
    /// Whether the replica may treat what it has as the newest.
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

/// A granted lease: until its end, entries up to `index` are the newest.
#[derive(Clone, Copy, Debug)]
struct Validity {
    index: u64,
    until: Instant,
}

/// A replica's lease, and its requests for the next one.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: TimeDelta,
    max_clock_drift: f64,
    last_sequence: u32,
    outstanding: VecDeque<Request>,
    next_request_at: Instant,
    current: Option<Validity>,
    /// A grant whose entries this replica does not have yet.
    awaiting_entries: Option<Validity>,
    newest_grant: Option<LeaseGrant>,
    fault: Option<ConsensusFault>,
    unanswered: u32,
}

impl Lease {
    /// Without a lease. `duration` is the same at all replicas; `max_clock_drift` is the fraction by which monotonic clocks
    /// may drift apart.
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

    /// How long after a replica learns of a commit, by its own clock, other replicas may still hold a lease that does not
    /// cover the entry.
    pub fn commit_wait(duration: TimeDelta, max_clock_drift: f64) -> TimeDelta {
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
        self.next_request_at = now + self.fraction(RETRY_FRACTION);
        Some(self.last_sequence)
    }

    /// Makes a request due now, as a read waits for it.
    pub(crate) fn request_now(&mut self, now: Instant) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// A grant has arrived. The lease counts from its request: if it counted from the grant, the time of both messages, and
    /// any pause of this process, would come on top, and the lease would last longer than others wait for it.
    pub fn on_granted(&mut self, now: Instant, grant: LeaseGrant) {
        let request = self.outstanding.iter().find(|request| request.sequence == grant.sequence);
        let Some(sent) = request.map(|request| request.sent) else { return };
        self.unanswered = 0;
        if self.newest_grant.is_none_or(|newest| newest.sequence < grant.sequence) {
            self.newest_grant = Some(grant);
        }
        let start = if self.has_fault(ConsensusFault::LeaseFromResponse) { now } else { sent };
        let drift = if self.has_fault(ConsensusFault::IgnoreClockDrift) { 0.0 } else { self.max_clock_drift };
        let until = start + usable_duration(grant.duration, self.duration, drift);
        if self.awaiting_entries.is_none_or(|awaiting| until > awaiting.until) {
            self.awaiting_entries = Some(Validity { index: grant.index, until });
        }
        // A grant that took long leaves little of the lease, or none. The next request still waits for the retry time, or
        // this replica would flood the leader with requests.
        let renewal = sent + self.fraction(RENEWAL_FRACTION);
        self.next_request_at = renewal.max(now + self.fraction(RETRY_FRACTION));
    }

    fn has_fault(&self, fault: ConsensusFault) -> bool {
        self.fault == Some(fault)
    }

    /// Another replica has responded, perhaps only with a hint at the leader.
    pub(crate) fn on_response(&mut self) {
        self.unanswered = 0;
    }

    /// Requests since the last response.
    pub(crate) fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Entries up to `index` are here and committed. A lease begins once the entries that its grant covers are: before
    /// that, this replica would treat an older state as the newest.
    pub fn on_committed(&mut self, index: u64) {
        let without_entries = self.has_fault(ConsensusFault::LeaseWithoutEntries);
        let is_usable = |awaiting: &mut Validity| awaiting.index <= index || without_entries;
        let Some(usable) = self.awaiting_entries.take_if(is_usable) else { return };
        if self.current.is_none_or(|current| usable.until > current.until) {
            self.current = Some(usable);
        }
    }

    /// Whether this replica may treat what it has as the newest now.
    pub fn state(&self, now: Instant) -> LeaseState {
        match self.current {
            None => LeaseState::Never,
            Some(Validity { until, .. }) if now < until => LeaseState::Valid { until },
            Some(Validity { until, .. }) => LeaseState::Expired { since: until },
        }
    }

    /// Index of the last entry that was committed at some moment after that request, once the request or a later one is
    /// granted.
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

/// How long a lease is used: no longer than this replica's own setting, whatever the leader's is, and shorter by what the
/// clocks of two replicas may drift apart, as other replicas wait for its end by their own clocks.
fn usable_duration(granted: TimeDelta, configured: TimeDelta, max_clock_drift: f64) -> TimeDelta {
    let duration = granted.secs().min(configured.secs());
    TimeDelta::from_secs(duration * (1.0 - 2.0 * max_clock_drift))
}
