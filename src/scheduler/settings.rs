//! The settings of a host. They are set before the first request; only plans and the number of alive hosts change
//! later.

use super::Scheduler;
use crate::interface::{Effect, Instant, Plan, PlanId, SlowStartSettings, TimeDelta, TrafficClassId};
use crate::policy::latency::new_latency_histogram;
use crate::policy::list_backoff::ListBackoff;
use crate::policy::loss_detection::LossDetector;
use crate::policy::priority::Priority;
use crate::policy::request_fate::DEADLINE_MARGIN;
use crate::policy::retention::MIN_TIMER_SEARCH;
use crate::policy::retry_budget::{RetryBudget, RetryBudgetSettings};
use crate::policy::slow_start::SlowStartLimits;
use crate::policy::traffic_class::{rank_by_latency_objective, TrafficClass};
use crate::state::{Random, Timer, Timers};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Lower bound of the mean cost of a request, in units.
const MIN_MEAN_UNITS: f64 = 1e-6;
/// Lower bound of a plan's weight.
const MIN_PLAN_WEIGHT: f64 = 1e-6;

/// The settings of a host.
pub struct Settings {
    /// Number of hosts that share the pool.
    pub host_count: f64,
    /// How long before the client's deadline the final answer is due.
    pub deadline_margin: TimeDelta,
    /// Mean cost of a request, in units.
    pub mean_units: f64,
    /// The plans, by their number.
    pub plans: Vec<Plan>,
    /// The traffic classes, by their number.
    pub classes: Vec<TrafficClass>,
    /// Shortest latency objective of all traffic classes.
    pub tightest_objective: TimeDelta,
    /// Number of attempts that a request may have.
    pub max_attempts: u32,
    /// Longest time after which a rejection may ask the client to retry; zero if it may give no time.
    pub max_retry_after: TimeDelta,
    /// How long a key stays blocked after an attempt that may still be running.
    pub key_settle_time: TimeDelta,
    /// Limits on what is sent to a node that has just started.
    pub slow_start: SlowStartLimits,
    /// Fraction of a request's units that counts as work if the node may have its data cached.
    pub uncached_fraction: f64,
    /// Backoff after a failed call for the endpoint list.
    pub list_backoff: ListBackoff,
}

impl Scheduler {
    /// Creates the scheduler of a host, without traffic classes, plans or nodes. Attempts and retries are not limited.
    ///
    /// `hosts` is the number of hosts that share the pool, `clock_resolution` that of the host's clock, and `mean_units`
    /// the mean cost of a request in units.
    pub fn new(now: Instant, seed: u64, hosts: u32, clock_resolution: TimeDelta, mean_units: f64) -> Self {
        let host_count = f64::from(hosts.max(1));
        let settings = Settings {
            host_count,
            deadline_margin: clock_resolution + clock_resolution + DEADLINE_MARGIN,
            mean_units: mean_units.max(MIN_MEAN_UNITS),
            plans: Vec::new(),
            classes: Vec::new(),
            tightest_objective: TimeDelta::ZERO,
            max_attempts: u32::MAX,
            max_retry_after: TimeDelta::ZERO,
            key_settle_time: TimeDelta::ZERO,
            slow_start: SlowStartLimits::default(),
            uncached_fraction: 1.0,
            list_backoff: ListBackoff::default(),
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
            volumes_searched_at: Instant::default(),
            requests: HashMap::new(),
            key_queues: HashMap::new(),
            rejected_requests: Default::default(),
            unplaced_requests: Vec::new(),
            pending_shards: BTreeSet::new(),
            timers: Timers::default(),
            timer_search_size: MIN_TIMER_SEARCH,
            decisions: VecDeque::new(),
        }
    }

    /// Adds a traffic class. Classes are numbered from 0 in the order in which they are added. `in_order` says whether
    /// requests on the same key are sent one at a time, in order of arrival.
    pub fn add_traffic_class(&mut self, latency_objective: TimeDelta, effect: Effect, in_order: bool) {
        let priority = Priority::HIGHEST;
        self.settings.classes.push(TrafficClass { latency_objective, priority, effect, in_order });
        self.settings.tightest_objective = rank_by_latency_objective(&mut self.settings.classes);
        self.pool_latency.push(new_latency_histogram());
    }

    /// Adds a plan. Plans are numbered from 0 in the order in which they are added.
    pub fn add_plan(&mut self, plan: Plan) {
        self.settings.plans.push(Plan { weight: plan.weight.max(MIN_PLAN_WEIGHT), ..plan });
    }

    /// Sets how many attempts a request may have, and how long a client or a key is held off after one.
    ///
    /// `max_retry_after` is the longest time after which a rejection may ask the client to retry; zero if it may give no
    /// time. `key_settle_time` is how long a key stays blocked after an attempt that may still be running.
    pub fn set_attempt_limits(
        &mut self,
        max_attempts: u32,
        max_retry_after: TimeDelta,
        key_settle_time: TimeDelta,
    ) {
        self.settings.max_attempts = max_attempts;
        self.settings.max_retry_after = max_retry_after;
        self.settings.key_settle_time = key_settle_time;
    }

    /// Lowers the number of attempts that a request may have to `max_attempts`, if `set_attempt_limits` allowed more. Must
    /// be called after it.
    pub fn bound_attempts(&mut self, max_attempts: u32) {
        self.settings.max_attempts = self.settings.max_attempts.min(max_attempts);
    }

    /// Limits the host's retries over any `window` to `free_retries`, plus `retries_per_request` for each request that
    /// arrived in it.
    pub fn set_retry_budget(&mut self, free_retries: f64, retries_per_request: f64, window: TimeDelta) {
        let settings = RetryBudgetSettings { free_retries, retries_per_request, window };
        self.retry_budget = RetryBudget::new(settings);
    }

    /// Sets what a node can take while it warms up.
    pub fn set_slow_start(&mut self, settings: SlowStartSettings) {
        self.settings.slow_start = SlowStartLimits::new(settings, self.settings.mean_units);
    }

    /// Sets the fraction of the work that a node may save for data that it has cached, from 0 to 1; 0 by default.
    pub fn set_cache_savings(&mut self, fraction: f64) {
        self.settings.uncached_fraction = 1.0 - fraction.clamp(0.0, 1.0);
    }

    /// Records that the list service pushes changes of the endpoint list, so that a host counts as notified of them as soon
    /// as the service can be reached. `drain_grace` is how long a node may be sent requests after that.
    pub fn lists_are_pushed(&mut self, drain_grace: TimeDelta) {
        self.settings.list_backoff = ListBackoff::pushed(drain_grace);
    }

    /// Makes the next poll ask the host to watch the endpoint list.
    pub fn watch_endpoint_list(&mut self) {
        self.timers.set(self.now, Timer::EndpointList);
    }

    /// Returns whether this traffic class and this plan have been added.
    pub fn is_configured(&self, class: TrafficClassId, plan: PlanId) -> bool {
        (class.0 as usize) < self.settings.classes.len() && (plan.0 as usize) < self.settings.plans.len()
    }

    /// Sets the number of hosts believed alive. Only concurrency limits depend on it, since no rule bounds their sum; the
    /// other guards use the configured number of hosts. It is kept between 1 and that number.
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
