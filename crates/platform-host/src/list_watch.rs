//! The watch of the endpoint list: a sequence of long polls. The scheduler decides when to retry after a failure.
//! docs/crossings.md has a table of each poll state against each event.
//!
//! The platform assumes that the host knows a change as soon as the list has written the change in an answer, and at the latest 6 s
//! after the list had the change and was reachable, even if polls failed before. The timeouts here and the scheduler's backoff
//! together must stay below these 6 s. The worst case is this sequence: a poll that is never answered (found out after its wait plus
//! `ANSWER_TIMEOUT`); a backoff; a poll that does not connect; another backoff; and a poll that is answered (docs/design.md has the
//! sum).

use crate::poller::{Poller, Ready, Token, BOTH, READ};
use crate::sockets::{self, ReadOutcome};
use bytes::BytesMut;
use std::net::{SocketAddr, TcpStream};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_http::{Limits, MessageError, Response, ResponseReader};
use tackmast_platform::{List, Settings};

/// Time for which the list may hold a poll until there is a change, in milliseconds. A poll that will never be answered is noticed only
/// after this time (and `ANSWER_TIMEOUT`), so the time is short: 2 s after it the platform assumes that the host knows the change in a
/// lost answer. The time is no shorter because each poll costs the list work.
const LONG_POLL_MS: u64 = 2_500;
/// Like `LONG_POLL_MS`, for the poll after a failed one. It may be shorter, as the list already has the missed changes, and must be, so
/// that a second failure is noticed soon.
const LONG_POLL_AFTER_FAILURE_MS: u64 = 300;
/// Time that an answer may take beyond the long poll's wait.
const ANSWER_TIMEOUT: TimeDelta = TimeDelta::from_millis(1200);
/// `ANSWER_TIMEOUT` after a failure: an overloaded list answers late, and a poll that is given up is queued again behind the others.
const ANSWER_TIMEOUT_AFTER_FAILURE: TimeDelta = TimeDelta::from_millis(2000);
/// Time that a connection to the list has to be established.
const CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(700);
/// Maximum size of an answer of the list in bytes: the complete list as indented JSON, with 3,200 nodes and the successor of each.
const MAX_LIST_BYTES: usize = 2 * 1024 * 1024;
/// Number of reads that suffice for the largest answer and its head.
const MAX_LIST_READS: usize = MAX_LIST_BYTES / sockets::READ_CHUNK_BYTES + 2;

/// The result of a poll.
#[derive(Debug)]
pub(crate) enum WatchEvent {
    /// The poll was answered.
    List {
        /// The version after which changes were requested; 0 if the complete list was requested.
        after: u64,
        /// The answer.
        list: List,
    },
    /// The poll failed, for this reason.
    Failed(String),
}

/// A poll without an answer yet.
struct Poll {
    connection_number: u32,
    stream: TcpStream,
    /// The part of the request that is still to be written; empty once the request is written.
    outgoing: BytesMut,
    answer: ResponseReader,
    /// The version after which changes are requested; `None` for the complete list.
    after: Option<u64>,
    /// Time that the answer may take once the request is written.
    answer_timeout: TimeDelta,
    /// When the poll fails: until the request is written, the end of the time for writing it; afterwards, the end of the time for the
    /// answer.
    deadline: Instant,
}

/// The watch of the endpoint list, with at most one open poll.
pub(crate) struct Watch {
    address: SocketAddr,
    open_poll: Option<Poll>,
    /// A connection whose poll was answered, kept for the next poll.
    idle_connection: Option<(u32, TcpStream)>,
    last_connection_number: u32,
    /// Whether a poll has failed or opened a new connection since the last answer or the last change of the address.
    has_failed: bool,
}

