//! Writes events to the log of the process: each becomes an event of `tracing` with the same fields.
//!
//! The processes that drive the core call `log_event` for each event that they poll. Times are in seconds. In every event the field `host`
//! is the number of this host.

mod consensus;
mod endpoint_list;
mod membership;
mod overrides;
mod plans;
mod scheduler;

use super::HostEvent;
use crate::nodes::Nodes;
use consensus::log_consensus_event;
use endpoint_list::log_endpoint_list_event;
use membership::log_membership_event;
use overrides::log_override_event;
use plans::log_plan_event;
use scheduler::log_scheduler_event;
use tackmast::interface::Decision;
use tracing::{debug, field, info};

/// Writes an event to the log of the process. `host` is the number of this host, or `None` if hosts have no numbers. `nodes` provides the
/// address of the node that the event is about.
pub fn log_event(host: Option<u32>, nodes: &Nodes, event: &HostEvent) {
    match event {
        HostEvent::Scheduler(event) => {
            let address = event.node().and_then(|node| nodes.address(node));
            log_scheduler_event(host, address, event);
        }
        HostEvent::Consensus(event) => log_consensus_event(host, event),
        HostEvent::ConsensusWriteFailed { error } => info!(host, %error, "{}", event.message()),
        HostEvent::Membership(event) => log_membership_event(host, event),
        HostEvent::EndpointList(event) => log_endpoint_list_event(host, event),
        HostEvent::Override(event) => log_override_event(host, event),
        HostEvent::Plan(event) => log_plan_event(host, event),
    }
}

/// Logs at the level `debug` why a request was rejected or failed. Other decisions are not logged.
pub(crate) fn log_final_answer(decision: &Decision) {
    match decision {
        Decision::Reject { request, retry_after, reason } => {
            let retry_after_secs = retry_after.map(|wait| wait.secs());
            let held_by = reason.held_by().map(field::debug);
            debug!(
                request = request.0,
                reason = reason.name(),
                held_by,
                retry_after_secs,
                "request rejected"
            );
        }
        Decision::Fail { request, reason } => {
            let held_by = reason.held_by().map(field::debug);
            debug!(request = request.0, reason = reason.name(), held_by, "request failed");
        }
        Decision::Send { .. } | Decision::WatchEndpointList | Decision::Event(_) => {}
    }
}
