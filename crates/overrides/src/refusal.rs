//! Why a requested override is refused, and what it would do.

use crate::precedence::OverrideEffect;
use crate::record::OverrideId;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Why a requested override is refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A value of the request is not allowed.
    Value {
        /// Which.
        what: String,
        /// The value.
        found: String,
        /// What would be allowed.
        expected: String,
    },
    /// As many overrides are active as may be.
    TooMany {
        /// That many.
        most: usize,
    },
    /// It would leave a shard without a node in service.
    LastOfShard {
        /// The shard.
        shard: u32,
        /// Its nodes in service.
        nodes: Vec<String>,
    },
    /// It would take too much of a zone out.
    TooMuchOfZone {
        /// The zone.
        zone: u32,
        /// Nodes that would be out of service.
        out: usize,
        /// Of so many.
        of: usize,
        /// The fraction that is allowed.
        #[serde(rename = "most_part")]
        max_part: f64,
    },
    /// Others have changed something since that version.
    Moved {
        /// The version that the request was made on.
        asked: u64,
        /// The version now.
        now: u64,
        /// What changed in between, as far as it is remembered.
        changes: Vec<String>,
    },
    /// No such override is active.
    Unknown {
        /// The number asked for.
        id: OverrideId,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Value { what, found, expected } => write!(formatter, "{what}: {found}; expected {expected}"),
            Refusal::TooMany { most } => write!(formatter, "{most} overrides stand, which is the most; clear some first"),
            Refusal::LastOfShard { shard, nodes } => {
                write!(formatter, "shard {shard} would have no node in service ({}); force it if that is meant", nodes.join(", "))
            }
            Refusal::TooMuchOfZone { zone, out, of, max_part } => write!(
                formatter,
                "{out} of {of} nodes of zone {zone} would be out of service; at most {max_part} of them without force"
            ),
            Refusal::Moved { asked, now, changes } => {
                write!(formatter, "version {asked} was asked for, and {now} holds; since then: {}", changes.join("; "))
            }
            Refusal::Unknown { id } => write!(formatter, "override {}: none such stands", id.0),
        }
    }
}

/// What a requested override would do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Preview {
    /// The version of the overrides that it was checked against.
    pub version: u64,
    /// Listed nodes for which the effect changes: address, before, after.
    pub changes: Vec<(SocketAddr, OverrideEffect, OverrideEffect)>,
    /// Listed nodes that it names, changed or not.
    pub named: usize,
    /// What it would be refused for without force.
    pub forced_past: Option<Refusal>,
}
