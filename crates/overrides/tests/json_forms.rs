//! Tests the JSON forms of overrides, refusals, explanations and audit records: they are stored, and other hosts and operators'
//! scripts read them.

use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use tackmast_overrides::{
    Audit, AuditKind, Explanation, Kind, Origin, Override, OverrideEffect, OverrideId, OverrideRequest,
    Preview, Rank, Refusal, Service, Superseded, Target,
};

/// Asserts that the value is written as the text and that the text is read back as the value.
#[track_caller]
fn assert_form<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), text);
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), value);
}

fn record(id: u64, target: &str, kind: Kind, origin: Option<Origin>) -> Override {
    Override {
        id: OverrideId(id),
        target: target.parse().unwrap(),
        kind,
        reason: "disk \"smokes\"".into(),
        who: "ann".into(),
        set_us: 1_700_000_000_000_000,
        ends_us: 1_700_003_600_000_000,
        origin,
    }
}

fn origin() -> Origin {
    Origin { slot: 2, generation: 77, number: 9 }
}

/// Stores and peers hold these texts. With another form, a host would refuse the overrides on its disk after an upgrade.
#[test]
fn targets_kinds_and_ranks_have_these_json_forms() {
    for (text, form) in [
        ("10.1.2.3:9003", "\"10.1.2.3:9003\""),
        ("10.1.2.3/16", "\"10.1.0.0/16\""),
        ("shard:4", "\"shard:4\""),
        ("zone:0", "\"zone:0\""),
    ] {
        assert_form(&text.parse::<Target>().unwrap(), form);
    }
    assert_form(&Kind::Weight(0.25), r#"{"weight":0.25}"#);
    assert_form(&Kind::OutOfService, r#""out_of_service""#);
    assert_form(&Kind::Pinned, r#""pinned""#);
    assert_form(
        &[Rank::Zone, Rank::Shard, Rank::Net(16), Rank::Node],
        r#"["zone","shard",{"net":16},"node"]"#,
    );
    assert_form(&[Service::Listed, Service::Out, Service::Pinned], r#"["listed","out","pinned"]"#);
    assert_form(&OverrideId(7), "7");
}

/// Operators send requests in these forms, and stores hold overrides in them. With another form, a host would refuse both.
#[test]
fn requested_and_stored_overrides_have_these_json_forms() {
    let override_request = OverrideRequest {
        target: "zone:1".parse().unwrap(),
        kind: Kind::OutOfService,
        reason: "power".into(),
        who: "ann".into(),
        seconds: 90.5,
        origin: None,
    };
    assert_form(
        &override_request,
        r#"{"target":"zone:1","kind":"out_of_service","reason":"power","who":"ann","seconds":90.5}"#,
    );
    assert_form(
        &OverrideRequest { origin: Some(origin()), ..override_request },
        r#"{"target":"zone:1","kind":"out_of_service","reason":"power","who":"ann","seconds":90.5,"origin":{"slot":2,"life":77,"number":9}}"#,
    );
    assert_form(
        &record(1, "10.0.0.1:9000", Kind::OutOfService, None),
        r#"{"id":1,"target":"10.0.0.1:9000","kind":"out_of_service","reason":"disk \"smokes\"","who":"ann","set_us":1700000000000000,"ends_us":1700003600000000}"#,
    );
    assert_form(
        &record(2, "10.1.0.0/16", Kind::Weight(0.25), Some(origin())),
        r#"{"id":2,"target":"10.1.0.0/16","kind":{"weight":0.25},"reason":"disk \"smokes\"","who":"ann","set_us":1700000000000000,"ends_us":1700003600000000,"origin":{"slot":2,"life":77,"number":9}}"#,
    );
}

/// Operators' scripts tell refusals apart by these keys; a renamed key would break them.
#[test]
fn refusals_have_these_json_forms() {
    let value = Refusal::Value { what: "weight".into(), found: "2".into(), expected: "at most 1".into() };
    assert_form(&value, r#"{"value":{"what":"weight","found":"2","expected":"at most 1"}}"#);
    assert_form(&Refusal::TooMany { most: 10 }, r#"{"too_many":{"most":10}}"#);
    assert_form(
        &Refusal::LastOfShard { shard: 4, nodes: vec!["10.0.0.1:9000".into()] },
        r#"{"last_of_shard":{"shard":4,"nodes":["10.0.0.1:9000"]}}"#,
    );
    assert_form(
        &Refusal::TooMuchOfZone { zone: 1, out: 3, of: 4, max_part: 0.5 },
        r#"{"too_much_of_zone":{"zone":1,"out":3,"of":4,"most_part":0.5}}"#,
    );
    assert_form(
        &Refusal::Moved { asked: 3, now: 5, changes: vec!["set 4".into()] },
        r#"{"moved":{"asked":3,"now":5,"changes":["set 4"]}}"#,
    );
    assert_form(&Refusal::Unknown { id: OverrideId(8) }, r#"{"unknown":{"id":8}}"#);
}

/// Operators' scripts read previews and explanations, also from hosts of an earlier build that lack the newest field.
#[test]
fn previews_and_explanations_have_these_json_forms() {
    let out = OverrideEffect { service: Service::Out, weight: 0.5 };
    let preview = Preview {
        version: 3,
        changes: vec![("10.0.0.1:9000".parse().unwrap(), OverrideEffect::NONE, out)],
        named: 2,
        forced_past: Some(Refusal::LastOfShard { shard: 4, nodes: vec![] }),
    };
    assert_form(
        &preview,
        r#"{"version":3,"changes":[["10.0.0.1:9000",{"service":"listed","weight":1.0},{"service":"out","weight":0.5}]],"named":2,"forced_past":{"last_of_shard":{"shard":4,"nodes":[]}}}"#,
    );
    assert_form(
        &Preview { changes: vec![], forced_past: None, ..preview },
        r#"{"version":3,"changes":[],"named":2,"forced_past":null}"#,
    );
    let beaten = Superseded { id: OverrideId(3), by: OverrideId(1), why: "set later".into() };
    let explanation = Explanation {
        address: "10.0.0.1:9000".parse().unwrap(),
        listed: "ready".into(),
        standing: out,
        service_by: Some(record(1, "10.0.0.1:9000", Kind::OutOfService, None)),
        weight_by: None,
        service_left_s: Some(12.5),
        weight_left_s: None,
        beaten: vec![(record(3, "zone:1", Kind::Pinned, None), beaten)],
        returning: Some((4.5, 0.25)),
        given: "out of service".into(),
        up_s: Some(60.0),
    };
    assert_form(
        &explanation,
        r#"{"address":"10.0.0.1:9000","listed":"ready","standing":{"service":"out","weight":0.5},"service_by":{"id":1,"target":"10.0.0.1:9000","kind":"out_of_service","reason":"disk \"smokes\"","who":"ann","set_us":1700000000000000,"ends_us":1700003600000000},"weight_by":null,"service_left_s":12.5,"weight_left_s":null,"beaten":[[{"id":3,"target":"zone:1","kind":"pinned","reason":"disk \"smokes\"","who":"ann","set_us":1700000000000000,"ends_us":1700003600000000},{"id":3,"by":1,"why":"set later"}]],"returning":[4.5,0.25],"given":"out of service","up_s":60.0}"#,
    );
    // An answer of a build that does not have this field yet.
    let text = serde_json::to_string(&explanation).unwrap().replace(",\"up_s\":60.0", "");
    assert_eq!(
        serde_json::from_str::<Explanation>(&text).unwrap(),
        Explanation { up_s: None, ..explanation }
    );
}

/// The audit log keeps records for years, so that operators search records of many builds; the form must stay the same.
#[test]
fn audit_lines_have_these_json_forms() {
    let record = record(2, "10.1.0.0/16", Kind::Weight(0.25), None);
    assert_form(
        &Audit::set(&record, false),
        r#"{"at_us":1700000000000000,"kind":"set","id":2,"who":"ann","what":"10.1.0.0/16 weight 0.25: disk \"smokes\" (set by ann)"}"#,
    );
    assert_form(
        &Audit::set(&record, true),
        r#"{"at_us":1700000000000000,"kind":"set","id":2,"who":"ann","what":"10.1.0.0/16 weight 0.25: disk \"smokes\" (set by ann), forced"}"#,
    );
    assert_form(
        &Audit::cleared(1_700_000_000_000_001, &record, "bob"),
        r#"{"at_us":1700000000000001,"kind":"cleared","id":2,"who":"bob","what":"10.1.0.0/16 weight 0.25: disk \"smokes\" (set by ann)"}"#,
    );
    let kinds = [
        AuditKind::Set,
        AuditKind::Cleared,
        AuditKind::Ended,
        AuditKind::EndedAway,
        AuditKind::ClockStepped,
        AuditKind::Forced,
    ];
    assert_form(&kinds, r#"["set","cleared","ended","ended_away","clock_stepped","forced"]"#);
    let without_id =
        Audit { at_us: 5, kind: AuditKind::Forced, id: None, who: "eve".into(), what: "alone".into() };
    assert_form(&without_id, r#"{"at_us":5,"kind":"forced","id":null,"who":"eve","what":"alone"}"#);
}
