//! Tests of pairs of events that coincide, in an order that the test determines; docs/crossings.md has the table. The test runs the
//! host's iterations itself, so all events that occur between two iterations are handled in one.

mod common;

use common::stepped_host::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use tackmast_platform_host::OpenCounts;
use tackmast_platform_host::Status;

/// Returns a host with one node, its endpoint list, and the node.
fn fixture(settings: Settings) -> (SteppedHost, FakeServer, FakeServer) {
    let (endpoint_list, node) = (FakeServer::new(), FakeServer::new());
    let host = SteppedHost::new(settings, &endpoint_list, &[member_json("s-0", node.address(), 0, "Ready")]);
    (host, endpoint_list, node)
}

fn default_fixture() -> (SteppedHost, FakeServer, FakeServer) {
    fixture(Settings::default())
}

fn accepted(status: &Status) -> u64 {
    status.client_counters.accepted
}

// Clients that disconnect.

/// A client sends a request and closes its connection, or only its sending side, before the host reads the request. The host must detect
/// the close before it dispatches the request, or a node would do work that nobody waits for.
#[test]
fn request_of_closed_client_is_not_dispatched() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    for half in [true, false] {
        let mut client = host.client();
        let text = host.request("read", 0, "x");
        client.send(&text);
        match half {
            true => client.end_sending(),
            false => drop(client),
        }
        host.run_until("the connection is closed", |host| {
            host.status().client_connections == 0 && accepted(&host.status()) > 0
        });
        host.run_for(0.05);
    }
    assert_eq!((node.received_byte_count(), host.status().core.commands_received), (0, 0));
}

/// A client pipelines five requests and closes; the answer to the first arrives in the same iteration as the close. If the answer were
/// handled first, the next request would be dispatched, and a node would run it for nobody.
#[test]
fn client_close_drops_pipelined_requests() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    let all: Vec<u8> = (0..5).flat_map(|_| host.request("read", 0, "x")).collect();
    client.send(&all);
    host.run_until("the first is at its node", |_| node.request_count() == 1);
    // The answer and the close arrive in one iteration.
    node.connections[0].send(ok_response("x").as_bytes());
    drop(client);
    host.run_until("the connection is closed", |host| host.status().client_connections == 0);
    host.run_for(0.1);
    assert_eq!(node.request_count(), 1);
    assert_eq!(host.status().open, OpenCounts::default());
}

/// A client sends more bytes than the system buffers for an unread socket, and closes. A host that did not read ahead would not detect the
/// close behind these bytes, and the node would work until the request's deadline.
#[test]
fn close_behind_pipelined_requests_is_detected() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    // More than the system buffers for an unread socket.
    let flood: Vec<u8> = (0..140).flat_map(|_| host.request("read", 0, &"x".repeat(1000))).collect();
    let (mut sent, since) = (0, Instant::now());
    while sent < flood.len() {
        sent += client.send(&flood[sent..]);
        host.run_iteration();
        assert!(since.elapsed() < common::TEST_TIMEOUT, "{sent} of {} bytes are sent", flood.len());
    }
    host.run_until("the first is at its node", |_| node.request_count() == 1);
    drop(client);
    host.run_until("the connection is closed", |host| host.status().client_connections == 0);
    host.run_until("its attempt is cancelled", |host| host.status().node_counters.cancelled == 1);
    assert_eq!((node.request_count(), host.status().core.attempts), (1, 1));
}

/// A client sends more than the host reads ahead and the sockets buffer, and closes while its first request is open. If the host stopped
/// reading at a bound, the close would stay behind the unread bytes, and a node would work for nobody.
#[test]
fn close_behind_more_bytes_than_are_read_ahead_is_detected() {
    for connection_field in ["", "Connection: close\r\n"] {
        let (mut host, _endpoint_list, mut node) = default_fixture();
        let mut client = host.client();
        let first = String::from_utf8(host.request("read", 0, "x")).unwrap();
        client.send(first.replace("Host: h\r\n", &format!("Host: h\r\n{connection_field}")).as_bytes());
        host.run_until("the first is at its node", |_| node.request_count() == 1);
        send_until_sockets_are_full(&mut host, &mut client);
        drop(client);
        // At its deadline the request would be answered instead.
        host.run_until("its request is aborted", |host| host.status().core.commands_aborted == 1);
        host.run_until("its attempt is cancelled", |host| host.status().node_counters.cancelled == 1);
        assert_eq!((node.request_count(), host.status().core.attempts), (1, 1), "{connection_field:?}");
    }
}

/// A client sends more than the sockets buffer, and closes before the host, which was paused, reads anything. The host must read up to the
/// close before it dispatches the first request, or a node would work for nobody.
#[test]
fn request_before_a_close_behind_many_bytes_is_not_dispatched() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    send_until_sockets_are_full(&mut host, &mut client);
    drop(client);
    host.run_until("the connection is closed", |host| {
        host.status().client_connections == 0 && accepted(&host.status()) > 0
    });
    host.run_for(0.05);
    assert_eq!((node.received_byte_count(), host.status().core.commands_received), (0, 0));
}

/// Sends requests, without running the host, until the sockets of both sides accept no more bytes.
fn send_until_sockets_are_full(host: &mut SteppedHost, client: &mut RawConnection) {
    let flood: Vec<u8> = (0..400).flat_map(|_| host.request("read", 0, &"x".repeat(1000))).collect();
    let mut total = 0;
    loop {
        let sent = client.send(&flood);
        total += sent;
        if sent < flood.len() {
            break;
        }
        assert!(total < 64 << 20, "the sockets accept any number of bytes");
    }
    assert!(total > 256 << 10, "{total} bytes: a bound of the host is not reached");
}

/// A client pipelines an unlimited number of requests, which would fill the host's memory. Beyond a bound the host must answer the open
/// request with `Connection: close` and accept no other, without a reset that would lose the answer.
#[test]
fn endless_pipelining_ends_after_open_request() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    let flood: Vec<u8> = (0..400).flat_map(|_| host.request("read", 0, &"x".repeat(1000))).collect();
    let mut sent = 0;
    host.run_until("too much is pipelined", |host| {
        sent += client.send(&flood[sent..]);
        host.status().client_counters.pipelined_too_much > 0
    });
    host.run_until("the first is at its node", |_| node.request_count() == 1);
    node.connections[0].send(ok_response("its own").as_bytes());
    host.run_until("answered and half-closed", |_| {
        client.receive().ends_with("its own") && client.ended.is_some()
    });
    assert!(client.receive().contains("Connection: close"));
    assert_eq!((client.statuses(), client.ended), (vec![200], Some(Ok(()))));
    host.run_for(0.05);
    assert_eq!(node.request_count(), 1);
}

