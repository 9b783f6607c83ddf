//! Clients that disconnect after an iteration began, so that the iteration does not report it.

use super::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant as Wall;

/// A host with one node that does not read; its list is unreachable.
fn fixture(plan: &str) -> (Host, TcpListener) {
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    node.set_nonblocking(true).unwrap();
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7",
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

/// Sends a request of this number, which the host accepts.
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

/// Closes the client's connection. The host's socket has the close, and no iteration has reported it.
fn disconnect(host: &Host, client: TcpStream) {
    let id = *host.request_ids.open.keys().max().unwrap();
    drop(client);
    let since = Wall::now();
    while !host.clients.has_disconnected(id) {
        assert!(since.elapsed() < Duration::from_secs(5));
    }
}

/// A client closes after an iteration has begun, and the connection for its request is established in that iteration. The close
/// is not reported yet, so the host must look at the client's socket before it writes the request.
#[test]
fn connection_established_before_its_clients_close_is_reported_carries_nothing() {
    let (mut host, node) = fixture("");
    let client = send_request(&mut host, 1);
    let link = (0..8)
        .find(|link| host.node_connections.connecting_client(*link).is_some())
        .expect("its connection comes up");
    disconnect(&host, client);
    let up = Ready { token: Token::NodeConnection(link), read: false, write: true, ended: false };
    host.handle_ready_socket(up, &mut || Err(""));
    let mut connection = node.accept().unwrap().0;
    connection.set_nonblocking(true).unwrap();
    assert_eq!(connection.read(&mut [0; 9]).unwrap_err().kind(), ErrorKind::WouldBlock, "not a byte");
    let status = host.status();
    assert_eq!(
        (status.core.commands_aborted, status.core.withdrawn, status.open),
        (1, 1, OpenCounts::default()),
        "{status:?}"
    );
}

/// A token bucket releases a request whose client has closed after the iteration began. The close is not reported yet, so the
/// host must look at the client's socket before it sends the request.
#[test]
fn request_released_by_its_bucket_is_not_sent_after_an_unreported_close() {
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
