//! An override as operators ask for it, and as it is stored.

use crate::target::Target;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of an override. Later ones have higher numbers; a number is never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OverrideId(pub u64);

/// What an override does to a node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Fraction of what the node would be given otherwise, above 0 and up to 1.
    Weight(f64),
    /// It is given nothing new.
    OutOfService,
    /// Kept in service whatever its health; the endpoint list, slow start and the rules still hold.
    Pinned,
}

impl fmt::Display for Kind {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Kind::Weight(weight) => write!(out, "weight {weight}"),
            Kind::OutOfService => write!(out, "out of service"),
            Kind::Pinned => write!(out, "pinned in service"),
        }
    }
}

/// An override that an operator asks for. It becomes an [`Override`] once it is checked and persisted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideRequest {
    /// The nodes.
    pub target: Target,
    /// What to do.
    pub kind: Kind,
    /// Why, for people.
    pub reason: String,
    /// Who asks for it.
    pub who: String,
    /// For how long.
    pub seconds: f64,
    /// Where it was set, if at another host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

/// An active override. Times are Unix time in microseconds, for people and for restarts; while the host runs, the end
/// follows its own steady clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Override {
    /// Its number.
    pub id: OverrideId,
    /// The nodes.
    pub target: Target,
    /// What it does.
    pub kind: Kind,
    /// Why, for people.
    pub reason: String,
    /// Who set it.
    pub who: String,
    /// When it was set.
    pub set_us: u64,
    /// When it ends.
    pub ends_us: u64,
    /// Where it was set, where hosts replicate their overrides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

/// The name of an override among all hosts: the host and generation where it was set, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The host.
    pub slot: u32,
    /// Its generation.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The number of the override there.
    pub number: u64,
}
