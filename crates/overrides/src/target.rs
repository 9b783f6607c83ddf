//! The target of an override, that is, the nodes that it names, and the target's text form.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// The nodes that an override names. None of them has to be in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Target {
    /// The node with this address and port.
    Node(SocketAddr),
    /// All nodes whose address has this prefix, at any port.
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

/// The text forms of a target, for error messages.
const EXPECTED_TARGET: &str =
    "an address and port, an address, a prefix such as 10.1.0.0/16, shard:N or zone:N";

/// The error of a text that is no target; it holds the text.
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

#[cfg(test)]
mod tests;
