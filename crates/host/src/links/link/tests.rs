//! Tests of connections that break between the steps of one write, which tests of a whole host can't force.

use super::*;
use crate::messages::Event;
use crate::Clock;
use bytes::Bytes;
use std::io::{ErrorKind, Read};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tackmast::interface::{Instant, NodeId};
use tackmast_config::HostSettings;
use tackmast_host_core::CommandId;

/// How long a test waits for an event that must happen.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

const SETTINGS: &str = r#"
host {
  number = 0
  hosts = 1
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
}
bounds {
  connect_ms = 1000
}
units {
  bytes = 4096
  most = 8
  mean = 2
}
plan "basic" {}
stream "s" {
  slo_ms = 200
  expiry_ms = 1000
  effect = "unrepeatable"
}
volume "v" {
  lun = 0
  plan = "basic"
  blocks = 1000
  extent_blocks = 64
  shards = [0]
  hosts = 1
  reads = "s"
  writes = "s"
}
"#;

/// The node's side of a connection, after the handshake.
struct NodeConnection {
    stream: TcpStream,
    frames: tackmast_wire::reader::Frames,
}

impl NodeConnection {
    /// Accepts a connection and answers the host's hello.
    fn accept(listener: &TcpListener) -> NodeConnection {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut connection = NodeConnection { stream, frames: node::frames(1 << 20) };
        assert!(matches!(connection.next_frame(), Some(Frame::HostHello { .. })));
        let hello =
            Frame::NodeHello { version: node::VERSION, shard: 0, zone: 0, started_us: 1, up_us: 1_000_000 };
        connection.stream.write_all(&hello.to_bytes()).unwrap();
        connection
    }

    /// Returns the next frame; `None` if the host has closed or reset the connection.
    fn next_frame(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = node::next(&mut self.frames).unwrap() {
                return Some(frame);
            }
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(length) => self.frames.push(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("no frame in time: {error}"),
            }
        }
    }

    /// Asserts that the next frame is the attempt of this number.
    fn expect_attempt(&mut self, number: u64) {
        match self.next_frame() {
            Some(Frame::Send(attempt)) => assert_eq!(attempt.attempt, number),
            other => panic!("expected attempt {number}, received {other:?}"),
        }
    }
}

/// A link whose steps the test calls, the events that the link reports, and the listener of its node.
struct Fixture {
    link: Link,
    events: Receiver<Event>,
    node: TcpListener,
    bytes: BytesMut,
}

impl Fixture {
    fn new() -> Fixture {
        let node = TcpListener::bind("127.0.0.1:0").unwrap();
        let (to_core, events) = crossbeam_channel::unbounded();
        let link = Link::new(LinkContext {
            node: NodeId(1),
            address: node.local_addr().unwrap(),
            settings: Arc::new(HostSettings::parse("test", SETTINGS).unwrap()),
            clock: Clock::start(),
            events: to_core,
            generation: 1,
        });
        Fixture { link, events, node, bytes: BytesMut::new() }
    }

    /// Gathers an attempt for the next write, and returns its ticket.
    fn gather(&mut self, number: u64) -> Ticket {
        let attempt = attempt(number);
        let ticket = attempt.ticket.clone();
        self.link.gather(LinkCommand::Send(Box::new(attempt)), &mut self.bytes);
        ticket
    }

    /// Gathers an attempt for which the link has to connect. Returns the attempt's ticket and the node's side of the connection.
    fn gather_and_connect(&mut self, number: u64) -> (Ticket, NodeConnection) {
        let (listener, events) = (self.node.try_clone().unwrap(), self.events.clone());
        let node: JoinHandle<NodeConnection> = std::thread::spawn(move || {
            let connection = NodeConnection::accept(&listener);
            // Stands in for the core, which applies the node's uptime.
            match events.recv_timeout(TEST_TIMEOUT) {
                Ok(Event::NodeUp { applied, .. }) => applied.send(()).unwrap(),
                _ => panic!("the uptime is not reported"),
            }
            connection
        });
        let ticket = self.gather(number);
        (ticket, node.join().unwrap())
    }

    fn write(&mut self) {
        self.link.write(&self.bytes);
        self.bytes.clear();
    }

    /// Closes a connection at the node, and waits until the link's reader has found it broken.
    fn break_connection(&self, connection: NodeConnection) {
        drop(connection);
        self.link.woken.recv_timeout(TEST_TIMEOUT).expect("the reader ends");
        assert!(self.link.is_broken());
    }

