//! What a node that has just started is given (rule 4).
//!
//! A node that warms up serves a fraction of what it will, and collapses when all hosts together send it more than it bears. Hosts
//! can't agree at run time on who sends how much, and hear of the start at different times. So each keeps to its own part: its share
//! of the units that never hurt a node, and a fraction of what its shard was seen to serve for it. What all hosts saw a shard serve sums
//! to no more than its node can do, so the same fraction of it at each host bounds the sum.

use super::hold::GUARD_RECHECK_INTERVAL;
use crate::interface::{HoldReason, Instant, SlowStartSettings, TimeDelta};
use crate::policy::Hold;
use crate::state::Bucket;

/// How much of the difference that chance may make is used: the operators allow all hosts together N + 2 sqrt(N) + 2 calls in a window.
const CHANCE_ALLOWANCE: f64 = 0.8;
/// The part of the safe units that may be unanswered at once.
const IN_FLIGHT_FRACTION: f64 = 0.3;
/// The part of the safe units that time alone frees in each window.
const DRAIN_FRACTION: f64 = 0.1;
/// The part of what the node bears that is given out by what hosts saw the shard serve.
const SERVICE_RATE_FRACTION: f64 = 0.6;
/// The capacity that a node starts with is taken to be at least this fraction.
const MIN_INITIAL_CAPACITY: f64 = 0.01;
/// The settings' window is taken to be at least this long.
const MIN_WINDOW: TimeDelta = TimeDelta::from_millis(1);

/// What the settings say a node bears while it warms up, scaled to what all hosts may send.
#[derive(Clone, Copy, Default)]
pub struct SlowStartLimits(SlowStartSettings);

impl SlowStartLimits {
    /// Scales what a node bears by what chance adds where all hosts send together. `mean_units` is the mean cost of a request.
    ///
    /// With N safe requests and a node that bears `m` times what it does at the moment, what is answered within a window comes on
    /// top of what is sent unasked; so all hosts may send `1 - 1/m` of N, and what chance allows: `2 sqrt(N) + 2` requests.
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

    /// The fraction of its capacity that a node starts with.
    pub fn initial_capacity(&self) -> f64 {
        self.0.initial_capacity
    }

    /// Whether a node that started then still warms up; none: its start is not known, or long ago.
    pub fn is_warming_up(&self, now: Instant, up_since: Option<Instant>) -> bool {
        up_since.is_some_and(|up_since| now - up_since < self.0.duration)
    }

    /// The fraction of its capacity that a node has after so long.
    fn capacity_fraction(&self, uptime: TimeDelta) -> f64 {
        let initial = self.0.initial_capacity;
        initial + (1.0 - initial) * (uptime.secs() / self.0.duration.secs()).max(0.0)
    }

    /// Units that one of `host_count` hosts may have unanswered at a node that has just started.
    fn initial_units(&self, host_count: f64) -> f64 {
        IN_FLIGHT_FRACTION * self.0.safe_units / host_count
    }
}

/// What a request needs to be sent to a node that warms up.
pub struct SlowStartRequest {
    /// Its cost.
    pub units: f64,
    /// When the node started.
    pub up_since: Option<Instant>,
    /// What the node's shard was seen to serve for this host, in units a second.
    pub service_rate: f64,
    /// Hosts that share the node.
    pub host_count: f64,
}

/// Units sent to a node while it warms up, and neither answered nor freed by time.
pub struct SlowStart {
    unanswered: Bucket,
}

impl SlowStart {
    /// The bucket of a node that has just been listed. It starts at a level of its own, by `chance` (from 0 to 1) within one mean
    /// request, less this host's part: a part below one request lets single requests pass, and hosts that all began at the same level
    /// would all send their first one at once.
    pub fn new(
        now: Instant,
        limits: &SlowStartLimits,
        chance: f64,
        mean_units: f64,
        host_count: f64,
    ) -> Self {
        let level = (chance * mean_units - limits.initial_units(host_count)).max(0.0);
        SlowStart { unanswered: Bucket { level, updated_at: now } }
    }

    /// Counts an attempt that is sent.
    pub fn attempt_started(&mut self, units: f64) {
        self.unanswered.level += units;
    }

    /// Counts an answer. `work` are the units that it shows the node can do.
    pub fn attempt_answered(&mut self, work: f64) {
        self.unanswered.level = (self.unanswered.level - work).max(0.0);
    }

    /// Whether a request stays within this host's part of what the node bears. The unanswered units stay under the host's share of the
    /// safe units, or under one request where that is less; time frees them at a rate that rises with the node's warmth.
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
        let safe_units = limits.0.safe_units / request.host_count * capacity / limits.0.initial_capacity;
        let freed_by_time = DRAIN_FRACTION * safe_units / limits.0.window.max(MIN_WINDOW).secs();
        let freed_by_service =
            SERVICE_RATE_FRACTION * limits.0.overload_multiple * capacity * request.service_rate;
        let drain_rate = freed_by_time + freed_by_service;
        let max_unanswered = IN_FLIGHT_FRACTION * safe_units;
        match self.unanswered.time_until_fits(now, drain_rate, max_unanswered, request.units) {
            TimeDelta::ZERO => Ok(()),
            wait => Err(Hold::until(HoldReason::SlowStart, now + wait.min(GUARD_RECHECK_INTERVAL))),
        }
    }
}
