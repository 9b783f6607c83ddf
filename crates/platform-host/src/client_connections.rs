//! Connections of clients: requests in turn, one open at a time on each. docs/crossings.md has each state of a connection
//! against each event that may come in it.

use crate::client_connection::{ClientConnection, ConnectionState};
use crate::eviction::{eviction_order, EvictionClass};
use crate::poller::{Poller, Ready, Token, READ};
use crate::sockets::{self, ReadOutcome};
use std::collections::BTreeMap;
use std::net::TcpStream;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_http::Request;
use tackmast_platform::answer_head;

/// Seconds within which a new client has to send its first request, well within what the platform allows for bad ones.
const FIRST_REQUEST_TIMEOUT: f64 = 2.5;
/// Seconds for the bytes of a later request: some clients write slowly.
const REQUEST_TIMEOUT: f64 = 5.0;
/// Seconds for which the host reads on after the last answer: a close over unread bytes would reset the connection and lose
/// the answer.
const LINGER_TIMEOUT: f64 = 0.5;
/// Bytes that are read and discarded after the last answer.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Bytes that are read ahead on a connection whose request is in flight: the end of a connection is seen only behind what came
/// before it. A client that sends more than this at once has its open request answered, and no more of them accepted.
const MAX_PIPELINED_BYTES: usize = 128 * 1024;
/// The share of all buffer memory that pipelined bytes may take.
const PIPELINED_BYTES_SHARE: f64 = 0.5;
/// Seconds after which a client that does not read its answer counts as gone.
const WRITE_TIMEOUT: f64 = 5.0;
/// One connection in so many is kept for telling clients that there is no capacity for theirs.
const REJECTION_SLOT_DIVISOR: usize = 8;
const MAX_REJECTION_SLOTS: usize = 16;

/// What became of a connection.
pub enum ClientEvent {
    /// A request was received.
    Request(Request),
    /// Its client has gone, with this request open.
    Gone(Option<u32>),
}

/// What happened to client connections since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that were closed to make place for a new one.
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
pub struct ClientConnections {
    clients: BTreeMap<u32, ClientConnection>,
    next: u32,
    max_connections: usize,
    rejection_slots: usize,
    bytes: usize,
    buffered_bytes: usize,
    retry_after: TimeDelta,
    /// The host is ending: each answer says so.
    pub shutting_down: bool,
    pub counters: ClientCounters,
}

impl ClientConnections {
    /// `max_connections` connections that together hold so many `bytes`; one that finds no capacity is told to `retry_after`.
    pub fn new(max_connections: usize, bytes: usize, retry_after: TimeDelta) -> Self {
        let rejection_slots = (max_connections / REJECTION_SLOT_DIVISOR).min(MAX_REJECTION_SLOTS);
        ClientConnections {
            clients: BTreeMap::new(),
            next: 0,
            max_connections: max_connections - rejection_slots,
            rejection_slots,
            bytes,
            buffered_bytes: 0,
            retry_after,
            shutting_down: false,
            counters: ClientCounters::default(),
        }
    }

    /// Connections that are open.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Takes in a connection that the listener accepted. Where no other may be evicted for it, it is answered with 503.
    pub fn accepted(&mut self, now: Instant, poller: &Poller, stream: TcpStream) {
        let has_capacity = self.clients.len() < self.max_connections || self.evict_one(now);
        if !has_capacity && self.clients.len() >= self.max_connections + self.rejection_slots {
            self.counters.rejected += 1;
            return;
        }
        if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        self.next = self.next.wrapping_add(1);
        let id = self.next;
        if poller.add(&stream, Token::ClientConnection(id), READ).is_err() {
            return;
        }
        self.counters.accepted += 1;
        self.clients.insert(id, ClientConnection::new(now, stream));
        if !has_capacity {
            // All have a request in flight. The new one is told, and read out, rather than reset.
            self.counters.rejected += 1;
            self.close_with(now, poller, id, 503, "no room for the connection now");
        }
    }

    /// One connection gives way, if any may: none with bytes in its socket, which may be a request that crosses.
    pub fn evict_one(&mut self, now: Instant) -> bool {
        let order = eviction_order(self.clients.iter().map(|(id, c)| (*id, c.eviction_class(now), c.since)));
        let quiet = |id: &u32| self.clients.get(id).is_some_and(|c| sockets::has_no_input(&c.stream));
        let id = order.into_iter().find(quiet);
        self.counters.evicted += u64::from(id.is_some());
        id.map(|id| self.remove(id)).is_some()
    }

