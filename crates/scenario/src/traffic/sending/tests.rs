//! Tests of which host a request goes to.

use super::other_host;
use std::collections::BTreeSet;

/// By a traffic block's share of its primary host, all other requests go to the other hosts, and none to the primary.
#[test]
fn other_host_is_any_but_the_primary() {
    for host_count in 2..6 {
        for primary in 0..host_count {
            let selected: BTreeSet<usize> =
                (0..100).map(|selector| other_host(primary, selector, host_count)).collect();
            let others: BTreeSet<usize> = (0..host_count).filter(|host| *host != primary).collect();
            assert_eq!(selected, others, "primary {primary} of {host_count}");
        }
    }
}

/// A traffic block with one host has no other one: all requests go there.
#[test]
fn only_host_takes_all_requests() {
    assert_eq!(other_host(0, 17, 1), 0);
}
