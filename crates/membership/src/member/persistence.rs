//! Persists the known peers for the next generation, whenever they have changed.

use super::{Member, Output, PersistedMembers};
use crate::view::KnownPeer;
use std::collections::BTreeMap;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::Health;

/// Protocol periods between two checks of whether the known peers have changed.
const CHECK_PERIODS: f64 = 10.0;
/// Protocol periods between two such checks while more peers are live than were persisted.
const JOINING_CHECK_PERIODS: f64 = 1.0;

/// The peers that were persisted last, and when they were last compared with the known ones.
pub(super) struct Persistence {
    persisted: PersistedMembers,
    checked_at: Instant,
    protocol_period: TimeDelta,
}

impl Persistence {
    /// Creates the state of a start, from what an earlier generation persisted.
    pub(super) fn new(now: Instant, persisted: PersistedMembers, protocol_period: TimeDelta) -> Self {
        Persistence { persisted, checked_at: now, protocol_period }
    }

    /// Returns whether the known peers are to be compared with the persisted ones.
    ///
    /// If all hosts change their addresses shortly after a start, none would find a peer at the addresses that it persisted
    /// before. New peers are therefore persisted within a protocol period. Other changes can wait: with hundreds of hosts
    /// the comparison is too expensive to run at every timeout.
    fn is_due(&self, now: Instant, live_count: usize) -> bool {
        let periods =
            if live_count > self.persisted.peers.len() { JOINING_CHECK_PERIODS } else { CHECK_PERIODS };
        now >= self.checked_at + TimeDelta::from_secs(periods * self.protocol_period.secs())
    }
}

impl Member {
    /// Outputs the known peers to be persisted, if a check is due and they have changed.
    pub(super) fn persist_if_due(&mut self, now: Instant) {
        if !self.persistence.is_due(now, self.view.live_count() as usize) {
            return;
        }
        self.persistence.checked_at = now;
        let generation = self.view.me().generation;
        let members = PersistedMembers { generation, peers: self.peers_to_persist() };
        if members != self.persistence.persisted {
            self.persistence.persisted = members.clone();
            self.outputs.push_back(Output::Persist(members));
        }
    }

    /// Returns all known peers except those that left. Peers that only an earlier generation knew are kept, as they may be
    /// down: without them a host that restarts during an outage would forget the fleet.
    fn peers_to_persist(&self) -> Vec<KnownPeer> {
        let members = self.view.snapshot();
        let has_left =
            |peer: &KnownPeer| members.get(&peer.slot).is_some_and(|state| state.health == Health::Left);
        let earlier = self.persistence.persisted.peers.iter().copied().filter(|peer| !has_left(peer));
        let by_slot: BTreeMap<u32, KnownPeer> =
            earlier.chain(self.view.known_peers()).map(|peer| (peer.slot, peer)).collect();
        by_slot.into_values().collect()
    }
}
