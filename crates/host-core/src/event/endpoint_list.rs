//! Events of the endpoint list: nodes that do not fit, and nodes that peers' newer lists remove.

use std::fmt::{Display, Formatter, Result};
use tackmast::interface::TimeDelta;

/// A node that this host does not use though its own list names it, or a list of a peer that went back.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListEvent {
    /// The table of nodes is full, so a node of the list is not used.
    NodeTableFull {
        /// The node's address.
        address: String,
    },
    /// The list service of a peer went back to an older version.
    PeerListRolledBack {
        /// The version that the peer held.
        from: u64,
        /// The older version.
        to: u64,
        /// For how long nodes that `from` shows as draining or gone stay so, unless the list gets past `from` before.
        kept_for: TimeDelta,
    },
    /// A newer list of a peer shows a node as draining or gone, so this host sends it nothing new.
    NodeRemovedByPeer {
        /// The node's address.
        address: String,
        /// Whether it is gone; else it drains.
        is_gone: bool,
        /// The version of the peer's list.
        version: u64,
    },
    /// As many nodes are removed by peers' lists as may be; no more removals are accepted.
    PeerRemovalsFull {
        /// How many.
        max: usize,
    },
}

impl EndpointListEvent {
    /// The message, the same for every event of its kind.
    pub fn message(&self) -> &'static str {
        match self {
            EndpointListEvent::NodeTableFull { .. } => "node not accepted: the table of nodes is full",
            EndpointListEvent::PeerListRolledBack { .. } => "endpoint list: a peer's went back",
            EndpointListEvent::NodeRemovedByPeer { .. } => "endpoint list: node removed by a peer's list",
            EndpointListEvent::PeerRemovalsFull { .. } => {
                "endpoint list: no more removals by peers are accepted"
            }
        }
    }
}

/// One line: the message, then `name=value` for each field; times in seconds.
impl Display for EndpointListEvent {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        out.write_str(self.message())?;
        match self {
            EndpointListEvent::NodeTableFull { address } => write!(out, " address={address}"),
            EndpointListEvent::PeerListRolledBack { from, to, kept_for } => {
                write!(out, " from={from} to={to} kept_for_secs={}", kept_for.secs())
            }
            EndpointListEvent::NodeRemovedByPeer { address, is_gone, version } => {
                write!(out, " address={address} is_gone={is_gone} version={version}")
            }
            EndpointListEvent::PeerRemovalsFull { max } => write!(out, " max={max}"),
        }
    }
}
