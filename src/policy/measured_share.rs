//! This host's share of a volume's service, measured from the reports of the nodes.
//!
//! Hosts that share a volume do not coordinate at run time. Each host counts what the nodes served of the volume for
//! itself and for others, and claims no more than the lowest share that it has measured recently. A share falls at
//! once and rises with a delay, so that the shares of all hosts never sum to more than the whole: the others have
//! given up a share before one host takes it.

use crate::interface::{Instant, ShardId, TimeDelta};
use std::collections::BTreeMap;

/// The minimum time for which the lowest measured share stays in force. It is longer than the other hosts need to
/// measure that their share has fallen.
const RISE_PERIOD: TimeDelta = TimeDelta::from_millis(4000);
/// The time without an answer after which the share falls to zero.
const IDLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(1500);
/// The number of requests of mean cost that a shard must have served for its share to be measured on its own.
const MIN_SHARD_REQUESTS: f64 = 4.0;

/// The units that a shard served, which are halved at the start of each period.
#[derive(Clone, Copy, Default)]
struct ServedUnits {
    for_this_host: f64,
    for_others: f64,
}

impl ServedUnits {
    fn total(self) -> f64 {
        self.for_this_host + self.for_others
    }

    fn share(self) -> f64 {
        self.for_this_host / self.total()
    }

    fn add(&mut self, other: ServedUnits) {
        self.for_this_host += other.for_this_host;
        self.for_others += other.for_others;
    }
}

/// The service of a volume through this host and through others, and this host's lowest recent share of it.
pub struct MeasuredShare {
    /// Whether a node has reported service through other hosts.
    others_were_reported: bool,
    shards: BTreeMap<ShardId, ServedUnits>,
    last_answer_at: Instant,
    period_start: Instant,
    lowest_this_period: f64,
    lowest_last_period: f64,
    latest_share: f64,
}

impl MeasuredShare {
    /// Creates the state with an even share among `host_count` hosts.
    pub fn new(now: Instant, host_count: f64) -> Self {
        let even = 1.0 / host_count;
        MeasuredShare {
            others_were_reported: false,
            shards: BTreeMap::new(),
            last_answer_at: now,
            period_start: now,
            lowest_this_period: even,
            lowest_last_period: even,
            latest_share: even,
        }
    }

    /// Returns this host's share as a fraction of the volume's service, or `None` until a node has reported service
    /// through other hosts.
    pub fn share(&mut self, now: Instant) -> Option<f64> {
        self.advance(now);
        self.others_were_reported.then(|| self.lowest_this_period.min(self.lowest_last_period))
    }

    /// Starts a new period if one is due, and lets the share fall to zero after `IDLE_TIMEOUT` without an answer.
    fn advance(&mut self, now: Instant) {
        if now - self.last_answer_at > IDLE_TIMEOUT {
            self.record_share(0.0);
        }
        if now - self.period_start >= RISE_PERIOD {
            self.period_start = now;
            self.lowest_last_period = self.lowest_this_period;
            self.lowest_this_period = self.latest_share;
            for served in self.shards.values_mut() {
                served.for_this_host /= 2.0;
                served.for_others /= 2.0;
            }
        }
    }

    fn record_share(&mut self, share: f64) {
        self.latest_share = share;
        self.lowest_this_period = self.lowest_this_period.min(share);
    }

    /// Counts the units that a shard served for this host and for others. `mean_units` is the mean cost of a request.
    pub fn record_service(&mut self, now: Instant, service: ShardService, mean_units: f64) {
        self.advance(now);
        self.last_answer_at = now;
        let served = ServedUnits { for_this_host: service.own_units, for_others: service.other_units };
        self.shards.entry(service.shard).or_default().add(served);
        if self.others_were_reported || service.other_units > 0.0 {
            self.others_were_reported = true;
            self.record_share(self.lowest_over_shards(MIN_SHARD_REQUESTS * mean_units));
        }
    }

    /// Returns the lowest share over all shards. If each host claimed its highest, hosts with different main shards
    /// would together claim more than the whole. Shards that served less than `min_units` are combined.
    fn lowest_over_shards(&self, min_units: f64) -> f64 {
        let mut lowest = 1.0f64;
        let mut small_shards = ServedUnits::default();
        for served in self.shards.values() {
            if served.total() < min_units {
                small_shards.add(*served);
            } else {
                lowest = lowest.min(served.share());
            }
        }
        if small_shards.total() >= min_units {
            lowest = lowest.min(small_shards.share());
        }
        lowest
    }
}

/// The units of a volume that a shard served since its last answer to this host.
pub struct ShardService {
    /// The shard.
    pub shard: ShardId,
    /// The units served for this host.
    pub own_units: f64,
    /// The units served for other hosts.
    pub other_units: f64,
}
