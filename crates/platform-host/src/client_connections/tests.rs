//! Tests of events that a test of the whole host can't force, such as bytes that arrive after an iteration began and before it reads them.

use super::*;
use crate::client_connection::{LINGER_TIMEOUT, MAX_LINGER_BYTES, MAX_PIPELINED_BYTES};
use crate::poller::Ready;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant as Wall};

/// A complete request.
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Client connections without a host.
struct Fixture {
    listener: TcpListener,
    poller: Poller,
    clients: ClientConnections,
}

fn at(secs: f64) -> Instant {
    Instant::from_secs(secs)
}

impl Fixture {
    /// Creates client connections with this capacity and one rejection slot.
    fn new(max_connections: usize) -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let clients = ClientConnections {
            max_connections,
            rejection_slots: 1,
            ..ClientConnections::new(max_connections, 1 << 20, TimeDelta::from_secs(0.5))
        };
        Fixture { listener, poller: Poller::new().unwrap(), clients }
    }

    fn client(&mut self, now: f64) -> (u32, TcpStream) {
        let stream = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let (accepted, _) = self.listener.accept().unwrap();
        self.clients.accepted(at(now), &self.poller, accepted);
        (self.clients.last_id, stream)
    }

    /// Connects a client that has received an answer and is idle.
    fn idle_client(&mut self, now: f64) -> (u32, TcpStream) {
        let (id, stream) = self.client(now);
        self.clients.request_accepted(at(now), id, id, 0);
        assert!(self.clients.answer(at(now), &self.poller, id, 200, b"", None).is_none());
        (id, stream)
    }

    /// Waits until the host's socket of a connection has input.
    fn wait_for_input(&self, id: u32) {
        let since = Wall::now();
        while sockets::has_no_input(&self.clients.clients[&id].stream) {
            assert!(since.elapsed() < Duration::from_secs(5));
            std::thread::yield_now();
        }
    }

    fn contains(&self, id: u32) -> bool {
        self.clients.clients.contains_key(&id)
    }

    fn state(&self, id: u32) -> ConnectionState {
        self.clients.clients[&id].state
    }
}

/// Reads all bytes up to the end of a connection, which must not be a reset.
fn read_to_end(mut stream: &TcpStream) -> String {
    let mut all = Vec::new();
    stream.read_to_end(&mut all).expect("an end in order");
    String::from_utf8_lossy(&all).into_owned()
}

/// A new client connects at capacity while the oldest idle connection has an unread request in its socket. Evicting that connection
/// would lose the request, so the next oldest is evicted.
#[test]
fn connection_with_unread_input_is_not_evicted() {
    let mut fixture = Fixture::new(3);
    let (oldest, mut requesting_client) = fixture.idle_client(1.0);
    let (second, _second_client) = fixture.idle_client(2.0);
    let (third, _third_client) = fixture.idle_client(3.0);
    requesting_client.write_all(REQUEST).unwrap();
    fixture.wait_for_input(oldest);
    let (new, _) = fixture.client(9.0);
    assert!(
        fixture.contains(oldest)
            && !fixture.contains(second)
            && fixture.contains(third)
            && fixture.contains(new)
    );
    assert_eq!((fixture.clients.counters.evicted, fixture.clients.counters.rejected), (1, 0));
}

/// A client connects while all connections are busy. It must get a 503 without a reset, even while it sends its request, and the busy
/// connections must stay open. Further clients reuse the rejection slot.
#[test]
fn connection_beyond_capacity_is_answered_503_and_drained() {
    let mut fixture = Fixture::new(1);
    let (busy, _busy_client) = fixture.client(1.0);
    fixture.clients.request_accepted(at(1.0), busy, 7, 0);
    let (rejected, mut client) = fixture.client(2.0);
    assert_eq!(fixture.state(rejected), ConnectionState::HalfClosed);
    // The request crosses the answer.
    client.write_all(REQUEST).unwrap();
    fixture.wait_for_input(rejected);
    let ready = Ready { token: Token::ClientConnection(rejected), read: true, write: false, ended: false };
    assert!(fixture.clients.handle_ready(at(2.1), &fixture.poller, rejected, ready).is_none());
    let text = read_to_end(&client);
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("Retry-After: 0.500"), "{text}");
    for _ in 0..5 {
        fixture.client(3.0);
        assert!(fixture.contains(busy) && fixture.clients.len() <= 2);
    }
}

