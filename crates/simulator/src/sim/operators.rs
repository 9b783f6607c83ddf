//! Operators: overrides and changes of plans, and what hosts persist of them.

use super::event::Event;
use super::{Mutant, Sim, Us, LIMITED_LUN, LIMITED_VOLUME};
use tackmast_host_core::{AdminRequest, AdminResponse, PersistBatch, PlanRequest, PlanResponse, VolumeLimit};
use tackmast_overrides::{Kind, Override, OverrideRequest, Target};

/// From a change of plans until all hosts must have adopted it, in seconds.
pub(super) const PLANS_SETTLE_S: f64 = 1.5;
/// The host that takes changes of plans.
const HOME: u32 = 0;
/// The limit that `Mutant::PlanIgnored` reports, as a fraction of the one in force.
const MUTANT_LIMIT_FRACTION: f64 = 0.3;

impl Sim<'_> {
    /// Sets an override on a node, at one host or at all.
    pub(super) fn set_override(&mut self, host: Option<u32>, node_index: u32, kind: Kind, duration: Us) {
        let Ok(address) = self.nodes[node_index as usize].address.parse() else { return };
        let (reason, who, seconds) = ("drawn".into(), "lab".into(), duration as f64 / 1e6);
        let override_request =
            OverrideRequest { target: Target::Node(address), kind, reason, who, seconds, origin: None };
        for host_index in (0..self.world.hosts).filter(|index| host.is_none_or(|host| host == *index)) {
            if !self.is_running(host_index) {
                continue;
            }
            let (now, override_request) = (self.steady_clock(host_index), override_request.clone());
            // Each shard has one node here: taking it out of service needs force.
            let request =
                AdminRequest::Set { override_request, force: true, dry_run: false, if_version: None };
            if let Some(core) = self.hosts[host_index as usize].core.core() {
                core.handle_admin_request(now, 1, request);
            }
            self.poll_host(host_index);
        }
    }

    /// A host persists a batch, which takes no time.
    pub(super) fn persist(&mut self, host_index: u32, request: u64, batch: PersistBatch) {
        let persisted = &mut self.persisted[host_index as usize];
        for record in batch.put {
            persisted.next_override = persisted.next_override.max(record.id.0 + 1);
            persisted.overrides.insert(record.id, record);
        }
        for id in &batch.remove {
            persisted.overrides.remove(id);
        }
        if let Some(members) = batch.members {
            persisted.peers = members.peers;
        }
        for (number, line) in batch.changes {
            persisted.plan_changes.insert(number, line);
            self.plan_adoption.entry(number).or_default().entry(host_index).or_insert(self.now);
        }
        let now = self.steady_clock(host_index);
        if let Some(core) = self.hosts[host_index as usize].core.core().filter(|_| request > 0) {
            core.handle_persisted(now, request, Ok(()));
        }
    }

    /// A host responds to a request of operators.
    pub(super) fn on_admin_response(&mut self, host: u32, response: AdminResponse) {
        match response {
            AdminResponse::Set { record, preview, dry_run: false } => {
                self.run.orders.0 += 1;
                if record.kind == Kind::OutOfService {
                    let nodes = preview.changes.iter().map(|(node, _, _)| node.to_string()).collect();
                    self.record_out_of_service(host, &record, nodes);
                }
            }
            AdminResponse::Refused(_) => self.run.orders.1 += 1,
            AdminResponse::Plan(PlanResponse::Applied { number, .. }) => {
                self.record_plan_change(host, number);
            }
            _ => {}
        }
    }

    fn record_out_of_service(&mut self, host: u32, record: &Override, nodes: Vec<String>) {
        let duration = record.ends_us.saturating_sub(record.set_us);
        // The override ends by the host's steady clock, which may be a little fast.
        let max_early = (duration as f64 * self.world.drift) as Us;
        for node in nodes {
            self.record(tackmast_trace::Event::Ordered { host, node: node.clone(), out: true });
            self.schedule(self.now + duration - max_early, Event::OverrideEnded { host, node });
        }
    }

    fn record_plan_change(&mut self, host: u32, number: u64) {
        let core = self.hosts[host as usize].core.core();
        let limit = core.and_then(|core| core.plans()).and_then(|plans| plans.volume_limit(LIMITED_VOLUME));
        let Some(VolumeLimit { limit, burst, slack }) = limit else { return };
        let is_ignored = self.mutant == Some(Mutant::PlanIgnored);
        let limit = if is_ignored { limit * MUTANT_LIMIT_FRACTION } else { limit };
        self.acknowledged_plans.insert(number, self.run.trace.len());
        let in_force_us = self.now + (PLANS_SETTLE_S * 1e6) as Us;
        let volume = LIMITED_LUN;
        self.record(tackmast_trace::Event::PlanMoved { volume, limit, burst, slack, in_force_us });
    }

    /// Asks the host that takes changes to set the limited volume's plan to multiples of what the settings say.
    pub(super) fn change_plan(&mut self, limit_multiple: f64, burst_multiple: f64) {
        if !self.is_running(HOME) {
            return;
        }
        let now = self.steady_clock(HOME);
        let plan = &self.settings[HOME as usize].plans[0];
        let (name, weight) = (plan.name.clone(), plan.weight);
        let to = tackmast_plans::Plan {
            limit: plan.limit * limit_multiple,
            burst: plan.burst * burst_multiple,
            slack: plan.slack,
            reserve: plan.reserve,
            weight,
            floor: plan.floor,
        };
        let Some(core) = self.hosts[HOME as usize].core.core() else { return };
        let Some(plans) = core.plans() else { return };
        let base = plans.status(now).catalogue.version;
        let steps = vec![tackmast_plans::Step::Plan { name, to: Some(to) }];
        let change = tackmast_plans::Change { base, steps, who: "lab".into(), why: "drawn".into() };
        core.handle_admin_request(now, 1, AdminRequest::Plan(PlanRequest::Apply { change, dry_run: false }));
        self.poll_host(HOME);
    }

    /// Records when each change of plans was in force: once all hosts that serve its volume have adopted it or a later
    /// one. A host that was partitioned off adopts it late, and applies the former plan until then.
    pub(super) fn record_plan_convergence(&mut self) {
        let host_count = self.limited_host_count();
        for (number, line_index) in &self.acknowledged_plans {
            let adopted_at = |host: u32| {
                let adoptions = self.plan_adoption.range(number..);
                adoptions.filter_map(|(_, by_host)| by_host.get(&host)).min().copied().unwrap_or(Us::MAX)
            };
            let last = (0..host_count).map(adopted_at).max().unwrap_or(0);
            let Some(line) = self.run.trace.get_mut(*line_index) else { continue };
            if let tackmast_trace::Event::PlanMoved { in_force_us, .. } = &mut line.event {
                self.run.plans.0 += 1;
                self.run.plans.1 += u64::from(last <= *in_force_us);
                *in_force_us = (*in_force_us).max(last).min(self.now);
            }
        }
    }
}
