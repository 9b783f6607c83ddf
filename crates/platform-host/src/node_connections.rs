//! Connections to nodes: one attempt at a time on each, idle ones are reused.

use crate::idle_connections::IdleConnections;
use crate::node_connection::{Link, LinkCounters, State};
use crate::poller::{Poller, Ready, Token, BOTH, READ, WRITE};
use crate::sockets::{self, ReadOutcome};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, NodeId, Outcome, TimeDelta};
use tackmast_host_core::{AttemptId, AttemptResult, AttemptWork, Begin, SendAttempt};
use tackmast_http::{Limits, Response, ResponseReader};
use tackmast_platform::{attempt_head, Reports};

/// The host closes an idle connection after this share of the time after which nodes do: a request must not cross a close.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// Nothing in an answer tells whose it is, and a node that sends one twice may do so some milliseconds late: a connection
/// is not reused for this many seconds, so that what belongs to the last answer is seen to come unsolicited. Copies were seen 1 to
/// 4 ms late (nine, in three plays); a longer delay costs connections.
const REUSE_DELAY: f64 = 0.01;

/// All connections to nodes, and the attempts that wait for one.
pub struct Links {
    links: BTreeMap<u32, Link>,
    idle: IdleConnections,
    by_attempt: HashMap<AttemptId, u32>,
    /// Attempts that wait for capacity, as all connections are in use.
    waiting: VecDeque<SendAttempt>,
    /// Attempts that wait until a connection to their node is reusable, and until when.
    delayed: Vec<(Instant, SendAttempt)>,
    next: u32,
    max_connections: usize,
    connect_timeout: TimeDelta,
    max_idle: TimeDelta,
    reports: Reports,
    pub counters: LinkCounters,
}

impl Links {
    /// `max_connections` connections; `connect_timeout` is the time to come up in, `idle` when nodes close one (zero: not told).
    pub fn new(
        max_connections: usize,
        connect_timeout: TimeDelta,
        idle: TimeDelta,
        reports: Reports,
    ) -> Self {
        let keep = if idle > TimeDelta::ZERO { idle.secs() * IDLE_TIMEOUT_SHARE } else { 10.0 };
        Links {
            links: BTreeMap::new(),
            idle: IdleConnections::default(),
            by_attempt: HashMap::new(),
            waiting: VecDeque::new(),
            delayed: Vec::new(),
            next: 0,
            max_connections,
            connect_timeout,
            max_idle: TimeDelta::from_secs(keep),
            reports,
            counters: LinkCounters::default(),
        }
    }

    /// Connections that are open or come up.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Sends an attempt to a node at its present address. An attempt waits only once for a connection to become reusable: others
    /// could take it from under this one again and again.
    pub fn send(
        &mut self,
        now: Instant,
        poller: &Poller,
        to: Option<SocketAddr>,
        (attempt, has_waited): (SendAttempt, bool),
        results: &mut Vec<AttemptResult>,
    ) {
        let Some(to) = to else { return results.push(ended(attempt.attempt, Outcome::Refused)) };
        while let Some(id) = self.idle.take(attempt.node, now, TimeDelta::from_secs(REUSE_DELAY)) {
            let good =
                self.links.get(&id).is_some_and(|l| l.address == to && sockets::has_no_input(&l.stream));
            if good {
                self.counters.reused += 1;
                return self.begin(now, poller, id, attempt, results);
            }
            self.links.remove(&id); // closed by its node while idle, or the node has moved
        }
        // A few milliseconds cost less than a new connection, to the client as to the node.
        let rest = TimeDelta::from_secs(REUSE_DELAY);
        let ahead = self.delayed.iter().filter(|(_, a)| a.node == attempt.node).count();
        let until = self.idle.reusable_at(attempt.node, now, rest, ahead).filter(|_| !has_waited);
        if let Some(until) = until {
            return self.delayed.push((until, attempt));
        }
        if !self.has_capacity_for_one(now) {
            self.counters.waited += 1;
            return self.waiting.push_back(attempt);
        }
        self.connect(now, poller, to, attempt, results);
    }

    /// Whether one more connection may be opened; closes the oldest idle one for it where it has to.
    fn has_capacity_for_one(&mut self, now: Instant) -> bool {
        if self.links.len() >= self.max_connections {
            if let Some((node, id)) = self.idle.oldest(TimeDelta::ZERO, now) {
                self.close(node, id);
            }
        }
        self.links.len() < self.max_connections
    }

