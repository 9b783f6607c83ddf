use super::*;

/// A node restarts, and the clocks of list, node and host differ. A host that believed a start before the real one would send full load
/// to a node in slow start.
#[test]
fn a_node_is_never_believed_to_have_started_before_it_did() {
    let (at, seconds) = (Instant::from_secs, TimeDelta::from_secs);
    let by_list = |id, age| Some(NodeStart { id, age: Age::ByListClock(seconds(age)) });
    let by_wall = |id, age| Some(NodeStart { id, age: Age::ByHostClock(seconds(age)) });
    // Reports at times 100, 101, ...: `Ok` is the list's report of a start, `Err` the uptime that the node itself reports. Then the start
    // that is believed.
    type Report = Result<Option<NodeStart>, f64>;
    let cases: Vec<(&str, Vec<Report>, Option<f64>)> = vec![
        ("no start is reported", vec![Ok(None)], None),
        ("the list's clock", vec![Ok(by_list(7, 30.0))], Some(70.0)),
        ("the node's clock is ahead of the list's", vec![Ok(by_list(7, -5.0))], Some(100.0)),
        ("the host's clock, a recent start", vec![Ok(by_wall(7, 120.0))], Some(100.0)),
        ("the host's clock, a start long past", vec![Ok(by_wall(7, 7200.0))], Some(-7100.0)),
        (
            "the same start again, with a smaller age",
            vec![Ok(by_list(7, 30.0)), Ok(by_list(7, 5.0))],
            Some(70.0),
        ),
        ("a different start", vec![Ok(by_list(7, 30.0)), Ok(by_list(8, 1.0))], Some(100.0)),
        ("a new id for nearly the same time", vec![Ok(by_list(7, 30.0)), Ok(by_list(8, 30.8))], Some(70.0)),
        ("the node reports a later start than the list", vec![Ok(by_list(7, 120.0)), Err(0.3)], Some(100.7)),
        (
            "a late report of the list does not move the start back",
            vec![Ok(None), Err(0.3), Ok(by_list(7, 60.0))],
            Some(100.7),
        ),
        (
            "the node reports nearly the same start as the list",
            vec![Ok(by_list(7, 30.0)), Err(30.9)],
            Some(70.0),
        ),
        ("the node reports a long uptime, as assumed", vec![Ok(None), Err(86_400.0)], None),
        ("the node reports a short uptime", vec![Ok(None), Err(60.0)], Some(41.0)),
    ];
    for (name, all, expected) in cases {
        let mut nodes = Nodes::new(4);
        let mut found = None;
        for (i, report) in all.into_iter().enumerate() {
            let now = at(100.0 + i as f64);
            match report {
                Ok(start) => {
                    let (state, zone, shard) = (NodeState::Ready, ZoneId(0), ShardId(0));
                    let entry = ListEntry { id: "a".into(), address: "a".into(), state, zone, shard, start };
                    found = nodes.upsert(now, &entry).and_then(|entry| entry.up_since);
                }
                Err(up) => _ = nodes.record_uptime(now, NodeId(0), seconds(up)),
            }
            found = nodes.entry(NodeId(0)).and_then(|entry| entry.up_since).or(found);
        }
        assert_eq!(found.map(Instant::secs), expected, "{name}");
    }
}
