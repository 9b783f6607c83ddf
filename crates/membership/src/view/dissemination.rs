//! Dissemination of member updates: piggybacked on other messages (SWIM, section 4.1), gossiped at once where they are
//! urgent, and compared by digests (anti-entropy).

use super::View;
use crate::Transmit;
use std::net::SocketAddr;
use tackmast_wire::peer::{Body, Health, MemberUpdate, MAX_UPDATES};

/// Transmissions of an update for each unit of the logarithm of the number of members (memberlist's retransmit multiplier).
const RETRANSMIT_FACTOR: f64 = 3.0;
/// Greatest number of queued updates that are piggybacked on one message.
const MAX_PIGGYBACKED: usize = 8;
/// Members that an urgent update is gossiped to at once.
const URGENT_GOSSIP_FANOUT: usize = 3;

impl View {
    /// The updates to piggyback on a message: those sent least often first. A message to a member that is suspected or held
    /// dead begins with that update, so that the member refutes it as soon as it can (Lifeguard's buddy system).
    pub fn piggyback(&mut self, to: Option<u32>) -> Vec<MemberUpdate> {
        let buddy = to.filter(|slot| self.settings.extensions.buddy_system && self.is_accused(*slot));
        let mut slots: Vec<u32> = buddy.into_iter().collect();
        let batch = self.broadcasts.next_batch(MAX_PIGGYBACKED);
        slots.extend(batch.into_iter().filter(|slot| Some(*slot) != buddy));
        slots.into_iter().filter_map(|slot| self.update_for(slot)).collect()
    }

    fn is_accused(&self, slot: u32) -> bool {
        self.members.get(slot).is_some_and(|state| state.health != Health::Alive)
    }

    /// Queues a member's update, with whatever is known when it is sent.
    pub(super) fn broadcast(&mut self, slot: u32) {
        let transmissions = (RETRANSMIT_FACTOR * self.log_size()).ceil() as u32;
        self.broadcasts.push(slot, transmissions);
    }

    /// Sends queued updates to a few random members at once.
    pub(super) fn gossip_now(&mut self) {
        let mut live = self.live().to_vec();
        for _ in 0..URGENT_GOSSIP_FANOUT.min(live.len()) {
            let index = self.random.rand_range(0..live.len() as u64) as usize;
            let slot = live.swap_remove(index);
            if let Some(to) = self.address(slot) {
                self.send(to, Body::Gossip, Some(slot));
            }
        }
    }

    /// Sends this view's digest. That of the overrides is filled in by the member.
    pub(super) fn send_digest(&mut self, to: SocketAddr, recipient: Option<u32>) {
        let body = Body::Digest { members: self.digest(), overrides: 0 };
        self.send(to, body, recipient);
    }

    pub(super) fn send(&mut self, to: SocketAddr, body: Body, recipient: Option<u32>) {
        self.transmits.push_back(Transmit { to, body, recipient });
    }

    /// All members' updates, split so that each part fits one datagram. Deaths that were declared in isolation are left
    /// out: they are this host's guess.
    pub fn all_updates(&self) -> Vec<Vec<MemberUpdate>> {
        let shared = self.members.iter().filter(|(_, state)| !state.declared_in_isolation);
        let updates: Vec<MemberUpdate> =
            shared.map(|(slot, state)| state.to_update(slot)).chain([self.me]).collect();
        updates.chunks(MAX_UPDATES).map(<[MemberUpdate]>::to_vec).collect()
    }

    pub(super) fn update_for(&self, slot: u32) -> Option<MemberUpdate> {
        if slot == self.me.slot {
            return Some(self.me);
        }
        self.members.get(slot).map(|state| state.to_update(slot))
    }

    /// Logarithm of the number of members: so many rounds of gossip reach all of them.
    pub(super) fn log_size(&self) -> f64 {
        ((self.members.len() + 2) as f64).log2()
    }
}
