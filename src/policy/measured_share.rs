//! Which share of a volume's service comes through this host, from what nodes report.
//!
//! Hosts that share a volume can't agree at run time. Each counts what nodes served of the volume for it and for others, and claims
//! no more than the lowest share that it saw lately. A share falls at once and rises late, so that the shares of all hosts never sum
//! to more than the whole: what one gains, the others have given up before.

use crate::interface::{Instant, ShardId, TimeDelta};
use std::collections::BTreeMap;

/// For how long the lowest share seen holds at least. It is longer than other hosts need to have seen their share fall.
const RISE_PERIOD: TimeDelta = TimeDelta::from_millis(4000);
/// Without an answer for this long, the share falls to nothing.
const IDLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(1500);
/// Requests of mean cost that a shard must have served before its share is looked at alone.
const MIN_SHARD_REQUESTS: f64 = 4.0;

/// Units that a shard served, halved at each new period.
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

/// A volume's service here and through other hosts, and the lowest share of it that was this host's lately.
pub struct MeasuredShare {
    /// Whether a node has reported service through other hosts.
    is_reported: bool,
    shards: BTreeMap<ShardId, ServedUnits>,
    last_answer_at: Instant,
    period_start: Instant,
    lowest_this_period: f64,
    lowest_last_period: f64,
    latest: f64,
}

impl MeasuredShare {
    /// Starts with an even share among `host_count` hosts.
    pub fn new(now: Instant, host_count: f64) -> Self {
        let even = 1.0 / host_count;
        MeasuredShare {
            is_reported: false,
            shards: BTreeMap::new(),
            last_answer_at: now,
            period_start: now,
            lowest_this_period: even,
            lowest_last_period: even,
            latest: even,
        }
    }

    /// A fraction of the volume's service; none until a node has reported service through other hosts.
    pub fn share(&mut self, now: Instant) -> Option<f64> {
        self.advance(now);
        self.is_reported.then(|| self.lowest_this_period.min(self.lowest_last_period))
    }

    /// Begins a new period where one is due, and lets the share fall where no answer came for long.
    fn advance(&mut self, now: Instant) {
        if now - self.last_answer_at > IDLE_TIMEOUT {
            self.record_share(0.0);
        }
        if now - self.period_start >= RISE_PERIOD {
            self.period_start = now;
            self.lowest_last_period = self.lowest_this_period;
            self.lowest_this_period = self.latest;
            for served in self.shards.values_mut() {
                served.for_this_host /= 2.0;
                served.for_others /= 2.0;
            }
        }
    }

    fn record_share(&mut self, share: f64) {
        self.latest = share;
        self.lowest_this_period = self.lowest_this_period.min(share);
    }

    /// Counts the units that a shard served for this host and for others. `mean_units` is the mean cost of a request.
    pub fn record_service(&mut self, now: Instant, service: ShardService, mean_units: f64) {
        self.advance(now);
        self.last_answer_at = now;
        let served = ServedUnits { for_this_host: service.own_units, for_others: service.other_units };
        self.shards.entry(service.shard).or_default().add(served);
        if self.is_reported || service.other_units > 0.0 {
            self.is_reported = true;
            self.record_share(self.lowest_over_shards(MIN_SHARD_REQUESTS * mean_units));
        }
    }

    /// The lowest share over the shards, so that hosts that see different shards can't claim the same service twice. Shards that
    /// served less than `min_units` are taken together.
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

/// What a shard served of a volume since its last answer to this host.
pub struct ShardService {
    /// Which shard.
    pub shard: ShardId,
    /// Units for this host.
    pub own_units: f64,
    /// Units for other hosts.
    pub other_units: f64,
}
