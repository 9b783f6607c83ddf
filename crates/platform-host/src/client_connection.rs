//! One connection of a client: its state, the bounds on it, and the events it waits for.

use crate::close_reason::ExceededTimeout;
use crate::eviction::{EvictionClass, IDLE_AFTER, NEW_CONNECTION_GRACE};
use crate::poller::{Interest, BOTH, READ, WRITE};
use crate::shutdown_schedule::ShutdownPhase;
use crate::sockets;
use bytes::BytesMut;
use std::net::{Shutdown, TcpStream};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_http::{Limits, RequestReader};

/// How long a new client may take for its first request, well within what the platform allows for bad clients.
const FIRST_REQUEST_TIMEOUT: TimeDelta = TimeDelta::from_millis(2500);
/// How long a client that has sent a valid request may take for the bytes of a later one: some clients write slowly.
const REQUEST_TIMEOUT: TimeDelta = TimeDelta::from_millis(5000);
/// How long a client may take to read its answer before it counts as gone.
const WRITE_TIMEOUT: TimeDelta = TimeDelta::from_millis(5000);
/// How long the host reads on after the last answer: a close over unread bytes would reset the connection and lose the answer.
pub(crate) const LINGER_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);
/// Bytes that are read and discarded after the last answer; beyond, the connection is closed.
pub(crate) const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Bytes that are read ahead while a request of the connection is in flight.
pub(crate) const MAX_PIPELINED_BYTES: usize = 128 * 1024;

/// A connection's state. It alternates between `Reading` and `AwaitingResponse`; from either it becomes `Closing`, then `HalfClosed`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// No request is open: one is awaited or partly received, or the answer to the one before is being written.
    Reading,
    /// The request of this number is in flight.
    AwaitingResponse(u32),
    /// The last answer is being written. Bytes that arrive are read and discarded.
    Closing,
    /// The host has ended its sending. Bytes that arrive are read and discarded until the client ends the connection too.
    HalfClosed,
}

/// One connection of a client.
pub(crate) struct ClientConnection {
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
    /// Since when it is in its eviction class.
    pub since: Instant,
    /// Bytes that its reader holds, as last counted.
    pub buffered_bytes: usize,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub(crate) fn new(now: Instant, stream: TcpStream) -> Self {
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
    pub(crate) fn eviction_class(&self, now: Instant) -> EvictionClass {
        let age = now - self.since;
        match self.state {
            ConnectionState::HalfClosed => EvictionClass::HalfClosed,
            ConnectionState::AwaitingResponse(_) | ConnectionState::Closing => EvictionClass::Busy,
            ConnectionState::Reading if !self.outgoing.is_empty() => EvictionClass::Busy,
            ConnectionState::Reading if !self.has_sent_request && age < NEW_CONNECTION_GRACE => {
                EvictionClass::New
            }
            ConnectionState::Reading if !self.has_sent_request => EvictionClass::Silent,
            ConnectionState::Reading if self.reader.has_partial_request() => EvictionClass::MidRequest,
            ConnectionState::Reading if age >= IDLE_AFTER => EvictionClass::Idle,
            ConnectionState::Reading => EvictionClass::RecentlyUsed,
        }
    }

    /// The time limit that the connection has exceeded, if any.
    pub(crate) fn exceeded_timeout(&self, now: Instant) -> Option<ExceededTimeout> {
        let age = now - self.since;
        // While a request is in flight, its own deadline ends it.
        let is_writing =
            !self.outgoing.is_empty() && !matches!(self.state, ConnectionState::AwaitingResponse(_));
        match self.eviction_class(now) {
            EvictionClass::HalfClosed if age >= LINGER_TIMEOUT => Some(ExceededTimeout::Linger),
            EvictionClass::Silent if age >= FIRST_REQUEST_TIMEOUT => Some(ExceededTimeout::Request),
            EvictionClass::MidRequest if age >= REQUEST_TIMEOUT => Some(ExceededTimeout::Request),
            EvictionClass::Busy if is_writing && age >= WRITE_TIMEOUT => Some(ExceededTimeout::Write),
            _ => None,
        }
    }

    /// Whether a shutdown in this phase half-closes the connection. A new connection stays until the shutdown has settled, as its first
    /// request is on its way. One with bytes in its socket stays until they are read: they may be a request, which its client would
    /// lose.
    pub(crate) fn is_half_closed_by(&self, phase: ShutdownPhase, now: Instant) -> bool {
        let is_settled = phase >= ShutdownPhase::Settled;
        let is_new = self.eviction_class(now) == EvictionClass::New;
        self.is_between_requests() && (is_settled || !is_new && sockets::has_no_input(&self.stream))
    }

    /// Whether a shutdown in this phase rejects the part of a request that the connection has received: there is no time left for it.
    pub(crate) fn is_rejected_by(&self, phase: ShutdownPhase) -> bool {
        phase >= ShutdownPhase::Settled && self.awaits_request() && !self.is_between_requests()
    }

    /// Takes in bytes of a request.
    pub(crate) fn push_bytes(&mut self, now: Instant, bytes: &[u8]) {
        let begins_request = self.state == ConnectionState::Reading && !self.reader.has_partial_request();
        // The time for a first request counts from the accept: a client that sends a byte now and then would otherwise hold a descriptor
        // without end.
        if begins_request && self.has_sent_request {
            self.since = now;
        }
        self.reader.push(bytes);
    }

    /// Counts bytes that were read and discarded after the last answer; whether they exceed the bound.
    pub(crate) fn discard_bytes(&mut self, len: usize) -> bool {
        self.lingered_bytes += len;
        self.lingered_bytes > MAX_LINGER_BYTES
    }

    /// Whether the client has sent more ahead of its turn than the host reads.
    pub(crate) fn has_pipelined_too_much(&self) -> bool {
        self.reader.buffered_len() > MAX_PIPELINED_BYTES
    }

    /// No request is open, and no answer is being written.
    pub(crate) fn awaits_request(&self) -> bool {
        self.state == ConnectionState::Reading && self.outgoing.is_empty()
    }

    /// Its last answer was given.
    pub(crate) fn has_last_answer(&self) -> bool {
        matches!(self.state, ConnectionState::Closing | ConnectionState::HalfClosed)
    }

    /// No request is open or partly received, and no answer is being written.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.awaits_request() && !self.reader.has_partial_request()
    }

    /// The socket events that its state waits for.
    pub(crate) fn wanted_interest(&self) -> Interest {
        match self.state {
            // A client that does not read its answers could fill the host's memory with them: its next request is read only once the
            // last answer is written.
            ConnectionState::Reading if !self.outgoing.is_empty() => WRITE,
            ConnectionState::Reading | ConnectionState::HalfClosed => READ,
            ConnectionState::AwaitingResponse(_) => {
                Interest { read: !self.closes, write: !self.outgoing.is_empty() }
            }
            ConnectionState::Closing => BOTH,
        }
    }

    /// The host ends its sending and reads on. A close over unread bytes would reset the connection, and the client would lose its last
    /// answer.
    pub(crate) fn half_close(&mut self, now: Instant) {
        _ = self.stream.shutdown(Shutdown::Write);
        (self.state, self.since) = (ConnectionState::HalfClosed, now);
    }
}
