//! The connections to nodes. Each carries one attempt at a time, and idle ones are reused.

use crate::idle_connections::IdleConnections;
use crate::node_connection::{request_bytes, NodeConnection, NodeConnectionCounters, PendingAttempt, State};
use crate::poller::{Poller, Ready, Token, BOTH, READ, WRITE};
use crate::sockets::{self, ReadOutcome};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, NodeId, Outcome, TimeDelta};
use tackmast_host_core::{AttemptId, AttemptResult, ClaimResult, SendAttempt};
use tackmast_http::{Limits, Response, ResponseReader};
use tackmast_platform::Reports;

/// Share of the nodes' idle timeout after which the host closes an idle connection. A node could otherwise close it while a request is
/// on its way, which would then get no answer.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// Idle time after which the host closes a connection if the settings name no idle timeout of nodes.
const DEFAULT_MAX_IDLE: TimeDelta = TimeDelta::from_millis(10_000);
/// Time after an answer during which a connection is not reused. An answer does not name its request, and a node may send a duplicate
/// some milliseconds late. Within the delay the duplicate arrives on an idle connection, which is closed. After the delay it would be
/// taken for the answer to the next request.
const REUSE_DELAY: TimeDelta = TimeDelta::from_millis(10);

/// All connections to nodes, and the attempts that wait for a connection.
pub(crate) struct NodeConnections {
    connections: BTreeMap<u32, NodeConnection>,
    idle: IdleConnections,
    by_attempt: HashMap<AttemptId, u32>,
    /// Attempts that wait because all connections are in use, in order of arrival.
    waiting: VecDeque<SendAttempt>,
    /// Attempts that wait until a connection to their node becomes reusable, with that time.
    delayed: Vec<(Instant, SendAttempt)>,
    next_id: u32,
    max_connections: usize,
    connect_timeout: TimeDelta,
    max_idle: TimeDelta,
    reports: Reports,
    /// Counters since the host started.
    pub counters: NodeConnectionCounters,
}

impl NodeConnections {
    /// Creates a set of at most `max_connections` connections, each established within `connect_timeout`. `node_idle_timeout` is the time
    /// after which nodes close an idle connection; zero if the settings name none.
    pub(crate) fn new(
        max_connections: usize,
        connect_timeout: TimeDelta,
        node_idle_timeout: TimeDelta,
        reports: Reports,
    ) -> Self {
        NodeConnections {
            connections: BTreeMap::new(),
            idle: IdleConnections::default(),
            by_attempt: HashMap::new(),
            waiting: VecDeque::new(),
            delayed: Vec::new(),
            next_id: 0,
            max_connections,
            connect_timeout,
            max_idle: max_idle(node_idle_timeout),
            reports,
            counters: NodeConnectionCounters::default(),
        }
    }

