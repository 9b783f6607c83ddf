//! Guards the JSON form of a scenario's report, which `tackmast scenario --json` prints and `report.json` holds.

use tackmast_scenario::{ConsensusObservations, Convergence, Report, Served, ViewObservations};

fn full_report() -> Report {
    let served = Served {
        plan: "basic".into(),
        traffic_class: "read".into(),
        requests: 1,
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
    let convergence = |settled_s| Convergence { fault: "node slow".into(), settled_s };
    let view = ViewObservations {
        hosts: 3,
        period_s: 0.25,
        convergences: vec![convergence(Some(1.5)), convergence(None)],
        deaths: 2,
        false_deaths: 1,
        false_death_descriptions: vec!["host 1 of 2".into()],
        bytes_per_s: 100.5,
        cpu_share: 0.125,
    };
    let consensus = ConsensusObservations {
        changes: 1,
        max_outdated_s: 2.5,
        allowed_s: 3.5,
        leaderless_s: 4.5,
        status_count: 5,
        operator_call_count: 6,
        violations: vec!["stale read".into()],
    };
    Report {
        seed: 7,
        served: vec![served],
        blocks_checked: 10,
        failures: vec!["bytes differ".into()],
        rules: tackmast_invariants::Report { rules: Vec::new(), unfit: None },
        view: Some(view),
        consensus: Some(consensus),
    }
}

/// Scripts of operators read the report of a scenario with membership and consensus. Fields may get better names in Rust, but their
/// JSON keys and order stay.
#[test]
fn report_with_view_and_consensus_keeps_its_json_form() {
    assert_eq!(
        serde_json::to_string(&full_report()).unwrap(),
        r#"{"seed":7,"served":[{"plan":"basic","stream":"read","asked":1,"in_time":0.5,"done":2,"deferred":3,"abandoned":4,"lost":5,"unreached":6,"shut":7,"p50_ms":8.5,"p99_ms":9.5}],"blocks_checked":10,"failures":["bytes differ"],"rules":{"rules":[],"unfit":null},"view":{"hosts":3,"period_s":0.25,"after":[{"fault":"node slow","settled_s":1.5},{"fault":"node slow","settled_s":null}],"deaths":2,"false_deaths":1,"false_words":["host 1 of 2"],"bytes":100.5,"cpu":0.125},"agreed":{"changes":1,"longest_s":2.5,"allowed_s":3.5,"leaderless_s":4.5,"asked":5,"history":6,"broken":["stale read"]}}"#
    );
}

/// Without membership there is neither a view nor consensus. Their keys stay, with null, so that scripts can tell the two apart.
#[test]
fn report_without_membership_has_null_for_view_and_consensus() {
    let bare =
        Report { served: Vec::new(), failures: Vec::new(), view: None, consensus: None, ..full_report() };
    assert_eq!(
        serde_json::to_string(&bare).unwrap(),
        r#"{"seed":7,"served":[],"blocks_checked":10,"failures":[],"rules":{"rules":[],"unfit":null},"view":null,"agreed":null}"#
    );
}