/// A client sends more bytes and closes while its request is open. A read would not detect the close behind the unread bytes, and a
/// node would work for a disconnected client.
#[test]
fn disconnect_is_seen_behind_unread_bytes() {
    let mut fixture = Fixture::new(3);
    let (id, mut client) = fixture.client(1.0);
    fixture.clients.request_accepted(at(1.0), id, 7, 0);
    client.write_all(REQUEST).unwrap();
    fixture.wait_for_input(id);
    assert!(!fixture.clients.has_disconnected(id));
    drop(client);
    let since = Wall::now();
    while !fixture.clients.has_disconnected(id) {
        assert!(since.elapsed() < Duration::from_secs(5));
    }
    assert!(matches!(fixture.clients.handle_disconnect(id), ClientEvent::Disconnected(Some(7))));
    assert!(fixture.clients.has_disconnected(id), "an unknown client has disconnected");
}

/// The host shuts down while connections are idle, new, busy, partly received, or have a request in their socket. Only the idle one may
/// be half-closed at once: the clients of the others would lose requests.
#[test]
fn shutdown_half_closes_only_idle_connections_without_input() {
    let mut fixture = Fixture::new(9);
    let (idle, idle_client) = fixture.idle_client(1.0);
    let (requesting, mut requesting_client) = fixture.idle_client(1.0);
    let (busy, _busy_client) = fixture.client(1.0);
    fixture.clients.request_accepted(at(1.0), busy, 7, 0);
    let (new, _new_client) = fixture.client(4.9);
    let (partial, mut partial_client) = fixture.idle_client(1.0);
    partial_client.write_all(&REQUEST[..9]).unwrap();
    fixture.wait_for_input(partial);
    let read = |id| Ready { token: Token::ClientConnection(id), read: true, write: false, ended: false };
    assert!(fixture.clients.handle_ready(at(4.9), &fixture.poller, partial, read(partial)).is_none());
    requesting_client.write_all(REQUEST).unwrap();
    fixture.wait_for_input(requesting);
    fixture.clients.begin_shutdown(at(5.0), &fixture.poller, ShutdownPhase::Closing);
    assert_eq!(
        (fixture.state(idle), fixture.state(requesting)),
        (ConnectionState::HalfClosed, ConnectionState::Reading)
    );
    assert_eq!(
        (fixture.state(busy), fixture.state(new), fixture.state(partial)),
        (ConnectionState::AwaitingResponse(7), ConnectionState::Reading, ConnectionState::Reading)
    );
    assert_eq!(read_to_end(&idle_client), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    // The request in the socket is read and served, and its answer is the last.
    assert!(matches!(
        fixture.clients.handle_ready(at(5.0), &fixture.poller, requesting, read(requesting)),
        Some(ClientEvent::Request(_))
    ));
    fixture.clients.request_accepted(at(5.0), requesting, 8, 0);
    fixture.clients.answer(at(5.0), &fixture.poller, requesting, 200, b"x", None);
    assert!(read_to_end(&requesting_client).ends_with("Content-Length: 1\r\nConnection: close\r\n\r\nx"));
    // In the phase Settled all other connections except the busy one are ended too.
    fixture.clients.begin_shutdown(at(5.2), &fixture.poller, ShutdownPhase::Settled);
    assert_eq!(
        (fixture.state(new), fixture.state(partial)),
        (ConnectionState::HalfClosed, ConnectionState::HalfClosed)
    );
    assert!(read_to_end(&partial_client).contains("HTTP/1.1 503"));
    assert_eq!(fixture.state(busy), ConnectionState::AwaitingResponse(7), "the core answers the busy one");
}

/// A client keeps sending after its last answer, or never closes. The host must discard these bytes, as a reset would lose the answer,
/// but only up to a maximum size and time.
#[test]
fn bytes_after_the_last_answer_are_discarded_within_a_bound() {
    let mut fixture = Fixture::new(3);
    let (id, mut client) = fixture.idle_client(1.0);
    fixture.clients.begin_shutdown(at(2.0), &fixture.poller, ShutdownPhase::Closing);
    let ready = Ready { token: Token::ClientConnection(id), read: true, write: false, ended: false };
    let mut sent = 0;
    while fixture.contains(id) {
        client.write_all(REQUEST).unwrap();
        sent += REQUEST.len();
        assert!(!matches!(
            fixture.clients.handle_ready(at(2.1), &fixture.poller, id, ready),
            Some(ClientEvent::Request(_))
        ));
        assert!(sent < 2 * MAX_LINGER_BYTES, "more is discarded than the bound allows");
    }
    assert!(sent > MAX_LINGER_BYTES);
    // The answer of this client is the last on its connection.
    let (id, _client) = fixture.idle_client(4.0);
    assert_eq!(fixture.state(id), ConnectionState::HalfClosed);
    fixture.clients.handle_timeout(at(4.0 + LINGER_TIMEOUT.secs() - 0.01), &fixture.poller);
    assert!(fixture.contains(id));
    fixture.clients.handle_timeout(at(4.0 + LINGER_TIMEOUT.secs()), &fixture.poller);
    assert!(!fixture.contains(id));
}

/// A client pipelines without end while its request is open. The host must read all bytes, as a close behind them would not be seen
/// otherwise, but must keep them only up to a bound, or its memory would grow.
#[test]
fn pipelined_bytes_are_read_ahead_and_kept_within_a_bound() {
    let mut fixture = Fixture::new(3);
    let (id, mut client) = fixture.client(1.0);
    fixture.clients.request_accepted(at(1.0), id, 7, 0);
    let ready = Ready { token: Token::ClientConnection(id), read: true, write: false, ended: false };
    let (mut sent, pipelined_too_much) = (0, |fixture: &Fixture| fixture.clients.counters.pipelined_too_much);
    let mut sent_before_bound = None;
    while sent < 4 * MAX_PIPELINED_BYTES {
        client.write_all(REQUEST).unwrap();
        sent += REQUEST.len();
        fixture.wait_for_input(id);
        assert!(fixture.clients.handle_ready(at(1.0), &fixture.poller, id, ready).is_none());
        if pipelined_too_much(&fixture) > 0 {
            sent_before_bound.get_or_insert(sent);
            assert_eq!(fixture.clients.buffered_bytes, 0, "{sent} bytes: no further request is accepted");
        }
        let connection = &fixture.clients.clients[&id];
        assert!(connection.interest.read, "{sent} bytes: an end behind them would not be seen");
        assert!(sockets::has_no_input(&connection.stream), "{sent} bytes: some are unread");
    }
    let bound = MAX_PIPELINED_BYTES..MAX_PIPELINED_BYTES + 2 * REQUEST.len();
    assert!(sent_before_bound.is_some_and(|sent| bound.contains(&sent)), "{sent_before_bound:?}");
    assert_eq!(pipelined_too_much(&fixture), 1);
    let connection = &fixture.clients.clients[&id];
    assert!(connection.closes && connection.state == ConnectionState::AwaitingResponse(7));
}

/// An answer that exceeds the socket buffers of a client that does not read.
const LONG_ANSWER: &[u8] = &[b'x'; 1 << 20];
/// Size in bytes of the socket buffers of such a client.
const SMALL_BUFFER: usize = 8 * 1024;

impl Fixture {
    /// Connects a client that has read nothing of a long answer, so that the socket buffers are full.
    fn client_with_unread_answer(&mut self, now: f64) -> (u32, TcpStream) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
        socket.connect(&self.listener.local_addr().unwrap().into()).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let (accepted, _) = self.listener.accept().unwrap();
        socket2::SockRef::from(&accepted).set_send_buffer_size(SMALL_BUFFER).unwrap();
        self.clients.accepted(at(now), &self.poller, accepted);
        let id = self.clients.last_id;
        self.clients.request_accepted(at(now), id, id, 0);
        assert!(self.clients.answer(at(now), &self.poller, id, 200, LONG_ANSWER, None).is_none());
        assert!(!self.clients.clients[&id].outgoing.is_empty(), "the sockets hold the whole answer");
        (id, socket.into())
    }

    /// Handles the sockets that are ready within `timeout`, and returns the requests that were received.
    fn handle_ready_sockets(&mut self, now: f64, timeout: Duration) -> Vec<Request> {
        let (mut ready, mut requests) = (Vec::new(), Vec::new());
        self.poller.wait(timeout, &mut ready);
        for socket in ready {
            let Token::ClientConnection(id) = socket.token else { panic!("{socket:?}") };
            match self.clients.handle_ready(at(now), &self.poller, id, socket) {
                Some(ClientEvent::Request(request)) => requests.push(request),
                Some(ClientEvent::Disconnected(_)) => panic!("client {id} has disconnected"),
                Some(ClientEvent::UnreadInput) => panic!("client {id} has sent more than an iteration reads"),
                None => {}
            }
        }
        requests
    }
}

