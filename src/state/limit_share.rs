//! Which share of a volume's service comes through this host, from what nodes report.

use crate::interface::{Instant, ShardId, TimeDelta};
use std::collections::BTreeMap;

/// Units that a shard served, halved now and then.
#[derive(Clone, Copy, Default)]
struct Served {
    for_this_host: f64,
    for_others: f64,
}

impl Served {
    fn total(self) -> f64 {
        self.for_this_host + self.for_others
    }

    fn add(&mut self, other: Served) {
        self.for_this_host += other.for_this_host;
        self.for_others += other.for_others;
    }
}

/// A volume's service here and through other hosts, and the lowest share of it that was this host's lately.
#[derive(Default)]
pub struct LimitShare {
    is_reported: bool,
    shards: BTreeMap<ShardId, Served>,
    last_answer_at: Instant,
    period_start: Instant,
    /// Of this period and the one before.
    lowest: [f64; 2],
    latest: f64,
}

impl LimitShare {
    /// Starts with an even share.
    pub fn new(now: Instant, hosts: f64) -> Self {
        let even = 1.0 / hosts;
        LimitShare {
            last_answer_at: now,
            period_start: now,
            lowest: [even, even],
            latest: even,
            ..LimitShare::default()
        }
    }

    /// Nothing until a node has reported service through other hosts.
    pub fn share(&self) -> Option<f64> {
        self.is_reported.then(|| self.lowest[0].min(self.lowest[1]))
    }

    /// Halves what was counted at each new period; the share falls to nothing after `idle` without an answer.
    pub fn advance(&mut self, now: Instant, period: TimeDelta, idle: TimeDelta) {
        if now - self.last_answer_at > idle {
            self.record_share(0.0);
        }
        if now - self.period_start >= period {
            self.period_start = now;
            self.lowest = [self.latest, self.lowest[0]];
            for served in self.shards.values_mut() {
                served.for_this_host /= 2.0;
                served.for_others /= 2.0;
            }
        }
    }

    fn record_share(&mut self, share: f64) {
        self.latest = share;
        self.lowest[0] = self.lowest[0].min(share);
    }

    /// Counts units that a shard served for this host and for others. The share is the lowest over the
    /// shards, so that hosts that see different shards can't claim the same service twice; shards that served
    /// less than `few` units are taken together.
    pub fn record_service(&mut self, now: Instant, shard: ShardId, own: f64, others: f64, few: f64) {
        self.last_answer_at = now;
        self.shards.entry(shard).or_default().add(Served { for_this_host: own, for_others: others });
        let (mut rest, mut lowest) = (Served::default(), 1.0f64);
        for served in self.shards.values() {
            if served.total() < few {
                rest.add(*served);
            } else {
                lowest = lowest.min(served.for_this_host / served.total());
            }
        }
        if rest.total() >= few {
            lowest = lowest.min(rest.for_this_host / rest.total());
        }
        if self.is_reported || others > 0.0 {
            self.is_reported = true;
            self.record_share(lowest);
        }
    }
}
