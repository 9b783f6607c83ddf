//! The host's clock: monotonic time since the host started. The wall clock is used for identifiers, audit records and long past events
//! only; no timeout depends on it.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tackmast::interface::Instant;

/// Simulated error of this process's clocks, for scenarios.
#[derive(Clone, Copy, Debug)]
struct ClockError {
    /// Seconds by which the wall clock is ahead; negative if it is behind.
    wall_offset_secs: f64,
    /// Seconds that all clocks advance in one real second.
    drift_rate: f64,
}

static CLOCK_ERROR: OnceLock<ClockError> = OnceLock::new();

/// A monotonic clock that starts at zero and remembers the wall time of its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
    start_unix: Duration,
    drift_rate: f64,
}

/// Returns the wall clock's Unix time, with the simulated error if one is set.
fn unix_now() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    match CLOCK_ERROR.get() {
        Some(error) => Duration::from_secs_f64((now.as_secs_f64() + error.wall_offset_secs).max(0.0)),
        None => now,
    }
}

impl Clock {
    /// Returns a clock that starts now.
    pub(crate) fn start() -> Self {
        let drift_rate = CLOCK_ERROR.get().map_or(1.0, |error| error.drift_rate);
        Clock { start: std::time::Instant::now(), start_unix: unix_now(), drift_rate }
    }

    /// Simulates a clock error in this process: the wall clock is ahead by `wall_offset_secs` seconds (behind if negative), and all
    /// clocks advance `drift_rate` seconds per real second. Scenarios call this once, before any host is started; later calls have no
    /// effect.
    pub fn simulate_error(wall_offset_secs: f64, drift_rate: f64) {
        _ = CLOCK_ERROR.set(ClockError { wall_offset_secs, drift_rate });
    }

    /// Returns the time since the start of the clock.
    pub(crate) fn now(&self) -> Instant {
        Instant::from_secs(self.start.elapsed().as_secs_f64() * self.drift_rate)
    }

    /// Returns the current wall time, in microseconds of Unix time.
    pub(crate) fn wall_us() -> u64 {
        unix_now().as_micros() as u64
    }

    /// Converts a time of this clock to microseconds of Unix time, based on the wall time at the start.
    pub(crate) fn unix_us(&self, at: Instant) -> u64 {
        let us = self.start_unix.as_micros() as i64 + (at.secs() * 1e6).round() as i64;
        us.max(0) as u64
    }

    /// Returns the real time from now until `at`; zero if `at` is past.
    pub(crate) fn until(&self, at: Instant) -> Duration {
        Duration::from_secs_f64((at - self.now()).secs().max(0.0) / self.drift_rate)
    }
}
