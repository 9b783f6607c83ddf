//! Clients good and bad, on loopback.

mod common;

use common::*;
use std::time::{Duration, Instant};
use tackmast_emulators::http::{Heard, HttpClient, NodeFault};
use tackmast_platform_host::OpenCounts;

#[test]
fn requests_on_one_connection_are_answered_in_turn() {
    let mut rig = Rig::new();
    let mut client = rig.client();
    client.say(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(answer(&mut client).status, 200);
    // Three at once, over both nodes; the slow one first.
    rig.nodes[0].delay(Duration::from_millis(50));
    let parts = [rig.request("PUT", "read", 0, "first"), rig.request("PUT", "read", 1, "second"), rig.get(0)];
    client.say(&parts.concat());
    let all: Vec<_> = (0..3).map(|_| answer(&mut client)).collect();
    assert!(all.iter().all(|a| a.status == 200), "{all:?}");
    assert_eq!((body(&all[0]).as_str(), body(&all[1]).as_str()), ("first", "second"));
    assert!(body(&all[2]).starts_with("/api/00000000000000aa/"));
    // Byte by byte, with an empty line ahead.
    let text = [b"\r\n".to_vec(), rig.request("PUT", "read", 0, "slowly")].concat();
    for b in text {
        client.say(&[b]);
    }
    assert_eq!(body(&answer(&mut client)), "slowly");
    let seen = &rig.nodes[0].seen()[0].request;
    assert_eq!((seen.method.as_str(), &seen.body[..]), ("PUT", &b"first"[..]));
    assert_eq!(seen.headers.first("x-call-id"), Some("0000000000000001"));
    let left: u64 = seen.headers.first("x-budget-ms").unwrap().parse().unwrap();
    assert!((900..=1000).contains(&left), "{left}");
    let status = rig.ended();
    assert_eq!((status.core.taken, status.core.done, status.open), (4, 4, OpenCounts::default()));
}

#[test]
fn bad_clients_are_told_or_closed_in_time_and_reach_no_node() {
    let mut rig = Rig::new();
    let good = String::from_utf8(rig.get(0)).unwrap();
    let with = |more: &str| good.replace("Content-Length: 0\r\n", more);
    let big = with("Content-Length: 60000000\r\n") + &"x".repeat(2_000_000);
    let endless = format!("GET / HTTP/1.1\r\nHost: h\r\n{}", "X-A: bcdefghijk\r\n".repeat(20_000));
    let hidden = with("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + &good;
    let cases: Vec<(&str, String, u16)> = vec![
        ("noise", "\u{1}\u{2}\u{3}\u{4} GARBAGE\r\n\r\n".into(), 400),
        ("an endless head", endless, 431),
        ("no number for a length", with("Content-Length: abc\r\n"), 400),
        ("a negative length", with("Content-Length: -5\r\n"), 400),
        ("two lengths", with("Content-Length: 0\r\nContent-Length: 5\r\n"), 400),
        ("a huge length", with("Content-Length: 99999999999999999999\r\n"), 413),
        ("60 MB", big, 413),
        ("a second request hidden in the body", hidden, 400),
        ("an unknown class", good.replace("X-Call-Class: read", "X-Call-Class: nope"), 400),
        ("an unknown plan", good.replace("gold", "lead"), 400),
        ("no id", good.replace("X-Call-Id", "X-No-Id"), 400),
        ("two ids", good.replace("X-Call-Class", "X-Call-Id: 77\r\nX-Call-Class"), 400),
        ("no number for the time", good.replace("1000", "soon"), 400),
        ("no number for the extent", good.replace("units=1", "units=lots"), 400),
        ("another path", good.replace("/api/00000000000000aa", "/api"), 404),
        ("another method", good.replace("GET", "BREW"), 405),
        ("half a head", good[..40].into(), 408),
        ("half a body", with("Content-Length: 9\r\n") + "abc", 408),
        ("silence", String::new(), 408),
    ];
    let all: Vec<_> = cases
        .into_iter()
        .map(|(name, text, status)| {
            let mut client = rig.client();
            let work = move || {
                let since = Instant::now();
                client.say(text.as_bytes());
                (client.hear(PATIENCE), since.elapsed(), client)
            };
            (name, status, std::thread::spawn(work))
        })
        .collect();
    for (name, status, work) in all {
        let (heard, took, _client) = work.join().unwrap();
        match heard {
            Heard::Answer(a) => assert_eq!(a.status, status, "{name}"),
            // Who is still sending may lose the answer to the close.
            Heard::Closed => assert!(name.contains("60 MB") || name.contains("endless"), "{name}"),
            Heard::Nothing => panic!("{name}: nothing"),
        }
        assert!(took < Duration::from_millis(2900), "{name}: {took:?}");
    }
    assert_eq!(rig.given(), 0, "a bad request reached a node");
    assert_eq!(rig.ask("read", 0).status, 200);
    assert_eq!(rig.given(), 1);
}

#[test]
fn the_id_of_another_request_is_refused_and_the_open_one_served() {
    let mut rig = Rig::new();
    rig.nodes[0].delay(Duration::from_millis(200));
    let (mut first, mut second) = (rig.client(), rig.client());
    let text = rig.named("abc", "PUT", "read", 0, "mine");
    first.say(&text);
    until("the first is out", || rig.given() == 1);
    second.say(&text);
    assert_eq!(answer(&mut second).status, 409);
    assert_eq!(body(&answer(&mut first)), "mine");
    // Answered, its id is still that of another request.
    let mut third = rig.client();
    third.say(&text);
    assert_eq!(answer(&mut third).status, 409);
    assert_eq!(rig.given(), 1);
}

#[test]
fn silent_connections_by_the_hundred_keep_nobody_out() {
    let mut rig = Rig::with(128);
    // More than the host has descriptors for, opened at once and left silent; and a usual client in between.
    let mut usual = rig.client();
    let text = rig.get(0);
    usual.say(&text);
    assert_eq!(answer(&mut usual).status, 200);
    let mut silent: Vec<HttpClient> = Vec::new();
    let mut slowest = Duration::ZERO;
    for round in 0..10 {
        silent.extend((0..40).map(|_| rig.client()));
        let since = Instant::now();
        assert_eq!(rig.ask("read", round % 2).status, 200, "round {round}");
        let text = rig.get(1);
        usual.say(&text);
        assert_eq!(answer(&mut usual).status, 200, "the one that keeps its connection, round {round}");
        slowest = slowest.max(since.elapsed());
    }
    assert!(slowest < Duration::from_millis(1500), "{slowest:?}");
    // Each silent one has its end in time.
    for client in &mut silent {
        assert!(!matches!(client.hear(Duration::from_millis(2900)), Heard::Nothing));
    }
    let status = rig.ended();
    assert!(status.clients.evicted > 200, "{status:?}");
    assert!(status.client_connections <= 64, "{status:?}");
}

#[test]
fn the_same_bad_request_again_and_again_does_not_slow_others_down() {
    let mut rig = Rig::new();
    let address = rig.address;
    let until = Instant::now() + Duration::from_millis(1500);
    let rude: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(move || {
                let mut times = 0;
                while Instant::now() < until {
                    let Ok(mut c) = HttpClient::connect(address) else { continue };
                    c.say(b"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
                    assert!(!matches!(c.hear(PATIENCE), Heard::Nothing));
                    times += 1;
                }
                times
            })
        })
        .collect();
    let mut took: Vec<Duration> = Vec::new();
    let mut client = rig.client();
    while Instant::now() < until {
        let (text, since) = (rig.get(0), Instant::now());
        client.say(&text);
        assert_eq!(answer(&mut client).status, 200);
        took.push(since.elapsed());
    }
    took.sort();
    let times: usize = rude.into_iter().map(|r| r.join().unwrap()).sum();
    assert!(times > 100, "{times} bad requests");
    assert!(took[took.len() / 2] < Duration::from_millis(300), "{:?}", took[took.len() / 2]);
}

#[test]
fn a_client_that_leaves_takes_its_request_back() {
    let mut rig = Rig::new();
    rig.nodes[0].set(NodeFault::Silent, 1);
    let mut client = rig.client();
    let text = rig.get(0);
    client.say(&text);
    until("its attempt is out", || rig.given() == 1);
    drop(client);
    until("its attempt's connection closes", || rig.nodes[0].connections().1 == 0);
    // The next one is not held up by it.
    assert_eq!(rig.ask("read", 0).status, 200);
    let status = rig.ended();
    assert_eq!((status.core.left, status.open), (1, OpenCounts::default()), "{status:?}");
}
