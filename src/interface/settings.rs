//! The settings that a host gets before the first request: traffic classes, plans, and what nodes bear.

use super::TimeDelta;

/// Which nodes discard repeats of an idempotent-by-key request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All nodes know each other's requests.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one shard.
    Shard,
}

/// What running a request again may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing beyond what running it once does.
    Idempotent,
    /// Nothing where nodes know its idempotency key: those in `scope`, for `window` after the first run.
    IdempotentByKey {
        /// Nodes that know the key.
        scope: DedupScope,
        /// For how long.
        window: TimeDelta,
    },
    /// A second effect: it is never run again once it may have run.
    NonIdempotent,
}

/// What a volume may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Units a second that must not be exceeded; 0: there is no limit.
    pub limit: f64,
    /// Units that the limit's bucket holds.
    pub burst: f64,
    /// Units by which all hosts together may exceed the limit.
    pub slack: f64,
    /// Units a second that are served before those of others.
    pub reserve: f64,
    /// Share of what is left beyond the reservations.
    pub weight: f64,
}

/// What a node bears that has just started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartSettings {
    /// Units within `window` from all hosts that never hurt a node.
    pub safe_units: f64,
    /// Fraction of its capacity that a node starts with.
    pub initial_capacity: f64,
    /// How long a node takes to warm up.
    pub duration: TimeDelta,
    /// The time over which `safe_units` are counted.
    pub window: TimeDelta,
    /// A node always bears this many times what it can do at the moment.
    pub overload_multiple: f64,
}
