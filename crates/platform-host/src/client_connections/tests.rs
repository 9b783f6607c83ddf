//! Crossings that a whole host can't be brought to: bytes that come after an iteration began and before it gets to them.

use super::*;
use crate::client_connection::{LINGER_TIMEOUT, MAX_LINGER_BYTES, MAX_PIPELINED_BYTES};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant as Wall};

const GET: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct Rig {
    listener: TcpListener,
    poller: Poller,
    clients: ClientConnections,
}

fn at(s: f64) -> Instant {
    Instant::from_secs(s)
}

impl Rig {
    /// Capacity for so many connections, and for one more that is told that there is none.
    fn new(most: usize) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let clients = ClientConnections {
            max_connections: most,
            rejection_slots: 1,
            ..ClientConnections::new(most, 1 << 20, TimeDelta::from_secs(0.5))
        };
        Rig { listener, poller: Poller::new().unwrap(), clients }
    }

    fn client(&mut self, now: f64) -> (u32, TcpStream) {
        let mine = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        mine.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let (theirs, _) = self.listener.accept().unwrap();
        self.clients.accepted(at(now), &self.poller, theirs);
        (self.clients.last_id, mine)
    }

    /// One that has had a request and is idle.
    fn idle_client(&mut self, now: f64) -> (u32, TcpStream) {
        let (id, mine) = self.client(now);
        self.clients.request_accepted(at(now), id, id);
        assert!(self.clients.answer(at(now), &self.poller, id, 200, b"", None).is_none());
        (id, mine)
    }

    fn until(&self, id: u32, quiet: bool) {
        let since = Wall::now();
        while sockets::has_no_input(&self.clients.clients[&id].stream) != quiet {
            assert!(since.elapsed() < Duration::from_secs(5));
            std::thread::yield_now();
        }
    }

    fn is_there(&self, id: u32) -> bool {
        self.clients.clients.contains_key(&id)
    }

    fn state(&self, id: u32) -> ConnectionState {
        self.clients.clients[&id].state
    }
}

/// All that comes up to the end of a connection, which must be no reset.
fn to_end(mut stream: &TcpStream) -> String {
    let mut all = Vec::new();
    stream.read_to_end(&mut all).expect("an end in order");
    String::from_utf8_lossy(&all).into_owned()
}

#[test]
fn a_connection_with_a_request_in_its_socket_is_not_evicted() {
    let mut rig = Rig::new(3);
    let (oldest, mut speaks) = rig.idle_client(1.0);
    let (second, _rests) = rig.idle_client(2.0);
    let (third, _too) = rig.idle_client(3.0);
    speaks.write_all(GET).unwrap();
    rig.until(oldest, false);
    let (new, _) = rig.client(9.0);
    assert!(rig.is_there(oldest) && !rig.is_there(second) && rig.is_there(third) && rig.is_there(new));
    assert_eq!((rig.clients.counters.evicted, rig.clients.counters.rejected), (1, 0));
}

#[test]
fn one_beyond_capacity_is_answered_503_and_drained_and_the_next_takes_its_place() {
    let mut rig = Rig::new(1);
    let (busy, _waits) = rig.client(1.0);
    rig.clients.request_accepted(at(1.0), busy, 7);
    let (turned, mut away) = rig.client(2.0);
    assert_eq!(rig.state(turned), ConnectionState::HalfClosed);
    // Its request crosses the answer: read and thrown away, never taken; no reset.
    away.write_all(GET).unwrap();
    rig.until(turned, false);
    let r = Ready { token: Token::ClientConnection(turned), read: true, write: false, ended: false };
    assert!(rig.clients.handle_ready(at(2.1), &rig.poller, turned, r).is_none());
    let text = to_end(&away);
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("Retry-After: 0.500"), "{text}");
    // The one that is owed an answer stays, whoever comes.
    for _ in 0..5 {
        rig.client(3.0);
        assert!(rig.is_there(busy) && rig.clients.len() <= 2);
    }
}

#[test]
fn an_end_is_seen_behind_bytes_that_nobody_read() {
    let mut rig = Rig::new(3);
    let (id, mut mine) = rig.client(1.0);
    rig.clients.request_accepted(at(1.0), id, 7);
    mine.write_all(GET).unwrap();
    rig.until(id, false);
    assert!(!rig.clients.has_disconnected(id));
    drop(mine);
    let since = Wall::now();
    while !rig.clients.has_disconnected(id) {
        assert!(since.elapsed() < Duration::from_secs(5));
    }
    assert!(matches!(rig.clients.disconnected(id), ClientEvent::Gone(Some(7))));
    assert!(rig.clients.has_disconnected(id), "one that is not known has left");
}

