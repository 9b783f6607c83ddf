//! Events that a test of the whole library can't force: how many wait when an iteration begins.

use super::*;
use crate::options::Protocol;
use std::net::TcpListener;

/// An event loop that has not begun to run, the queue of its events, and the gateway that it connects to.
struct Fixture {
    event_loop: EventLoop,
    incoming: Receiver<Event>,
    _gateway: TcpListener,
}

impl Fixture {
    fn new() -> Fixture {
        let gateway = TcpListener::bind("127.0.0.1:0").unwrap();
        let options =
            Options { sessions: 1, ..Options::new(Protocol::Nbd, gateway.local_addr().unwrap(), "v", 0) };
        let (events, incoming) = crossbeam_channel::bounded(MAX_QUEUED_EVENTS);
        let (openings_to, _) = crossbeam_channel::bounded(MAX_QUEUED_OPENINGS);
        let event_loop = EventLoop::new(Clock::start(), options, events, openings_to);
        Fixture { event_loop, incoming, _gateway: gateway }
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
