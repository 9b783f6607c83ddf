//! The state of one volume's shared limit: its leases, granted and held, and the demand of this host's clients.

use super::SharedLimit;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tackmast::interface::{Instant, TimeDelta};

/// A host needs this many times its recent demand: room for demand that rises before the next round.
const DEMAND_HEADROOM: f64 = 1.25;
/// Time constant of the exponential average of demand.
const DEMAND_TIME_CONSTANT: TimeDelta = TimeDelta::from_millis(2_000);
/// Least limit in units a second that demand is compared with, so that nothing is divided by 0.
const MIN_COMPARED_LIMIT: f64 = 1e-9;
/// Greatest number of requests to one lender, and of leases granted to one borrower, that are remembered.
const MAX_OPEN: usize = 16;

/// The demand of this host's clients for a volume, as an exponential average.
#[derive(Clone, Debug)]
struct Demand {
    /// Units a second as of `updated_at`.
    rate: f64,
    updated_at: Instant,
}

impl Demand {
    /// Adds units that clients demanded.
    fn record(&mut self, now: Instant, units: f64) {
        self.rate = self.rate * self.decay(now) + units / DEMAND_TIME_CONSTANT.secs();
        self.updated_at = now;
    }

    /// The factor by which the average has decayed since its last update.
    fn decay(&self, now: Instant) -> f64 {
        (-(now - self.updated_at).secs() / DEMAND_TIME_CONSTANT.secs()).exp()
    }

    /// The share of a limit, in units a second, that this demand needs.
    fn needed_share(&self, now: Instant, limit: f64) -> f64 {
        DEMAND_HEADROOM * self.rate * self.decay(now) / limit.max(MIN_COMPARED_LIMIT)
    }
}

/// A lease that this host granted.
#[derive(Clone, Debug)]
pub(super) struct GrantedLease {
    pub seq: u32,
    pub share: f64,
    pub until: Instant,
}

/// A lease that this host holds, under the lender's generation and number.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    pub generation: u64,
    pub seq: u32,
    pub share: f64,
    pub until: Instant,
}

impl HeldLease {
    /// An ended lease in place of a lender's earlier ones, so that none of those counts when it arrives late.
    pub(super) fn none(now: Instant, generation: u64) -> Self {
        HeldLease { generation, seq: 0, share: 0.0, until: now }
    }
}

/// A request that this host sent.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub seq: u32,
    pub sent: Instant,
}

/// What a peer requested of this host last.
#[derive(Clone, Debug)]
pub(super) struct PeerRequest {
    pub share: f64,
    pub received: Instant,
}

/// State of one shared volume.
#[derive(Clone, Debug)]
pub(super) struct SharedPool {
    pub limit: SharedLimit,
    /// This host's own share of the whole limit.
    pub owned: f64,
    demand: Demand,
    /// By borrower, the leases that may still be in use.
    pub granted: BTreeMap<u32, Vec<GrantedLease>>,
    /// By lender, the latest lease.
    pub held: BTreeMap<u32, HeldLease>,
    /// By lender, the requests that may still be answered.
    pub sent_requests: BTreeMap<u32, VecDeque<SentRequest>>,
    /// By peer, its latest request.
    pub peer_requests: BTreeMap<u32, PeerRequest>,
    /// Peers that hold no lease of an earlier generation of this slot.
    pub returned: BTreeSet<u32>,
    /// From when on this host may use its own share, as no peer can use a lease of an earlier generation any more.
    pub available_from: Instant,
}

