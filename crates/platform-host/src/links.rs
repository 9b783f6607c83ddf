//! Connections to nodes: one attempt at a time on each.

use crate::poller::{Poller, Ready, Token, BOTH, READ, WRITE};
use crate::pool::Idle;
use crate::wire::{self, Got};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use tackmast::interface::{Instant, NodeId, Outcome, TimeDelta};
use tackmast_host_core::{AttemptId, AttemptResult, AttemptWork, Begin, SendAttempt};
use tackmast_http::{AnswerReader, Bounds};
use tackmast_platform::{attempt_head, Reports};

/// Of the time after which nodes close idle connections, the part after which the host does: a request must not cross.
const IDLE_PART: f64 = 0.8;
/// Nothing in an answer tells whose it is, and a node that sends one twice may do so some milliseconds late: a connection
/// rests before its next request, so that what belongs to the last one is seen to come on it unasked. Copies were seen 1 to 4 ms
/// late (nine, in three plays); a longer rest costs connections.
const REST: f64 = 0.01; // seconds

enum State {
    Connecting { until: Instant, attempt: Box<SendAttempt> },
    Busy { attempt: Box<SendAttempt>, out: BytesMut, answer: Box<AnswerReader> },
    Idle,
}

struct Link {
    node: NodeId,
    address: SocketAddr,
    stream: TcpStream,
    state: State,
}

/// What the links have done, for logs and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    pub opened: u64,
    pub reused: u64,
    pub spoilt: u64,
    pub reset: u64,
    pub no_connection: u64,
    pub given_up: u64,
    pub waited: u64,
    /// Something came on a connection that nothing was asked on, not even its end alone.
    pub unasked: u64,
    /// Came up when its time to begin was over.
    pub too_late: u64,
}

pub struct Links {
    links: BTreeMap<u32, Link>,
    idle: Idle,
    by_attempt: HashMap<AttemptId, u32>,
    /// Attempts without a connection, as all are in use.
    waiting: VecDeque<SendAttempt>,
    /// Attempts that wait until a connection to their node has rested, and until when.
    resting: Vec<(Instant, SendAttempt)>,
    next: u32,
    most: usize,
    connect: TimeDelta,
    max_idle: TimeDelta,
    reports: Reports,
    pub counters: LinkCounters,
}

