use super::*;

fn at(s: f64) -> Instant {
    Instant::from_secs(s)
}

#[test]
fn descriptors_and_bytes_are_split_within_the_limits() {
    const MB: usize = 1024 * 1024;
    // Sockets, megabytes; least clients and links that must be there.
    for (sockets, mb, clients, links) in
        [(64, 16, 20, 12), (256, 32, 86, 80), (1024, 192, 342, 300), (4096, 2048, 1366, 600)]
    {
        let s = Split::of(&Limits { cores: 0.3, memory_bytes: mb * MB, sockets });
        assert!(s.clients + s.links + OWN_SOCKETS <= sockets, "{s:?}");
        assert!(s.clients >= clients && s.links >= links, "{sockets}: {s:?}");
        assert!(s.bytes + s.requests * TRANSFER_BYTES <= mb * MB / 2, "{s:?}");
    }
}

#[test]
fn who_is_owed_least_goes_first() {
    use Stage::*;
    type Case = (&'static str, Vec<(u32, Stage, f64)>, Option<u32>);
    let cases: Vec<Case> = vec![
        ("nobody", vec![], None),
        ("all are owed an answer", vec![(1, Busy, 0.0), (2, Busy, 1.0)], None),
        ("over before silent", vec![(1, Silent, 0.0), (2, Over, 9.0)], Some(2)),
        ("the longest silent", vec![(1, Silent, 5.0), (2, Silent, 4.0), (3, Idle, 0.0)], Some(2)),
        ("idle before one that has just come", vec![(1, Young, 5.0), (2, Idle, 3.0)], Some(2)),
        ("a flood of new ones against usual clients", vec![(1, Resting, 1.0), (2, Young, 5.0)], Some(2)),
        ("idle before midway", vec![(1, Midway, 0.0), (2, Idle, 3.0), (3, Resting, 1.0)], Some(2)),
        ("at a pinch one in the middle", vec![(1, Midway, 2.0), (2, Busy, 0.0)], Some(1)),
    ];
    for (name, clients, expected) in cases {
        let order = by_eviction(clients.into_iter().map(|(c, s, t)| (c, s, at(t))));
        assert_eq!(order.first().copied(), expected, "{name}");
    }
}

#[test]
fn the_link_used_last_is_taken_and_the_oldest_closed() {
    let (a, b) = (NodeId(1), NodeId(2));
    let filled = || {
        let mut idle = Idle::default();
        for (t, node, link) in [(1.0, a, 10), (2.0, a, 11), (3.0, b, 12), (4.0, a, 13)] {
            idle.put(at(t), node, link);
        }
        idle
    };
    // A second answer may come behind the first: one that has only just had its answer is not taken yet.
    let (mut idle, rest) = (filled(), TimeDelta::from_secs(1.5));
    assert_eq!((idle.take(a, at(4.4), rest), idle.take(b, at(4.4), rest)), (Some(11), None));
    // When the next of a's three will have rested, and the one after that; all have by 5.5.
    let next = |now, before| filled().rested_at(a, at(now), rest, before);
    assert_eq!((next(3.2, 0), next(3.2, 1), next(3.2, 2)), (Some(at(3.5)), Some(at(5.5)), None));
    assert_eq!((next(5.5, 0), filled().rested_at(NodeId(9), at(0.0), rest, 0)), (None, None));
    let mut idle = filled();
    let mut take = |node| idle.take(node, at(5.5), rest);
    assert_eq!((take(a), take(b), take(b)), (Some(13), Some(12), None));
    assert_eq!(idle.oldest(TimeDelta::from_secs(4.5), at(5.0)), None);
    assert_eq!(idle.oldest(TimeDelta::from_secs(4.0), at(5.0)), Some((a, 10)));
    idle.remove(a, 10);
    assert_eq!((idle.at(a), idle.len()), (vec![11], 1));
    idle.remove(a, 11);
    assert!(idle.is_empty() && idle.by_node.is_empty());
}
