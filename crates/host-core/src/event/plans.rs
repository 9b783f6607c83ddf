//! Events of plans that change while the host runs.

use std::fmt::{Display, Formatter, Result};
use tackmast_plans::Entry;

/// What became of a change of plans, or of what a peer sent of them.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanEvent {
    /// A change applies at this host from now on.
    ChangeApplied {
        /// The number of the change.
        change: u64,
        /// Who made it.
        who: String,
        /// For what reason.
        reason: String,
        /// Plans and volumes that it moves here.
        updates: usize,
    },
    /// A change that a peer sent, or that was committed, does not follow what this host has.
    ChangeRejected {
        /// The number of the change, where its sender gave one.
        change: Option<u64>,
        /// Why.
        error: String,
    },
    /// All hosts have stored a version, so none uses higher fallback limits of before it any more.
    StoredOnAllHosts {
        /// The version.
        version: u64,
    },
    /// The leader's snapshot can't be read; the plans stay as they are.
    SnapshotUnreadable {
        /// Why.
        error: String,
    },
}

impl PlanEvent {
    /// This entry of the change log applies from now on, and moves so many plans and volumes.
    pub(crate) fn change_applied(entry: &Entry, updates: usize) -> Self {
        PlanEvent::ChangeApplied {
            change: entry.number,
            who: entry.change.who.clone(),
            reason: entry.change.why.clone(),
            updates,
        }
    }

    /// The message, the same for every event of its kind.
    pub fn message(&self) -> &'static str {
        match self {
            PlanEvent::ChangeApplied { .. } => "plans: change applied",
            PlanEvent::ChangeRejected { .. } => "plans: change rejected",
            PlanEvent::StoredOnAllHosts { .. } => "plans: stored on all hosts: lower fallback limits apply",
            PlanEvent::SnapshotUnreadable { .. } => "plans: snapshot not readable",
        }
    }
}

/// One line: the message, then `name=value` for each field.
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
