//! Changes of plans at run time.

use super::Core;
use crate::admin_request::AdminResponse;
use crate::output::Output;
use crate::persist_batch::PersistBatch;
use crate::plans::{AppliedChange, PlanOutcome, PlanRequest, PlanResponse, PlanUpdate, Plans, StoredPlans};
use bytes::Bytes;
use tackmast::interface::{Instant, VolumeId};
use tackmast_membership::CatalogVersion;

impl Core {
    /// Returns whether commands are rejected until this host knows the newest change of plans.
    ///
    /// A host that has restarted may have outdated plans, and its volumes would exceed limits that were lowered meanwhile.
    pub(super) fn must_wait_for_catalog(&mut self, now: Instant) -> bool {
        if self.consensus.is_some() {
            // Degraded mode, which applies while the host has no lease, protects against outdated plans.
            return false;
        }
        let Some(plans) = &mut self.plans else { return false };
        let up_to_date = self.peers.as_ref().is_none_or(|peers| peers.member.catalog.is_up_to_date());
        plans.must_wait_for_catalog(now, up_to_date)
    }

    /// Allows plans to change at run time. `stored` says what the store has of earlier changes.
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
            // This host is in degraded mode until it has a lease.
            let updates = self.plans.as_mut().map(Plans::all_updates).unwrap_or_default();
            self.apply_plan_updates(now, &updates);
            self.process_consensus_outputs(now);
        }
    }

    /// Returns the plans that can change at run time, or `None` if `enable_plans` was not called.
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

    /// Applies a change at this host, and replicates it to peers.
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

    /// Applies a change that a peer sent, and persists it, since this host's store does not have it yet.
    pub(super) fn apply_and_persist_change(&mut self, now: Instant, change: AppliedChange) {
        let batch =
            PersistBatch { changes: vec![(change.number, change.text.clone())], ..PersistBatch::default() };
        self.apply_change(now, change);
        self.persist(batch);
    }

    /// Handles a plan request: answers it, or begins to persist or propose its change.
    pub(super) fn handle_plan_request(&mut self, now: Instant, request: u64, plan_request: PlanRequest) {
        let wall_us = self.wall_us(now);
        if self.consensus.is_some() {
            return self.handle_replicated_plan_request(now, wall_us, request, plan_request);
        }
        // A home host that has lost its store would give a new change a number under which other hosts have applied another change,
        // and the plans of the hosts would differ for good. It therefore fetches the changes that others have before it accepts one.
        let writes = matches!(plan_request, PlanRequest::Apply { .. } | PlanRequest::Undo { .. });
        let missing = self.peers.as_ref().and_then(|peers| peers.member.catalog.missing());
        if let Some(missing) = missing.filter(|_| writes) {
            let newest = self.plans.as_ref().map_or(0, Plans::newest_change);
            let why = format!(
                "other hosts have change {missing}, this host only {newest}; try again when it has caught up"
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
