//! Tests of generated faults and of their printed form.

use super::*;
use crate::faults_text;
use std::collections::BTreeSet;
use std::path::Path;

const BASE_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/membership/base.hcl");

pub(crate) fn mass_crash_script() -> Script {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/membership/mass-crash.hcl");
    Script::read(&file).unwrap_or_else(|error| panic!("{error}"))
}

fn describe(script: &Script) -> Vec<String> {
    let fault = |fault: &ScheduledFault| format!("{} {} {:?}", fault.at_s, fault.for_s, fault.action);
    script.faults.iter().map(fault).collect()
}

/// A hunt prints the seed and the faults of a scenario that failed. A developer must get the same faults from that seed, and from
/// the printed text as a script.
#[test]
fn seed_and_printed_script_give_the_same_faults_again() {
    let script = mass_crash_script();
    let base = std::fs::read_to_string(BASE_FILE).unwrap_or_else(|error| panic!("{error}"));
    let mut kinds = BTreeSet::new();
    for seed in 0..200 {
        let generated = add_generated_faults(&script, seed);
        let text = faults_text(&generated);
        assert_eq!(text, faults_text(&add_generated_faults(&script, seed)), "seed {seed}");
        let faults: String =
            text.lines().filter(|line| !line.starts_with('#')).map(|line| format!("{line}\n")).collect();
        let whole =
            format!("day {{\n  seconds = 6\n  hosts = 12\n  members = true\n  sites = 3\n}}\n{base}{faults}");
        let read = Script::parse("generated", &whole);
        let read = read.unwrap_or_else(|error| panic!("seed {seed}: {error}\n{text}"));
        assert_eq!(describe(&read), describe(&generated), "seed {seed}");
        for fault in &generated.faults[script.faults.len()..] {
            let action = format!("{:?}", fault.action);
            kinds.insert(action.split([' ', '(']).take(2).collect::<String>());
        }
    }
    assert!(kinds.len() >= 4, "{kinds:?}");
}
