//! Guards the JSON form of a report on a trace, which `tackmast rules --json` prints: the names of its fields, and number and
//! name of each rule.

use tackmast_invariants::{judge, Break, Report, RuleReport};
use tackmast_trace::{Event, Facts, Line};

#[test]
fn a_report_with_a_break() {
    let found = Break {
        rule: 2,
        t: 1_700_000_000_000_000,
        request: "host 1 session 2 command 3".into(),
        node: "127.0.0.1:9000".into(),
        what: "ran twice".into(),
    };
    let rule =
        RuleReport { rule: 2, name: "no double effect", checked: 3, cases: "cases", breaks: vec![found] };
    let report = Report { rules: vec![rule], unfit: Some("events were lost".into()) };
    assert_eq!(
        serde_json::to_string(&report).unwrap(),
        r#"{"rules":[{"rule":2,"name":"no double effect","checked":3,"cases":"cases","breaks":[{"rule":2,"t":1700000000000000,"transfer":"host 1 session 2 command 3","node":"127.0.0.1:9000","what":"ran twice"}]}],"unfit":"events were lost"}"#
    );
    let empty = Report { rules: Vec::new(), unfit: None };
    assert_eq!(serde_json::to_string(&empty).unwrap(), r#"{"rules":[],"unfit":null}"#);
}

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
