//! The host's time: monotonic, from its start. Wall time serves names, audits and what is long past; no time-out depends on it.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tackmast::interface::Instant;

/// How the clocks of this process are wrong on purpose, in a scenario.
#[derive(Clone, Copy, Debug)]
struct ClockError {
    /// By how much the wall clock is ahead, in seconds; negative: behind.
    wall_offset_secs: f64,
    /// Seconds that all clocks advance in one second.
    drift_rate: f64,
}

static CLOCK_ERROR: OnceLock<ClockError> = OnceLock::new();

/// A monotonic clock that starts at zero, and knows the wall clock of its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
    start_unix: Duration,
    drift_rate: f64,
}

/// Unix time by the wall clock, which may be wrong on purpose.
fn unix_now() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    match CLOCK_ERROR.get() {
        Some(error) => Duration::from_secs_f64((now.as_secs_f64() + error.wall_offset_secs).max(0.0)),
        None => now,
    }
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        let drift_rate = CLOCK_ERROR.get().map_or(1.0, |error| error.drift_rate);
        Clock { start: std::time::Instant::now(), start_unix: unix_now(), drift_rate }
    }

    /// Makes all clocks of this process wrong from here on: the wall clock by so many seconds, and all advance so many seconds in one.
    /// For scenarios of what a wrong clock does; to be called before any host is started.
    pub fn simulate_error(wall_offset_secs: f64, drift_rate: f64) {
        _ = CLOCK_ERROR.set(ClockError { wall_offset_secs, drift_rate });
    }

    /// The time since the start.
    pub(crate) fn now(&self) -> Instant {
        Instant::from_secs(self.start.elapsed().as_secs_f64() * self.drift_rate)
    }

    /// What the wall clock shows now, in microseconds of Unix time.
    pub(crate) fn wall_us() -> u64 {
        unix_now().as_micros() as u64
    }

    /// Microseconds of Unix time at that moment, by the wall clock of the start.
    pub(crate) fn unix_us(&self, at: Instant) -> u64 {
        let us = self.start_unix.as_micros() as i64 + (at.secs() * 1e6).round() as i64;
        us.max(0) as u64
    }

    /// How long from now until then; zero if it is past.
    pub(crate) fn until(&self, at: Instant) -> Duration {
        Duration::from_secs_f64((at - self.now()).secs().max(0.0) / self.drift_rate)
    }
}