    /// Opens a connection for an attempt.
    fn connect(
        &mut self,
        now: Instant,
        poller: &Poller,
        to: SocketAddr,
        attempt: SendAttempt,
        results: &mut Vec<AttemptResult>,
    ) {
        let id = self.next;
        let stream = match sockets::connect(to) {
            Ok(s) if poller.add(&s, Token::Link(id), WRITE).is_ok() => s,
            _ => {
                self.counters.connect_failures += 1;
                return results.push(ended(attempt.attempt, Outcome::Refused));
            }
        };
        self.next = self.next.wrapping_add(1);
        self.counters.opened += 1;
        self.by_attempt.insert(attempt.attempt, id);
        let state = State::Connecting { until: now + self.connect_timeout, attempt: Box::new(attempt) };
        let node = match &state {
            State::Connecting { attempt, .. } => attempt.node,
            _ => return,
        };
        self.links.insert(id, Link { node, address: to, stream, state });
    }

    /// The connection is up: writes the attempt, unless it was cancelled or is too late.
    fn begin(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        attempt: SendAttempt,
        results: &mut Vec<AttemptResult>,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let begin = attempt.begin(now);
        if begin != Begin::Now {
            self.by_attempt.remove(&attempt.attempt);
            if begin == Begin::TooLate {
                self.counters.deadline_passed += 1;
                results.push(ended(attempt.attempt, Outcome::Refused));
            }
            link.state = State::Idle;
            poller.change(&link.stream, Token::Link(id), READ);
            return self.idle.put(now, link.node, id);
        }
        let rest = attempt_head(link.address, attempt.until - now);
        let (head, body): (&[u8], &[u8]) = match &attempt.work {
            AttemptWork::Opaque(r) => (&r.head, &r.body),
            AttemptWork::Write { .. } | AttemptWork::Read { .. } => (&[], &[]),
        };
        let mut outgoing = BytesMut::with_capacity(head.len() + rest.len() + body.len());
        [head, rest.as_bytes(), body].iter().for_each(|part| outgoing.extend_from_slice(part));
        self.by_attempt.insert(attempt.attempt, id);
        let answer = Box::new(ResponseReader::new(Limits::default()));
        link.state = State::Busy { attempt: Box::new(attempt), outgoing, answer };
        self.write(poller, id, results);
    }

    fn write(&mut self, poller: &Poller, id: u32, results: &mut Vec<AttemptResult>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let State::Busy { attempt, outgoing, .. } = &mut link.state else { return };
        match sockets::write(&link.stream, outgoing) {
            // What was not written whole never ran.
            Err(_) => self.end(id, Outcome::Refused, results),
            Ok(()) if outgoing.is_empty() => {
                attempt.ticket.written();
                poller.change(&link.stream, Token::Link(id), READ);
            }
            Ok(()) => poller.change(&link.stream, Token::Link(id), BOTH),
        }
    }

    /// The socket of a connection is ready.
    pub fn handle_ready(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        r: Ready,
        results: &mut Vec<AttemptResult>,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        match &mut link.state {
            State::Idle => {
                let node = link.node;
                if !r.ended {
                    self.counters.unsolicited_data += 1;
                    let idle_s = self.idle.since(node, id).map(|t| (now - t).secs());
                    tracing::debug!(node = node.0, idle_s, "unsolicited data on an idle connection");
                }
                self.close(node, id);
            }
            State::Connecting { .. } => {
                let broken =
                    !matches!(link.stream.take_error(), Ok(None)) || link.stream.peer_addr().is_err();
                if broken {
                    self.counters.connect_failures += 1;
                    return self.end(id, Outcome::Refused, results);
                }
                if let State::Connecting { attempt, .. } = std::mem::replace(&mut link.state, State::Idle) {
                    self.begin(now, poller, id, *attempt, results);
                }
            }
            State::Busy { .. } => {
                if r.write {
                    self.write(poller, id, results);
                }
                if r.read || r.ended {
                    self.read(now, id, results);
                }
            }
        }
    }

    fn read(&mut self, now: Instant, id: u32, results: &mut Vec<AttemptResult>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let State::Busy { outgoing, answer, .. } = &mut link.state else { return };
        let mut piece = [0; sockets::READ_CHUNK_BYTES];
        let unsent = !outgoing.is_empty();
        let answered = match sockets::read(&link.stream, &mut piece) {
            ReadOutcome::Nothing => return,
            // An answer that does not say how long it is ends with its connection, if that ends in order.
            ReadOutcome::End if !unsent && answer.ends_with_connection() => answer.handle_close(),
            ReadOutcome::End | ReadOutcome::Failed => {
                self.counters.reset += u64::from(!unsent);
                return self.end(id, if unsent { Outcome::Refused } else { Outcome::Reset }, results);
            }
            ReadOutcome::Bytes(n) => {
                answer.push(&piece[..n]);
                answer.next_response()
            }
        };
        match answered {
            Ok(None) => {}
            Ok(Some(answer)) => self.finish(now, id, answer, results),
            Err(why) => {
                self.counters.malformed_answers += 1;
                tracing::debug!(node = link.node.0, %why, "an answer can't be read");
                self.end(id, Outcome::Error, results);
            }
        }
    }