impl SharedPool {
    /// A volume without leases; `owned_fraction` is the fraction of its even share that this host owns.
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
            returned: BTreeSet::new(),
            available_from,
        }
    }

    /// LUN of the volume.
    pub(super) fn volume(&self) -> u32 {
        self.limit.volume
    }

    /// Whether a host shares the volume's limit.
    pub(super) fn is_owner(&self, slot: u32) -> bool {
        self.limit.owners.contains(&slot)
    }

    /// Sets the whole limit, 0 for none.
    pub(super) fn set_limit(&mut self, limit: f64) {
        self.limit.limit = if limit > 0.0 { limit } else { f64::INFINITY };
    }

    /// Clients have demanded so many units.
    pub(super) fn record_demand(&mut self, now: Instant, units: f64) {
        self.demand.record(now, units);
    }

    /// Share of the whole limit that this host needs by its recent demand.
    pub(super) fn needed(&self, now: Instant) -> f64 {
        self.demand.needed_share(now, self.limit.limit)
    }

    /// Share that is lent to all peers.
    pub(super) fn lent(&self, now: Instant) -> f64 {
        self.granted.values().map(|leases| max_share(now, leases)).sum()
    }

    /// Share that is lent to all peers but one.
    pub(super) fn lent_to_others(&self, now: Instant, slot: u32) -> f64 {
        let others = self.granted.iter().filter(|(borrower, _)| **borrower != slot);
        others.map(|(_, leases)| max_share(now, leases)).sum()
    }

    /// Share of its own that this host can't use: what is lent, and at its start all of it.
    pub(super) fn unavailable(&self, now: Instant) -> f64 {
        if now < self.available_from {
            self.owned
        } else {
            self.lent(now)
        }
    }

    /// Share that is borrowed of all peers.
    pub(super) fn borrowed(&self, now: Instant) -> f64 {
        self.held.values().filter(|lease| lease.until > now).map(|lease| lease.share).sum()
    }

    /// The next moment at which a lease ends, or the own share becomes available.
    pub(super) fn next_expiration(&self, now: Instant) -> Option<Instant> {
        let ends = self.held.values().map(|lease| lease.until).chain([self.available_from]);
        ends.filter(|end| *end > now).reduce(Instant::min)
    }

    /// Forgets leases that have ended, and requests older than a term.
    ///
    /// The latest lease of each lender stays, also after its end. Without it, a grant of an earlier generation that arrives
    /// late would count as new, although that lender has recalled it and uses the share itself. There are no more such
    /// records than owners.
    pub(super) fn remove_ended(&mut self, now: Instant, term: TimeDelta) {
        for leases in self.granted.values_mut() {
            leases.retain(|lease| lease.until > now);
        }
        self.granted.retain(|_, leases| !leases.is_empty());
        self.peer_requests.retain(|_, request| now - request.received < term);
    }

    /// Remembers a request; the oldest is forgotten where too many are open.
    pub(super) fn add_sent_request(&mut self, to: u32, request: SentRequest) {
        let requests = self.sent_requests.entry(to).or_default();
        requests.push_back(request);
        if requests.len() > MAX_OPEN {
            requests.pop_front();
        }
    }

    /// When the request of that number was sent.
    pub(super) fn request_sent_at(&self, to: u32, seq: u32) -> Option<Instant> {
        let requests = self.sent_requests.get(&to)?;
        requests.iter().find(|request| request.seq == seq).map(|request| request.sent)
    }

    /// Adds a lease to those of a borrower.
    ///
    /// A borrower that never confirms a lease would make this list grow without bound. Beyond the maximum the leases become
    /// one with the greatest share and the latest end, which covers whichever of them the borrower uses. It has the last
    /// one's number: a confirmation of an earlier one must not free a lease that may still arrive.
    pub(super) fn add_granted(&mut self, to: u32, lease: GrantedLease) {
        let GrantedLease { seq, until, .. } = lease;
        let leases = self.granted.entry(to).or_default();
        leases.push(lease);
        if leases.len() > MAX_OPEN {
            let share = leases.iter().map(|lease| lease.share).reduce(f64::max).unwrap_or(0.0).max(0.0);
            let until = leases.iter().map(|lease| lease.until).max().unwrap_or(until);
            *leases = vec![GrantedLease { seq, share, until }];
        }
    }
}

/// What a borrower may use: the greatest of its leases that run, as it may act on any of them, but only on one.
fn max_share(now: Instant, leases: &[GrantedLease]) -> f64 {
    let shares = leases.iter().filter(|lease| lease.until > now).map(|lease| lease.share);
    shares.reduce(f64::max).unwrap_or(0.0).max(0.0)
}
