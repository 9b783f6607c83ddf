//! Level-triggered readiness of sockets. Unread bytes are reported again in the next iteration, so the work of one iteration can be
//! bounded.

use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// The owner of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Token {
    /// A connection to the endpoint list. It is handled first in an iteration: the host counts as notified of a change once the change
    /// is written to its socket.
    List(u32),
    Signal(u32),
    NodeConnection(u32),
    ClientConnection(u32),
    Listener,
    Peers,
}

impl Token {
    fn to_event_data(self) -> EventData {
        let (kind, number) = match self {
            Token::List(number) => (0, number),
            Token::Signal(number) => (1, number),
            Token::NodeConnection(number) => (2, number),
            Token::ClientConnection(number) => (3, number),
            Token::Listener => (4, 0),
            Token::Peers => (5, 0),
        };
        EventData::new_u64(kind << 32 | u64::from(number))
    }

    /// Returns the priority of a ready socket within an iteration; the lowest is handled first.
    fn priority(self) -> u8 {
        match self {
            Token::List(_) => 0,
            Token::Signal(_) => 1,
            Token::NodeConnection(_) => 3,
            Token::ClientConnection(_) => 4,
            Token::Listener => 5,
            Token::Peers => 6,
        }
    }

    /// Returns the priority of a socket whose connection has ended. Closed clients come before connections to nodes: an attempt that
    /// began in this iteration for a disconnected client would make a node do work that nobody waits for.
    fn priority_when_ended(self) -> u8 {
        match self {
            Token::ClientConnection(_) => 2,
            other => other.priority(),
        }
    }

    fn from_event_data(data: u64) -> Self {
        let number = data as u32;
        match data >> 32 {
            0 => Token::List(number),
            1 => Token::Signal(number),
            2 => Token::NodeConnection(number),
            3 => Token::ClientConnection(number),
            5 => Token::Peers,
            _ => Token::Listener,
        }
    }
}

/// The readiness of one socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// The owner of the socket.
    pub token: Token,
    /// Whether bytes, or the end of the stream, can be read.
    pub read: bool,
    /// Whether bytes can be written.
    pub write: bool,
    /// Whether the peer has shut down its sending side, or the connection is broken.
    pub ended: bool,
}

/// The events of a socket that the poller waits for. The end of a connection is always reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interest {
    pub read: bool,
    pub write: bool,
}

/// Waits for bytes to read.
pub(crate) const READ: Interest = Interest { read: true, write: false };
/// Waits for space in the send buffer.
pub(crate) const WRITE: Interest = Interest { read: false, write: true };
/// Waits for either.
pub(crate) const BOTH: Interest = Interest { read: true, write: true };

impl Interest {
    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, self.read);
        flags.set(EventFlags::OUT, self.write);
        flags
    }
}

/// Maximum number of events in one iteration.
const MAX_EVENTS_PER_ITERATION: usize = 256;

/// An epoll instance.
pub(crate) struct Poller {
    epoll: OwnedFd,
    events: Vec<Event>,
}

impl Poller {
    /// Creates an epoll instance.
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Poller {
            epoll: epoll::create(CreateFlags::CLOEXEC)?,
            events: Vec::with_capacity(MAX_EVENTS_PER_ITERATION),
        })
    }

    /// Registers a socket.
    pub(crate) fn add(&self, fd: impl AsFd, token: Token, interest: Interest) -> std::io::Result<()> {
        Ok(epoll::add(&self.epoll, fd, token.to_event_data(), interest.flags())?)
    }

    /// Changes the events that are waited for. Closing a socket deregisters it.
    pub(crate) fn change(&self, fd: impl AsFd, token: Token, interest: Interest) {
        _ = epoll::modify(&self.epoll, fd, token.to_event_data(), interest.flags());
    }

    /// Waits for at most `timeout` and fills `ready` with the sockets that are ready, in the order in which they are handled.
    pub(crate) fn wait(&mut self, timeout: Duration, ready: &mut Vec<Ready>) {
        self.events.clear();
        let timeout = rustix::event::Timespec {
            tv_sec: timeout.as_secs() as i64,
            tv_nsec: timeout.subsec_nanos().into(),
        };
        // A signal may interrupt the wait; its pipe is then ready in the next iteration.
        _ = epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), Some(&timeout));
        ready.clear();
        ready.extend(self.events.iter().map(|event| {
            let flags = event.flags;
            let has = |wanted| flags.intersects(wanted);
            Ready {
                token: Token::from_event_data({ event.data }.u64()),
                read: has(EventFlags::IN),
                write: has(EventFlags::OUT),
                ended: has(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR),
            }
        }));
        ready.sort_by_key(|socket| {
            let priority =
                if socket.ended { socket.token.priority_when_ended() } else { socket.token.priority() };
            (priority, socket.token)
        });
    }
}