/// A client sends requests and reads no answer. Its bytes must stay in the socket buffers, or the host's memory would fill with requests
/// and answers. Once the client has read its answer, the next request is accepted.
#[test]
fn pipelined_request_waits_for_the_previous_answer() {
    let mut fixture = Fixture::new(3);
    let (id, mut client) = fixture.client_with_unread_answer(1.0);
    client.write_all(REQUEST).unwrap();
    fixture.wait_for_input(id);
    for _ in 0..100 {
        assert!(fixture.handle_ready_sockets(1.0, Duration::ZERO).is_empty(), "a request is accepted");
        assert_eq!(fixture.clients.clients[&id].reader.buffered_len(), 0, "bytes are read");
    }
    let (mut received_bytes, mut chunk) = (0, [0; SMALL_BUFFER]);
    let mut requests = Vec::new();
    let since = Wall::now();
    while requests.is_empty() {
        assert!(since.elapsed() < Duration::from_secs(5), "{received_bytes} bytes received");
        if !fixture.clients.clients[&id].outgoing.is_empty() {
            received_bytes += client.read(&mut chunk).unwrap();
        }
        requests = fixture.handle_ready_sockets(1.0, Duration::from_millis(1));
    }
    assert_eq!(requests.len(), 1);
    assert!(received_bytes > LONG_ANSWER.len() / 2, "accepted after {received_bytes} bytes of the answer");
}

