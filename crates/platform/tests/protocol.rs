//! Tables of inputs and expected results for the platform's protocol: configuration, endpoint list, requests, answers.

use proptest::prelude::*;
use serde_json::{json, Value};
use tackmast::interface::*;
use tackmast_http::{Limits, Request, RequestReader, ResponseReader};
use tackmast_platform::{answer_head, attempt_head, Call, Configuration, List, Refusal, Reports, Settings};

fn settings() -> Value {
    json!({
        "balancers": 4, "granularity": 0.002, "areas": ["a", "b"], "registry_mode": "ask",
        "domain": {"unit_mean": 2.0, "largest": 6, "says_others": true, "cold_bears": 8.0,
            "class_writes": [null, true]},
        "guarantees": {"drain_grace": 1.0, "cold": 15.0, "cold_from": 0.3, "fall": 3.0, "fall_multiple": 2.5},
        "limits": {"retry_after": true, "max_retry_after": 0.5, "conn_idle": 30.0, "connect_timeout": 0.25,
            "max_attempts": 3},
        "report": {"fields": ["q"], "how": "inline"},
        "request_classes": [
            {"name": "read", "effect": "repeatable", "target": 0.3, "give_up": 1.5},
            {"name": "save", "effect": "by_key", "group": "cell", "window": 3.0, "target": 0.4, "give_up": 3.0},
        ],
        "grades": [{"name": "gold", "ceiling_rate": 8.0, "most_at_once": 16.0, "slack": 0.8, "proportion": 2.0}],
        "something": "new",
    })
}

fn config() -> Value {
    json!({
        "name": "n3", "listen": "127.0.0.4:8443", "discovery": "127.2.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.3, "memory_mb": 32, "sockets": 256},
        "known": {"revision": 41, "complete": true, "members": [
            {"id": "s-1", "host_port": "127.1.0.1:1", "locality": "a", "flavor": "m", "cell": 3, "phase": "Ready",
             "size": 1.0, "up_since_ms": 0}]},
        "settings": settings(),
    })
}

fn parsed_settings() -> Settings {
    Settings::read(settings().as_object().unwrap()).unwrap()
}

