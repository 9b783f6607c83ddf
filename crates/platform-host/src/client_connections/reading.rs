//! Reading of client connections: requests, and what clients send while a request is open.

use super::{ClientConnections, ClientEvent};
use crate::client_connection::ClientConnection;
use crate::close_reason::CloseReason;
use crate::poller::{Poller, Ready};
use crate::sockets::{self, ReadOutcome};
use tackmast::interface::Instant;

/// Share of the buffer memory that may be in use before bytes that are read ahead are no longer kept.
const PIPELINED_BYTES_SHARE: f64 = 0.5;
/// Maximum number of bytes that are read on a connection when it is ready while its request is in flight.
const MAX_READ_AHEAD_WHEN_READY: usize = 64 * 1024;
/// Maximum number of bytes that are read in one iteration before requests are accepted and before attempts begin, on all connections.
pub(super) const MAX_READ_AHEAD_PER_ITERATION: usize = 1024 * 1024;
/// Maximum number of bytes that a client may send behind a request; more than the socket buffers of both sides hold. Beyond it the host
/// can't tell a close behind them from a client that sends without end, and begins no attempt.
pub(crate) const MAX_READ_AHEAD_BYTES: usize = 16 * 1024 * 1024;

/// What was found behind the request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InputEnd {
    /// All that the client has sent was read, and it has not closed the connection.
    Drained,
    /// More may be unread: the budget of the iteration is used up.
    Unread,
    /// More may be unread, and the client has sent more than [`MAX_READ_AHEAD_BYTES`].
    TooLong,
    /// The client has closed the connection or its sending side.
    Closed,
}

impl ClientConnections {
    /// Handles a ready socket of a connection.
    pub(crate) fn handle_ready(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        ready: Ready,
    ) -> Option<ClientEvent> {
        let has_last_answer = self.clients.get(&id)?.has_last_answer();
        // A client that closes the connection, or its sending side, cancels all its requests. This is checked before any read: a
        // request that arrived at the same moment would otherwise be sent to a node although nobody waits for its answer.
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

    /// Reads one chunk from a connection, or more while a request is open.
    fn read(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<ClientEvent> {
        let client = self.clients.get_mut(&id)?;
        if client.has_complete_request() {
            return self.read_ahead(id, MAX_READ_AHEAD_WHEN_READY);
        }
        let mut chunk = [0; sockets::READ_CHUNK_BYTES];
        match sockets::read(&client.stream, &mut chunk) {
            ReadOutcome::Nothing => return None,
            ReadOutcome::End | ReadOutcome::Failed => return Some(self.handle_disconnect(id)),
            ReadOutcome::Bytes(len) if client.has_last_answer() => {
                return client.discard_exceeds_limit(len).then(|| self.handle_disconnect(id));
            }
            ReadOutcome::Bytes(len) => client.push_bytes(now, &chunk[..len]),
        }
        self.update_buffered_bytes(id);
        self.next_request(now, poller, id)
    }

    /// Starts an iteration of the event loop, which has a budget of its own for reading behind requests.
    pub(crate) fn begin_iteration(&mut self) {
        self.read_ahead_budget = MAX_READ_AHEAD_PER_ITERATION;
    }

    /// Reads what a client has sent behind a request that is open, at most `max_bytes`. A close is detected only after the bytes before it:
    /// if reading stopped, the close could stay behind them until the request is sent.
    fn read_ahead(&mut self, id: u32, max_bytes: usize) -> Option<ClientEvent> {
        let mut budget = max_bytes;
        match self.drain_input(id, &mut budget) {
            InputEnd::Closed => Some(self.handle_disconnect(id)),
            InputEnd::Drained | InputEnd::Unread | InputEnd::TooLong => None,
        }
    }

    /// Reads all that a client has sent behind its request, before an attempt of it begins. The poller may not have reported a close in this
    /// iteration, and the close may be behind bytes that are not read yet.
    pub(crate) fn drain_before_attempt(&mut self, id: u32) -> InputEnd {
        if self.has_disconnected(id) {
            return InputEnd::Closed;
        }
        // The request of an attempt that was withdrawn may be over, and the client may be sending its next one.
        if !self.clients.get(&id).is_some_and(ClientConnection::has_complete_request) {
            return InputEnd::Drained;
        }
        let mut budget = self.read_ahead_budget;
        let end = self.drain_input(id, &mut budget);
        self.read_ahead_budget = budget;
        let read_ahead_bytes = self.clients.get(&id).map_or(0, |client| client.read_ahead_bytes);
        match end {
            InputEnd::Unread if read_ahead_bytes > MAX_READ_AHEAD_BYTES => InputEnd::TooLong,
            end => end,
        }
    }

    /// Reads and keeps or discards the input of a connection until nothing is left or `budget`, which it reduces, is used up.
    fn drain_input(&mut self, id: u32, budget: &mut usize) -> InputEnd {
        let mut chunk = [0; sockets::READ_CHUNK_BYTES];
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return InputEnd::Closed };
            if *budget == 0 {
                return if sockets::has_no_input(&client.stream) {
                    InputEnd::Drained
                } else {
                    InputEnd::Unread
                };
            }
            match sockets::read(&client.stream, &mut chunk) {
                ReadOutcome::Nothing => return InputEnd::Drained,
                ReadOutcome::End | ReadOutcome::Failed => return InputEnd::Closed,
                ReadOutcome::Bytes(len) => {
                    client.read_ahead_bytes += len;
                    *budget = budget.saturating_sub(len);
                    self.keep_pipelined(id, &chunk[..len]);
                }
            }
        }
    }

