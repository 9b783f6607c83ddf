//! Whether the host's tables have room for a command, and when a client that meets a full one should come back.

use std::collections::HashMap;
use tackmast::interface::{Instant, TimeDelta};

const RATE_WINDOW_S: f64 = 2.0; // seconds over which endings are counted
const MIN_RETRY_AFTER_S: f64 = 0.05; // seconds; a full table clears no faster in a way worth a round trip
const FREE_SHARE: f64 = 0.1; // part of the table that should be free again when a client comes back

/// What one session, and one volume, may hold: so many times what is free. A greedy one takes what nobody wants and
/// finds its bound shrink as others come, who always meet something free (dynamic thresholds, as shared buffers of
/// switches use them).
const SESSION_MULTIPLE: f64 = 4.0;
const VOLUME_MULTIPLE: f64 = 8.0;

/// Requests and bytes, of the host or a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub requests: usize,
    pub bytes: usize,
}

impl Usage {
    fn plus(self, other: Usage) -> Usage {
        Usage { requests: self.requests + other.requests, bytes: self.bytes + other.bytes }
    }
    fn less(self, other: Usage) -> Usage {
        let (requests, bytes) =
            (self.requests.saturating_sub(other.requests), self.bytes.saturating_sub(other.bytes));
        Usage { requests, bytes }
    }
    fn within(self, bound: Usage, multiple: f64) -> bool {
        self.requests as f64 <= multiple * bound.requests as f64
            && self.bytes as f64 <= multiple * bound.bytes as f64
    }
}

/// Requests and bytes in the host's tables, by session and volume, within their bounds.
#[derive(Debug)]
pub struct Admission {
    most: Usage,
    longest_wait: TimeDelta,
    held: Usage,
    sessions: HashMap<u32, Usage>,
    volumes: HashMap<usize, Usage>,
    ended: f64,
    ended_at: Instant,
}

impl Admission {
    /// Bounds for a host; `longest_wait` is the longest that a client is advised.
    pub fn new(now: Instant, requests: usize, bytes: usize, longest_wait: TimeDelta) -> Self {
        Admission {
            most: Usage { requests, bytes },
            longest_wait,
            held: Usage::default(),
            sessions: HashMap::new(),
            volumes: HashMap::new(),
            ended: 0.0,
            ended_at: now,
        }
    }

    fn decay_rate(&mut self, now: Instant) {
        let age = (now - self.ended_at).secs().max(0.0);
        self.ended *= (-age / RATE_WINDOW_S).exp();
        self.ended_at = now;
    }

    /// Takes up capacity, or returns after how long to retry.
    pub fn enter(
        &mut self,
        now: Instant,
        session: u32,
        volume: usize,
        wanted: Usage,
    ) -> Result<(), TimeDelta> {
        let with = self.held.plus(wanted);
        // What is free counts after this one, so that the last place is nobody's alone.
        let free = self.most.less(with);
        let of_session = self.sessions.get(&session).copied().unwrap_or_default().plus(wanted);
        let of_volume = self.volumes.get(&volume).copied().unwrap_or_default().plus(wanted);
        let fits = with.within(self.most, 1.0)
            && of_session.within(free, SESSION_MULTIPLE)
            && of_volume.within(free, VOLUME_MULTIPLE);
        if fits {
            self.held = with;
            self.sessions.insert(session, of_session);
            self.volumes.insert(volume, of_volume);
            return Ok(());
        }
        self.decay_rate(now);
        let rate = self.ended / RATE_WINDOW_S;
        let cleared = FREE_SHARE * self.most.requests as f64 + wanted.requests as f64;
        let wait = if rate > 0.0 { cleared / rate } else { f64::MAX };
        Err(TimeDelta::from_secs(
            wait.clamp(MIN_RETRY_AFTER_S, self.longest_wait.secs().max(MIN_RETRY_AFTER_S)),
        ))
    }

    /// Returns what was taken up, when a command has ended.
    pub fn leave(&mut self, now: Instant, session: u32, volume: usize, held: Usage) {
        self.decay_rate(now);
        self.ended += held.requests as f64;
        self.held = self.held.less(held);
        let less = |h: &mut Usage| {
            *h = h.less(held);
            *h != Usage::default()
        };
        if !self.sessions.get_mut(&session).is_some_and(less) {
            self.sessions.remove(&session);
        }
        if !self.volumes.get_mut(&volume).is_some_and(less) {
            self.volumes.remove(&volume);
        }
    }
}

#[cfg(test)]
mod tests;
