//! Tests of events that a test of the whole host can't force: a node ends a connection while a request is being written to it, or while
//! an idle connection is being reused.

use super::*;
use crate::node_connection::PendingAttempt;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant as Wall};
use tackmast_host_core::{AttemptWork, CommandId, OpaqueRequest, Ticket};
use tackmast_platform::{Configuration, Settings};

/// Time that a test waits for an expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Size in bytes of the socket buffers.
const SMALL_BUFFER: usize = 8 * 1024;
/// Length in bytes of a body that exceeds the socket buffers of a node that does not read.
const LONG_BODY_LEN: usize = 1 << 20;
const NODE: NodeId = NodeId(1);

fn at(secs: f64) -> Instant {
    Instant::from_secs(secs)
}

fn settings() -> Settings {
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7",
        "limits":{"cores":1.0,"memory_mb":32,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
        "settings":{"balancers":1,"granularity":0.002,"areas":["a"],"registry_mode":"ask","domain":{"unit_mean":2.0},
          "request_classes":[{"name":"once","effect":"once","target":1.0,"give_up":1.5}],
          "grades":[{"name":"gold"}]}}"#;
    Configuration::parse(text.as_bytes()).unwrap().settings
}

fn attempt(number: u64, body_len: usize) -> SendAttempt {
    let head = format!("PUT / HTTP/1.1\r\nContent-Length: {body_len}\r\n");
    SendAttempt {
        node: NODE,
        attempt: AttemptId(number),
        request: number,
        attempt_number: 0,
        from: CommandId { session: 1, command: 1 },
        part: 0,
        deadline: at(100.0),
        begin_by: None,
        idempotency_key: 0,
        key: 0,
        volume: 0,
        offset: 0,
        units: 1.0,
        work: AttemptWork::Opaque(OpaqueRequest { head: head.into(), body: vec![b'x'; body_len].into() }),
        ticket: Ticket::default(),
    }
}

/// Returns whether all bytes of an attempt were written.
fn is_written(ticket: &Ticket) -> bool {
    ticket.is_claimed() && !ticket.is_stuck()
}

/// Connections to a node whose side the test reads and writes, and the results of the attempts.
struct Fixture {
    listener: TcpListener,
    poller: Poller,
    connections: NodeConnections,
    results: Vec<AttemptResult>,
}

impl Fixture {
    fn new() -> Fixture {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        // Accepted sockets have the size of their listener.
        socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
        socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        // An accept fails after this time too.
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        socket.listen(8).unwrap();
        let reports = Reports::of(&settings());
        let connections =
            NodeConnections::new(8, TimeDelta::from_millis(250), TimeDelta::from_millis(30_000), reports);
        let poller = Poller::new().unwrap();
        Fixture { listener: socket.into(), poller, connections, results: Vec::new() }
    }

