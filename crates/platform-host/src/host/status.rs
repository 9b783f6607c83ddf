//! The status of a host, and the errors that prevent its start.

use crate::client_connections::ClientCounters;
use crate::node_connection::NodeConnectionCounters;
use std::net::SocketAddr;
use tackmast_host_core::Counters;
pub use tackmast_host_core::OpenCounts;

/// A snapshot of a host's counters and state, for logs and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// The counters of the host core.
    pub core: Counters,
    /// The counters of the client connections.
    pub client_counters: ClientCounters,
    /// The counters of the connections to nodes.
    pub node_counters: NodeConnectionCounters,
    /// Number of requests that were malformed or not allowed.
    pub refused: u64,
    /// Number of open client connections.
    pub client_connections: usize,
    /// Number of connections to nodes that are open or being established.
    pub node_connections: usize,
    /// The work in flight in the host core.
    pub open: OpenCounts,
    /// Whether no shutdown has been requested.
    pub serves: bool,
    /// The address at which connections are accepted; `None` once the listener is closed.
    pub listen_address: Option<SocketAddr>,
    /// Number of nodes that the host core knows from the endpoint list.
    pub nodes: usize,
    /// The version of the endpoint list that was applied last.
    pub version: u64,
    /// Number of shards whose service rates were restored from peers after a restart.
    pub restored_shards: usize,
    /// Number of datagrams that were malformed, unsolicited, or not from a peer.
    pub rejected_datagrams: u64,
}

/// The error that prevented the start of a host.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The epoll instance could not be created.
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
