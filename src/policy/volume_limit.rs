//! Enforces the plan of each volume with two leaky buckets: one drains at this host's share of the limit (rule 7), the
//! other at its share of the reservation. Use fills both, so a full bucket lets no request pass.
//!
//! Several hosts share a volume and do not coordinate each request, so each host keeps to a share of the rate, and the
//! shares never sum to more than the whole. A share starts as an even one and is adjusted by the service of the volume
//! that nodes report (`measured_share`) and by quota leases.

use super::measured_share::{MeasuredShare, ShardService};
use crate::interface::{Instant, Plan, QuotaLeases, TimeDelta};
use crate::state::Bucket;

/// The fraction of the limit's slack that all hosts together may use at their start.
const STARTUP_SLACK_FRACTION: f64 = 0.5;
/// The fraction of an even share of a limit that each host has whatever its measured share.
pub const GUARANTEED_SHARE: f64 = 0.9;
/// The time for which the reservation's bucket accumulates unused units.
const RESERVATION_BURST: TimeDelta = TimeDelta::from_millis(1000);

/// Returns whether a request costs more than this host's share of the volume's burst, so that it could never be sent.
/// If every host let such requests pass, all hosts together would exceed the limit.
pub fn exceeds_burst(cost_units: f64, burst_units: f64, host_count: f64) -> bool {
    cost_units > burst_units / host_count
}

/// Returns whether the plan has a limit.
pub fn is_limited(plan: &Plan) -> bool {
    plan.limit > 0.0
}

/// Returns the level of the limit's bucket at the start, in units.
fn initial_level(plan: &Plan, host_count: f64) -> f64 {
    (plan.burst - plan.slack * STARTUP_SLACK_FRACTION) / host_count
}

/// The use that a volume makes of its limit and its reservation at this host, and this host's share of both.
pub struct VolumeLimit {
    /// The number of hosts that share the rates.
    host_count: f64,
    /// The units that count against the limit.
    limit: Bucket,
    /// The units that count against the reservation.
    reservation: Bucket,
    measured_share: MeasuredShare,
    leases: QuotaLeases,
}

impl VolumeLimit {
    /// Creates the state of a volume that this host does not know yet. An earlier generation of the host may have used
    /// the burst. So the bucket starts as if the burst had been used, except for this host's part of half of the slack:
    /// otherwise each restart would allow a second burst.
    pub fn new(now: Instant, plan: &Plan, host_count: f64) -> Self {
        VolumeLimit {
            host_count,
            limit: Bucket { level: initial_level(plan, host_count), updated_at: now },
            reservation: Bucket { level: 0.0, updated_at: now },
            measured_share: MeasuredShare::new(now, host_count),
            leases: QuotaLeases { lent: 0.0, borrowed: 0.0, until: now },
        }
    }

    /// Returns whether the volume has no limit, or has used no more of it than a new volume starts with.
    pub fn is_within_initial_level(&mut self, now: Instant, plan: &Plan) -> bool {
        let rate = plan.limit * self.share(now);
        self.limit.drain(now, rate);
        !is_limited(plan) || self.limit.level <= initial_level(plan, self.host_count)
    }

    /// Returns the number of hosts that share the rates.
    pub fn host_count(&self) -> f64 {
        self.host_count
    }

    /// Raises the number of hosts that share the volume to the one that a request names. The number never falls, so
    /// that no host takes a larger share than before.
    pub fn raise_host_count(&mut self, host_count: f64) {
        self.host_count = self.host_count.max(host_count);
    }

    /// Returns the time until which the borrowed quota is valid.
    pub fn leased_until(&self) -> Instant {
        self.leases.until
    }

    /// Returns this host's share of the volume's rates. It is an even share until answers report service through other
    /// hosts, and from then on a guaranteed part plus a part in proportion to the measured share. Lent quota is
    /// subtracted, and borrowed quota is added while its lease is valid.
    fn share(&mut self, now: Instant) -> f64 {
        let guaranteed = GUARANTEED_SHARE / self.host_count;
        let measured = self.measured_share.share(now);
        let by_service = measured.map(|share| guaranteed + (1.0 - GUARANTEED_SHARE) * share);
        let borrowed = if now < self.leases.until { self.leases.borrowed } else { 0.0 };
        (by_service.unwrap_or(1.0 / self.host_count) - self.leases.lent).max(0.0) + borrowed
    }

    /// Returns how long it takes until a request of this cost fits within the limit.
    pub fn time_until_fits(&mut self, now: Instant, plan: &Plan, cost_units: f64) -> TimeDelta {
        let rate = plan.limit * self.share(now);
        let burst_units = plan.burst / self.host_count;
        self.limit.time_until_fits(now, rate, burst_units, cost_units)
    }

    /// Updates the reservation, and returns whether a request of this cost fits within it now.
    pub fn is_reserved(&mut self, now: Instant, plan: &Plan, cost_units: f64) -> bool {
        let rate = plan.reserve * self.share(now);
        let burst_units = rate * RESERVATION_BURST.secs() + cost_units;
        plan.reserve > 0.0
            && self.reservation.time_until_fits(now, rate, burst_units, cost_units) == TimeDelta::ZERO
    }

    /// Counts the first attempt of a request against the limit. Its retries are not counted again.
    pub fn charge_limit(&mut self, cost_units: f64) {
        self.limit.level += cost_units;
    }

    /// Counts an attempt against the reservation within which it is sent.
    pub fn charge_reservation(&mut self, cost_units: f64) {
        self.reservation.level += cost_units;
    }

    /// Records the service of the volume that a node reports. `mean_units` is the mean cost of a request.
    pub fn record_service(&mut self, now: Instant, service: ShardService, mean_units: f64) {
        self.measured_share.record_service(now, service, mean_units);
    }

    /// Replaces the quota leases, and returns whether this host's share rises. The bucket is first drained at the old
    /// rate up to now: otherwise a higher rate would apply to the past as well.
    pub fn set_leases(&mut self, now: Instant, plan: &Plan, leases: QuotaLeases) -> bool {
        let before = self.share(now);
        self.limit.drain(now, plan.limit * before);
        self.leases = leases;
        self.share(now) > before
    }

    /// Applies a changed plan. The buckets are first drained at the old rates up to now. No change raises the units
    /// that may be sent at once: otherwise lowering and raising a plan would allow another burst. And no change keeps
    /// the volume from sending until a larger old burst has drained. A volume that had no limit starts with a full
    /// bucket.
    pub fn change_plan(&mut self, now: Instant, old: &Plan, new: &Plan) {
        let share = self.share(now);
        self.limit.drain(now, old.limit * share);
        self.reservation.drain(now, old.reserve * share);
        let full_level = new.burst / self.host_count;
        let level = self.limit.level + (new.burst - old.burst) / self.host_count;
        self.limit.level = if is_limited(old) { level.clamp(0.0, full_level) } else { full_level };
    }
}
