//! A token bucket that is filled by use.

use crate::interface::{Instant, TimeDelta};

/// Overfilling below this counts as rounding, in units.
const ROUNDING: f64 = 1e-9;

/// A leaky bucket: units are added as they are sent and drain at a rate; what does not fit has to wait.
#[derive(Default)]
pub struct Bucket {
    /// Units sent and not yet drained.
    pub level: f64,
    /// When `level` was last brought up to date.
    pub updated_at: Instant,
}

impl Bucket {
    /// Drains what has drained by now, at `rate` units a second.
    pub fn drain(&mut self, now: Instant, rate: f64) {
        self.level = (self.level - rate * (now - self.updated_at).secs()).max(0.0);
        self.updated_at = now;
    }

    /// How long until `units` fit under `burst`; zero when they fit now.
    pub fn wait(&mut self, now: Instant, rate: f64, burst: f64, units: f64) -> TimeDelta {
        self.drain(now, rate);
        let over = self.level + units.min(burst) - burst;
        if over <= ROUNDING {
            TimeDelta::ZERO
        } else {
            TimeDelta::from_secs(over / rate.max(1e-6) + 1e-4)
        }
    }
}
