//! Reuse and closing of idle connections.

use super::*;

fn at(s: f64) -> Instant {
    Instant::from_secs(s)
}

fn links_to(idle: &IdleConnections, node: NodeId) -> Vec<u32> {
    idle.by_node.get(&node).into_iter().flatten().map(|(link, _)| *link).collect()
}

#[test]
fn the_link_used_last_is_taken_and_the_oldest_closed() {
    let (a, b) = (NodeId(1), NodeId(2));
    let filled = || {
        let mut idle = IdleConnections::default();
        for (t, node, link) in [(1.0, a, 10), (2.0, a, 11), (3.0, b, 12), (4.0, a, 13)] {
            idle.put(at(t), node, link);
        }
        idle
    };
    // A second answer may come behind the first: one that has only just had its answer is not taken yet.
    let (mut idle, rest) = (filled(), TimeDelta::from_secs(1.5));
    assert_eq!((idle.take(a, at(4.4), rest), idle.take(b, at(4.4), rest)), (Some(11), None));
    // When the next of a's three will have rested, and the one after that; all have by 5.5.
    let next = |now, before| filled().reusable_at(a, at(now), rest, before);
    assert_eq!((next(3.2, 0), next(3.2, 1), next(3.2, 2)), (Some(at(3.5)), Some(at(5.5)), None));
    assert_eq!((next(5.5, 0), filled().reusable_at(NodeId(9), at(0.0), rest, 0)), (None, None));
    let mut idle = filled();
    let mut take = |node| idle.take(node, at(5.5), rest);
    assert_eq!((take(a), take(b), take(b)), (Some(13), Some(12), None));
    assert_eq!(idle.oldest(TimeDelta::from_secs(4.5), at(5.0)), None);
    assert_eq!(idle.oldest(TimeDelta::from_secs(4.0), at(5.0)), Some((a, 10)));
    idle.remove(a, 10);
    assert_eq!((links_to(&idle, a), idle.by_age.len()), (vec![11], 1));
    idle.remove(a, 11);
    assert!(idle.is_empty() && idle.by_node.is_empty());
}
