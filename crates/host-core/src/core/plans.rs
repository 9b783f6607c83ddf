//! Plans that change while the host runs.

use super::Core;
use crate::admin_request::AdminResponse;
use crate::output::Output;
use crate::persist_batch::PersistBatch;
use crate::plans::{AppliedChange, PlanOutcome, PlanRequest, PlanResponse, PlanUpdate, Plans, StoredPlans};
use bytes::Bytes;
use tackmast::interface::{Instant, VolumeId};
use tackmast_membership::CatalogVersion;

impl Core {
    /// Whether clients are to wait until this host knows the newest change of plans. A host that restarts may have outdated plans: a lower
    /// limit may apply by now, which its volumes would exceed.
    pub(super) fn must_wait_for_catalog(&mut self, now: Instant) -> bool {
        if self.consensus.is_some() {
            // A host without a lease is in degraded mode, which covers this.
            return false;
        }
        let Some(plans) = &mut self.plans else { return false };
        let up_to_date = self.peers.as_ref().is_none_or(|peers| peers.member.catalog.is_up_to_date());
        plans.must_wait_for_catalog(now, up_to_date)
    }

    /// Lets plans change while the host runs.
    pub fn enable_plans(&mut self, now: Instant, mut plans: Plans, stored: StoredPlans) {
        let updates = plans.resume();
        if stored == StoredPlans::Nothing {
            let batch =
                PersistBatch { changes: vec![(0, plans.checkpoint_line())], ..PersistBatch::default() };
            self.persist(batch);
        }
        if let Some(peers) = self.peers.as_mut().filter(|_| self.consensus.is_none()) {
            peers.enable_catalog(&plans);
        }
        self.plans = Some(plans);
        self.apply_plan_updates(now, &updates);
        if self.consensus.is_some() {
            // Until it has a lease this host is in degraded mode.
            let updates = self.plans.as_mut().map(Plans::all_updates).unwrap_or_default();
            self.apply_plan_updates(now, &updates);
            self.process_consensus_outputs(now);
        }
    }

    /// The plans that change while the host runs, where there are any.
    pub fn plans(&self) -> Option<&Plans> {
        self.plans.as_ref()
    }

    /// Passes changed plans to the scheduler, and changed limits to the quota leases.
    pub(super) fn apply_plan_updates(&mut self, now: Instant, updates: &[PlanUpdate]) {
        for update in updates {
            match update {
                PlanUpdate::Plan { plan, parameters } => self.scheduler.plan_changed(now, *plan, *parameters),
                PlanUpdate::Volume { name, plan } => {
                    let Some(volume) = self.layout.volume_by_name(name) else { continue };
                    self.layout.set_plan(volume, plan.0);
                    self.scheduler.volume_plan_changed(now, VolumeId(volume as u32), *plan);
                }
            }
        }
        let Some((peers, plans)) = self.peers.as_mut().zip(self.plans.as_ref()) else { return };
        for volume in self.layout.volumes() {
            if let Some(limit) = plans.volume_limit(&volume.name) {
                peers.member.leases.set_limit(volume.lun, limit.limit);
            }
        }
    }

    /// A change applies here: it is replicated to peers.
    pub(super) fn apply_change(&mut self, now: Instant, change: AppliedChange) {
        self.emit(change.event);
        self.apply_plan_updates(now, &change.updates);
        if let Some(peers) = &mut self.peers {
            let (number, digest_prefix) = (change.number, change.digest_prefix);
            let version = CatalogVersion { number, digest_prefix };
            let text = Bytes::from(change.text);
            peers.member.handle_catalog_applied(now, version, text, change.effective_at);
        }
    }

    /// The same for a change of a peer, which this host's store does not have yet.
    pub(super) fn apply_and_persist_change(&mut self, now: Instant, change: AppliedChange) {
        let batch =
            PersistBatch { changes: vec![(change.number, change.text.clone())], ..PersistBatch::default() };
        self.apply_change(now, change);
        self.persist(batch);
    }

    /// A request about plans: answered, or begun to be persisted or proposed.
    pub(super) fn handle_plan_request(&mut self, now: Instant, request: u64, plan_request: PlanRequest) {
        let wall_us = self.wall_us(now);
        if self.consensus.is_some() {
            return self.handle_replicated_plan_request(now, wall_us, request, plan_request);
        }
        // A home that has lost its store would give a new change the number of one that other hosts have applied, and the hosts would
        // have different plans for good. So it takes back what the others have before it accepts a change.
        let writes = matches!(plan_request, PlanRequest::Apply { .. } | PlanRequest::Undo { .. });
        let missing = self.peers.as_ref().and_then(|peers| peers.member.catalog.missing());
        if let Some(missing) = missing.filter(|_| writes) {
            let newest = self.plans.as_ref().map_or(0, Plans::newest_change);
            let why = format!(
                "others go by change {missing}, this host by {newest}; ask again when it has caught up"
            );
            let response = AdminResponse::Plan(PlanResponse::Refused { why });
            return self.respond(request, response);
        }
        let plans = self.plans.as_mut();
        let next = plans.and_then(|plans| plans.handle_request(now, wall_us, request, plan_request));
        match next {
            None => {}
            Some(PlanOutcome::Persist { request, entry }) => {
                let batch = PersistBatch {
                    changes: vec![(entry.number, entry.to_line())],
                    ..PersistBatch::default()
                };
                self.outputs.push_back(Output::Persist { request, batch });
            }
            Some(PlanOutcome::Respond { request, mut response }) => {
                if let (PlanResponse::Shown(status), Some(peers)) = (&mut response, &self.peers) {
                    status.reported_changes = peers.member.catalog.peer_versions().clone();
                }
                self.respond(request, AdminResponse::Plan(response));
            }
        }
    }
}
