//! The lender's side: grants of what this host does not need, and recall of what an earlier generation lent.

use super::pool::{GrantedLease, PeerRequest, SharedPool};
use super::{LeaseFault, QuotaLeases, MIN_SHARE, TERM_MARGIN_S};
use crate::MemberId;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::LeaseMessage;

/// Part of its own share that a host never lends while it stays, so that a first request of a client finds something.
const RETAINED: f64 = 0.15;
/// Clock drifts that a lender allows for beyond the term.
const DRIFTS: f64 = 3.0;
/// Part by which a granted share is rounded down, so that the 32-bit float on the wire is not above it.
const ROUNDING: f64 = 1e-6;

/// A request of a peer.
pub(super) struct Request {
    pub from: MemberId,
    pub seq: u32,
    /// The lease that the peer acts on; those before it are no longer used.
    pub active_seq: u32,
    pub volume: u32,
    pub share: f64,
}

impl QuotaLeases {
    /// How long a lender leaves a share unused for a term.
    pub(super) fn lender_term(&self, term: TimeDelta) -> TimeDelta {
        let ignores_drift = self.has(LeaseFault::IgnoresDrift);
        let drift = if ignores_drift { 0.0 } else { DRIFTS * self.settings.drift };
        TimeDelta::from_secs(term.secs() * (1.0 + drift) + TERM_MARGIN_S)
    }

    /// Grants a peer what is spare of what it requests.
    pub(super) fn handle_request(&mut self, now: Instant, request: Request) {
        let Request { from, volume, .. } = request;
        let term = if self.leaving { self.settings.leave_term } else { self.settings.term };
        let until = now + self.lender_term(term);
        let seq = self.next_seq();
        let (me, displaced, leaving, fault) = (self.me.slot, self.displaced, self.leaving, self.fault);
        let Some(pool) = self.pools.get_mut(&volume) else { return };
        if from.slot == me || !pool.is_owner(from.slot) || now < pool.available_from || displaced {
            return;
        }
        pool.peer_requests.insert(from.slot, PeerRequest { share: request.share, received: now });
        pool.remove_replaced(now, &request, fault);
        let retained = if leaving { 0.0 } else { pool.needed(now).max(RETAINED * pool.owned) };
        let share = pool.share_for(now, &request, retained, fault);
        let has_leases = pool.granted.get(&from.slot).is_some_and(|leases| !leases.is_empty());
        if share < MIN_SHARE && !has_leases {
            return;
        }
        pool.add_granted(from.slot, GrantedLease { seq, share, until });
        let message = LeaseMessage::Grant {
            request_seq: request.seq,
            recipient_generation: from.generation,
            seq,
            volume,
            share: share as f32,
            term_ms: (term.secs() * 1e3) as u32,
        };
        self.send(from.slot, message);
    }

    /// Asks the peers that have not answered yet for what an earlier generation lent them.
    pub(super) fn recall_earlier_leases(&mut self, now: Instant, volume: u32, peers: &[u32]) {
        let Some(pool) = self.pools.get(&volume) else { return };
        if now >= pool.available_from || pool.has_everything_returned() {
            return;
        }
        let missing: Vec<u32> = peers.iter().copied().filter(|slot| !pool.returned.contains(slot)).collect();
        missing.into_iter().for_each(|to| self.send(to, LeaseMessage::Recall { volume }));
    }

    /// A peer holds no lease of an earlier generation. Once none of them does, the own share is available.
    pub(super) fn handle_returned(&mut self, now: Instant, from: u32, volume: u32) {
        let Some(pool) = self.pools.get_mut(&volume).filter(|pool| pool.is_owner(from)) else { return };
        pool.returned.insert(from);
        if pool.has_everything_returned() {
            pool.available_from = pool.available_from.min(now);
        }
    }
}

impl SharedPool {
    fn has_everything_returned(&self) -> bool {
        self.returned.len() + 1 >= self.limit.owners.len()
    }

    /// Removes a borrower's leases that have ended, or that it has replaced by the one that it acts on.
    fn remove_replaced(&mut self, now: Instant, request: &Request, fault: Option<LeaseFault>) {
        let Some(leases) = self.granted.get_mut(&request.from.slot) else { return };
        leases.retain(|lease| lease.until > now && lease.seq >= request.active_seq);
        if fault == Some(LeaseFault::FreesUnconfirmedLease) {
            leases.clear();
        }
    }

    /// The share to grant: of what this host does not retain, in proportion to what all peers request, and never more
    /// than is left beside the leases of other borrowers.
    fn share_for(&self, now: Instant, request: &Request, retained: f64, fault: Option<LeaseFault>) -> f64 {
        let mut spare = (self.owned - retained).max(0.0);
        let mut available = self.owned - self.lent_to_others(now, request.from.slot);
        if fault == Some(LeaseFault::LendsBorrowed) {
            spare += self.borrowed(now) + self.owned / 2.0;
            available += self.borrowed(now);
        }
        let requested: f64 = self.peer_requests.values().map(|request| request.share).sum();
        let fair = spare * (request.share / requested.max(1e-9)).min(1.0);
        let share = fair.min(request.share).min(available).max(0.0);
        // As the borrower will read it.
        f64::from((share * (1.0 - ROUNDING)) as f32)
    }
}
