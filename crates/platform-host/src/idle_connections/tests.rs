//! Tests of the reuse and closing of idle connections.

use super::*;

const FIRST_NODE: NodeId = NodeId(1);
const SECOND_NODE: NodeId = NodeId(2);

fn at(secs: f64) -> Instant {
    Instant::from_secs(secs)
}

/// Returns three idle connections to the first node (since 1, 2 and 4 s) and one to the second (since 3 s).
fn fixture() -> IdleConnections {
    let mut idle = IdleConnections::default();
    for (secs, node, id) in
        [(1.0, FIRST_NODE, 10), (2.0, FIRST_NODE, 11), (3.0, SECOND_NODE, 12), (4.0, FIRST_NODE, 13)]
    {
        idle.put(at(secs), node, id);
    }
    idle
}

/// A node sends a duplicate of an answer some milliseconds late. A connection must not be reused right after its answer, or the duplicate
/// would be taken for the answer to the next request.
#[test]
fn most_recent_connection_is_reused_after_reuse_delay() {
    let (mut idle, reuse_delay) = (fixture(), TimeDelta::from_millis(1500));
    assert_eq!(idle.take(FIRST_NODE, at(4.4), reuse_delay), Some(11));
    assert_eq!(idle.take(SECOND_NODE, at(4.4), reuse_delay), None);
    let mut idle = fixture();
    assert_eq!(idle.take(FIRST_NODE, at(5.5), reuse_delay), Some(13));
    assert_eq!(idle.take(SECOND_NODE, at(5.5), reuse_delay), Some(12));
    assert_eq!(idle.take(SECOND_NODE, at(5.5), reuse_delay), None);
}

/// Several attempts wait for connections to one node to become reusable. Each must wait for a different connection; otherwise the
/// second attempt would find its connection in use.
#[test]
fn waiting_attempts_expect_distinct_connections() {
    let reuse_delay = TimeDelta::from_millis(1500);
    let reusable_at = |secs, ahead| fixture().reusable_at(FIRST_NODE, at(secs), reuse_delay, ahead);
    assert_eq!(reusable_at(3.2, 0), Some(at(3.5)));
    assert_eq!(reusable_at(3.2, 1), Some(at(5.5)));
    assert_eq!(reusable_at(3.2, 2), None);
    assert_eq!(reusable_at(5.5, 0), None, "all are reusable already");
    assert_eq!(fixture().reusable_at(NodeId(9), at(0.0), reuse_delay, 0), None, "a node without connections");
}

/// Idle connections are closed by age, before their node closes them. A connection that remains in one of the two tables after its
/// removal would be closed or reused twice.
#[test]
fn oldest_connection_is_closed_first_and_removed_from_both_tables() {
    let mut idle = fixture();
    idle.take(FIRST_NODE, at(5.5), TimeDelta::ZERO);
    idle.take(SECOND_NODE, at(5.5), TimeDelta::ZERO);
    assert_eq!(idle.oldest(TimeDelta::from_millis(4500), at(5.0)), None);
    assert_eq!(idle.oldest(TimeDelta::from_millis(4000), at(5.0)), Some((FIRST_NODE, 10)));
    idle.remove(FIRST_NODE, 10);
    let left: Vec<u32> = idle.by_node.values().flatten().map(|idle| idle.id).collect();
    assert_eq!((left, idle.by_age.len()), (vec![11], 1));
    idle.remove(FIRST_NODE, 11);
    assert!(idle.is_empty() && idle.by_node.is_empty());
}
