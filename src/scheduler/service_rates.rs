//! Service rates of shards: the units a second that a shard was seen to serve for this host. They are handed from one
//! generation of the host to the next.

use super::Scheduler;
use crate::interface::{Instant, ShardId};

impl Scheduler {
    /// Restores the service rate of a shard that an earlier generation of this host observed, in units a second.
    pub fn service_rate_restored(&mut self, now: Instant, id: ShardId, rate: f64) {
        self.now = now;
        self.shards.entry(id).or_default().service_rate.restore(now, rate);
        self.pending_shards.insert(id);
    }

    /// Returns the service rate of each shard, in units a second, for the next generation of this host.
    pub fn service_rates(&self, now: Instant) -> Vec<(ShardId, f64)> {
        self.shards.iter().map(|(id, shard)| (*id, shard.service_rate.rate(now))).collect()
    }
}
