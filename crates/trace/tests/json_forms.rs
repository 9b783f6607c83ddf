//! Guards the JSON lines of a trace: recorded traces are kept and judged again by later builds.

use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use tackmast_trace::{
    read, write, AnswerKind, AttemptEndKind, AttemptName, EffectKind, Event, Facts, Line, ListedState, Side,
    TrafficClassFacts, VolumeFacts,
};

/// Checks that the value is written as this text, and that this text is read back as the value.
#[track_caller]
fn assert_form<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), text);
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), value);
}

#[track_caller]
fn assert_event(event: Event, text: &str) {
    assert_form(&Line { t: 1_700_000_000_000_000, event }, text);
}

fn name() -> AttemptName {
    AttemptName { host: 1, generation: 77, request: 12, attempt: 2 }
}

fn node() -> String {
    "127.0.0.1:9000".into()
}

/// A later build reads the facts of a trace that was recorded before, also one without the size of extents.
#[test]
fn facts_keep_their_json_form() {
    let volume = VolumeFacts {
        volume: 3,
        plan: "basic".into(),
        limit: 40.0,
        burst: 64.0,
        slack: 8.0,
        extent_bytes: 32_768,
    };
    let traffic_class = TrafficClassFacts {
        name: "read".into(),
        latency_objective_us: 200_000,
        effect: EffectKind::IdempotentByKeyZone,
        window_us: 5_000_000,
        in_order: true,
    };
    let facts = Facts {
        traffic_classes: vec![traffic_class],
        volumes: vec![volume.clone()],
        unit_bytes: 4096,
        max_units: 8.0,
        answer_slack_us: 1,
        grace_us: 2,
        slow_start_multiple: 1.5,
        slow_start_window_us: 3,
        slow_start_safe_units: 4.5,
        settle_us: 5,
        retry_budget: Some((10.0, 0.2, 6)),
        skew_us: 7,
    };
    assert_event(
        Event::Facts(facts),
        r#"{"t":1700000000000000,"e":"facts","streams":[{"name":"read","slo_us":200000,"effect":"keyed_zone","window_us":5000000,"in_order":true}],"volumes":[{"volume":3,"plan":"basic","limit":40.0,"burst":64.0,"slack":8.0,"extent_bytes":32768}],"unit_bytes":4096,"most_units":8.0,"answer_slack_us":1,"grace_us":2,"cold_multiple":1.5,"cold_window_us":3,"cold_safe_units":4.5,"settle_us":5,"further":[10.0,0.2,6],"skew_us":7}"#,
    );
    assert_event(
        Event::Facts(Facts::default()),
        r#"{"t":1700000000000000,"e":"facts","streams":[],"volumes":[],"unit_bytes":0,"most_units":0.0,"answer_slack_us":0,"grace_us":0,"cold_multiple":0.0,"cold_window_us":0,"cold_safe_units":0.0,"settle_us":0,"further":null,"skew_us":0}"#,
    );
    // A line of a build that did not have this field.
    let text = serde_json::to_string(&volume).unwrap().replace(",\"extent_bytes\":32768", "");
    assert_eq!(
        serde_json::from_str::<VolumeFacts>(&text).unwrap(),
        VolumeFacts { extent_bytes: 0, ..volume }
    );
}

