//! The status of a host, and why one did not start.

use crate::client_connections::ClientCounters;
use crate::node_connection::NodeConnectionCounters;
use std::net::SocketAddr;
use tackmast_host_core::Counters;
pub use tackmast_host_core::OpenCounts;

/// What the host holds, for logs and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Counters of the host core.
    pub core: Counters,
    /// Counters of the client connections.
    pub client_counters: ClientCounters,
    /// Counters of the connections to nodes.
    pub node_counters: NodeConnectionCounters,
    /// Requests that were malformed or not allowed.
    pub refused: u64,
    /// Client connections that are open.
    pub client_connections: usize,
    /// Connections to nodes that are open.
    pub node_connections: usize,
    /// Work in flight in the host core.
    pub open: OpenCounts,
    /// No shutdown has been asked for.
    pub serves: bool,
    /// Where connections are accepted; none once the listener is closed.
    pub listens: Option<SocketAddr>,
    /// Nodes in the endpoint list.
    pub nodes: usize,
    /// Version of the endpoint list.
    pub version: u64,
    /// Shards whose service rate was restored from peers after a restart.
    pub restored_shards: usize,
    /// Datagrams of peers that were malformed, from no peer, or not asked for.
    pub rejected_datagrams: u64,
}

/// Why a host did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The readiness poller could not be made.
    #[error("epoll: {0}")]
    Poller(std::io::Error),
    /// The listener for clients could not be opened.
    #[error("listen: {address}: {problem}")]
    Listen {
        /// The address from the configuration.
        address: SocketAddr,
        /// The system's error.
        problem: std::io::Error,
    },
    /// The socket for datagrams of peers could not be opened.
    #[error("peer_listen: {address}: {problem}")]
    PeerListen {
        /// The address from the configuration.
        address: SocketAddr,
        /// The system's error.
        problem: std::io::Error,
    },
}
