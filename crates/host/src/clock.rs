//! The host's time: monotonic, from its start. Wall time serves names, audits and what is long past;
//! nothing that must be in time hangs on it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tackmast::interface::Instant;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
    start_unix: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    pub fn new() -> Self {
        let start_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: std::time::Instant::now(), start_unix }
    }

    pub fn now(&self) -> Instant {
        Instant::from_secs(self.start.elapsed().as_secs_f64())
    }

    /// What the wall clock shows now, in microseconds of Unix time.
    pub fn wall_us() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
    }

    /// Microseconds of Unix time.
    pub fn unix_us(&self, at: Instant) -> u64 {
        let us = self.start_unix.as_micros() as i64 + (at.secs() * 1e6).round() as i64;
        us.max(0) as u64
    }

    /// How long from now until then; zero if it is past.
    pub fn until(&self, at: Instant) -> Duration {
        Duration::from_secs_f64((at - self.now()).secs().max(0.0))
    }
}
