//! Another process under this host's own slot: which of the two gives way, and what follows when the other does not run.

use super::{TakeOver, View, ViewEvent, ViewFault};
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_wire::peer::{Body, MemberUpdate};

/// Protocol periods without a datagram of a later generation of the own slot after which it is held not to run, where it
/// is known at this host's own address: no other process can listen there.
const SILENCE_AT_SAME_ADDRESS: f64 = 3.0;
/// The same for one that is known elsewhere.
const SILENCE_ELSEWHERE: f64 = 8.0;

/// A later generation of this host's own slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct DuplicateId {
    generation: u64,
    address: SocketAddr,
    /// When a datagram of it was received last, or it was learned of first.
    last_received: Instant,
}

impl View {
    /// A later generation of this slot is known.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// This host has taken its slot back under a new generation.
    pub fn poll_take_over(&mut self) -> Option<TakeOver> {
        self.take_over.take()
    }

    pub(super) fn set_displaced(&mut self, now: Instant, generation: u64, address: SocketAddr) {
        if !self.displaced {
            self.events.push_back(ViewEvent::Displaced { generation });
            self.changed_at = now;
        }
        self.displaced = true;
        if self.duplicate_id.is_none_or(|known| known.generation < generation) {
            self.duplicate_id = Some(DuplicateId { generation, address, last_received: now });
        }
    }

    /// A datagram under this host's own slot was received from another process.
    pub fn handle_duplicate_id(&mut self, now: Instant, sender: MemberUpdate, from: SocketAddr) {
        if sender.generation > self.me.generation {
            self.set_displaced(now, sender.generation, sender.address);
            if let Some(duplicate) = &mut self.duplicate_id {
                duplicate.last_received = now;
            }
        } else if sender.generation < self.me.generation && self.settings.extensions.duplicate_id_check {
            // An earlier generation that runs still, or again: it is told that it is not alone.
            self.send(from, Body::Gossip, None);
        }
    }

    /// A clock that went back gives a new generation a lower number than the one before it: that one does not run, and this
    /// one would be displaced for as long as it lives. So the later generation is contacted; if it stays silent, this host
    /// goes on under a generation later still.
    pub(super) fn check_duplicate_id(&mut self, now: Instant) {
        if !self.settings.extensions.duplicate_id_check || self.has(ViewFault::BelievesDuplicateId) {
            return;
        }
        let Some(duplicate) = self.duplicate_id else { return };
        let is_same_address = duplicate.address == self.me.address;
        let silence = if is_same_address { SILENCE_AT_SAME_ADDRESS } else { SILENCE_ELSEWHERE };
        if now - duplicate.last_received >= self.periods(silence) {
            self.take_over(now, duplicate);
        } else if !is_same_address {
            self.contact(duplicate.address);
        }
    }

    fn take_over(&mut self, now: Instant, duplicate: DuplicateId) {
        let is_same_address = duplicate.address == self.me.address;
        self.take_over = Some(if is_same_address { TakeOver::SameAddress } else { TakeOver::OtherAddress });
        self.duplicate_id = None;
        self.displaced = false;
        self.me.generation = duplicate.generation + 1;
        self.me.incarnation = 0;
        self.counters.taken_over += 1;
        self.changed_at = now;
        self.events.push_back(ViewEvent::TookOver { generation: self.me.generation });
        self.broadcast(self.me.slot);
        self.gossip_now();
    }
}