/// More connections to nodes are established, and more clients close, than one iteration reports. The host must check the client before
/// it writes each request, as the close may be reported only in a later iteration.
#[test]
fn no_request_is_written_for_closed_clients() {
    let (endpoint_list, mut node) = (FakeServer::new(), FakeServer::new());
    let members: Vec<String> =
        (0..60).map(|shard| member_json(&format!("s-{shard}"), node.address(), shard, "Ready")).collect();
    let mut host =
        SteppedHost::new(Settings { sockets: 1500, ..Settings::default() }, &endpoint_list, &members);
    let mut clients: Vec<RawConnection> = Vec::new();
    while clients.len() < 250 {
        clients.extend((0..50).map(|_| host.client()));
        host.run_until("all are accepted", |host| accepted(&host.status()) == clients.len() as u64);
    }
    for (index, client) in clients.iter_mut().enumerate() {
        let text = host.request("read", index as u32 % 60, "x");
        client.send(&text);
    }
    // All requests are accepted, and their connections are established by the next iteration.
    host.run_iteration();
    let status = host.status();
    assert!(
        status.core.commands_received > 200
            && status.node_counters.opened > 200
            && node.received_byte_count() == 0,
        "{status:?}"
    );
    drop(clients);
    host.run_until("all connections are closed", |host| host.status().client_connections == 0);
    host.run_for(0.1);
    assert_eq!(node.received_byte_count(), 0);
    assert_eq!(host.status().open, OpenCounts::default());
}

/// An attempt has failed and its request waits for the retry. The client closes, and the close and the end of the backoff are handled in
/// the same iteration. The retry must not be sent.
#[test]
fn client_close_during_backoff_prevents_retry() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    let text = host.request("read", 0, "x");
    client.send(&text);
    host.run_until("the first is at its node", |_| node.request_count() == 1);
    node.connections[0].send(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    let attempts = host.status().core.attempts;
    host.run_until("it has failed", |host| host.status().open.attempts == 0);
    drop(client);
    // No iteration runs until the backoff is over, so its end and the close are handled in one.
    std::thread::sleep(Duration::from_millis(60));
    host.run_for(0.1);
    assert_eq!(
        (node.request_count(), host.status().core.attempts, host.status().core.commands_aborted),
        (1, attempts, 1)
    );
}

/// A request waits for its volume's token bucket, and its client closes. The host detects the close only when the bucket has refilled. The
/// request must not be sent.
#[test]
fn client_close_cancels_request_waiting_for_token_bucket() {
    let plan = r#","ceiling_rate":4.0,"most_at_once":1.2,"slack":0.1"#;
    let (mut host, _endpoint_list, mut node) = fixture(Settings { plan, ..Settings::default() });
    let (mut first, mut second) = (host.client(), host.client());
    let texts = [host.request("read", 0, "x"), host.request("read", 0, "x")];
    first.send(&texts[0]);
    host.run_until("the first is at its node", |_| node.request_count() == 1);
    second.send(&texts[1]);
    host.run_until("the second waits", |host| host.status().core.commands_received == 2);
    assert_eq!(node.request_count(), 1);
    drop(second);
    // No iteration runs until the bucket has refilled.
    std::thread::sleep(Duration::from_millis(400));
    host.run_for(0.1);
    assert_eq!((node.request_count(), host.status().core.commands_aborted), (1, 1));
}

/// Guards against attempts for clients that have left: requests wait for a token bucket, and their clients send more than the sockets
/// buffer and close. The host, which was paused, reads only a part of it before the bucket releases a request. No request may be sent
/// while the close may be behind bytes that are not read.
#[test]
fn close_behind_unread_bytes_prevents_attempt_after_token_bucket() {
    let plan = r#","ceiling_rate":4.0,"most_at_once":1.2,"slack":0.1"#;
    let (mut host, _endpoint_list, mut node) = fixture(Settings { plan, ..Settings::default() });
    let mut first = host.client();
    let text = host.request("read", 0, "x");
    first.send(&text);
    host.run_until("the first is at its node", |_| node.request_count() == 1);
    let mut waiting: Vec<RawConnection> = (0..3).map(|_| host.client()).collect();
    for client in &mut waiting {
        let text = host.request("once", 0, "x");
        client.send(&text);
    }
    host.run_until("the others wait", |host| host.status().core.commands_received == 4);
    for mut client in waiting {
        send_until_sockets_are_full(&mut host, &mut client);
        drop(client);
    }
    // No iteration runs until the bucket has refilled.
    std::thread::sleep(Duration::from_millis(290));
    host.run_until("all have left", |host| host.status().client_connections == 1);
    host.run_for(0.1);
    assert_eq!(node.request_count(), 1, "a request was sent after its client had closed");
}

/// Guards against an attempt over a close that the host can't see: a client sends more behind its request than the sockets of both sides
/// hold, faster than the host reads. The request must not be sent, and the client is owed an error.
#[test]
fn request_with_too_much_input_behind_it_is_refused() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    send_until_sockets_are_full(&mut host, &mut client);
    let flood = vec![b'x'; 1 << 20];
    host.run_until("answered", |_| {
        if client.message_count() == 0 {
            client.send(&flood);
        }
        client.message_count() == 1
    });
    assert_eq!(client.statuses(), [400]);
    assert_eq!((node.received_byte_count(), host.status().core.commands_received), (0, 0));
}

/// Guards against a close that is never seen: a client sends more than the host would read before an attempt, while its request is at a
/// node, and then closes.
#[test]
fn close_behind_too_much_input_is_detected_while_a_request_is_in_flight() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    let text = host.request("once", 0, "x");
    client.send(&text);
    host.run_until("the request is at its node", |_| node.request_count() == 1);
    let (flood, mut sent) = (vec![b'x'; 1 << 20], 0);
    host.run_until("much is sent", |_| {
        sent += client.send(&flood);
        sent > 20 << 20
    });
    drop(client);
    host.run_until("its request is aborted", |host| host.status().core.commands_aborted == 1);
}

/// Guards against a host that serves nobody else while clients send without end: however much is behind their requests, one iteration reads
/// a bounded number of bytes of it.
#[test]
fn input_behind_requests_is_read_over_several_iterations() {
    let (mut host, _endpoint_list, _node) = default_fixture();
    let mut clients: Vec<RawConnection> = (0..6).map(|_| host.client()).collect();
    for client in &mut clients {
        send_until_sockets_are_full(&mut host, client);
    }
    drop(clients);
    let mut iterations = 0;
    host.run_until("all are closed", |host| {
        iterations += 1;
        accepted(&host.status()) == 6 && host.status().client_connections == 0
    });
    assert!(iterations > 6, "{iterations} iterations");
    assert_eq!(host.status().core.commands_received, 0);
}

