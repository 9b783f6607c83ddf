//! The audit log of overrides.

use crate::record::{Override, OverrideId};
use serde::{Deserialize, Serialize};

/// What an audit record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditKind {
    /// An override was set.
    Set,
    /// An override was cleared by somebody.
    Cleared,
    /// An override came to its end.
    Ended,
    /// Its end came while the host was not running.
    EndedAway,
    /// The wall clock was stepped.
    ClockStepped,
    /// An operator forced something past consensus.
    Forced,
}

/// A record of the audit log, which survives restarts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// When, in Unix time in microseconds.
    pub at_us: u64,
    /// What it is about.
    pub kind: AuditKind,
    /// The override, where it is about one.
    pub id: Option<OverrideId>,
    /// Who did it; empty: nobody.
    pub who: String,
    /// What happened, for people.
    pub what: String,
}

impl Audit {
    /// An override was set, perhaps by force.
    pub fn set(record: &Override, forced: bool) -> Audit {
        let mut audit = Audit::of(record.set_us, AuditKind::Set, record, &record.who);
        if forced {
            audit.what += ", forced";
        }
        audit
    }

    /// An override was cleared by `who`.
    pub fn cleared(at_us: u64, record: &Override, who: &str) -> Audit {
        Audit::of(at_us, AuditKind::Cleared, record, who)
    }

    pub(crate) fn of(at_us: u64, kind: AuditKind, record: &Override, who: &str) -> Audit {
        let Override { id, target, kind: override_kind, reason, who: set_by, .. } = record;
        let what = format!("{target} {override_kind}: {reason} (set by {set_by})");
        Audit { at_us, kind, id: Some(*id), who: who.to_owned(), what }
    }
}

/// An override that has come to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The override.
    pub record: Override,
    /// What the audit log gets.
    pub audit: Audit,
}
