//! The thread that owns the client's state machine. It passes the events of callers and connections to the state machine and carries
//! out its outputs.

use crate::clock::Clock;
use crate::connection::{connect, Connection};
use crate::event::{ConnectionId, Event, Opening};
use crate::options::Options;
use crate::thread::{spawn, Spawn};
use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::ControlFlow;
use std::time::Duration;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_client_core::{Core, Outcome, Output};

/// Capacity of the event queue.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Capacity of the queue of results for the caller that opens the volume.
const MAX_QUEUED_OPENINGS: usize = 4;
/// Largest number of events that are handled before the timers run again.
const MAX_EVENTS_PER_ITERATION: usize = 256;
/// Longest wait for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Shortest wait for an event, so that timers that are due at once don't make the thread spin.
const MIN_WAIT: Duration = Duration::from_micros(100);
/// Additional delay before a slot reconnects if a thread for its connect or its connection could not be started.
const NO_THREAD_BACKOFF: TimeDelta = TimeDelta::from_millis(100);

/// The client's ends of the event loop's channels.
pub(crate) struct EventLoopHandle {
    pub(crate) events: Sender<Event>,
    pub(crate) openings: Receiver<Opening>,
}

/// Starts the event loop of a client on a new thread.
pub(crate) fn start(clock: Clock, options: Options) -> io::Result<EventLoopHandle> {
    let (events, incoming) = crossbeam_channel::bounded(MAX_QUEUED_EVENTS);
    let (openings_to, openings) = crossbeam_channel::bounded(MAX_QUEUED_OPENINGS);
    let mut event_loop = EventLoop::new(clock, options, events.clone(), openings_to);
    spawn("client core", move || event_loop.run(&incoming))?;
    Ok(EventLoopHandle { events, openings })
}

struct EventLoop {
    core: Core,
    clock: Clock,
    address: SocketAddr,
    events: Sender<Event>,
    openings_to: Sender<Opening>,
    /// Senders for the answers to open calls, by the number of the call.
    callers: HashMap<u64, Sender<Outcome>>,
    /// Open connections by slot.
    connections: HashMap<usize, Connection>,
    last_generation: u64,
    /// Generation of each slot's current connection. A late event of an earlier connection could otherwise close its successor; it is
    /// recognized by its generation and ignored.
    generations: HashMap<usize, u64>,
    /// Function that starts the threads of connections. Tests replace it.
    spawn: Spawn,
}

impl EventLoop {
    fn new(clock: Clock, options: Options, events: Sender<Event>, openings_to: Sender<Opening>) -> EventLoop {
        let (address, bounds) = (options.address, options.bounds());
        let (retry_policy, seed) = (options.retry_policy, options.seed);
        let new_session = Box::new(move || options.new_session());
        EventLoop {
            core: Core::new(clock.now(), bounds, retry_policy, seed, new_session),
            clock,
            address,
            events,
            openings_to,
            callers: HashMap::new(),
            connections: HashMap::new(),
            last_generation: 0,
            generations: HashMap::new(),
            spawn: |name, run| spawn(name, run),
        }
    }

    fn run(&mut self, incoming: &Receiver<Event>) {
        loop {
            let now = self.clock.now();
            self.core.handle_timeout(now);
            self.execute_outputs();
            match incoming.recv_timeout(self.wait(now)) {
                Ok(first) => {
                    if self.handle_events(first, incoming).is_break() {
                        return;
                    }
                }
                Err(error) if error.is_timeout() => {}
                Err(_) => return,
            }
        }
    }

    /// Returns how long to wait for an event before the timers run again.
    fn wait(&self, now: Instant) -> Duration {
        self.core.poll_timeout(now).map_or(MAX_WAIT, |at| {
            Duration::from_secs_f64((at - now).secs().max(0.0)).clamp(MIN_WAIT, MAX_WAIT)
        })
    }

