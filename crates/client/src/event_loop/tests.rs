//! Tests of conditions that a test of the whole library can't force: the number of queued events when an iteration begins,
//! and threads that can't be started.

use super::*;
use crate::connection::WRITER_THREAD;
use crate::options::Protocol;
use std::io::Read;
use std::net::TcpListener;

/// Longest wait for an expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// An event loop whose thread is not started, its event queue, and the gateway to which it connects.
struct Fixture {
    event_loop: EventLoop,
    incoming: Receiver<Event>,
    gateway: TcpListener,
}

impl Fixture {
    fn new() -> Fixture {
        let gateway = TcpListener::bind("127.0.0.1:0").unwrap();
        let options =
            Options { sessions: 1, ..Options::new(Protocol::Nbd, gateway.local_addr().unwrap(), "v", 0) };
        let (events, incoming) = crossbeam_channel::bounded(MAX_QUEUED_EVENTS);
        let (openings_to, _) = crossbeam_channel::bounded(MAX_QUEUED_OPENINGS);
        let event_loop = EventLoop::new(Clock::start(), options, events, openings_to);
        Fixture { event_loop, incoming, gateway }
    }

    /// Connects the only slot. Returns the gateway's side of the connection and the event that reports it.
    fn connect(&mut self) -> (TcpStream, Event) {
        self.event_loop.core.handle_timeout(self.event_loop.clock.now());
        self.event_loop.execute_outputs();
        let (stream, _) = self.gateway.accept().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        (stream, self.next_event())
    }

    fn next_event(&self) -> Event {
        self.incoming.recv_timeout(TEST_TIMEOUT).expect("an event in time")
    }

    /// Returns the time of the slot's next connect.
    fn next_connect(&self) -> Option<Instant> {
        self.event_loop.core.poll_timeout(self.event_loop.clock.now())
    }

    /// Handles events until none is queued or the event loop ends. Returns whether it has ended.
    fn handle_queued_events(&mut self) -> bool {
        while let Ok(first) = self.incoming.try_recv() {
            if self.event_loop.handle_events(first, &self.incoming).is_break() {
                return true;
            }
        }
        false
    }
}

/// A caller closes its volume while other events are queued before the close event: fewer, as many, or more than one iteration
/// handles. The event loop must end in each case. If it missed the close event, its sessions and its thread would never end.
#[test]
fn close_ends_the_event_loop_behind_any_number_of_events() {
    for events_before in 0..=2 * MAX_EVENTS_PER_ITERATION {
        let mut fixture = Fixture::new();
        for number in 0..events_before as u64 {
            fixture.event_loop.events.send(Event::Cancel { number }).unwrap();
        }
        fixture.event_loop.events.send(Event::Close).unwrap();
        assert!(fixture.handle_queued_events(), "the close behind {events_before} events is ignored");
    }
}

/// Starts every thread except the writer of a connection, as a system that runs out of threads in between.
fn spawn_all_but_writers(name: &str, run: Box<dyn FnOnce() + Send>) -> io::Result<()> {
    match name {
        WRITER_THREAD => Err(io::ErrorKind::WouldBlock.into()),
        _ => spawn(name, run),
    }
}

/// The writer of an established connection can't be started, while its reader runs and later reports the end of the connection. The
/// failure must be counted only once: counted twice, it would double the backoff of the slot.
#[test]
fn connection_without_a_writer_counts_as_one_failure() {
    let mut fixture = Fixture::new();
    fixture.event_loop.spawn = spawn_all_but_writers;
    let (gateway, connected) = fixture.connect();
    fixture.event_loop.handle_event(connected);
    let next_connect = fixture.next_connect();
    drop(gateway);
    let ended = fixture.next_event();
    assert!(matches!(ended, Event::Closed { .. }), "the reader reports the end");
    fixture.event_loop.handle_event(ended);
    assert_eq!(fixture.next_connect(), next_connect, "the end of the reader postponed the next connect");
}

/// The writer of an established connection can't be started, while its reader holds the socket. The socket must be closed, since the
/// gateway would otherwise keep an unused session until its login times out.
#[test]
fn connection_without_a_writer_is_closed_at_once() {
    let mut fixture = Fixture::new();
    fixture.event_loop.spawn = spawn_all_but_writers;
    let (mut gateway, connected) = fixture.connect();
    fixture.event_loop.handle_event(connected);
    assert_eq!(gateway.read(&mut [0; 1]).expect("an end in time"), 0);
}

/// The writer of an established connection can't be started. The next connect must be delayed by `NO_THREAD_BACKOFF`, as after a
/// connect without a thread. An earlier one would open another session at the gateway that can't be used.
#[test]
fn connection_without_a_writer_reconnects_after_the_no_thread_backoff() {
    let mut fixture = Fixture::new();
    fixture.event_loop.spawn = spawn_all_but_writers;
    let (_gateway, connected) = fixture.connect();
    let failed_at = fixture.event_loop.clock.now();
    fixture.event_loop.handle_event(connected);
    assert!(fixture.next_connect().is_some_and(|at| at > failed_at + NO_THREAD_BACKOFF));
}
