//! The rate at which a shard has served units for this host, as an exponentially weighted mean.
//!
//! Slow start is bounded by it: the rates that all hosts observe at a shard sum to no more than the capacity of its
//! node.

use crate::interface::{Instant, TimeDelta};

/// The time constant of the decay: after it, counts have 1/e of their weight.
const MEMORY: TimeDelta = TimeDelta::from_millis(30_000);
/// The shortest observation time from which a rate is computed, so that a few answers at the start don't result in a
/// high rate.
const MIN_OBSERVED_TIME: TimeDelta = TimeDelta::from_millis(5000);

/// The units served and the time observed, which both decay exponentially.
#[derive(Default)]
pub struct ServiceRate {
    units: f64,
    secs: f64,
    updated_at: Option<Instant>,
}

/// The decay since the last update.
struct Decay {
    elapsed_secs: f64,
    /// The fraction of its weight that the earlier count still has.
    kept: f64,
}

impl ServiceRate {
    /// Returns the decay from the last update to `now`.
    fn decay(&self, now: Instant) -> Decay {
        let elapsed_secs = self.updated_at.map_or(0.0, |at| (now - at).secs());
        Decay { elapsed_secs, kept: (-elapsed_secs / MEMORY.secs()).exp() }
    }

    /// Returns whether no units were counted and no rate was restored.
    pub fn is_unknown(&self) -> bool {
        self.updated_at.is_none()
    }

    /// Counts served units.
    pub fn add(&mut self, now: Instant, units: f64) {
        let decay = self.decay(now);
        self.units = self.units * decay.kept + units;
        self.secs = self.secs * decay.kept + decay.elapsed_secs;
        self.updated_at = Some(now);
    }

    /// Adds a rate in units per second, as if it had been observed for `MIN_OBSERVED_TIME`.
    pub fn restore(&mut self, now: Instant, rate: f64) {
        let observed_secs = MIN_OBSERVED_TIME.secs();
        self.add(now, rate * observed_secs);
        self.secs += observed_secs;
    }

    /// Returns the rate in units per second.
    pub fn rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        let observed_secs = self.secs * decay.kept + decay.elapsed_secs;
        self.units * decay.kept / observed_secs.max(MIN_OBSERVED_TIME.secs())
    }
}
