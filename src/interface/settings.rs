//! The settings that a host passes in before the first request: traffic classes, plans, and slow start.

use super::TimeDelta;

/// The nodes that share idempotency keys, and so discard each other's repeats of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    Shard,
}

/// The effect of running a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same as running it once.
    Idempotent,
    /// The same as running it once, at nodes that know its idempotency key: those in `scope`, for `window` after the
    /// first run.
    IdempotentByKey {
        /// The nodes that know the key.
        scope: DedupScope,
        /// How long they know it.
        window: TimeDelta,
    },
    /// A second effect: the request must not run again once it may have run.
    NonIdempotent,
}

/// The service that a volume is entitled to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// The rate that must not be exceeded, in units per second; 0: no limit.
    pub limit: f64,
    /// The capacity of the limit's bucket, in units.
    pub burst: f64,
    /// The amount by which all hosts together may exceed the limit, in units.
    pub slack: f64,
    /// The reserved rate, in units per second, which is served before best effort.
    pub reserve: f64,
    /// The weight in sharing what the reservations leave, relative to the weights of other volumes.
    pub weight: f64,
}

/// The load that a node can take after a start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartSettings {
    /// The number of units within `window`, from all hosts together, that never overload a node.
    pub safe_units: f64,
    /// The fraction of its capacity that a node has at its start.
    pub initial_capacity: f64,
    /// How long a node takes to reach its full capacity.
    pub duration: TimeDelta,
    /// The time over which `safe_units` are counted.
    pub window: TimeDelta,
    /// The multiple of its current capacity that a node can always take.
    pub overload_multiple: f64,
}
