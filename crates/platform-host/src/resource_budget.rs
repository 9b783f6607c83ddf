//! How the platform's limits on descriptors and memory are split between connections of clients and to nodes. No I/O.

use tackmast_platform::Limits;

/// Descriptors that are not connections of clients or nodes: the standard three, epoll, signals, listener, datagrams, node list old
/// and new, the configuration file, and a few to accept with.
const RESERVED_DESCRIPTORS: usize = 25;
/// Of the others, clients get this part: silent ones come by the hundred, while attempts out are capped by the module.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
/// Of the memory, what may stand in buffers. The rest is the program, its tables, and what the allocator keeps.
const BUFFER_MEMORY_SHARE: f64 = 0.25;
/// A request's tables, roughly; so many fit into the same part again.
const REQUEST_TABLE_BYTES: usize = 4096;

/// What the host may hold, from the platform's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceBudget {
    pub clients: usize,
    pub links: usize,
    pub bytes: usize,
    pub requests: usize,
}

impl ResourceBudget {
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