/// All connections to nodes are in use, and requests wait for one. The connections become free in the same iteration in which all clients
/// close. The waiting requests must not be sent.
#[test]
fn client_close_cancels_request_waiting_for_connection() {
    let (endpoint_list, mut node) = (FakeServer::new(), FakeServer::new());
    let members: Vec<String> =
        (0..20).map(|shard| member_json(&format!("s-{shard}"), node.address(), shard, "Ready")).collect();
    let mut host =
        SteppedHost::new(Settings { sockets: 64, ..Settings::default() }, &endpoint_list, &members);
    let mut clients: Vec<RawConnection> = (0..18).map(|_| host.client()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        let text = host.request("read", index as u32, "x");
        client.send(&text);
    }
    host.run_until("some requests wait for a connection", |host| {
        host.status().core.commands_received == 18 && host.status().node_counters.waited > 0
    });
    let waits = host.status().node_counters.waited as usize;
    host.run_until("the others are at the node", |_| node.request_count() == 18 - waits);
    // The answers, which free the connections, and the closes arrive in one iteration.
    node.connections.iter_mut().for_each(|connection| _ = connection.send(ok_response("x").as_bytes()));
    drop(clients);
    host.run_until("all connections are closed", |host| host.status().client_connections == 0);
    host.run_for(0.1);
    assert_eq!(node.request_count(), 18 - waits);
}

/// Guards against a request that runs twice: its client leaves while the node has it, thousands of other requests are rejected, and the id
/// comes again. The node may still run the first attempt, so the host must refuse the id.
#[test]
fn id_of_a_client_that_left_is_refused_after_many_rejected_requests() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    let text = host.request("once", 0, "x");
    client.send(&text);
    host.run_until("the request is at its node", |_| node.request_count() == 1);
    drop(client);
    host.run_until("its client has left", |host| host.status().core.commands_aborted == 1);
    let mut others = host.client();
    let mut answered = 0;
    for _ in 0..100 {
        let rejected = |host: &mut SteppedHost| {
            let request = String::from_utf8(host.request("read", 0, "")).unwrap();
            request.replace("X-Budget-Ms: 1500", "X-Budget-Ms: 0")
        };
        let batch: String = (0..50).map(|_| rejected(&mut host)).collect();
        others.send(batch.as_bytes());
        answered += 50;
        host.run_until("the requests are rejected", |_| others.message_count() == answered);
    }
    assert!(others.statuses().iter().all(|status| *status == 503));
    let mut again = host.client();
    again.send(&text);
    host.run_until("answered", |_| again.message_count() == 1);
    assert_eq!((again.statuses(), node.request_count()), (vec![409], 1));
}

// Connections to nodes.

/// Answers a request of the client and lets it send the next one, so that this one waits for the reuse delay. On a busy machine the delay
/// may have passed by then, and the step is repeated. Returns the number of answers that the client has received.
fn wait_within_reuse_delay(
    host: &mut SteppedHost,
    client: &mut RawConnection,
    node: &mut FakeServer,
) -> usize {
    for answered in 1..100 {
        if answered == 1 {
            let text = host.request("read", 0, "x");
            client.send(&text);
        }
        host.run_until("at its node", |_| node.request_count() == answered);
        node.connections[0].send(ok_response("first").as_bytes());
        host.run_until("answered", |_| client.message_count() == answered);
        let (text, taken) = (host.request("read", 0, "x"), host.status().core.commands_received);
        client.send(&text);
        host.run_until("the request is accepted", |host| host.status().core.commands_received > taken);
        if node.request_count() == answered {
            return answered;
        }
    }
    panic!("the connection is reused without the reuse delay");
}

/// A node sends a duplicate of an answer some milliseconds late. If the next request had already been written to that connection, its
/// client would get the answer to another request.
#[test]
fn late_duplicate_answer_is_not_taken_for_the_next_request() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    let answered = wait_within_reuse_delay(&mut host, &mut client, &mut node);
    // The duplicate arrives: its connection is closed, and the request is sent on another one.
    node.connections[0].send(ok_response("first").as_bytes());
    host.run_until("at its node", |_| node.request_count() == answered + 1);
    assert_eq!((node.connections.len(), host.status().node_counters.unsolicited_data), (2, 1));
    node.connections[1].send(ok_response("second").as_bytes());
    host.run_until("answered", |_| client.message_count() == answered + 1);
    assert!(client.receive().ends_with("second"), "{}", client.receive());
}

/// A request arrives while the only connection to its node is within the reuse delay. The host must not open another connection, as a busy
/// host would then open one for nearly every request. If the client closes during the wait, the request must not be sent.
#[test]
fn next_request_waits_for_the_reuse_delay_and_opens_no_connection() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    let answered = wait_within_reuse_delay(&mut host, &mut client, &mut node);
    host.run_until("at its node", |_| node.request_count() == answered + 1);
    node.connections[0].send(ok_response("second").as_bytes());
    host.run_until("answered", |_| client.message_count() == answered + 1);
    assert_eq!((node.connections.len(), host.status().node_counters.opened), (1, 1));
    // A client closes while its request waits: nothing is sent.
    let mut client = host.client();
    let text = host.request("read", 0, "x");
    client.send(&text);
    host.run_until("at its node", |_| node.request_count() == answered + 2);
    node.connections[0].send(ok_response("third").as_bytes());
    host.run_until("answered", |_| client.message_count() == 1);
    let (text, taken) = (host.request("read", 0, "x"), host.status().core.commands_received);
    client.send(&text);
    host.run_until("the request is accepted", |host| host.status().core.commands_received > taken);
    let before = node.request_count();
    drop(client);
    // No iteration runs until the delay is over, so its end and the close are handled in one.
    std::thread::sleep(Duration::from_millis(30));
    host.run_until("its connection is closed", |host| host.status().client_connections == 1);
    host.run_for(0.05);
    assert_eq!((node.request_count(), host.status().open), (before, OpenCounts::default()));
}

