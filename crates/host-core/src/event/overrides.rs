//! Events of overrides: set, cleared, ended, still active, or refused.

use crate::error::PersistError;
use std::fmt::{Display, Formatter, Result};
use tackmast::interface::TimeDelta;
use tackmast_overrides::{Kind, OverrideId, Refusal, Target};

/// A change of an override or the result of a request for one, or a regular report of the active ones.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideEvent {
    /// An override was persisted and applies from now on.
    Set {
        /// The override's id.
        id: OverrideId,
        /// The nodes that the override names.
        target: Target,
        /// The effect on these nodes.
        kind: Kind,
        /// The operator who set it.
        who: String,
        /// The operator's reason.
        reason: String,
        /// The number of nodes whose effective state or weight it changes.
        changed_nodes: usize,
    },
    /// An override could not be persisted, so it does not apply.
    NotWritten {
        /// The nodes that the override names.
        target: Target,
        /// The error of the store.
        error: PersistError,
    },
    /// The clearing of an override was persisted, so it no longer applies.
    Cleared {
        /// The override's id.
        id: OverrideId,
        /// The operator who cleared it.
        who: String,
    },
    /// The clearing of an override could not be persisted, so it still applies.
    ClearingNotWritten {
        /// The override's id.
        id: OverrideId,
        /// The error of the store.
        error: PersistError,
    },
    /// An override has reached its end.
    Ended {
        /// The override's id.
        id: OverrideId,
        /// The nodes that the override named.
        target: Target,
        /// The effect that it had on these nodes.
        kind: Kind,
        /// The operator who set it.
        who: String,
    },
    /// An override applies. This is reported at the start and once an hour.
    Active {
        /// The override's id.
        id: OverrideId,
        /// The nodes that the override names.
        target: Target,
        /// The effect on these nodes.
        kind: Kind,
        /// The time until its end.
        time_left: TimeDelta,
        /// The operator who set it.
        who: String,
        /// The operator's reason.
        reason: String,
    },
    /// More overrides apply than `Active` events report.
    MoreActive {
        /// The number of overrides that are not reported one by one.
        count: usize,
    },
    /// This host refuses an override that was set at another host.
    PeerOverrideRefused {
        /// The reason.
        refusal: Refusal,
    },
    /// The wall clock was stepped. The remaining time of overrides does not change.
    WallClockStepped {
        /// The size of the step; positive if the clock moved forwards.
        moved_by: TimeDelta,
    },
}

impl OverrideEvent {
    /// Returns the message, which is the same for every event of its kind.
    pub fn message(&self) -> &'static str {
        match self {
            OverrideEvent::Set { .. } => "override set",
            OverrideEvent::NotWritten { .. } => "override not written",
            OverrideEvent::Cleared { .. } => "override cleared",
            OverrideEvent::ClearingNotWritten { .. } => "override remains: clearing it was not written",
            OverrideEvent::Ended { .. } => "override ended",
            OverrideEvent::Active { .. } => "override active",
            OverrideEvent::MoreActive { .. } => "more overrides are active",
            OverrideEvent::PeerOverrideRefused { .. } => "a peer's override is rejected here",
            OverrideEvent::WallClockStepped { .. } => {
                "the wall clock moved; overrides keep their running time"
            }
        }
    }
}

/// Formats the event as one line: the message, then `name=value` for each field. Times are in seconds.
impl Display for OverrideEvent {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        out.write_str(self.message())?;
        match self {
            OverrideEvent::Set { id, target, kind, who, reason, changed_nodes } => write!(
                out,
                " override={} target={target} kind=\"{kind}\" who={who:?} reason={reason:?} changed_nodes={changed_nodes}",
                id.0
            ),
            OverrideEvent::NotWritten { target, error } => {
                write!(out, " target={target} error={:?}", error.to_string())
            }
            OverrideEvent::Cleared { id, who } => write!(out, " override={} who={who:?}", id.0),
            OverrideEvent::ClearingNotWritten { id, error } => {
                write!(out, " override={} error={:?}", id.0, error.to_string())
            }
            OverrideEvent::Ended { id, target, kind, who } => {
                write!(out, " override={} target={target} kind=\"{kind}\" who={who:?}", id.0)
            }
            OverrideEvent::Active { id, target, kind, time_left, who, reason } => write!(
                out,
                " override={} target={target} kind=\"{kind}\" time_left_secs={:.0} who={who:?} reason={reason:?}",
                id.0,
                time_left.secs()
            ),
            OverrideEvent::MoreActive { count } => write!(out, " count={count}"),
            OverrideEvent::PeerOverrideRefused { refusal } => {
                write!(out, " reason={:?}", refusal.to_string())
            }
            OverrideEvent::WallClockStepped { moved_by } => {
                write!(out, " moved_by_secs={:.3}", moved_by.secs())
            }
        }
    }
}