#[test]
fn at_the_end_a_connection_with_a_request_in_its_socket_is_read_first() {
    let mut rig = Rig::new(9);
    let (idle, quiet) = rig.idle_client(1.0);
    let (speaks, mut crossing) = rig.idle_client(1.0);
    let (owed, _waits) = rig.client(1.0);
    rig.clients.request_accepted(at(1.0), owed, 7);
    let (young, _new) = rig.client(4.9);
    let (half, mut slow) = rig.idle_client(1.0);
    slow.write_all(&GET[..9]).unwrap();
    rig.until(half, false);
    let read = |id| Ready { token: Token::ClientConnection(id), read: true, write: false, ended: false };
    assert!(rig.clients.handle_ready(at(4.9), &rig.poller, half, read(half)).is_none());
    crossing.write_all(GET).unwrap();
    rig.until(speaks, false);
    rig.clients.begin_shutdown(at(5.0), &rig.poller, ShutdownPhase::Closing);
    assert_eq!((rig.state(idle), rig.state(speaks)), (ConnectionState::HalfClosed, ConnectionState::Reading));
    assert_eq!(
        (rig.state(owed), rig.state(young), rig.state(half)),
        (ConnectionState::AwaitingResponse(7), ConnectionState::Reading, ConnectionState::Reading)
    );
    assert_eq!(to_end(&quiet), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    // Read, it is a request like any, and its answer the last.
    assert!(matches!(
        rig.clients.handle_ready(at(5.0), &rig.poller, speaks, read(speaks)),
        Some(ClientEvent::Request(_))
    ));
    rig.clients.request_accepted(at(5.0), speaks, 8);
    rig.clients.answer(at(5.0), &rig.poller, speaks, 200, b"x", None);
    assert!(to_end(&crossing).ends_with("Content-Length: 1\r\nConnection: close\r\n\r\nx"));
    // And at the very end, all that is left.
    rig.clients.begin_shutdown(at(5.2), &rig.poller, ShutdownPhase::Settled);
    assert_eq!(
        (rig.state(young), rig.state(half)),
        (ConnectionState::HalfClosed, ConnectionState::HalfClosed)
    );
    assert!(to_end(&slow).contains("HTTP/1.1 503"));
    assert_eq!(rig.state(owed), ConnectionState::AwaitingResponse(7), "the core answers it");
}

#[test]
fn what_comes_after_the_last_answer_is_thrown_away_within_a_bound() {
    let mut rig = Rig::new(3);
    let (id, mut mine) = rig.idle_client(1.0);
    rig.clients.begin_shutdown(at(2.0), &rig.poller, ShutdownPhase::Closing);
    let r = Ready { token: Token::ClientConnection(id), read: true, write: false, ended: false };
    let mut sent = 0;
    while rig.is_there(id) {
        mine.write_all(GET).unwrap();
        sent += GET.len();
        assert!(!matches!(
            rig.clients.handle_ready(at(2.1), &rig.poller, id, r),
            Some(ClientEvent::Request(_))
        ));
        assert!(sent < 2 * MAX_LINGER_BYTES, "it has an end");
    }
    assert!(sent > MAX_LINGER_BYTES);
    let (id, _mine) = rig.idle_client(4.0); // its answer is the last
    assert_eq!(rig.state(id), ConnectionState::HalfClosed);
    rig.clients.handle_timeout(at(4.0 + LINGER_TIMEOUT.secs() - 0.01), &rig.poller);
    assert!(rig.is_there(id));
    rig.clients.handle_timeout(at(4.0 + LINGER_TIMEOUT.secs()), &rig.poller);
    assert!(!rig.is_there(id));
}

#[test]
fn what_comes_ahead_of_its_turn_is_read_on_within_a_bound() {
    let mut rig = Rig::new(3);
    let (id, mut mine) = rig.client(1.0);
    rig.clients.request_accepted(at(1.0), id, 7);
    let r = Ready { token: Token::ClientConnection(id), read: true, write: false, ended: false };
    let (mut sent, pipelined_too_much) = (0, |rig: &Rig| rig.clients.counters.pipelined_too_much);
    while pipelined_too_much(&rig) == 0 {
        assert!(rig.clients.clients[&id].interest.read, "{sent} bytes: an end behind them would not be seen");
        mine.write_all(GET).unwrap();
        sent += GET.len();
        rig.until(id, false);
        assert!(rig.clients.handle_ready(at(1.0), &rig.poller, id, r).is_none());
    }
    assert!(sent > MAX_PIPELINED_BYTES && sent < MAX_PIPELINED_BYTES + 2 * GET.len(), "{sent}");
    let c = &rig.clients.clients[&id];
    assert!(c.closes && !c.interest.read && c.state == ConnectionState::AwaitingResponse(7));
}