    fn remove(&mut self, id: u32) -> Option<u32> {
        let client = self.clients.remove(&id)?;
        self.buffered_bytes -= client.buffered_bytes;
        match client.state {
            ConnectionState::AwaitingResponse(request) => Some(request),
            _ => None,
        }
    }

    fn update_buffered_bytes(&mut self, id: u32) {
        if let Some(c) = self.clients.get_mut(&id) {
            let buffered_bytes = c.reader.reserved_len();
            self.buffered_bytes = self.buffered_bytes - c.buffered_bytes + buffered_bytes;
            c.buffered_bytes = buffered_bytes;
        }
    }

    /// Whether the client of a connection has gone, whatever was told of it in this iteration.
    pub fn has_disconnected(&self, id: u32) -> bool {
        self.clients.get(&id).is_none_or(|c| sockets::has_ended(&c.stream))
    }

    /// The connection is over, with this request open.
    pub fn disconnected(&mut self, id: u32) -> ClientEvent {
        ClientEvent::Gone(self.remove(id))
    }

    /// The socket of a connection is ready.
    pub fn handle_ready(&mut self, now: Instant, poller: &Poller, id: u32, r: Ready) -> Option<ClientEvent> {
        let over = self.clients.get(&id)?.is_over();
        // Its client has ended the connection, or its sending: gone, with all that it asked for, also what came in the same
        // moment and was not read yet.
        if r.ended && !over {
            return Some(self.disconnected(id));
        }
        if r.write {
            if let Some(client_event) = self.flush(now, poller, id) {
                return Some(client_event);
            }
            if self.has_more(id) {
                return self.next_request(now, poller, id);
            }
        }
        if !r.read && !r.ended {
            return None;
        }
        let c = self.clients.get_mut(&id)?;
        let mut piece = [0; sockets::READ_CHUNK_BYTES];
        match sockets::read(&c.stream, &mut piece) {
            ReadOutcome::Nothing => return None,
            ReadOutcome::End | ReadOutcome::Failed => return Some(self.disconnected(id)),
            ReadOutcome::Bytes(n) if c.is_over() => {
                c.lingered_bytes += n;
                let done = c.lingered_bytes > MAX_LINGER_BYTES;
                return done.then(|| self.disconnected(id));
            }
            ReadOutcome::Bytes(n) => {
                if !c.reader.has_partial_request()
                    && c.state == ConnectionState::Reading
                    && c.has_sent_request
                {
                    c.since = now;
                }
                c.reader.push(&piece[..n]);
            }
        }
        self.update_buffered_bytes(id);
        let all = self.buffered_bytes as f64 > self.bytes as f64 * PIPELINED_BYTES_SHARE;
        let c = self.clients.get_mut(&id)?;
        if let ConnectionState::AwaitingResponse(_) = c.state {
            // What is pipelined is read, within bounds, so that an end behind it is seen.
            if all || c.reader.buffered_len() > MAX_PIPELINED_BYTES {
                c.closes = true;
                self.counters.pipelined_too_much += 1;
                self.update_interest(poller, id);
            }
            return None;
        }
        self.next_request(now, poller, id)
    }

    /// Whether a part of a request, or more, has been pipelined.
    pub fn has_more(&self, id: u32) -> bool {
        let may = |c: &ClientConnection| {
            c.state == ConnectionState::Reading && c.outgoing.is_empty() && c.reader.has_partial_request()
        };
        self.clients.get(&id).is_some_and(may)
    }

