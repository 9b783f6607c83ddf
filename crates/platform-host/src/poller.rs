//! Readiness of sockets, level-triggered: unread bytes are reported again in the next iteration, so the work of an iteration can be
//! bounded.

use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// Who a socket belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Token {
    /// The endpoint list comes first in an iteration: a change in it counts as notified from when it was written to this host.
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

    /// Its place in an iteration, the lowest first.
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

    /// The place of a socket that has ended. Ends of clients come before connections to nodes: nothing may begin in this iteration for a
    /// client that has gone, or a node would do work that nobody waits for.
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

/// Readiness of one socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// Whose socket it is.
    pub token: Token,
    /// Bytes can be read, or the end of the stream.
    pub read: bool,
    /// Bytes can be written.
    pub write: bool,
    /// The other side has ended its sending, or the connection is broken.
    pub ended: bool,
}

/// Which events of a socket the poller waits for. The end of a connection is always reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interest {
    pub read: bool,
    pub write: bool,
}

/// Wait for bytes to read.
pub(crate) const READ: Interest = Interest { read: true, write: false };
/// Wait for capacity to write.
pub(crate) const WRITE: Interest = Interest { read: false, write: true };
/// Wait for either.
pub(crate) const BOTH: Interest = Interest { read: true, write: true };

impl Interest {
    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, self.read);
        flags.set(EventFlags::OUT, self.write);
        flags
    }
}

/// The most events of one iteration.
const MAX_EVENTS_PER_ITERATION: usize = 256;

/// An epoll instance.
pub(crate) struct Poller {
    epoll: OwnedFd,
    events: Vec<Event>,
}

impl Poller {
    /// Makes an epoll instance.
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

    /// Changes which events are waited for. A socket is deregistered by being closed.
    pub(crate) fn change(&self, fd: impl AsFd, token: Token, interest: Interest) {
        _ = epoll::modify(&self.epoll, fd, token.to_event_data(), interest.flags());
    }

    /// Waits for at most `timeout`. Gives the sockets that are ready, in the order in which they are handled.
    pub(crate) fn wait(&mut self, timeout: Duration, ready: &mut Vec<Ready>) {
        self.events.clear();
        let timeout = rustix::event::Timespec {
            tv_sec: timeout.as_secs() as i64,
            tv_nsec: timeout.subsec_nanos().into(),
        };
        // A signal may cut the wait short: its pipe is ready in the next iteration.
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
