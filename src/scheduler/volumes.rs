//! Inputs about volumes: service at nodes, quota leases, and changes of plans.

use super::shard::Shard;
use super::volume::Volume;
use super::Scheduler;
use crate::interface::{Instant, LeaseChange, Plan, PlanId, RequestId, VolumeId};
use crate::policy::measured_share::ShardService;
use crate::policy::retention::{IDLE_RETENTION, MAX_IDLE_VOLUMES, VOLUME_SEARCH_INTERVAL};
use crate::policy::volume_limit::VolumeLimit;

impl Scheduler {
    /// Records the volume's service that an answer reported: the request's units if it is done, and the units that the
    /// node has served for other hosts since its last answer to this host. An unknown request is ignored.
    pub fn service_reported(&mut self, now: Instant, id: RequestId, is_done: bool, other_units: f64) {
        self.now = now;
        let Some(request) = self.requests.get(&id) else { return };
        let Some(shard) = request.shard else { return };
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return };
        let own_units = if is_done { request.units } else { 0.0 };
        let service = ShardService { shard, own_units, other_units };
        volume.limit.record_service(now, service, self.settings.mean_units);
    }

    /// Applies the quota leases by which hosts lend each other shares of a volume's limit. The caller ensures that the
    /// shares of all hosts sum to no more than the whole limit.
    pub fn quota_leases_changed(&mut self, now: Instant, change: LeaseChange) {
        self.now = now;
        let plan = *self.plan(change.plan);
        let volume = self.volume_or_new(change.volume, change.plan, f64::from(change.hosts.max(1)));
        if volume.limit.set_leases(now, &plan, change.leases) {
            let has_waiting = |shard: &Shard| shard.queues.keys().any(|queue| queue.0 == change.volume);
            let shards = self.shards.iter().filter(|(_, shard)| has_waiting(shard));
            self.pending_shards.extend(shards.map(|(id, _)| *id));
        }
    }

    /// Replaces a plan from now on, also for requests that wait. The number after the last one adds a plan; higher numbers
    /// are ignored.
    pub fn plan_changed(&mut self, now: Instant, id: PlanId, new: Plan) {
        self.now = now;
        if let Some(plan) = self.settings.plans.get_mut(id.0 as usize) {
            for volume in self.volumes.values_mut().filter(|volume| volume.plan == id) {
                volume.limit.change_plan(now, plan, &new);
            }
            *plan = new;
            self.pending_shards.extend(self.shards.keys());
        } else if id.0 as usize == self.settings.plans.len() {
            self.settings.plans.push(new);
        }
    }

    /// Puts a volume and its waiting requests under another plan from now on. An unknown volume is ignored.
    pub fn volume_plan_changed(&mut self, now: Instant, id: VolumeId, plan: PlanId) {
        self.now = now;
        let Some(volume) = self.volumes.get_mut(&id).filter(|volume| volume.plan != plan) else { return };
        let old = std::mem::replace(&mut volume.plan, plan);
        let plans = &self.settings.plans;
        volume.limit.change_plan(now, &plans[old.0 as usize], &plans[plan.0 as usize]);
        for request in self.requests.values_mut().filter(|request| request.volume == id) {
            request.plan = plan;
        }
        self.pending_shards.extend(self.shards.keys());
    }

    /// Returns the record of a volume, and creates it if the volume is not known.
    pub(super) fn volume_or_new(&mut self, id: VolumeId, plan: PlanId, host_count: f64) -> &mut Volume {
        let now = self.now;
        let settings = &self.settings.plans[plan.0 as usize];
        self.volumes.entry(id).or_insert_with(|| Volume {
            last_request_at: now,
            plan,
            limit: VolumeLimit::new(now, settings, host_count),
        })
    }

    /// Removes idle volumes if the table is full, `new` is not in it, and this was not done lately.
    ///
    /// This gives away no burst: what an idle volume had used of its limit has drained long ago, and a volume that returns
    /// starts with its burst used.
    pub(super) fn forget_idle_volumes(&mut self, new: VolumeId) {
        if self.volumes.len() < MAX_IDLE_VOLUMES || self.volumes.contains_key(&new) {
            return;
        }
        // The whole table is searched. Clients that name a new volume in each request must not cause that with each of them.
        if self.now < self.volumes_searched_at + VOLUME_SEARCH_INTERVAL {
            return;
        }
        self.volumes_searched_at = self.now;
        let since = self.now - IDLE_RETENTION;
        self.volumes.retain(|_, volume| volume.in_use_since(since));
        for shard in self.shards.values_mut() {
            shard.start_tags.retain(|id, _| self.volumes.contains_key(id));
        }
    }

    /// Returns whether a volume without an open request may be forgotten: one that is new starts with at least as much of
    /// its limit used. Otherwise a client could make the host forget a volume again and again, and use more than its limit.
    pub fn may_forget_volume(&mut self, now: Instant, id: VolumeId) -> bool {
        self.now = now;
        let Some(volume) = self.volumes.get_mut(&id) else { return true };
        let plan = &self.settings.plans[volume.plan.0 as usize];
        volume.limit.is_within_initial_level(now, plan)
    }

    /// Forgets a volume that has no open request, because the host will not use its number again.
    pub fn volume_forgotten(&mut self, now: Instant, id: VolumeId) {
        self.now = now;
        self.volumes.remove(&id);
    }
}