    /// The next request of a connection that none is open on.
    pub fn next_request(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<ClientEvent> {
        let c = self
            .clients
            .get_mut(&id)
            .filter(|c| c.state == ConnectionState::Reading && c.outgoing.is_empty())?;
        let next = c.reader.next_request();
        if c.reader.take_expects_continue() {
            c.outgoing.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            _ = sockets::write(&c.stream, &mut c.outgoing);
        }
        self.update_buffered_bytes(id);
        match next {
            Ok(Some(request)) => {
                let c = self.clients.get_mut(&id)?;
                c.closes = request.closes;
                Some(ClientEvent::Request(request))
            }
            Ok(None) if self.buffered_bytes > self.bytes => {
                self.counters.rejected += 1;
                self.close_with(now, poller, id, 503, "no room for the request now")
            }
            Ok(None) => {
                self.update_interest(poller, id);
                None
            }
            Err(bad) => {
                self.counters.bad += 1;
                self.close_with(now, poller, id, bad.status(), &bad.to_string())
            }
        }
    }

    /// A request was understood and taken: its connection is owed an answer.
    pub fn request_accepted(&mut self, now: Instant, id: u32, request: u32) {
        if let Some(c) = self.clients.get_mut(&id).filter(|c| c.state == ConnectionState::Reading) {
            (c.state, c.has_sent_request, c.since) = (ConnectionState::AwaitingResponse(request), true, now);
        }
    }

    /// The last answer on this connection.
    pub fn close_with(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        status: u16,
        why: &str,
    ) -> Option<ClientEvent> {
        if let Some(c) = self.clients.get_mut(&id) {
            c.closes = true;
        }
        let retry_after = (status == 503 && self.retry_after > TimeDelta::ZERO).then_some(self.retry_after);
        self.answer(now, poller, id, status, why.as_bytes(), retry_after)
    }

    /// The answer to the request that is open on a connection, or was just read on it.
    pub fn answer(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        status: u16,
        body: &[u8],
        retry_after: Option<TimeDelta>,
    ) -> Option<ClientEvent> {
        let shutting_down = self.shutting_down;
        let c = self.clients.get_mut(&id).filter(|c| !c.is_over())?;
        let last = c.closes || shutting_down;
        c.outgoing.extend_from_slice(answer_head(status, body.len(), retry_after, last).as_bytes());
        c.outgoing.extend_from_slice(body);
        c.has_sent_request |= status == 200;
        (c.state, c.since) = (if last { ConnectionState::Closing } else { ConnectionState::Reading }, now);
        self.flush(now, poller, id)
    }

    fn flush(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<ClientEvent> {
        let c = self.clients.get_mut(&id)?;
        if sockets::write(&c.stream, &mut c.outgoing).is_err() {
            return Some(self.disconnected(id));
        }
        if c.outgoing.is_empty() && c.state == ConnectionState::Closing {
            c.half_close(now);
        }
        self.update_interest(poller, id);
        None
    }

    /// Waits for what its state wants.
    fn update_interest(&mut self, poller: &Poller, id: u32) {
        if let Some(c) = self.clients.get_mut(&id) {
            let wanted_interest = c.wanted_interest();
            if wanted_interest != c.interest {
                c.interest = wanted_interest;
                poller.change(&c.stream, Token::ClientConnection(id), wanted_interest);
            }
        }
    }

    /// Time has passed: those that take too long. Gives those that have gone with a request open.
    pub fn handle_timeout(&mut self, now: Instant, poller: &Poller) -> Vec<(u32, u32)> {
        let mut client_gone = Vec::new();
        let all: Vec<(u32, EvictionClass, f64)> =
            self.clients.iter().map(|(id, c)| (*id, c.eviction_class(now), (now - c.since).secs())).collect();
        for (id, eviction_class, secs) in all {
            let Some(c) = self.clients.get(&id) else { continue };
            let writing = !c.outgoing.is_empty() && !matches!(c.state, ConnectionState::AwaitingResponse(_));
            match eviction_class {
                EvictionClass::Over if secs >= LINGER_TIMEOUT => _ = self.remove(id),
                EvictionClass::Silent if secs >= FIRST_REQUEST_TIMEOUT => self.too_slow(now, poller, id),
                EvictionClass::MidRequest if secs >= REQUEST_TIMEOUT => self.too_slow(now, poller, id),
                EvictionClass::Busy if writing && secs >= WRITE_TIMEOUT => {
                    client_gone.extend(self.remove(id).map(|open| (id, open)));
                }
                _ => {}
            }
        }
        client_gone
    }

    fn too_slow(&mut self, now: Instant, poller: &Poller, id: u32) {
        self.counters.too_slow += 1;
        self.close_with(now, poller, id, 408, "no whole request in time");
    }

    /// The host is ending: connections between requests are half-closed, one with bytes in its socket only once these are
    /// read, as they may be a request. `all`: also those that only just came, and what is in the middle of a request is
    /// told that there is no time for it.
    pub fn begin_shutdown(&mut self, now: Instant, poller: &Poller, all: bool) {
        self.shutting_down = true;
        let request_ids: Vec<u32> = self.clients.keys().copied().collect();
        for id in request_ids {
            let Some(c) = self.clients.get_mut(&id) else { continue };
            let young = c.eviction_class(now) == EvictionClass::New;
            if c.is_between_requests() && (all || !young && sockets::has_no_input(&c.stream)) {
                c.half_close(now);
                self.update_interest(poller, id);
            } else if all && c.state == ConnectionState::Reading && c.outgoing.is_empty() {
                self.close_with(now, poller, id, 503, "the host ends");
            }
        }
    }
}

#[cfg(test)]
mod tests;
