//! What a shard was seen to do for this host.

use crate::interface::Instant;

/// Units a second, the older counting less.
#[derive(Default)]
pub struct ServiceRate {
    units: f64,
    secs: f64,
    updated_at: Option<Instant>,
}

impl ServiceRate {
    /// Seconds since the last update, and the part of what was counted by then that still counts.
    fn decay(&self, now: Instant, memory: f64) -> (f64, f64) {
        let elapsed = self.updated_at.map_or(0.0, |at| (now - at).secs());
        (elapsed, (-elapsed / memory).exp())
    }

    /// Counts units; after `memory` seconds a third of them is left.
    pub fn add(&mut self, now: Instant, units: f64, memory: f64) {
        let (elapsed, kept) = self.decay(now, memory);
        self.units = self.units * kept + units;
        self.secs = self.secs * kept + elapsed;
        self.updated_at = Some(now);
    }

    /// As if this rate had been seen for so many seconds.
    pub fn restore(&mut self, now: Instant, rate: f64, secs: f64, memory: f64) {
        self.add(now, rate * secs, memory);
        self.secs += secs;
    }

    /// Units a second, as if at least `min_secs` had been seen.
    pub fn rate(&self, now: Instant, memory: f64, min_secs: f64) -> f64 {
        let (elapsed, kept) = self.decay(now, memory);
        self.units * kept / (self.secs * kept + elapsed).max(min_secs)
    }
}