    /// Returns the number of connections that are established or being established.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Sends an attempt to a node at its current address; without an address the attempt ends as refused. An attempt waits only once for
    /// a connection to become reusable: others could take that connection repeatedly, and it would wait until its deadline.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        poller: &Poller,
        to: Option<SocketAddr>,
        pending: PendingAttempt,
        results: &mut Vec<AttemptResult>,
    ) {
        let PendingAttempt { attempt, has_waited } = pending;
        let Some(to) = to else { return results.push(unanswered(attempt.attempt, Outcome::Refused)) };
        while let Some(id) = self.idle.take(attempt.node, now, REUSE_DELAY) {
            let is_usable = |connection: &NodeConnection| {
                connection.address == to && sockets::has_no_input(&connection.stream)
            };
            if self.connections.get(&id).is_some_and(is_usable) {
                self.counters.reused += 1;
                return self.begin(now, poller, id, attempt, results);
            }
            // The node has closed the idle connection, or has moved to another address.
            self.connections.remove(&id);
        }
        // A wait of a few milliseconds costs the client and the node less than a new connection.
        let attempts_ahead = self.delayed.iter().filter(|(_, delayed)| delayed.node == attempt.node).count();
        let reusable_at = self.idle.reusable_at(attempt.node, now, REUSE_DELAY, attempts_ahead);
        if let Some(until) = reusable_at.filter(|_| !has_waited) {
            return self.delayed.push((until, attempt));
        }
        if !self.has_capacity_for_one(now) {
            self.counters.waited += 1;
            return self.waiting.push_back(attempt);
        }
        self.connect(now, poller, to, attempt, results);
    }

    /// Returns whether one more connection may be opened. At the limit, closes the oldest idle connection first.
    fn has_capacity_for_one(&mut self, now: Instant) -> bool {
        if self.connections.len() >= self.max_connections {
            if let Some((node, id)) = self.idle.oldest(TimeDelta::ZERO, now) {
                self.close(node, id);
            }
        }
        self.connections.len() < self.max_connections
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
        let id = self.next_id;
        let stream = match sockets::connect(to) {
            Ok(stream) if poller.add(&stream, Token::NodeConnection(id), WRITE).is_ok() => stream,
            _ => {
                self.counters.connect_failures += 1;
                return results.push(unanswered(attempt.attempt, Outcome::Refused));
            }
        };
        self.next_id = self.next_id.wrapping_add(1);
        self.counters.opened += 1;
        self.by_attempt.insert(attempt.attempt, id);
        let node = attempt.node;
        let state = State::Connecting { until: now + self.connect_timeout, attempt: Box::new(attempt) };
        self.connections.insert(id, NodeConnection { node, address: to, stream, state });
    }

    /// Writes an attempt to an established connection, unless the attempt was cancelled or is too late.
    fn begin(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        attempt: SendAttempt,
        results: &mut Vec<AttemptResult>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let claim = attempt.try_claim(now);
        if claim != ClaimResult::Claimed {
            self.by_attempt.remove(&attempt.attempt);
            if claim == ClaimResult::TooLate {
                self.counters.deadline_passed += 1;
                results.push(unanswered(attempt.attempt, Outcome::Refused));
            }
            return self.rest(now, poller, id);
        }
        let outgoing = request_bytes(now, connection.address, &attempt);
        self.by_attempt.insert(attempt.attempt, id);
        let answer = Box::new(ResponseReader::new(Limits::default()));
        connection.state = State::Busy { attempt: Box::new(attempt), outgoing, answer };
        self.write(poller, id, results);
    }

    /// Keeps an established connection that carries nothing.
    fn rest(&mut self, now: Instant, poller: &Poller, id: u32) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.state = State::Idle;
        poller.change(&connection.stream, Token::NodeConnection(id), READ);
        self.idle.put(now, connection.node, id);
    }

    fn write(&mut self, poller: &Poller, id: u32, results: &mut Vec<AttemptResult>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let State::Busy { attempt, outgoing, .. } = &mut connection.state else { return };
        match sockets::write(&connection.stream, outgoing) {
            // The node has not received the complete request, so it never ran.
            Err(_) => self.end_attempt(id, Outcome::Refused, results),
            Ok(()) if outgoing.is_empty() => {
                attempt.ticket.mark_written();
                poller.change(&connection.stream, Token::NodeConnection(id), READ);
            }
            Ok(()) => poller.change(&connection.stream, Token::NodeConnection(id), BOTH),
        }
    }

    /// Keeps an attempt that may not begin yet, and returns it from `next_delayed_attempt` after a while.
    pub(crate) fn postpone(&mut self, now: Instant, attempt: SendAttempt) {
        self.delayed.push((now + REUSE_DELAY, attempt));
    }

    /// Handles a ready socket of a connection. `may_begin` is whether an attempt that waits for this connection may begin; otherwise
    /// nothing is written if the connection is established, and the attempt is postponed.
    pub(crate) fn handle_ready(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        ready: Ready,
        may_begin: bool,
        results: &mut Vec<AttemptResult>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match &mut connection.state {
            State::Idle => {
                let node = connection.node;
                if !ready.ended {
                    self.counters.unsolicited_data += 1;
                    let idle_secs = self.idle.since(node, id).map(|since| (now - since).secs());
                    tracing::debug!(node = node.0, idle_secs, "unsolicited data on an idle connection");
                }
                self.close(node, id);
            }
            State::Connecting { .. } => {
                let has_failed = !matches!(connection.stream.take_error(), Ok(None))
                    || connection.stream.peer_addr().is_err();
                if has_failed {
                    self.counters.connect_failures += 1;
                    return self.end_attempt(id, Outcome::Refused, results);
                }
                if let State::Connecting { attempt, .. } =
                    std::mem::replace(&mut connection.state, State::Idle)
                {
                    if may_begin || attempt.ticket.is_withdrawn() {
                        return self.begin(now, poller, id, *attempt, results);
                    }
                    self.by_attempt.remove(&attempt.attempt);
                    self.rest(now, poller, id);
                    self.postpone(now, *attempt);
                }
            }
            State::Busy { .. } => {
                if ready.write {
                    self.write(poller, id, results);
                }
                if ready.read || ready.ended {
                    self.read(now, id, results);
                }
            }
        }
    }

    fn read(&mut self, now: Instant, id: u32, results: &mut Vec<AttemptResult>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let State::Busy { outgoing, answer, .. } = &mut connection.state else { return };
        let mut chunk = [0; sockets::READ_CHUNK_BYTES];
        let unsent = !outgoing.is_empty();
        let answered = match sockets::read(&connection.stream, &mut chunk) {
            ReadOutcome::Nothing => return,
            // An answer without a length is complete at an orderly close. After a reset a part may be missing.
            ReadOutcome::End if !unsent && answer.ends_with_connection() => answer.handle_close(),
            ReadOutcome::End | ReadOutcome::Failed => {
                self.counters.reset += u64::from(!unsent);
                return self.end_attempt(id, if unsent { Outcome::Refused } else { Outcome::Reset }, results);
            }
            ReadOutcome::Bytes(len) => {
                answer.push(&chunk[..len]);
                answer.next_response()
            }
        };
        match answered {
            Ok(None) => {}
            Ok(Some(answer)) => self.finish(now, id, answer, results),
            Err(error) => {
                self.counters.malformed_answers += 1;
                tracing::debug!(node = connection.node.0, %error, "malformed answer of a node");
                self.end_attempt(id, Outcome::Error, results);
            }
        }
    }

    /// Reports the complete answer to the attempt on a connection, and keeps the connection if it may be reused.
    fn finish(&mut self, now: Instant, id: u32, received: Response, results: &mut Vec<AttemptResult>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let State::Busy { attempt, outgoing, answer } = &mut connection.state else { return };
        let (closes, has_trailing_bytes, unsent) =
            (received.closes, answer.has_trailing_bytes(), !outgoing.is_empty());
        let mut report = self.reports.read(received);
        if unsent && report.outcome == Outcome::Done {
            // The node answered before it had the complete request, so the answer can't be for this request.
            report.outcome = Outcome::Error;
        }
        let (number, node) = (attempt.attempt, connection.node);
        results.push(AttemptResult {
            attempt: number,
            outcome: report.outcome,
            waiting: report.waiting,
            // A node that reports no service through other hosts had none.
            peer_units: Some(report.elsewhere.unwrap_or(0.0)),
            data: report.body,
        });
        self.by_attempt.remove(&number);
        if closes || has_trailing_bytes || unsent {
            self.connections.remove(&id);
        } else {
            connection.state = State::Idle;
            self.idle.put(now, node, id);
        }
    }

    /// Closes a connection and reports the outcome of the attempt on it, unless the attempt was cancelled.
    fn end_attempt(&mut self, id: u32, outcome: Outcome, results: &mut Vec<AttemptResult>) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if let State::Busy { attempt, .. } | State::Connecting { attempt, .. } = connection.state {
            self.by_attempt.remove(&attempt.attempt);
            if !attempt.ticket.is_withdrawn() {
                results.push(unanswered(attempt.attempt, outcome));
            }
        }
    }

    fn close(&mut self, node: NodeId, id: u32) {
        self.idle.remove(node, id);
        self.connections.remove(&id);
    }

    /// Cancels an attempt. Its connection is closed, as HTTP/1.1 has no other way to cancel a request.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        match self.by_attempt.remove(&attempt) {
            Some(id) => {
                self.counters.cancelled += 1;
                self.connections.remove(&id);
            }
            None => {
                self.waiting.retain(|waiting| waiting.attempt != attempt);
                self.delayed.retain(|(_, delayed)| delayed.attempt != attempt);
            }
        }
    }

    /// Closes the connections on which no request has begun, except those to an address at which their node is ready (`is_current`). An
    /// attempt that waits for such a connection would otherwise be written to a draining node, or to a process that now listens at the
    /// node's former address.
    pub(crate) fn close_unused_unless(
        &mut self,
        is_current: impl Fn(NodeId, SocketAddr) -> bool,
        results: &mut Vec<AttemptResult>,
    ) {
        let is_unused = |connection: &NodeConnection| {
            !matches!(connection.state, State::Busy { .. })
                && !is_current(connection.node, connection.address)
        };
        let unused = self.connections.iter().filter(|(_, connection)| is_unused(connection));
        let unused: Vec<u32> = unused.map(|(id, _)| *id).collect();
        for id in unused {
            if let Some(connection) = self.connections.get(&id) {
                self.idle.remove(connection.node, id);
            }
            self.end_attempt(id, Outcome::Refused, results);
        }
    }

    /// Returns the client whose request waits for this connection to be established.
    pub(crate) fn connecting_client(&self, id: u32) -> Option<u32> {
        match &self.connections.get(&id)?.state {
            State::Connecting { attempt, .. } => Some(attempt.from.session),
            _ => None,
        }
    }

    /// Closes connections that were not established in time, and those that have been idle for too long.
    pub(crate) fn handle_timeout(&mut self, now: Instant, results: &mut Vec<AttemptResult>) {
        let is_late = |connection: &NodeConnection| matches!(&connection.state, State::Connecting { until, .. } if *until <= now);
        let late = self.connections.iter().filter(|(_, connection)| is_late(connection));
        let late: Vec<u32> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.counters.connect_failures += 1;
            self.end_attempt(id, Outcome::Refused, results);
        }
        while let Some((node, id)) = self.idle.oldest(self.max_idle, now) {
            self.close(node, id);
        }
    }

    /// Returns when the next delayed attempt may be sent.
    pub(crate) fn poll_timeout(&self) -> Option<Instant> {
        self.delayed.iter().map(|(until, _)| *until).min()
    }

    /// Removes and returns a delayed attempt that may be sent now.
    pub(crate) fn next_delayed_attempt(&mut self, now: Instant) -> Option<PendingAttempt> {
        let index = self.delayed.iter().position(|(until, _)| *until <= now)?;
        let (_, attempt) = self.delayed.remove(index);
        Some(PendingAttempt { attempt, has_waited: true })
    }

    /// Removes and returns the attempt that has waited longest for capacity, if there is capacity now.
    pub(crate) fn next_waiting_attempt(&mut self) -> Option<PendingAttempt> {
        let has_capacity = self.connections.len() < self.max_connections || !self.idle.is_empty();
        if !has_capacity {
            return None;
        }
        let attempt = self.waiting.pop_front()?;
        Some(PendingAttempt { attempt, has_waited: false })
    }
}

/// Returns the idle time after which the host closes a connection, from the idle timeout of nodes (zero if the settings name none).
fn max_idle(node_idle_timeout: TimeDelta) -> TimeDelta {
    if node_idle_timeout > TimeDelta::ZERO {
        TimeDelta::from_secs(node_idle_timeout.secs() * IDLE_TIMEOUT_SHARE)
    } else {
        DEFAULT_MAX_IDLE
    }
}

/// Returns the result of an attempt that its node has not answered. As for an answer without a report, the service through other
/// hosts is 0.
fn unanswered(attempt: AttemptId, outcome: Outcome) -> AttemptResult {
    AttemptResult { peer_units: Some(0.0), ..AttemptResult::unanswered(attempt, outcome) }
}

#[cfg(test)]
mod tests;
