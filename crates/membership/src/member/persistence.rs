//! What is persisted for the next generation: the peers that are known, whenever they have changed.

use super::{Member, Output, PersistedMembers};
use crate::view::KnownPeer;
use std::collections::BTreeMap;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::Health;

/// Protocol periods from one look at the known peers to the next.
const INTERVAL_PERIODS: f64 = 10.0;
/// The same while more peers are live than are persisted.
const INTERVAL_PERIODS_WHILE_JOINING: f64 = 1.0;

/// What was persisted last, and when that was last compared with what is known.
pub(super) struct Persistence {
    persisted: PersistedMembers,
    checked_at: Instant,
    protocol_period: TimeDelta,
}

impl Persistence {
    /// What an earlier generation persisted.
    pub fn new(now: Instant, persisted: PersistedMembers, protocol_period: TimeDelta) -> Self {
        Persistence { persisted, checked_at: now, protocol_period }
    }

    /// Against hosts that all move within a moment of their start and know nobody any more, who joins is persisted within
    /// a period. All else is looked at now and then: with hundreds of hosts it is no work for every timeout.
    fn is_due(&self, now: Instant, live_count: usize) -> bool {
        let periods = if live_count > self.persisted.peers.len() {
            INTERVAL_PERIODS_WHILE_JOINING
        } else {
            INTERVAL_PERIODS
        };
        now >= self.checked_at + TimeDelta::from_secs(periods * self.protocol_period.secs())
    }
}

impl Member {
    /// Asks for the known peers to be persisted, if it is time and they have changed.
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

    /// All known peers but those that left. Whoever an earlier generation knew and nobody has gossiped of yet stays persisted.
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
