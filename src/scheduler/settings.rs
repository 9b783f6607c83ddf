//! The settings of a host, which it is given before the first request.

use super::Scheduler;
use crate::interface::{Effect, Instant, Plan, PlanId, SlowStartSettings, TimeDelta, TrafficClassId};
use crate::policy::latency::new_latency_histogram;
use crate::policy::loss_detection::LossDetector;
use crate::policy::priority::Priority;
use crate::policy::request_fate::DEADLINE_MARGIN;
use crate::policy::retry_budget::{RetryBudget, RetryBudgetSettings};
use crate::policy::slow_start::SlowStartLimits;
use crate::policy::traffic_class::{rank_by_latency_objective, TrafficClass};
use crate::state::{Random, Timer, Timers};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The mean cost of a request is taken to be at least this many units.
const MIN_MEAN_UNITS: f64 = 1e-6;
/// A plan's weight is taken to be at least this.
const MIN_PLAN_WEIGHT: f64 = 1e-6;

/// The settings of a host.
pub struct Settings {
    /// Hosts that share the pool.
    pub host_count: f64,
    /// Final answers are given this long before the deadline.
    pub deadline_margin: TimeDelta,
    /// The mean cost of a request, in units.
    pub mean_units: f64,
    /// By number.
    pub plans: Vec<Plan>,
    /// By number.
    pub classes: Vec<TrafficClass>,
    /// Of all classes.
    pub tightest_objective: TimeDelta,
    /// Attempts that a request may have.
    pub max_attempts: u32,
    /// The longest that a client can be asked to stay away; zero: it can't be asked.
    pub max_retry_after: TimeDelta,
    /// How long a key rests after an attempt that may still be running.
    pub key_settle_time: TimeDelta,
    /// What a node is given that has just started.
    pub slow_start: SlowStartLimits,
    /// The fraction that counts of the work of a request whose data a node may have cached.
    pub uncached_fraction: f64,
}

impl Scheduler {
    /// `hosts` is how many hosts share the pool; `clock_step` how coarse its clock is; `mean_units` the mean cost of a request,
    /// in units.
    pub fn new(now: Instant, seed: u64, hosts: u32, clock_step: TimeDelta, mean_units: f64) -> Self {
        let host_count = f64::from(hosts.max(1));
        let settings = Settings {
            host_count,
            deadline_margin: clock_step + clock_step + DEADLINE_MARGIN,
            mean_units: mean_units.max(MIN_MEAN_UNITS),
            plans: Vec::new(),
            classes: Vec::new(),
            tightest_objective: TimeDelta::ZERO,
            max_attempts: u32::MAX,
            max_retry_after: TimeDelta::ZERO,
            key_settle_time: TimeDelta::ZERO,
            slow_start: SlowStartLimits::default(),
            uncached_fraction: 1.0,
        };
        Scheduler {
            now,
            random: Random::new(seed),
            settings,
            alive_hosts: host_count,
            retry_budget: RetryBudget::default(),
            loss_detector: LossDetector::default(),
            pool_latency: Vec::new(),
            list_requested: false,
            list_failures: 0,
            nodes: BTreeMap::new(),
            shards: BTreeMap::new(),
            volumes: HashMap::new(),
            requests: HashMap::new(),
            key_queues: HashMap::new(),
            rejected_requests: Default::default(),
            unplaced_requests: Vec::new(),
            pending_shards: BTreeSet::new(),
            timers: Timers::default(),
            decisions: VecDeque::new(),
        }
    }

    /// Traffic classes are numbered in the order given.
    pub fn add_traffic_class(&mut self, latency_objective: TimeDelta, effect: Effect, in_order: bool) {
        let priority = Priority::HIGHEST;
        self.settings.classes.push(TrafficClass { latency_objective, priority, effect, in_order });
        self.settings.tightest_objective = rank_by_latency_objective(&mut self.settings.classes);
        self.pool_latency.push(new_latency_histogram());
    }

    /// Plans are numbered in the order given.
    pub fn add_plan(&mut self, plan: Plan) {
        self.settings.plans.push(Plan { weight: plan.weight.max(MIN_PLAN_WEIGHT), ..plan });
    }

    /// `max_retry_after` is the longest that a client can be asked to stay away; zero: it can't be asked.
    /// `settle` is how long a key rests after an attempt that may still be running.
    pub fn set_attempt_limits(&mut self, max_attempts: u32, max_retry_after: TimeDelta, settle: TimeDelta) {
        self.settings.max_attempts = max_attempts;
        self.settings.max_retry_after = max_retry_after;
        self.settings.key_settle_time = settle;
    }

    /// No request has more attempts than this, whatever `set_attempt_limits` allows; to be called after it.
    pub fn bound_attempts(&mut self, max_attempts: u32) {
        self.settings.max_attempts = self.settings.max_attempts.min(max_attempts);
    }

    /// Retries over any `window`: `free` ones, and `share` of the requests received.
    pub fn set_retry_budget(&mut self, free: f64, share: f64, window: TimeDelta) {
        let settings = RetryBudgetSettings { free_retries: free, retries_per_request: share, window };
        self.retry_budget = RetryBudget::new(settings);
    }

    /// What a node bears that has just started.
    pub fn set_slow_start(&mut self, settings: SlowStartSettings) {
        self.settings.slow_start = SlowStartLimits::new(settings, self.settings.mean_units);
    }

    /// Nodes may save up to this fraction of the work for data that they have cached; 0 by default.
    pub fn set_cache_savings(&mut self, fraction: f64) {
        self.settings.uncached_fraction = 1.0 - fraction.clamp(0.0, 1.0);
    }

    /// The host has to call for the endpoint list.
    pub fn watch_endpoint_list(&mut self) {
        self.timers.set(self.now, Timer::EndpointList);
    }

    /// Whether the settings named this traffic class and plan.
    pub fn is_configured(&self, class: TrafficClassId, plan: PlanId) -> bool {
        (class.0 as usize) < self.settings.classes.len() && (plan.0 as usize) < self.settings.plans.len()
    }

    /// How many hosts are thought to be alive. Concurrency limits follow it, since no rule bounds their sum; the guards keep to the
    /// configured number, whatever is thought.
    pub fn alive_hosts_changed(&mut self, alive: u32) {
        self.alive_hosts = f64::from(alive.max(1)).min(self.settings.host_count);
        for node in self.nodes.values_mut() {
            node.limiter.set_alive_hosts(self.alive_hosts);
        }
    }

    pub(super) fn plan(&self, id: PlanId) -> &Plan {
        &self.settings.plans[id.0 as usize]
    }
}
