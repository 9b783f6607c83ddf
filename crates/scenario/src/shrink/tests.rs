//! Tests of how a failing scenario is made smaller.

use super::*;
use crate::fault_generator::tests::mass_crash_script;
use crate::{add_generated_faults, ScheduledFault};

/// A hunt finds a scenario that fails because of one of its many faults. The developer gets the scenario with that fault alone, and
/// the search runs the scenario no more than about once for each fault.
#[test]
fn only_the_fault_that_makes_the_scenario_fail_is_left() {
    let mut script = add_generated_faults(&mass_crash_script(), 3);
    let template = script.faults[0].clone();
    let extra = |index| ScheduledFault { name: format!("extra {index}"), ..template.clone() };
    script.faults.extend((0..4).map(extra));
    let mut runs = 0;
    let smallest = shrink(script, |candidate| {
        runs += 1;
        Ok::<bool, ()>(candidate.faults.iter().any(|fault| fault.name == "extra 2"))
    });
    let left: Vec<String> = smallest.unwrap().faults.into_iter().map(|fault| fault.name).collect();
    assert_eq!(left, ["extra 2"]);
    assert!(runs < 20);
}
