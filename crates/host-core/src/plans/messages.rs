//! Requests of operators about plans, and the responses. Both are JSON on the admin socket; a `rename` attribute keeps the name that scripts
//! of operators know.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tackmast_plans::{Catalogue, Change, Fleet};

/// A request of an operator about plans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanRequest {
    /// Requests the plans that apply.
    Show,
    /// Applies a change.
    Apply {
        /// The change, with the version it was made on.
        change: Change,
        /// Whether the host only reports what would change.
        dry_run: bool,
    },
    /// Undoes a change.
    Undo {
        /// The number of the change to undo.
        number: u64,
        /// The operator, for the change log.
        who: String,
        /// The reason, for the change log.
        why: String,
        /// Whether the host only reports what would change.
        dry_run: bool,
    },
    /// Requests the change log in its stored form.
    Log,
}

/// The response to a `PlanRequest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanResponse {
    /// The plans that apply.
    Shown(Box<PlanStatus>),
    /// The change applies, or would in a dry run.
    Applied {
        /// The number of the change.
        number: u64,
        /// The version of the plans after the change.
        version: u64,
        /// The differences between the plans before and after the change, one a line.
        lines: Vec<String>,
        /// Seconds until the change applies at all hosts.
        in_force_s: f64,
        /// Whether this was a dry run, which changes nothing.
        dry_run: bool,
    },
    /// The request was refused. Usually nothing has changed; a proposal without a result in time may still be committed later.
    Refused {
        /// The reason.
        why: String,
    },
    /// The change log.
    Log {
        /// The lines of the log: the checkpoint, then one for each change.
        text: String,
        /// The fleet that the changes were validated against, with which the log can be verified.
        fleet: Fleet,
    },
}

/// The plans of a host, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanStatus {
    /// The host's number.
    pub host: u32,
    /// The number of the host that accepts changes if the fleet does not use consensus.
    pub home: u32,
    /// The number of the newest change.
    pub number: u64,
    /// The digest of the newest change and all before it, in hexadecimal.
    pub digest: String,
    /// Seconds until the newest change applies at all hosts.
    pub in_force_s: f64,
    /// Seconds from the acceptance of a change until it applies at all hosts.
    pub settle_s: f64,
    /// The plans, volumes and traffic classes.
    pub catalogue: Catalogue,
    /// The fleet that changes are validated against.
    pub fleet: Fleet,
    /// Whether clients are rejected, with a retry-after, until this host knows the newest change.
    #[serde(rename = "waits")]
    pub clients_wait: bool,
    /// By host number, the number of the newest change that the host reported to apply. With consensus: the index of the last log entry
    /// that the host reported to have stored.
    #[serde(rename = "at")]
    pub reported_changes: BTreeMap<u32, u64>,
    /// With consensus: whether this host could not find out if there is a newer change.
    #[serde(default)]
    pub stale: bool,
}
