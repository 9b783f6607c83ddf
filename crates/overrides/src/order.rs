//! What an operator orders, and how it is written.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// Later ones have higher numbers; a number is never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OverrideId(pub u64);

/// The nodes that an override names. It lives by what it says, whether such nodes are listed or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Target {
    Node(SocketAddr),
    Net(IpNet),
    Shard(u32),
    Zone(u32),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Target::Node(a) => write!(f, "{a}"),
            Target::Net(n) => write!(f, "{n}"),
            Target::Shard(s) => write!(f, "shard:{s}"),
            Target::Zone(z) => write!(f, "zone:{z}"),
        }
    }
}

impl FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Target, String> {
        let number = |n: &str| n.parse::<u32>().ok();
        let found = match text.split_once(':') {
            Some(("shard", n)) => number(n).map(Target::Shard),
            Some(("zone", n)) => number(n).map(Target::Zone),
            _ => {
                let node = text.parse().ok().map(Target::Node);
                let net = || text.parse::<IpNet>().ok().map(|n| Target::Net(n.trunc()));
                let address = || text.parse::<IpAddr>().ok().map(|a| Target::Net(IpNet::from(a)));
                node.or_else(net).or_else(address)
            }
        };
        let expected = "an address and port, an address, a prefix such as 10.1.0.0/16, shard:N or zone:N";
        found.ok_or_else(|| format!("target {text:?}; expected {expected}"))
    }
}

impl From<Target> for String {
    fn from(t: Target) -> String {
        t.to_string()
    }
}

impl TryFrom<String> for Target {
    type Error = String;
    fn try_from(text: String) -> Result<Target, String> {
        text.parse()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Part of what the node would be given otherwise, above 0 and up to 1.
    Weight(f64),
    OutOfService,
    /// Kept in service whatever its health; what the list, the cold guard and the rules say still holds.
    Pinned,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Kind::Weight(w) => write!(f, "weight {w}"),
            Kind::OutOfService => write!(f, "out of service"),
            Kind::Pinned => write!(f, "pinned in service"),
        }
    }
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    pub target: Target,
    pub kind: Kind,
    pub reason: String,
    pub who: String,
    pub seconds: f64,
    /// Where another host took it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

/// One that stands. Times are Unix time in microseconds, for people and for restarts; while the host runs, the end
/// follows its own steady clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Override {
    pub id: OverrideId,
    pub target: Target,
    pub kind: Kind,
    pub reason: String,
    pub who: String,
    pub set_us: u64,
    pub ends_us: u64,
    /// Which host took it, where hosts tell each other of theirs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

/// The name of an order among all hosts: the host and generation that took it, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    pub slot: u32,
    #[serde(rename = "life")]
    pub generation: u64,
    pub number: u64,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn targets_are_written_as_they_are_read() {
        for (text, again) in [
            ("10.1.2.3:9003", Some("10.1.2.3:9003")),
            ("[::1]:9003", Some("[::1]:9003")),
            ("10.1.2.3", Some("10.1.2.3/32")),
            ("10.1.2.3/16", Some("10.1.0.0/16")),
            ("fd00::/8", Some("fd00::/8")),
            ("shard:4", Some("shard:4")),
            ("zone:0", Some("zone:0")),
            ("zone:-1", None),
            ("rack:1", None),
            ("10.1.2.3/40", None),
            ("", None),
        ] {
            let found = text.parse::<Target>().map(|t| t.to_string());
            assert_eq!(found.as_deref().ok(), again, "{text:?}: {found:?}");
        }
    }
}
