//! Tests all overrides of a host together, in virtual time.

use std::net::SocketAddr;
use tackmast::interface::{Instant, NodeState};
use tackmast_overrides::*;

const WALL: u64 = 1_800_000_000_000_000;
const SETTINGS: Settings = Settings { max_overrides: 20_000, max_zone_fraction: 0.5 };

fn at(s: f64) -> Instant {
    Instant::from_secs(s)
}

fn wall(s: f64) -> u64 {
    (WALL as i64 + (s * 1e6) as i64) as u64
}

fn address(i: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 8) as u8, (i % 8) as u8], 9000))
}

/// Returns nodes 0 to `n - 1`, with eight nodes in each zone and two in each shard.
fn facts(n: u32) -> Vec<NodeFacts> {
    let one = |i| NodeFacts { address: address(i), zone: i / 8, shard: i / 2, listed: NodeState::Ready };
    (0..n).map(one).collect()
}

fn override_request(target: &str, kind: Kind, seconds: f64) -> OverrideRequest {
    let (reason, who) = ("it smokes".into(), "ann".into());
    OverrideRequest { target: target.parse().unwrap(), kind, reason, who, seconds, origin: None }
}

fn new(n: u32) -> Overrides {
    let (mut overrides, ended) = Overrides::new(at(0.0), WALL, SETTINGS, Vec::new(), 1);
    assert!(ended.is_empty());
    overrides.handle_endpoint_list(at(0.0), facts(n));
    overrides.poll_changed(at(0.0));
    overrides
}

fn set(overrides: &mut Overrides, now: f64, override_request: &OverrideRequest) -> OverrideId {
    let (record, _) = overrides.propose(wall(now), override_request, false, None).unwrap();
    let id = record.id;
    overrides.put(at(now), record);
    id
}

fn given(overrides: &Overrides, now: f64, i: u32) -> (NodeState, f64, bool) {
    let e = overrides.effective(at(now), &address(i)).unwrap();
    (e.state, (e.weight * 100.0).round() / 100.0, e.pinned)
}

const READY: (NodeState, f64, bool) = (NodeState::Ready, 1.0, false);

/// An operator sets an override for ten seconds. It must apply to the nodes of its target only and end on its own.
#[test]
fn each_kind_applies_to_its_nodes_and_ends_on_time() {
    for (kind, during) in [
        (Kind::OutOfService, (NodeState::Draining, 1.0, false)),
        (Kind::Weight(0.25), (NodeState::Ready, 0.25, false)),
        (Kind::Pinned, (NodeState::Ready, 1.0, true)),
    ] {
        let mut overrides = new(8);
        set(&mut overrides, 1.0, &override_request("10.0.0.3:9000", kind, 10.0));
        let changed: Vec<SocketAddr> =
            overrides.poll_changed(at(1.0)).into_iter().map(|(address, _)| address).collect();
        assert_eq!(changed, [address(3)], "{kind}");
        assert_eq!((given(&overrides, 1.0, 3), given(&overrides, 1.0, 2)), (during, READY), "{kind}");
        assert!(overrides.handle_timeout(at(10.98), wall(10.98)).is_empty(), "{kind}: not before its end");
        assert_eq!(overrides.len(), 1);
        let ended = overrides.handle_timeout(at(11.01), wall(11.01));
        assert_eq!((ended.len(), overrides.len(), ended[0].audit.kind), (1, 0, AuditKind::Ended), "{kind}");
        assert!(overrides.poll_changed(at(11.01)).len() == 1 || kind == Kind::OutOfService);
    }
}

/// An operator has pinned a node that the endpoint list shows as draining or gone. A host that kept it in service would lose
/// requests.
#[test]
fn the_endpoint_list_takes_precedence_over_every_override() {
    for (listed, pinned) in
        [(NodeState::Draining, true), (NodeState::Gone, true), (NodeState::Draining, false)]
    {
        let mut overrides = new(8);
        set(
            &mut overrides,
            0.0,
            &override_request("10.0.0.3", if pinned { Kind::Pinned } else { Kind::Weight(0.5) }, 100.0),
        );
        overrides.handle_endpoint_list(at(1.0), [NodeFacts { listed, ..facts(8)[3] }]);
        assert_eq!(overrides.effective(at(1.0), &address(3)).unwrap().state, listed);
    }
}