/// A later build reads every kind of answer, state, outcome and side, and the name of an attempt, as they were recorded.
#[test]
fn kinds_and_names_keep_their_json_form() {
    let effects = [
        EffectKind::Idempotent,
        EffectKind::IdempotentByKeyAll,
        EffectKind::IdempotentByKeyZone,
        EffectKind::IdempotentByKeyShard,
        EffectKind::NonIdempotent,
    ];
    assert_form(&effects, r#"["repeatable","keyed_all","keyed_zone","keyed_shard","unrepeatable"]"#);
    let answers = [AnswerKind::Done, AnswerKind::Rejected, AnswerKind::Failed, AnswerKind::InvalidRequest];
    assert_form(&answers, r#"["done","deferred","abandoned","rejected"]"#);
    assert_form(
        &[ListedState::Ready, ListedState::Draining, ListedState::Gone],
        r#"["ready","draining","gone"]"#,
    );
    assert_form(
        &[AttemptEndKind::Done, AttemptEndKind::Error, AttemptEndKind::NeverRan],
        r#"["done","error","never_ran"]"#,
    );
    assert_form(&[Side::Clients, Side::List], r#"["clients","list"]"#);
    assert_form(&name(), r#"{"host":1,"life":77,"xfer":12,"leg":2}"#);
}

/// A later build reads what clients saw as it was recorded.
#[test]
fn client_events_keep_their_json_form() {
    let submit = Event::Submit {
        host: 1,
        session: 2,
        command: 3,
        volume: 4,
        traffic_class: 5,
        write: true,
        offset: 6,
        bytes: 7,
        deadline_us: 8,
    };
    assert_event(
        submit,
        r#"{"t":1700000000000000,"e":"submit","host":1,"session":2,"command":3,"volume":4,"stream":5,"write":true,"offset":6,"bytes":7,"expiry_us":8}"#,
    );
    let answer =
        Event::Answer { host: 1, session: 2, command: 3, kind: AnswerKind::Rejected, retry_after_us: 9 };
    assert_event(
        answer,
        r#"{"t":1700000000000000,"e":"answer","host":1,"session":2,"command":3,"kind":"deferred","come_back_us":9}"#,
    );
    assert_event(
        Event::Left { host: 1, session: 2, command: 3 },
        r#"{"t":1700000000000000,"e":"left","host":1,"session":2,"command":3}"#,
    );
    assert_event(
        Event::Session { host: 1, session: 2, client: "127.0.0.1:50000".into() },
        r#"{"t":1700000000000000,"e":"session","host":1,"session":2,"client":"127.0.0.1:50000"}"#,
    );
    assert_event(
        Event::ConnectionLost { client: "127.0.0.1:50000".into() },
        r#"{"t":1700000000000000,"e":"connection_lost","client":"127.0.0.1:50000"}"#,
    );
}

/// A later build reads what happened to hosts, and what the list and operators sent them, as it was recorded.
#[test]
fn host_and_operator_events_keep_their_json_form() {
    assert_event(Event::HostUp { host: 1 }, r#"{"t":1700000000000000,"e":"host_up","host":1}"#);
    assert_event(Event::HostDown { host: 1 }, r#"{"t":1700000000000000,"e":"host_down","host":1}"#);
    assert_event(Event::HostStops { host: 1 }, r#"{"t":1700000000000000,"e":"host_stops","host":1}"#);
    assert_event(Event::HostGoes { host: 1 }, r#"{"t":1700000000000000,"e":"host_goes","host":1}"#);
    assert_event(
        Event::Cut { host: 1, side: Side::Clients, on: true },
        r#"{"t":1700000000000000,"e":"cut","host":1,"side":"clients","on":true}"#,
    );
    assert_event(
        Event::Cut { host: 1, side: Side::List, on: false },
        r#"{"t":1700000000000000,"e":"cut","host":1,"side":"list","on":false}"#,
    );
    let notified = Event::Notified { host: 1, node: node(), state: ListedState::Draining, started_us: 4 };
    assert_event(
        notified,
        r#"{"t":1700000000000000,"e":"told","host":1,"node":"127.0.0.1:9000","state":"draining","started_us":4}"#,
    );
    assert_event(
        Event::Ordered { host: 1, node: node(), out: true },
        r#"{"t":1700000000000000,"e":"ordered","host":1,"node":"127.0.0.1:9000","out":true}"#,
    );
    let plan_changed = Event::PlanMoved { volume: 3, limit: 40.0, burst: 64.0, slack: 8.0, in_force_us: 5 };
    assert_event(
        plan_changed,
        r#"{"t":1700000000000000,"e":"plan_moved","volume":3,"limit":40.0,"burst":64.0,"slack":8.0,"in_force_us":5}"#,
    );
    assert_event(
        Event::Fault { what: "node slow".into(), on: true },
        r#"{"t":1700000000000000,"e":"trouble","what":"node slow","on":true}"#,
    );
    assert_event(Event::Truncated, r#"{"t":1700000000000000,"e":"truncated"}"#);
}

/// A later build reads what nodes saw as it was recorded.
#[test]
fn node_events_keep_their_json_form() {
    let node_up =
        Event::NodeUp { node: node(), zone: 1, shard: 2, capacity: 500.5, initial_capacity: 0.1, warm_us: 3 };
    assert_event(
        node_up,
        r#"{"t":1700000000000000,"e":"node_up","node":"127.0.0.1:9000","zone":1,"shard":2,"capacity":500.5,"cold_from":0.1,"warm_us":3}"#,
    );
    assert_event(
        Event::NodeDown { node: node() },
        r#"{"t":1700000000000000,"e":"node_down","node":"127.0.0.1:9000"}"#,
    );
    let attempt = Event::Attempt {
        node: node(),
        name: name(),
        session: 2,
        command: 3,
        part: 1,
        volume: 4,
        write: false,
        offset: 6,
        bytes: 7,
        units: 1.5,
        key: u64::MAX,
        idempotency_key: "a0b1".into(),
        left_us: 8,
    };
    assert_event(
        attempt,
        r#"{"t":1700000000000000,"e":"leg","node":"127.0.0.1:9000","name":{"host":1,"life":77,"xfer":12,"leg":2},"session":2,"command":3,"part":1,"volume":4,"write":false,"offset":6,"bytes":7,"units":1.5,"key":18446744073709551615,"mark":"a0b1","left_us":8}"#,
    );
    let attempt_end =
        Event::AttemptEnd { node: node(), name: name(), kind: AttemptEndKind::NeverRan, ran: false };
    assert_event(
        attempt_end,
        r#"{"t":1700000000000000,"e":"leg_end","node":"127.0.0.1:9000","name":{"host":1,"life":77,"xfer":12,"leg":2},"kind":"never_ran","ran":false}"#,
    );
    assert_event(
        Event::Cancel { node: node(), name: name() },
        r#"{"t":1700000000000000,"e":"cancel","node":"127.0.0.1:9000","name":{"host":1,"life":77,"xfer":12,"leg":2}}"#,
    );
    assert_event(
        Event::LinkDown { node: node(), host: 1, generation: 77, attempts: vec![name()] },
        r#"{"t":1700000000000000,"e":"link_down","node":"127.0.0.1:9000","host":1,"life":77,"legs":[{"host":1,"life":77,"xfer":12,"leg":2}]}"#,
    );
}

/// A trace is written to a file and read back. Each event is one line of JSON.
#[test]
fn trace_has_one_line_per_event() {
    let lines = [Line { t: 1, event: Event::HostUp { host: 0 } }, Line { t: 2, event: Event::Truncated }];
    let text = "{\"t\":1,\"e\":\"host_up\",\"host\":0}\n{\"t\":2,\"e\":\"truncated\"}\n";
    let mut written = Vec::new();
    write(&lines, &mut written).unwrap();
    assert_eq!(String::from_utf8(written).unwrap(), text);
    assert_eq!(read(text.as_bytes()).unwrap(), lines);
}
