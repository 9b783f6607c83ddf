//! One connection of a client: its state, and what is waited for in it.

use crate::eviction::{EvictionClass, IDLE_AFTER, NEW_CONNECTION_GRACE};
use crate::poller::{Interest, BOTH, READ, WRITE};
use bytes::BytesMut;
use std::net::{Shutdown, TcpStream};
use tackmast::interface::Instant;
use tackmast_http::{Limits, RequestReader};

/// A connection's state. It goes from `Reading` to `AwaitingResponse` and back, and from either down for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No request is open: one is awaited, or a part of it is there, or the answer to the one before is being written.
    Reading,
    /// The request of this number is in flight.
    AwaitingResponse(u32),
    /// The last answer is being written. What comes is read and discarded.
    Closing,
    /// The host has ended its sending. What still comes is read and discarded until the client ends too.
    HalfClosed,
}

/// One connection of a client.
pub struct ClientConnection {
    /// Its socket.
    pub stream: TcpStream,
    /// Parses requests; holds the bytes that were read ahead.
    pub reader: RequestReader,
    /// Bytes that are still to be written.
    pub outgoing: BytesMut,
    /// What the poller waits for now.
    pub interest: Interest,
    /// Where it is in its protocol.
    pub state: ConnectionState,
    /// No request is accepted after the one that was read last.
    pub closes: bool,
    /// Bytes read and discarded after its last answer.
    pub lingered_bytes: usize,
    /// It has sent a valid request.
    pub has_sent_request: bool,
    /// When it came into its eviction class.
    pub since: Instant,
    /// Bytes that its reader holds, as last counted.
    pub buffered_bytes: usize,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(now: Instant, stream: TcpStream) -> Self {
        ClientConnection {
            stream,
            reader: RequestReader::new(Limits::default()),
            outgoing: BytesMut::new(),
            interest: READ,
            state: ConnectionState::Reading,
            closes: false,
            lingered_bytes: 0,
            has_sent_request: false,
            since: now,
            buffered_bytes: 0,
        }
    }

    /// How much its client would lose if it were closed.
    pub fn eviction_class(&self, now: Instant) -> EvictionClass {
        let secs = (now - self.since).secs();
        match self.state {
            ConnectionState::HalfClosed => EvictionClass::Over,
            ConnectionState::AwaitingResponse(_) | ConnectionState::Closing => EvictionClass::Busy,
            ConnectionState::Reading if !self.outgoing.is_empty() => EvictionClass::Busy,
            ConnectionState::Reading if !self.has_sent_request && secs < NEW_CONNECTION_GRACE => {
                EvictionClass::New
            }
            ConnectionState::Reading if !self.has_sent_request => EvictionClass::Silent,
            ConnectionState::Reading if self.reader.has_partial_request() => EvictionClass::MidRequest,
            ConnectionState::Reading if secs >= IDLE_AFTER => EvictionClass::Idle,
            ConnectionState::Reading => EvictionClass::RecentlyUsed,
        }
    }

    /// Its last answer was given.
    pub fn is_over(&self) -> bool {
        matches!(self.state, ConnectionState::Closing | ConnectionState::HalfClosed)
    }

    /// Nothing of a request is there, nor to be written.
    pub fn is_between_requests(&self) -> bool {
        self.state == ConnectionState::Reading
            && self.outgoing.is_empty()
            && !self.reader.has_partial_request()
    }

    /// What its state waits for.
    pub fn wanted_interest(&self) -> Interest {
        match self.state {
            // A client that does not read its answers has no more requests taken.
            ConnectionState::Reading if !self.outgoing.is_empty() => WRITE,
            ConnectionState::Reading | ConnectionState::HalfClosed => READ,
            ConnectionState::AwaitingResponse(_) => {
                Interest { read: !self.closes, write: !self.outgoing.is_empty() }
            }
            ConnectionState::Closing => BOTH,
        }
    }

    /// The host ends its sending: a close over bytes that are not read would reset the connection, and lose the answer.
    pub fn half_close(&mut self, now: Instant) {
        _ = self.stream.shutdown(Shutdown::Write);
        (self.state, self.since) = (ConnectionState::HalfClosed, now);
    }
}
