//! How the platform's limits on descriptors and memory are split between connections of clients and to nodes. No I/O.

use tackmast_platform::Limits;

/// Descriptors that are not connections of clients or nodes: the standard three, epoll, signals, listener, datagrams, node list old
/// and new, the configuration file, and a few to accept with.
const RESERVED_DESCRIPTORS: usize = 25;
/// The share of the others that clients get: silent ones come by the hundred, while attempts in flight are limited by the
/// scheduler.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
/// The share of the memory that buffers may take. The rest is the program, its tables, and what the allocator keeps.
const BUFFER_MEMORY_SHARE: f64 = 0.25;
/// Bytes that the tables take for one request, roughly; they may take as much as the buffers.
const REQUEST_TABLE_BYTES: usize = 4096;

/// What the host may hold, from the platform's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Client connections.
    pub clients: usize,
    /// Connections to nodes.
    pub links: usize,
    /// Bytes in the buffers of client connections.
    pub bytes: usize,
    /// Requests in flight.
    pub requests: usize,
}

impl ResourceBudget {
    /// Splits the platform's limits.
    pub fn of(limits: &Limits) -> Self {
        let free = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let clients = (free as f64 * CLIENT_DESCRIPTOR_SHARE) as usize;
        let bytes = (limits.memory_bytes as f64 * BUFFER_MEMORY_SHARE) as usize;
        // A client has one request open; the table of requests has room for all that fit.
        let requests = (bytes / REQUEST_TABLE_BYTES).min(clients * 2);
        ResourceBudget { clients, links: free - clients, bytes, requests }
    }
}

#[cfg(test)]
mod tests;
