//! Logs events of plans.

use crate::event::PlanEvent;
use tracing::info;

/// Writes an event to the log of the process.
pub(super) fn log_plan_event(host: Option<u32>, event: &PlanEvent) {
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
