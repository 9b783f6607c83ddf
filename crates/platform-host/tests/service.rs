//! Tests on loopback of the endpoint list, of signals, and of the size of tables over a long run.

mod common;

use common::*;
use std::time::{Duration, Instant};
use tackmast_emulators::http::{EndpointListFault, HttpEndpointList, HttpNode, NodeFault, Received};
use tackmast_platform_host::OpenCounts;

/// The list announces that a node is draining and that another one takes over. From then on no request may reach the draining node, its
/// idle connections must be closed once it is gone, and no request may fail.
#[test]
fn draining_node_gets_no_request_and_the_new_node_takes_over() {
    let mut cluster = TestCluster::new();
    assert_eq!(cluster.call("read", 0).status, 200);
    wait_until("a poll for changes is open", || {
        cluster.endpoint_list.polls().iter().any(|poll| poll.target.contains("after=0"))
    });
    cluster.nodes.push(HttpNode::start().unwrap());
    cluster.endpoint_list.update(member("s-0", &cluster.nodes[0], 0, "Terminating"));
    cluster.endpoint_list.update(member("s-9", &cluster.nodes[2], 0, "Ready"));
    let updated = Instant::now();
    while updated.elapsed() < Duration::from_millis(800) {
        assert_eq!(cluster.call("read", 0).status, 200);
    }
    let grace = updated + Duration::from_millis(300);
    assert!(
        cluster.nodes[0].received_requests().iter().all(|request| request.at < grace),
        "an attempt went to a draining node"
    );
    assert!(!cluster.nodes[2].received_requests().is_empty());
    cluster.endpoint_list.update(member("s-0", &cluster.nodes[0], 0, "Gone"));
    wait_until("idle connections to it are closed", || cluster.nodes[0].open_connections() == 0);
    wait_until("the list is polled on", || cluster.endpoint_list.polls().len() >= 3);
    let polls = cluster.endpoint_list.polls();
    assert!(polls.iter().all(|poll| poll.target.contains("wait_ms=")), "{polls:?}");
}

/// The list does not change, or answers each poll at once. A host that polled in a tight loop would overload the list service. This once
/// happened when version 0 was treated as no version, so that the complete list was polled repeatedly.
#[test]
fn unchanged_list_is_polled_rarely() {
    let cluster = TestCluster::new();
    std::thread::sleep(Duration::from_millis(500));
    assert!((1..=2).contains(&cluster.endpoint_list.polls().len()), "{:?}", cluster.endpoint_list.polls());
    cluster.endpoint_list.set_fault(EndpointListFault::AnswersAtOnce);
    std::thread::sleep(Duration::from_millis(500));
    let polls = cluster.endpoint_list.polls();
    assert!((2..=12).contains(&polls.len()), "{}", polls.len());
    let mut intervals: Vec<Duration> = polls.windows(2).skip(1).map(|pair| pair[1].at - pair[0].at).collect();
    intervals.sort();
    assert!(intervals[intervals.len() / 2] < Duration::from_millis(200), "still one watch: {polls:?}");
}

/// A node moves to another address and keeps its id. Connections to the old address must be closed, requests must go to the new one, and
/// the host must not count it as another node.
#[test]
fn node_that_moves_is_the_same_node() {
    let mut cluster = TestCluster::new();
    assert_eq!(cluster.call("read", 0).status, 200);
    cluster.nodes.push(HttpNode::start().unwrap());
    cluster.endpoint_list.update(member("s-0", &cluster.nodes[2], 0, "Ready"));
    wait_until("connections to the old address are closed", || cluster.nodes[0].open_connections() == 0);
    assert_eq!(cluster.call("read", 0).status, 200);
    assert_eq!(
        (cluster.nodes[0].received_requests().len(), cluster.nodes[2].received_requests().len()),
        (1, 1)
    );
    assert_eq!(cluster.shut_down().nodes, 2);
}

/// The list service fails in several ways. The host must continue to serve with the list that it has, poll again, and learn of a change
/// that was made meanwhile.
#[test]
fn host_serves_while_the_list_fails_and_polls_it_again() {
    for fault in [EndpointListFault::Unavailable, EndpointListFault::Garbage, EndpointListFault::Reset] {
        let mut cluster = TestCluster::new();
        wait_until("a first poll", || !cluster.endpoint_list.polls().is_empty());
        cluster.endpoint_list.set_fault(fault);
        std::thread::sleep(Duration::from_millis(700));
        assert_eq!(cluster.call("read", 0).status, 200, "{fault:?}");
        cluster.nodes.push(HttpNode::start().unwrap());
        cluster.endpoint_list.update(member("s-0", &cluster.nodes[0], 0, "Terminating"));
        cluster.endpoint_list.update(member("s-9", &cluster.nodes[2], 0, "Ready"));
        cluster.endpoint_list.set_fault(EndpointListFault::Healthy);
        // The list is polled again, and the host gets the change that it missed.
        let since = Instant::now();
        while cluster.nodes[2].received_requests().is_empty() {
            assert!(since.elapsed() < TEST_TIMEOUT, "{fault:?}");
            _ = cluster.call("read", 0);
        }
    }
}

