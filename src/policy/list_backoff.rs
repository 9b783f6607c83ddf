//! The backoff before the next call for the endpoint list after a failed one.
//!
//! Where the list is asked for, a change counts as notified 6 s after the list service had it and could be reached. The
//! backoff therefore grows to one second only: after two more failed calls there is still time for a successful one.
//! Jitter spreads the calls of many hosts.
//!
//! Where lists are pushed, a host counts as notified as soon as the list service is back, and must stop sending to a node
//! that drains within the drain grace. The backoff is therefore a fraction of the grace. It neither grows nor varies
//! much, since only its maximum determines how late a host learns of the return, and each call has a cost.

use crate::interface::TimeDelta;

/// The backoff after the first failure, which doubles with each further failure.
const INITIAL_BACKOFF: TimeDelta = TimeDelta::from_millis(200);
/// The longest backoff before jitter.
const MAX_BACKOFF: TimeDelta = TimeDelta::from_millis(1000);
/// The smallest factor that jitter applies to the backoff; the largest is greater by one.
const MIN_JITTER: f64 = 0.5;

/// The longest backoff where lists are pushed, as a fraction of the drain grace. The rest is for the call, and for a host
/// that is paused meanwhile.
const GRACE_FRACTION: f64 = 0.5;
/// The lower bound of the longest backoff where lists are pushed. It bounds the rate of calls whatever the grace is.
const MIN_LONGEST_BACKOFF: TimeDelta = TimeDelta::from_millis(100);
/// The smallest factor that jitter applies to the backoff where lists are pushed; the largest is 1.
const MIN_PUSHED_JITTER: f64 = 0.9;

/// How the host learns of changes of the endpoint list, which determines its backoff.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListBackoff {
    /// The host asks for changes.
    #[default]
    Asked,
    /// The list service pushes changes to the host.
    Pushed {
        /// The longest backoff.
        longest: TimeDelta,
    },
}

impl ListBackoff {
    /// Returns the backoff where lists are pushed and a node may be sent requests for `drain_grace` after the host has
    /// learned that it drains.
    pub fn pushed(drain_grace: TimeDelta) -> Self {
        let longest = TimeDelta::from_secs(drain_grace.secs() * GRACE_FRACTION);
        ListBackoff::Pushed { longest: longest.clamp(MIN_LONGEST_BACKOFF, MAX_BACKOFF) }
    }

    /// Returns the backoff after a failure that follows `earlier_failures` in a row. `random` is a random number from 0
    /// to 1.
    pub fn after(self, earlier_failures: u32, random: f64) -> TimeDelta {
        match self {
            ListBackoff::Asked => asked_backoff(earlier_failures, random),
            ListBackoff::Pushed { longest } => pushed_backoff(longest, earlier_failures, random),
        }
    }
}

fn asked_backoff(earlier_failures: u32, random: f64) -> TimeDelta {
    let doublings = i32::try_from(earlier_failures).unwrap_or(i32::MAX);
    let backoff_secs = (INITIAL_BACKOFF.secs() * 2f64.powi(doublings)).min(MAX_BACKOFF.secs());
    TimeDelta::from_secs(backoff_secs * (MIN_JITTER + random))
}

/// The first failure comes at the same time at all hosts, when the list service goes down. A random first backoff spreads
/// their further calls evenly.
fn pushed_backoff(longest: TimeDelta, earlier_failures: u32, random: f64) -> TimeDelta {
    let factor = match earlier_failures {
        0 => random,
        _ => MIN_PUSHED_JITTER + (1.0 - MIN_PUSHED_JITTER) * random,
    };
    TimeDelta::from_secs(longest.secs() * factor)
}