/// A node leaves the endpoint list and returns, and the host restarts meanwhile. The override must apply again, for its remaining
/// time.
#[test]
fn an_override_survives_the_absence_of_its_node_and_a_restart_of_its_host() {
    let mut overrides = new(8);
    let id = set(&mut overrides, 0.0, &override_request("10.0.0.3:9000", Kind::OutOfService, 100.0));
    overrides.handle_endpoint_list(at(1.0), [NodeFacts { listed: NodeState::Gone, ..facts(8)[3] }]);
    assert_eq!(overrides.effective(at(1.0), &address(3)).unwrap().state, NodeState::Gone);
    let record = overrides.get(id).unwrap().clone();
    // The host is down for 20 s, and the node returns meanwhile. The host's steady clock starts anew.
    let (mut overrides, ended) = Overrides::new(at(500.0), wall(20.0), SETTINGS, vec![record.clone()], 1);
    assert!(ended.is_empty());
    overrides.handle_endpoint_list(at(500.0), facts(8));
    assert_eq!(overrides.effective(at(500.0), &address(3)).unwrap().state, NodeState::Draining);
    assert!(overrides.handle_timeout(at(579.9), wall(99.9)).is_empty());
    assert_eq!(overrides.handle_timeout(at(580.1), wall(100.1)).len(), 1);
    // The host is down past the override's end: the override is reported as ended and never applies.
    let (overrides, ended) = Overrides::new(at(0.0), wall(101.0), SETTINGS, vec![record.clone()], 1);
    assert_eq!((overrides.len(), ended[0].audit.kind), (0, AuditKind::EndedAway));
    // If the wall clock is set back meanwhile, the override still lasts no longer than its whole duration.
    let (mut overrides, _) = Overrides::new(at(0.0), wall(-3600.0), SETTINGS, vec![record], 1);
    assert_eq!(overrides.handle_timeout(at(100.1), wall(-3500.0)).len(), 1);
}

/// The wall clock is stepped by hours or days. If the ends of overrides followed it, they would end at once or last days longer.
#[test]
fn a_step_of_the_wall_clock_changes_no_end_while_the_host_runs() {
    for step in [-3600.0, 3600.0, 86_400.0 * 400.0, 0.5] {
        let mut overrides = new(8);
        let id = set(&mut overrides, 0.0, &override_request("10.0.0.3:9000", Kind::OutOfService, 100.0));
        let seen = overrides.handle_wall_clock(at(10.0), wall(10.0 + step));
        assert_eq!(seen.is_some(), step.abs() > 1.0, "{step}");
        if let Some(ClockStep { records, audit, moved_by }) = seen {
            assert_eq!(audit.kind, AuditKind::ClockStepped);
            assert_eq!(moved_by.secs(), step, "{step}");
            assert_eq!(records[0].ends_us, wall(100.0 + step), "{step}: so that a restart agrees");
        }
        assert!(overrides.handle_wall_clock(at(11.0), wall(11.0 + step)).is_none(), "{step}: reported once");
        assert!(overrides.handle_timeout(at(99.9), wall(99.9 + step)).is_empty());
        assert_eq!(overrides.handle_timeout(at(100.1), wall(100.1 + step))[0].record.id, id, "{step}");
    }
}