/// A mistake in a configuration file. The error must be one line that names the path, the value and what was expected; otherwise the
/// operator would have to search the file for it.
#[test]
fn configuration_error_names_path_value_and_expectation() {
    let configuration = Configuration::parse(config().to_string().as_bytes()).unwrap();
    assert_eq!(
        (configuration.name.as_str(), configuration.seed, configuration.limits.memory_bytes),
        ("n3", 0x8c1f_30d2_7a5b_e964, 32 << 20)
    );
    let known = configuration.known.unwrap();
    assert_eq!(
        (known.version, known.members[0].id.as_str(), known.members[0].shard),
        (41, "s-1", ShardId(3))
    );
    assert_eq!(known.members[0].up_since_ms, None, "0 stands for unknown");
    let settings = configuration.settings;
    assert_eq!(
        (settings.hosts, settings.longest_wait, settings.queue_length_position()),
        (4, TimeDelta::from_secs(0.5), Some(0))
    );
    // The path, a wrong value, and texts that the error must contain.
    let cases: [(&str, Value, [&str; 2]); 14] = [
        ("/listen", json!("nowhere"), ["listen: \"nowhere\"", "expected an address"]),
        ("/discovery", json!(7), ["discovery: 7", "expected an address"]),
        ("/seed", json!("xyz"), ["seed: xyz", "expected up to 16 hex digits"]),
        ("/limits", json!([]), ["limits", "expected an object"]),
        ("/limits/sockets", json!(3), ["limits.sockets: 3", "expected a number from 64"]),
        ("/limits/memory_mb", json!("much"), ["limits.memory_mb: \"much\"", "expected a number"]),
        ("/limits/cores", json!(-1), ["limits.cores: -1", "expected"]),
        ("/settings", json!(null), ["settings", "expected an object"]),
        ("/settings/request_classes", json!([]), ["request_classes", "expected at least one"]),
        (
            "/settings/request_classes/1/group",
            json!("moon"),
            ["settings.request_classes[1].group: moon", "cell"],
        ),
        ("/settings/request_classes/0/effect", json!("odd"), ["request_classes[0].effect: odd", "once"]),
        (
            "/settings/request_classes/0/target",
            json!("x"),
            ["request_classes[0].target", "expected a number"],
        ),
        ("/known/members/0/phase", json!("Odd"), ["known.members[0].phase: Odd", "expected Ready"]),
        (
            "/known/members/0/host_port",
            json!("x"),
            ["known.members[0].host_port: \"x\"", "expected an address"],
        ),
    ];
    for (path, value, parts) in cases {
        let mut all = config();
        *all.pointer_mut(path).unwrap() = value;
        let error = Configuration::parse(all.to_string().as_bytes()).unwrap_err().to_string();
        let is_named = parts.iter().all(|part| error.contains(part));
        assert!(is_named && !error.contains('\n'), "{path}: {error}");
    }
    // Peers are read only where the settings allow datagrams, and then their addresses must be valid.
    let with = |allowed: bool, peers: Value, listen: Value| {
        let mut all = config();
        all["settings"]["limits"]["peers"] = json!(allowed);
        (all["peers"], all["peer_listen"]) = (peers, listen);
        Configuration::parse(all.to_string().as_bytes())
            .map(|configuration| configuration.peers.map(|peers| peers.hosts.len()))
    };
    let (two, here) = (json!(["127.0.0.1:1", "127.0.0.1:2"]), json!("127.0.0.1:1"));
    assert_eq!(with(true, two.clone(), here.clone()), Ok(Some(2)));
    assert_eq!(with(false, two.clone(), json!(7)), Ok(None));
    assert_eq!(with(true, json!(null), here.clone()), Ok(None));
    for (peers, listen, part) in [
        (json!(["127.0.0.1:1", "x"]), here.clone(), "peers[1]: \"x\"; expected an address"),
        (json!("all"), here, "peers: \"all\"; expected an array of addresses"),
        (two, json!("x"), "peer_listen: \"x\"; expected an address"),
    ] {
        let error = with(true, peers, listen).unwrap_err().to_string();
        assert!(error.contains(part), "{error}");
    }
    for (text, part) in [("", "expected JSON"), ("{\"a\":", "expected JSON"), ("[]", "expected an object")] {
        assert!(Configuration::parse(text.as_bytes()).unwrap_err().to_string().contains(part), "{text}");
    }
}

/// Discovery sends a list with an invalid member. Applied in part, the list would lack nodes, so the whole list must be an error.
#[test]
fn list_is_applied_whole_or_not_at_all() {
    let member = |phase: &str, up: i64| json!({"id": "s-1", "host_port": "127.1.0.1:1", "locality": "b", "cell": 0, "phase": phase, "up_since_ms": up});
    let list = |members: Value| json!({"revision": 43, "complete": false, "members": members}).to_string();
    let settings = parsed_settings();
    for (phase, state) in
        [("Ready", NodeState::Ready), ("Terminating", NodeState::Draining), ("Gone", NodeState::Gone)]
    {
        let parsed = List::parse(list(json!([member(phase, 1234)])).as_bytes(), &settings).unwrap();
        let node = &parsed.members[0];
        assert_eq!(
            (parsed.version, parsed.complete, node.state, node.zone),
            (43, false, state, ZoneId(1)),
            "{phase}"
        );
        assert_eq!(node.up_since_ms, Some(1234));
    }
    assert!(List::parse(list(json!([])).as_bytes(), &settings).unwrap().members.is_empty());
    let bad = [
        "".to_owned(),
        "nonsense".to_owned(),
        "{}".to_owned(),
        list(json!({})),
        list(json!([{}])),
        list(json!([member("Ready", 0), member("Odd", 0)])),
        list(json!([member("Ready", 0)])).replace("43", "-1"),
        list(json!([member("Ready", 0)])).replace("\"cell\":0", "\"cell\":-1"),
        list(json!([member("Ready", 0)])).replace("s-1", &"x".repeat(200)),
    ];
    for text in bad {
        assert!(List::parse(text.as_bytes(), &settings).is_err(), "{text}");
    }
    assert_eq!(List::target(None), "/registry/instances");
    assert_eq!(List::target(Some((41, 20))), "/registry/instances?after=41&wait_ms=20");
}

