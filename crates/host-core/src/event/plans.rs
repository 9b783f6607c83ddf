//! Events of plans that change while the host runs.

use std::fmt::{Display, Formatter, Result};
use tackmast_plans::Entry;

/// The result of a change of plans, or of replicating plans from peers.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanEvent {
    /// A change applies at this host from now on.
    ChangeApplied {
        /// The number of the change.
        change: u64,
        /// The operator who made the change.
        who: String,
        /// The operator's reason.
        reason: String,
        /// The number of plans and volumes that the change affects at this host.
        updates: usize,
    },
    /// A change that a peer sent, or that was committed, can't be applied to the plans of this host.
    ChangeRejected {
        /// The number of the change; `None` for a committed change, which gets its number when it applies.
        change: Option<u64>,
        /// The reason.
        error: String,
    },
    /// All hosts have stored a version, so no host uses the higher fallback limits of earlier versions any more.
    StoredOnAllHosts {
        /// The version.
        version: u64,
    },
    /// A snapshot of the replicated log can't be read, so the plans stay unchanged.
    SnapshotUnreadable {
        /// The reason.
        error: String,
    },
}

impl PlanEvent {
    /// Creates the event for an entry of the change log that affects `updates` plans and volumes.
    pub(crate) fn change_applied(entry: &Entry, updates: usize) -> Self {
        PlanEvent::ChangeApplied {
            change: entry.number,
            who: entry.change.who.clone(),
            reason: entry.change.why.clone(),
            updates,
        }
    }

    /// Returns the message, which is the same for every event of its kind.
    pub fn message(&self) -> &'static str {
        match self {
            PlanEvent::ChangeApplied { .. } => "plans: change applied",
            PlanEvent::ChangeRejected { .. } => "plans: change rejected",
            PlanEvent::StoredOnAllHosts { .. } => "plans: stored on all hosts: lower fallback limits apply",
            PlanEvent::SnapshotUnreadable { .. } => "plans: snapshot not readable",
        }
    }
}

/// Formats the event as one line: the message, then `name=value` for each field.
impl Display for PlanEvent {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        out.write_str(self.message())?;
        match self {
            PlanEvent::ChangeApplied { change, who, reason, updates } => {
                write!(out, " change={change} who={who:?} reason={reason:?} updates={updates}")
            }
            PlanEvent::ChangeRejected { change, error } => {
                if let Some(change) = change {
                    write!(out, " change={change}")?;
                }
                write!(out, " error={error:?}")
            }
            PlanEvent::StoredOnAllHosts { version } => write!(out, " version={version}"),
            PlanEvent::SnapshotUnreadable { error } => write!(out, " error={error:?}"),
        }
    }
}
