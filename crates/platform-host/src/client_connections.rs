//! The client connections. Each has at most one request open at a time. `reading` reads their bytes and parses requests. docs/crossings.md has a table of each connection state
//! against each event.

mod reading;

pub(crate) use reading::InputEnd;

use crate::client_connection::{ClientConnection, ConnectionState};
use crate::close_reason::{CloseReason, ExceededTimeout};
use crate::eviction::{eviction_order, EvictionCandidate};
use crate::poller::{Poller, Token, READ};
use crate::shutdown_schedule::ShutdownPhase;
use crate::sockets;
use std::collections::BTreeMap;
use std::net::TcpStream;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_http::Request;
use tackmast_platform::answer_head;

/// One in this many connections is reserved as a rejection slot, which answers a client without capacity with 503.
const CONNECTIONS_PER_REJECTION_SLOT: usize = 8;
/// Maximum number of rejection slots.
const MAX_REJECTION_SLOTS: usize = 16;

/// An event on a client connection.
pub(crate) enum ClientEvent {
    /// A request was received.
    Request(Request),
    /// A request was received, and its client may have sent more behind it that is read in the next iteration.
    UnreadInput,
    /// The client has disconnected; the number of its open request, if it had one.
    Disconnected(Option<u32>),
}

/// Counters of the client connections since the host started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that were closed to make room for a new one.
    pub evicted: u64,
    /// Connections and requests that were rejected for lack of capacity.
    pub rejected: u64,
    /// Requests that could not be parsed.
    pub bad: u64,
    /// Requests that were not complete in time.
    pub too_slow: u64,
    /// Connections on which a client pipelined more than the host keeps.
    pub pipelined_too_much: u64,
}

/// All client connections, and the limits on them.
pub(crate) struct ClientConnections {
    clients: BTreeMap<u32, ClientConnection>,
    last_id: u32,
    max_connections: usize,
    /// Number of connections beyond `max_connections`, which only get a rejection.
    rejection_slots: usize,
    max_buffered_bytes: usize,
    /// Number of bytes that are held for all connections.
    buffered_bytes: usize,
    /// Number of bytes that may still be read behind requests in this iteration, so that clients that send without end do not delay
    /// the others.
    read_ahead_budget: usize,
    /// The retry-after that rejected clients get; zero for none.
    retry_after: TimeDelta,
    /// Whether the host is shutting down, so that each answer is the last on its connection.
    is_shutting_down: bool,
    /// Counters since the host started.
    pub counters: ClientCounters,
}

