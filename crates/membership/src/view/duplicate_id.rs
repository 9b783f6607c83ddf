//! Handles another process with this host's own slot.
//!
//! If two processes both used the slot's quota, they would exceed a volume's limit together. The earlier generation
//! therefore yields: it is displaced and uses no shared quota. If the later generation does not run, this host takes the
//! slot back.

use super::{TakeOver, View, ViewEvent, ViewFault};
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_wire::peer::{Body, MemberUpdate};

/// Protocol periods without a datagram after which a later generation at this host's own address counts as ended, as no
/// other process can listen there.
const SAME_ADDRESS_SILENCE_PERIODS: f64 = 3.0;
/// Protocol periods without a datagram after which a later generation at another address counts as not running.
const OTHER_ADDRESS_SILENCE_PERIODS: f64 = 8.0;

/// A later generation of this host's own slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct DuplicateId {
    generation: u64,
    address: SocketAddr,
    /// When a datagram of it was last received, or, if there was none, when this host learned of the generation.
    last_received: Instant,
}

impl View {
    /// Returns whether a later generation of this slot is known, so that this host uses no shared quota.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// Returns where the later generation was known from which this host has taken its slot back. Each take-over is
    /// returned once.
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

    /// Handles a datagram of another process with this host's own slot.
    pub fn handle_duplicate_id(&mut self, now: Instant, sender: MemberUpdate, from: SocketAddr) {
        if sender.generation > self.me.generation {
            self.set_displaced(now, sender.generation, sender.address);
            if let Some(duplicate) = &mut self.duplicate_id {
                duplicate.last_received = now;
            }
        } else if sender.generation < self.me.generation && self.settings.extensions.duplicate_id_check {
            // An earlier generation still runs. The answer informs it of this one, so that it stops using shared quota.
            self.send(from, Body::Gossip, None);
        }
    }

    /// Takes the slot back from a later generation that does not run.
    ///
    /// After a host's clock was set back, its next process starts with a lower generation than the previous one. Peers then
    /// prefer the state of the previous process, and this host would be displaced for as long as it runs. It therefore
    /// contacts the later generation, and if there is no answer, takes a generation that is later still.
    pub(super) fn check_duplicate_id(&mut self, now: Instant) {
        if !self.settings.extensions.duplicate_id_check || self.has_fault(ViewFault::BelievesDuplicateId) {
            return;
        }
        let Some(duplicate) = self.duplicate_id else { return };
        let is_same_address = duplicate.address == self.me.address;
        let silence =
            if is_same_address { SAME_ADDRESS_SILENCE_PERIODS } else { OTHER_ADDRESS_SILENCE_PERIODS };
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
