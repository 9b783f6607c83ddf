//! Which client's connection gives way to a new one when all descriptors are in use. No I/O.

use tackmast::interface::Instant;

/// How far a client's connection is, for the choice which one has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    /// Has its last answer; only its end is awaited.
    Over,
    /// Has not made one good request in a while: has said nothing, or a part.
    Silent,
    /// Between requests for long enough that its client counts on its end.
    Idle,
    /// Has only just come. Its first request is on its way, and its client would take its end for a failure.
    New,
    /// Between requests for a moment.
    RecentlyUsed,
    /// In the middle of a request's bytes.
    MidRequest,
    /// Owed an answer.
    Busy,
}

/// Seconds between requests after which a connection counts as idle.
pub const IDLE_AFTER: f64 = 2.0;

/// Seconds within which the first request of a new connection is expected.
pub const NEW_CONNECTION_GRACE: f64 = 0.3;

/// The clients that may be given up for a new one, the first to go first: the lowest stage, in it the longest there. One that is
/// owed an answer never goes.
pub fn eviction_order(clients: impl Iterator<Item = (u32, EvictionClass, Instant)>) -> Vec<u32> {
    let mut may: Vec<_> =
        clients.filter(|(_, eviction_class, _)| *eviction_class < EvictionClass::Busy).collect();
    may.sort_by_key(|(id, eviction_class, since)| (*eviction_class, *since, *id));
    may.into_iter().map(|(id, _, _)| id).collect()
}

#[cfg(test)]
mod tests;
