//! The backoff before the next call for the endpoint list after a failed one.
//!
//! A change of the list counts as notified 6 s after the list service had it and could be reached. The backoff
//! therefore grows to one second only: after two more failed calls there is still time for a successful one. Jitter
//! spreads the calls of many hosts.

use crate::interface::TimeDelta;

/// The backoff after the first failure, which doubles with each further failure.
const INITIAL_BACKOFF: TimeDelta = TimeDelta::from_millis(200);
/// The longest backoff before jitter.
const MAX_BACKOFF: TimeDelta = TimeDelta::from_millis(1000);
/// The smallest factor that jitter applies to the backoff; the largest is greater by one.
const MIN_JITTER: f64 = 0.5;

/// Returns the backoff after a failure that follows `earlier_failures` in a row. `random` is a random number from 0 to
/// 1.
pub fn list_backoff(earlier_failures: u32, random: f64) -> TimeDelta {
    let doublings = i32::try_from(earlier_failures).unwrap_or(i32::MAX);
    let backoff_secs = (INITIAL_BACKOFF.secs() * 2f64.powi(doublings)).min(MAX_BACKOFF.secs());
    TimeDelta::from_secs(backoff_secs * (MIN_JITTER + random))
}