/// An operator signals a reload with an invalid file, and then with one that names another address of the list. The first must change
/// nothing; the second must move the watch.
#[test]
fn reload_moves_the_watch_and_a_bad_file_changes_nothing() {
    let mut cluster = TestCluster::new();
    wait_until("a first poll", || !cluster.endpoint_list.polls().is_empty());
    let old = cluster.endpoint_list.address().to_string();
    cluster.reload("\"seed\":\"7\"", "\"seed\":!");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(cluster.call("read", 0).status, 200, "a bad file does not end the host");
    let new = HttpEndpointList::start().unwrap();
    new.add_initial(member("s-0", &cluster.nodes[0], 0, "Ready"));
    new.add_initial(member("s-1", &cluster.nodes[1], 1, "Ready"));
    cluster.reload("\"seed\":!", "\"seed\":\"7\"");
    cluster.reload(&old, &new.address().to_string());
    wait_until("the new address is polled", || !new.polls().is_empty());
    cluster.nodes.push(HttpNode::start().unwrap());
    new.update(member("s-0", &cluster.nodes[0], 0, "Terminating"));
    new.update(member("s-9", &cluster.nodes[2], 0, "Ready"));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(cluster.call("read", 0).status, 200);
    assert_eq!(
        (cluster.nodes[0].received_requests().len(), cluster.nodes[2].received_requests().len()),
        (1, 1)
    );
}

/// SIGTERM arrives while clients have open requests and others still connect. Clients have no other host, so they must be served until
/// shortly before the platform kills this one, and the process must have exited by then.
#[test]
fn shutdown_serves_clients_until_shortly_before_the_kill() {
    let mut cluster = TestCluster::new();
    cluster.nodes[0].set_delay(Duration::from_millis(300));
    let (mut kept, mut slow) = (cluster.client(), cluster.client());
    let text = cluster.read_request(0);
    slow.send(&text);
    wait_until("the request is at its node", || cluster.nodes[0].received_requests().len() == 1);
    let since = Instant::now();
    cluster.begin_shutdown();
    std::thread::sleep(Duration::from_millis(50));
    let mut probe = cluster.client();
    probe.send(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(receive_response(&mut probe).status, 503, "the health check after SIGTERM");
    assert_eq!(cluster.call("read", 1).status, 200, "a new connection is served");
    assert_eq!(receive_response(&mut slow).status, 200, "a request from before SIGTERM");
    // A client with a persistent connection is served on it until shortly before the host is killed.
    let mut closed = None;
    while closed.is_none() {
        let text = cluster.read_request(1);
        kept.send(&text);
        match kept.receive(TEST_TIMEOUT) {
            Received::Response(response) => {
                assert_eq!(response.status, 200);
                closed = response.closes.then(|| since.elapsed());
            }
            Received::Closed => closed = Some(since.elapsed()),
            Received::Nothing => panic!("no answer"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let closed = closed.unwrap();
    assert!((2500..3300).contains(&closed.as_millis()), "{closed:?}");
    wait_until("the host exits", || cluster.has_ended());
    assert!(since.elapsed() < Duration::from_millis(3650), "{:?}", since.elapsed());
}

/// SIGTERM arrives while no client is connected. The host must wait for clients that may still connect, and then exit early.
#[test]
fn shutdown_without_clients_ends_early() {
    let mut cluster = TestCluster::new();
    assert_eq!(cluster.call("read", 1).status, 200);
    let since = Instant::now();
    cluster.begin_shutdown();
    wait_until("the host exits", || cluster.has_ended());
    assert!((400..1500).contains(&since.elapsed().as_millis()), "{:?}", since.elapsed());
}

/// SIGTERM arrives while a silent node has a request. The client must get an answer before the host exits, although the node never answers.
#[test]
fn shutdown_answers_a_request_whose_node_is_silent() {
    let mut cluster = TestCluster::new();
    cluster.nodes[0].set_fault(NodeFault::Silent, 9);
    let mut client = cluster.client();
    let text = cluster.read_request(0);
    client.send(&text);
    wait_until("the request is at its node", || cluster.nodes[0].received_requests().len() == 1);
    let since = Instant::now();
    cluster.begin_shutdown();
    // The request's deadline comes before the end of the shutdown.
    let response = receive_response(&mut client);
    assert!(response.status >= 500, "{response:?}");
    drop(client);
    wait_until("the host exits", || cluster.has_ended());
    assert!(since.elapsed() < Duration::from_millis(3600));
}

/// Nodes with new ids join and leave for a long time. A table that kept every node would grow without bound,
/// and with it the memory of the process.
#[test]
fn tables_stay_bounded_as_nodes_and_ids_come_and_go() {
    let mut cluster = TestCluster::new();
    cluster.nodes.push(HttpNode::start().unwrap());
    for round in 0..150 {
        let (old, new) = (format!("r-{round}"), format!("r-{}", round + 1));
        cluster.endpoint_list.update(member(&new, &cluster.nodes[2], 2, "Ready"));
        cluster.endpoint_list.update(member(&old, &cluster.nodes[2], 2, "Gone"));
        if round % 10 == 0 {
            for shard in 0..2 {
                assert_eq!(cluster.call("read", shard).status, 200);
            }
        }
        std::thread::sleep(Duration::from_millis(3));
    }
    std::thread::sleep(Duration::from_millis(100));
    let version = cluster.endpoint_list.version();
    let status = cluster.shut_down();
    assert_eq!(status.version, version, "the host has followed the list");
    assert!(status.nodes <= 3 + 64, "{status:?}");
    assert_eq!((status.open, status.client_connections), (OpenCounts::default(), 0), "{status:?}");
    assert!(status.node_connections <= 3, "{status:?}");
}
