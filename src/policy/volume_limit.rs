//! Holds each volume to its plan: a leaky bucket that drains at this host's share of the limit (rule 7), and one that drains at its share
//! of the reservation. Both fill by use, so a full one lets nothing pass.
//!
//! Several hosts share a volume and can't agree at run time, so each keeps to a share of the rate that never sums to more than the whole:
//! an even one, adjusted by what nodes report of the volume's service (`measured_share`) and by quota leases.

use super::measured_share::{MeasuredShare, ShardService};
use crate::interface::{Instant, Plan, QuotaLeases, TimeDelta};
use crate::state::Bucket;

/// The part of the limit's slack that all hosts together give away when they start.
const STARTUP_SLACK_FRACTION: f64 = 0.5;
/// The fraction of the even share of a limit that each host has whatever its measured share.
pub const GUARANTEED_SHARE: f64 = 0.9;
/// For how long the reservation's bucket saves up what is not used.
const RESERVATION_BURST: TimeDelta = TimeDelta::from_millis(1000);

/// Whether a request costs more than this host's share of the volume's burst, so that no wait would let it pass. If every host let
/// such requests through, all of them together would overdraw the one limit. `cost_units` and `burst_units` are in units.
pub fn exceeds_burst(cost_units: f64, burst_units: f64, host_count: f64) -> bool {
    cost_units > burst_units / host_count
}

/// Whether a plan limits its volumes.
pub fn is_limited(plan: &Plan) -> bool {
    plan.limit > 0.0
}

/// What a volume has used of its limit and its reservation at this host, and this host's share of both.
pub struct VolumeLimit {
    /// Hosts among which the rates are shared.
    host_count: f64,
    /// Units that count against the limit.
    limit: Bucket,
    /// Units that count against the reservation.
    reservation: Bucket,
    measured_share: MeasuredShare,
    leases: QuotaLeases,
}

impl VolumeLimit {
    /// The limit of a volume that this host has no record of. An earlier generation of the host may have used the burst, so the bucket
    /// starts as if the burst had been used, but for this host's part of half of the slack: else each restart would hand out a second burst.
    pub fn new(now: Instant, plan: &Plan, host_count: f64) -> Self {
        let level = (plan.burst - plan.slack * STARTUP_SLACK_FRACTION) / host_count;
        VolumeLimit {
            host_count,
            limit: Bucket { level, updated_at: now },
            reservation: Bucket { level: 0.0, updated_at: now },
            measured_share: MeasuredShare::new(now, host_count),
            leases: QuotaLeases { lent: 0.0, borrowed: 0.0, until: now },
        }
    }

    /// Hosts among which the rates are shared.
    pub fn host_count(&self) -> f64 {
        self.host_count
    }

    /// A request said how many hosts share the volume; the number never falls, so that no host takes a larger share than before.
    pub fn raise_host_count(&mut self, host_count: f64) {
        self.host_count = self.host_count.max(host_count);
    }

    /// Until when a quota lease holds.
    pub fn leased_until(&self) -> Instant {
        self.leases.until
    }

    /// This host's share of the volume's rates: an even one until answers tell of the volume's service at other hosts, then a guaranteed
    /// part and the rest by measured share; less what is lent, and with what is borrowed while that lease holds.
    fn share(&mut self, now: Instant) -> f64 {
        let guaranteed = GUARANTEED_SHARE / self.host_count;
        let measured = self.measured_share.share(now);
        let by_service = measured.map(|share| guaranteed + (1.0 - GUARANTEED_SHARE) * share);
        let borrowed = if now < self.leases.until { self.leases.borrowed } else { 0.0 };
        (by_service.unwrap_or(1.0 / self.host_count) - self.leases.lent).max(0.0) + borrowed
    }

    /// How long until a request fits under the limit. `cost_units` is its cost.
    pub fn time_until_fits(&mut self, now: Instant, plan: &Plan, cost_units: f64) -> TimeDelta {
        let rate = plan.limit * self.share(now);
        let burst_units = plan.burst / self.host_count;
        self.limit.time_until_fits(now, rate, burst_units, cost_units)
    }

    /// Whether a request fits into the reservation now, after the bucket is brought up to date. `cost_units` is its cost.
    pub fn is_reserved(&mut self, now: Instant, plan: &Plan, cost_units: f64) -> bool {
        let rate = plan.reserve * self.share(now);
        let burst_units = rate * RESERVATION_BURST.secs() + cost_units;
        plan.reserve > 0.0
            && self.reservation.time_until_fits(now, rate, burst_units, cost_units) == TimeDelta::ZERO
    }

    /// Counts the first attempt of a request against the limit. A retry has been counted with it.
    pub fn charge_limit(&mut self, cost_units: f64) {
        self.limit.level += cost_units;
    }

    /// Counts an attempt that is sent within the reservation.
    pub fn charge_reservation(&mut self, cost_units: f64) {
        self.reservation.level += cost_units;
    }

    /// A node reported what it served of the volume. `mean_units` is the mean cost of a request.
    pub fn record_service(&mut self, now: Instant, service: ShardService, mean_units: f64) {
        self.measured_share.record_service(now, service, mean_units);
    }

    /// Takes new quota leases; whether this host's share rises. What has drained by now did so at the old rate, so the bucket is brought
    /// up to date first: else a higher rate would reach back in time.
    pub fn set_leases(&mut self, now: Instant, plan: &Plan, leases: QuotaLeases) -> bool {
        let before = self.share(now);
        self.limit.drain(now, plan.limit * before);
        self.leases = leases;
        self.share(now) > before
    }

    /// Takes new figures of the plan. What has drained by now did so at the old rate. No change adds to what may be sent at once, or
    /// going down and up again would hand out bursts anew; and none silences the volume until a larger old burst is paid back. A volume
    /// that had no limit starts with nothing saved.
    pub fn change_plan(&mut self, now: Instant, old: &Plan, new: &Plan) {
        let share = self.share(now);
        self.limit.drain(now, old.limit * share);
        self.reservation.drain(now, old.reserve * share);
        let used_up = new.burst / self.host_count;
        let level = self.limit.level + (new.burst - old.burst) / self.host_count;
        self.limit.level = if is_limited(old) { level.clamp(0.0, used_up) } else { used_up };
    }
}
