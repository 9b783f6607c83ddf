use super::*;

#[test]
fn a_start_is_never_taken_for_earlier_than_it_can_be() {
    let (at, s) = (Instant::from_secs, TimeDelta::from_secs);
    let acknowledged = |name, age| Some(NodeStart { name, age: Age::ByListClock(s(age)) });
    let by_wall = |name, age| Some(NodeStart { name, age: Age::ByHostClock(s(age)) });
    // What is told, one after the other at times 100, 101, ...: by the list, or by the node itself; then the start
    // that is taken from it.
    type ByListClock = Result<Option<NodeStart>, f64>;
    let cases: Vec<(&str, Vec<ByListClock>, Option<f64>)> = vec![
        ("nothing is told", vec![Ok(None)], None),
        ("the list's clock", vec![Ok(acknowledged(7, 30.0))], Some(70.0)),
        ("the node's clock is ahead of the list's", vec![Ok(acknowledged(7, -5.0))], Some(100.0)),
        ("the host's clock, not long past", vec![Ok(by_wall(7, 120.0))], Some(100.0)),
        ("the host's clock, long past", vec![Ok(by_wall(7, 7200.0))], Some(-7100.0)),
        (
            "the same start again, seen younger",
            vec![Ok(acknowledged(7, 30.0)), Ok(acknowledged(7, 5.0))],
            Some(70.0),
        ),
        ("another start", vec![Ok(acknowledged(7, 30.0)), Ok(acknowledged(8, 1.0))], Some(100.0)),
        (
            "another name for nearly the same",
            vec![Ok(acknowledged(7, 30.0)), Ok(acknowledged(8, 30.8))],
            Some(70.0),
        ),
        ("the node knows better", vec![Ok(acknowledged(7, 120.0)), Err(0.3)], Some(100.7)),
        (
            "a late list does not take that back",
            vec![Ok(None), Err(0.3), Ok(acknowledged(7, 60.0))],
            Some(100.7),
        ),
        ("the node agrees", vec![Ok(acknowledged(7, 30.0)), Err(30.9)], Some(70.0)),
        ("long up, as was thought", vec![Ok(None), Err(86_400.0)], None),
        ("not long up", vec![Ok(None), Err(60.0)], Some(41.0)),
    ];
    for (name, all, expected) in cases {
        let mut nodes = Nodes::new(4);
        let mut found = None;
        for (i, t) in all.into_iter().enumerate() {
            let now = at(100.0 + i as f64);
            match t {
                Ok(start) => {
                    let (state, zone, shard) = (NodeState::Ready, ZoneId(0), ShardId(0));
                    let entry = ListEntry { id: "a".into(), address: "a".into(), state, zone, shard, start };
                    found = nodes.upsert(now, &entry).and_then(|e| e.up_since);
                }
                Err(up) => _ = nodes.started(now, NodeId(0), s(up)),
            }
            found = nodes.entry(NodeId(0)).and_then(|e| e.up_since).or(found);
        }
        assert_eq!(found.map(Instant::secs), expected, "{name}");
    }
}