impl Links {
    /// `most` connections; `connect` is the time to come up in, `idle` when nodes close one (zero: not told).
    pub fn new(most: usize, connect: TimeDelta, idle: TimeDelta, reports: Reports) -> Self {
        let keep = if idle > TimeDelta::ZERO { idle.secs() * IDLE_PART } else { 10.0 };
        Links {
            links: BTreeMap::new(),
            idle: Idle::default(),
            by_attempt: HashMap::new(),
            waiting: VecDeque::new(),
            resting: Vec::new(),
            next: 0,
            most,
            connect,
            max_idle: TimeDelta::from_secs(keep),
            reports,
            counters: LinkCounters::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// An attempt leaves for a node at its present address. One that has waited for a connection to rest does so once: others must
    /// not take it before its eyes again and again.
    pub fn send(
        &mut self,
        now: Instant,
        poller: &Poller,
        to: Option<SocketAddr>,
        (attempt, has_waited): (SendAttempt, bool),
        back: &mut Vec<AttemptResult>,
    ) {
        let Some(to) = to else { return back.push(ended(attempt.attempt, Outcome::Refused)) };
        while let Some(id) = self.idle.take(attempt.node, now, TimeDelta::from_secs(REST)) {
            let good = self.links.get(&id).is_some_and(|l| l.address == to && wire::is_quiet(&l.stream));
            if good {
                self.counters.reused += 1;
                return self.begin(now, poller, id, attempt, back);
            }
            self.links.remove(&id); // closed by its node while idle, or the node has moved
        }
        // Some milliseconds cost less than a new connection, to this host's client as to the node.
        let rest = TimeDelta::from_secs(REST);
        let ahead = self.resting.iter().filter(|(_, a)| a.node == attempt.node).count();
        let until = self.idle.rested_at(attempt.node, now, rest, ahead).filter(|_| !has_waited);
        if let Some(until) = until {
            return self.resting.push((until, attempt));
        }
        if self.links.len() >= self.most {
            if let Some((node, id)) = self.idle.oldest(TimeDelta::ZERO, now) {
                self.close(node, id);
            }
        }
        if self.links.len() >= self.most {
            self.counters.waited += 1;
            return self.waiting.push_back(attempt);
        }
        let id = self.next;
        let stream = match wire::connect(to) {
            Ok(s) if poller.add(&s, Token::Link(id), WRITE).is_ok() => s,
            _ => {
                self.counters.no_connection += 1;
                return back.push(ended(attempt.attempt, Outcome::Refused));
            }
        };
        self.next = self.next.wrapping_add(1);
        self.counters.opened += 1;
        self.by_attempt.insert(attempt.attempt, id);
        let state = State::Connecting { until: now + self.connect, attempt: Box::new(attempt) };
        let node = match &state {
            State::Connecting { attempt, .. } => attempt.node,
            _ => return,
        };
        self.links.insert(id, Link { node, address: to, stream, state });
    }

    /// The connection stands: the attempt's bytes leave, unless it was taken back.
    fn begin(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        attempt: SendAttempt,
        back: &mut Vec<AttemptResult>,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let begin = attempt.begin(now);
        if begin != Begin::Now {
            self.by_attempt.remove(&attempt.attempt);
            if begin == Begin::TooLate {
                self.counters.too_late += 1;
                back.push(ended(attempt.attempt, Outcome::Refused));
            }
            link.state = State::Idle;
            poller.change(&link.stream, Token::Link(id), READ);
            return self.idle.put(now, link.node, id);
        }
        let rest = attempt_head(link.address, attempt.until - now);
        let (head, body): (&[u8], &[u8]) = match &attempt.work {
            AttemptWork::Request(r) => (&r.head, &r.body),
            AttemptWork::Write { .. } | AttemptWork::Read { .. } => (&[], &[]),
        };
        let mut out = BytesMut::with_capacity(head.len() + rest.len() + body.len());
        [head, rest.as_bytes(), body].iter().for_each(|part| out.extend_from_slice(part));
        self.by_attempt.insert(attempt.attempt, id);
        let answer = Box::new(AnswerReader::new(Bounds::default()));
        link.state = State::Busy { attempt: Box::new(attempt), out, answer };
        self.write(poller, id, back);
    }

    fn write(&mut self, poller: &Poller, id: u32, back: &mut Vec<AttemptResult>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let State::Busy { attempt, out, .. } = &mut link.state else { return };
        match wire::write(&link.stream, out) {
            // What was not written whole never ran.
            Err(_) => self.end(id, Outcome::Refused, back),
            Ok(()) if out.is_empty() => {
                attempt.ticket.written();
                poller.change(&link.stream, Token::Link(id), READ);
            }
            Ok(()) => poller.change(&link.stream, Token::Link(id), BOTH),
        }
    }

    pub fn ready(&mut self, now: Instant, poller: &Poller, id: u32, r: Ready, back: &mut Vec<AttemptResult>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        match &mut link.state {
            State::Idle => {
                let node = link.node;
                if !r.ended {
                    self.counters.unasked += 1;
                    let rested = self.idle.since(node, id).map(|t| (now - t).secs());
                    tracing::debug!(node = node.0, rested, "something came that nothing asked for");
                }
                self.close(node, id);
            }
            State::Connecting { .. } => {
                let broken =
                    !matches!(link.stream.take_error(), Ok(None)) || link.stream.peer_addr().is_err();
                if broken {
                    self.counters.no_connection += 1;
                    return self.end(id, Outcome::Refused, back);
                }
                if let State::Connecting { attempt, .. } = std::mem::replace(&mut link.state, State::Idle) {
                    self.begin(now, poller, id, *attempt, back);
                }
            }
            State::Busy { .. } => {
                if r.write {
                    self.write(poller, id, back);
                }
                if r.read || r.ended {
                    self.read(now, id, back);
                }
            }
        }
    }

    fn read(&mut self, now: Instant, id: u32, back: &mut Vec<AttemptResult>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let State::Busy { attempt, out, answer } = &mut link.state else { return };
        let mut piece = [0; wire::PIECE];
        let unsent = !out.is_empty();
        let come = match wire::read(&link.stream, &mut piece) {
            Got::Nothing => return,
            // An answer that does not say how long it is ends with its connection, if that ends in order.
            Got::End if !unsent && answer.ends_with_connection() => answer.end(),
            Got::End | Got::Broken => {
                self.counters.reset += u64::from(!unsent);
                return self.end(id, if unsent { Outcome::Refused } else { Outcome::Reset }, back);
            }
            Got::Bytes(n) => {
                answer.push(&piece[..n]);
                answer.answer()
            }
        };
        match come {
            Ok(None) => {}
            Ok(Some(a)) => {
                let (closes, more) = (a.closes, answer.has_more());
                let mut came = self.reports.read(a);
                if unsent && came.outcome == Outcome::Done {
                    came.outcome = Outcome::Error; // it can't have been made for this request
                }
                let (number, node) = (attempt.attempt, link.node);
                let (outcome, waiting) = (came.outcome, came.waiting);
                // A node that says nothing of other hosts says that there was nothing.
                let elsewhere = Some(came.elsewhere.unwrap_or(0.0));
                back.push(AttemptResult { attempt: number, outcome, waiting, elsewhere, data: came.body });
                self.by_attempt.remove(&number);
                if closes || more || unsent {
                    self.links.remove(&id);
                } else {
                    link.state = State::Idle;
                    self.idle.put(now, node, id);
                }
            }
            Err(why) => {
                self.counters.spoilt += 1;
                tracing::debug!(node = link.node.0, %why, "an answer can't be read");
                self.end(id, Outcome::Error, back);
            }
        }
    }

    /// The attempt has its end, and its connection with it.
    fn end(&mut self, id: u32, outcome: Outcome, back: &mut Vec<AttemptResult>) {
        let Some(link) = self.links.remove(&id) else { return };
        if let State::Busy { attempt, .. } | State::Connecting { attempt, .. } = link.state {
            self.by_attempt.remove(&attempt.attempt);
            if !attempt.ticket.is_withdrawn() {
                back.push(ended(attempt.attempt, outcome));
            }
        }
    }

    fn close(&mut self, node: NodeId, id: u32) {
        self.idle.remove(node, id);
        self.links.remove(&id);
    }

    /// Nobody waits for this attempt any more. Its connection closes: nothing that left can be called back otherwise.
    pub fn give_up(&mut self, attempt: AttemptId) {
        match self.by_attempt.remove(&attempt) {
            Some(id) => {
                self.counters.given_up += 1;
                self.links.remove(&id);
            }
            None => {
                self.waiting.retain(|l| l.attempt != attempt);
                self.resting.retain(|(_, l)| l.attempt != attempt);
            }
        }
    }

    /// Nodes that want nothing new, or have moved, keep no connection that no request has begun on; what waits for one that
    /// comes up would be written to whoever is there now.
    pub fn keep_where(&mut self, good: impl Fn(NodeId, SocketAddr) -> bool, back: &mut Vec<AttemptResult>) {
        let unused = |l: &Link| !matches!(l.state, State::Busy { .. }) && !good(l.node, l.address);
        let old: Vec<u32> = self.links.iter().filter(|(_, l)| unused(l)).map(|(id, _)| *id).collect();
        for id in old {
            if let Some(l) = self.links.get(&id) {
                self.idle.remove(l.node, id);
            }
            self.end(id, Outcome::Refused, back);
        }
    }

    /// Whose request waits for this connection to come up.
    pub fn waits_for(&self, id: u32) -> Option<u32> {
        match &self.links.get(&id)?.state {
            State::Connecting { attempt, .. } => Some(attempt.from.session),
            _ => None,
        }
    }

    /// Time has passed: connections that did not come up, and old idle ones.
    pub fn tick(&mut self, now: Instant, back: &mut Vec<AttemptResult>) {
        let late = |l: &Link| matches!(&l.state, State::Connecting { until, .. } if *until <= now);
        let late: Vec<u32> = self.links.iter().filter(|(_, l)| late(l)).map(|(id, _)| *id).collect();
        for id in late {
            self.counters.no_connection += 1;
            self.end(id, Outcome::Refused, back);
        }
        while let Some((node, id)) = self.idle.oldest(self.max_idle, now) {
            self.close(node, id);
        }
    }

    /// When the next connection that an attempt waits for has rested.
    pub fn next_rested(&self) -> Option<Instant> {
        self.resting.iter().map(|(until, _)| *until).min()
    }

    /// An attempt whose connection has rested by now.
    pub fn rested(&mut self, now: Instant) -> Option<SendAttempt> {
        let at = self.resting.iter().position(|(until, _)| *until <= now)?;
        Some(self.resting.remove(at).1)
    }

    /// The attempt that has waited longest for a connection, if there is room for it now.
    pub fn next_waiting(&mut self) -> Option<SendAttempt> {
        let room = self.links.len() < self.most || !self.idle.is_empty();
        if room {
            self.waiting.pop_front()
        } else {
            None
        }
    }
}

fn ended(attempt: AttemptId, outcome: Outcome) -> AttemptResult {
    AttemptResult { attempt, outcome, waiting: None, elsewhere: Some(0.0), data: Bytes::new() }
}