    /// The answer to the attempt on a connection is complete: reports it, and keeps the connection if it may be reused.
    fn finish(&mut self, now: Instant, id: u32, received: Response, results: &mut Vec<AttemptResult>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let State::Busy { attempt, outgoing, answer } = &mut link.state else { return };
        let (closes, has_more, unsent) = (received.closes, answer.has_trailing_bytes(), !outgoing.is_empty());
        let mut report = self.reports.read(received);
        if unsent && report.outcome == Outcome::Done {
            report.outcome = Outcome::Error; // it can't have been made for this request
        }
        let (number, node) = (attempt.attempt, link.node);
        results.push(AttemptResult {
            attempt: number,
            outcome: report.outcome,
            waiting: report.waiting,
            // A node that reports nothing of other hosts reports that there was nothing.
            elsewhere: Some(report.elsewhere.unwrap_or(0.0)),
            data: report.body,
        });
        self.by_attempt.remove(&number);
        if closes || has_more || unsent {
            self.links.remove(&id);
        } else {
            link.state = State::Idle;
            self.idle.put(now, node, id);
        }
    }

    /// Ends an attempt together with its connection.
    fn end(&mut self, id: u32, outcome: Outcome, results: &mut Vec<AttemptResult>) {
        let Some(link) = self.links.remove(&id) else { return };
        if let State::Busy { attempt, .. } | State::Connecting { attempt, .. } = link.state {
            self.by_attempt.remove(&attempt.attempt);
            if !attempt.ticket.is_withdrawn() {
                results.push(ended(attempt.attempt, outcome));
            }
        }
    }

    fn close(&mut self, node: NodeId, id: u32) {
        self.idle.remove(node, id);
        self.links.remove(&id);
    }

    /// Cancels an attempt. Its connection is closed: there is no other way to take back what was sent.
    pub fn cancel(&mut self, attempt: AttemptId) {
        match self.by_attempt.remove(&attempt) {
            Some(id) => {
                self.counters.cancelled += 1;
                self.links.remove(&id);
            }
            None => {
                self.waiting.retain(|l| l.attempt != attempt);
                self.delayed.retain(|(_, l)| l.attempt != attempt);
            }
        }
    }

    /// Nodes that want nothing new, or have moved, keep no connection that no request has begun on; what waits for one that
    /// comes up would be written to whoever is there now.
    pub fn close_unused_unless(
        &mut self,
        good: impl Fn(NodeId, SocketAddr) -> bool,
        results: &mut Vec<AttemptResult>,
    ) {
        let unused = |l: &Link| !matches!(l.state, State::Busy { .. }) && !good(l.node, l.address);
        let old: Vec<u32> = self.links.iter().filter(|(_, l)| unused(l)).map(|(id, _)| *id).collect();
        for id in old {
            if let Some(l) = self.links.get(&id) {
                self.idle.remove(l.node, id);
            }
            self.end(id, Outcome::Refused, results);
        }
    }

    /// The client whose request waits for this connection to come up.
    pub fn connecting_client(&self, id: u32) -> Option<u32> {
        match &self.links.get(&id)?.state {
            State::Connecting { attempt, .. } => Some(attempt.from.session),
            _ => None,
        }
    }

    /// Closes connections that did not come up in time, and old idle ones.
    pub fn handle_timeout(&mut self, now: Instant, results: &mut Vec<AttemptResult>) {
        let late = |l: &Link| matches!(&l.state, State::Connecting { until, .. } if *until <= now);
        let late: Vec<u32> = self.links.iter().filter(|(_, l)| late(l)).map(|(id, _)| *id).collect();
        for id in late {
            self.counters.connect_failures += 1;
            self.end(id, Outcome::Refused, results);
        }
        while let Some((node, id)) = self.idle.oldest(self.max_idle, now) {
            self.close(node, id);
        }
    }

    /// When the next delayed attempt may be sent.
    pub fn poll_timeout(&self) -> Option<Instant> {
        self.delayed.iter().map(|(until, _)| *until).min()
    }

    /// A delayed attempt that may be sent now.
    pub fn delayed_attempt(&mut self, now: Instant) -> Option<SendAttempt> {
        let at = self.delayed.iter().position(|(until, _)| *until <= now)?;
        Some(self.delayed.remove(at).1)
    }

    /// The attempt that has waited longest for capacity, if there is some now.
    pub fn next_queued(&mut self) -> Option<SendAttempt> {
        let has_capacity = self.links.len() < self.max_connections || !self.idle.is_empty();
        if has_capacity {
            self.waiting.pop_front()
        } else {
            None
        }
    }
}

fn ended(attempt: AttemptId, outcome: Outcome) -> AttemptResult {
    AttemptResult { attempt, outcome, waiting: None, elsewhere: Some(0.0), data: Bytes::new() }
}