impl ClientConnections {
    /// Creates a set of at most `max_connections` connections, including the rejection slots, whose buffers together hold at most
    /// `max_buffered_bytes`. Rejected clients get this `retry_after`; zero for none.
    pub(crate) fn new(max_connections: usize, max_buffered_bytes: usize, retry_after: TimeDelta) -> Self {
        let rejection_slots = (max_connections / CONNECTIONS_PER_REJECTION_SLOT).min(MAX_REJECTION_SLOTS);
        ClientConnections {
            clients: BTreeMap::new(),
            last_id: 0,
            max_connections: max_connections - rejection_slots,
            rejection_slots,
            max_buffered_bytes,
            buffered_bytes: 0,
            read_ahead_budget: reading::MAX_READ_AHEAD_PER_ITERATION,
            retry_after,
            is_shutting_down: false,
            counters: ClientCounters::default(),
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.clients.len()
    }

    /// Adds a connection that the listener accepted. If the limit is reached and no other connection can be evicted, the new one is answered
    /// with 503, or closed at once if no rejection slot is free.
    pub(crate) fn accepted(&mut self, now: Instant, poller: &Poller, stream: TcpStream) {
        let has_capacity = self.clients.len() < self.max_connections || self.evict_one(now);
        if !has_capacity && self.clients.len() >= self.max_connections + self.rejection_slots {
            self.counters.rejected += 1;
            return;
        }
        if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        self.last_id = self.last_id.wrapping_add(1);
        let id = self.last_id;
        if poller.add(&stream, Token::ClientConnection(id), READ).is_err() {
            return;
        }
        self.counters.accepted += 1;
        self.clients.insert(id, ClientConnection::new(now, stream));
        if !has_capacity {
            // The new client gets an answer and a half-close, as a reset would look like a failure of the host.
            self.counters.rejected += 1;
            self.close_with(now, poller, id, &CloseReason::NoConnectionCapacity);
        }
    }

    /// Closes one connection if any may be evicted, and returns whether it did. A connection with bytes in its socket is not evicted:
    /// they may be a request, which the client would lose.
    pub(crate) fn evict_one(&mut self, now: Instant) -> bool {
        let candidates = self.clients.iter().map(|(id, client)| EvictionCandidate {
            id: *id,
            class: client.eviction_class(now),
            since: client.since,
        });
        let order = eviction_order(candidates, self.max_connections);
        let has_no_input =
            |id: &u32| self.clients.get(id).is_some_and(|client| sockets::has_no_input(&client.stream));
        let Some(id) = order.into_iter().find(has_no_input) else { return false };
        self.counters.evicted += 1;
        self.remove(id);
        true
    }

    /// Removes and thereby closes a connection. Returns the number of its open request, if it has one.
    fn remove(&mut self, id: u32) -> Option<u32> {
        let open = self.open_request(id);
        let client = self.clients.remove(&id)?;
        self.buffered_bytes -= client.buffered_bytes;
        open
    }

    /// Returns the number of the open request of a connection, if it has one.
    pub(crate) fn open_request(&self, id: u32) -> Option<u32> {
        match self.clients.get(&id)?.state {
            ConnectionState::AwaitingResponse(request) => Some(request),
            _ => None,
        }
    }

    fn update_buffered_bytes(&mut self, id: u32) {
        if let Some(client) = self.clients.get_mut(&id) {
            let buffered_bytes = client.held_bytes();
            self.buffered_bytes = self.buffered_bytes - client.buffered_bytes + buffered_bytes;
            client.buffered_bytes = buffered_bytes;
        }
    }

    /// Returns whether the client of a connection has disconnected, as far as the system knows, even if the poller has not reported it in
    /// this iteration.
    pub(crate) fn has_disconnected(&self, id: u32) -> bool {
        self.clients.get(&id).is_none_or(|client| sockets::has_ended(&client.stream))
    }

    /// Removes the connection of a client that has disconnected.
    pub(crate) fn handle_disconnect(&mut self, id: u32) -> ClientEvent {
        ClientEvent::Disconnected(self.remove(id))
    }

    /// Records that a request of `request_bytes` was accepted; its connection now awaits the answer.
    pub(crate) fn request_accepted(&mut self, now: Instant, id: u32, request: u32, request_bytes: usize) {
        let is_reading = |client: &&mut ClientConnection| client.state == ConnectionState::Reading;
        if let Some(client) = self.clients.get_mut(&id).filter(is_reading) {
            client.state = ConnectionState::AwaitingResponse(request);
            client.has_sent_request = true;
            client.accepted_requests = client.accepted_requests.saturating_add(1);
            client.since = now;
            client.open_request_bytes = request_bytes;
            client.read_ahead_bytes = 0;
        }
        self.update_buffered_bytes(id);
    }

    /// Writes the last answer on a connection, with the reason why the host closes it.
    pub(crate) fn close_with(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        reason: &CloseReason,
    ) -> Option<ClientEvent> {
        if let Some(client) = self.clients.get_mut(&id) {
            (client.closes, client.received_request) = (true, None);
        }
        let status = reason.status();
        let retry_after = (status == 503 && self.retry_after > TimeDelta::ZERO).then_some(self.retry_after);
        self.answer(now, poller, id, status, reason.body().as_bytes(), retry_after)
    }

    /// Writes the answer to the request that is open on a connection, or was just read from it.
    pub(crate) fn answer(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        status: u16,
        body: &[u8],
        retry_after: Option<TimeDelta>,
    ) -> Option<ClientEvent> {
        let client = self.clients.get_mut(&id).filter(|client| !client.has_last_answer())?;
        let is_last = client.closes || self.is_shutting_down;
        let head = answer_head(status, body.len(), retry_after, is_last);
        client.open_request_bytes = 0;
        client.outgoing.reserve(head.len() + body.len());
        client.outgoing.extend_from_slice(head.as_bytes());
        client.outgoing.extend_from_slice(body);
        client.has_sent_request |= status == 200;
        client.state = if is_last { ConnectionState::Closing } else { ConnectionState::Reading };
        client.since = now;
        self.flush(now, poller, id)
    }

    fn flush(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<ClientEvent> {
        let client = self.clients.get_mut(&id)?;
        if sockets::write(&client.stream, &mut client.outgoing).is_err() {
            return Some(self.handle_disconnect(id));
        }
        if client.outgoing.is_empty() && client.state == ConnectionState::Closing {
            client.half_close(now);
        }
        self.update_interest(poller, id);
        self.update_buffered_bytes(id);
        None
    }

    /// Updates the poller to the events that the connection's state waits for.
    fn update_interest(&mut self, poller: &Poller, id: u32) {
        if let Some(client) = self.clients.get_mut(&id) {
            let wanted_interest = client.wanted_interest();
            if wanted_interest != client.interest {
                client.interest = wanted_interest;
                poller.change(&client.stream, Token::ClientConnection(id), wanted_interest);
            }
        }
    }

    /// Ends the connections that have exceeded a timeout. Returns connection and request of each that was closed with a request open.
    pub(crate) fn handle_timeout(&mut self, now: Instant, poller: &Poller) -> Vec<(u32, u32)> {
        let exceeded = |(id, client): (&u32, &ClientConnection)| Some((*id, client.exceeded_timeout(now)?));
        let expired: Vec<(u32, ExceededTimeout)> = self.clients.iter().filter_map(exceeded).collect();
        let mut closed = Vec::new();
        for (id, timeout) in expired {
            match timeout {
                ExceededTimeout::Linger => _ = self.remove(id),
                ExceededTimeout::Request => {
                    self.counters.too_slow += 1;
                    self.close_with(now, poller, id, &CloseReason::RequestTimeout);
                }
                ExceededTimeout::Write => closed.extend(self.remove(id).map(|open| (id, open))),
            }
        }
        closed
    }

    /// Enters a shutdown phase, `Closing` or later: from now on each answer is the last on its connection.
    pub(crate) fn begin_shutdown(&mut self, now: Instant, poller: &Poller, phase: ShutdownPhase) {
        self.is_shutting_down = true;
        let ids: Vec<u32> = self.clients.keys().copied().collect();
        for id in ids {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            if client.is_half_closed_by(phase, now) {
                client.half_close(now);
                self.update_interest(poller, id);
            } else if client.is_rejected_by(phase) {
                self.close_with(now, poller, id, &CloseReason::ShuttingDown);
            }
        }
    }
}

#[cfg(test)]
mod tests;