/// A node sends an answer without a length, whose end is the close of the connection. After a reset a part may be missing: if the answer
/// counted as complete, the client would get half of it.
#[test]
fn answer_without_length_is_complete_only_after_an_orderly_close() {
    for (in_order, class, expected) in [
        (true, "once", 200),
        (true, "read", 200),
        // The request may have run, so the client is not told that a retry is safe, and the host does not retry.
        (false, "once", 502),
    ] {
        let (mut host, _endpoint_list, mut node) = default_fixture();
        let mut client = host.client();
        let text = host.request(class, 0, "x");
        client.send(&text);
        host.run_until("at its node", |_| node.request_count() == 1);
        let mut connection = node.connections.remove(0);
        connection.send(b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhalf of it");
        host.run_for(0.03);
        assert_eq!(client.receive(), "", "an answer before the connection ended");
        match in_order {
            true => drop(connection),
            false => connection.reset(),
        }
        host.run_until("answered", |_| client.message_count() == 1);
        assert_eq!(client.statuses(), [expected], "{class}");
        assert_eq!(client.receive().ends_with("half of it"), in_order);
        assert_eq!(node.request_count(), 0, "a second attempt");
    }
}

/// Returns a host with a node to which connections are not established until its backlog is emptied, and with a polled list.
fn slow_connect_fixture(connect_timeout_secs: f64) -> (SteppedHost, FakeServer, FakeServer, Vec<TcpStream>) {
    let (mut endpoint_list, (node, filling)) = (FakeServer::new(), FakeServer::with_full_backlog());
    let settings = Settings { connect_timeout_secs, deadline_secs: 3.0, ..Settings::default() };
    let mut host =
        SteppedHost::new(settings, &endpoint_list, &[member_json("s-0", node.address(), 0, "Ready")]);
    host.run_until("the list is watched", |_| endpoint_list.request_count() == 1);
    (host, endpoint_list, node, filling)
}

/// A node moves while a connection to its old address is being established. The process that now listens at the old address must not get
/// the request; the new address must.
#[test]
fn connection_to_former_node_address_is_unused() {
    let (mut host, mut endpoint_list, mut old, filling) = slow_connect_fixture(2.5);
    let mut client = host.client();
    let text = host.request("read", 0, "x");
    client.send(&text);
    host.run_until("the request waits for the connection", |host| host.status().node_counters.opened == 1);
    let mut new = FakeServer::new();
    endpoint_list.connections[0]
        .send(ok_response(&list_json(2, false, &[member_json("s-0", new.address(), 0, "Ready")])).as_bytes());
    host.run_until("the move is applied", |host| host.status().version == 2);
    old.empty_backlog(filling);
    host.run_until("at the new address", |_| new.request_count() == 1);
    new.connections[0].send(ok_response("new").as_bytes());
    host.run_until("answered", |_| client.receive().ends_with("new"));
    // The system retries the connect to the old address.
    host.run_for(1.2);
    assert_eq!(old.received_byte_count(), 0);
}

/// A node starts draining, or leaves, while a connection to it is being established. A request must not be written to the draining node,
/// and an idle connection to it would delay its exit.
#[test]
fn connection_to_draining_node_is_closed_unused() {
    for phase in ["Terminating", "Gone"] {
        let (mut host, mut endpoint_list, mut node, filling) = slow_connect_fixture(2.5);
        let mut client = host.client();
        let text = host.request("read", 0, "x");
        client.send(&text);
        host.run_until("the request waits for the connection", |host| {
            host.status().node_counters.opened == 1
        });
        endpoint_list.connections[0].send(
            ok_response(&list_json(2, false, &[member_json("s-0", node.address(), 0, phase)])).as_bytes(),
        );
        node.empty_backlog(filling);
        host.run_until("the drain is applied", |host| host.status().version == 2);
        host.run_for(1.2);
        assert_eq!((node.received_byte_count(), host.status().node_connections), (0, 0), "{phase}");
    }
}

/// A connection is established in the same iteration in which its request's deadline passes. The client is told that the request did not
/// run, so the request must not be written.
#[test]
fn connection_after_deadline_is_unused() {
    let (mut host, _endpoint_list, mut node, filling) = slow_connect_fixture(2.5);
    let mut client = host.client();
    let text = String::from_utf8(host.request("once", 0, "x")).unwrap().replace("Ms: 1500", "Ms: 700");
    client.send(text.as_bytes());
    host.run_until("the request waits for the connection", |host| host.status().node_counters.opened == 1);
    node.empty_backlog(filling);
    // The system retries the connect after a second. No iteration runs until the deadline has passed, so both are handled in one.
    std::thread::sleep(Duration::from_millis(1300));
    host.run_until("answered", |_| client.message_count() == 1);
    assert_eq!(client.statuses(), [503], "the request never ran");
    host.run_for(0.1);
    assert_eq!(node.received_byte_count(), 0);
}

/// A request that may have run is retried at a node to which a connection is established slowly. After the idempotency window nodes no
/// longer know the request's key and would run the request a second time, so the client is told that the effect is unknown.
#[test]
fn retry_is_not_written_after_its_idempotency_window() {
    let (mut host, mut endpoint_list, mut first) =
        fixture(Settings { connect_timeout_secs: 2.5, deadline_secs: 3.0, ..Settings::default() });
    host.run_until("the list is watched", |_| endpoint_list.request_count() == 1);
    let mut client = host.client();
    let text = host.request("save", 0, "x");
    client.send(&text);
    host.run_until("at its node", |_| first.request_count() == 1);
    // The request may have run. The shard's next node takes longer to connect to than the window of 0.5 s.
    let (mut second, filling) = FakeServer::with_full_backlog();
    endpoint_list.connections[0].send(
        ok_response(&list_json(2, false, &[member_json("s-0", second.address(), 0, "Ready")])).as_bytes(),
    );
    host.run_until("the move is applied", |host| host.status().version == 2);
    first.connections.remove(0).reset();
    host.run_until("a retry waits for the connection", |host| host.status().node_counters.opened == 2);
    second.empty_backlog(filling);
    host.run_until("answered", |_| client.message_count() == 1);
    assert_eq!((client.statuses(), second.received_byte_count()), (vec![502], 0));
    assert_eq!(host.status().node_counters.deadline_passed, 1);
}

// Shutdown.

/// Just before the host closes its listener, more clients connect than it accepts in one iteration. The system has already established
/// these connections, and closing the listener would reset them.
#[test]
fn backlog_is_served_at_listener_close() {
    let (mut host, _endpoint_list, _node) = fixture(Settings { deadline_secs: 0.1, ..Settings::default() });
    host.run_iteration();
    host.begin_shutdown();
    host.run_until("SIGTERM is handled", |host| !host.status().serves);
    // No iteration runs until the listener closes.
    std::thread::sleep(Duration::from_millis(400));
    let mut clients: Vec<RawConnection> = (0..100).map(|_| host.client()).collect();
    clients.iter_mut().for_each(|client| _ = client.send(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"));
    std::thread::sleep(Duration::from_millis(60));
    host.run_until("the host exits", |host| host.has_ended);
    for client in &mut clients {
        // A connection whose request was not read in time may be half-closed, and the client repeats the request. None is reset.
        client.receive();
        assert_eq!(client.ended, Some(Ok(())));
    }
    let answered =
        clients.iter_mut().filter(|client| client.received_bytes.starts_with(b"HTTP/1.1 503")).count();
    assert!(answered >= 90, "{answered} of 100");
}

/// The host half-closes an idle connection while its client sends the next request. The request must be discarded, as the client sends it
/// again elsewhere, and a reset must not hide the half-close from the client.
#[test]
fn request_crossing_half_close_is_discarded() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let mut client = host.client();
    let text = host.request("read", 0, "x");
    client.send(&text);
    host.run_until("at its node", |_| node.request_count() == 1);
    node.connections[0].send(ok_response("x").as_bytes());
    host.run_until("answered", |_| client.message_count() == 1);
    host.begin_shutdown();
    host.run_until("the connection is half-closed", |_| {
        client.receive();
        client.ended.is_some()
    });
    // The half-close crosses the next request.
    let text = host.request("read", 0, "x");
    assert_eq!(client.send(&text), text.len());
    host.run_for(0.1);
    assert_eq!(client.send(&text), text.len(), "the connection still accepts bytes");
    assert_eq!((node.request_count(), client.message_count()), (1, 1));
    assert!(!host.has_ended, "the host waits for the client");
    drop(client);
    host.run_until("the host exits", |host| host.has_ended);
}

/// A client gets its last answer while it sends more requests. If the process exited with these bytes unread, the system would reset the
/// connection and the client would lose the answer.
#[test]
fn host_exits_after_client_has_read_last_answer() {
    let (mut host, _endpoint_list, mut node) =
        fixture(Settings { deadline_secs: 0.4, ..Settings::default() });
    let mut client = host.client();
    let text = host.request("once", 0, "x");
    client.send(&text);
    host.run_until("at its node", |_| node.request_count() == 1);
    host.begin_shutdown();
    host.run_until("its listener is closed", |host| host.status().listen_address.is_none());
    node.connections[0].send(ok_response("late").as_bytes());
    host.run_until("answered", |_| client.receive().ends_with("late"));
    // More requests cross the half-close, more than one iteration reads.
    let more: Vec<u8> = (0..40).flat_map(|_| host.request("read", 0, &"x".repeat(1000))).collect();
    client.send(&more);
    host.run_for(0.05);
    client.send(&more);
    client.receive();
    assert_eq!((client.statuses(), client.ended), (vec![200], Some(Ok(()))));
    assert!(!host.has_ended);
    drop(client);
    host.run_until("the host exits", |host| host.has_ended);
    assert_eq!(node.request_count(), 1);
}

/// Two clients have each sent a part of a request when the host shuts down. The client that completes its request must be served; the other
/// one must be answered, not reset, before the process exits.
#[test]
fn partial_request_at_shutdown_is_served_or_rejected() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let (mut complete, mut partial) = (host.client(), host.client());
    let texts = [host.request("read", 0, "x"), host.request("read", 0, "x")];
    complete.send(&texts[0][..texts[0].len() - 1]);
    partial.send(&texts[1][..50]);
    host.run_until("both are accepted", |host| accepted(&host.status()) == 2);
    host.run_for(0.05);
    host.begin_shutdown();
    host.run_until("its listener is closed", |host| host.status().listen_address.is_none());
    complete.send(b"x");
    host.run_until("at its node", |_| node.request_count() == 1);
    node.connections[0].send(ok_response("whole").as_bytes());
    host.run_until("the host exits", |host| host.has_ended);
    complete.receive();
    partial.receive();
    assert!(complete.receive().ends_with("whole"));
    assert!(matches!(partial.statuses()[..], [503 | 408]), "{}", partial.receive());
    assert_eq!((complete.ended, partial.ended), (Some(Ok(())), Some(Ok(()))));
    assert_eq!(node.request_count(), 1);
}

/// SIGTERM arrives before the first iteration, and again during the shutdown. If the second one restarted the schedule, the platform would
/// kill the host before it has answered all requests. SIGHUP must still be handled.
#[test]
fn repeated_signals_keep_shutdown_schedule() {
    let (mut host, endpoint_list, _node) = fixture(Settings { deadline_secs: 0.3, ..Settings::default() });
    let mut moved = FakeServer::new();
    host.begin_shutdown();
    let since = Instant::now();
    host.run_until("SIGTERM is handled", |host| !host.status().serves);
    host.run_for(0.3);
    host.begin_shutdown();
    host.reload(&endpoint_list.address().to_string(), &moved.address().to_string());
    host.run_until("the new address is polled", |_| moved.request_count() == 1);
    let mut client = host.client();
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    host.run_until("answered", |_| client.message_count() == 1);
    assert_eq!(client.statuses(), [503]);
    host.run_until("the host exits", |host| host.has_ended);
    assert!(since.elapsed() < Duration::from_millis(1000), "{:?}", since.elapsed());
}

// The endpoint list.

/// The endpoint list moves while a poll is open, or during the backoff after failed polls. A host that waited for the end of the backoff
/// would send requests to nodes that are draining according to the new list.
#[test]
fn reload_polls_the_new_address_at_once() {
    for failing in [true, false] {
        let (mut host, mut endpoint_list, _node) = default_fixture();
        host.run_until("the old address is polled", |_| endpoint_list.request_count() == 1);
        let (old, mut new) = (endpoint_list.address(), FakeServer::new());
        if failing {
            // Each poll is refused, so the watch is in a long backoff, with no poll open.
            endpoint_list.stop_listening();
            host.run_for(2.5);
        }
        host.reload(&old.to_string(), &new.address().to_string());
        let since = Instant::now();
        host.run_until("the new address is polled", |_| new.request_count() == 1);
        assert!(since.elapsed() < Duration::from_millis(150), "{failing}: {:?}", since.elapsed());
        // The end of the earlier backoff causes no second poll.
        host.run_for(1.0);
        assert_eq!(new.request_count(), 1);
    }
}

/// The old address has written a long answer when the list moves. The host counts as notified of this answer and must apply it. An answer
/// that the old address writes later may be outdated and must not be applied.
#[test]
fn old_list_address_is_drained_at_reload() {
    let (mut host, mut endpoint_list, node) = default_fixture();
    host.run_until("the old address is polled", |_| endpoint_list.request_count() == 1);
    let mut new = FakeServer::new();
    // An answer of many chunks.
    let mut members: Vec<String> =
        (1..400).map(|shard| member_json(&format!("s-{shard}"), node.address(), shard, "Ready")).collect();
    members.push(member_json("s-0", node.address(), 0, "Terminating"));
    endpoint_list.connections[0].send(ok_response(&list_json(5, true, &members)).as_bytes());
    host.reload(&endpoint_list.address().to_string(), &new.address().to_string());
    host.run_until("the new address is polled", |_| new.request_count() == 1);
    assert_eq!((host.status().version, host.status().nodes), (5, 400));
    assert!(new.connections[0].receive().contains("after=5"));
    endpoint_list.connections[0].send(ok_response(&list_json(9, true, &[])).as_bytes());
    host.run_for(0.1);
    assert_eq!(host.status().version, 5, "a late answer of the old address");
}

/// An answer arrives as its poll times out, while the host is busy with other work. The host counts as notified once the answer is in its
/// socket, so the answer must not be discarded with the poll.
#[test]
fn answer_in_socket_at_timeout_is_applied() {
    let (mut host, mut endpoint_list, node) = default_fixture();
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    let members: Vec<String> =
        (0..400).map(|shard| member_json(&format!("s-{shard}"), node.address(), shard, "Ready")).collect();
    // No iteration runs until the poll's wait and timeout have passed.
    std::thread::sleep(Duration::from_millis(3900));
    endpoint_list.connections[0].send(ok_response(&list_json(5, true, &members)).as_bytes());
    host.run_iteration();
    assert_eq!(host.status().version, 5);
}

/// A poll gets no answer and the next one fails. Timeouts and backoffs together must leave the host time to learn of a change within the
/// 6 s after which it counts as notified.
#[test]
fn change_is_applied_in_time_after_two_failed_polls() {
    let (mut host, mut endpoint_list, node) = default_fixture();
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    let silent = Instant::now();
    // The first poll gets no answer, the second one is reset, and the third one is answered.
    let mut connections = std::mem::take(&mut endpoint_list.connections);
    host.run_until("the silence is detected", |_| {
        endpoint_list.receive();
        !endpoint_list.connections.is_empty()
            || connections[0].receive().is_empty()
            || connections[0].ended.is_some()
    });
    assert!(silent.elapsed() < Duration::from_millis(3900), "{:?}", silent.elapsed());
    host.run_until("the list is polled again", |_| endpoint_list.request_count() == 1);
    let reset = Instant::now();
    endpoint_list.connections.clear();
    host.run_until("the list is polled once more", |_| endpoint_list.request_count() == 1);
    assert!(reset.elapsed() < Duration::from_millis(700), "{:?}", reset.elapsed());
    endpoint_list.connections[0].send(
        ok_response(&list_json(2, false, &[member_json("s-0", node.address(), 0, "Terminating")])).as_bytes(),
    );
    host.run_until("the update is applied", |host| host.status().version == 2);
    assert!(silent.elapsed() < Duration::from_millis(6000), "{:?}", silent.elapsed());
}

/// The list service resets each poll for a while. If the backoff grew without bound, the host would detect the service's return too late:
/// after any number of failures the next poll must follow in less than 2 s.
#[test]
fn list_poll_backoff_is_bounded() {
    let (mut host, mut endpoint_list, _node) = default_fixture();
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    let mut last = Instant::now();
    for failure in 0..8 {
        endpoint_list.connections.clear();
        host.run_until("the list is polled again", |_| endpoint_list.request_count() == 1);
        assert!(last.elapsed() < Duration::from_millis(1700), "failure {failure}: {:?}", last.elapsed());
        last = Instant::now();
    }
}

/// Lists are pushed, and the list service resets each poll for a while. At its return the host counts as notified of a drain, so after any
/// number of failures the next poll must follow within the drain grace, which is 1 s here.
#[test]
fn pushed_list_is_polled_again_within_the_drain_grace() {
    let (mut host, mut endpoint_list, _node) =
        fixture(Settings { registry_mode: "push", ..Settings::default() });
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    for failure in 0..8 {
        let failed_at = Instant::now();
        endpoint_list.connections.clear();
        host.run_until("the list is polled again", |_| endpoint_list.request_count() == 1);
        assert!(failed_at.elapsed() < Duration::from_secs(1), "failure {failure}: {:?}", failed_at.elapsed());
    }
}

/// The list answers with an older version, in which a draining node is still ready. The answer may be a delayed one, so the node must get
/// no request; only the complete list may restore the node.
#[test]
fn older_list_version_does_not_restore_draining_node() {
    let (mut host, mut endpoint_list, mut node) = default_fixture();
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    endpoint_list.connections[0].send(
        ok_response(&list_json(8, false, &[member_json("s-0", node.address(), 0, "Terminating")])).as_bytes(),
    );
    host.run_until("the update is applied", |host| host.status().version == 8);
    host.run_until("the list is polled on", |_| endpoint_list.request_count() == 2);
    endpoint_list.connections[0]
        .send(ok_response(&list_json(5, true, &[member_json("s-0", node.address(), 0, "Ready")])).as_bytes());
    host.run_until("the complete list is polled", |_| endpoint_list.request_count() == 3);
    assert!(endpoint_list.connections[0].receive().trim_end().contains("GET /registry/instances HTTP/1.1"));
    let mut client = host.client();
    let text = host.request("read", 0, "x");
    client.send(&text);
    host.run_for(0.1);
    assert_eq!((node.received_byte_count(), host.status().version), (0, 8));
    // The complete list confirms the older version: the list service has lost its state, and there is no other source.
    endpoint_list.connections[0]
        .send(ok_response(&list_json(5, true, &[member_json("s-0", node.address(), 0, "Ready")])).as_bytes());
    host.run_until("served again", |_| node.request_count() == 1);
}

/// The list service has restarted with an older copy, in which a draining node is still ready, and its long answer is in the socket when
/// the list moves. The host reads the old address to the end, but must not restore the node from an older answer.
#[test]
fn older_list_version_is_not_applied_at_reload() {
    let (mut host, mut endpoint_list, mut node) = default_fixture();
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    let ready = [member_json("s-0", node.address(), 0, "Ready")];
    let draining = [member_json("s-0", node.address(), 0, "Terminating")];
    endpoint_list.connections[0].send(ok_response(&list_json(9, false, &draining)).as_bytes());
    host.run_until("the update is applied", |host| host.status().version == 9);
    host.run_until("the list is polled on", |_| endpoint_list.request_count() == 2);
    let mut new = FakeServer::new();
    // An answer of many chunks, of which the iteration reads one before it handles the signal.
    let mut members: Vec<String> =
        (1..400).map(|shard| member_json(&format!("s-{shard}"), node.address(), shard, "Ready")).collect();
    members.extend(ready.clone());
    endpoint_list.connections[0].send(ok_response(&list_json(3, true, &members)).as_bytes());
    host.reload(&endpoint_list.address().to_string(), &new.address().to_string());
    host.run_until("the new address is polled", |_| new.request_count() == 1);
    assert_eq!(host.status().version, 9, "an older version was applied");
    let poll = new.connections[0].receive().to_owned();
    assert!(poll.contains("GET /registry/instances HTTP/1.1"), "not the complete list: {poll}");
    let mut client = host.client();
    let text = host.request("read", 0, "x");
    client.send(&text);
    host.run_for(0.1);
    assert_eq!(node.received_byte_count(), 0, "a request was sent to a draining node");
    // The complete list of the new address decides.
    new.connections[0].send(ok_response(&list_json(3, true, &ready)).as_bytes());
    host.run_until("served again", |_| node.request_count() == 1);
}

/// The host polls the complete list after an older version, and gets changes only. Its list may lack changes, such as a drain, so it must
/// continue to poll the complete list.
#[test]
fn complete_list_is_polled_until_it_is_received() {
    let (mut host, mut endpoint_list, node) = default_fixture();
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    let members = [member_json("s-0", node.address(), 0, "Ready")];
    endpoint_list.connections[0].send(ok_response(&list_json(0, true, &members)).as_bytes());
    host.run_until("the complete list is polled", |_| endpoint_list.request_count() == 2);
    endpoint_list.connections[0].send(ok_response(&list_json(5, false, &members)).as_bytes());
    host.run_until("the list is polled once more", |_| endpoint_list.request_count() == 3);
    assert_eq!(host.status().version, 5, "the changes are applied");
    let last_poll = endpoint_list.connections[0].receive().rsplit("GET ").next().unwrap().to_owned();
    assert!(last_poll.starts_with("/registry/instances HTTP/1.1"), "not the complete list: {last_poll}");
    endpoint_list.connections[0].send(ok_response(&list_json(6, true, &members)).as_bytes());
    host.run_until("changes are polled again", |_| endpoint_list.request_count() == 4);
    assert!(endpoint_list.connections[0].receive().contains("after=6"));
}

/// Returns the status of the host's health check.
fn health_status(host: &mut SteppedHost) -> u16 {
    let mut probe = host.client();
    probe.send(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    host.run_until("answered", |_| probe.message_count() == 1);
    probe.statuses()[0]
}

/// Sends a request on a new connection, and returns the status of its answer.
fn request_status(host: &mut SteppedHost) -> u16 {
    let mut client = host.client();
    let text = host.request("read", 0, "x");
    client.send(&text);
    host.run_until("answered", |_| client.message_count() == 1);
    client.statuses()[0]
}

/// Where the platform pushes lists to an agent, a new process counts as notified of the agent's list. A host that became ready before the
/// agent has answered would send requests to draining nodes.
#[test]
fn pushed_list_is_polled_before_the_host_is_ready() {
    let (mut host, mut endpoint_list, node) =
        fixture(Settings { registry_mode: "push", ..Settings::default() });
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    assert_eq!(health_status(&mut host), 503, "the host is ready before it has polled the agent");
    endpoint_list.connections[0]
        .send(ok_response(&list_json(3, true, &[member_json("s-0", node.address(), 0, "Ready")])).as_bytes());
    host.run_until("the update is applied", |host| host.status().version == 3);
    assert_eq!(health_status(&mut host), 200);
    host.run_until("the list is polled again", |_| endpoint_list.request_count() == 2);
}

/// Guards against requests to a node that drained before an outage of the agent: a host that starts during the outage knows the node as
/// ready from its configuration. Whatever the poll returns that does not bring the list up to date, the host must not serve by it, not
/// even clients that do not wait until it is ready.
#[test]
fn pushed_list_of_the_configuration_is_not_served_until_the_agent_confirms_it() {
    let ready = |node: &FakeServer| [member_json("s-0", node.address(), 0, "Ready")];
    let unusable_answers = [
        ("a reset", None),
        ("an error", Some("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned())),
        ("garbage", Some(ok_response("{"))),
        ("an older version", Some(ok_response(&list_json(0, false, &[])))),
    ];
    for (name, answer) in unusable_answers {
        let (mut host, mut endpoint_list, mut node) =
            fixture(Settings { registry_mode: "push", ..Settings::default() });
        host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
        match answer {
            None => endpoint_list.connections.clear(),
            Some(answer) => _ = endpoint_list.connections[0].send(answer.as_bytes()),
        }
        let next_poll = endpoint_list.connections.len() + 1;
        host.run_for(0.05);
        assert_eq!((health_status(&mut host), request_status(&mut host)), (503, 503), "{name}");
        assert_eq!(node.received_byte_count(), 0, "{name}: a node got a request");
        // The agent returns, and its complete list counts.
        host.run_until("the list is polled again", |_| endpoint_list.request_count() >= next_poll);
        let poll = endpoint_list.connections.last_mut().unwrap();
        poll.send(ok_response(&list_json(3, true, &ready(&node))).as_bytes());
        host.run_until("the list is applied", |host| host.status().version == 3);
        assert_eq!(health_status(&mut host), 200, "{name}");
    }
}

/// Guards against requests by an outdated list where the agent can't be reached at all, until a reload names another agent.
#[test]
fn pushed_list_of_the_configuration_is_not_served_while_the_agent_is_unreachable() {
    let (mut host, mut endpoint_list, mut node) =
        fixture(Settings { registry_mode: "push", ..Settings::default() });
    endpoint_list.stop_listening();
    host.run_for(0.1);
    assert_eq!((health_status(&mut host), request_status(&mut host)), (503, 503));
    assert_eq!(node.received_byte_count(), 0, "a node got a request");
    let mut back = FakeServer::new();
    host.reload(&endpoint_list.address().to_string(), &back.address().to_string());
    host.run_until("the new address is polled", |_| back.request_count() == 1);
    back.connections[0].send(ok_response(&list_json(1, false, &[])).as_bytes());
    host.run_until("ready", |host| health_status(host) == 200);
}

/// Guards against requests by a list with gaps: the list of the configuration, or the first answer, has changes only, and a drain may be
/// among those that are missing.
#[test]
fn pushed_changes_confirm_no_list_that_has_gaps() {
    let (mut endpoint_list, node) = (FakeServer::new(), FakeServer::new());
    let ready = [member_json("s-0", node.address(), 0, "Ready")];
    let settings = Settings { registry_mode: "push", known_is_complete: false, ..Settings::default() };
    let mut host = SteppedHost::new(settings, &endpoint_list, &ready);
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    let poll = endpoint_list.connections[0].receive().to_owned();
    assert!(poll.starts_with("GET /registry/instances HTTP/1.1"), "not the complete list: {poll}");
    endpoint_list.connections[0].send(ok_response(&list_json(5, false, &ready)).as_bytes());
    host.run_until("the complete list is polled again", |_| endpoint_list.request_count() == 2);
    assert_eq!((health_status(&mut host), request_status(&mut host)), (503, 503));
    endpoint_list.connections[0].send(ok_response(&list_json(6, true, &ready)).as_bytes());
    host.run_until("the complete list is applied", |host| host.status().version == 6);
    assert_eq!(health_status(&mut host), 200);
}

// Descriptors.

/// Idle clients take all descriptors for clients while the list is unreachable. The host must reserve descriptors for its nodes and for the
/// list, or it would never learn of a change.
#[test]
fn idle_clients_leave_descriptors_for_nodes_and_the_list() {
    let (mut host, mut endpoint_list, mut node) = fixture(Settings { sockets: 128, ..Settings::default() });
    let old = endpoint_list.address();
    endpoint_list.stop_listening();
    let mut idle: Vec<RawConnection> = Vec::new();
    for _ in 0..20 {
        idle.extend((0..10).map(|_| host.client()));
        host.run_for(0.02);
    }
    let status = host.status();
    assert!(status.client_connections <= 61 && status.client_counters.evicted > 100, "{status:?}");
    // The host answers, and reaches its node, and the list once that is available again.
    let mut client = host.client();
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    host.run_until("ready", |_| client.statuses() == [200]);
    let text = host.request("read", 0, "x");
    client.send(&text);
    host.run_until("at its node", |_| node.request_count() == 1);
    let mut back = FakeServer::new();
    host.reload(&old.to_string(), &back.address().to_string());
    host.run_until("the list is polled", |_| back.request_count() == 1);
}

/// Guards against waits of a second and more: hundreds of clients connect before the host accepts any of them. If the listener's backlog
/// were full, the system would drop the first packets of the others, which are repeated after a second.
#[test]
fn hundreds_of_connections_are_established_before_the_host_accepts_any() {
    let (mut host, _endpoint_list, _node) = default_fixture();
    let system_limit = std::fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap();
    let count = 400.min(system_limit.trim().parse().unwrap());
    let address = host.status().listen_address.unwrap();
    let clients: Vec<TcpStream> = (0..count)
        .map(|number| {
            let connected = TcpStream::connect_timeout(&address, Duration::from_millis(900));
            connected.unwrap_or_else(|error| panic!("client {number} of {count}: {error}"))
        })
        .collect();
    host.run_until("all are accepted or rejected", |host| {
        let counters = host.status().client_counters;
        counters.accepted + counters.rejected >= clients.len() as u64
    });
}

// Invalid input.

/// A client sends a part of a request and closes, in order or with a reset. The host must close the connection at once and send nothing to
/// a node, wherever the request is cut off.
#[test]
fn partial_request_of_closed_client_reaches_no_node() {
    let (mut host, _endpoint_list, mut node) = default_fixture();
    let text = host.request("read", 0, "body");
    for cut in [1, 40, text.len() - 4, text.len() - 1] {
        for reset in [false, true] {
            let mut client = host.client();
            client.send(&text[..cut]);
            match reset {
                true => client.reset(),
                false => client.end_sending(),
            }
            let before = accepted(&host.status());
            host.run_until("closed", |host| {
                host.status().client_connections == 0 && accepted(&host.status()) > before
            });
        }
    }
    assert_eq!((node.received_byte_count(), host.status().core.commands_received), (0, 0));
}

/// A node sends an endless answer, fast or byte by byte. The host must stop it at the maximum size or at the request's deadline, or memory
/// would grow and the client would wait forever.
#[test]
fn endless_answer_is_ended_by_its_size_or_its_deadline() {
    for is_fast in [true, false] {
        let (mut host, _endpoint_list, mut node) = default_fixture();
        let mut client = host.client();
        let text = host.request("once", 0, "x");
        client.send(&text);
        host.run_until("at its node", |_| node.request_count() == 1);
        node.connections[0].send(b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n");
        let since = Instant::now();
        host.run_until("answered", |_| {
            if node.connections[0].ended.is_none() {
                let piece: &[u8] = if is_fast { &[b'x'; 9000] } else { b"x" };
                _ = std::io::Write::write(&mut node.connections[0].stream, piece);
                node.receive();
            }
            client.message_count() == 1
        });
        assert_eq!(client.statuses(), [502], "the request may have run");
        assert!(since.elapsed() < Duration::from_millis(2500), "{:?}", since.elapsed());
        host.run_until("its connection is closed", |host| host.status().node_connections == 0);
    }
}

/// The list sends an endless answer. The host must fail the poll at the maximum size, keep its current list, and poll again.
#[test]
fn endless_list_is_a_failed_poll_and_changes_nothing() {
    let (mut host, mut endpoint_list, _node) = default_fixture();
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    let mut connection = endpoint_list.connections.remove(0);
    connection.send(b"HTTP/1.1 200 OK\r\n\r\n{\"revision\":9,");
    let since = Instant::now();
    host.run_until("the list is polled again", |_| {
        if connection.ended.is_none() {
            _ = std::io::Write::write(&mut connection.stream, &[b' '; 60_000]);
            connection.receive();
        }
        endpoint_list.request_count() == 1
    });
    assert!(since.elapsed() < Duration::from_millis(2000), "{:?}", since.elapsed());
    assert_eq!((host.status().version, host.status().nodes), (1, 1));
}

/// The list service answers a watch with the complete list of a fleet of 3,200 nodes that is being replaced, indented, in which a node
/// drains. If the host refused a list of this length, or had no room for its nodes, it would follow its old list for good.
#[test]
fn complete_list_of_a_large_fleet_is_applied() {
    const NODES: u32 = 2 * 3_200;
    let (mut host, mut endpoint_list, mut node) = default_fixture();
    host.run_until("the list is polled", |_| endpoint_list.request_count() == 1);
    let other = FakeServer::new();
    let member = |number: u32| {
        let (id, shard) = (format!("storage-node-{number:08x}"), number % 3_200);
        member_json(&id, other.address(), shard, "Ready").replace(',', ",\n          ")
    };
    let mut members: Vec<String> = (1..NODES).map(member).collect();
    members.push(member_json("s-0", node.address(), 0, "Terminating"));
    let answer = ok_response(&list_json(2, true, &members));
    assert!(answer.len() > 1 << 20, "{} bytes", answer.len());
    let mut sent = 0;
    host.run_until("the list is applied", |host| {
        if let Some(connection) = endpoint_list.connections.first_mut() {
            sent += connection.send(&answer.as_bytes()[sent..]);
        }
        host.status().version == 2
    });
    assert_eq!(host.status().nodes, NODES as usize);
    let mut client = host.client();
    let text = host.request("read", 0, "x");
    client.send(&text);
    host.run_until("the request is accepted", |host| host.status().core.commands_received == 1);
    host.run_for(0.1);
    assert_eq!(node.received_byte_count(), 0, "the draining node got a request");
}

/// All nodes drain or leave, and return. A host without a ready node can't serve, so its health check must fail until a node is ready.
#[test]
fn health_check_fails_while_no_node_is_ready() {
    let (mut host, mut endpoint_list, node) = default_fixture();
    let mut probe = host.client();
    for (version, phase, expected) in
        [(1, "", 200), (2, "Terminating", 503), (3, "Ready", 200), (4, "Gone", 503)]
    {
        if !phase.is_empty() {
            host.run_until("the list is polled", |_| endpoint_list.request_count() == version - 1);
            let change = list_json(version as u64, false, &[member_json("s-0", node.address(), 0, phase)]);
            endpoint_list.connections[0].send(ok_response(&change).as_bytes());
            host.run_until("the update is applied", |host| host.status().version == version as u64);
        }
        probe.send(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        host.run_until("answered", |_| probe.message_count() == version);
        assert_eq!(probe.statuses().last(), Some(&expected), "{phase}");
    }
}