impl Watch {
    /// Creates a watch of the list at `address` without polling it.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Watch {
            address,
            open_poll: None,
            idle_connection: None,
            last_connection_number: 0,
            has_failed: false,
        }
    }

    /// Returns whether a poll is open.
    pub(crate) fn is_polling(&self) -> bool {
        self.open_poll.is_some()
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a poll for the changes after a version, or for the complete list if `after` is `None`.
    pub(crate) fn poll(
        &mut self,
        now: Instant,
        poller: &Poller,
        after: Option<u64>,
    ) -> Result<(), WatchEvent> {
        let (wait_ms, answer_timeout) = if self.has_failed {
            (LONG_POLL_AFTER_FAILURE_MS, ANSWER_TIMEOUT_AFTER_FAILURE)
        } else {
            (LONG_POLL_MS, ANSWER_TIMEOUT)
        };
        let is_usable = |(_, stream): &(u32, TcpStream)| sockets::has_no_input(stream);
        let (connection_number, stream) = match self.idle_connection.take().filter(is_usable) {
            Some(idle_connection) => idle_connection,
            None => {
                let connect_failed = |error| WatchEvent::Failed(format!("connect: {error}"));
                self.connect(poller).map_err(connect_failed)?
            }
        };
        let target = List::target(after.map(|version| (version, wait_ms)));
        let text = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        // The list answers a poll for the complete list at once.
        let wait = if after.is_some() { TimeDelta::from_millis(wait_ms as i64) } else { TimeDelta::ZERO };
        let poll = Poll {
            connection_number,
            stream,
            outgoing: BytesMut::from(text.as_bytes()),
            answer: ResponseReader::new(Limits { max_body_len: MAX_LIST_BYTES, ..Limits::default() }),
            after,
            answer_timeout: wait + answer_timeout,
            deadline: now + CONNECT_TIMEOUT,
        };
        // A connection that is not established yet accepts no bytes: the write fails or writes nothing, and is repeated once the socket
        // is ready.
        _ = self.open_poll.insert(poll).write(now, poller);
        Ok(())
    }

    /// Starts a new connection to the list, and returns it with its number.
    fn connect(&mut self, poller: &Poller) -> std::io::Result<(u32, TcpStream)> {
        self.last_connection_number = self.last_connection_number.wrapping_add(1);
        // `has_failed` stays set until a poll is answered, so a connection that can't be established counts as a failed poll.
        self.has_failed = true;
        let stream = sockets::connect(self.address)?;
        poller.add(&stream, Token::List(self.last_connection_number), BOTH)?;
        Ok((self.last_connection_number, stream))
    }

    /// Handles a ready socket of the watch. Returns the result of the poll once it is known.
    pub(crate) fn handle_ready(
        &mut self,
        now: Instant,
        poller: &Poller,
        connection_number: u32,
        ready: Ready,
        settings: &Settings,
    ) -> Option<WatchEvent> {
        let Some(poll) = self.open_poll.as_mut().filter(|poll| poll.connection_number == connection_number)
        else {
            // An idle connection received bytes, such as a duplicate answer, or was closed. The next poll would parse the bytes as its
            // own answer, so the connection is closed.
            self.idle_connection = self.idle_connection.take().filter(|(idle, _)| *idle != connection_number);
            return None;
        };
        if !poll.outgoing.is_empty() {
            if !ready.write && !ready.ended {
                return None;
            }
            if poll.write(now, poller).is_err() {
                return self.fail_poll("no connection");
            }
            if !poll.outgoing.is_empty() {
                return None;
            }
        }
        if ready.read || ready.ended {
            return self.read(1, settings);
        }
        None
    }

    /// Reads at most `max_chunks` chunks of the answer. Returns the result of the poll if it is known then.
    fn read(&mut self, max_chunks: usize, settings: &Settings) -> Option<WatchEvent> {
        let mut chunk = [0; sockets::READ_CHUNK_BYTES];
        for _ in 0..max_chunks {
            let poll = self.open_poll.as_mut()?;
            let received = match sockets::read(&poll.stream, &mut chunk) {
                ReadOutcome::Nothing => return None,
                ReadOutcome::End if poll.answer.ends_with_connection() => poll.answer.handle_close(),
                ReadOutcome::End | ReadOutcome::Failed => return self.fail_poll("the connection ended"),
                ReadOutcome::Bytes(len) => {
                    poll.answer.push(&chunk[..len]);
                    poll.answer.next_response()
                }
            };
            if !matches!(received, Ok(None)) {
                return self.handle_response(received, settings);
            }
        }
        None
    }

    fn handle_response(
        &mut self,
        received: Result<Option<Response>, MessageError>,
        settings: &Settings,
    ) -> Option<WatchEvent> {
        let answer = match received {
            Ok(None) => return None,
            Ok(Some(answer)) => answer,
            Err(error) => return self.fail_poll(&error.to_string()),
        };
        if answer.status != 200 {
            return self.fail_poll(&format!("status {}", answer.status));
        }
        match List::parse(&answer.body, settings) {
            Err(error) => self.fail_poll(&error.to_string()),
            Ok(list) => {
                let poll = self.open_poll.take()?;
                if !answer.closes && !poll.answer.has_trailing_bytes() {
                    self.idle_connection = Some((poll.connection_number, poll.stream));
                }
                self.has_failed = false;
                Some(WatchEvent::List { after: poll.after.unwrap_or(0), list })
            }
        }
    }

    fn fail_poll(&mut self, why: &str) -> Option<WatchEvent> {
        self.open_poll = None;
        self.idle_connection = None;
        self.has_failed = true;
        Some(WatchEvent::Failed(why.to_owned()))
    }

    /// Fails an open poll that has reached its deadline.
    pub(crate) fn handle_timeout(&mut self, now: Instant, settings: &Settings) -> Option<WatchEvent> {
        if self.open_poll.as_ref().is_none_or(|poll| poll.deadline > now) {
            return None;
        }
        // The platform assumes that the host knows a change once the list has written the answer (see the module's doc). An answer that is
        // in the socket at the deadline is therefore read first; otherwise the host would follow an outdated list.
        self.read(MAX_LIST_READS, settings).or_else(|| self.fail_poll("no answer in time"))
    }

    /// Moves the watch to another address. An answer that the old address has already written is read first and returned, as the platform
    /// assumes that the host knows it. Nothing is read from the old address afterwards: it could be older than answers of the new one.
    pub(crate) fn address_changed(&mut self, to: SocketAddr, settings: &Settings) -> Option<WatchEvent> {
        let last = self.read(MAX_LIST_READS, settings);
        (self.address, self.open_poll, self.idle_connection, self.has_failed) = (to, None, None, false);
        last.filter(|event| matches!(event, WatchEvent::List { .. }))
    }
}

impl Poll {
    fn write(&mut self, now: Instant, poller: &Poller) -> std::io::Result<()> {
        sockets::write(&self.stream, &mut self.outgoing)?;
        if self.outgoing.is_empty() {
            self.deadline = now + self.answer_timeout;
        }
        let interest = if self.outgoing.is_empty() { READ } else { BOTH };
        poller.change(&self.stream, Token::List(self.connection_number), interest);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
