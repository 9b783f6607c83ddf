//! What the host tells before the first request.

use crate::histogram::Histogram;
use crate::interface::*;
use crate::state::*;

pub(super) const LATENCY_LOWEST_BIN: f64 = 0.002; // seconds
pub(super) const LATENCY_WINDOW: f64 = 64.0; // answers after which counts are halved
const DEADLINE_MARGIN: f64 = 0.001; // seconds, beside two steps of the clock

impl Scheduler {
    /// `hosts` is how many hosts share the pool; `clock_step` how coarse its clock is; `mean_units` the mean
    /// cost of a request.
    pub fn new(now: Instant, seed: u64, hosts: u32, clock_step: TimeDelta, mean_units: f64) -> Self {
        let hosts = f64::from(hosts.max(1));
        Scheduler {
            now,
            random: Random::new(seed),
            hosts,
            alive_hosts: hosts,
            deadline_margin: clock_step + clock_step + TimeDelta::from_secs(DEADLINE_MARGIN),
            mean_units: mean_units.max(1e-6),
            max_attempts: u32::MAX,
            uncached_fraction: 1.0,
            ..Scheduler::default()
        }
    }

    /// Traffic classes are numbered in the order given.
    pub fn add_traffic_class(&mut self, latency_objective: TimeDelta, effect: Effect, in_order: bool) {
        let priority = Priority::HIGHEST;
        self.classes.push(TrafficClass { latency_objective, priority, effect, in_order });
        self.tightest_objective = rank_by_latency_objective(&mut self.classes);
        self.pool_latency.push(Histogram::new(LATENCY_LOWEST_BIN, LATENCY_WINDOW));
    }
}
