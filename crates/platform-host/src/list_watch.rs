//! The watch of the endpoint list: long polls, one after the other. When to retry after a failure is the scheduler's decision.
//! docs/crossings.md has each state of a poll against each event.
//!
//! A change counts as notified 6 s after the list had it and could be reached, whatever failed before. So the times here and the
//! module's pauses have to fit: a call that falls silent is found out after its wait and `ANSWER_TIMEOUT`; then a pause, a call that
//! does not come up, another pause, and one that tells (docs/design.md has the sum, `watch/tests.rs` holds it).

use crate::poller::{Poller, Ready, Token, BOTH, READ};
use crate::sockets::{self, ReadOutcome};
use bytes::BytesMut;
use std::net::{SocketAddr, TcpStream};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_http::{Limits, MessageError, Response, ResponseReader};
use tackmast_platform::{List, Settings};

/// How long a poll lets the list wait for a change. What is lost on the way counts as notified 2 s after that, and a watch that has
/// fallen silent is found out only then; each call costs the list work.
const LONG_POLL_MS: u64 = 2_500;
/// The same for a call after one that failed: what was missed is there already, and more silence must be found out soon.
const LONG_POLL_AFTER_FAILURE_MS: u64 = 300;
/// Seconds that an answer may take beyond that.
const ANSWER_TIMEOUT: f64 = 1.2;
/// The same after a failure: with too many callers at once the list answers late, and who gives up is queued behind the others.
const ANSWER_TIMEOUT_AFTER_FAILURE: f64 = 2.0;
/// Seconds within which a connection to the list has to come up.
const CONNECT_TIMEOUT: f64 = 0.7;
/// A list with all its nodes, written with indents, in bytes; and the pieces of it.
const MAX_LIST: usize = 256 * 1024;
const MAX_LIST_CHUNKS: usize = MAX_LIST / sockets::READ_CHUNK_BYTES + 2;

/// What became of a poll.
#[derive(Debug)]
pub enum WatchEvent {
    /// The version that was polled from, and the list.
    List(u64, List),
    /// The poll failed, and why.
    Failed(String),
}

struct Call {
    number: u32,
    stream: TcpStream,
    /// What is still to be written; empty: it has been asked.
    outgoing: BytesMut,
    answer: ResponseReader,
    after: Option<u64>,
    /// How long an answer may take from when it was asked.
    answer_timeout: TimeDelta,
    /// When it has failed: not asked by then, or not answered.
    deadline: Instant,
}

/// The watch of the endpoint list: at most one poll is open.
pub struct Watch {
    address: SocketAddr,
    call: Option<Call>,
    /// A connection that has had its answer, for the next call.
    idle_connection: Option<(u32, TcpStream)>,
    next: u32,
    /// The last call failed.
    failed: bool,
}

impl Watch {
    /// A watch of the list at `address`; nothing is polled yet.
    pub fn new(address: SocketAddr) -> Self {
        Watch { address, call: None, idle_connection: None, next: 0, failed: false }
    }

    /// Whether a call has no answer yet.
    pub fn is_polling(&self) -> bool {
        self.call.is_some()
    }

    /// Where the list is polled.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for the changes after a version, or for everything.
    pub fn poll(&mut self, now: Instant, poller: &Poller, after: Option<u64>) -> Result<(), WatchEvent> {
        let failed = |e: std::io::Error| WatchEvent::Failed(format!("call: {e}"));
        let (wait_ms, answer_timeout) = if self.failed {
            (LONG_POLL_AFTER_FAILURE_MS, ANSWER_TIMEOUT_AFTER_FAILURE)
        } else {
            (LONG_POLL_MS, ANSWER_TIMEOUT)
        };
        let (number, stream) = match self.idle_connection.take().filter(|(_, s)| sockets::has_no_input(s)) {
            Some(idle_connection) => idle_connection,
            None => {
                self.next = self.next.wrapping_add(1);
                // One that can't even begin has failed too.
                self.failed = true;
                let stream = sockets::connect(self.address).map_err(failed)?;
                poller.add(&stream, Token::List(self.next), BOTH).map_err(failed)?;
                (self.next, stream)
            }
        };
        let target = List::target(after.map(|v| (v, wait_ms)));
        let text = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let wait = if after.is_some() { wait_ms as f64 / 1e3 } else { 0.0 };
        let call = Call {
            number,
            stream,
            outgoing: BytesMut::from(text.as_bytes()),
            answer: ResponseReader::new(Limits { max_body_len: MAX_LIST, ..Limits::default() }),
            after,
            answer_timeout: TimeDelta::from_secs(wait + answer_timeout),
            deadline: now + TimeDelta::from_secs(CONNECT_TIMEOUT),
        };
        // A connection that is still coming up takes nothing yet.
        _ = self.call.insert(call).write(now, poller);
        Ok(())
    }

