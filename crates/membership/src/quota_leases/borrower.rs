//! The borrower's side: requests by demand, leases that are granted, and their return to a lender that recalls them.

use super::pool::{HeldLease, SentRequest};
use super::{LeaseFault, QuotaLeases, MIN_SHARE};
use crate::MemberId;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::LeaseMessage;

/// Each lender is asked for this many times its even part of what is missing, since some lenders have nothing to spare.
const REQUEST_FACTOR: f64 = 2.0;

/// A lease that a peer grants.
pub(super) struct Grant {
    pub from: MemberId,
    pub request_seq: u32,
    pub seq: u32,
    pub volume: u32,
    pub share: f64,
    pub term: TimeDelta,
}

/// How long a borrower uses a share that is lent for a term: shorter by what its clock may be slow, as the lender uses the
/// share again after the term by its own clock.
fn borrower_term(term: TimeDelta, drift: f64) -> TimeDelta {
    TimeDelta::from_secs(term.secs() * (1.0 - drift))
}

/// The share that a borrower needs beyond its own; `needed` and `available` are shares of the volume's limit.
fn shortfall(needed: f64, available: f64) -> f64 {
    needed.min(1.0) - available
}

impl QuotaLeases {
    /// Requests of all peers what this host needs beyond what it has of its own.
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

    /// Takes a lease, unless a later one of the same lender is held.
    ///
    /// The term counts from when the request was sent. If it counted from the receipt of the grant, a grant that was long
    /// on its way would let this host use the share after the lender uses it again. The request was sent before the lender
    /// began to leave the share unused, so that this host stops first however long the messages took.
    pub(super) fn handle_grant(&mut self, now: Instant, grant: Grant) {
        let Grant { from, seq, .. } = grant;
        let term = borrower_term(grant.term.min(self.settings.leave_term), self.drift());
        let from_receipt = self.has(LeaseFault::TermFromReceipt);
        let (me, leaving) = (self.me.slot, self.leaving);
        let Some(pool) = self.pools.get_mut(&grant.volume) else { return };
        if from.slot == me || !pool.is_owner(from.slot) || leaving {
            return;
        }
        let Some(sent) = pool.request_sent_at(from.slot, grant.request_seq) else { return };
        let until = if from_receipt { now } else { sent } + term;
        // No host can lend more than it owns, and all own the same share. A false grant must not add to the limit.
        let share = grant.share.min(pool.owned);
        let held = pool.held.get(&from.slot);
        if held.is_none_or(|held| (held.generation, held.seq) < (from.generation, seq)) {
            let lease = HeldLease { generation: from.generation, seq, share, until };
            pool.held.insert(from.slot, lease);
        }
    }

    /// A lender leaves, and lends all that it owns.
    pub(super) fn handle_offer(&mut self, now: Instant, from: u32, volume: u32) {
        let Some(pool) = self.pools.get(&volume).filter(|pool| pool.is_owner(from)) else { return };
        let (owned, needed) = (pool.owned, pool.needed(now));
        if needed > MIN_SHARE && !self.leaving {
            self.request(now, from, volume, owned);
        }
    }

    /// Stops using what an earlier generation of the lender lent, and confirms that. The lender's generation stays
    /// recorded: else a grant of the earlier generation that arrives after the confirmation would put its lease in force
    /// again, while the lender uses the share.
    pub(super) fn handle_recall(&mut self, now: Instant, from: MemberId, volume: u32) {
        let Some(pool) = self.pools.get_mut(&volume).filter(|pool| pool.is_owner(from.slot)) else { return };
        let generation = from.generation;
        match pool.held.get(&from.slot).map(|lease| lease.generation) {
            Some(held) if held > generation => return,
            Some(held) if held == generation => {}
            _ => _ = pool.held.insert(from.slot, HeldLease::none(now, generation)),
        }
        self.send(from.slot, LeaseMessage::Returned { recipient_generation: generation, volume });
    }

    /// A later generation of a peer is known: this host stops using leases of the peer's earlier generation.
    pub fn handle_new_generation(&mut self, now: Instant, peer: MemberId) {
        for pool in self.pools.values_mut() {
            let held = pool.held.get_mut(&peer.slot);
            if let Some(lease) = held.filter(|lease| lease.generation < peer.generation) {
                *lease = HeldLease::none(now, peer.generation);
            }
        }
    }
}
