//! Tests of the split of descriptors and memory.

use super::*;

/// The platform kills a host that opens more sockets or uses more memory than it allows. A host with too few connections for clients or
/// nodes rejects requests although it has capacity.
#[test]
fn descriptors_and_bytes_are_split_within_the_limits() {
    const MEGABYTE: usize = 1024 * 1024;
    // Sockets and megabytes of the limits; the fewest client and node connections that must be allowed.
    for (sockets, megabytes, min_clients, min_nodes) in
        [(64, 16, 20, 12), (256, 32, 86, 80), (1024, 192, 342, 300), (4096, 2048, 1366, 600)]
    {
        let memory_bytes = megabytes * MEGABYTE;
        let budget = ResourceBudget::of(&Limits { cores: 0.3, memory_bytes, sockets });
        let connections = budget.client_connections + budget.node_connections;
        assert!(connections + RESERVED_DESCRIPTORS <= sockets, "{budget:?}");
        assert!(budget.client_connections >= min_clients, "{sockets}: {budget:?}");
        assert!(budget.node_connections >= min_nodes, "{sockets}: {budget:?}");
        let table_bytes = budget.requests * REQUEST_TABLE_BYTES;
        assert!(budget.buffer_bytes + table_bytes <= memory_bytes / 2, "{budget:?}");
    }
}
