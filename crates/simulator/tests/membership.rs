//! Membership among hosts, and quota leases between them, in virtual time.

use tackmast_simulator::{fleet, play, Change, Found};

/// Fleets of 3 to 40 hosts, with up to 15% of datagrams lost, go through a start, kills, a restart without reachable seeds,
/// a partition, flapping links and changes of plans. Views and overrides must converge within the bounds, without a false
/// death and without an override that comes back after its end.
#[test]
fn fleets_detect_failures_and_views_and_overrides_converge() {
    // Hosts, and the fraction of datagrams that is lost.
    for (hosts, loss) in [(3, 0.0), (12, 0.0), (12, 0.15), (40, 0.02)] {
        let figures = fleet(hosts, loss, 7);
        let is_within = |time: Option<f64>, bound: f64| time.is_some_and(|seconds| seconds < bound);
        assert!(is_within(figures.all_known_s, 10.0), "{figures:?}");
        assert!(figures.first_known_s <= figures.all_dead_s, "{figures:?}");
        assert!(is_within(figures.all_dead_s, 30.0), "{figures:?}");
        assert!(is_within(figures.back_s, 20.0), "{figures:?}");
        assert!(is_within(figures.views_meet_s, 30.0), "{figures:?}");
        assert!(is_within(figures.stale_seeds_s, 60.0), "{figures:?}");
        assert!(is_within(figures.orders_meet_s, 20.0), "{figures:?}");
        assert!(is_within(figures.after_flaps_s, 20.0), "{figures:?}");
        for plan_time in [figures.plan_s, figures.large_plan_s, figures.plan_after_cut_s] {
            assert!(is_within(plan_time, 15.0), "{figures:?}");
        }
        assert_eq!((figures.false_deaths, figures.returned), (0, 0), "{figures:?}");
    }
}

fn play_changed(members: bool, change: Change) -> Found {
    let change = Change { members: Some(members), no_troubles: true, ..change };
    let mut world = change.of(5, 10);
    (world.clients, world.wall_off_s, world.drift, world.unit_s) = ([0, 0], 0.0, 0.0, 0.001);
    (world.rate, world.nodes) = (250.0, 10);
    play(&world, None)
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
        let (alone, lent) = (play_changed(false, change.clone()), play_changed(true, change));
        assert!(!alone.is_bad() && !lent.is_bad(), "{name}\n{}{}", alone.report, lent.report);
        let (used_alone, used_lent) = (alone.run.limit_used, lent.run.limit_used);
        assert!(
            used_lent > used_alone * 1.15,
            "{name}: {used_alone:.3} of the limit used alone, {used_lent:.3} with quota leases"
        );
    }
}
