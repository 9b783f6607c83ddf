//! What a host saw shards serve for it, handed from one of its generations to the next.

use super::Scheduler;
use crate::interface::{Instant, ShardId};

impl Scheduler {
    /// What an earlier generation of this host saw a shard serve for it, units a second.
    pub fn service_rate_restored(&mut self, now: Instant, id: ShardId, rate: f64) {
        self.now = now;
        self.shards.entry(id).or_default().service_rate.restore(now, rate);
        self.pending_shards.insert(id);
    }

    /// The same of each shard in this generation, for the next one.
    pub fn service_rates(&self, now: Instant) -> Vec<(ShardId, f64)> {
        self.shards.iter().map(|(id, shard)| (*id, shard.service_rate.rate(now))).collect()
    }
}
