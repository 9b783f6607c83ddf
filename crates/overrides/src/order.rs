//! An override as operators ask for it and as it is stored, and the text form of its target.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// The number of an override. Later ones have higher numbers; a number is never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OverrideId(pub u64);

/// The nodes that an override names, whether such nodes are listed or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Target {
    /// One address.
    Node(SocketAddr),
    /// All addresses of a prefix.
    Net(IpNet),
    /// All nodes of a shard.
    Shard(u32),
    /// All nodes of a zone.
    Zone(u32),
}

impl fmt::Display for Target {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Target::Node(address) => write!(out, "{address}"),
            Target::Net(net) => write!(out, "{net}"),
            Target::Shard(shard) => write!(out, "shard:{shard}"),
            Target::Zone(zone) => write!(out, "zone:{zone}"),
        }
    }
}

const EXPECTED_TARGET: &str =
    "an address and port, an address, a prefix such as 10.1.0.0/16, shard:N or zone:N";

/// A text that names no target.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("target {0:?}; expected {EXPECTED_TARGET}")]
pub struct TargetError(String);

impl FromStr for Target {
    type Err = TargetError;

    fn from_str(text: &str) -> Result<Target, TargetError> {
        let found = match text.split_once(':') {
            Some(("shard", number)) => number.parse().ok().map(Target::Shard),
            Some(("zone", number)) => number.parse().ok().map(Target::Zone),
            _ => {
                let node = text.parse().ok().map(Target::Node);
                let net = || text.parse::<IpNet>().ok().map(|net| Target::Net(net.trunc()));
                let any_port = || text.parse::<IpAddr>().ok().map(|ip| Target::Net(IpNet::from(ip)));
                node.or_else(net).or_else(any_port)
            }
        };
        found.ok_or_else(|| TargetError(text.to_owned()))
    }
}

impl From<Target> for String {
    fn from(target: Target) -> String {
        target.to_string()
    }
}

impl TryFrom<String> for Target {
    type Error = TargetError;
    fn try_from(text: String) -> Result<Target, TargetError> {
        text.parse()
    }
}

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

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
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

#[cfg(test)]
mod tests;
