//! Events of overrides: set, cleared, ended, still active, or refused.

use crate::error::PersistError;
use std::fmt::{Display, Formatter, Result};
use tackmast::interface::TimeDelta;
use tackmast_overrides::{Kind, OverrideId, Refusal, Target};

/// What became of an override, or which are active.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideEvent {
    /// An override was persisted and applies from now on.
    Set {
        /// Its number.
        id: OverrideId,
        /// The nodes that it names.
        target: Target,
        /// What it does to them.
        kind: Kind,
        /// Who set it.
        who: String,
        /// For what reason.
        reason: String,
        /// Nodes that are treated otherwise by it.
        changed_nodes: usize,
    },
    /// An override could not be persisted, so it does not apply.
    NotWritten {
        /// The nodes that it names.
        target: Target,
        /// Why not.
        error: PersistError,
    },
    /// An override was cleared, which is persisted.
    Cleared {
        /// Its number.
        id: OverrideId,
        /// Who cleared it.
        who: String,
    },
    /// The clearing of an override could not be persisted, so it still applies.
    ClearingNotWritten {
        /// Its number.
        id: OverrideId,
        /// Why not.
        error: PersistError,
    },
    /// The time of an override is over.
    Ended {
        /// Its number.
        id: OverrideId,
        /// The nodes that it named.
        target: Target,
        /// What it did to them.
        kind: Kind,
        /// Who set it.
        who: String,
    },
    /// An override applies; reported at the start and each hour.
    Active {
        /// Its number.
        id: OverrideId,
        /// The nodes that it names.
        target: Target,
        /// What it does to them.
        kind: Kind,
        /// Until its end.
        time_left: TimeDelta,
        /// Who set it.
        who: String,
        /// For what reason.
        reason: String,
    },
    /// More overrides apply than are reported one by one.
    MoreActive {
        /// How many more.
        count: usize,
    },
    /// An override that was set at another host is refused here.
    PeerOverrideRefused {
        /// Why.
        refusal: Refusal,
    },
    /// The wall clock was stepped; overrides end when they would have without that.
    WallClockStepped {
        /// How far it moved, forwards if positive.
        moved_by: TimeDelta,
    },
}

impl OverrideEvent {
    /// The message, the same for every event of its kind.
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

/// One line: the message, then `name=value` for each field; times in seconds.
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