    /// The socket of a poll is ready. Gives what became of the poll, if that is known now.
    pub fn handle_ready(
        &mut self,
        now: Instant,
        poller: &Poller,
        number: u32,
        r: Ready,
        s: &Settings,
    ) -> Option<WatchEvent> {
        let Some(call) = self.call.as_mut().filter(|c| c.number == number) else {
            // Whatever comes on a connection that nothing was asked on: it is of no further use.
            self.idle_connection = self.idle_connection.take().filter(|(n, _)| *n != number);
            return None;
        };
        if !call.outgoing.is_empty() {
            if !r.write && !r.ended {
                return None;
            }
            if call.write(now, poller).is_err() {
                return self.failed("no connection");
            }
            if !call.outgoing.is_empty() {
                return None;
            }
        }
        if r.read || r.ended {
            return self.read(1, s);
        }
        None
    }

    /// So many pieces of the answer at most; what becomes of the call, if that is known now.
    fn read(&mut self, pieces: usize, s: &Settings) -> Option<WatchEvent> {
        let mut piece = [0; sockets::READ_CHUNK_BYTES];
        for _ in 0..pieces {
            let call = self.call.as_mut()?;
            let received = match sockets::read(&call.stream, &mut piece) {
                ReadOutcome::Nothing => return None,
                ReadOutcome::End if call.answer.ends_with_connection() => call.answer.handle_close(),
                ReadOutcome::End | ReadOutcome::Failed => return self.failed("the connection ended"),
                ReadOutcome::Bytes(n) => {
                    call.answer.push(&piece[..n]);
                    call.answer.next_response()
                }
            };
            if !matches!(received, Ok(None)) {
                return self.received(received, s);
            }
        }
        None
    }

    fn received(
        &mut self,
        received: Result<Option<Response>, MessageError>,
        s: &Settings,
    ) -> Option<WatchEvent> {
        let answer = match received {
            Ok(None) => return None,
            Ok(Some(a)) => a,
            Err(e) => return self.failed(&e.to_string()),
        };
        if answer.status != 200 {
            return self.failed(&format!("status {}", answer.status));
        }
        match List::parse(&answer.body, s) {
            Err(e) => self.failed(&e.to_string()),
            Ok(list) => {
                let c = self.call.take()?;
                if !answer.closes && !c.answer.has_trailing_bytes() {
                    self.idle_connection = Some((c.number, c.stream));
                }
                self.failed = false;
                Some(WatchEvent::List(c.after.unwrap_or(0), list))
            }
        }
    }

    fn failed(&mut self, why: &str) -> Option<WatchEvent> {
        self.call = None;
        self.idle_connection = None;
        self.failed = true;
        Some(WatchEvent::Failed(why.to_owned()))
    }

    /// Gives up a poll that takes too long.
    pub fn handle_timeout(&mut self, now: Instant, s: &Settings) -> Option<WatchEvent> {
        if self.call.as_ref().is_none_or(|c| c.deadline > now) {
            return None;
        }
        // What was written to this host by now it has been notified of: an answer must not cross its own time-out.
        self.read(MAX_LIST_CHUNKS, s).or_else(|| self.failed("no answer in time"))
    }

    /// The list is to be had elsewhere from now on. What the old place has written by now is read first, and nothing of it
    /// afterwards: it is older than what the new place tells.
    pub fn address_changed(&mut self, to: SocketAddr, s: &Settings) -> Option<WatchEvent> {
        let last = self.read(MAX_LIST_CHUNKS, s).filter(|n| matches!(n, WatchEvent::List(..)));
        (self.address, self.call, self.idle_connection, self.failed) = (to, None, None, false);
        last
    }
}

impl Call {
    fn write(&mut self, now: Instant, poller: &Poller) -> std::io::Result<()> {
        sockets::write(&self.stream, &mut self.outgoing)?;
        if self.outgoing.is_empty() {
            self.deadline = now + self.answer_timeout;
        }
        poller.change(
            &self.stream,
            Token::List(self.number),
            if self.outgoing.is_empty() { READ } else { BOTH },
        );
        Ok(())
    }
}
