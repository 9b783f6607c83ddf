//! Admission control: whether the host's tables have capacity for a command, and the retry-after of a command that does not fit.
//!
//! Each session and each volume may use a multiple of the free capacity (dynamic thresholds, as in the shared buffers of switches). A
//! client that submits without limit can use the capacity that nobody else needs. Its share shrinks as other clients arrive, and these
//! always find free capacity.

use std::collections::HashMap;
use tackmast::interface::{Instant, TimeDelta};

/// The time constant of the exponentially decaying count of ended requests.
const RATE_WINDOW: TimeDelta = TimeDelta::from_millis(2000);
/// The minimum retry-after. A shorter wait would not be worth a round trip.
const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(50);
/// The fraction of the table that should be free when a rejected client comes back.
const FREE_FRACTION: f64 = 0.1;
/// The maximum ratio of a session's usage to the free capacity.
const SESSION_MULTIPLE: f64 = 4.0;
/// The maximum ratio of a volume's usage to the free capacity.
const VOLUME_MULTIPLE: f64 = 8.0;

/// Requests and bytes in use by the host, a session, a volume or a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub requests: usize,
    pub bytes: usize,
}

impl Usage {
    fn plus(self, other: Usage) -> Usage {
        Usage { requests: self.requests + other.requests, bytes: self.bytes + other.bytes }
    }

    fn minus(self, other: Usage) -> Usage {
        let requests = self.requests.saturating_sub(other.requests);
        let bytes = self.bytes.saturating_sub(other.bytes);
        Usage { requests, bytes }
    }

    /// Returns whether this is at most `multiple` times the limit, in requests and in bytes.
    fn is_within(self, limit: Usage, multiple: f64) -> bool {
        self.requests as f64 <= multiple * limit.requests as f64
            && self.bytes as f64 <= multiple * limit.bytes as f64
    }
}

/// The usage by the host, a session and a volume after the admission of one more command.
struct ProspectiveUsage {
    host: Usage,
    session: Usage,
    volume: Usage,
}

impl ProspectiveUsage {
    /// Returns whether tables with this limit have capacity for the command.
    ///
    /// The free capacity is that after the admission, so that the last free entry is left to another session.
    fn fits(&self, limit: Usage) -> bool {
        let free = limit.minus(self.host);
        self.host.is_within(limit, 1.0)
            && self.session.is_within(free, SESSION_MULTIPLE)
            && self.volume.is_within(free, VOLUME_MULTIPLE)
    }
}

/// Returns the retry-after of a rejected command: the time in which as many requests end as the command needs, plus `FREE_FRACTION` of
/// the table.
///
/// `ended_per_sec` is the present rate at which requests end, and `max_wait` is the upper bound of the result.
fn retry_after(table: usize, needed: usize, ended_per_sec: f64, max_wait: TimeDelta) -> TimeDelta {
    let to_end = FREE_FRACTION * table as f64 + needed as f64;
    let wait_secs = if ended_per_sec > 0.0 { to_end / ended_per_sec } else { f64::MAX };
    let max_wait = max_wait.max(MIN_RETRY_AFTER);
    TimeDelta::from_secs(wait_secs.clamp(MIN_RETRY_AFTER.secs(), max_wait.secs()))
}

/// The usage of the host's tables by each session and volume, and the limit on it.
#[derive(Debug)]
pub(crate) struct Admission {
    limit: Usage,
    max_retry_after: TimeDelta,
    /// The usage by all sessions together.
    usage: Usage,
    sessions: HashMap<u32, Usage>,
    volumes: HashMap<usize, Usage>,
    /// The number of ended requests, decaying with `RATE_WINDOW`.
    ended: f64,
    /// When `ended` was last decayed.
    decayed_at: Instant,
}

impl Admission {
    /// Creates empty tables for at most that many requests and bytes.
    pub(crate) fn new(now: Instant, requests: usize, bytes: usize, max_retry_after: TimeDelta) -> Self {
        Admission {
            limit: Usage { requests, bytes },
            max_retry_after,
            usage: Usage::default(),
            sessions: HashMap::new(),
            volumes: HashMap::new(),
            ended: 0.0,
            decayed_at: now,
        }
    }

    fn decay_ended(&mut self, now: Instant) {
        let age_secs = (now - self.decayed_at).secs().max(0.0);
        self.ended *= (-age_secs / RATE_WINDOW.secs()).exp();
        self.decayed_at = now;
    }

    /// Admits a command with that usage, or returns its retry-after as the error.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        session: u32,
        volume: usize,
        usage: Usage,
    ) -> Result<(), TimeDelta> {
        let prospective = ProspectiveUsage {
            host: self.usage.plus(usage),
            session: self.sessions.get(&session).copied().unwrap_or_default().plus(usage),
            volume: self.volumes.get(&volume).copied().unwrap_or_default().plus(usage),
        };
        if !prospective.fits(self.limit) {
            self.decay_ended(now);
            let ended_per_sec = self.ended / RATE_WINDOW.secs();
            let table = self.limit.requests;
            return Err(retry_after(table, usage.requests, ended_per_sec, self.max_retry_after));
        }
        self.usage = prospective.host;
        self.sessions.insert(session, prospective.session);
        self.volumes.insert(volume, prospective.volume);
        Ok(())
    }

    /// Releases the usage of an admitted command that has ended.
    pub(crate) fn release(&mut self, now: Instant, session: u32, volume: usize, usage: Usage) {
        self.decay_ended(now);
        self.ended += usage.requests as f64;
        self.usage = self.usage.minus(usage);
        let is_still_used = |remaining: &mut Usage| {
            *remaining = remaining.minus(usage);
            *remaining != Usage::default()
        };
        if !self.sessions.get_mut(&session).is_some_and(is_still_used) {
            self.sessions.remove(&session);
        }
        if !self.volumes.get_mut(&volume).is_some_and(is_still_used) {
            self.volumes.remove(&volume);
        }
    }
}

#[cfg(test)]
mod tests;
