//! Which processes a fault affects.

use super::scenario_block::ScenarioBlock;
use std::str::FromStr;

/// What a target may look like in a script.
const EXPECTED: &str = "hosts, host/N, part/I/N, every/I/N, site/N, list, nodes, nodes/NAME or clients";

/// Processes that a fault affects.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultTarget {
    /// All hosts.
    Hosts,
    /// One host.
    Host(u32),
    /// Of so many groups of neighbouring hosts, the one with this index.
    Part(u32, u32),
    /// Hosts whose number has this remainder by that divisor.
    Every(u32, u32),
    /// The hosts of a site.
    Site(u32),
    /// The endpoint list.
    List,
    /// All nodes, or those of a block, or one of them.
    Nodes(Option<String>),
    /// All clients.
    Clients,
}

/// A target of a script that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum FaultTargetError {
    /// None of the known forms.
    #[error("{text:?}; expected {EXPECTED}")]
    Unknown {
        /// The text of the script.
        text: String,
    },
    /// The index of a group is not below the number of groups.
    #[error("{text:?}; expected a part below their number")]
    IndexOutOfRange {
        /// The text of the script.
        text: String,
    },
}

impl FromStr for FaultTarget {
    type Err = FaultTargetError;

    fn from_str(text: &str) -> Result<FaultTarget, FaultTargetError> {
        let unknown = || FaultTargetError::Unknown { text: text.to_owned() };
        let number = |digits: &str| digits.parse::<u32>().map_err(|_| unknown());
        let group = |index: &str, count: &str| match (number(index)?, number(count)?) {
            (index, count) if index < count => Ok((index, count)),
            _ => Err(FaultTargetError::IndexOutOfRange { text: text.to_owned() }),
        };
        let segments: Vec<&str> = text.split('/').collect();
        Ok(match segments.as_slice() {
            ["hosts"] => FaultTarget::Hosts,
            ["host", host] => FaultTarget::Host(number(host)?),
            ["part", index, count] => group(index, count).map(|(i, n)| FaultTarget::Part(i, n))?,
            ["every", index, count] => group(index, count).map(|(i, n)| FaultTarget::Every(i, n))?,
            ["site", site] => FaultTarget::Site(number(site)?),
            ["list"] => FaultTarget::List,
            ["nodes"] => FaultTarget::Nodes(None),
            ["nodes", name @ ..] => FaultTarget::Nodes(Some(name.join("/"))),
            ["clients"] => FaultTarget::Clients,
            _ => return Err(unknown()),
        })
    }
}

impl std::fmt::Display for FaultTarget {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            FaultTarget::Hosts => formatter.write_str("hosts"),
            FaultTarget::Host(host) => write!(formatter, "host/{host}"),
            FaultTarget::Part(index, count) => write!(formatter, "part/{index}/{count}"),
            FaultTarget::Every(index, count) => write!(formatter, "every/{index}/{count}"),
            FaultTarget::Site(site) => write!(formatter, "site/{site}"),
            FaultTarget::List => formatter.write_str("list"),
            FaultTarget::Nodes(None) => formatter.write_str("nodes"),
            FaultTarget::Nodes(Some(name)) => write!(formatter, "nodes/{name}"),
            FaultTarget::Clients => formatter.write_str("clients"),
        }
    }
}

impl FaultTarget {
    /// The hosts among the target's processes.
    pub(crate) fn hosts(&self, scenario: &ScenarioBlock) -> Vec<u32> {
        (0..scenario.hosts).filter(|host| self.includes_host(*host, scenario)).collect()
    }

    fn includes_host(&self, host: u32, scenario: &ScenarioBlock) -> bool {
        match self {
            FaultTarget::Hosts => true,
            FaultTarget::Host(number) => host == *number,
            FaultTarget::Part(index, count) => host * count / scenario.hosts == *index,
            FaultTarget::Every(index, count) => host % count == *index,
            FaultTarget::Site(site) => scenario.site_of(host) == Some(*site),
            FaultTarget::List | FaultTarget::Nodes(_) | FaultTarget::Clients => false,
        }
    }
}
