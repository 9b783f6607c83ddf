//! Membership views of fleets under faults, in virtual time: every case settles, no view does what it must never do, and
//! each deliberate fault of the view is found.

use tackmast_simulator::{find, view, Case, Extensions, Shown, Trial, ViewFault};

fn trial(case: Case, hosts: u32, seed: u64) -> Trial {
    Trial { case, hosts, seed, extensions: Extensions::all(), fault: None }
}

/// Fleets of 3 to 24 hosts go through each hard case: kills, partitions, restarts, lost datagrams. After the last fault all
/// views must settle, none may do what a view must never do, and hosts that were alive must not be declared dead.
#[test]
fn every_case_settles_without_a_broken_view() {
    for case in Case::ALL {
        for (hosts, seed) in [(3, 1), (12, 1), (12, 2), (24, 3)] {
            let shown = view(&trial(case, hosts, seed));
            assert!(!shown.is_bad(), "{} of {hosts}, seed {seed}: {shown:?}", case.name());
            // A host that receives nothing for long declares all others dead; no other host may declare a false death.
            let by_deaf = if case == Case::Deaf { u64::from(hosts) - 1 } else { 0 };
            let bound = if case == Case::Lossy { 2 } else { 0 } + by_deaf;
            assert!(shown.false_deaths <= bound, "{} of {hosts}, seed {seed}: {shown:?}", case.name());
        }
    }
}

/// A failure is investigated by playing its seed again, so that one seed must give one run.
#[test]
fn same_seed_gives_the_same_run() {
    let shown = |seed| format!("{:?}", view(&trial(Case::Lossy, 12, seed)));
    assert_eq!(shown(4), shown(4));
    assert_ne!(shown(4), shown(5));
}

/// The view has one deliberate fault at a time. The cases must find each within three seeds.
#[test]
fn each_deliberate_view_fault_is_found_within_three_seeds() {
    for fault in ViewFault::ALL {
        let found = find(fault, 12, 1, 3);
        assert!(found.is_some(), "{fault:?}");
    }
}

/// Each extension of SWIM is switched off in the case that it is for. The fleet must then settle later, or accuse
/// more live hosts or declare more of them dead.
#[test]
fn each_extension_improves_the_case_it_is_for() {
    // Detection of a host's own pauses is tested on the view alone (crates/membership/tests/view.rs): here local health
    // covers it.
    let all = Extensions::all();
    let cases = [
        ("local health", Case::Mute, Extensions { local_health: false, ..all }),
        ("suspicion confirmation", Case::ThirdKilled, Extensions { suspicion_confirmation: false, ..all }),
        ("buddy system", Case::TwoParts, Extensions { buddy_system: false, sender_state: false, ..all }),
        ("rejoin", Case::SeedsGone, Extensions { rejoin: false, ..all }),
        ("duplicate id", Case::DuplicateId, Extensions { duplicate_id_check: false, ..all }),
    ];
    for (name, case, extensions) in cases {
        let figure = |extensions| -> f64 {
            let play = |seed| view(&Trial { extensions, ..trial(case, 24, seed) });
            let shown = (1..=5).map(play);
            let cost =
                |shown: Shown| shown.settled.unwrap_or(400.0) + (shown.false_deaths + shown.accused) as f64;
            shown.map(cost).sum()
        };
        let (with, without) = (figure(all), figure(extensions));
        assert!(without > with, "{name}: {with} with it, {without} without");
    }
}
