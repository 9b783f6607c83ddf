//! The split of descriptors and memory.

use super::*;

#[test]
fn descriptors_and_bytes_are_split_within_the_limits() {
    const MB: usize = 1024 * 1024;
    // Sockets, megabytes; least clients and links that must be there.
    for (sockets, mb, clients, links) in
        [(64, 16, 20, 12), (256, 32, 86, 80), (1024, 192, 342, 300), (4096, 2048, 1366, 600)]
    {
        let s = ResourceBudget::of(&Limits { cores: 0.3, memory_bytes: mb * MB, sockets });
        assert!(s.clients + s.links + RESERVED_DESCRIPTORS <= sockets, "{s:?}");
        assert!(s.clients >= clients && s.links >= links, "{sockets}: {s:?}");
        assert!(s.bytes + s.requests * REQUEST_TABLE_BYTES <= mb * MB / 2, "{s:?}");
    }
}
