//! The split of the platform's limits on descriptors and memory between client connections and node connections. This module
//! performs no I/O.

use tackmast_platform::Limits;

/// Descriptors that are neither client nor node connections: the three standard streams, epoll, signals, the listener, the datagram
/// socket, the connection to the endpoint list and the one that replaces it, the configuration file, and a few spare ones for accept.
const RESERVED_DESCRIPTORS: usize = 25;
/// Share of the remaining descriptors for client connections. Silent clients can open hundreds of connections, while the scheduler
/// limits the attempts in flight, so clients get the larger part.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
/// Share of the memory limit for buffers. The rest is for the program, its tables, and memory that the allocator retains.
const BUFFER_MEMORY_SHARE: f64 = 0.25;
/// Approximate bytes of table entries for one request. All requests together may take as much memory as the buffers.
const REQUEST_TABLE_BYTES: usize = 4096;
/// Table entries for requests per client connection. A client has one request open; the second entry admits the next one while the
/// previous one is being removed.
const REQUESTS_PER_CLIENT: usize = 2;

/// The resources that the host may use, derived from the platform's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResourceBudget {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to nodes.
    pub node_connections: usize,
    /// Maximum number of bytes in the buffers of all client connections.
    pub buffer_bytes: usize,
    /// Maximum number of requests in flight.
    pub requests: usize,
}

impl ResourceBudget {
    /// Computes the budget from the platform's limits.
    pub(crate) fn of(limits: &Limits) -> Self {
        let free_descriptors = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let client_connections = (free_descriptors as f64 * CLIENT_DESCRIPTOR_SHARE) as usize;
        let buffer_bytes = (limits.memory_bytes as f64 * BUFFER_MEMORY_SHARE) as usize;
        let requests = (buffer_bytes / REQUEST_TABLE_BYTES).min(client_connections * REQUESTS_PER_CLIENT);
        let node_connections = free_descriptors - client_connections;
        ResourceBudget { client_connections, node_connections, buffer_bytes, requests }
    }
}

#[cfg(test)]
mod tests;
