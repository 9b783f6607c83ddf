//! Events that a test of the whole library can't force: how many wait when an iteration begins, and threads that can't be started.

use super::*;
use crate::connection::WRITER_THREAD;
use crate::options::Protocol;
use std::io::Read;
use std::net::TcpListener;

/// How long a test waits for what must happen soon.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// An event loop that has not begun to run, the queue of its events, and the gateway that it connects to.
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

    /// Connects the only slot; gives the gateway's side, and the event that reports the connection.
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

    /// When the slot is connected next.
    fn next_connect(&self) -> Option<Instant> {
        self.event_loop.core.poll_timeout(self.event_loop.clock.now())
    }

    /// Handles events until none is queued or the event loop ends; whether it has ended.
    fn handle_queued_events(&mut self) -> bool {
        while let Ok(first) = self.incoming.try_recv() {
            if self.event_loop.handle_events(first, &self.incoming).is_break() {
                return true;
            }
        }
        false
    }
}

/// A caller closes its volume while other events wait in front of the close, as many as an iteration handles, or fewer or more. The
/// event loop must end in each case: one that passes over the close would keep its sessions and its thread for good.
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

/// A system that has a thread left for the reader of a connection and none for its writer.
fn spawn_all_but_writers(name: &str, run: Box<dyn FnOnce() + Send>) -> io::Result<()> {
    match name {
        WRITER_THREAD => Err(io::ErrorKind::WouldBlock.into()),
        _ => spawn(name, run),
    }
}

/// A connection is made and its writer can't be started, while its reader runs. The reader reports the end of the connection as any
/// reader does. The failure is counted already: counted twice, it would double the backoff of the slot.
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

/// A connection is made and its writer can't be started. Its reader holds the socket: unless that is closed, the gateway keeps a
/// session that nobody uses until its login times out.
#[test]
fn connection_without_a_writer_is_closed_at_once() {
    let mut fixture = Fixture::new();
    fixture.event_loop.spawn = spawn_all_but_writers;
    let (mut gateway, connected) = fixture.connect();
    fixture.event_loop.handle_event(connected);
    assert_eq!(gateway.read(&mut [0; 1]).expect("an end in time"), 0);
}

/// Connections are made and the system has no thread left for them. The next connect must wait as long as one that no thread was left
/// for: sooner, it would ask the gateway for one more session that can't be used.
#[test]
fn connection_without_a_writer_is_made_again_after_the_pause_for_threads() {
    let mut fixture = Fixture::new();
    fixture.event_loop.spawn = spawn_all_but_writers;
    let (_gateway, connected) = fixture.connect();
    let failed_at = fixture.event_loop.clock.now();
    fixture.event_loop.handle_event(connected);
    assert!(fixture.next_connect().is_some_and(|at| at > failed_at + NO_THREAD_BACKOFF));
}
