//! The request ids that clients may not reuse yet. This module performs no I/O.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use tackmast::interface::{Instant, TimeDelta};

/// How long the id of a request that may have reached a node is remembered after the request is finished.
const SENT_ID_RETENTION: TimeDelta = TimeDelta::from_millis(60_000);
/// How long such an id is remembered even if the table is full; new requests are rejected meanwhile.
const MIN_SENT_ID_RETENTION: TimeDelta = TimeDelta::from_millis(5000);
/// Maximum number of ids of finished requests that may have reached a node.
const MAX_SENT_IDS: usize = 65_536;

/// The hash of a request id. The hash function has a random key, so clients can't choose ids with the same hash.
type IdHash = u64;

/// The id of a request that is open.
#[derive(Debug)]
pub(crate) struct OpenId {
    hash: IdHash,
    /// Whether an attempt of the request may have reached a node.
    may_have_reached_node: bool,
}

/// The ids of open requests and, for [`SENT_ID_RETENTION`], of finished ones that may have reached a node. A request with one of these ids
/// is refused: it would run a second time.
///
/// A finished request that reached no node leaves nothing behind. Otherwise a client whose requests are rejected at full speed would
/// displace the ids that have to be remembered.
#[derive(Default)]
pub(crate) struct RequestIds {
    hasher: RandomState,
    /// The id of each open request, by the id of its connection.
    pub open: HashMap<u32, OpenId>,
    /// Ids of finished requests that may have reached a node, the oldest first.
    sent: VecDeque<(Instant, IdHash)>,
    /// All ids in `open` and `sent`.
    in_use: HashSet<IdHash>,
}

impl RequestIds {
    /// Returns whether the id belongs to an open request, or to one that has finished lately and may have reached a node.
    pub(crate) fn is_in_use(&self, id: &str) -> bool {
        self.in_use.contains(&self.hasher.hash_one(id))
    }

    /// Returns whether another request may be accepted without forgetting an id too early.
    pub(crate) fn has_capacity(&self, now: Instant) -> bool {
        let is_young = |(finished_at, _): &(Instant, IdHash)| now - *finished_at < MIN_SENT_ID_RETENTION;
        self.sent.len() + self.open.len() < MAX_SENT_IDS || !self.sent.front().is_some_and(is_young)
    }

    /// Records that a request with this id was accepted on a connection.
    pub(crate) fn insert(&mut self, connection: u32, id: &str) {
        let hash = self.hasher.hash_one(id);
        self.in_use.insert(hash);
        self.open.insert(connection, OpenId { hash, may_have_reached_node: false });
    }

    /// Records that an attempt of the open request of a connection may reach its node.
    pub(crate) fn attempt_sent(&mut self, connection: u32) {
        if let Some(open) = self.open.get_mut(&connection) {
            open.may_have_reached_node = true;
        }
    }

    /// Records that the open request of a connection is finished, and drops ids that are no longer remembered.
    pub(crate) fn finish(&mut self, now: Instant, connection: u32) {
        match self.open.remove(&connection) {
            Some(OpenId { hash, may_have_reached_node: true }) => self.sent.push_back((now, hash)),
            Some(OpenId { hash, .. }) => _ = self.in_use.remove(&hash),
            None => {}
        }
        while self.sent.len() > MAX_SENT_IDS {
            self.forget_oldest();
        }
        let is_old = |(finished_at, _): &(Instant, IdHash)| now - *finished_at > SENT_ID_RETENTION;
        while self.sent.front().is_some_and(is_old) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, hash)) = self.sent.pop_front() {
            self.in_use.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
