//! Joining and rejoining: contacts hosts that are not known to run. These are seeds, peers that an earlier generation knew,
//! and members that are considered dead but may be alive behind a partition.

use super::{View, ViewFault};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_wire::peer::{Health, ProbeMessage};

/// Protocol periods between two contacts of a random member that is considered dead, and of a random seed.
const RECONNECT_PERIODS: u32 = 4;
/// Protocol periods after a datagram of a member that is considered dead during which others of those members are
/// contacted in each period.
pub(super) const REJOIN_PERIODS: f64 = 10.0;
/// Number of persisted peers that are contacted in one protocol period.
const PERSISTED_PER_PERIOD: usize = 3;
/// Total number of times that each persisted peer is contacted.
const PERSISTED_ATTEMPTS: u32 = 3;

/// A peer that an earlier generation knew.
pub(super) struct PersistedPeer {
    pub address: SocketAddr,
    /// Number of times that it was contacted.
    pub attempts: u32,
}

impl View {
    /// Contacts all seeds.
    pub(super) fn join(&mut self) {
        for seed in self.seeds.clone() {
            self.contact(seed);
        }
    }

    /// Sends a ping and a digest to an address, whose host may not run.
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
            count => Some(addresses[self.random.rand_range(0..count as u64) as usize]),
        }
    }

    /// Contacts some hosts that are not known to run. Without this the two sides of a partition would consider each other
    /// dead forever, as dead members are not probed.
    pub(super) fn reconnect(&mut self, now: Instant) {
        let is_due = self.is_reconnection_due(now);
        if !is_due && self.persisted_peers.is_empty() {
            return;
        }
        let live: BTreeSet<SocketAddr> = self.live().iter().filter_map(|slot| self.address(*slot)).collect();
        if is_due && !self.has_fault(ViewFault::NoReconnection) {
            self.contact_dead_and_seeds(&live);
        }
        self.contact_persisted_peers(&live);
    }

    fn is_reconnection_due(&self, now: Instant) -> bool {
        let rejoins = self.settings.extensions.rejoin && (now < self.rejoin_until || self.live_count() == 0);
        self.period_count.is_multiple_of(RECONNECT_PERIODS) || self.members.is_empty() || rejoins
    }

    fn contact_dead_and_seeds(&mut self, live: &BTreeSet<SocketAddr>) {
        let dead = self.members.iter().filter(|(_, state)| state.health == Health::Dead);
        let mut dead: Vec<SocketAddr> = dead.map(|(_, state)| state.address).collect();
        let is_silent = |address: &SocketAddr| *address != self.me.address && !live.contains(address);
        let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_silent).collect();
        if self.settings.extensions.rejoin {
            // One seed is contacted each time. If it were chosen among many dead members, it would be contacted too late
            // for a fleet that restarts from its seeds.
            let chosen = [self.random_address(&dead), self.random_address(&seeds)];
            chosen.into_iter().flatten().for_each(|address| self.contact(address));
        } else {
            dead.extend(seeds);
            if let Some(address) = self.random_address(&dead) {
                self.contact(address);
            }
        }
    }

    /// Contacts peers that an earlier generation knew. They count as alive only once they answer, as a store may be old.
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
