//! How the platform's limits on descriptors and memory are split between connections of clients and to nodes. No I/O.

use tackmast_platform::Limits;

/// Descriptors that are not connections of clients or nodes: the standard three, epoll, signals, listener, datagrams, the connection
/// to the endpoint list and its successor, the configuration file, and a few to accept with.
const RESERVED_DESCRIPTORS: usize = 25;
/// The share of the other descriptors that clients get. Silent clients come by the hundred, while the scheduler limits attempts in
/// flight, so clients get the larger part.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
/// The share of the memory limit that buffers may take. The rest is for the program, its tables, and what the allocator keeps.
const BUFFER_MEMORY_SHARE: f64 = 0.25;
/// Bytes that the tables take for one request, roughly; all requests together may take as much as the buffers.
const REQUEST_TABLE_BYTES: usize = 4096;
/// Requests that fit into the tables for each client connection. A client has one request open; the other lets its next one in
/// while the last one is removed.
const REQUESTS_PER_CLIENT: usize = 2;

/// What the host may hold, from the platform's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResourceBudget {
    /// Client connections.
    pub client_connections: usize,
    /// Connections to nodes.
    pub node_connections: usize,
    /// Bytes in the buffers of client connections.
    pub buffer_bytes: usize,
    /// Requests in flight.
    pub requests: usize,
}

impl ResourceBudget {
    /// Splits the platform's limits.
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
