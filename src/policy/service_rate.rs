//! How many units a second a shard was seen to serve for this host, the older ones counting less.
//!
//! Slow start is bounded by it: what all hosts saw a shard serve sums to no more than its node can do.

use crate::interface::{Instant, TimeDelta};

/// After this time, 1/e of what was counted still counts.
const MEMORY: TimeDelta = TimeDelta::from_millis(30_000);
/// A rate is computed as if at least this long had been observed, so that a few answers at the start don't count as much.
const MIN_OBSERVED_TIME: TimeDelta = TimeDelta::from_millis(5000);

/// Units served over the time observed, both fading.
#[derive(Default)]
pub struct ServiceRate {
    units: f64,
    secs: f64,
    updated_at: Option<Instant>,
}

/// What has passed since the last update.
struct Decay {
    elapsed_secs: f64,
    /// The part of what was counted by then that still counts.
    kept: f64,
}

impl ServiceRate {
    fn decay(&self, now: Instant) -> Decay {
        let elapsed_secs = self.updated_at.map_or(0.0, |at| (now - at).secs());
        Decay { elapsed_secs, kept: (-elapsed_secs / MEMORY.secs()).exp() }
    }

    /// Counts units that were served.
    pub fn add(&mut self, now: Instant, units: f64) {
        let decay = self.decay(now);
        self.units = self.units * decay.kept + units;
        self.secs = self.secs * decay.kept + decay.elapsed_secs;
        self.updated_at = Some(now);
    }

    /// Takes over a rate, in units a second, as if it had been observed for `MIN_OBSERVED_TIME`.
    pub fn restore(&mut self, now: Instant, rate: f64) {
        let observed_secs = MIN_OBSERVED_TIME.secs();
        self.add(now, rate * observed_secs);
        self.secs += observed_secs;
    }

    /// In units a second.
    pub fn rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        let observed_secs = self.secs * decay.kept + decay.elapsed_secs;
        self.units * decay.kept / observed_secs.max(MIN_OBSERVED_TIME.secs())
    }
}
