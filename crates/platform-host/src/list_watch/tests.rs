//! Tests of poll events that a test of the whole host can't force, or only with long waits.

use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant as Wall};
use tackmast_platform::Configuration;

/// Time that a test waits for an expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A connect on loopback that takes longer than this is not established.
const FULL_BACKLOG_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of connections that fill a backlog of zero.
const MAX_FILLING: usize = 16;

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

/// A watch, and the listener of the list that it polls.
struct Fixture {
    list: TcpListener,
    poller: Poller,
    settings: Settings,
    watch: Watch,
}

impl Fixture {
    fn new(backlog: i32) -> Fixture {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        // The timeout also applies to accept.
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        socket.listen(backlog).unwrap();
        let list: TcpListener = socket.into();
        let watch = Watch::new(list.local_addr().unwrap());
        Fixture { list, poller: Poller::new().unwrap(), settings: settings(), watch }
    }

    fn poll(&mut self, now: f64) {
        self.watch.poll(at(now), &self.poller, Some(1)).unwrap();
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.list.accept().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    /// Waits until the poller reports a socket of the watch, and handles it.
    fn handle_ready_socket(&mut self, now: f64) -> Option<WatchEvent> {
        let (since, mut ready) = (Wall::now(), Vec::new());
        while ready.is_empty() {
            assert!(since.elapsed() < TEST_TIMEOUT, "no socket is ready");
            self.poller.wait(Duration::from_millis(10), &mut ready);
        }
        let Token::List(number) = ready[0].token else { panic!("{ready:?}") };
        self.watch.handle_ready(at(now), &self.poller, number, ready[0], &self.settings)
    }

    /// Polls the list on a new connection and answers the poll. Returns the list's side of the connection, which is then idle.
    fn poll_and_answer(&mut self, now: f64) -> TcpStream {
        self.poll(now);
        let mut connection = self.accept();
        self.answer(now, &mut connection);
        connection
    }

    /// Reads the poll on a connection and answers it.
    fn answer(&mut self, now: f64, connection: &mut TcpStream) {
        let since = Wall::now();
        while self.watch.open_poll.as_ref().is_some_and(|poll| !poll.outgoing.is_empty()) {
            assert!(since.elapsed() < TEST_TIMEOUT, "the poll is not written");
            assert!(self.handle_ready_socket(now).is_none());
        }
        assert!(connection.read(&mut [0; 4096]).unwrap() > 0);
        let body = r#"{"revision":1,"complete":false,"members":[]}"#;
        write!(connection, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
        let mut event = None;
        while event.is_none() {
            assert!(since.elapsed() < TEST_TIMEOUT, "the answer is not applied");
            event = self.handle_ready_socket(now);
        }
        assert!(matches!(event, Some(WatchEvent::List { .. })), "{event:?}");
    }
}

/// What the list does on an idle connection.
#[derive(Clone, Copy, Debug)]
enum IdleFault {
    UnsolicitedBytes,
    Close,
}

impl IdleFault {
    const ALL: [IdleFault; 2] = [IdleFault::UnsolicitedBytes, IdleFault::Close];

    /// Applies the fault. Returns the connection if it is still open.
    fn apply(self, mut connection: TcpStream) -> Option<TcpStream> {
        match self {
            IdleFault::UnsolicitedBytes => {
                connection.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
                Some(connection)
            }
            IdleFault::Close => None,
        }
    }
}

/// A connection to the list is not established. The poll must fail at the connect timeout: until then no other poll starts, and the host
/// does not learn of changes.
#[test]
fn poll_fails_after_connect_timeout() {
    let mut fixture = Fixture::new(0);
    let mut filling = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&fixture.watch.address(), FULL_BACKLOG_TIMEOUT) {
        filling.push(stream);
        assert!(filling.len() < MAX_FILLING);
    }
    fixture.poll(1.0);
    let is_connected = |poll: &Poll| poll.stream.peer_addr().is_ok();
    assert!(!fixture.watch.open_poll.as_ref().is_some_and(is_connected), "the backlog is not full");
    assert!(fixture.watch.handle_timeout(at(1.69), &fixture.settings).is_none());
    assert!(fixture.watch.is_polling(), "given up too early");
    let event = fixture.watch.handle_timeout(at(1.7), &fixture.settings);
    assert!(matches!(event, Some(WatchEvent::Failed(_))), "{event:?}");
    assert!(!fixture.watch.is_polling());
}

/// Consecutive polls reuse one connection to the list as long as nothing arrives on it between them.
#[test]
fn next_poll_reuses_idle_connection() {
    let mut fixture = Fixture::new(8);
    let mut connection = fixture.poll_and_answer(1.0);
    fixture.poll(1.1);
    fixture.answer(1.1, &mut connection);
}

/// Between two polls the list sends bytes or closes the connection, and the poller reports it. The connection must be dropped: the bytes
/// would be taken for the answer to the next poll, and after a close the next poll would fail.
#[test]
fn reported_input_drops_idle_connection() {
    for fault in IdleFault::ALL {
        let mut fixture = Fixture::new(8);
        let connection = fixture.poll_and_answer(1.0);
        let _open = fault.apply(connection);
        assert!(fixture.handle_ready_socket(1.0).is_none(), "{fault:?}");
        assert!(fixture.watch.idle_connection.is_none(), "{fault:?}: kept");
        fixture.poll_and_answer(1.1);
    }
}

/// The list sends bytes or closes the connection after the iteration began in which the next poll is sent, so the poller does not report
/// it. The next poll must check the connection before it uses it.
#[test]
fn unreported_input_drops_idle_connection() {
    for fault in IdleFault::ALL {
        let mut fixture = Fixture::new(8);
        let connection = fixture.poll_and_answer(1.0);
        let _open = fault.apply(connection);
        let since = Wall::now();
        while sockets::has_no_input(&fixture.watch.idle_connection.as_ref().unwrap().1) {
            assert!(since.elapsed() < TEST_TIMEOUT);
        }
        fixture.poll_and_answer(1.1);
    }
}