    /// Keeps bytes that were read ahead. Once the connection's buffer, or all buffers together, exceed a limit, the open request is the last
    /// one of its connection, and these bytes and all further ones are discarded.
    fn keep_pipelined(&mut self, id: u32, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&id).filter(|client| !client.closes) else { return };
        client.reader.push(bytes);
        let has_pipelined_too_much = client.has_pipelined_too_much();
        self.update_buffered_bytes(id);
        let pipelined_bytes_bound = self.max_buffered_bytes as f64 * PIPELINED_BYTES_SHARE;
        if has_pipelined_too_much || self.buffered_bytes as f64 > pipelined_bytes_bound {
            self.counters.pipelined_too_much += 1;
            self.clients.entry(id).and_modify(ClientConnection::close_after_answer);
            self.update_buffered_bytes(id);
        }
    }

    /// Returns whether a connection without an open request has received at least a part of the next one.
    pub(crate) fn has_more(&self, id: u32) -> bool {
        let has_more = |client: &ClientConnection| client.awaits_request() && client.has_input();
        self.clients.get(&id).is_some_and(has_more)
    }

    /// Returns the next request of a connection that has none open, once all that its client has sent behind it is read.
    pub(crate) fn next_request(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<ClientEvent> {
        let client = self.clients.get_mut(&id).filter(|client| client.awaits_request())?;
        if client.received_request.is_some() {
            return self.accept_received(now, poller, id);
        }
        let next = client.reader.next_request();
        if client.reader.take_expects_continue() {
            client.outgoing.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            _ = sockets::write(&client.stream, &mut client.outgoing);
        }
        self.update_buffered_bytes(id);
        match next {
            Ok(Some(request)) => {
                let client = self.clients.get_mut(&id)?;
                (client.closes, client.read_ahead_bytes) = (request.closes, 0);
                client.received_request = Some(request);
                self.accept_received(now, poller, id)
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

    /// Returns the request that a connection has received, unless its client has closed the connection behind it. If the budget of the
    /// iteration is used up before that is certain, the request stays where it is.
    fn accept_received(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<ClientEvent> {
        match self.drain_before_attempt(id) {
            InputEnd::Drained => {
                let request = self.clients.get_mut(&id)?.received_request.take()?;
                Some(ClientEvent::Request(request))
            }
            InputEnd::Unread => Some(ClientEvent::UnreadInput),
            InputEnd::TooLong => {
                self.clients.get_mut(&id)?.received_request = None;
                self.counters.bad += 1;
                self.close_with(now, poller, id, &CloseReason::TooMuchInput)
            }
            InputEnd::Closed => Some(self.handle_disconnect(id)),
        }
    }
}
