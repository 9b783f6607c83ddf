//! An override as operators request it, and as it is stored.

use crate::target::Target;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of an override at one host. Later overrides have higher numbers; a number is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OverrideId(pub u64);

/// What an override does to the nodes that it names.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The node is given this fraction of its usual load, above 0 and up to 1.
    Weight(f64),
    /// The node is given no new requests.
    OutOfService,
    /// The node stays in service even if it is unhealthy; the endpoint list, slow start and the rules still apply.
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

/// An override that an operator requests. It becomes an [`Override`] once it is checked and persisted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideRequest {
    /// The nodes that it names.
    pub target: Target,
    /// What it does to them.
    pub kind: Kind,
    /// The operator's reason, for people.
    pub reason: String,
    /// The name of the operator.
    pub who: String,
    /// The duration in seconds.
    pub seconds: f64,
    /// Where the override was set, if at another host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

/// An active override. Its times are Unix times in microseconds, for people and for restarts; while the host runs, the override
/// ends by the host's steady clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Override {
    /// Its number at this host.
    pub id: OverrideId,
    /// The nodes that it names.
    pub target: Target,
    /// What it does to them.
    pub kind: Kind,
    /// The operator's reason, for people.
    pub reason: String,
    /// The name of the operator who set it.
    pub who: String,
    /// The time at which it was set.
    pub set_us: u64,
    /// The time at which it ends.
    pub ends_us: u64,
    /// Where the override was set; none if hosts do not replicate their overrides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

/// The identity of an override among all hosts: the host and its generation where it was set, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The slot of the host.
    pub slot: u32,
    /// The generation of the host.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The number of the override at that host.
    pub number: u64,
}
