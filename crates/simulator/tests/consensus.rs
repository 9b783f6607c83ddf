//! Consensus in virtual time: random walks and an exhaustive search of short orders find no violation in the replica, and
//! find each deliberate fault.

use tackmast_simulator::{
    explore, find_fault, run_random_walk, simulate_fleet, ConsensusFault, FleetTrial, RandomWalk,
};

/// Random walks of messages, crashes, partitions and lost disks over a consensus group. No step may violate a safety
/// property, and the walks must commit enough entries for that to mean something.
#[test]
fn random_walks_violate_no_safety_property() {
    let mut committed = 0;
    for seed in 20_000..20_150 {
        let walk = run_random_walk(&RandomWalk::drawn(seed, 800, None));
        assert_eq!(walk.broken, None, "walk {seed}, {:?}", walk.disk_and_voter_changes);
        committed += walk.committed;
    }
    // A walk on which nothing is committed shows nothing.
    assert!(committed > 150 * 10, "{committed}");
}

/// Three voters have a leader with a change under way. All orders of three steps are tried from there, and none may violate
/// a safety property.
#[test]
fn all_orders_of_three_steps_violate_no_safety_property() {
    let explored = explore(3, None);
    assert_eq!(explored.broken, None);
    assert!(explored.states > 5_000, "{}", explored.states);
}

/// A replica has one deliberate fault at a time. Random walks must find each, or they would not find a real one either.
#[test]
fn random_walks_find_deliberate_faults() {
    // The others take thousands of walks: `tackmast simulator agree --faults` looks for them.
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
    for fault in quick {
        assert!(find_fault(fault, 1, 300, 1_500).is_some(), "{fault:?}");
    }
}

/// Twenty hosts with three voters lose 2% of their messages, then their leader, then a third of the hosts by a partition.
/// Changes are committed quickly all the while, and a host that is cut off acts on an older state for at most its lease.
#[test]
fn fleet_commits_quickly_and_stale_state_ends_with_the_lease() {
    let figures = simulate_fleet(&FleetTrial { hosts: 20, voters: 3, seed: 5, loss: 0.02 });
    assert_eq!(figures.broken, Vec::<String>::new());
    assert!(figures.begins < 10.0 && figures.all_know.0 < 1.0, "{figures:?}");
    assert!(figures.commits > 20.0 && figures.leaderless < 10.0, "{figures:?}");
    // The hosts that are cut off have a valid lease for a while.
    assert!(figures.longest > 0.0, "{figures:?}");
}