    /// Handles an event and those queued behind it, up to `MAX_EVENTS_PER_ITERATION`. Breaks if the client is closed.
    fn handle_events(&mut self, first: Event, incoming: &Receiver<Event>) -> ControlFlow<()> {
        let events = std::iter::once(first).chain(incoming.try_iter());
        for event in events.take(MAX_EVENTS_PER_ITERATION) {
            if matches!(event, Event::Close) {
                self.close();
                return ControlFlow::Break(());
            }
            self.handle_event(event);
        }
        ControlFlow::Continue(())
    }

    /// Answers all open calls and closes the sessions. Queued writes are still sent.
    fn close(&mut self) {
        self.core.close();
        self.execute_outputs();
        self.connections.values().for_each(Connection::stop_reading);
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Call { number, op, deadline, answer_to } => {
                self.callers.insert(number, answer_to);
                self.core.submit(now, number, op, deadline);
            }
            Event::Cancel { number } => {
                self.callers.remove(&number);
                self.core.cancel(number);
            }
            Event::Connected { id, stream } if self.is_current(id) => self.on_connected(now, id, stream),
            Event::Received { id, bytes } if self.is_current(id) => {
                self.core.handle_bytes(now, id.slot, &bytes);
            }
            Event::Closed { id } if self.is_current(id) => {
                self.generations.remove(&id.slot);
                self.connections.remove(&id.slot);
                self.core.handle_closed(now, id.slot);
            }
            Event::Connected { .. } | Event::Received { .. } | Event::Closed { .. } | Event::Close => {}
        }
    }

    fn is_current(&self, id: ConnectionId) -> bool {
        self.generations.get(&id.slot) == Some(&id.generation)
    }

    fn on_connected(&mut self, now: Instant, id: ConnectionId, stream: TcpStream) {
        match Connection::start(id, stream, self.events.clone(), self.spawn) {
            Ok(connection) => {
                self.connections.insert(id.slot, connection);
                self.core.handle_connected(id.slot);
            }
            Err(_) => {
                // The reader thread may run already and report the end as well, which would count the failure twice.
                self.generations.remove(&id.slot);
                self.core.handle_closed(now + NO_THREAD_BACKOFF, id.slot);
            }
        }
    }

    fn execute_outputs(&mut self) {
        while let Some(output) = self.core.poll_output() {
            match output {
                Output::Answer { call, outcome } => {
                    if let Some(answer_to) = self.callers.remove(&call) {
                        _ = answer_to.try_send(outcome);
                    }
                }
                Output::Write { slot, bytes } => self.write(slot, bytes),
                Output::Close { slot } => self.close_connection(slot),
                Output::Connect { slot } => self.connect(slot),
                Output::Ready(volume) => _ = self.openings_to.try_send(Opening::Ready(volume)),
                Output::Refused { reason } => {
                    _ = self.openings_to.try_send(Opening::Refused { reason });
                }
            }
        }
    }

    fn write(&mut self, slot: usize, bytes: Bytes) {
        let is_queued = self.connections.get(&slot).is_some_and(|connection| connection.try_write(bytes));
        if !is_queued {
            // The gateway has stopped reading, or the writer has ended. The calls in flight are lost with the connection.
            self.close_connection(slot);
            self.core.handle_closed(self.clock.now(), slot);
        }
    }

    fn connect(&mut self, slot: usize) {
        self.last_generation += 1;
        let id = ConnectionId { slot, generation: self.last_generation };
        self.generations.insert(slot, id.generation);
        if connect(id, self.address, self.events.clone()).is_err() {
            self.core.handle_closed(self.clock.now() + NO_THREAD_BACKOFF, slot);
        }
    }

    fn close_connection(&mut self, slot: usize) {
        self.generations.remove(&slot);
        if let Some(connection) = self.connections.remove(&slot) {
            connection.close();
        }
    }
}

#[cfg(test)]
mod tests;
