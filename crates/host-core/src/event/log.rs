//! The edge between events and the log of the process: each event becomes an event of `tracing` with the same fields.
//!
//! The shells of the core call `log_event` for each event that they poll. Times are in seconds.

use super::{EndpointListEvent, HostEvent, OverrideEvent, PlanEvent};
use crate::nodes::Nodes;
use tackmast::interface::{Decision, SchedulerEvent};
use tracing::{debug, info};

/// Writes an event to the log of the process. `host` is the number of the host, where hosts have one; `nodes` gives the address of
/// the node that the event is about.
pub fn log_event(host: Option<u32>, nodes: &Nodes, event: &HostEvent) {
    let message = event.message();
    match event {
        HostEvent::Scheduler(event) => {
            log_scheduler_event(host, event.node().and_then(|node| nodes.address(node)), event);
        }
        HostEvent::Consensus(event) => info!(host, event = %event, "{message}"),
        HostEvent::ConsensusWriteFailed { error } => info!(host, %error, "{message}"),
        HostEvent::Membership { text } => info!(host, event = text, "{message}"),
        HostEvent::EndpointList(event) => log_endpoint_list_event(host, event),
        HostEvent::Override(event) => log_override_event(host, event),
        HostEvent::Plan(event) => log_plan_event(host, event),
    }
}

fn log_scheduler_event(host: Option<u32>, node: Option<&str>, event: &SchedulerEvent) {
    let message = event.message();
    match event {
        SchedulerEvent::NodeUnhealthy { successes, failures, .. }
        | SchedulerEvent::NodeHealthy { successes, failures, .. } => {
            info!(host, node, successes, failures, "{message}");
        }
        SchedulerEvent::NodeRestarted { uptime, .. } => {
            info!(host, node, uptime_secs = uptime.secs(), "{message}");
        }
        SchedulerEvent::AttemptsLost { lost, answered }
        | SchedulerEvent::AttemptsArrive { lost, answered } => {
            info!(host, lost, answered, "{message}");
        }
        SchedulerEvent::NodeListUnavailable { failures, retry_in } => {
            info!(host, failures, retry_in_secs = retry_in.secs(), "{message}");
        }
        SchedulerEvent::NodeListRecovered { failures } => info!(host, failures, "{message}"),
    }
}

fn log_endpoint_list_event(host: Option<u32>, event: &EndpointListEvent) {
    let message = event.message();
    match event {
        EndpointListEvent::NodeTableFull { address } => info!(host, address, "{message}"),
        EndpointListEvent::PeerListRolledBack { from, to, kept_for } => {
            info!(host, from, to, kept_for_secs = kept_for.secs(), "{message}");
        }
        EndpointListEvent::NodeRemovedByPeer { address, is_gone, version } => {
            info!(host, address, is_gone, version, "{message}");
        }
        EndpointListEvent::PeerRemovalsFull { max } => info!(host, max, "{message}"),
    }
}

fn log_override_event(host: Option<u32>, event: &OverrideEvent) {
    let message = event.message();
    match event {
        OverrideEvent::Set { id, target, kind, who, reason, changed_nodes } => {
            info!(host, override = id.0, %target, %kind, who, reason, changed_nodes, "{message}");
        }
        OverrideEvent::NotWritten { target, error } => info!(host, %target, %error, "{message}"),
        OverrideEvent::Cleared { id, who } => info!(host, override = id.0, who, "{message}"),
        OverrideEvent::ClearingNotWritten { id, error } => {
            info!(host, override = id.0, %error, "{message}");
        }
        OverrideEvent::Ended { id, target, kind, who } => {
            info!(host, override = id.0, %target, %kind, who, "{message}");
        }
        OverrideEvent::Active { id, target, kind, time_left, who, reason } => {
            let time_left_secs = time_left.secs();
            info!(host, override = id.0, %target, %kind, time_left_secs, who, reason, "{message}");
        }
        OverrideEvent::MoreActive { count } => info!(host, count, "{message}"),
        OverrideEvent::PeerOverrideRefused { refusal } => info!(host, reason = %refusal, "{message}"),
        OverrideEvent::WallClockStepped { moved_by } => {
            info!(host, moved_by_secs = moved_by.secs(), "{message}");
        }
    }
}

fn log_plan_event(host: Option<u32>, event: &PlanEvent) {
    let message = event.message();
    match event {
        PlanEvent::ChangeApplied { change, who, reason, updates } => {
            info!(host, change, who, reason, updates, "{message}");
        }
        PlanEvent::ChangeRejected { change, error } => info!(host, change, error, "{message}"),
        PlanEvent::StoredOnAllHosts { version } => info!(host, version, "{message}"),
        PlanEvent::SnapshotUnreadable { error } => info!(host, error, "{message}"),
    }
}

/// Writes at the level `debug` why a request was rejected or failed. Other decisions are not written.
pub(crate) fn log_final_answer(decision: &Decision) {
    match decision {
        Decision::Reject { request, retry_after, reason } => {
            let retry_after_secs = retry_after.map(|wait| wait.secs());
            debug!(request = request.0, ?reason, retry_after_secs, "request rejected");
        }
        Decision::Fail { request, reason } => debug!(request = request.0, ?reason, "request failed"),
        Decision::Send { .. } | Decision::FollowList | Decision::Event(_) => {}
    }
}
