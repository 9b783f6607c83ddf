//! Following the node list: one call at a time, each after the one before. When to ask again after a failure is the
//! module's decision. docs/crossings.md has each state of a call against each event that may come in it.
//!
//! A change counts as told 6 s after the list had it and could be reached, whatever failed before. So the times here and the
//! module's pauses have to fit: a call that falls silent is found out after its wait and `PATIENCE`; then a pause, a call that
//! does not come up, another pause, and one that tells (docs/design.md has the sum, `watch/tests.rs` holds it).

use crate::poller::{Poller, Ready, Token, BOTH, READ};
use crate::wire::{self, Got};
use bytes::BytesMut;
use std::net::{SocketAddr, TcpStream};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_http::{Answer, AnswerReader, Bad, Bounds};
use tackmast_platform::{List, Settings};

/// How long a call lets the list wait for news. What is lost on the way counts as told 2 s after that, and a watch that has
/// fallen silent is found out only then; each call costs the list work.
const WAIT_MS: u64 = 2_500;
/// The same for a call after one that failed: what was missed is there already, and more silence must be found out soon.
const WAIT_AGAIN_MS: u64 = 300;
/// How long an answer may take beyond that.
const PATIENCE: f64 = 1.2; // seconds
/// The same after a failure: with too many callers at once the list answers late, and who gives up comes behind the others.
const PATIENCE_AGAIN: f64 = 2.0; // seconds
/// A connection to the list comes up within this, or not at all.
const CONNECT: f64 = 0.7; // seconds
/// A list with all its nodes, written with indents, in bytes; and the pieces of it.
const MAX_LIST: usize = 256 * 1024;
const ALL: usize = MAX_LIST / wire::PIECE + 2;

/// What became of a call.
#[derive(Debug)]
pub enum News {
    /// The version that was asked from, and what came.
    List(u64, List),
    Failed(String),
}

struct Call {
    number: u32,
    stream: TcpStream,
    /// What is still to be written; empty: it has been asked.
    out: BytesMut,
    answer: AnswerReader,
    after: Option<u64>,
    /// How long an answer may take from when it was asked.
    patience: TimeDelta,
    /// When it has failed: not asked by then, or not answered.
    until: Instant,
}

pub struct Watch {
    address: SocketAddr,
    call: Option<Call>,
    /// A connection that has had its answer, for the next call.
    kept: Option<(u32, TcpStream)>,
    next: u32,
    /// The last call failed.
    failed: bool,
}

impl Watch {
    pub fn new(address: SocketAddr) -> Self {
        Watch { address, call: None, kept: None, next: 0, failed: false }
    }

    /// Whether a call has no answer yet.
    pub fn is_calling(&self) -> bool {
        self.call.is_some()
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for what came after a version, or for everything.
    pub fn ask(&mut self, now: Instant, poller: &Poller, after: Option<u64>) -> Result<(), News> {
        let failed = |e: std::io::Error| News::Failed(format!("call: {e}"));
        let (wait_ms, patience) =
            if self.failed { (WAIT_AGAIN_MS, PATIENCE_AGAIN) } else { (WAIT_MS, PATIENCE) };
        let (number, stream) = match self.kept.take().filter(|(_, s)| wire::is_quiet(s)) {
            Some(kept) => kept,
            None => {
                self.next = self.next.wrapping_add(1);
                // One that can't even begin has failed too.
                self.failed = true;
                let stream = wire::connect(self.address).map_err(failed)?;
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
            out: BytesMut::from(text.as_bytes()),
            answer: AnswerReader::new(Bounds { body: MAX_LIST, ..Bounds::default() }),
            after,
            patience: TimeDelta::from_secs(wait + patience),
            until: now + TimeDelta::from_secs(CONNECT),
        };
        // A connection that is still coming up takes nothing yet.
        _ = self.call.insert(call).write(now, poller);
        Ok(())
    }

    pub fn ready(
        &mut self,
        now: Instant,
        poller: &Poller,
        number: u32,
        r: Ready,
        s: &Settings,
    ) -> Option<News> {
        let Some(call) = self.call.as_mut().filter(|c| c.number == number) else {
            // Whatever comes on a connection that nothing was asked on: it is of no further use.
            self.kept = self.kept.take().filter(|(n, _)| *n != number);
            return None;
        };
        if !call.out.is_empty() {
            if !r.write && !r.ended {
                return None;
            }
            if call.write(now, poller).is_err() {
                return self.failed("no connection");
            }
            if !call.out.is_empty() {
                return None;
            }
        }
        if r.read || r.ended {
            return self.read(1, s);
        }
        None
    }

    /// So many pieces of the answer at most; what becomes of the call, if that is known now.
    fn read(&mut self, pieces: usize, s: &Settings) -> Option<News> {
        let mut piece = [0; wire::PIECE];
        for _ in 0..pieces {
            let call = self.call.as_mut()?;
            let came = match wire::read(&call.stream, &mut piece) {
                Got::Nothing => return None,
                Got::End if call.answer.ends_with_connection() => call.answer.end(),
                Got::End | Got::Broken => return self.failed("the connection ended"),
                Got::Bytes(n) => {
                    call.answer.push(&piece[..n]);
                    call.answer.answer()
                }
            };
            if !matches!(came, Ok(None)) {
                return self.came(came, s);
            }
        }
        None
    }

    fn came(&mut self, came: Result<Option<Answer>, Bad>, s: &Settings) -> Option<News> {
        let answer = match came {
            Ok(None) => return None,
            Ok(Some(a)) => a,
            Err(e) => return self.failed(&e.to_string()),
        };
        if answer.status != 200 {
            return self.failed(&format!("status {}", answer.status));
        }
        match List::parse(&answer.body, s) {
            Err(e) => self.failed(&e),
            Ok(list) => {
                let c = self.call.take()?;
                if !answer.closes && !c.answer.has_more() {
                    self.kept = Some((c.number, c.stream));
                }
                self.failed = false;
                Some(News::List(c.after.unwrap_or(0), list))
            }
        }
    }

    fn failed(&mut self, why: &str) -> Option<News> {
        self.call = None;
        self.kept = None;
        self.failed = true;
        Some(News::Failed(why.to_owned()))
    }

    pub fn tick(&mut self, now: Instant, s: &Settings) -> Option<News> {
        if self.call.as_ref().is_none_or(|c| c.until > now) {
            return None;
        }
        // What was written to this host by now has been told to it: an answer must not cross its own time-out.
        self.read(ALL, s).or_else(|| self.failed("no answer in time"))
    }

    /// The list is to be had elsewhere from now on. What the old place has written by now is read first, and nothing of it
    /// afterwards: it is older than what the new place tells.
    pub fn moved(&mut self, to: SocketAddr, s: &Settings) -> Option<News> {
        let last = self.read(ALL, s).filter(|n| matches!(n, News::List(..)));
        (self.address, self.call, self.kept, self.failed) = (to, None, None, false);
        last
    }
}

impl Call {
    fn write(&mut self, now: Instant, poller: &Poller) -> std::io::Result<()> {
        wire::write(&self.stream, &mut self.out)?;
        if self.out.is_empty() {
            self.until = now + self.patience;
        }
        poller.change(&self.stream, Token::List(self.number), if self.out.is_empty() { READ } else { BOTH });
        Ok(())
    }
}
