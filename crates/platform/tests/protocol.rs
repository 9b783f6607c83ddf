//! The operators' protocol, as tables: configuration, node list, requests, answers.

use proptest::prelude::*;
use serde_json::{json, Value};
use tackmast::interface::*;
use tackmast_http::{Limits, Request, RequestReader, ResponseReader};
use tackmast_platform::{answer_head, attempt_head, Call, Configuration, List, Reports, Settings};

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

fn read() -> Settings {
    Settings::read(settings().as_object().unwrap()).unwrap()
}

#[test]
fn a_configuration_is_read_and_a_bad_one_names_place_value_and_what_was_expected() {
    let c = Configuration::parse(config().to_string().as_bytes()).unwrap();
    assert_eq!((c.name.as_str(), c.seed, c.limits.memory_bytes), ("n3", 0x8c1f_30d2_7a5b_e964, 32 << 20));
    let known = c.known.unwrap();
    assert_eq!(
        (known.version, known.members[0].id.as_str(), known.members[0].shard),
        (41, "s-1", ShardId(3))
    );
    assert_eq!(known.members[0].up_since_ms, None, "0 is long ago");
    let s = c.settings;
    assert_eq!((s.hosts, s.longest_wait, s.waiting_at()), (4, TimeDelta::from_secs(0.5), Some(0)));
    // Place, what stands there, and words of the one line that tells of it.
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
    for (place, value, words) in cases {
        let mut all = config();
        *all.pointer_mut(place).unwrap() = value;
        let e = Configuration::parse(all.to_string().as_bytes()).unwrap_err().to_string();
        assert!(words.iter().all(|w| e.contains(w)) && !e.contains('\n'), "{place}: {e}");
    }
    // Datagrams are there only where the settings allow them, and then their addresses must be good.
    let with = |allowed: bool, peers: Value, listen: Value| {
        let mut all = config();
        all["settings"]["limits"]["peers"] = json!(allowed);
        (all["peers"], all["peer_listen"]) = (peers, listen);
        Configuration::parse(all.to_string().as_bytes()).map(|c| c.peers.map(|p| p.1.len()))
    };
    let (two, here) = (json!(["127.0.0.1:1", "127.0.0.1:2"]), json!("127.0.0.1:1"));
    assert_eq!(with(true, two.clone(), here.clone()), Ok(Some(2)));
    assert_eq!(with(false, two.clone(), json!(7)), Ok(None));
    assert_eq!(with(true, json!(null), here.clone()), Ok(None));
    for (peers, listen, part) in [
        (json!(["127.0.0.1:1", "x"]), here.clone(), "peers[1]: \"x\"; expected an address"),
        (json!("all"), here, "peers: \"all\"; expected addresses"),
        (two, json!("x"), "peer_listen: \"x\"; expected an address"),
    ] {
        let e = with(true, peers, listen).unwrap_err().to_string();
        assert!(e.contains(part), "{e}");
    }
    for (text, word) in [("", "expected JSON"), ("{\"a\":", "expected JSON"), ("[]", "expected an object")] {
        assert!(Configuration::parse(text.as_bytes()).unwrap_err().to_string().contains(word), "{text}");
    }
}

#[test]
fn lists_are_read_whole_or_not_at_all() {
    let line = |phase: &str, up: i64| json!({"id": "s-1", "host_port": "127.1.0.1:1", "locality": "b", "cell": 0, "phase": phase, "up_since_ms": up});
    let list = |members: Value| json!({"revision": 43, "complete": false, "members": members}).to_string();
    let s = read();
    for (phase, state) in
        [("Ready", NodeState::Ready), ("Terminating", NodeState::Draining), ("Gone", NodeState::Gone)]
    {
        let l = List::parse(list(json!([line(phase, 1234)])).as_bytes(), &s).unwrap();
        let m = &l.members[0];
        assert_eq!((l.version, l.complete, m.state, m.zone), (43, false, state, ZoneId(1)), "{phase}");
        assert_eq!(m.up_since_ms, Some(1234));
    }
    assert!(List::parse(list(json!([])).as_bytes(), &s).unwrap().members.is_empty());
    let bad = [
        "".to_owned(),
        "nonsense".to_owned(),
        "{}".to_owned(),
        list(json!({})),
        list(json!([{}])),
        list(json!([line("Ready", 0), line("Odd", 0)])),
        list(json!([line("Ready", 0)])).replace("43", "-1"),
        list(json!([line("Ready", 0)])).replace("\"cell\":0", "\"cell\":-1"),
        list(json!([line("Ready", 0)])).replace("s-1", &"x".repeat(200)),
    ];
    for text in bad {
        assert!(List::parse(text.as_bytes(), &s).is_err(), "{text}");
    }
    assert_eq!(List::target(None), "/registry/instances");
    assert_eq!(List::target(Some((41, 20))), "/registry/instances?after=41&wait_ms=20");
}

