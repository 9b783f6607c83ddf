//! Points in time and durations, in whole microseconds.

use std::ops::{Add, Sub};

/// Microseconds in a second.
const MICROS_PER_SEC: f64 = 1e6;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: i64 = 1000;

/// A point in time, in microseconds since an origin that the host chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Instant(i64);

/// A duration in microseconds, which may be negative. It is a type of its own, so that durations and points in time
/// can't be mixed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TimeDelta(i64);

impl Instant {
    /// Creates a point in time from seconds since the origin, rounded to microseconds.
    pub fn from_secs(secs: f64) -> Self {
        Instant((secs * MICROS_PER_SEC).round() as i64)
    }

    /// Returns the seconds since the origin.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SEC
    }
}

impl TimeDelta {
    /// A duration of zero.
    pub const ZERO: TimeDelta = TimeDelta(0);

    /// Creates a duration from whole microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        TimeDelta(micros)
    }

    /// Creates a duration from whole milliseconds.
    pub const fn from_millis(millis: i64) -> Self {
        TimeDelta(millis * MICROS_PER_MILLI)
    }

    /// Creates a duration from seconds, rounded to microseconds.
    pub fn from_secs(secs: f64) -> Self {
        TimeDelta((secs * MICROS_PER_SEC).round() as i64)
    }

    /// Returns the duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SEC
    }
}

impl Sub for Instant {
    type Output = TimeDelta;
    fn sub(self, earlier: Instant) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeDelta> for Instant {
    type Output = Instant;
    fn add(self, delta: TimeDelta) -> Instant {
        Instant(self.0.saturating_add(delta.0))
    }
}

impl Sub<TimeDelta> for Instant {
    type Output = Instant;
    fn sub(self, delta: TimeDelta) -> Instant {
        Instant(self.0.saturating_sub(delta.0))
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;
    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }
}