/// An operator takes a shard or a zone out of service by mistake. The shard's data could not be reached, or the rest of the zone
/// would be overloaded.
#[test]
fn an_override_that_takes_too_much_out_of_service_is_refused_unless_forced() {
    type Before<'a> = &'a [(&'a str, Kind)];
    let out = Kind::OutOfService;
    let cases: &[(&str, Before, &str, Kind, Option<&str>)] = &[
        ("one of a shard", &[], "10.0.0.2:9000", out, None),
        (
            "the last of a shard",
            &[("10.0.0.2:9000", out)],
            "10.0.0.3:9000",
            out,
            Some("shard 1 would have no node"),
        ),
        ("a whole shard", &[], "shard:1", out, Some("shard 1 would have no node")),
        ("a narrower pin keeps it", &[("10.0.0.2:9000", Kind::Pinned)], "shard:1", out, None),
        (
            "too much of a zone",
            &[("10.0.0.0:9000", out), ("10.0.0.2:9000", out), ("10.0.0.4:9000", out), ("10.0.0.6:9000", out)],
            "10.0.0.6/31",
            out,
            Some("shard 3 would have no node"),
        ),
        ("a zone", &[], "zone:0", out, Some("shard 0 would have no node")),
        ("a weight takes nothing out", &[], "zone:0", Kind::Weight(0.01), None),
        ("no node is listed yet", &[], "192.168.0.0/16", out, None),
    ];
    for (name, before, target, kind, refused) in cases {
        let mut overrides = new(16);
        for (t, k) in *before {
            set(&mut overrides, 0.0, &override_request(t, *k, 100.0));
        }
        let found = overrides.propose(WALL, &override_request(target, *kind, 100.0), false, None);
        match (refused, found) {
            (None, found) => assert!(found.is_ok(), "{name}: {found:?}"),
            (Some(text), Err(e)) => {
                assert!(e.to_string().contains(text), "{name}: {e}");
                let (_, preview) =
                    overrides.propose(WALL, &override_request(target, *kind, 100.0), true, None).unwrap();
                assert_eq!(
                    preview.forced_past,
                    Some(e),
                    "{name}: the preview holds the refusal that force overrides"
                );
            }
            (Some(_), Ok(_)) => panic!("{name}: accepted"),
        }
    }
    // Four nodes to a shard, so that only the limit of the zone is reached.
    let mut overrides = new(0);
    overrides.handle_endpoint_list(
        at(0.0),
        facts(8).into_iter().enumerate().map(|(i, f)| NodeFacts { shard: i as u32 / 4, ..f }),
    );
    for i in [0, 1, 4, 5] {
        set(&mut overrides, 0.0, &override_request(&address(i).to_string(), out, 100.0));
    }
    let e = overrides.propose(WALL, &override_request("10.0.0.2:9000", out, 100.0), false, None).unwrap_err();
    assert_eq!(e, Refusal::TooMuchOfZone { zone: 0, out: 5, of: 8, max_part: 0.5 });
}

/// An operator mistypes a value. The refusal must name the field, the value and the allowed values.
#[test]
fn a_refusal_names_the_value_that_is_not_allowed() {
    let mut overrides = new(8);
    for (kind, seconds, who, expected) in [
        (Kind::Weight(0.0), 1.0, "ann", "weight: 0; expected above 0"),
        (Kind::Weight(1.5), 1.0, "ann", "weight: 1.5; expected above 0"),
        (Kind::Weight(f64::NAN), 1.0, "ann", "weight: NaN; expected above 0"),
        (Kind::Pinned, 0.0, "ann", "seconds: 0; expected from 0.1"),
        (Kind::Pinned, f64::INFINITY, "ann", "seconds: inf; expected from 0.1"),
        (Kind::Pinned, 1e12, "ann", "seconds: 1000000000000; expected from 0.1"),
        (Kind::Pinned, 1.0, " ", "who: \" \"; expected 1 to 200"),
        (Kind::Pinned, 1.0, "a\nb", "who: \"a\\nb\"; expected 1 to 200"),
    ] {
        let override_request =
            OverrideRequest { who: who.into(), ..override_request("zone:0", kind, seconds) };
        let found = overrides.propose(WALL, &override_request, true, None).unwrap_err().to_string();
        assert!(found.starts_with(expected), "{found}");
    }
}

/// Two operators set overrides of the same nodes at the same time. An operator whose request states the version that it is based on
/// must learn of the other change.
#[test]
fn the_later_of_two_concurrent_overrides_applies_or_is_refused_with_the_changes_since_its_version() {
    let mut overrides = new(8);
    let version = overrides.version();
    let (first, _) = overrides
        .propose(WALL, &override_request("zone:0", Kind::Weight(0.5), 10.0), false, Some(version))
        .unwrap();
    overrides.put(at(0.0), first);
    // A request that states its version is refused with the changes since; one that states none is accepted.
    let second = override_request("zone:0", Kind::Weight(0.8), 5.0);
    let Err(Refusal::Moved { changes, .. }) = overrides.propose(WALL, &second, false, Some(version)) else {
        panic!()
    };
    assert_eq!(changes, ["ann set zone:0 weight 0.5"]);
    set(&mut overrides, 0.0, &second);
    assert_eq!(given(&overrides, 0.0, 1).1, 0.8);
    // The later override ends first; the earlier one is still active and applies again.
    overrides.handle_timeout(at(5.1), wall(5.1));
    assert_eq!(given(&overrides, 5.1, 1).1, 0.5);
    assert_eq!(overrides.explain(at(5.1), address(1)).weight_left_s.map(|s| s.round()), Some(5.0));
}

/// The overrides of thirty nodes end at the same time. If all nodes got their full load at once, the waiting requests would overload
/// them.
#[test]
fn nodes_whose_overrides_end_at_once_get_their_load_back_in_steps() {
    let mut overrides = new(60);
    let mut ids = Vec::new();
    for i in (0..60).step_by(2) {
        let (record, _) = overrides
            .propose(WALL, &override_request(&address(i).to_string(), Kind::OutOfService, 10.0), true, None)
            .unwrap();
        ids.push(record.id);
        overrides.put(at(0.0), record);
    }
    overrides.poll_changed(at(0.0));
    assert_eq!(overrides.handle_timeout(at(10.01), wall(10.01)).len(), 30);
    assert!(overrides.is_empty(), "none is visible after its end");
    let full = |overrides: &Overrides, t: f64| {
        (0..60).step_by(2).map(|i| given(overrides, t, i)).filter(|g| g.0 == NodeState::Ready).count()
    };
    let share = |overrides: &Overrides, t: f64| {
        (0..60)
            .step_by(2)
            .map(|i| given(overrides, t, i))
            .filter(|g| g.0 == NodeState::Ready)
            .map(|g| g.1)
            .sum::<f64>()
    };
    let mut last = 0.0;
    let mut now = 10.01;
    while let Some(t) = overrides.poll_timeout(at(now)) {
        now = t.secs().max(now);
        overrides.handle_timeout(at(now), wall(now));
        overrides.poll_changed(at(now));
        let sum = share(&overrides, now);
        assert!(sum >= last - 1e-9 && sum - last <= 3.5, "{now}: from {last} to {sum}");
        last = sum;
        now += 1e-6;
    }
    assert_eq!((full(&overrides, now), last, overrides.returning().0), (30, 30.0, 0));
    assert!(now - 10.01 <= overrides.returning().1 + 0.1, "within the bound: {now}");
    // A node that is taken out of service in the middle of its ramp gets no load from then on.
    let mut overrides = new(8);
    let id = set(&mut overrides, 0.0, &override_request("10.0.0.3:9000", Kind::OutOfService, 10.0));
    overrides.clear(at(5.0), id, "bob").unwrap();
    assert_eq!(given(&overrides, 5.0, 3), (NodeState::Ready, 0.1, false));
    set(&mut overrides, 6.0, &override_request("10.0.0.3:9000", Kind::OutOfService, 10.0));
    assert_eq!(given(&overrides, 6.0, 3).0, NodeState::Draining);
    assert!(overrides.clear(at(6.0), id, "bob").is_err(), "an override can be cleared once only");
}

/// Automation sets thousands of overrides on the same nodes. Explanations must list them, and each must end.
#[test]
fn ten_thousand_overrides_apply_to_sixty_nodes_and_are_explained() {
    let mut overrides = new(60);
    let mut random = oorandom::Rand64::new(3);
    for i in 0..10_000u32 {
        let node = random.rand_range(0..60) as u32;
        let target = match i % 4 {
            0 => address(node).to_string(),
            1 => format!("{}/{}", address(node).ip(), random.rand_range(8..33)),
            2 => format!("shard:{}", node / 2),
            _ => format!("zone:{}", node / 8),
        };
        let kind = if i % 3 == 0 { Kind::Pinned } else { Kind::Weight(0.1 + 0.8 * random.rand_float()) };
        let seconds = 1.0 + random.rand_float() * 1000.0;
        let (record, _) =
            overrides.propose(WALL, &override_request(&target, kind, seconds), false, None).unwrap();
        overrides.put(at(0.0), record);
    }
    assert_eq!(overrides.len(), 10_000);
    let e = overrides.explain(at(0.0), address(7));
    assert!(e.service_by.is_some() && e.weight_by.is_some() && e.beaten.len() > 500, "{}", e.beaten.len());
    let mut ended = 0;
    for t in 1..=1002 {
        ended += overrides.handle_timeout(at(f64::from(t)), wall(f64::from(t))).len();
    }
    assert_eq!((ended, overrides.len()), (10_000, 0));
    assert_eq!(given(&overrides, 1002.0, 7), READY);
}
