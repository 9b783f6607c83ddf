//! Guards the JSON form of a scenario's report, which `tackmast scenario --json` prints and `report.json` holds.

use tackmast_scenario::{After, AgreedSeen, Report, Served, ViewSeen};

fn full_report() -> Report {
    let served = Served {
        plan: "basic".into(),
        traffic_class: "read".into(),
        asked: 1,
        in_time: 0.5,
        done: 2,
        rejected: 3,
        failed: 4,
        lost: 5,
        unreached: 6,
        shut: 7,
        p50_ms: 8.5,
        p99_ms: 9.5,
    };
    let after = |settled_s| After { fault: "node slow".into(), settled_s };
    let view = ViewSeen {
        hosts: 3,
        period_s: 0.25,
        after: vec![after(Some(1.5)), after(None)],
        deaths: 2,
        false_deaths: 1,
        false_words: vec!["host 1 of 2".into()],
        bytes: 100.5,
        cpu: 0.125,
    };
    let agreed = AgreedSeen {
        changes: 1,
        longest_s: 2.5,
        allowed_s: 3.5,
        leaderless_s: 4.5,
        asked: 5,
        history: 6,
        broken: vec!["stale read".into()],
    };
    Report {
        seed: 7,
        served: vec![served],
        blocks_checked: 10,
        failures: vec!["bytes differ".into()],
        rules: tackmast_invariants::Report { rules: Vec::new(), unfit: None },
        view: Some(view),
        agreed: Some(agreed),
    }
}

#[test]
fn a_report_with_every_part() {
    assert_eq!(
        serde_json::to_string(&full_report()).unwrap(),
        r#"{"seed":7,"served":[{"plan":"basic","stream":"read","asked":1,"in_time":0.5,"done":2,"deferred":3,"abandoned":4,"lost":5,"unreached":6,"shut":7,"p50_ms":8.5,"p99_ms":9.5}],"blocks_checked":10,"failures":["bytes differ"],"rules":{"rules":[],"unfit":null},"view":{"hosts":3,"period_s":0.25,"after":[{"fault":"node slow","settled_s":1.5},{"fault":"node slow","settled_s":null}],"deaths":2,"false_deaths":1,"false_words":["host 1 of 2"],"bytes":100.5,"cpu":0.125},"agreed":{"changes":1,"longest_s":2.5,"allowed_s":3.5,"leaderless_s":4.5,"asked":5,"history":6,"broken":["stale read"]}}"#
    );
}

#[test]
fn a_report_of_hosts_that_know_nothing_of_each_other() {
    let bare = Report { served: Vec::new(), failures: Vec::new(), view: None, agreed: None, ..full_report() };
    assert_eq!(
        serde_json::to_string(&bare).unwrap(),
        r#"{"seed":7,"served":[],"blocks_checked":10,"failures":[],"rules":{"rules":[],"unfit":null},"view":null,"agreed":null}"#
    );
}
