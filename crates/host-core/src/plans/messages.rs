//! Requests of operators about plans, and the answers.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tackmast_plans::{Catalogue, Change, Fleet};

/// What an operator asks about plans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanRequest {
    /// The plans that apply.
    Show,
    /// Apply a change.
    Apply {
        /// The change.
        change: Change,
        /// Whether to report only what would change.
        dry_run: bool,
    },
    /// Take a change back.
    Undo {
        /// Its number.
        number: u64,
        /// Who asks.
        who: String,
        /// For what reason.
        why: String,
        /// Whether to report only what would change.
        dry_run: bool,
    },
    /// The change log, as it is stored.
    Log,
}

/// The answer to a `PlanRequest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanResponse {
    /// The plans that apply.
    Shown(Box<PlanStatus>),
    /// The change applies, or would.
    Applied {
        /// Its number.
        number: u64,
        /// The version that it makes.
        version: u64,
        /// What changes, line by line.
        lines: Vec<String>,
        /// Seconds until it applies at all hosts.
        in_force_s: f64,
        /// Whether it was only tried.
        dry_run: bool,
    },
    /// Nothing was changed.
    Refused {
        /// Why not.
        why: String,
    },
    /// The change log.
    Log {
        /// Its lines.
        text: String,
        /// What changes are checked against.
        fleet: Fleet,
    },
}

/// The plans of a host as operators see them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanStatus {
    /// The host.
    pub host: u32,
    /// The host that accepts changes, where there is no consensus.
    pub home: u32,
    /// The number of the newest change.
    pub number: u64,
    /// Its digest.
    pub digest: String,
    /// Seconds until it applies at all hosts.
    pub in_force_s: f64,
    /// Seconds until a new change applies at all hosts.
    pub settle_s: f64,
    /// The plans, volumes and traffic classes.
    pub catalogue: Catalogue,
    /// What changes are checked against.
    pub fleet: Fleet,
    /// Whether clients wait until the newest change is known.
    #[serde(rename = "waits")]
    pub clients_wait: bool,
    /// By host, the change that it last reported to apply.
    #[serde(rename = "at")]
    pub reported_changes: BTreeMap<u32, u64>,
    /// With consensus: this host could not find out whether there is a newer one.
    #[serde(default)]
    pub stale: bool,
}
