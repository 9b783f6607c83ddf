//! Membership among hosts, and quota leases between them, in virtual time.

use tackmast_simulator::{fleet, play, Change, Found};

/// Fleets of 3 to 40 hosts, with up to 15% of datagrams lost, go through a start, kills, a restart without reachable seeds,
/// a partition, flapping links and changes of plans. Views and overrides must converge within the bounds, without a false
/// death and without an override that comes back after its end.
#[test]
fn fleets_detect_failures_and_views_and_overrides_converge() {
    // Hosts, and the fraction of datagrams that is lost.
    for (hosts, loss) in [(3, 0.0), (12, 0.0), (12, 0.15), (40, 0.02)] {
        let f = fleet(hosts, loss, 7);
        assert!(f.all_known_s.is_some_and(|s| s < 10.0), "{f:?}");
        assert!(f.first_known_s <= f.all_dead_s && f.all_dead_s.is_some_and(|s| s < 30.0), "{f:?}");
        assert!(f.back_s.is_some_and(|s| s < 20.0) && f.views_meet_s.is_some_and(|s| s < 30.0), "{f:?}");
        assert!(f.stale_seeds_s.is_some_and(|s| s < 60.0), "{f:?}");
        assert!(f.orders_meet_s.is_some_and(|s| s < 20.0), "{f:?}");
        assert!(f.after_flaps_s.is_some_and(|s| s < 20.0), "{f:?}");
        for s in [f.plan_s, f.large_plan_s, f.plan_after_cut_s] {
            assert!(s.is_some_and(|s| s < 15.0), "{f:?}");
        }
        assert_eq!((f.false_deaths, f.returned), (0, 0), "{f:?}");
    }
}

fn world(members: bool, change: Change) -> Found {
    let change = Change { members: Some(members), no_troubles: true, ..change };
    let mut w = change.of(5, 10);
    (w.clients, w.wall_off_s, w.drift, w.unit_s) = ([0, 0], 0.0, 0.0, 0.001);
    (w.rate, w.nodes) = (250.0, 10);
    play(&w, None)
}

/// Most requests of a limited volume come through one host of ten, or half of its hosts leave. With quota leases between
/// hosts more of the limit must be used than without, and the limit must hold.
#[test]
fn quota_leases_serve_more_within_the_limit() {
    for (name, change) in [
        (
            "busiest",
            Change { limited_hosts: Some(10), busiest: 0.95, seconds: Some(12.0), ..Change::default() },
        ),
        ("leave", Change { limited_hosts: Some(10), leave: 0.5, seconds: Some(12.0), ..Change::default() }),
    ] {
        let (alone, lent) = (world(false, change.clone()), world(true, change));
        assert!(!alone.is_bad() && !lent.is_bad(), "{name}\n{}{}", alone.report, lent.report);
        let (a, b) = (alone.run.limit_used, lent.run.limit_used);
        assert!(b > a * 1.15, "{name}: {a:.3} of the limit used alone, {b:.3} with loans");
    }
}
