//! Leases, which limit how long a replica may treat its committed state as the latest.
//!
//! A replica requests a lease from the leader. The grant names the last entry that was committed at some moment
//! after the request was sent. The lease counts from the sending of the request. Until the lease ends, no other replica
//! treats a later entry as effective, so reads from this replica are not stale.
//!
//! Unlike the leader lease of Raft (thesis, section 6.4.1), each replica holds its own. The lease is measured by the
//! replica's monotonic clock, and shortened by the possible clock drift.

use crate::fault::ConsensusFault;
use std::collections::VecDeque;
use tackmast::interface::{Instant, TimeDelta};

/// Fraction of a lease's duration after which its renewal is requested.
const RENEWAL_FRACTION: f64 = 0.34;
/// Fraction of a lease's duration after which a request without a response is retried.
const RETRY_FRACTION: f64 = 0.1;
/// Greatest number of outstanding requests. Responses to older requests are ignored.
const MAX_OUTSTANDING: usize = 32;

/// Whether a replica may treat its committed state as the latest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseState {
    /// The replica has had no lease since it started.
    Never,
    /// The replica has a lease.
    Valid {
        /// When the lease ends, by the replica's monotonic clock.
        until: Instant,
    },
    /// The lease has ended. Later entries may be effective on other replicas.
    Expired {
        /// When the last lease ended, by the replica's monotonic clock.
        since: Instant,
    },
}

impl LeaseState {
    /// Returns whether the replica may treat its committed state as the latest.
    pub fn is_valid(&self) -> bool {
        matches!(self, LeaseState::Valid { .. })
    }
}

/// A leader's grant of a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseGrant {
    /// Sequence number of the request that is granted.
    pub sequence: u32,
    /// Index of the last entry that was committed when the lease was granted.
    pub index: u64,
    /// Duration of the lease, counted from when it was requested.
    pub duration: TimeDelta,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sequence: u32,
    sent: Instant,
}

/// A granted lease. Until its end no entry after `index` is effective on another replica.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    index: u64,
    until: Instant,
}

/// A replica's lease and its requests for renewal.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: TimeDelta,
    max_clock_drift: f64,
    last_sequence: u32,
    outstanding: VecDeque<SentRequest>,
    next_request_at: Instant,
    current: Option<GrantedLease>,
    /// A granted lease that is not used yet: this replica must first know the entries up to its index to be committed.
    awaiting_entries: Option<GrantedLease>,
    latest_grant: Option<LeaseGrant>,
    fault: Option<ConsensusFault>,
    unanswered_requests: u32,
}

impl Lease {
    /// Creates the state of a replica that has no lease yet. `duration` must be the same on all replicas;
    /// `max_clock_drift` is the greatest fraction by which monotonic clocks may drift apart.
    pub fn new(now: Instant, duration: TimeDelta, max_clock_drift: f64) -> Lease {
        Lease {
            duration,
            max_clock_drift,
            last_sequence: 0,
            outstanding: VecDeque::new(),
            next_request_at: now,
            current: None,
            awaiting_entries: None,
            latest_grant: None,
            fault: None,
            unanswered_requests: 0,
        }
    }

    /// Returns the same lease with a deliberate fault, for tests.
    pub fn with_fault(mut self, fault: ConsensusFault) -> Lease {
        self.fault = Some(fault);
        self
    }

    /// Returns how long a replica has to wait, by its own clock, after it learned of a commit until the entry is
    /// effective. Until then other replicas may hold a lease that does not cover the entry.
    pub fn commit_wait(duration: TimeDelta, max_clock_drift: f64) -> TimeDelta {
        TimeDelta::from_secs(duration.secs() * (1.0 + 2.0 * max_clock_drift))
    }

    fn fraction_of_duration(&self, fraction: f64) -> TimeDelta {
        TimeDelta::from_secs(self.duration.secs() * fraction)
    }

    /// Returns the sequence number of a new request if one is due. If the leader grants this request, the lease
    /// counts from `now`.
    pub fn poll_request(&mut self, now: Instant) -> Option<u32> {
        if now < self.next_request_at {
            return None;
        }
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.unanswered_requests = self.unanswered_requests.saturating_add(1);
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(SentRequest { sequence: self.last_sequence, sent: now });
        self.next_request_at = now + self.fraction_of_duration(RETRY_FRACTION);
        Some(self.last_sequence)
    }

