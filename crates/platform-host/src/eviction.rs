//! The choice of the client connection to close for a new one when all descriptors are in use. This module performs no I/O.

use tackmast::interface::{Instant, TimeDelta};

/// The progress of a client connection, in the order of eviction: the first class is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionClass {
    /// The last answer is written; the host only waits for the client to close.
    HalfClosed,
    /// The client has not sent a complete valid request since it connected, for longer than [`NEW_CONNECTION_GRACE`].
    Silent,
    /// Between requests for at least [`IDLE_AFTER`], after which clients expect the connection to be closed.
    Idle,
    /// Just accepted. The first request is on its way, and the client would treat a close as a failure.
    New,
    /// Between requests for less than [`IDLE_AFTER`].
    RecentlyUsed,
    /// A part of a request is received.
    MidRequest,
    /// Between requests or within one, of a client whose requests have been accepted repeatedly. Such connections are evicted only while
    /// they hold more than [`MAX_ESTABLISHED_SHARE`] of the capacity.
    Established,
    /// A request is in flight, or an answer is being written.
    Busy,
}

/// Time between requests after which a connection counts as idle.
pub(crate) const IDLE_AFTER: TimeDelta = TimeDelta::from_millis(2000);

/// Time after accept within which the first request is expected; afterwards the connection counts as silent.
pub(crate) const NEW_CONNECTION_GRACE: TimeDelta = TimeDelta::from_millis(300);

/// Number of accepted requests from which on a connection counts as established.
pub(crate) const ESTABLISHED_AFTER_REQUESTS: u32 = 2;

/// Share of the capacity up to which established connections are not evicted. Without a bound, clients that hold all connections and use
/// them would keep out all others.
const MAX_ESTABLISHED_SHARE: f64 = 0.5;

/// The properties of a client connection that determine the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EvictionCandidate {
    /// The id of the connection.
    pub id: u32,
    /// The class of the connection.
    pub class: EvictionClass,
    /// When the connection entered its current phase.
    pub since: Instant,
}

/// Returns the ids of the connections that may be evicted, in order: by class, and within a class the oldest first, because its client
/// is the least likely to use it next. A busy connection is never evicted: its client would lose an answer.
///
/// Hostile clients that connect anew at full speed have bytes in their sockets, or a request open, whenever one connection has to be
/// closed, so that the established connections of usual clients would be closed one after the other. These are therefore kept while they
/// are at most a share of `capacity`, the number of connections that the host may hold.
pub(crate) fn eviction_order(
    connections: impl Iterator<Item = EvictionCandidate>,
    capacity: usize,
) -> Vec<u32> {
    let mut candidates: Vec<_> =
        connections.filter(|candidate| candidate.class < EvictionClass::Busy).collect();
    let is_established = |candidate: &EvictionCandidate| candidate.class == EvictionClass::Established;
    let established = candidates.iter().filter(|candidate| is_established(candidate)).count();
    if established as f64 <= capacity as f64 * MAX_ESTABLISHED_SHARE {
        candidates.retain(|candidate| !is_established(candidate));
    }
    candidates.sort_by_key(|candidate| (candidate.class, candidate.since, candidate.id));
    candidates.into_iter().map(|candidate| candidate.id).collect()
}

#[cfg(test)]
mod tests;
