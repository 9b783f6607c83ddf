//! Tests of the check that a scenario exercises the rules that its script names.

use super::exercise_failures;
use tackmast_invariants::{Report, RuleReport, RULE_COUNT};

/// A rule of which the trace had that many cases.
fn rule_report(number: u8, checked: usize) -> RuleReport {
    RuleReport { rule: number, name: "a rule", checked, cases: "cases", violations: Vec::new() }
}

fn report_of(rules: Vec<RuleReport>) -> Report {
    Report { rules, unfit: None }
}

/// A script says that its scenario exercises two rules, and the trace has cases of one of them.
#[test]
fn rule_without_a_case_is_a_failure() {
    let rules = (1..=RULE_COUNT).map(|number| rule_report(number, usize::from(number != 4)));
    let failures = exercise_failures(&[3, 4], &report_of(rules.collect()));
    assert_eq!(failures.len(), 1, "{failures:?}");
    assert!(failures[0].starts_with("rule 4 was not exercised"), "{failures:?}");
}

/// The checker gets one more rule. The scenarios that name an older rule must still fail where it has no case.
#[test]
fn rule_without_a_case_is_a_failure_beside_a_new_rule() {
    let rules = (1..=RULE_COUNT + 1).map(|number| rule_report(number, 0));
    assert_eq!(exercise_failures(&[1, 2], &report_of(rules.collect())).len(), 2);
}

/// A trace that can't be read has no rules at all, so that nothing shows that the scenario exercises one.
#[test]
fn rule_that_was_not_judged_is_a_failure() {
    let report = Report { rules: Vec::new(), unfit: Some("no facts".into()) };
    let failures = exercise_failures(&[7], &report);
    assert_eq!(failures.len(), 1, "{failures:?}");
    assert!(failures[0].starts_with("rule 7 was not judged"), "{failures:?}");
}
