//! Joining and rejoining: contact with members that are not known to run, which are seeds, peers that an earlier
//! generation knew, and members held dead, as partitions heal.

use super::{View, ViewFault};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_wire::peer::{Health, ProbeMessage};

/// Every so many protocol periods a member that is held dead, and a seed, is contacted.
const RECONNECT_PERIODS: u32 = 4;
/// Protocol periods in which members held dead are contacted each period, after a datagram of one arrived.
pub(super) const REJOIN_PERIODS: f64 = 10.0;
/// Peers of an earlier generation that are contacted in a period.
const PERSISTED_PER_PERIOD: usize = 3;
/// How often each of them is.
const PERSISTED_ATTEMPTS: u32 = 3;

/// A peer that an earlier generation knew.
pub(super) struct PersistedPeer {
    pub address: SocketAddr,
    /// How often it was contacted.
    pub attempts: u32,
}

impl View {
    /// Contacts all seeds.
    pub(super) fn join(&mut self) {
        for i in 0..self.seeds.len() {
            self.contact(self.seeds[i]);
        }
    }

    /// Sends a ping and a digest to an address whose host may run.
    pub(super) fn contact(&mut self, address: SocketAddr) {
        if address != self.me.address {
            let seq = self.next_seq();
            self.send_probe(address, ProbeMessage::Ping { seq }, None);
            self.send_digest(address, None);
        }
    }

    fn random_address(&mut self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        match addresses.len() {
            0 => None,
            n => Some(addresses[self.random.rand_range(0..n as u64) as usize]),
        }
    }

    /// Contacts some of those that are not known to run: a member held dead may be back behind a partition that has
    /// healed, and a seed may know others.
    pub(super) fn reconnect(&mut self, now: Instant) {
        let is_due = self.is_reconnection_due(now);
        if !is_due && self.persisted_peers.is_empty() {
            return;
        }
        let live: BTreeSet<SocketAddr> = self.live().iter().filter_map(|slot| self.address(*slot)).collect();
        if is_due && !self.has(ViewFault::NoReconnection) {
            self.contact_dead_and_seeds(&live);
        }
        self.contact_persisted_peers(&live);
    }

    fn is_reconnection_due(&self, now: Instant) -> bool {
        let rejoins = self.settings.extensions.rejoin && (now < self.rejoin_until || self.live_count() == 0);
        self.periods.is_multiple_of(RECONNECT_PERIODS) || self.members.is_empty() || rejoins
    }

    fn contact_dead_and_seeds(&mut self, live: &BTreeSet<SocketAddr>) {
        let dead = self.members.iter().filter(|(_, state)| state.health == Health::Dead);
        let mut dead: Vec<SocketAddr> = dead.map(|(_, state)| state.address).collect();
        let is_silent = |address: &SocketAddr| *address != self.me.address && !live.contains(address);
        let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_silent).collect();
        if self.settings.extensions.rejoin {
            // A seed each time: among many dead its turn would come too late for a fleet that starts again from it.
            let chosen = [self.random_address(&dead), self.random_address(&seeds)];
            chosen.into_iter().flatten().for_each(|address| self.contact(address));
        } else {
            dead.extend(seeds);
            if let Some(address) = self.random_address(&dead) {
                self.contact(address);
            }
        }
    }

    /// These are contacted, and never taken for alive before they answer.
    fn contact_persisted_peers(&mut self, live: &BTreeSet<SocketAddr>) {
        for _ in 0..PERSISTED_PER_PERIOD {
            let Some(mut peer) = self.persisted_peers.pop_front() else { break };
            if live.contains(&peer.address) {
                continue;
            }
            self.contact(peer.address);
            peer.attempts += 1;
            if peer.attempts < PERSISTED_ATTEMPTS {
                self.persisted_peers.push_back(peer);
            }
        }
    }
}
