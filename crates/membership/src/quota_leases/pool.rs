//! The leases of one volume: granted and held, with the demand for it.

use super::SharedLimit;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tackmast::interface::{Instant, TimeDelta};

/// A host's need is its recent demand times this.
const DEMAND_HEADROOM: f64 = 1.25;
/// Time constant over which demand is averaged, in seconds.
const DEMAND_MEMORY_S: f64 = 2.0;
/// Limits below this count as this, in units a second, so that nothing is divided by 0.
const MIN_LIMIT: f64 = 1e-9;
/// Requests to one lender that may still be answered, and leases granted to one borrower that may still run.
const MAX_OPEN: usize = 16;

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
    /// What stands for a lender's earlier leases, so that none of them counts when it arrives late.
    pub fn none(now: Instant, generation: u64) -> Self {
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
    /// Units a second that clients demanded, as of `demand_at`.
    demand: f64,
    demand_at: Instant,
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
    /// From when on this host may use its own share, as no lease of an earlier generation can be in use any more.
    pub available_from: Instant,
}

impl SharedPool {
    /// A volume without leases; `owned_part` is the part of the even share that this host owns.
    pub fn new(now: Instant, limit: SharedLimit, owned_part: f64, available_from: Instant) -> Self {
        SharedPool {
            owned: owned_part / limit.owners.len() as f64,
            limit,
            demand: 0.0,
            demand_at: now,
            granted: BTreeMap::new(),
            held: BTreeMap::new(),
            sent_requests: BTreeMap::new(),
            peer_requests: BTreeMap::new(),
            returned: BTreeSet::new(),
            available_from,
        }
    }

    /// LUN of the volume.
    pub fn volume(&self) -> u32 {
        self.limit.volume
    }

    /// Whether a host shares the volume's limit.
    pub fn is_owner(&self, slot: u32) -> bool {
        self.limit.owners.contains(&slot)
    }

    /// Sets the whole limit, 0 for none.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit.limit = if limit > 0.0 { limit } else { f64::INFINITY };
    }

    /// Clients have demanded so many units.
    pub fn record_demand(&mut self, now: Instant, units: f64) {
        self.demand = self.demand * self.demand_decay(now) + units / DEMAND_MEMORY_S;
        self.demand_at = now;
    }

    fn demand_decay(&self, now: Instant) -> f64 {
        (-(now - self.demand_at).secs() / DEMAND_MEMORY_S).exp()
    }

    /// Share of the whole limit that this host needs by its recent demand.
    pub fn needed(&self, now: Instant) -> f64 {
        DEMAND_HEADROOM * self.demand * self.demand_decay(now) / self.limit.limit.max(MIN_LIMIT)
    }

    /// Share that is lent to all peers.
    pub fn lent(&self, now: Instant) -> f64 {
        self.granted.values().map(|leases| max_share(now, leases)).sum()
    }

    /// Share that is lent to all peers but one.
    pub fn lent_to_others(&self, now: Instant, slot: u32) -> f64 {
        let others = self.granted.iter().filter(|(borrower, _)| **borrower != slot);
        others.map(|(_, leases)| max_share(now, leases)).sum()
    }

    /// Share of its own that this host can't use: what is lent, and at its start all of it.
    pub fn unavailable(&self, now: Instant) -> f64 {
        if now < self.available_from {
            self.owned
        } else {
            self.lent(now)
        }
    }

    /// Share that is borrowed of all peers.
    pub fn borrowed(&self, now: Instant) -> f64 {
        self.held.values().filter(|lease| lease.until > now).map(|lease| lease.share).sum()
    }

    /// The next moment at which a lease ends, or the own share becomes available.
    pub fn next_expiration(&self, now: Instant) -> Option<Instant> {
        let ends = self.held.values().map(|lease| lease.until).chain([self.available_from]);
        ends.filter(|end| *end > now).reduce(Instant::min)
    }

    /// Forgets leases that have ended, and requests older than a term. What is held of a lender is never forgotten, nor
    /// under which of its generations: an older lease that arrives late, of a generation that has recalled its leases,
    /// must be known for that. There are no more of them than owners.
    pub fn remove_ended(&mut self, now: Instant, term: TimeDelta) {
        for leases in self.granted.values_mut() {
            leases.retain(|lease| lease.until > now);
        }
        self.granted.retain(|_, leases| !leases.is_empty());
        self.peer_requests.retain(|_, request| now - request.received < term);
    }

    /// Remembers a request; the oldest is forgotten where too many are open.
    pub fn add_sent_request(&mut self, to: u32, request: SentRequest) {
        let requests = self.sent_requests.entry(to).or_default();
        requests.push_back(request);
        if requests.len() > MAX_OPEN {
            requests.pop_front();
        }
    }

    /// When the request of that number was sent.
    pub fn request_sent_at(&self, to: u32, seq: u32) -> Option<Instant> {
        let requests = self.sent_requests.get(&to)?;
        requests.iter().find(|request| request.seq == seq).map(|request| request.sent)
    }

    /// Adds a lease to those of a borrower. A borrower that never confirms any must not make their number grow.
    pub fn add_granted(&mut self, to: u32, lease: GrantedLease) {
        let GrantedLease { seq, until, .. } = lease;
        let leases = self.granted.entry(to).or_default();
        leases.push(lease);
        if leases.len() > MAX_OPEN {
            let share = leases.iter().map(|lease| lease.share).reduce(f64::max).unwrap_or(0.0).max(0.0);
            let until = leases.iter().map(|lease| lease.until).max().unwrap_or(until);
            // Under the last one's number: a confirmation of an earlier one must not free what may still arrive.
            *leases = vec![GrantedLease { seq, share, until }];
        }
    }
}

/// The greatest share of the leases that run: of several to one borrower it may act on any, but only on one.
fn max_share(now: Instant, leases: &[GrantedLease]) -> f64 {
    let shares = leases.iter().filter(|lease| lease.until > now).map(|lease| lease.share);
    shares.reduce(f64::max).unwrap_or(0.0).max(0.0)
}
