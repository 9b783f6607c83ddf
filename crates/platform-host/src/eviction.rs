//! Which client connection is closed for a new one when all descriptors are in use. No I/O.

use tackmast::interface::{Instant, TimeDelta};

/// How far a client's connection is, in the order in which connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionClass {
    /// Has its last answer; only its end is awaited.
    HalfClosed,
    /// Has not sent one valid request in a while: nothing, or a part of one.
    Silent,
    /// Between requests for long enough that its client expects the connection to be closed.
    Idle,
    /// Was just accepted. Its first request is on its way, and its client would take a close for a failure.
    New,
    /// Between requests, for a moment.
    RecentlyUsed,
    /// In the middle of a request's bytes.
    MidRequest,
    /// Has a request in flight, or an answer that is being written.
    Busy,
}

/// How long a connection is between requests before it counts as idle.
pub(crate) const IDLE_AFTER: TimeDelta = TimeDelta::from_millis(2000);

/// How long the first request of a new connection is expected before the connection counts as silent.
pub(crate) const NEW_CONNECTION_GRACE: TimeDelta = TimeDelta::from_millis(300);

/// A connection that may be evicted, as far as the order depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EvictionCandidate {
    /// The connection.
    pub id: u32,
    /// How far it is.
    pub class: EvictionClass,
    /// Since when it is in that class.
    pub since: Instant,
}

/// The connections that may be evicted, in order: by class, and within a class the longest there first, because its client is the least
/// likely to use it next. A busy connection is never evicted: its client would lose an answer.
pub(crate) fn eviction_order(connections: impl Iterator<Item = EvictionCandidate>) -> Vec<u32> {
    let mut candidates: Vec<_> =
        connections.filter(|candidate| candidate.class < EvictionClass::Busy).collect();
    candidates.sort_by_key(|candidate| (candidate.class, candidate.since, candidate.id));
    candidates.into_iter().map(|candidate| candidate.id).collect()
}

#[cfg(test)]
mod tests;
