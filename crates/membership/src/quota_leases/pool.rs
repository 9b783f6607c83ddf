//! The state of one volume's shared limit: the leases granted and held, and the demand of this host's clients.

use super::SharedLimit;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tackmast::interface::{Instant, TimeDelta};

/// A host needs this multiple of its recent demand, as demand may rise before it can request again.
const DEMAND_HEADROOM: f64 = 1.25;
/// Time constant of the exponential average of demand.
const DEMAND_TIME_CONSTANT: TimeDelta = TimeDelta::from_millis(2_000);
/// Minimum limit that demand is compared with, in units per second, which prevents a division by 0.
const MIN_COMPARED_LIMIT: f64 = 1e-9;
/// Maximum number of recorded requests to one lender, and of recorded leases granted to one borrower.
const MAX_RECORDED_PER_PEER: usize = 16;

/// The demand of this host's clients for a volume, as an exponential average.
#[derive(Clone, Debug)]
struct Demand {
    /// Average in units per second as of `updated_at`.
    rate: f64,
    updated_at: Instant,
}

impl Demand {
    /// Adds units that clients demanded.
    fn record(&mut self, now: Instant, units: f64) {
        self.rate = self.rate * self.decay(now) + units / DEMAND_TIME_CONSTANT.secs();
        self.updated_at = now;
    }

    /// Returns the factor by which the average has decayed since its last update.
    fn decay(&self, now: Instant) -> f64 {
        (-(now - self.updated_at).secs() / DEMAND_TIME_CONSTANT.secs()).exp()
    }

    /// Returns the fraction of a limit, given in units per second, that this demand needs.
    fn needed_share(&self, now: Instant, limit: f64) -> f64 {
        DEMAND_HEADROOM * self.rate * self.decay(now) / limit.max(MIN_COMPARED_LIMIT)
    }
}

/// A lease that this host has granted to a borrower.
#[derive(Clone, Debug)]
pub(super) struct GrantedLease {
    pub seq: u32,
    pub share: f64,
    pub until: Instant,
}

/// A lease that this host holds, with the lender's generation and the sequence number that the lender gave the lease.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    pub generation: u64,
    pub seq: u32,
    pub share: f64,
    pub until: Instant,
}

impl HeldLease {
    /// Returns an ended lease that replaces a lender's earlier ones, so that delayed grants of those are not accepted.
    pub(super) fn ended(now: Instant, generation: u64) -> Self {
        HeldLease { generation, seq: 0, share: 0.0, until: now }
    }
}

/// A request that this host has sent to a lender.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub seq: u32,
    pub sent: Instant,
}

/// The last request of a peer to this host.
#[derive(Clone, Debug)]
pub(super) struct PeerRequest {
    pub share: f64,
    pub received: Instant,
}

/// State of one shared volume.
#[derive(Clone, Debug)]
pub(super) struct SharedPool {
    pub limit: SharedLimit,
    /// Share of the whole limit that this host owns.
    pub owned: f64,
    demand: Demand,
    /// Leases that may still be in use, by borrower.
    pub granted: BTreeMap<u32, Vec<GrantedLease>>,
    /// Latest lease of each lender.
    pub held: BTreeMap<u32, HeldLease>,
    /// Requests that may still be answered, by lender.
    pub sent_requests: BTreeMap<u32, VecDeque<SentRequest>>,
    /// Latest request of each peer.
    pub peer_requests: BTreeMap<u32, PeerRequest>,
    /// Peers that confirmed that they hold no lease granted by an earlier generation of this host.
    pub peers_without_old_leases: BTreeSet<u32>,
    /// The time from which this host may use its own share: by then, no peer can still use a lease granted by an earlier
    /// generation of this host.
    pub available_from: Instant,
}

impl SharedPool {
    /// Creates the state of a volume without leases. `owned_fraction` is the fraction of its even share that this host
    /// owns.
    pub(super) fn new(
        now: Instant,
        limit: SharedLimit,
        owned_fraction: f64,
        available_from: Instant,
    ) -> Self {
        SharedPool {
            owned: owned_fraction / limit.owners.len() as f64,
            limit,
            demand: Demand { rate: 0.0, updated_at: now },
            granted: BTreeMap::new(),
            held: BTreeMap::new(),
            sent_requests: BTreeMap::new(),
            peer_requests: BTreeMap::new(),
            peers_without_old_leases: BTreeSet::new(),
            available_from,
        }
    }

    pub(super) fn lun(&self) -> u32 {
        self.limit.volume
    }

