//! The order in which client connections give way.

use super::*;

fn at(s: f64) -> Instant {
    Instant::from_secs(s)
}

#[test]
fn who_is_owed_least_goes_first() {
    use EvictionClass::*;
    type Case = (&'static str, Vec<(u32, EvictionClass, f64)>, Option<u32>);
    let cases: Vec<Case> = vec![
        ("nobody", vec![], None),
        ("all are owed an answer", vec![(1, Busy, 0.0), (2, Busy, 1.0)], None),
        ("over before silent", vec![(1, Silent, 0.0), (2, Over, 9.0)], Some(2)),
        ("the longest silent", vec![(1, Silent, 5.0), (2, Silent, 4.0), (3, Idle, 0.0)], Some(2)),
        ("idle before one that has just come", vec![(1, New, 5.0), (2, Idle, 3.0)], Some(2)),
        ("a flood of new ones against usual clients", vec![(1, RecentlyUsed, 1.0), (2, New, 5.0)], Some(2)),
        ("idle before midway", vec![(1, MidRequest, 0.0), (2, Idle, 3.0), (3, RecentlyUsed, 1.0)], Some(2)),
        ("at a pinch one in the middle", vec![(1, MidRequest, 2.0), (2, Busy, 0.0)], Some(1)),
    ];
    for (name, clients, expected) in cases {
        let order = eviction_order(clients.into_iter().map(|(c, s, t)| (c, s, at(t))));
        assert_eq!(order.first().copied(), expected, "{name}");
    }
}
