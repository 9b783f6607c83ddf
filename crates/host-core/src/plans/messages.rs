//! What operators ask about plans, and the answers.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tackmast_plans::{Catalogue, Change, Fleet};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanRequest {
    Show,
    Apply {
        change: Change,
        dry_run: bool,
    },
    Undo {
        number: u64,
        who: String,
        why: String,
        dry_run: bool,
    },
    /// The trail, as it is kept.
    Log,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanResponse {
    Shown(Box<PlanStatus>),
    Applied {
        number: u64,
        version: u64,
        /// What moves, line by line.
        lines: Vec<String>,
        in_force_s: f64,
        dry_run: bool,
    },
    Refused {
        why: String,
    },
    Log {
        text: String,
        fleet: Fleet,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanStatus {
    pub host: u32,
    pub home: u32,
    pub number: u64,
    pub digest: String,
    pub in_force_s: f64,
    pub settle_s: f64,
    pub catalogue: Catalogue,
    pub fleet: Fleet,
    /// Whether clients wait for word of the newest change.
    #[serde(rename = "waits")]
    pub clients_wait: bool,
    /// By host, the change that it last said it goes by.
    pub at: BTreeMap<u32, u64>,
    /// Hosts agree on changes, and this one could not ask whether there is a newer one.
    #[serde(default)]
    pub stale: bool,
}