    /// Receives the reported ends of `count` attempts, and returns them sorted by attempt number.
    fn outcomes(&self, count: usize) -> Vec<(u64, Outcome)> {
        let next = || match self.events.recv_timeout(TEST_TIMEOUT) {
            Ok(Event::AttemptResult(result)) => (result.attempt.0, result.outcome),
            _ => panic!("the end of an attempt is not reported"),
        };
        let mut outcomes: Vec<(u64, Outcome)> = (0..count).map(|_| next()).collect();
        outcomes.sort_by_key(|(number, _)| *number);
        outcomes
    }
}

fn attempt(number: u64) -> SendAttempt {
    SendAttempt {
        node: NodeId(1),
        attempt: AttemptId(number),
        request: number,
        attempt_number: 0,
        from: CommandId { session: 1, command: 1 },
        part: 0,
        deadline: Instant::from_secs(1e6),
        begin_by: None,
        idempotency_key: 0,
        key: 0,
        volume: 0,
        offset: 0,
        units: 1.0,
        work: AttemptWork::Write { data: Bytes::from_static(b"data") },
        ticket: Ticket::default(),
    }
}

/// A connection breaks after one attempt was gathered and before the next, which goes to a new connection. No byte of the first was sent,
/// so it never ran and its request may be retried whatever its effect. If it were reported as reset, a non-idempotent request would fail.
#[test]
fn attempt_gathered_for_a_connection_that_breaks_is_reported_as_refused() {
    let mut fixture = Fixture::new();
    let (first, broken) = fixture.gather_and_connect(1);
    fixture.break_connection(broken);
    assert_eq!(fixture.outcomes(1), [(1, Outcome::Refused)]);
    let (second, mut node) = fixture.gather_and_connect(2);
    fixture.write();
    node.expect_attempt(2);
    assert!(second.is_claimed() && !second.is_stuck(), "the second attempt is written");
    assert!(first.is_stuck(), "the first attempt is marked as written");
}

/// A connection breaks after attempts were gathered, and nothing else is gathered. The write must not begin: the attempts have been
/// reported as never run, and are retried elsewhere.
#[test]
fn write_does_not_begin_on_a_connection_that_broke_while_it_was_gathered() {
    let mut fixture = Fixture::new();
    let (first, broken) = fixture.gather_and_connect(1);
    let second = fixture.gather(2);
    fixture.break_connection(broken);
    assert_eq!(fixture.outcomes(2), [(1, Outcome::Refused), (2, Outcome::Refused)]);
    fixture.write();
    assert!(first.is_stuck() && second.is_stuck(), "an attempt is marked as written");
    assert!(fixture.link.connection.is_none(), "the broken connection is kept");
    let (_, mut node) = fixture.gather_and_connect(3);
    fixture.write();
    node.expect_attempt(3);
}

/// The node answers the hello, but the core is busy for longer than the connection timeout, so the attempt is not sent. The node is
/// healthy: if the attempts that wait for a busy core were reported as refused, they would eject it.
#[test]
fn attempt_that_waits_for_a_busy_core_is_reported_as_skipped() {
    let mut fixture = Fixture::new();
    let listener = fixture.node.try_clone().unwrap();
    let node = std::thread::spawn(move || NodeConnection::accept(&listener));
    fixture.gather(1);
    let uptime = fixture.events.recv_timeout(TEST_TIMEOUT).expect("the uptime is reported");
    assert!(matches!(uptime, Event::NodeUp { .. }));
    assert_eq!(fixture.outcomes(1), [(1, Outcome::Skipped)]);
    drop(node.join().unwrap());
}

/// The node closes the connection before its hello. That is a failure of the node, and must count against it.
#[test]
fn attempt_whose_node_ends_the_handshake_is_reported_as_refused() {
    let mut fixture = Fixture::new();
    let listener = fixture.node.try_clone().unwrap();
    let node = std::thread::spawn(move || drop(listener.accept().unwrap()));
    fixture.gather(1);
    assert_eq!(fixture.outcomes(1), [(1, Outcome::Refused)]);
    node.join().unwrap();
}

/// A connection breaks while one attempt is written and unanswered, and another is gathered. Only the first may have run.
#[test]
fn only_attempts_whose_write_began_are_reported_as_reset() {
    let mut fixture = Fixture::new();
    let (_, mut node) = fixture.gather_and_connect(1);
    fixture.write();
    node.expect_attempt(1);
    fixture.gather(2);
    fixture.break_connection(node);
    assert_eq!(fixture.outcomes(2), [(1, Outcome::Reset), (2, Outcome::Refused)]);
}
