//! Connections of clients: their requests one after the other, one open at a time on each. docs/crossings.md has each state of a
//! connection against each event that it may meet.

use crate::client_connection::{ClientConnection, ConnectionState};
use crate::close_reason::{CloseReason, ExceededTimeout};
use crate::eviction::{eviction_order, EvictionCandidate};
use crate::poller::{Poller, Ready, Token, READ};
use crate::shutdown_schedule::ShutdownPhase;
use crate::sockets::{self, ReadOutcome};
use std::collections::BTreeMap;
use std::net::TcpStream;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_http::Request;
use tackmast_platform::answer_head;

/// The share of all buffer memory above which no connection is read ahead any more.
const PIPELINED_BYTES_SHARE: f64 = 0.5;
/// One connection in this many is reserved for rejecting clients for whose connection there is no capacity.
const CONNECTIONS_PER_REJECTION_SLOT: usize = 8;
/// The most connections that are reserved for that.
const MAX_REJECTION_SLOTS: usize = 16;

/// What became of a connection.
pub(crate) enum ClientEvent {
    /// A request was received.
    Request(Request),
    /// Its client has gone, with this request open.
    Disconnected(Option<u32>),
}

/// What happened to client connections since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that were closed for a new one.
    pub evicted: u64,
    /// Connections and requests for which there was no capacity.
    pub rejected: u64,
    /// Requests that could not be parsed.
    pub bad: u64,
    /// Requests that were not complete in time.
    pub too_slow: u64,
    /// Connections on which too much was pipelined.
    pub pipelined_too_much: u64,
}

/// All connections of clients, and the bounds on them.
pub(crate) struct ClientConnections {
    clients: BTreeMap<u32, ClientConnection>,
    last_id: u32,
    max_connections: usize,
    /// Connections beyond `max_connections` that only get a rejection.
    rejection_slots: usize,
    max_buffered_bytes: usize,
    /// Bytes that the readers of all connections hold.
    buffered_bytes: usize,
    /// The retry-after of a rejected client; zero: none.
    retry_after: TimeDelta,
    /// The host is shutting down: each answer is the last on its connection.
    is_shutting_down: bool,
    /// What happened since the start.
    pub counters: ClientCounters,
}

impl ClientConnections {
    /// At most `max_connections` connections, whose buffers together hold at most `max_buffered_bytes`. A rejected client gets
    /// this `retry_after`.
    pub(crate) fn new(max_connections: usize, max_buffered_bytes: usize, retry_after: TimeDelta) -> Self {
        let rejection_slots = (max_connections / CONNECTIONS_PER_REJECTION_SLOT).min(MAX_REJECTION_SLOTS);
        ClientConnections {
            clients: BTreeMap::new(),
            last_id: 0,
            max_connections: max_connections - rejection_slots,
            rejection_slots,
            max_buffered_bytes,
            buffered_bytes: 0,
            retry_after,
            is_shutting_down: false,
            counters: ClientCounters::default(),
        }
    }

    /// Connections that are open.
    pub(crate) fn len(&self) -> usize {
        self.clients.len()
    }