/// A client never reads its answer. The host must not hold the answer and a descriptor indefinitely, so it closes the connection at the
/// write timeout, and not before.
#[test]
fn unread_answer_closes_connection_after_timeout() {
    for (is_last, state) in [(false, ConnectionState::Reading), (true, ConnectionState::Closing)] {
        let mut fixture = Fixture::new(3);
        fixture.clients.is_shutting_down = is_last;
        let (id, client) = fixture.client_with_unread_answer(1.0);
        assert_eq!(fixture.state(id), state);
        assert!(fixture.clients.handle_timeout(at(5.99), &fixture.poller).is_empty());
        assert!(fixture.contains(id), "{state:?}: closed too early");
        assert!(fixture.clients.handle_timeout(at(6.0), &fixture.poller).is_empty(), "no request is open");
        assert!(!fixture.contains(id), "{state:?}: still held");
        let mut received_bytes = Vec::new();
        _ = (&client).read_to_end(&mut received_bytes);
        assert!(received_bytes.len() < LONG_ANSWER.len(), "the whole answer was written");
    }
}

/// Guards against memory beyond the limit while many clients have large requests open, or do not read their answers: the bound on buffers
/// counts both, so that further incomplete requests are rejected.
#[test]
fn open_requests_and_unread_answers_count_towards_the_bound_on_buffers() {
    let mut fixture = Fixture::new(20);
    let bound = fixture.clients.max_buffered_bytes;
    let (open, _open_client) = fixture.client(1.0);
    fixture.clients.request_accepted(at(1.0), open, 7, bound / 2);
    let (unread, _unread_client) = fixture.client_with_unread_answer(1.0);
    let held_bytes = fixture.clients.buffered_bytes;
    assert!(
        held_bytes > bound / 2 + fixture.clients.clients[&unread].outgoing.len() - 1,
        "{held_bytes} bytes"
    );
    let (incomplete, mut client) = fixture.client(1.0);
    client.write_all(&REQUEST[..9]).unwrap();
    fixture.wait_for_input(incomplete);
    assert!(fixture.handle_ready_sockets(1.0, Duration::ZERO).is_empty());
    let mut answer = String::new();
    client.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    // Nothing is counted any more once the request is answered and the other connection has ended.
    fixture.clients.answer(at(1.0), &fixture.poller, open, 200, b"", None);
    fixture.clients.handle_disconnect(unread);
    fixture.clients.handle_disconnect(incomplete);
    assert_eq!(fixture.clients.buffered_bytes, 0);
}

/// Guards against hostile clients that shut out usual ones: while their connections have bytes in the socket or a request open, the only
/// connection that could be closed for the next of them is that of a client which uses it again and again.
#[test]
fn established_connection_is_not_evicted_for_a_new_client() {
    let mut fixture = Fixture::new(3);
    let (established, _client) = fixture.idle_client(1.0);
    fixture.clients.request_accepted(at(1.1), established, 8, 0);
    assert!(fixture.clients.answer(at(1.1), &fixture.poller, established, 200, b"", None).is_none());
    let mut hostile: Vec<(u32, TcpStream)> = (0..2).map(|_| fixture.client(1.2)).collect();
    for (id, stream) in &mut hostile {
        stream.write_all(b"GET ").unwrap();
        fixture.wait_for_input(*id);
    }
    let (_, mut rejected) = fixture.client(1.3);
    let mut answer = String::new();
    rejected.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(fixture.contains(established), "the established connection was closed");
    // Once it is idle for long, it makes room as before, after the half-closed one.
    let _clients: Vec<_> = (0..2).map(|_| fixture.client(3.2)).collect();
    assert!(!fixture.contains(established));
}

/// Guards against a request that is read as if it were behind another: an attempt of an earlier request was withdrawn and is due, and the
/// client sends its next request. Bytes behind an open request may be discarded.
#[test]
fn next_request_is_not_read_as_input_behind_an_earlier_one() {
    let mut fixture = Fixture::new(3);
    let (id, mut client) = fixture.idle_client(1.0);
    client.write_all(&REQUEST[..9]).unwrap();
    fixture.wait_for_input(id);
    assert_eq!(fixture.clients.drain_before_attempt(id), InputEnd::Drained);
    assert!(!sockets::has_no_input(&fixture.clients.clients[&id].stream), "the bytes were read");
}
