//! Tests of when a view is settled, and of which deaths are false.

use super::fault_history::{Absence, Cut};
use super::*;
use std::collections::HashSet;
use tackmast_host_core::PeerStatus;

fn status(host: u32, digest: u32, peers: &[(u32, &str, u64)]) -> MembersStatus {
    let peer = |(host, health, generation): &(u32, &str, u64)| PeerStatus {
        host: *host,
        health: (*health).to_owned(),
        generation: *generation,
        address: format!("a{host}"),
        site: Some(1),
        ..PeerStatus::default()
    };
    MembersStatus {
        host: Some(host),
        digest,
        generation: 7,
        address: format!("a{host}"),
        site: Some(1),
        peers: peers.iter().map(peer).collect(),
        ..MembersStatus::default()
    }
}

/// Hosts gossip, and for a while after a fault they differ in what they hold of each other. A scenario waits until the view has
/// settled: taken as settled too early, a later fault would be judged from a wrong start.
#[test]
fn view_is_settled_when_all_running_hosts_hold_each_other_alive_and_all_others_gone() {
    type Peers<'a> = &'a [(u32, &'a str, u64)];
    // What host 0 holds, the digests of hosts 0 and 1, which run, and whether their view has settled.
    let cases: &[(&str, Peers, (u32, u32), bool)] = &[
        ("both alive", &[(1, "alive", 7)], (5, 5), true),
        ("others are gone", &[(1, "alive", 7), (2, "dead", 7), (3, "left", 7)], (5, 5), true),
        ("digests differ", &[(1, "alive", 7)], (5, 6), false),
        ("one is missing", &[], (5, 5), false),
        ("one is suspected", &[(1, "suspect", 7)], (5, 5), false),
        ("an earlier generation", &[(1, "alive", 6)], (5, 5), false),
        ("one that is gone is held alive", &[(1, "alive", 7), (2, "alive", 7)], (5, 5), false),
    ];
    for (name, peers, digests, expected) in cases {
        let all = [status(0, digests.0, peers), status(1, digests.1, &[(0, "alive", 7)])];
        assert_eq!(is_settled(&all), *expected, "{name}");
    }
    let displaced = MembersStatus { displaced: true, ..status(1, 99, &[]) };
    let all = [status(0, 5, &[(1, "alive", 7)]), status(1, 5, &[(0, "alive", 7)]), displaced];
    assert!(is_settled(&all), "a displaced process does not count");
    assert!(!is_settled(&[]), "no host runs");
}

/// A host is held dead while it is down, or while the network between it and the observer is cut; that is right, and still so a
/// few periods later. The same verdict of another observer, or without such a fault, is a false death.
#[test]
fn death_is_excused_only_by_an_absence_or_a_cut_from_that_observer() {
    let start = Instant::now();
    let seconds = Duration::from_secs;
    let hosts = |numbers: &[u32]| numbers.iter().copied().collect::<HashSet<u32>>();
    let (from, to) = (start + seconds(10), Some(start + seconds(20)));
    let history = FaultHistory {
        absences: vec![Absence { host: 1, from, to }],
        past_cuts: vec![Cut { sides: (hosts(&[2]), hosts(&[3])), from, to }],
        ..FaultHistory::default()
    };
    // Observer, host, second of the death, and whether it is excused with a grace of five seconds.
    let cases = [
        (0, 1, 9, false),
        (0, 1, 12, true),
        (0, 1, 24, true),
        (0, 1, 26, false),
        (1, 0, 12, false),
        (2, 3, 12, true),
        (3, 2, 24, true),
        (2, 4, 12, false),
        (2, 3, 26, false),
    ];
    for (observer, host, at, expected) in cases {
        let excused = history.excuses(observer, host, start + seconds(at), seconds(5));
        assert_eq!(excused, expected, "{observer} {host} {at}");
    }
}
