//! Events of the endpoint list: nodes that do not fit into the table, and nodes that peers' newer lists remove.

use std::fmt::{Display, Formatter, Result};
use tackmast::interface::TimeDelta;

/// A node that this host does not use although its own list names it, or a peer's list that went back to an older version.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListEvent {
    /// The table of nodes is full, so a node of the list is not used.
    NodeTableFull {
        /// The node's address.
        address: String,
    },
    /// The list service of a peer went back to an older version.
    PeerListRolledBack {
        /// The version that the peer had before.
        from: u64,
        /// The older version that the peer has now.
        to: u64,
        /// How long nodes that version `from` shows as draining or gone stay removed, unless the list passes version `from` earlier.
        kept_for: TimeDelta,
    },
    /// A peer's newer list shows a node as draining or gone, so this host sends no new attempts to the node.
    NodeRemovedByPeer {
        /// The node's address.
        address: String,
        /// Whether the node is gone; otherwise it drains.
        is_gone: bool,
        /// The version of the peer's list.
        version: u64,
    },
    /// Peers' lists have removed the greatest number of nodes that they may. Further removals are ignored.
    PeerRemovalsFull {
        /// The greatest number of nodes that peers' lists may remove.
        max: usize,
    },
}

impl EndpointListEvent {
    /// Returns the message, which is the same for every event of its kind.
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

/// Formats the event as one line: the message, then `name=value` for each field. Times are in seconds.
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
