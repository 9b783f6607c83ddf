//! Logs events of overrides.

use crate::event::OverrideEvent;
use tracing::info;

/// Writes an event to the log of the process.
pub(super) fn log_override_event(host: Option<u32>, event: &OverrideEvent) {
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
