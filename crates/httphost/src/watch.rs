//! Following the node list: one call at a time, each after the one before. When to ask again after a failure is the
//! module's decision.

use crate::poller::{Poller, Ready, Token, BOTH, READ};
use crate::wire::{self, Got};
use bytes::BytesMut;
use std::net::{SocketAddr, TcpStream};
use tackmast::interface::{Instant, Span};
use tackmast_http::{AnswerReader, Bounds};
use tackmast_platform::{List, Settings};

/// How long a call lets the list wait for news. What is lost on the way counts as told 2 s after that, and a watch that has
/// fallen silent is found out only then; each call costs the list work.
const WAIT_MS: u64 = 2_500;
/// And how long it may take beyond that, connecting included.
const PATIENCE: f64 = 1.5; // seconds

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
    out: BytesMut,
    answer: AnswerReader,
    after: Option<u64>,
    until: Instant,
}

pub struct Watch {
    address: SocketAddr,
    call: Option<Call>,
    /// A connection that has had its answer, for the next call.
    kept: Option<(u32, TcpStream)>,
    next: u32,
}

impl Watch {
    pub fn new(address: SocketAddr) -> Self {
        Watch { address, call: None, kept: None, next: 0 }
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
        let (number, stream) = match self.kept.take().filter(|(_, s)| wire::is_quiet(s)) {
            Some(kept) => kept,
            None => {
                self.next = self.next.wrapping_add(1);
                let stream = wire::connect(self.address).map_err(failed)?;
                poller.add(&stream, Token::List(self.next), BOTH).map_err(failed)?;
                (self.next, stream)
            }
        };
        let target = List::target(after.map(|v| (v, WAIT_MS)));
        let text = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let mut out = BytesMut::from(text.as_bytes());
        // A connection that is still coming up takes nothing yet.
        _ = wire::write(&stream, &mut out);
        poller.change(&stream, Token::List(number), if out.is_empty() { READ } else { BOTH });
        let wait = if after.is_some() { WAIT_MS as f64 / 1e3 } else { 0.0 };
        let until = now + Span::from_secs(wait + PATIENCE);
        self.call =
            Some(Call { number, stream, out, answer: AnswerReader::new(Bounds::default()), after, until });
        Ok(())
    }

    pub fn ready(&mut self, poller: &Poller, number: u32, r: Ready, s: &Settings) -> Option<News> {
        let Some(call) = self.call.as_mut().filter(|c| c.number == number) else {
            // Whatever comes on a connection that nothing was asked on: it is of no further use.
            self.kept = self.kept.take().filter(|(n, _)| *n != number);
            return None;
        };
        if !call.out.is_empty() {
            if !r.write && !r.ended {
                return None;
            }
            if wire::write(&call.stream, &mut call.out).is_err() {
                return self.failed("no connection");
            }
            if !call.out.is_empty() {
                return None;
            }
            poller.change(&call.stream, Token::List(number), READ);
        }
        if r.read || r.ended {
            return self.read(s);
        }
        None
    }

    fn read(&mut self, s: &Settings) -> Option<News> {
        let call = self.call.as_mut()?;
        let mut piece = [0; wire::PIECE];
        match wire::read(&call.stream, &mut piece) {
            Got::Nothing => return None,
            Got::End => return self.failed("the connection ended"),
            Got::Bytes(n) => call.answer.push(&piece[..n]),
        }
        let answer = match call.answer.answer() {
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
                Some(News::List(c.after.unwrap_or(0), list))
            }
        }
    }

    fn failed(&mut self, why: &str) -> Option<News> {
        self.call = None;
        self.kept = None;
        Some(News::Failed(why.to_owned()))
    }

    pub fn tick(&mut self, now: Instant) -> Option<News> {
        if self.call.as_ref().is_some_and(|c| c.until <= now) {
            return self.failed("no answer in time");
        }
        None
    }

    /// The list is to be had elsewhere from now on. What the old place has written by now is read first; whether a call
    /// was on its way there.
    pub fn moved(&mut self, to: SocketAddr, s: &Settings) -> (bool, Option<News>) {
        let calling = self.call.is_some();
        let last = self.read(s).filter(|n| matches!(n, News::List(..)));
        (self.address, self.call, self.kept) = (to, None, None);
        (calling, last)
    }
}
