//! Tests on loopback of valid and invalid requests of clients.

mod common;

use common::*;
use std::time::{Duration, Instant};
use tackmast_emulators::http::{HttpClient, NodeFault, Received};
use tackmast_platform_host::OpenCounts;

/// A client pipelines requests to several nodes, the slowest first, and then sends a request byte by byte. Answers out of order would be
/// taken for answers to other requests.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let mut cluster = TestCluster::new();
    let mut client = cluster.client();
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(receive_response(&mut client).status, 200);
    // Three requests at once to both nodes, the slow one first.
    cluster.nodes[0].set_delay(Duration::from_millis(50));
    let parts = [
        cluster.request("PUT", "read", 0, "first"),
        cluster.request("PUT", "read", 1, "second"),
        cluster.read_request(0),
    ];
    client.send(&parts.concat());
    let all: Vec<_> = (0..3).map(|_| receive_response(&mut client)).collect();
    assert!(all.iter().all(|response| response.status == 200), "{all:?}");
    assert_eq!((body(&all[0]).as_str(), body(&all[1]).as_str()), ("first", "second"));
    assert!(body(&all[2]).starts_with("/api/00000000000000aa/"));
    // Byte by byte, after an empty line.
    let text = [b"\r\n".to_vec(), cluster.request("PUT", "read", 0, "slowly")].concat();
    for byte in text {
        client.send(&[byte]);
    }
    assert_eq!(body(&receive_response(&mut client)), "slowly");
    let received = &cluster.nodes[0].received_requests()[0].request;
    assert_eq!((received.method.as_str(), &received.body[..]), ("PUT", &b"first"[..]));
    assert_eq!(received.headers.first("x-call-id"), Some("0000000000000001"));
    let left: u64 = received.headers.first("x-budget-ms").unwrap().parse().unwrap();
    assert!((900..=1000).contains(&left), "{left}");
    let status = cluster.shut_down();
    assert_eq!(
        (status.core.commands_received, status.core.commands_done, status.open),
        (4, 4, OpenCounts::default())
    );
}

/// Clients send invalid requests: garbage, wrong lengths, smuggled requests, or nothing at all. Each must get its status or a close within
/// 2.9 s, and nothing may reach a node.
#[test]
fn bad_requests_are_answered_or_closed_in_time_and_reach_no_node() {
    let mut cluster = TestCluster::new();
    let good = String::from_utf8(cluster.read_request(0)).unwrap();
    let with = |more: &str| good.replace("Content-Length: 0\r\n", more);
    let big = with("Content-Length: 60000000\r\n") + &"x".repeat(2_000_000);
    let endless = format!("GET / HTTP/1.1\r\nHost: h\r\n{}", "X-A: bcdefghijk\r\n".repeat(20_000));
    let hidden = with("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + &good;
    let cases: Vec<(&str, String, u16)> = vec![
        ("garbage", "\u{1}\u{2}\u{3}\u{4} GARBAGE\r\n\r\n".into(), 400),
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
            let mut client = cluster.client();
            let work = move || {
                let since = Instant::now();
                client.send(text.as_bytes());
                (client.receive(TEST_TIMEOUT), since.elapsed(), client)
            };
            (name, status, std::thread::spawn(work))
        })
        .collect();
    for (name, status, work) in all {
        let (received, took, _client) = work.join().unwrap();
        match received {
            Received::Response(response) => assert_eq!(response.status, status, "{name}"),
            // A client that is still sending may lose the answer to the close.
            Received::Closed => assert!(name.contains("60 MB") || name.contains("endless"), "{name}"),
            Received::Nothing => panic!("{name}: nothing"),
        }
        assert!(took < Duration::from_millis(2900), "{name}: {took:?}");
    }
    assert_eq!(cluster.received_request_count(), 0, "a bad request reached a node");
    assert_eq!(cluster.call("read", 0).status, 200);
    assert_eq!(cluster.received_request_count(), 1);
}

