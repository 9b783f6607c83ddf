//! Readiness of sockets, by level: what is left unread is reported again in the next iteration, so work per turn can be bounded.

use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// Who a socket belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Token {
    /// The node list comes first in an iteration: a change in it counts as notified from when it was written to this host.
    List(u32),
    Signal(u32),
    Link(u32),
    ClientConnection(u32),
    Listener,
    Peers,
}

impl Token {
    fn data(self) -> EventData {
        let (kind, n) = match self {
            Token::List(n) => (0, n),
            Token::Signal(n) => (1, n),
            Token::Link(n) => (2, n),
            Token::ClientConnection(n) => (3, n),
            Token::Listener => (4, 0),
            Token::Peers => (5, 0),
        };
        EventData::new_u64(kind << 32 | u64::from(n))
    }

    /// Its place in an iteration.
    fn kind(self) -> u8 {
        match self {
            Token::List(_) => 0,
            Token::Signal(_) => 1,
            Token::Link(_) => 3,
            Token::ClientConnection(_) => 4,
            Token::Listener => 5,
            Token::Peers => 6,
        }
    }

    /// The place of one that has ended.
    fn early(self) -> u8 {
        match self {
            Token::ClientConnection(_) => 2,
            other => other.kind(),
        }
    }

    fn of(data: u64) -> Self {
        let n = data as u32;
        match data >> 32 {
            0 => Token::List(n),
            1 => Token::Signal(n),
            2 => Token::Link(n),
            3 => Token::ClientConnection(n),
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
    /// There is something to read, or the end of the stream.
    pub read: bool,
    /// Something can be written.
    pub write: bool,
    /// The other side has ended its sending, or the connection is broken.
    pub ended: bool,
}

/// What is waited for. The end of a connection is always reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    pub read: bool,
    pub write: bool,
}

/// Wait for bytes to read.
pub const READ: Interest = Interest { read: true, write: false };
/// Wait for capacity to write.
pub const WRITE: Interest = Interest { read: false, write: true };
/// Wait for either.
pub const BOTH: Interest = Interest { read: true, write: true };

impl Interest {
    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, self.read);
        flags.set(EventFlags::OUT, self.write);
        flags
    }
}

/// Events taken in one iteration, at most.
const TURN: usize = 256;

/// An epoll instance.
pub struct Poller {
    epoll: OwnedFd,
    events: Vec<Event>,
}

impl Poller {
    /// Makes an epoll instance.
    pub fn new() -> std::io::Result<Self> {
        Ok(Poller { epoll: epoll::create(CreateFlags::CLOEXEC)?, events: Vec::with_capacity(TURN) })
    }

    /// Registers a socket.
    pub fn add(&self, fd: impl AsFd, token: Token, i: Interest) -> std::io::Result<()> {
        Ok(epoll::add(&self.epoll, fd, token.data(), i.flags())?)
    }

    /// A socket leaves by being closed.
    pub fn change(&self, fd: impl AsFd, token: Token, i: Interest) {
        _ = epoll::modify(&self.epoll, fd, token.data(), i.flags());
    }

    /// What is ready within the time, the list first.
    pub fn wait(&mut self, most: Duration, ready: &mut Vec<Ready>) {
        self.events.clear();
        let most =
            rustix::event::Timespec { tv_sec: most.as_secs() as i64, tv_nsec: most.subsec_nanos().into() };
        // Cut short by a signal: its pipe is ready in the next iteration.
        _ = epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), Some(&most));
        ready.clear();
        ready.extend(self.events.iter().map(|e| {
            let flags = e.flags;
            let has = |f| flags.intersects(f);
            Ready {
                token: Token::of({ e.data }.u64()),
                read: has(EventFlags::IN),
                write: has(EventFlags::OUT),
                ended: has(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR),
            }
        }));
        // Then the ends of clients: nothing may begin in this iteration for one that has gone.
        ready.sort_by_key(|r| (if r.ended { r.token.early() } else { r.token.kind() }, r.token));
    }
}