    /// Makes the next request due now, as a read is waiting for it.
    pub(crate) fn request_now(&mut self, now: Instant) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Handles a grant from the leader. The lease counts from its request. If it counted from the grant, it would be
    /// longer by the delay of both messages and any pause of this process, and other replicas would not wait for its
    /// end.
    pub fn on_granted(&mut self, now: Instant, grant: LeaseGrant) {
        let request = self.outstanding.iter().find(|request| request.sequence == grant.sequence);
        let Some(sent) = request.map(|request| request.sent) else { return };
        self.unanswered_requests = 0;
        if self.latest_grant.is_none_or(|latest| latest.sequence < grant.sequence) {
            self.latest_grant = Some(grant);
        }
        let start = if self.has_fault(ConsensusFault::LeaseFromResponse) { now } else { sent };
        let drift = if self.has_fault(ConsensusFault::IgnoreClockDrift) { 0.0 } else { self.max_clock_drift };
        let until = start + usable_duration(grant.duration, self.duration, drift);
        if self.awaiting_entries.is_none_or(|awaiting| until > awaiting.until) {
            self.awaiting_entries = Some(GrantedLease { index: grant.index, until });
        }
        // After a slow grant the renewal may be due already. The next request still waits for the retry interval, so
        // that this replica does not flood the leader.
        let renewal = sent + self.fraction_of_duration(RENEWAL_FRACTION);
        self.next_request_at = renewal.max(now + self.fraction_of_duration(RETRY_FRACTION));
    }

    fn has_fault(&self, fault: ConsensusFault) -> bool {
        self.fault == Some(fault)
    }

    /// Records that another replica has responded, if only with a hint about the leader.
    pub(crate) fn on_response(&mut self) {
        self.unanswered_requests = 0;
    }

    /// Returns the number of requests since the last response.
    pub(crate) fn unanswered_requests(&self) -> u32 {
        self.unanswered_requests
    }

    /// Records that this replica knows the entries up to `index` to be committed. A granted lease takes effect only
    /// once this replica has all entries that it covers. Before that, the replica would treat an older state as the
    /// latest.
    pub fn on_committed(&mut self, index: u64) {
        let ignores_entries = self.has_fault(ConsensusFault::LeaseWithoutEntries);
        let is_usable = |awaiting: &mut GrantedLease| awaiting.index <= index || ignores_entries;
        let Some(usable) = self.awaiting_entries.take_if(is_usable) else { return };
        if self.current.is_none_or(|current| usable.until > current.until) {
            self.current = Some(usable);
        }
    }

    /// Returns whether this replica may treat its committed state as the latest at `now`.
    pub fn state(&self, now: Instant) -> LeaseState {
        match self.current {
            None => LeaseState::Never,
            Some(GrantedLease { until, .. }) if now < until => LeaseState::Valid { until },
            Some(GrantedLease { until, .. }) => LeaseState::Expired { since: until },
        }
    }

    /// Returns the index of the last entry that was committed at some moment after the request with this sequence
    /// number. `None` until that request or a later one has been granted.
    pub fn read_index(&self, sequence: u32) -> Option<u64> {
        self.latest_grant.filter(|latest| latest.sequence >= sequence).map(|latest| latest.index)
    }

    /// Returns when the next request is due or the lease ends, whichever is first.
    pub fn poll_timeout(&self, now: Instant) -> Instant {
        match self.state(now) {
            LeaseState::Valid { until } => self.next_request_at.min(until),
            _ => self.next_request_at,
        }
    }
}

/// Returns how long a granted lease may be used. It is at most the duration in this replica's own settings, whatever
/// the leader's are, and shortened by the possible clock drift, as other replicas wait for its end by their own clocks.
fn usable_duration(granted: TimeDelta, configured: TimeDelta, max_clock_drift: f64) -> TimeDelta {
    let duration = granted.secs().min(configured.secs());
    TimeDelta::from_secs(duration * (1.0 - 2.0 * max_clock_drift))
}
