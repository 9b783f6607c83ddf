//! Tests of the order in which client connections are evicted.

use super::*;

/// A new client connects while all descriptors are in use. Evicting the wrong connection would lose an answer or a request of its
/// client while silent connections stay open.
#[test]
fn eviction_follows_class_then_age() {
    use EvictionClass::*;
    type Case = (&'static str, Vec<(u32, EvictionClass, f64)>, Option<u32>);
    let cases: Vec<Case> = vec![
        ("no connections", vec![], None),
        ("all are busy", vec![(1, Busy, 0.0), (2, Busy, 1.0)], None),
        ("half-closed before silent", vec![(1, Silent, 0.0), (2, HalfClosed, 9.0)], Some(2)),
        ("the longest silent", vec![(1, Silent, 5.0), (2, Silent, 4.0), (3, Idle, 0.0)], Some(2)),
        ("idle before new", vec![(1, New, 5.0), (2, Idle, 3.0)], Some(2)),
        ("new before recently used", vec![(1, RecentlyUsed, 1.0), (2, New, 5.0)], Some(2)),
        (
            "idle before mid-request",
            vec![(1, MidRequest, 0.0), (2, Idle, 3.0), (3, RecentlyUsed, 1.0)],
            Some(2),
        ),
        ("mid-request before busy", vec![(1, MidRequest, 2.0), (2, Busy, 0.0)], Some(1)),
        ("mid-request before established", vec![(1, Established, 0.0), (2, MidRequest, 2.0)], Some(2)),
        ("one established of three", vec![(1, Established, 0.0), (2, Busy, 2.0), (3, Busy, 2.0)], None),
        (
            "two established of three",
            vec![(1, Established, 1.0), (2, Established, 0.0), (3, Busy, 2.0)],
            Some(2),
        ),
    ];
    for (name, connections, expected) in cases {
        let candidates = connections.into_iter().map(|(id, class, since_secs)| {
            let since = Instant::from_secs(since_secs);
            EvictionCandidate { id, class, since }
        });
        assert_eq!(eviction_order(candidates, 3).first().copied(), expected, "{name}");
    }
}
