//! Whether the host's tables have capacity for a command, and when a client that meets a full table should come back.
//!
//! Each session, and each volume, may hold a multiple of what is free (dynamic thresholds, as shared buffers of switches use them).
//! A client that asks without end gets what nobody else wants; its bound shrinks as others come, who always meet something free.

use std::collections::HashMap;
use tackmast::interface::{Instant, TimeDelta};

/// The time constant over which the ended requests are counted.
const RATE_WINDOW: TimeDelta = TimeDelta::from_millis(2000);
/// The shortest retry-after: a shorter wait would not be worth a round trip.
const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(50);
/// The fraction of the table that should be free when a rejected client comes back.
const FREE_FRACTION: f64 = 0.1;
/// A session may hold this many times what is free.
const SESSION_MULTIPLE: f64 = 4.0;
/// A volume may hold this many times what is free.
const VOLUME_MULTIPLE: f64 = 8.0;

/// Requests and bytes, of the host or a part of it.
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

    /// Whether this is at most `multiple` times the bound, in requests and in bytes.
    fn is_within(self, bound: Usage, multiple: f64) -> bool {
        self.requests as f64 <= multiple * bound.requests as f64
            && self.bytes as f64 <= multiple * bound.bytes as f64
    }
}

/// What the host, a session and a volume would hold with one more command.
struct UsageWith {
    host: Usage,
    session: Usage,
    volume: Usage,
}

impl UsageWith {
    /// Whether tables with this bound have capacity for it. What is free counts after this command, so that the last place is left to
    /// somebody else.
    fn fits(&self, bound: Usage) -> bool {
        let free = bound.minus(self.host);
        self.host.is_within(bound, 1.0)
            && self.session.is_within(free, SESSION_MULTIPLE)
            && self.volume.is_within(free, VOLUME_MULTIPLE)
    }
}

/// When a rejected client should come back: once the requests that it wants, and `FREE_FRACTION` of the table, have ended.
/// `ended_per_sec` is the present rate of endings; `max_wait` bounds the wait when nothing ends.
fn retry_after(table: usize, wanted: usize, ended_per_sec: f64, max_wait: TimeDelta) -> TimeDelta {
    let to_end = FREE_FRACTION * table as f64 + wanted as f64;
    let wait_secs = if ended_per_sec > 0.0 { to_end / ended_per_sec } else { f64::MAX };
    let max_wait = max_wait.max(MIN_RETRY_AFTER);
    TimeDelta::from_secs(wait_secs.clamp(MIN_RETRY_AFTER.secs(), max_wait.secs()))
}

/// Requests and bytes in the host's tables, by session and volume, within their bounds.
#[derive(Debug)]
pub(crate) struct Admission {
    bound: Usage,
    max_retry_after: TimeDelta,
    /// Of all sessions.
    usage: Usage,
    sessions: HashMap<u32, Usage>,
    volumes: HashMap<usize, Usage>,
    /// Requests that ended, the older counting less.
    ended: f64,
    /// When `ended` was last brought up to date.
    ended_at: Instant,
}

impl Admission {
    /// Bounds for a host, in requests and bytes.
    pub(crate) fn new(now: Instant, requests: usize, bytes: usize, max_retry_after: TimeDelta) -> Self {
        Admission {
            bound: Usage { requests, bytes },
            max_retry_after,
            usage: Usage::default(),
            sessions: HashMap::new(),
            volumes: HashMap::new(),
            ended: 0.0,
            ended_at: now,
        }
    }

    fn decay_ended(&mut self, now: Instant) {
        let age_secs = (now - self.ended_at).secs().max(0.0);
        self.ended *= (-age_secs / RATE_WINDOW.secs()).exp();
        self.ended_at = now;
    }

    /// Admits a command that wants so much, or returns after how long its client should retry.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        session: u32,
        volume: usize,
        wanted: Usage,
    ) -> Result<(), TimeDelta> {
        let with = UsageWith {
            host: self.usage.plus(wanted),
            session: self.sessions.get(&session).copied().unwrap_or_default().plus(wanted),
            volume: self.volumes.get(&volume).copied().unwrap_or_default().plus(wanted),
        };
        if !with.fits(self.bound) {
            self.decay_ended(now);
            let ended_per_sec = self.ended / RATE_WINDOW.secs();
            let table = self.bound.requests;
            return Err(retry_after(table, wanted.requests, ended_per_sec, self.max_retry_after));
        }
        self.usage = with.host;
        self.sessions.insert(session, with.session);
        self.volumes.insert(volume, with.volume);
        Ok(())
    }

    /// A command has ended: what it held is free again.
    pub(crate) fn release(&mut self, now: Instant, session: u32, volume: usize, held: Usage) {
        self.decay_ended(now);
        self.ended += held.requests as f64;
        self.usage = self.usage.minus(held);
        let still_holds = |usage: &mut Usage| {
            *usage = usage.minus(held);
            *usage != Usage::default()
        };
        if !self.sessions.get_mut(&session).is_some_and(still_holds) {
            self.sessions.remove(&session);
        }
        if !self.volumes.get_mut(&volume).is_some_and(still_holds) {
            self.volumes.remove(&volume);
        }
    }
}

#[cfg(test)]
mod tests;
