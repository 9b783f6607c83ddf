//! Tests of events that a test outside of the host can't cause: clients that disconnect after an iteration began, so that the iteration
//! does not report it, and outputs of the core.

use super::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant as Wall;

/// An address without a listener.
const UNREACHABLE: &str = "127.0.0.1:1";

/// Returns a host with one node that does not read, and with an unreachable list.
fn fixture(plan: &str) -> (Host, TcpListener) {
    fixture_with_list(plan, UNREACHABLE)
}

/// Returns a host with one node that does not read, and with the list at this address.
fn fixture_with_list(plan: &str, list_address: &str) -> (Host, TcpListener) {
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    node.set_nonblocking(true).unwrap();
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{list_address}","seed":"7",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
        "known":{{"revision":1,"complete":true,"members":[{{"id":"s","host_port":"{}","locality":"a","flavor":"m","cell":0,"phase":"Ready"}}]}},
        "settings":{{"balancers":1,"granularity":0.002,"areas":["a"],"registry_mode":"ask","domain":{{"unit_mean":2.0}},
          "limits":{{"connect_timeout":0.25}},
          "request_classes":[{{"name":"read","effect":"repeatable","target":1.0,"give_up":1.5}}],
          "grades":[{{"name":"gold"{plan}}}]}}}}"#,
        node.local_addr().unwrap()
    );
    (Host::start(&Configuration::parse(text.as_bytes()).unwrap()).unwrap(), node)
}

fn run_until(host: &mut Host, holds: impl Fn(&Host) -> bool) {
    let since = Wall::now();
    while !holds(host) {
        assert!(since.elapsed() < Duration::from_secs(5), "{:?}", host.status());
        host.run_iteration(&mut Vec::new(), &mut || Err("nothing to read again"));
    }
}

/// Sends a request with this number and waits until the host has accepted it.
fn send_request(host: &mut Host, number: u32) -> TcpStream {
    let mut client = TcpStream::connect(host.address().unwrap()).unwrap();
    let text = format!(
        "GET /api/00000000000000aa/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:016x}\r\nX-Call-Class: read\r\n\
         X-Storage-Class: gold\r\nX-Budget-Ms: 1000\r\nX-Extent: units=1,shard=0,hosts=1\r\n\r\n"
    );
    client.write_all(text.as_bytes()).unwrap();
    let before = host.status().core.commands_received;
    run_until(host, |host| host.status().core.commands_received > before);
    client
}

/// Closes the client's connection, and waits until the close has reached the host's socket without an iteration that reports it.
fn disconnect(host: &Host, client: TcpStream) {
    let id = *host.request_ids.open.keys().max().unwrap();
    drop(client);
    let since = Wall::now();
    while !host.clients.has_disconnected(id) {
        assert!(since.elapsed() < Duration::from_secs(5));
    }
}

/// A client closes after an iteration began in which the connection to the node for its request is established. The poller has not
/// reported the close, so the host must check the client's socket before it writes the request.
#[test]
fn new_node_connection_is_unused_after_unreported_client_close() {
    let (mut host, node) = fixture("");
    let client = send_request(&mut host, 1);
    let id = (0..8)
        .find(|id| host.node_connections.connecting_client(*id).is_some())
        .expect("a connection is being established");
    disconnect(&host, client);
    let ready = Ready { token: Token::NodeConnection(id), read: false, write: true, ended: false };
    host.handle_ready_socket(ready, &mut || Err(""));
    let mut connection = node.accept().unwrap().0;
    connection.set_nonblocking(true).unwrap();
    assert_eq!(connection.read(&mut [0; 9]).unwrap_err().kind(), ErrorKind::WouldBlock, "bytes were written");
    let status = host.status();
    assert_eq!(
        (status.core.commands_aborted, status.core.withdrawn, status.open),
        (1, 1, OpenCounts::default()),
        "{status:?}"
    );
}

/// A token bucket releases a request whose client closed after the iteration began. The poller has not reported the close, so the host
/// must check the client's socket before it sends the request.
#[test]
fn token_bucket_release_checks_for_unreported_client_close() {
    let (mut host, _node) = fixture(r#","ceiling_rate":4.0,"most_at_once":1.2,"slack":0.1"#);
    let _first = send_request(&mut host, 1);
    let second = send_request(&mut host, 2);
    run_until(&mut host, |host| host.status().node_counters.opened == 1);
    disconnect(&host, second);
    std::thread::sleep(Duration::from_millis(300));
    host.execute_outputs();
    let status = host.status();
    assert_eq!((status.node_counters.opened, status.core.commands_aborted), (1, 1), "{status:?}");
}

/// Runs the host until a poll of the list has arrived on the connection, and returns its request line.
fn receive_poll(host: &mut Host, connection: &mut TcpStream) -> String {
    connection.set_nonblocking(true).unwrap();
    let (since, mut poll) = (Wall::now(), Vec::new());
    while !poll.ends_with(b"\r\n\r\n") {
        assert!(since.elapsed() < Duration::from_secs(5), "the list is not polled");
        host.run_iteration(&mut Vec::new(), &mut || Err("nothing to read again"));
        // Fails once no bytes are left, and keeps those that were read.
        _ = connection.read_to_end(&mut poll);
    }
    String::from_utf8(poll).unwrap().lines().next().unwrap().to_owned()
}

/// The core requests the complete list because changes are missing, while no poll is open. A poll for changes would skip the missing
/// ones, which may include a drain.
#[test]
fn fetch_polls_complete_list() {
    let list = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut host, _node) = fixture_with_list("", &list.local_addr().unwrap().to_string());
    let now = host.clock.now();
    host.core.handle_endpoint_list(now, ListKind::Changes, 7, 9, &[]);
    host.execute_outputs();
    assert!(host.watch.is_polling());
    let mut connection = list.accept().unwrap().0;
    assert_eq!(receive_poll(&mut host, &mut connection), "GET /registry/instances HTTP/1.1");
}

/// The core requests the complete list while a poll for changes is open. The answer has changes only, so the complete list must still be
/// polled.
#[test]
fn fetch_during_open_poll_polls_complete_list_next() {
    let list = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut host, _node) = fixture_with_list("", &list.local_addr().unwrap().to_string());
    run_until(&mut host, |host| host.watch.is_polling());
    let mut connection = list.accept().unwrap().0;
    assert!(receive_poll(&mut host, &mut connection).contains("after=1&"));
    let now = host.clock.now();
    host.fetch_complete_list(now);
    let body = r#"{"revision":2,"complete":false,"members":[]}"#;
    write!(connection, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    assert_eq!(receive_poll(&mut host, &mut connection), "GET /registry/instances HTTP/1.1");
}
