//! The agreement in virtual time: walks and all orders to a depth find nothing, and find each deliberate fault.

use tackmast_simulator::{
    explore, find_fault, run_random_walk, simulate_fleet, ConsensusFault, FleetTrial, RandomWalk,
};

#[test]
fn walks_find_nothing_that_must_not_be() {
    let mut committed = 0;
    for seed in 20_000..20_150 {
        let w = run_random_walk(&RandomWalk::drawn(seed, 800, None));
        assert_eq!(w.broken, None, "walk {seed}, {:?}", w.disk_and_voter_changes);
        committed += w.committed;
    }
    // They go somewhere: a walk on which nothing is agreed on shows nothing.
    assert!(committed > 150 * 10, "{committed}");
}

#[test]
fn all_orders_to_a_depth_of_three() {
    let e = explore(3, None);
    assert_eq!(e.broken, None);
    assert!(e.states > 5_000, "{}", e.states);
}

#[test]
fn deliberate_faults_are_found() {
    // Those that take thousands of walks are looked for by `tackmast simulator agree --faults`.
    let quick = [
        ConsensusFault::AckBeforePersist,
        ConsensusFault::StaleRead,
        ConsensusFault::NoLogCheck,
        ConsensusFault::MinorityCommits,
        ConsensusFault::KeepsConflicts,
        ConsensusFault::LostDiskVotes,
        ConsensusFault::LeaseWithoutEntries,
        ConsensusFault::SnapshotDropsSessions,
    ];
    for f in quick {
        assert!(find_fault(f, 1, 300, 1_500).is_some(), "{f:?}");
    }
}

#[test]
fn a_fleet_agrees_soon_and_ends_contradictions_within_the_lease() {
    let f = simulate_fleet(&FleetTrial { hosts: 20, voters: 3, seed: 5, loss: 0.02 });
    assert_eq!(f.broken, Vec::<String>::new());
    assert!(f.begins < 10.0 && f.all_know.0 < 1.0 && f.commits > 20.0 && f.leaderless < 10.0, "{f:?}");
    assert!(f.longest > 0.0, "the cut hosts held a lease for a while: {f:?}");
}