    /// Takes in a connection that the listener accepted. If no other may be evicted for it, it is answered with 503.
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
            // The new client is answered and its connection half-closed: a reset would look like a failure of the host.
            self.counters.rejected += 1;
            self.close_with(now, poller, id, &CloseReason::NoConnectionCapacity);
        }
    }

    /// Closes one connection, if any may be evicted; whether it did. A connection with bytes in its socket stays: they may be a request
    /// that was sent before the close, which its client would lose.
    pub(crate) fn evict_one(&mut self, now: Instant) -> bool {
        let candidates = self.clients.iter().map(|(id, client)| EvictionCandidate {
            id: *id,
            class: client.eviction_class(now),
            since: client.since,
        });
        let order = eviction_order(candidates);
        let has_no_input =
            |id: &u32| self.clients.get(id).is_some_and(|client| sockets::has_no_input(&client.stream));
        let Some(id) = order.into_iter().find(has_no_input) else { return false };
        self.counters.evicted += 1;
        self.remove(id);
        true
    }

    /// Forgets a connection, which closes it; the number of its open request, if it has one.
    fn remove(&mut self, id: u32) -> Option<u32> {
        let client = self.clients.remove(&id)?;
        self.buffered_bytes -= client.buffered_bytes;
        match client.state {
            ConnectionState::AwaitingResponse(request) => Some(request),
            _ => None,
        }
    }

    fn update_buffered_bytes(&mut self, id: u32) {
        if let Some(client) = self.clients.get_mut(&id) {
            let buffered_bytes = client.reader.reserved_len();
            self.buffered_bytes = self.buffered_bytes - client.buffered_bytes + buffered_bytes;
            client.buffered_bytes = buffered_bytes;
        }
    }

    /// Whether the client of a connection has gone, also where the poller has not reported it in this iteration.
    pub(crate) fn has_disconnected(&self, id: u32) -> bool {
        self.clients.get(&id).is_none_or(|client| sockets::has_ended(&client.stream))
    }

    /// The client of a connection has gone.
    pub(crate) fn handle_disconnect(&mut self, id: u32) -> ClientEvent {
        ClientEvent::Disconnected(self.remove(id))
    }

    /// The socket of a connection is ready.
    pub(crate) fn handle_ready(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        ready: Ready,
    ) -> Option<ClientEvent> {
        let has_last_answer = self.clients.get(&id)?.has_last_answer();
        // A client that ends the connection, or its sending, has gone with all its requests. This comes before any read: a request that
        // arrived in the same moment would otherwise be sent to a node although nobody waits for its answer.
        if ready.ended && !has_last_answer {
            return Some(self.handle_disconnect(id));
        }
        if ready.write {
            if let Some(client_event) = self.flush(now, poller, id) {
                return Some(client_event);
            }
            if self.has_more(id) {
                return self.next_request(now, poller, id);
            }
        }
        if !ready.read && !ready.ended {
            return None;
        }
        self.read(now, poller, id)
    }

    /// Reads one chunk from a connection.
    fn read(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<ClientEvent> {
        let client = self.clients.get_mut(&id)?;
        let mut chunk = [0; sockets::READ_CHUNK_BYTES];
        match sockets::read(&client.stream, &mut chunk) {
            ReadOutcome::Nothing => return None,
            ReadOutcome::End | ReadOutcome::Failed => return Some(self.handle_disconnect(id)),
            ReadOutcome::Bytes(len) if client.has_last_answer() => {
                return client.discard_bytes(len).then(|| self.handle_disconnect(id));
            }
            ReadOutcome::Bytes(len) => client.push_bytes(now, &chunk[..len]),
        }
        self.update_buffered_bytes(id);
        let client = self.clients.get(&id)?;
        if let ConnectionState::AwaitingResponse(_) = client.state {
            self.bound_pipelining(poller, id);
            return None;
        }
        self.next_request(now, poller, id)
    }

    /// Stops reading ahead on a connection whose request is in flight once it holds too much. Within the bound it is read ahead, because
    /// the end of a connection is seen only behind the bytes before it. Beyond, its open request is answered and no more accepted.
    fn bound_pipelining(&mut self, poller: &Poller, id: u32) {
        let pipelined_bytes_bound = self.max_buffered_bytes as f64 * PIPELINED_BYTES_SHARE;
        let all_hold_too_much = self.buffered_bytes as f64 > pipelined_bytes_bound;
        let Some(client) = self.clients.get_mut(&id) else { return };
        if all_hold_too_much || client.has_pipelined_too_much() {
            client.closes = true;
            self.counters.pipelined_too_much += 1;
            self.update_interest(poller, id);
        }
    }

    /// Whether a connection without an open request has received a part of the next one, or more.
    pub(crate) fn has_more(&self, id: u32) -> bool {
        let has_more =
            |client: &ClientConnection| client.awaits_request() && client.reader.has_partial_request();
        self.clients.get(&id).is_some_and(has_more)
    }

    /// The next request of a connection that has none open.
    pub(crate) fn next_request(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<ClientEvent> {
        let client = self.clients.get_mut(&id).filter(|client| client.awaits_request())?;
        let next = client.reader.next_request();
        if client.reader.take_expects_continue() {
            client.outgoing.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            _ = sockets::write(&client.stream, &mut client.outgoing);
        }
        self.update_buffered_bytes(id);
        match next {
            Ok(Some(request)) => {
                self.clients.get_mut(&id)?.closes = request.closes;
                Some(ClientEvent::Request(request))
            }
            Ok(None) if self.buffered_bytes > self.max_buffered_bytes => {
                self.counters.rejected += 1;
                self.close_with(now, poller, id, &CloseReason::NoBufferCapacity)
            }
            Ok(None) => {
                self.update_interest(poller, id);
                None
            }
            Err(error) => {
                self.counters.bad += 1;
                self.close_with(now, poller, id, &CloseReason::Malformed(error))
            }
        }
    }

    /// A request was understood and accepted: its connection awaits the answer.
    pub(crate) fn request_accepted(&mut self, now: Instant, id: u32, request: u32) {
        let is_reading = |client: &&mut ClientConnection| client.state == ConnectionState::Reading;
        if let Some(client) = self.clients.get_mut(&id).filter(is_reading) {
            client.state = ConnectionState::AwaitingResponse(request);
            client.has_sent_request = true;
            client.since = now;
        }
    }

    /// Gives the last answer on a connection: why the host ends it.
    pub(crate) fn close_with(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        reason: &CloseReason,
    ) -> Option<ClientEvent> {
        if let Some(client) = self.clients.get_mut(&id) {
            client.closes = true;
        }
        let status = reason.status();
        let retry_after = (status == 503 && self.retry_after > TimeDelta::ZERO).then_some(self.retry_after);
        self.answer(now, poller, id, status, reason.body().as_bytes(), retry_after)
    }

    /// The answer to the request that is open on a connection, or was just read on it.
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
        None
    }

    /// Makes the poller wait for what the connection's state wants.
    fn update_interest(&mut self, poller: &Poller, id: u32) {
        if let Some(client) = self.clients.get_mut(&id) {
            let wanted_interest = client.wanted_interest();
            if wanted_interest != client.interest {
                client.interest = wanted_interest;
                poller.change(&client.stream, Token::ClientConnection(id), wanted_interest);
            }
        }
    }

    /// Ends the connections that have exceeded a time limit. Gives those that were closed with a request open: connection and request.
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

    /// The host shuts down and has reached this phase, `Closing` or later: from now on each answer is the last on its connection.
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
