//! Views of fleets under faults, in virtual time: every case settles, no view does what none may, and each deliberate
//! fault of the view is found.

use tackmast_simulator::{find, view, Case, Extensions, Trial, ViewFault};

fn trial(case: Case, hosts: u32, seed: u64) -> Trial {
    Trial { case, hosts, seed, extensions: Extensions::all(), fault: None }
}

#[test]
fn every_case_settles_and_no_view_does_what_none_may() {
    for case in Case::ALL {
        for (hosts, seed) in [(3, 1), (12, 1), (12, 2), (24, 3)] {
            let shown = view(&trial(case, hosts, seed));
            assert!(!shown.is_bad(), "{} of {hosts}, seed {seed}: {shown:?}", case.name());
            // A host that hears nobody for long takes itself for alone; nobody else may find a false death.
            let by_deaf = if case == Case::Deaf { u64::from(hosts) - 1 } else { 0 };
            let bound = if case == Case::Lossy { 2 } else { 0 } + by_deaf;
            assert!(shown.false_deaths <= bound, "{} of {hosts}, seed {seed}: {shown:?}", case.name());
        }
    }
}

#[test]
fn the_same_seed_is_the_same_run() {
    let words = |seed| format!("{:?}", view(&trial(Case::Lossy, 12, seed)));
    assert_eq!(words(4), words(4));
    assert_ne!(words(4), words(5));
}

#[test]
fn each_fault_of_the_view_is_found_within_three_seeds() {
    for fault in ViewFault::ALL {
        let found = find(fault, 12, 1, 3);
        assert!(found.is_some(), "{fault:?}");
    }
}

#[test]
fn each_addition_is_needed_where_it_is_for() {
    // Without it: later, or more false deaths and accusations, over the same seeds. What a host's own pauses are for is shown
    // by the view alone (crates/membership/tests/view.rs): here local health covers it.
    let all = Extensions::all();
    let cases = [
        ("local health", Case::Mute, Extensions { local_health: false, ..all }),
        ("confirm", Case::ThirdKilled, Extensions { suspicion_confirmation: false, ..all }),
        ("told back", Case::TwoParts, Extensions { buddy_system: false, sender_state: false, ..all }),
        ("recall", Case::SeedsGone, Extensions { rejoin: false, ..all }),
        ("twin", Case::Twins, Extensions { duplicate_id_check: false, ..all }),
    ];
    for (name, case, extensions) in cases {
        let figure = |extensions| -> f64 {
            let of = |seed| view(&Trial { extensions, ..trial(case, 24, seed) });
            let all = (1..=5).map(of);
            all.map(|s| s.settled.unwrap_or(400.0) + (s.false_deaths + s.accused) as f64).sum()
        };
        let (with, without) = (figure(all), figure(extensions));
        assert!(without > with, "{name}: {with} with it, {without} without");
    }
}
