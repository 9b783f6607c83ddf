//! Dissemination of member updates: they are piggybacked on other messages (SWIM, section 4.1), gossiped immediately if
//! they are urgent, and compared by digests (anti-entropy).

use super::View;
use crate::Transmit;
use std::net::SocketAddr;
use tackmast_wire::peer::{Body, Health, MemberUpdate, MAX_UPDATES};

/// Transmissions of an update per unit of the logarithm of the number of members (memberlist's retransmit multiplier).
const RETRANSMIT_FACTOR: f64 = 3.0;
/// Maximum number of queued updates that are piggybacked on one message.
const MAX_PIGGYBACKED: usize = 8;
/// Number of members that an urgent update is gossiped to immediately.
const URGENT_GOSSIP_FANOUT: usize = 3;

impl View {
    /// Returns the updates to piggyback on a message to a member, the least transmitted ones first. If the member is not
    /// considered alive, the update on the member itself comes first, so that it can refute that update as soon as possible
    /// (Lifeguard's buddy system).
    pub fn piggyback(&mut self, to: Option<u32>) -> Vec<MemberUpdate> {
        let buddy = to.filter(|slot| self.settings.extensions.buddy_system && self.is_not_alive(*slot));
        let mut slots: Vec<u32> = buddy.into_iter().collect();
        let batch = self.broadcasts.next_batch(MAX_PIGGYBACKED);
        slots.extend(batch.into_iter().filter(|slot| Some(*slot) != buddy));
        slots.into_iter().filter_map(|slot| self.update_for(slot)).collect()
    }

    fn is_not_alive(&self, slot: u32) -> bool {
        self.members.get(slot).is_some_and(|state| state.health != Health::Alive)
    }

    /// Queues an update on a member. It carries the state that is known when it is sent.
    pub(super) fn broadcast(&mut self, slot: u32) {
        let transmissions = (RETRANSMIT_FACTOR * self.log_size()).ceil() as u32;
        self.broadcasts.push(slot, transmissions);
    }

    /// Sends queued updates to a few random members immediately.
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

    /// Sends this view's digest. The member fills in that of the overrides.
    pub(super) fn send_digest(&mut self, to: SocketAddr, recipient: Option<u32>) {
        let body = Body::Digest { members: self.digest(), overrides: 0 };
        self.send(to, body, recipient);
    }

    pub(super) fn send(&mut self, to: SocketAddr, body: Body, recipient: Option<u32>) {
        self.transmits.push_back(Transmit { to, body, recipient });
    }

    /// Returns updates on all members, this host included, in batches that each fit one datagram. Deaths that were declared
    /// in isolation are left out, as they may be wrong.
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

    /// Returns the binary logarithm of the number of members, which is the number of rounds of gossip that reach all of
    /// them.
    pub(super) fn log_size(&self) -> f64 {
        ((self.members.len() + 2) as f64).log2()
    }
}
