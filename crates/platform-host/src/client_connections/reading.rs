//! Reading of client connections: requests, and what clients send while a request is open.

use super::{ClientConnections, ClientEvent};
use crate::client_connection::{ClientConnection, ConnectionState};
use crate::close_reason::CloseReason;
use crate::poller::{Poller, Ready};
use crate::sockets::{self, ReadOutcome};
use tackmast::interface::Instant;

/// Share of the buffer memory that may be in use before bytes that are read ahead are no longer kept.
const PIPELINED_BYTES_SHARE: f64 = 0.5;
/// Maximum number of bytes that are read ahead on a connection in one iteration while its request is in flight.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that are read behind a request before it is accepted; more than the socket buffers of both sides hold.
const MAX_ACCEPT_READ_AHEAD_BYTES: usize = 8 * 1024 * 1024;

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
        if let ConnectionState::AwaitingResponse(_) = client.state {
            return self.read_ahead(id, MAX_READ_AHEAD_BYTES);
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

    /// Reads what a client has sent behind a request that is open or about to be accepted, until nothing is left or `max_bytes` are read.
    /// A close is detected only after the bytes before it: if reading stopped, the close could stay behind them until the request is sent.
    fn read_ahead(&mut self, id: u32, max_bytes: usize) -> Option<ClientEvent> {
        let mut chunk = [0; sockets::READ_CHUNK_BYTES];
        let mut read_bytes = 0;
        while read_bytes < max_bytes {
            match sockets::read(&self.clients.get(&id)?.stream, &mut chunk) {
                ReadOutcome::Nothing => return None,
                ReadOutcome::End | ReadOutcome::Failed => return Some(self.handle_disconnect(id)),
                ReadOutcome::Bytes(len) => {
                    read_bytes += len;
                    self.keep_pipelined(id, &chunk[..len]);
                }
            }
        }
        None
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
        let has_more =
            |client: &ClientConnection| client.awaits_request() && client.reader.has_partial_request();
        self.clients.get(&id).is_some_and(has_more)
    }

    /// Parses the next request of a connection that has none open.
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
                // The client may have closed the connection long ago, behind bytes that the host could not read until now.
                let disconnected = self.read_ahead(id, MAX_ACCEPT_READ_AHEAD_BYTES);
                disconnected.or(Some(ClientEvent::Request(request)))
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
}
