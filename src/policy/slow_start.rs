//! Slow start: bounds the load on a node that has just started (rule 4).
//!
//! A node that warms up has a fraction of its full capacity, and collapses if all hosts together send it more than it
//! can take. Hosts do not coordinate at run time how much each sends, and learn of the start at different times.
//! Therefore each host keeps to its own part: its share of the units that never overload a node, and a fraction of the
//! rate at which the shard has served it. Together the hosts observe no more than the capacity of the shard's node.
//! If each sends the same fraction of its observed rate, the total load is bounded too.

use super::hold::GUARD_RECHECK_INTERVAL;
use crate::interface::{HoldReason, Instant, SlowStartSettings, TimeDelta};
use crate::policy::Hold;
use crate::state::Bucket;

/// Where a node can take N requests in a window, the operators allow all hosts together to send N + 2 sqrt(N) + 2. This
/// is the fraction of the excess over N that is used.
const CHANCE_ALLOWANCE: f64 = 0.8;
/// The fraction of the safe units (`SlowStartSettings::safe_units`), scaled to the node's present capacity, that may be
/// unanswered at once.
const IN_FLIGHT_FRACTION: f64 = 0.3;
/// The fraction of the safe units, scaled in the same way, by which the count of unanswered units falls in each window
/// even if nothing is answered.
const DRAIN_FRACTION: f64 = 0.1;
/// The fraction of the node's load limit that hosts may send in proportion to their observed service rates.
const SERVICE_RATE_FRACTION: f64 = 0.6;
/// The lower bound on the fraction of its capacity that a node has at its start.
const MIN_INITIAL_CAPACITY: f64 = 0.01;
/// The lower bound on the window of the settings.
const MIN_WINDOW: TimeDelta = TimeDelta::from_millis(1);

/// The slow start settings, scaled to the load that all hosts together may send.
#[derive(Clone, Copy, Default)]
pub struct SlowStartLimits(SlowStartSettings);

impl SlowStartLimits {
    /// Creates limits from settings, scaled to the load that all hosts together may send. `mean_units` is the mean cost
    /// of a request.
    ///
    /// Let N be the number of safe requests, and `m` the multiple of its current capacity that a node can take. Each
    /// answer within a window allows another request, in addition to those that are allowed without an answer. To leave
    /// room for the requests that answers allow, the load allowed without an answer is scaled to `1 - 1/m` of N, plus
    /// `CHANCE_ALLOWANCE` of the allowance for random variation, which is `2 sqrt(N) + 2` requests.
    pub fn new(settings: SlowStartSettings, mean_units: f64) -> Self {
        let safe_requests = (settings.safe_units / mean_units).max(1.0);
        let chance = CHANCE_ALLOWANCE * (2.0 * safe_requests.sqrt() + 2.0) / safe_requests;
        let scale = 1.0 - 1.0 / settings.overload_multiple.max(1.0) + chance;
        SlowStartLimits(SlowStartSettings {
            safe_units: settings.safe_units * scale,
            overload_multiple: settings.overload_multiple * scale,
            initial_capacity: settings.initial_capacity.clamp(MIN_INITIAL_CAPACITY, 1.0),
            ..settings
        })
    }

    /// Returns the fraction of its capacity that a node has at its start.
    pub fn initial_capacity(&self) -> f64 {
        self.0.initial_capacity
    }

    /// Returns whether a node that started at `up_since` is still warming up. `None` means that the start is not known
    /// or long ago.
    pub fn is_warming_up(&self, now: Instant, up_since: Option<Instant>) -> bool {
        up_since.is_some_and(|up_since| now - up_since < self.0.duration)
    }

    /// Returns the fraction of its capacity that a node has after this uptime.
    fn capacity_fraction(&self, uptime: TimeDelta) -> f64 {
        let initial = self.0.initial_capacity;
        initial + (1.0 - initial) * (uptime.secs() / self.0.duration.secs()).max(0.0)
    }

    /// Returns the units that each of `host_count` hosts may have unanswered at a node that has just started.
    fn initial_units(&self, host_count: f64) -> f64 {
        IN_FLIGHT_FRACTION * self.0.safe_units / host_count
    }
}

/// The inputs of the check whether a request may be sent to a node that warms up.
pub struct SlowStartRequest {
    /// The cost of the request, in units.
    pub units: f64,
    /// When the node started; `None`: not known, or long ago.
    pub up_since: Option<Instant>,
    /// The rate at which the node's shard has served this host, in units per second.
    pub service_rate: f64,
    /// The number of hosts that share the node.
    pub host_count: f64,
}

/// The units sent to a node and not yet answered. While the node warms up, their count also falls with time (`check`).
pub struct SlowStart {
    unanswered: Bucket,
}

impl SlowStart {
    /// Creates the state of a node that has just been listed. The count of unanswered units starts at a
    /// random fraction of one mean request, minus `initial_units`, but at least at 0; `random` is a random number from
    /// 0 to 1. Even a host whose part is below one request may send single requests; the random start keeps hosts from
    /// sending their first ones at the same time.
    pub fn new(
        now: Instant,
        limits: &SlowStartLimits,
        random: f64,
        mean_units: f64,
        host_count: f64,
    ) -> Self {
        let level = (random * mean_units - limits.initial_units(host_count)).max(0.0);
        SlowStart { unanswered: Bucket { level, updated_at: now } }
    }

    /// Records that an attempt is sent.
    pub fn attempt_started(&mut self, units: f64) {
        self.unanswered.level += units;
    }

    /// Records an answer. `work` is the number of units that the answer shows the node to have capacity for.
    pub fn attempt_answered(&mut self, work: f64) {
        self.unanswered.level = (self.unanswered.level - work).max(0.0);
    }

    /// Checks that a request stays within this host's part of the load that the node can take. The unanswered units
    /// stay within `IN_FLIGHT_FRACTION` of the host's share of the safe units; a request that costs more than that
    /// passes once their count is zero. The count falls at a rate that rises with the node's capacity.
    pub fn check(
        &mut self,
        now: Instant,
        limits: &SlowStartLimits,
        request: &SlowStartRequest,
    ) -> Result<(), Hold> {
        let Some(up_since) = request.up_since.filter(|_| limits.is_warming_up(now, request.up_since)) else {
            return Ok(());
        };
        let capacity = limits.capacity_fraction(now - up_since);
        let own_safe_units = limits.0.safe_units / request.host_count * capacity / limits.0.initial_capacity;
        let unconditional_rate = DRAIN_FRACTION * own_safe_units / limits.0.window.max(MIN_WINDOW).secs();
        let service_based_rate =
            SERVICE_RATE_FRACTION * limits.0.overload_multiple * capacity * request.service_rate;
        let drain_rate = unconditional_rate + service_based_rate;
        let max_unanswered = IN_FLIGHT_FRACTION * own_safe_units;
        match self.unanswered.time_until_fits(now, drain_rate, max_unanswered, request.units) {
            TimeDelta::ZERO => Ok(()),
            wait => Err(Hold::until(HoldReason::SlowStart, now + wait.min(GUARD_RECHECK_INTERVAL))),
        }
    }
}
