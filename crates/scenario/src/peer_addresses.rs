//! Addresses of a host process in the membership protocol.

use std::net::SocketAddr;

/// Where a host process reaches its peers, and is reached by them.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerAddresses {
    /// Where the process listens.
    pub listen: SocketAddr,
    /// The address of the proxy in front of the process, if there is one.
    pub advertise: Option<SocketAddr>,
    /// Peers that the process contacts first.
    pub seeds: Vec<SocketAddr>,
}
