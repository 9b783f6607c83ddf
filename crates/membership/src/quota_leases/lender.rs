//! The lender's side: grants what this host does not need, and recalls what an earlier generation lent.

use super::pool::{GrantedLease, PeerRequest, SharedPool};
use super::{LeaseFault, QuotaLeases, MIN_SHARE, TERM_MARGIN};
use crate::MemberId;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::LeaseMessage;

/// Fraction of its own share that a host never lends unless it leaves, so that a client's first request finds some quota.
const RETAINED_FRACTION: f64 = 0.15;
/// Multiple of the clock drift by which a lender extends a term.
const DRIFTS_PER_TERM: f64 = 3.0;
/// Fraction by which a granted share is rounded down, so that the 32-bit float on the wire does not exceed it.
const ROUNDING_FRACTION: f64 = 1e-6;
/// Minimum sum of requested shares that a request is compared with, which prevents a division by 0.
const MIN_REQUESTED: f64 = 1e-9;

/// A peer's request for a lease.
pub(super) struct Request {
    pub from: MemberId,
    pub seq: u32,
    /// Number of the lease that the peer uses. It no longer uses earlier ones.
    pub active_seq: u32,
    pub volume: u32,
    pub share: f64,
}

/// Inputs that determine how much a lender grants, as fractions of the volume's limit.
struct GrantInputs {
    /// Share that the lender does not retain for its own clients.
    spare: f64,
    /// Share that the lender has not lent to other borrowers.
    available: f64,
    /// Share that the borrower requests.
    requested: f64,
    /// Sum of the shares that all borrowers request.
    requested_by_all: f64,
}

/// Returns how long a lender leaves a share unused that it lends for a term.
///
/// If the lender used the share again before the borrower stopped, both would exceed the volume's limit together. The
/// borrower shortens the term by `drift` on its own clock, and starts it before the lender does. The lender's term
/// therefore ends later with any two clocks whose rates differ by no more than `drift`.
pub(super) fn lender_term(term: TimeDelta, drift: f64) -> TimeDelta {
    TimeDelta::from_secs(term.secs() * (1.0 + DRIFTS_PER_TERM * drift) + TERM_MARGIN.secs())
}

/// Returns the share to grant: the borrower's part of the spare share in proportion to all requests, and no more than is
/// not lent to other borrowers, as two borrowers would otherwise use the same share at once.
fn share_to_grant(inputs: &GrantInputs) -> f64 {
    let proportion = (inputs.requested / inputs.requested_by_all.max(MIN_REQUESTED)).min(1.0);
    let fair = inputs.spare * proportion;
    let share = fair.min(inputs.requested).min(inputs.available).max(0.0);
    // The lender must count exactly the share that the borrower decodes.
    f64::from((share * (1.0 - ROUNDING_FRACTION)) as f32)
}

impl QuotaLeases {
    /// Grants a peer as much of its request as this host can spare.
    pub(super) fn handle_request(&mut self, now: Instant, request: Request) {
        let Request { from, volume, .. } = request;
        let term = if self.leaving { self.settings.leave_term } else { self.settings.term };
        let until = now + lender_term(term, self.drift());
        let seq = self.next_seq();
        let (me, displaced, leaving, fault) = (self.me.slot, self.displaced, self.leaving, self.fault);
        let Some(pool) = self.pools.get_mut(&volume) else { return };
        if from.slot == me || !pool.is_owner(from.slot) || now < pool.available_from || displaced {
            return;
        }
        pool.peer_requests.insert(from.slot, PeerRequest { share: request.share, received: now });
        pool.remove_replaced(now, &request, fault);
        let retained = if leaving { 0.0 } else { pool.needed(now).max(RETAINED_FRACTION * pool.owned) };
        let share = share_to_grant(&pool.grant_inputs(now, &request, retained, fault));
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

    /// Asks the peers that have not answered yet to return what an earlier generation lent them. Once all have
    /// answered, this host can use its share without waiting for the end of a term.
    pub(super) fn recall_earlier_leases(&mut self, now: Instant, volume: u32, peers: &[u32]) {
        let Some(pool) = self.pools.get(&volume) else { return };
        if now >= pool.available_from || pool.have_all_returned() {
            return;
        }
        let missing: Vec<u32> =
            peers.iter().copied().filter(|slot| !pool.peers_without_old_leases.contains(slot)).collect();
        missing.into_iter().for_each(|to| self.send(to, LeaseMessage::Recall { volume }));
    }

    /// Records that a peer holds no lease of an earlier generation. Once no peer does, this host's own share is available.
    pub(super) fn handle_returned(&mut self, now: Instant, from: u32, volume: u32) {
        let Some(pool) = self.pools.get_mut(&volume).filter(|pool| pool.is_owner(from)) else { return };
        pool.peers_without_old_leases.insert(from);
        if pool.have_all_returned() {
            pool.available_from = pool.available_from.min(now);
        }
    }
}

impl SharedPool {
    /// Returns whether all peers have confirmed that they hold no lease of an earlier generation.
    fn have_all_returned(&self) -> bool {
        self.peers_without_old_leases.len() + 1 >= self.limit.owners.len()
    }

    /// Removes a borrower's leases that have ended, and those that the borrower has replaced by the one that it uses. A
    /// lease is kept until the borrower confirms that it is replaced, as it may still be in use.
    fn remove_replaced(&mut self, now: Instant, request: &Request, fault: Option<LeaseFault>) {
        let Some(leases) = self.granted.get_mut(&request.from.slot) else { return };
        leases.retain(|lease| lease.until > now && lease.seq >= request.active_seq);
        if fault == Some(LeaseFault::FreesUnconfirmedLease) {
            leases.clear();
        }
    }

    /// Returns the inputs for the answer to a request. `retained` is the share that this host keeps for its own
    /// clients. What this host has borrowed is never lent again, because its lender may use it again before a second
    /// borrower learns of that.
    fn grant_inputs(
        &self,
        now: Instant,
        request: &Request,
        retained: f64,
        fault: Option<LeaseFault>,
    ) -> GrantInputs {
        let mut spare = (self.owned - retained).max(0.0);
        let mut available = self.owned - self.lent_to_others(now, request.from.slot);
        if fault == Some(LeaseFault::LendsBorrowed) {
            spare += self.borrowed(now) + self.owned / 2.0;
            available += self.borrowed(now);
        }
        let requested_by_all = self.peer_requests.values().map(|request| request.share).sum();
        GrantInputs { spare, available, requested: request.share, requested_by_all }
    }
}
