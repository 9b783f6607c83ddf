//! Changes of plans that the script asks for.

use super::Runner;
use crate::operators::{change_plan, Operators};
use crate::script::admin_socket;
use tackmast_plans::Plan;
use tackmast_trace::{now_us, Event};

impl Runner<'_> {
    /// Asks a host to set a plan's limit and burst to these multiples of the settings, and records from when the change counts.
    pub(super) fn change_plan(
        &mut self,
        name: &str,
        limit_multiple: f64,
        burst_multiple: f64,
        host: Option<u32>,
    ) {
        // A host may apply the change before its acknowledgement arrives here.
        let earliest_us = now_us();
        let settings = &self.script.settings;
        let plan = settings.plans.iter().find(|plan| plan.name == *name);
        let Some((live, plan)) = settings.plans_live.as_ref().zip(plan) else { return };
        let target = Plan {
            limit: plan.limit * limit_multiple,
            burst: plan.burst * burst_multiple,
            slack: plan.slack,
            reserve: plan.reserve,
            weight: plan.weight,
            floor: plan.floor,
        };
        let host = host.unwrap_or(live.home);
        let socket = admin_socket(&self.directory, host);
        let started = self.operators.as_ref().map_or(self.started, Operators::started);
        let record = |operation| {
            if let Some(operators) = &self.operators {
                operators.record(operation);
            }
        };
        let acknowledged = match change_plan(&socket, name, &target, started, record) {
            Ok(acknowledged) => acknowledged,
            Err(error) => return self.fail(format!("a change of plan {name} at host {host}: {error}")),
        };
        if let Some(watcher) = &self.consensus_watcher {
            watcher.change_acknowledged(acknowledged.version, acknowledged.in_force_s);
        }
        let in_force_us = now_us() + (acknowledged.in_force_s * 1e6) as u64;
        let (limit, burst, slack) = (target.limit, target.burst, target.slack);
        for volume in settings.volumes.iter().filter(|v| settings.plans[v.plan as usize].name == *name) {
            let event = Event::PlanMoved { volume: volume.lun, limit, burst, slack, in_force_us };
            self.recorder.note_at(earliest_us, event);
        }
    }
}
