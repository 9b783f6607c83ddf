//! The pause before the next call for the endpoint list after one that failed.
//!
//! A change of the list counts as notified 6 s after the list service had it and could be reached. So the backoff grows to a second
//! only: two more failed calls then still leave time for one that succeeds. Chance spreads the calls of many hosts.

use crate::interface::TimeDelta;

/// The pause after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: TimeDelta = TimeDelta::from_millis(200);
/// The pause does not grow beyond this.
const MAX_BACKOFF: TimeDelta = TimeDelta::from_millis(1000);
/// The pause is this part of itself, and as much as itself again by chance.
const MIN_JITTER: f64 = 0.5;

/// The pause after `earlier_failures` and one more; `chance` is from 0 to 1.
pub fn list_backoff(earlier_failures: u32, chance: f64) -> TimeDelta {
    let doublings = i32::try_from(earlier_failures).unwrap_or(i32::MAX);
    let backoff_secs = (INITIAL_BACKOFF.secs() * 2f64.powi(doublings)).min(MAX_BACKOFF.secs());
    TimeDelta::from_secs(backoff_secs * (MIN_JITTER + chance))
}
