//! Token buckets of volumes, and this host's share of their rates (rule 7).

use crate::interface::*;
use crate::state::*;

const STARTUP_SLACK_FRACTION: f64 = 0.5; // of the limit's slack, given by all hosts together when they start
/// Fraction of the even share of a limit that each host has whatever its measured share.
pub const GUARANTEED_SHARE: f64 = 0.9;
const SHARE_RISE_PERIOD: f64 = 4.0; // seconds for which the lowest share seen holds, at least
const SHARE_IDLE_TIMEOUT: f64 = 1.5; // seconds without an answer after which the share falls away
const MIN_SHARD_SAMPLE: f64 = 4.0; // mean requests served at a shard before it is looked at alone
const RESERVE_BURST: f64 = 1.0; // seconds of the reservation that its bucket holds

impl Scheduler {
    /// The record of a volume. A new generation of a host can't know what an earlier one drew: its limit's
    /// bucket starts full but for part of the slack, so that a restart does not hand itself a second burst.
    pub(super) fn volume_or_new(&mut self, id: VolumeId, plan: PlanId, hosts: f64) -> &mut Volume {
        let settings = &self.plans[plan.0 as usize];
        let charged = (settings.burst - settings.slack * STARTUP_SLACK_FRACTION) / hosts;
        let now = self.now;
        self.volumes.entry(id).or_insert_with(|| Volume::new(now, plan, hosts, charged))
    }

    /// An answer reported the volume's service at this node: the request's units if it is `done`, and units
    /// through `others`, the other hosts, since the node's last answer to this one.
    pub fn service_reported(&mut self, now: Instant, id: RequestId, done: bool, others: f64) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(shard) = request.shard else { return };
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return };
        let own = if done { request.units } else { 0.0 };
        Self::advance_share(volume, now);
        volume.limit_share.record_service(now, shard, own, others, MIN_SHARD_SAMPLE * self.mean_units);
    }

    /// Hosts lend each other shares of a volume's limit. Whoever reports this sees to it that all shares sum
    /// to no more than the whole.
    pub fn quota_leases_changed(&mut self, now: Instant, change: LeaseChange) {
        self.now = now;
        let limit = self.plans[change.plan.0 as usize].limit;
        let volume = self.volume_or_new(change.volume, change.plan, f64::from(change.hosts.max(1)));
        // What has drained by now did so at the old rate: a higher one must not reach back.
        let before = Self::limit_share(volume, now);
        volume.limit.drain(now, limit * before);
        volume.leases = change.leases;
        if Self::limit_share(volume, now) > before {
            let has_waiting = |shard: &Shard| shard.queues.keys().any(|queue| queue.0 == change.volume);
            let shards = self.shards.iter().filter(|(_, shard)| has_waiting(shard));
            self.pending_shards.extend(shards.map(|(id, _)| *id));
        }
    }

    /// A plan's figures from now on, while its volumes are busy; the next number is a new plan.
    pub fn plan_changed(&mut self, now: Instant, id: PlanId, new: Plan) {
        self.now = now;
        if let Some(plan) = self.plans.get_mut(id.0 as usize) {
            let volumes = self.volumes.values_mut().filter(|volume| volume.plan == id);
            volumes.for_each(|volume| Self::rescale_limit(volume, now, plan, &new));
            *plan = new;
            self.pending_shards.extend(self.shards.keys());
        } else if id.0 as usize == self.plans.len() {
            self.plans.push(new);
        }
    }

    /// A volume is under this plan from now on, with all that waits of it.
    pub fn volume_plan_changed(&mut self, now: Instant, id: VolumeId, plan: PlanId) {
        self.now = now;
        let Some(volume) = self.volumes.get_mut(&id).filter(|volume| volume.plan != plan) else { return };
        let old = std::mem::replace(&mut volume.plan, plan);
        Self::rescale_limit(volume, now, &self.plans[old.0 as usize], &self.plans[plan.0 as usize]);
        let requests = self.requests.values_mut().filter(|request| request.volume == id);
        requests.for_each(|request| request.plan = plan);
        self.pending_shards.extend(self.shards.keys());
    }

    /// Rule 7 for a limit that moves. What has drained did so at the old rate, and no change adds to what may
    /// leave at once: against bursts handed out anew by going down and up, and against a volume that is
    /// silenced until an old burst is paid back. What had no limit starts with nothing saved.
    fn rescale_limit(volume: &mut Volume, now: Instant, old: &Plan, new: &Plan) {
        let share = Self::limit_share(volume, now);
        volume.limit.drain(now, old.limit * share);
        volume.reserve.drain(now, old.reserve * share);
        let level = volume.limit.level + (new.burst - old.burst) / volume.hosts;
        let full = new.burst / volume.hosts;
        volume.limit.level = if old.limit > 0.0 { level.clamp(0.0, full) } else { full };
    }

    fn advance_share(volume: &mut Volume, now: Instant) {
        let rise = TimeDelta::from_secs(SHARE_RISE_PERIOD);
        volume.limit_share.advance(now, rise, TimeDelta::from_secs(SHARE_IDLE_TIMEOUT));
    }

    /// This host's share of a volume's rates. An even one until answers tell of the volume's service at other
    /// hosts, then a floor and the rest by measured share. That falls at once and when idle, and rises only
    /// after longer than the others need to have fallen, so the shares never sum past the whole.
    fn limit_share(volume: &mut Volume, now: Instant) -> f64 {
        Self::advance_share(volume, now);
        let floor = GUARANTEED_SHARE / volume.hosts;
        let measured = volume.limit_share.share().map(|share| floor + (1.0 - GUARANTEED_SHARE) * share);
        let leases = volume.leases;
        let borrowed = if now < leases.until { leases.borrowed } else { 0.0 };
        (measured.unwrap_or(1.0 / volume.hosts) - leases.lent).max(0.0) + borrowed
    }

    /// More than its host's share of the burst must not pass: every host would overdraw the one store.
    pub(super) fn exceeds_burst(&self, request: &Request) -> bool {
        let (plan, volume) = (&self.plans[request.plan.0 as usize], self.volumes.get(&request.volume));
        let exceeds = |volume: &Volume| request.units > plan.burst / volume.hosts;
        plan.limit > 0.0 && !request.is_charged && volume.is_some_and(exceeds)
    }

    /// How long until the request fits under its volume's limit.
    pub(super) fn limit_wait(&mut self, id: RequestId) -> TimeDelta {
        let (request, now) = (&self.requests[&id], self.now);
        let plan = &self.plans[request.plan.0 as usize];
        if plan.limit <= 0.0 || request.is_charged {
            return TimeDelta::ZERO;
        }
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return TimeDelta::ZERO };
        let (rate, burst) = (plan.limit * Self::limit_share(volume, now), plan.burst / volume.hosts);
        volume.limit.wait(now, rate, burst, request.units)
    }

    /// Whether the request fits into its volume's reservation.
    pub(super) fn is_reserved(&mut self, id: RequestId) -> bool {
        let (request, now) = (&self.requests[&id], self.now);
        let plan = &self.plans[request.plan.0 as usize];
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return false };
        let rate = plan.reserve * Self::limit_share(volume, now);
        let burst = rate * RESERVE_BURST + request.units;
        plan.reserve > 0.0 && volume.reserve.wait(now, rate, burst, request.units) == TimeDelta::ZERO
    }
}