/// Several clients send the same request id, while the first request is open and after it was answered. Nodes would take a later request
/// for a repetition of the first, so it must be refused.
#[test]
fn request_id_in_use_is_refused_and_the_open_request_served() {
    let mut cluster = TestCluster::new();
    cluster.nodes[0].set_delay(Duration::from_millis(200));
    let (mut first, mut second) = (cluster.client(), cluster.client());
    let text = cluster.request_with_id("abc", "PUT", "read", 0, "mine");
    first.send(&text);
    wait_until("the first request is at its node", || cluster.received_request_count() == 1);
    second.send(&text);
    assert_eq!(receive_response(&mut second).status, 409);
    assert_eq!(body(&receive_response(&mut first)), "mine");
    // The first request is answered, and its id is still remembered.
    let mut third = cluster.client();
    third.send(&text);
    assert_eq!(receive_response(&mut third).status, 409);
    assert_eq!(cluster.received_request_count(), 1);
}

/// Clients open more connections than the host has descriptors, and send nothing. Other clients must still be served, on new connections
/// and on persistent ones.
#[test]
fn hundreds_of_silent_connections_keep_no_client_out() {
    let mut cluster = TestCluster::with_sockets(128);
    let mut kept = cluster.client();
    let text = cluster.read_request(0);
    kept.send(&text);
    assert_eq!(receive_response(&mut kept).status, 200);
    let mut silent: Vec<HttpClient> = Vec::new();
    let mut slowest = Duration::ZERO;
    for round in 0..10 {
        silent.extend((0..40).map(|_| cluster.client()));
        let since = Instant::now();
        assert_eq!(cluster.call("read", round % 2).status, 200, "round {round}");
        let text = cluster.read_request(1);
        kept.send(&text);
        assert_eq!(
            receive_response(&mut kept).status,
            200,
            "the client that keeps its connection, round {round}"
        );
        slowest = slowest.max(since.elapsed());
    }
    assert!(slowest < Duration::from_millis(1500), "{slowest:?}");
    // Each silent client is answered or closed in time.
    for client in &mut silent {
        assert!(!matches!(client.receive(Duration::from_millis(2900)), Received::Nothing));
    }
    let status = cluster.shut_down();
    assert!(status.client_counters.evicted > 200, "{status:?}");
    assert!(status.client_connections <= 64, "{status:?}");
}

/// Four clients repeatedly send an invalid request, each time on a new connection. Another client's requests must still be answered
/// quickly.
#[test]
fn repeated_bad_requests_do_not_slow_other_clients() {
    let mut cluster = TestCluster::new();
    let address = cluster.address;
    let until = Instant::now() + Duration::from_millis(1500);
    let bad_clients: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(move || {
                let mut times = 0;
                while Instant::now() < until {
                    let Ok(mut client) = HttpClient::connect(address) else { continue };
                    client.send(b"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
                    assert!(!matches!(client.receive(TEST_TIMEOUT), Received::Nothing));
                    times += 1;
                }
                times
            })
        })
        .collect();
    let mut took: Vec<Duration> = Vec::new();
    let mut client = cluster.client();
    while Instant::now() < until {
        let (text, since) = (cluster.read_request(0), Instant::now());
        client.send(&text);
        assert_eq!(receive_response(&mut client).status, 200);
        took.push(since.elapsed());
    }
    took.sort();
    let times: usize = bad_clients.into_iter().map(|thread| thread.join().unwrap()).sum();
    assert!(times > 100, "{times} bad requests");
    assert!(took[took.len() / 2] < Duration::from_millis(300), "{:?}", took[took.len() / 2]);
}

/// A client closes while a silent node has its request. The attempt must be cancelled: it would otherwise count against the concurrency
/// limit until its deadline.
#[test]
fn request_of_a_client_that_closes_is_cancelled() {
    let mut cluster = TestCluster::new();
    cluster.nodes[0].set_fault(NodeFault::Silent, 1);
    let mut client = cluster.client();
    let text = cluster.read_request(0);
    client.send(&text);
    wait_until("the attempt is at its node", || cluster.received_request_count() == 1);
    drop(client);
    wait_until("its attempt's connection closes", || cluster.nodes[0].open_connections() == 0);
    // It does not hold up the next request.
    assert_eq!(cluster.call("read", 0).status, 200);
    let status = cluster.shut_down();
    assert_eq!((status.core.commands_aborted, status.open), (1, OpenCounts::default()), "{status:?}");
}
