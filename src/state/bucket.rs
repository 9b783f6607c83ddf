//! A leaky bucket that is filled by use.

use crate::interface::{Instant, TimeDelta};

/// Overfilling below this counts as rounding, in units.
const ROUNDING_UNITS: f64 = 1e-9;
/// The slowest drain that a wait is computed with, in units a second; it keeps a wait finite.
const MIN_DRAIN_RATE: f64 = 1e-6;
/// Added to each wait, so that rounding of times can't leave the units just over the burst when it ends.
const WAIT_MARGIN: TimeDelta = TimeDelta::from_micros(100);

/// Units are added as they are sent and drain at a rate; what does not fit has to wait.
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

    /// How long until `units` fit under `burst`, both in units; zero when they fit now. `rate` is in units a second.
    pub fn time_until_fits(&mut self, now: Instant, rate: f64, burst: f64, units: f64) -> TimeDelta {
        self.drain(now, rate);
        let overflow = self.level + units.min(burst) - burst;
        if overflow <= ROUNDING_UNITS {
            return TimeDelta::ZERO;
        }
        TimeDelta::from_secs(overflow / rate.max(MIN_DRAIN_RATE) + WAIT_MARGIN.secs())
    }
}
