//! Why a requested override is refused, and the preview of its effects.

use crate::precedence::OverrideEffect;
use crate::record::OverrideId;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The reason why a requested override is refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A value of the request is out of range.
    Value {
        /// The name of the field.
        what: String,
        /// The value that was found, as text.
        found: String,
        /// The values that are allowed, for people.
        expected: String,
    },
    /// The maximum number of overrides is active already.
    TooMany {
        /// The maximum number.
        most: usize,
    },
    /// The override would leave a shard without a node in service.
    LastOfShard {
        /// The shard.
        shard: u32,
        /// The addresses of the shard's nodes that are in service now.
        nodes: Vec<String>,
    },
    /// The override would take too many nodes of a zone out of service.
    TooMuchOfZone {
        /// The zone.
        zone: u32,
        /// The number of nodes that would be out of service.
        out: usize,
        /// The number of ready nodes in the zone.
        of: usize,
        /// The fraction that may be out of service without force, from 0 to 1.
        #[serde(rename = "most_part")]
        max_part: f64,
    },
    /// The overrides have changed since the version that the request was based on.
    Moved {
        /// The version that the request was based on.
        asked: u64,
        /// The current version.
        now: u64,
        /// The changes since then, as far as they are still kept; oldest first.
        changes: Vec<String>,
    },
    /// No override with this number is active.
    Unknown {
        /// The number in the request.
        id: OverrideId,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Value { what, found, expected } => write!(formatter, "{what}: {found}; expected {expected}"),
            Refusal::TooMany { most } => write!(formatter, "{most} overrides are active, which is the maximum; clear some first"),
            Refusal::LastOfShard { shard, nodes } => {
                write!(formatter, "shard {shard} would have no node in service ({}); use force if this is intended", nodes.join(", "))
            }
            Refusal::TooMuchOfZone { zone, out, of, max_part } => write!(
                formatter,
                "{out} of {of} nodes of zone {zone} would be out of service; at most {max_part} of them without force"
            ),
            Refusal::Moved { asked, now, changes } => {
                write!(formatter, "the request is based on version {asked}, but the current version is {now}; changes since then: {}", changes.join("; "))
            }
            Refusal::Unknown { id } => write!(formatter, "override {}: not found; expected the number of an active override", id.0),
        }
    }
}

/// The effects that a requested override would have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Preview {
    /// The version of the overrides that the request was checked against.
    pub version: u64,
    /// The listed nodes whose effect changes: the address, the effect before and the effect after.
    pub changes: Vec<(SocketAddr, OverrideEffect, OverrideEffect)>,
    /// The number of listed nodes that it names, including those whose effect does not change.
    pub named: usize,
    /// The refusal that force overrides; none if force is not needed.
    pub forced_past: Option<Refusal>,
}