/// Header fields of a valid request; `X-Odd` is one that this host does not know.
const VALID_FIELDS: [(&str, &str); 6] = [
    ("X-Call-Id", "9b1f03aa5c7e2d41"),
    ("X-Call-Class", "read"),
    ("X-Storage-Class", "gold"),
    ("X-Budget-Ms", "480"),
    ("X-Extent", "units=2,shard=5,hosts=3"),
    ("X-Odd", "not passed on"),
];

fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &str) -> Request {
    let mut text = format!("{method} {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n", body.len());
    fields.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    let mut reader = RequestReader::new(Limits::default());
    reader.push((text + "\r\n" + body).as_bytes());
    reader.next_request().unwrap().unwrap()
}

/// Returns the valid fields with these changes. A field without a value is removed.
fn changed(changes: &[(&'static str, Option<&'static str>)]) -> Vec<(&'static str, &'static str)> {
    let mut fields: Vec<(&str, &str)> = VALID_FIELDS.to_vec();
    for (name, value) in changes {
        fields.retain(|(field, _)| field != name);
        fields.extend(value.map(|value| (*name, value)));
    }
    fields
}

/// A valid request target.
const PATH: &str = "/api/00000003b4d60021/7f3A9c21e0b4d655?a=b";

/// The head of an attempt is built anew from the client's request. The node must receive the same method, target, body and ids, and no
/// field that this host does not know.
#[test]
fn valid_request_reaches_its_node_unchanged() {
    let call = Call::parse(request("PUT", PATH, &VALID_FIELDS, "bytes"), &parsed_settings()).unwrap();
    assert_eq!((call.volume, call.key), (0x3b4d60021, 0x7f3a9c21e0b4d655));
    assert_eq!(
        (call.traffic_class, call.plan, call.time_left),
        (TrafficClassId(0), PlanId(0), TimeDelta::from_secs(0.48))
    );
    assert_eq!(
        (call.units, call.shard, call.hosts, &call.body[..]),
        (2.0, Some(ShardId(5)), 3, &b"bytes"[..])
    );
    let text = String::from_utf8(call.head.to_vec()).unwrap()
        + &attempt_head("127.0.0.1:9".parse().unwrap(), call.time_left);
    let mut reader = RequestReader::new(Limits::default());
    reader.push(text.as_bytes());
    reader.push(&call.body);
    let attempt = reader.next_request().unwrap().unwrap();
    assert_eq!(
        (attempt.method.as_str(), attempt.target.as_str(), &attempt.body[..]),
        ("PUT", PATH, &b"bytes"[..])
    );
    assert_eq!(attempt.headers.first("x-call-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!((attempt.headers.first("x-budget-ms"), attempt.headers.first("x-odd")), (Some("480"), None));
    let idempotent_by_key = changed(&[("X-Call-Class", Some("save")), ("Idempotency-Key", Some("k-1"))]);
    let call = Call::parse(request("PUT", PATH, &idempotent_by_key, ""), &parsed_settings()).unwrap();
    assert!(String::from_utf8(call.head.to_vec()).unwrap().contains("Idempotency-Key: k-1\r\n"));
    let any_shard = changed(&[("X-Extent", Some("hosts=1, shard=-1, units=0.5, more=x"))]);
    assert_eq!(Call::parse(request("GET", PATH, &any_shard, ""), &parsed_settings()).unwrap().shard, None);
}

/// A client sends an invalid request. The answer must have the status that fits the mistake and a body that says what was expected, and
/// the request must not reach a node.
#[test]
fn bad_request_is_refused_with_its_status_and_the_expectation() {
    let field = |name, value| changed(&[(name, Some(value))]);
    let without = |name| changed(&[(name, None)]);
    let twice = |name, value| [&VALID_FIELDS[..], &[(name, value)]].concat();
    let valid = VALID_FIELDS.to_vec();
    type Case<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, &'a str, u16);
    let cases: Vec<Case> = vec![
        ("POST", PATH, valid.clone(), "", 405),
        ("GET", PATH, valid.clone(), "a body", 400),
        ("GET", "/", valid.clone(), "", 404),
        ("GET", "/api/00000003b4d60021", valid.clone(), "", 404),
        ("GET", "/api/00000003b4d6002/7f3a9c21e0b4d655", valid.clone(), "", 404),
        ("GET", "/api/+0000003b4d60021/7f3a9c21e0b4d655", valid.clone(), "", 404),
        ("GET", "/../00000003b4d60021/7f3a9c21e0b4d655", valid.clone(), "", 404),
        ("GET", "/%2e%2e/00000003b4d60021/7f3a9c21e0b4d655", valid.clone(), "", 404),
        ("GET", "http://x/00000003b4d60021/7f3a9c21e0b4d655", valid.clone(), "", 404),
        ("GET", PATH, without("X-Call-Id"), "", 400),
        ("GET", PATH, twice("X-Call-Id", "9b1f03aa5c7e2d42"), "", 400),
        ("GET", PATH, field("X-Call-Id", "a b"), "", 400),
        ("GET", PATH, field("X-Call-Id", ""), "", 400),
        ("GET", PATH, field("X-Call-Class", "none such"), "", 400),
        ("GET", PATH, without("X-Call-Class"), "", 400),
        ("GET", PATH, field("X-Storage-Class", "lead"), "", 400),
        ("GET", PATH, field("X-Budget-Ms", "soon"), "", 400),
        ("GET", PATH, field("X-Budget-Ms", "-5"), "", 400),
        ("GET", PATH, field("X-Budget-Ms", "1.5"), "", 400),
        ("GET", PATH, field("X-Budget-Ms", "99999999999999999999"), "", 400),
        ("GET", PATH, twice("X-Budget-Ms", "480"), "", 400),
        ("GET", PATH, without("X-Extent"), "", 400),
        ("GET", PATH, field("X-Extent", "units=x,shard=1,hosts=1"), "", 400),
        ("GET", PATH, field("X-Extent", "units=NaN,shard=1,hosts=1"), "", 400),
        ("GET", PATH, field("X-Extent", "units=-2,shard=1,hosts=1"), "", 400),
        ("GET", PATH, field("X-Extent", "units=7,shard=1,hosts=1"), "", 400),
        ("GET", PATH, field("X-Extent", "units=2,shard=-2,hosts=1"), "", 400),
        ("GET", PATH, field("X-Extent", "units=2,shard=99999999999,hosts=1"), "", 400),
        ("GET", PATH, field("X-Extent", "units=2,shard=1,hosts=0"), "", 400),
        ("GET", PATH, field("X-Extent", "units=2,units=1,shard=1,hosts=1"), "", 400),
        ("GET", PATH, field("X-Extent", "units=2,shard=1"), "", 400),
        // A request of a class that is idempotent by key, without a key.
        ("PUT", PATH, field("X-Call-Class", "save"), "", 400),
        ("GET", PATH, changed(&[("X-Call-Class", Some("save")), ("Idempotency-Key", Some("k"))]), "", 400),
        ("PUT", PATH, field("Idempotency-Key", "a b"), "", 400),
        ("PUT", PATH, twice("Idempotency-Key", ""), "", 400),
    ];
    for (method, target, fields, body, status) in cases {
        let parsed = Call::parse(request(method, target, &fields, body), &parsed_settings());
        let Refusal { status: refused, why } = parsed.expect_err(&format!("{method} {target} {fields:?}"));
        assert_eq!(refused, status, "{method} {target} {fields:?}: {why}");
        assert!(why.contains("expected"), "{why}");
    }
}

/// A node answers with each kind of status and report. If an answer were taken wrongly for "never ran", the request would be retried and
/// could take effect twice. An invalid report must be ignored.
#[test]
fn node_answer_has_the_outcome_that_the_protocol_defines() {
    let reports = Reports::of(&parsed_settings());
    type Case<'a> = (&'a str, &'a str, Outcome, Option<u32>, Option<f64>);
    let cases: Vec<Case> = vec![
        ("200 OK", "", Outcome::Done, None, None),
        ("500 Odd", "", Outcome::Error, None, None),
        ("503 Full", "X-Rejected: 1\r\n", Outcome::Full, None, None),
        ("504 Late", "X-Rejected: 1\r\n", Outcome::Full, None, None),
        ("503 Who knows", "", Outcome::Error, None, None),
        ("500 Odd", "X-Rejected: 1\r\n", Outcome::Error, None, None),
        ("404 None", "", Outcome::Cancelled, None, None),
        ("400 Odd", "X-Rejected: 1\r\n", Outcome::Cancelled, None, None),
        ("302 Elsewhere", "", Outcome::Error, None, None),
        ("200 OK", "X-Load-Report: inflight=7,queue=2,util=0.61\r\n", Outcome::Done, Some(2), None),
        ("200 OK", "X-Load-Report: queue=lots\r\n", Outcome::Done, None, None),
        ("200 OK", "X-Load-Report: queue=-1\r\n", Outcome::Done, None, None),
        ("200 OK", "X-Load-Report: #!\r\n", Outcome::Done, None, None),
        ("200 OK", "X-Load-Report: queue=3,inflight=NaN\r\n", Outcome::Done, None, None),
        ("200 OK", "X-Meter: ??\r\nX-Delta: 3\r\n", Outcome::Done, None, Some(3.0)),
        ("200 OK", "X-Delta: inf\r\n", Outcome::Done, None, None),
        ("200 OK", "X-Delta: -3\r\n", Outcome::Done, None, None),
    ];
    for (status, fields, outcome, waiting, elsewhere) in cases {
        let mut reader = ResponseReader::new(Limits::default());
        reader.push(format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n{fields}\r\nok").as_bytes());
        let report = reports.read(reader.next_response().unwrap().unwrap());
        assert_eq!(
            (report.outcome, report.waiting, report.elsewhere),
            (outcome, waiting, elsewhere),
            "{status} {fields}"
        );
        assert_eq!(report.body.len(), if outcome == Outcome::Done { 2 } else { 0 });
    }
}

/// A client parses the answers of this host. Each must have its status, Retry-After and body, and say whether the connection closes.
#[test]
fn answer_to_a_client_is_valid_http() {
    for (status, wait, closes) in [(200, None, false), (503, Some(0.25), true), (502, None, true)] {
        let mut reader = ResponseReader::new(Limits::default());
        reader.push(answer_head(status, 2, wait.map(TimeDelta::from_secs), closes).as_bytes());
        reader.push(b"ok");
        let answer = reader.next_response().unwrap().unwrap();
        let retry_after = answer.headers.first("retry-after").map(|text| text.parse::<f64>().unwrap());
        assert_eq!(
            (answer.status, retry_after, answer.closes, &answer.body[..]),
            (status, wait, closes, &b"ok"[..])
        );
    }
}

proptest! {
    /// A client sends a header field that this host does not know. A node could act on it, so it must not be forwarded.
    #[test]
    fn unknown_header_fields_do_not_reach_a_node(name in "[A-Za-z-]{1,12}", value in "[ -~]{0,40}") {
        let fields = [&VALID_FIELDS[..], &[(name.as_str(), value.as_str())]].concat();
        if let Ok(call) = Call::parse(request("GET", PATH, &fields, ""), &parsed_settings()) {
            let text = String::from_utf8(call.head.to_vec()).unwrap();
            let names: Vec<&str> = text.lines().skip(1).filter_map(|line| line.split(':').next()).collect();
            prop_assert!(names.iter().all(|name| ["X-Call-Id", "Idempotency-Key", "Content-Length"].contains(name)), "{text}");
        }
    }

    /// Discovery or a configuration file contains arbitrary text. Parsing must return an error instead of a panic.
    #[test]
    fn arbitrary_text_causes_no_panic(text in "[\\[\\]{}:,\"a-z0-9]{0,80}") {
        _ = List::parse(text.as_bytes(), &parsed_settings());
        _ = Configuration::parse(text.as_bytes());
    }
}
