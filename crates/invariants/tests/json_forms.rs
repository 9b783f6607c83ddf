//! Guards the JSON form of a report on a trace, which `tackmast rules --json` prints: the names of its fields, and number and
//! name of each rule.

use tackmast_invariants::{judge, Report, RuleReport, Violation};
use tackmast_trace::{Event, Facts, Line};

/// A script of the operators reads a report with one violation of one rule, and one of a trace that proves nothing: all names of
/// fields are as they have been.
#[test]
fn report_keeps_its_json_form() {
    let found = Violation {
        rule: 2,
        time_us: 1_700_000_000_000_000,
        request: "host 1 session 2 command 3".into(),
        node: "127.0.0.1:9000".into(),
        what: "ran twice".into(),
    };
    let rule =
        RuleReport { rule: 2, name: "no double effect", checked: 3, cases: "cases", violations: vec![found] };
    let report = Report { rules: vec![rule], unfit: Some("events were lost".into()) };
    assert_eq!(
        serde_json::to_string(&report).unwrap(),
        r#"{"rules":[{"rule":2,"name":"no double effect","checked":3,"cases":"cases","breaks":[{"rule":2,"t":1700000000000000,"transfer":"host 1 session 2 command 3","node":"127.0.0.1:9000","what":"ran twice"}]}],"unfit":"events were lost"}"#
    );
    let empty = Report { rules: Vec::new(), unfit: None };
    assert_eq!(serde_json::to_string(&empty).unwrap(), r#"{"rules":[],"unfit":null}"#);
}

/// A trace without traffic is judged. The report lists all seven rules under the numbers and names that operators know.
#[test]
fn every_rule_has_its_number_and_name() {
    let report = judge(&[Line { t: 1, event: Event::Facts(Facts::default()) }]);
    let found: Vec<(u8, &str)> = report.rules.iter().map(|r| (r.rule, r.name)).collect();
    let expected = [
        (1, "one answer"),
        (2, "no double effect"),
        (3, "drains"),
        (4, "cold nodes"),
        (5, "order"),
        (6, "budget"),
        (7, "limits"),
    ];
    assert_eq!(found, expected);
    assert_eq!(report.unfit, None);
}