    /// Sends an attempt and returns its ticket.
    fn send(&mut self, now: f64, attempt: SendAttempt) -> Ticket {
        let (ticket, to) = (attempt.ticket.clone(), self.listener.local_addr().unwrap());
        let pending = PendingAttempt { attempt, has_waited: false };
        self.connections.send(at(now), &self.poller, Some(to), pending, &mut self.results);
        ticket
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    /// Handles ready sockets until a condition holds; panics with its description if it never does.
    #[track_caller]
    fn run_until(&mut self, now: f64, description: &str, holds: impl Fn(&Self) -> bool) {
        let (since, mut ready) = (Wall::now(), Vec::new());
        while !holds(self) {
            assert!(since.elapsed() < TEST_TIMEOUT, "{description}");
            self.poller.wait(Duration::from_millis(1), &mut ready);
            for socket in &ready {
                let Token::NodeConnection(id) = socket.token else { panic!("{socket:?}") };
                self.connections.handle_ready(at(now), &self.poller, id, *socket, true, &mut self.results);
            }
        }
    }

    /// Returns the number of bytes that are still to be written on a connection.
    fn unsent_len(&self, id: u32) -> usize {
        match &self.connections.connections[&id].state {
            State::Busy { outgoing, .. } => outgoing.len(),
            State::Connecting { .. } | State::Idle => 0,
        }
    }

    /// Writes a part of an attempt to its node, so that the socket buffers are full. Returns its ticket and the node's side of the connection.
    fn write_partly(&mut self, number: u64) -> (Ticket, TcpStream) {
        let ticket = self.send(1.0, attempt(number, LONG_BODY_LEN));
        let id = self.connections.by_attempt[&AttemptId(number)];
        let stream = &self.connections.connections[&id].stream;
        socket2::SockRef::from(stream).set_send_buffer_size(SMALL_BUFFER).unwrap();
        let node = self.accept();
        self.run_until(1.0, "a part is written", |fixture| fixture.unsent_len(id) > 0);
        assert!(ticket.is_stuck(), "the whole request was written");
        (ticket, node)
    }

    /// Waits for the only attempt to end, and returns its outcome.
    fn outcome(&mut self) -> Outcome {
        self.run_until(1.0, "the attempt ends", |fixture| !fixture.results.is_empty());
        assert_eq!(self.results.len(), 1);
        self.results.remove(0).outcome
    }
}

/// A node closes a connection, in order or with a reset, while a request is being written to it. The node has not received the complete
/// request, so the request never ran and may be retried, whatever its effect.
#[test]
fn partly_written_request_never_ran() {
    for in_order in [true, false] {
        let mut fixture = Fixture::new();
        let (ticket, node) = fixture.write_partly(1);
        match in_order {
            true => node.shutdown(Shutdown::Write).unwrap(),
            // The system resets a connection that is closed over unread bytes.
            false => drop(node),
        }
        let outcome = fixture.outcome();
        assert!(!outcome.may_have_run(), "{outcome:?}, in order: {in_order}");
        assert!(ticket.is_stuck(), "the whole request was written");
        assert_eq!((fixture.connections.len(), fixture.connections.counters.reset), (0, 0));
    }
}

/// A node answers while a request is still being written to it. A success can't belong to this request and must not reach the client; a
/// rejection proves that the request never ran. In both cases the rest of the request must not be written.
#[test]
fn early_answer_is_no_success() {
    for (status, outcome) in [
        ("200 OK\r\nContent-Length: 0", Outcome::Error),
        ("503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0", Outcome::Full),
    ] {
        let mut fixture = Fixture::new();
        let (ticket, mut node) = fixture.write_partly(1);
        write!(node, "HTTP/1.1 {status}\r\n\r\n").unwrap();
        assert_eq!(fixture.outcome(), outcome, "{status}");
        assert!(ticket.is_stuck(), "the whole request was written");
        assert_eq!(fixture.connections.len(), 0, "{status}: the connection may be reused");
        let mut received_bytes = Vec::new();
        _ = node.read_to_end(&mut received_bytes);
        assert!(received_bytes.len() < LONG_BODY_LEN, "{status}: the whole request was written");
    }
}

/// A node closes an idle connection, in order or with a reset, just as a request is written to it, and reads nothing. The host can't
/// distinguish this from a node that ran the request and then failed, so the request may have run.
#[test]
fn request_on_reused_connection_closed_by_node_may_have_run() {
    for in_order in [true, false] {
        let mut fixture = Fixture::new();
        let ticket = fixture.send(1.0, attempt(1, 1));
        let mut node = fixture.accept();
        fixture.run_until(1.0, "the first request is written", |_| is_written(&ticket));
        assert!(node.read(&mut [0; SMALL_BUFFER]).unwrap() > 0);
        node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        assert_eq!(fixture.outcome(), Outcome::Done);
        let ticket = fixture.send(2.0, attempt(2, 1));
        assert_eq!(fixture.connections.counters.reused, 1);
        assert!(is_written(&ticket), "the second request is not written");
        // The request is in the node's socket when the node closes.
        assert!(node.peek(&mut [0; 1]).unwrap() > 0);
        match in_order {
            true => node.shutdown(Shutdown::Write).unwrap(),
            false => drop(node),
        }
        assert_eq!(fixture.outcome(), Outcome::Reset, "in order: {in_order}");
        assert_eq!((fixture.connections.len(), fixture.connections.counters.reset), (0, 1));
    }
}