    /// Returns whether a host shares the volume's limit.
    pub(super) fn is_owner(&self, slot: u32) -> bool {
        self.limit.owners.contains(&slot)
    }

    /// Sets the whole limit in units per second; 0 means unlimited.
    pub(super) fn set_limit(&mut self, limit: f64) {
        self.limit.limit = if limit > 0.0 { limit } else { f64::INFINITY };
    }

    /// Records that clients demanded this many units.
    pub(super) fn record_demand(&mut self, now: Instant, units: f64) {
        self.demand.record(now, units);
    }

    /// Returns the share of the whole limit that this host needs by its recent demand.
    pub(super) fn needed(&self, now: Instant) -> f64 {
        self.demand.needed_share(now, self.limit.limit)
    }

    /// Returns the share that is lent to all peers.
    pub(super) fn lent(&self, now: Instant) -> f64 {
        self.granted.values().map(|leases| max_share(now, leases)).sum()
    }

    /// Returns the share that is lent to all peers except one.
    pub(super) fn lent_to_others(&self, now: Instant, slot: u32) -> f64 {
        let others = self.granted.iter().filter(|(borrower, _)| **borrower != slot);
        others.map(|(_, leases)| max_share(now, leases)).sum()
    }

    /// Returns the part of its own share that this host can't use: what is lent, and all of it until `available_from`.
    pub(super) fn unavailable(&self, now: Instant) -> f64 {
        if now < self.available_from {
            self.owned
        } else {
            self.lent(now)
        }
    }

    /// Returns the share that is borrowed from all peers.
    pub(super) fn borrowed(&self, now: Instant) -> f64 {
        self.held.values().filter(|lease| lease.until > now).map(|lease| lease.share).sum()
    }

    /// Returns the next time at which a held lease ends or the own share becomes available.
    pub(super) fn next_change(&self, now: Instant) -> Option<Instant> {
        let ends = self.held.values().map(|lease| lease.until).chain([self.available_from]);
        ends.filter(|end| *end > now).reduce(Instant::min)
    }

    /// Removes granted leases that have ended, and peers' requests received at least one lease term ago.
    ///
    /// The latest lease of each lender is kept after its end. Without it, a delayed grant of an earlier generation would be
    /// accepted as new, although the lender has recalled it and uses the share itself. There are no more such records than
    /// owners.
    pub(super) fn remove_ended(&mut self, now: Instant, term: TimeDelta) {
        for leases in self.granted.values_mut() {
            leases.retain(|lease| lease.until > now);
        }
        self.granted.retain(|_, leases| !leases.is_empty());
        self.peer_requests.retain(|_, request| now - request.received < term);
    }

    /// Records a request to a lender, and drops the oldest if there are too many.
    pub(super) fn add_sent_request(&mut self, to: u32, request: SentRequest) {
        let requests = self.sent_requests.entry(to).or_default();
        requests.push_back(request);
        if requests.len() > MAX_RECORDED_PER_PEER {
            requests.pop_front();
        }
    }

    /// Returns when a request to a lender was sent, or `None` if it is not recorded.
    pub(super) fn request_sent_at(&self, to: u32, seq: u32) -> Option<Instant> {
        let requests = self.sent_requests.get(&to)?;
        requests.iter().find(|request| request.seq == seq).map(|request| request.sent)
    }

    /// Adds a lease to those of a borrower.
    ///
    /// The list of a borrower that never confirms a lease would grow without bound. Beyond the maximum, the leases are
    /// merged into one with the greatest share and the latest end, which covers whichever of them the borrower uses. The
    /// merged lease has the sequence number of the last one, because the confirmation of an earlier one must not free a
    /// lease that may still arrive.
    pub(super) fn add_granted(&mut self, to: u32, lease: GrantedLease) {
        let GrantedLease { seq, until, .. } = lease;
        let leases = self.granted.entry(to).or_default();
        leases.push(lease);
        if leases.len() > MAX_RECORDED_PER_PEER {
            let share = leases.iter().map(|lease| lease.share).reduce(f64::max).unwrap_or(0.0).max(0.0);
            let until = leases.iter().map(|lease| lease.until).max().unwrap_or(until);
            *leases = vec![GrantedLease { seq, share, until }];
        }
    }
}

/// Returns the share that a borrower may use: the greatest of its current leases, as it may use any of them, but only one.
fn max_share(now: Instant, leases: &[GrantedLease]) -> f64 {
    let shares = leases.iter().filter(|lease| lease.until > now).map(|lease| lease.share);
    shares.reduce(f64::max).unwrap_or(0.0).max(0.0)
}
