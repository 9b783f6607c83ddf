//! The borrower's side: requests leases by demand, uses those that are granted, and returns them when they are recalled.

use super::pool::{HeldLease, SentRequest};
use super::{LeaseFault, QuotaLeases, MIN_SHARE};
use crate::MemberId;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::LeaseMessage;

/// Factor by which the request to each lender exceeds its even part of the shortfall, since some lenders can spare nothing.
const REQUEST_FACTOR: f64 = 2.0;

/// A grant of a lease by a peer.
pub(super) struct Grant {
    pub from: MemberId,
    pub request_seq: u32,
    pub seq: u32,
    pub volume: u32,
    pub share: f64,
    pub term: TimeDelta,
}

/// Returns how long a borrower uses a share that is lent for a term. It is shorter than the term by as much as the
/// borrower's clock may be slow, because the lender uses the share again after the term by its own clock.
fn borrower_term(term: TimeDelta, drift: f64) -> TimeDelta {
    TimeDelta::from_secs(term.secs() * (1.0 - drift))
}

/// Returns the share that a borrower needs beyond its own, or a negative value if it has more than it needs. All shares are
/// fractions of the volume's limit.
fn shortfall(needed: f64, available: f64) -> f64 {
    needed.min(1.0) - available
}

impl QuotaLeases {
    /// Requests from all peers what this host needs beyond the available part of its own share.
    pub(super) fn request_shortfall(&mut self, now: Instant, volume: u32, peers: &[u32]) {
        let Some(pool) = self.pools.get(&volume) else { return };
        let available = pool.owned - pool.unavailable(now);
        let shortfall = shortfall(pool.needed(now), available);
        if shortfall > MIN_SHARE && !peers.is_empty() && !self.displaced {
            let share = shortfall / peers.len() as f64;
            peers.iter().for_each(|to| self.request(now, *to, volume, share));
        }
    }

    fn request(&mut self, now: Instant, to: u32, volume: u32, share: f64) {
        let seq = self.next_seq();
        let Some(pool) = self.pools.get_mut(&volume) else { return };
        pool.add_sent_request(to, SentRequest { seq, sent: now });
        let held = pool.held.get(&to);
        let message = LeaseMessage::Request {
            seq,
            active_seq: held.map_or(0, |lease| lease.seq),
            lender_generation: held.map_or(0, |lease| lease.generation),
            volume,
            share: (REQUEST_FACTOR * share).clamp(0.0, 1.0) as f32,
        };
        self.send(to, message);
    }

    /// Accepts a lease, unless a later one of the same lender is held.
    ///
    /// The term counts from when the request was sent. If it counted from the receipt of the grant, a delayed grant
    /// would let this host use the share after the lender uses it again. The request was sent before the lender began
    /// to leave the share unused, so this host stops first regardless of the delay of messages.
    pub(super) fn handle_grant(&mut self, now: Instant, grant: Grant) {
        let Grant { from, seq, .. } = grant;
        let term = borrower_term(grant.term.min(self.settings.leave_term), self.drift());
        let from_receipt = self.has_fault(LeaseFault::TermFromReceipt);
        let (me, leaving) = (self.me.slot, self.leaving);
        let Some(pool) = self.pools.get_mut(&grant.volume) else { return };
        if from.slot == me || !pool.is_owner(from.slot) || leaving {
            return;
        }
        let Some(sent) = pool.request_sent_at(from.slot, grant.request_seq) else { return };
        let until = if from_receipt { now } else { sent } + term;
        // No host can lend more than it owns, and all own the same share. A forged grant must not increase the limit.
        let share = grant.share.min(pool.owned);
        let held = pool.held.get(&from.slot);
        if held.is_none_or(|held| (held.generation, held.seq) < (from.generation, seq)) {
            let lease = HeldLease { generation: from.generation, seq, share, until };
            pool.held.insert(from.slot, lease);
        }
    }

    /// Handles the offer of a lender that leaves: requests all that the lender owns, if this host has any demand.
    pub(super) fn handle_offer(&mut self, now: Instant, from: u32, volume: u32) {
        let Some(pool) = self.pools.get(&volume).filter(|pool| pool.is_owner(from)) else { return };
        let (owned, needed) = (pool.owned, pool.needed(now));
        if needed > MIN_SHARE && !self.leaving {
            self.request(now, from, volume, owned);
        }
    }

    /// Stops using what an earlier generation of the lender lent, and confirms that. The lender's generation is kept.
    /// Otherwise a grant of the earlier generation that arrives after the confirmation would be accepted, while the lender
    /// uses the share itself.
    pub(super) fn handle_recall(&mut self, now: Instant, from: MemberId, volume: u32) {
        let Some(pool) = self.pools.get_mut(&volume).filter(|pool| pool.is_owner(from.slot)) else { return };
        let generation = from.generation;
        match pool.held.get(&from.slot).map(|lease| lease.generation) {
            Some(held) if held > generation => return,
            Some(held) if held == generation => {}
            _ => _ = pool.held.insert(from.slot, HeldLease::ended(now, generation)),
        }
        self.send(from.slot, LeaseMessage::Returned { recipient_generation: generation, volume });
    }

    /// Records a later generation of a peer, and stops using leases of the peer's earlier generation.
    pub fn handle_new_generation(&mut self, now: Instant, peer: MemberId) {
        for pool in self.pools.values_mut() {
            let held = pool.held.get_mut(&peer.slot);
            if let Some(lease) = held.filter(|lease| lease.generation < peer.generation) {
                *lease = HeldLease::ended(now, peer.generation);
            }
        }
    }
}