const GOOD: [(&str, &str); 6] = [
    ("X-Call-Id", "9b1f03aa5c7e2d41"),
    ("X-Call-Class", "read"),
    ("X-Storage-Class", "gold"),
    ("X-Budget-Ms", "480"),
    ("X-Extent", "units=2,shard=5,hosts=3"),
    ("X-Odd", "not passed on"),
];

fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &str) -> Request {
    let mut text = format!("{method} {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n", body.len());
    fields.iter().for_each(|(n, v)| text += &format!("{n}: {v}\r\n"));
    let mut reader = RequestReader::new(Limits::default());
    reader.push((text + "\r\n" + body).as_bytes());
    reader.next_request().unwrap().unwrap()
}

/// The good request with some fields changed; no value takes a field out.
fn changed(changes: &[(&'static str, Option<&'static str>)]) -> Vec<(&'static str, &'static str)> {
    let mut fields: Vec<(&str, &str)> = GOOD.to_vec();
    for (name, value) in changes {
        fields.retain(|(n, _)| n != name);
        fields.extend(value.map(|v| (*name, v)));
    }
    fields
}

const PATH: &str = "/api/00000003b4d60021/7f3A9c21e0b4d655?a=b";

#[test]
fn a_good_request_passes_as_it_came() {
    let c = Call::parse(request("PUT", PATH, &GOOD, "bytes"), &read()).unwrap();
    assert_eq!((c.volume, c.key), (0x3b4d60021, 0x7f3a9c21e0b4d655));
    assert_eq!(
        (c.traffic_class, c.plan, c.time_left),
        (TrafficClassId(0), PlanId(0), TimeDelta::from_secs(0.48))
    );
    assert_eq!((c.units, c.shard, c.hosts, &c.body[..]), (2.0, Some(ShardId(5)), 3, &b"bytes"[..]));
    let text = String::from_utf8(c.head.to_vec()).unwrap()
        + &attempt_head("127.0.0.1:9".parse().unwrap(), c.time_left);
    let mut reader = RequestReader::new(Limits::default());
    reader.push(text.as_bytes());
    reader.push(&c.body);
    let attempt = reader.next_request().unwrap().unwrap();
    assert_eq!(
        (attempt.method.as_str(), attempt.target.as_str(), &attempt.body[..]),
        ("PUT", PATH, &b"bytes"[..])
    );
    assert_eq!(attempt.headers.first("x-call-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!((attempt.headers.first("x-budget-ms"), attempt.headers.first("x-odd")), (Some("480"), None));
    let idempotent_by_key = changed(&[("X-Call-Class", Some("save")), ("Idempotency-Key", Some("k-1"))]);
    let c = Call::parse(request("PUT", PATH, &idempotent_by_key, ""), &read()).unwrap();
    assert!(String::from_utf8(c.head.to_vec()).unwrap().contains("Idempotency-Key: k-1\r\n"));
    let new = changed(&[("X-Extent", Some("hosts=1, shard=-1, units=0.5, more=x"))]);
    assert_eq!(Call::parse(request("GET", PATH, &new, ""), &read()).unwrap().shard, None);
}

#[test]
fn a_bad_request_is_told_why() {
    let field = |n, v| changed(&[(n, Some(v))]);
    let without = |n| changed(&[(n, None)]);
    let twice = |n, v| [&GOOD[..], &[(n, v)]].concat();
    let good = GOOD.to_vec();
    type Case<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, &'a str, u16);
    let cases: Vec<Case> = vec![
        ("POST", PATH, good.clone(), "", 405),
        ("GET", PATH, good.clone(), "a body", 400),
        ("GET", "/", good.clone(), "", 404),
        ("GET", "/api/00000003b4d60021", good.clone(), "", 404),
        ("GET", "/api/00000003b4d6002/7f3a9c21e0b4d655", good.clone(), "", 404),
        ("GET", "/api/+0000003b4d60021/7f3a9c21e0b4d655", good.clone(), "", 404),
        ("GET", "/../00000003b4d60021/7f3a9c21e0b4d655", good.clone(), "", 404),
        ("GET", "/%2e%2e/00000003b4d60021/7f3a9c21e0b4d655", good.clone(), "", 404),
        ("GET", "http://x/00000003b4d60021/7f3a9c21e0b4d655", good.clone(), "", 404),
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
        ("PUT", PATH, field("X-Call-Class", "save"), "", 400), // idempotent by key, and no key
        ("GET", PATH, changed(&[("X-Call-Class", Some("save")), ("Idempotency-Key", Some("k"))]), "", 400),
        ("PUT", PATH, field("Idempotency-Key", "a b"), "", 400),
        ("PUT", PATH, twice("Idempotency-Key", ""), "", 400),
    ];
    for (method, target, fields, body, status) in cases {
        let found =
            Call::parse(request(method, target, &fields, body), &read()).map_err(|r| (r.status, r.why));
        let (found, why) = found.expect_err(&format!("{method} {target} {fields:?}"));
        assert_eq!(found, status, "{method} {target} {fields:?}: {why}");
        assert!(why.contains("expected"), "{why}");
    }
}

#[test]
fn answers_of_nodes_have_the_outcomes_of_the_protocol() {
    let reports = Reports::of(&read());
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
        let came = reports.read(reader.next_response().unwrap().unwrap());
        assert_eq!(
            (came.outcome, came.waiting, came.elsewhere),
            (outcome, waiting, elsewhere),
            "{status} {fields}"
        );
        assert_eq!(came.body.len(), if outcome == Outcome::Done { 2 } else { 0 });
    }
}

#[test]
fn answers_to_clients_can_be_read_again() {
    for (status, wait, closes) in [(200, None, false), (503, Some(0.25), true), (502, None, true)] {
        let mut reader = ResponseReader::new(Limits::default());
        reader.push(answer_head(status, 2, wait.map(TimeDelta::from_secs), closes).as_bytes());
        reader.push(b"ok");
        let a = reader.next_response().unwrap().unwrap();
        let told = a.headers.first("retry-after").map(|v| v.parse::<f64>().unwrap());
        assert_eq!((a.status, told, a.closes, &a.body[..]), (status, wait, closes, &b"ok"[..]));
    }
}

proptest! {
    #[test]
    fn no_words_of_a_client_reach_a_node_but_those_understood(name in "[A-Za-z-]{1,12}", value in "[ -~]{0,40}") {
        let fields = [&GOOD[..], &[(name.as_str(), value.as_str())]].concat();
        if let Ok(c) = Call::parse(request("GET", PATH, &fields, ""), &read()) {
            let text = String::from_utf8(c.head.to_vec()).unwrap();
            let names: Vec<&str> = text.lines().skip(1).filter_map(|l| l.split(':').next()).collect();
            prop_assert!(names.iter().all(|n| ["X-Call-Id", "Idempotency-Key", "Content-Length"].contains(n)), "{text}");
        }
    }

    #[test]
    fn no_list_makes_the_reader_panic(text in "[\\[\\]{}:,\"a-z0-9]{0,80}") {
        _ = List::parse(text.as_bytes(), &read());
        _ = Configuration::parse(text.as_bytes());
    }
}
