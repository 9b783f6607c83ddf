//! A leaky bucket that use fills.

use crate::interface::{Instant, TimeDelta};

/// An overflow of up to this many units counts as a rounding error.
const ROUNDING_UNITS: f64 = 1e-9;
/// The lowest drain rate from which a wait is computed, in units per second; it keeps the wait finite.
const MIN_DRAIN_RATE: f64 = 1e-6;
/// Added to each wait, so that rounding of times can't leave the level just above the burst when the wait ends.
const WAIT_MARGIN: TimeDelta = TimeDelta::from_micros(100);

/// A bucket to which units are added as they are sent, and which drains at a rate. Units that do not fit must wait.
#[derive(Default)]
pub struct Bucket {
    /// The units sent and not yet drained.
    pub level: f64,
    /// The time of the last update of `level`.
    pub updated_at: Instant,
}

impl Bucket {
    /// Updates `level` to `now`, draining at `rate` units per second since the last update.
    pub fn drain(&mut self, now: Instant, rate: f64) {
        self.level = (self.level - rate * (now - self.updated_at).secs()).max(0.0);
        self.updated_at = now;
    }

    /// Returns how long it takes until `units` fit, with the level kept at or below `burst`; zero if they fit now. A
    /// request larger than `burst` fits once the bucket is empty. `rate` is the drain rate in units per second.
    pub fn time_until_fits(&mut self, now: Instant, rate: f64, burst: f64, units: f64) -> TimeDelta {
        self.drain(now, rate);
        let overflow = self.level + units.min(burst) - burst;
        if overflow <= ROUNDING_UNITS {
            return TimeDelta::ZERO;
        }
        TimeDelta::from_secs(overflow / rate.max(MIN_DRAIN_RATE) + WAIT_MARGIN.secs())
    }
}
