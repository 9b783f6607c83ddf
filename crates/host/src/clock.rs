//! The host's time: monotonic, from its start. Wall time serves names, audits and what is long past;
//! nothing that must be in time hangs on it.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tackmast::interface::Instant;

/// Clocks that are wrong on purpose, for rehearsals: seconds by which the wall clock is off, and the pace of both.
static WRONG: OnceLock<(f64, f64)> = OnceLock::new();

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
    start_unix: Duration,
    pace: f64,
}

/// Microseconds of Unix time by the wall clock, which may be wrong on purpose.
fn unix_now() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    match WRONG.get() {
        Some((off, _)) => Duration::from_secs_f64((now.as_secs_f64() + off).max(0.0)),
        None => now,
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    pub fn new() -> Self {
        let pace = WRONG.get().map_or(1.0, |(_, pace)| *pace);
        Clock { start: std::time::Instant::now(), start_unix: unix_now(), pace }
    }

    /// All clocks of this process are wrong from here on: the wall clock by so many seconds, and all at this pace. For
    /// rehearsals of what a wrong clock does; before any host is started.
    pub fn rehearse(off_s: f64, pace: f64) {
        _ = WRONG.set((off_s, pace));
    }

    pub fn now(&self) -> Instant {
        Instant::from_secs(self.start.elapsed().as_secs_f64() * self.pace)
    }

    /// What the wall clock shows now, in microseconds of Unix time.
    pub fn wall_us() -> u64 {
        unix_now().as_micros() as u64
    }

    /// Microseconds of Unix time.
    pub fn unix_us(&self, at: Instant) -> u64 {
        let us = self.start_unix.as_micros() as i64 + (at.secs() * 1e6).round() as i64;
        us.max(0) as u64
    }

    /// How long from now until then; zero if it is past.
    pub fn until(&self, at: Instant) -> Duration {
        Duration::from_secs_f64((at - self.now()).secs().max(0.0) / self.pace)
    }
}
