//! What a node that has just started is given (rule 4).

use crate::interface::*;
use crate::state::*;

const CHANCE_ALLOWANCE: f64 = 0.8; // of what goes for chance where all hosts together send to a node
const IN_FLIGHT: f64 = 0.3; // of the sum that they may send: of the always-safe units, those out at once,
const DRAIN: f64 = 0.1; // those that time alone frees each window, and
const SERVICE_RATE_SHARE: f64 = 0.6; // of the multiple that a node bears
pub(super) const SERVICE_RATE_MEMORY: f64 = 30.0; // seconds
const MIN_SERVICE_TIME: f64 = 5.0; // seconds, before what was seen of a shard counts in full
const RECHECK_INTERVAL: f64 = 0.05; // seconds, at most

impl Scheduler {
    /// Scales what a node bears by what chance adds where all hosts send together.
    pub fn set_slow_start(&mut self, bears: SlowStart) {
        let safe_requests = (bears.safe_units / self.mean_units).max(1.0);
        let chance = CHANCE_ALLOWANCE * (2.0 * safe_requests.sqrt() + 2.0) / safe_requests;
        let scale = 1.0 - 1.0 / bears.overload_multiple.max(1.0) + chance;
        let (safe_units, overload_multiple) = (bears.safe_units * scale, bears.overload_multiple * scale);
        let initial_capacity = bears.initial_capacity.clamp(0.01, 1.0);
        self.slow_start = SlowStart { safe_units, overload_multiple, initial_capacity, ..bears };
    }

    /// What an earlier generation of this host saw a shard do for it, units a second.
    pub fn service_rate_restored(&mut self, now: Instant, id: ShardId, rate: f64) {
        self.now = now;
        let shard = self.shards.entry(id).or_default();
        shard.service_rate.restore(now, rate, MIN_SERVICE_TIME, SERVICE_RATE_MEMORY);
        self.pending_shards.insert(id);
    }

    /// The same of each shard in this generation, for the next one.
    pub fn service_rates(&self, now: Instant) -> Vec<(ShardId, f64)> {
        let rate = |shard: &Shard| shard.service_rate.rate(now, SERVICE_RATE_MEMORY, MIN_SERVICE_TIME);
        self.shards.iter().map(|(id, shard)| (*id, rate(shard))).collect()
    }

    /// Units that this host may have in flight at a node that has just started.
    pub(super) fn initial_safe_units(&self) -> f64 {
        IN_FLIGHT * self.slow_start.safe_units / self.hosts
    }

    /// Units not answered stay under this host's part of the always-safe figure, or one request. Time frees
    /// them at a rate that rises with the slowest warming. What hosts saw a shard do for them sums to no more
    /// than its node can do, so the same part of it at each host needs no agreement.
    pub(super) fn check_slow_start(&mut self, id: NodeId, units: f64) -> Check {
        let (config, now) = (&self.slow_start, self.now);
        let Some(node) = self.nodes.get_mut(&id) else { return Ok(()) };
        let age = node.up_since.map_or(config.duration, |up_since| now - up_since);
        if age >= config.duration {
            return Ok(());
        }
        let initial = config.initial_capacity;
        let warmth = initial + (1.0 - initial) * (age.secs() / config.duration.secs()).max(0.0);
        let safe = config.safe_units / self.hosts * warmth / initial;
        let rate = |shard: &Shard| shard.service_rate.rate(now, SERVICE_RATE_MEMORY, MIN_SERVICE_TIME);
        let seen = self.shards.get(&node.shard).map_or(0.0, rate);
        let drain = DRAIN * safe / config.window.secs().max(1e-3)
            + SERVICE_RATE_SHARE * config.overload_multiple * warmth * seen;
        match node.slow_start.wait(now, drain, IN_FLIGHT * safe, units) {
            TimeDelta::ZERO => Ok(()),
            wait => Err(Blocked::Until(now + wait.min(TimeDelta::from_secs(RECHECK_INTERVAL)))),
        }
    }
}
