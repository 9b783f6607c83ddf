//! The records of the audit log, which tells who changed overrides, when and why.

use crate::record::{Override, OverrideId};
use serde::{Deserialize, Serialize};

/// The event that an audit record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditKind {
    /// An override was set.
    Set,
    /// An override was cleared before its end.
    Cleared,
    /// An override reached its end.
    Ended,
    /// An override reached its end while the host was not running.
    EndedAway,
    /// The wall clock of the host was stepped.
    ClockStepped,
    /// An operator forced a change without consensus.
    Forced,
}

/// A record of the audit log, which survives restarts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// The Unix time of the event in microseconds.
    pub at_us: u64,
    /// The kind of event.
    pub kind: AuditKind,
    /// The override that the event is about; none if it is about no single override.
    pub id: Option<OverrideId>,
    /// The person who caused the event; empty if nobody did.
    pub who: String,
    /// A description for people.
    pub what: String,
}

impl Audit {
    /// Returns the record of an override that was set; `forced` tells whether a refusal was overridden.
    pub fn set(record: &Override, forced: bool) -> Audit {
        let mut audit = Audit::of(record.set_us, AuditKind::Set, record, &record.who);
        if forced {
            audit.what += ", forced";
        }
        audit
    }

    /// Returns the record of an override that was cleared by `who`.
    pub fn cleared(at_us: u64, record: &Override, who: &str) -> Audit {
        Audit::of(at_us, AuditKind::Cleared, record, who)
    }

    /// Returns a record that describes an override. `at_us` is the Unix time in microseconds.
    pub(crate) fn of(at_us: u64, kind: AuditKind, record: &Override, who: &str) -> Audit {
        let Override { id, target, kind: override_kind, reason, who: set_by, .. } = record;
        let what = format!("{target} {override_kind}: {reason} (set by {set_by})");
        Audit { at_us, kind, id: Some(*id), who: who.to_owned(), what }
    }
}

/// An override that has reached its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The override, which is no longer active.
    pub record: Override,
    /// The record for the audit log.
    pub audit: Audit,
}
