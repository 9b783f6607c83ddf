//! Logs events of the scheduler.

use tackmast::interface::SchedulerEvent;
use tracing::info;

/// Writes an event to the log of the process. `node` is the address of the node that the event is about.
pub(super) fn log_scheduler_event(host: Option<u32>, node: Option<&str>, event: &SchedulerEvent) {
    let message = event.message();
    match event {
        SchedulerEvent::NodeUnhealthy { successes, failures, .. }
        | SchedulerEvent::NodeHealthy { successes, failures, .. } => {
            info!(host, node, successes, failures, "{message}");
        }
        SchedulerEvent::NodeRestarted { uptime, .. } => {
            info!(host, node, uptime_secs = uptime.secs(), "{message}");
        }
        SchedulerEvent::AttemptLossBegan { lost, answered }
        | SchedulerEvent::AttemptLossEnded { lost, answered } => {
            info!(host, lost, answered, "{message}");
        }
        SchedulerEvent::EndpointListUnavailable { failures, retry_in } => {
            info!(host, failures, retry_in_secs = retry_in.secs(), "{message}");
        }
        SchedulerEvent::EndpointListRecovered { failures } => info!(host, failures, "{message}"),
    }
}
