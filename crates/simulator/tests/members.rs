//! Hosts that know of each other, in virtual time.

use tackmast_simulator::{fleet, play, Change, Found};

#[test]
fn fleets_know_and_miss_each_other_and_orders_meet() {
    // Hosts, and the part of datagrams that is lost.
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

#[test]
fn what_is_lent_serves_more_and_passes_no_limit() {
    // Most comes through one host of ten, which changes; half of the hosts leave.
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
