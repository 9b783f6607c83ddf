//! Clients that leave after an iteration began: what the iteration was not notified of in time.

use super::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Instant as Wall;

/// A host with one node, where nobody reads; its list is down.
fn host(plan: &str) -> (Host, TcpListener) {
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

fn turns(h: &mut Host, holds: impl Fn(&Host) -> bool) {
    let since = Wall::now();
    while !holds(h) {
        assert!(since.elapsed() < Duration::from_secs(5), "{:?}", h.status());
        h.run_iteration(&mut Vec::new(), &mut || Err("nothing to read again"));
    }
}

/// A client whose request was taken.
fn asks(h: &mut Host, number: u32) -> TcpStream {
    let mut client = TcpStream::connect(h.address().unwrap()).unwrap();
    let text = format!(
        "GET /api/00000000000000aa/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:016x}\r\nX-Call-Class: read\r\n\
         X-Storage-Class: gold\r\nX-Budget-Ms: 1000\r\nX-Extent: units=1,shard=0,hosts=1\r\n\r\n"
    );
    client.write_all(text.as_bytes()).unwrap();
    let before = h.status().core.taken;
    turns(h, |h| h.status().core.taken > before);
    client
}

/// Its end is there, and no iteration was notified of it.
fn leaves(h: &Host, client: TcpStream) {
    let id = *h.open_requests.keys().max().unwrap();
    drop(client);
    let since = Wall::now();
    while !h.clients.has_disconnected(id) {
        assert!(since.elapsed() < Duration::from_secs(5));
    }
}

#[test]
fn a_connection_that_comes_up_before_its_clients_end_is_reported_carries_nothing() {
    let (mut h, node) = host("");
    let client = asks(&mut h, 1);
    let link = (0..8).find(|l| h.links.connecting_client(*l).is_some()).expect("its connection comes up");
    leaves(&h, client);
    let up = Ready { token: Token::Link(link), read: false, write: true, ended: false };
    h.handle_ready_socket(up, &mut || Err(""));
    let mut wire = node.accept().unwrap().0;
    wire.set_nonblocking(true).unwrap();
    assert_eq!(wire.read(&mut [0; 9]).unwrap_err().kind(), ErrorKind::WouldBlock, "not a byte");
    let s = h.status();
    assert_eq!((s.core.left, s.core.withdrawn, s.open), (1, 1, OpenCounts::default()), "{s:?}");
}

#[test]
fn what_its_bucket_releases_before_its_clients_end_is_reported_is_not_sent() {
    let (mut h, _node) = host(r#","ceiling_rate":4.0,"most_at_once":1.2,"slack":0.1"#);
    let _first = asks(&mut h, 1);
    let second = asks(&mut h, 2);
    turns(&mut h, |h| h.status().links.opened == 1);
    leaves(&h, second);
    std::thread::sleep(Duration::from_millis(300));
    h.execute_outputs();
    let s = h.status();
    assert_eq!((s.links.opened, s.core.left), (1, 1), "{s:?}");
}
