//! One client connection: its state, its limits, and the socket events that it waits for.

use crate::close_reason::ExceededTimeout;
use crate::eviction::{EvictionClass, ESTABLISHED_AFTER_REQUESTS, IDLE_AFTER, NEW_CONNECTION_GRACE};
use crate::poller::{Interest, BOTH, READ, WRITE};
use crate::shutdown_schedule::ShutdownPhase;
use crate::sockets;
use bytes::BytesMut;
use std::net::{Shutdown, TcpStream};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_http::{Limits, Request, RequestReader};

/// Time that a new client has for its first request; well within the time that the platform allows for closing bad clients.
const FIRST_REQUEST_TIMEOUT: TimeDelta = TimeDelta::from_millis(2500);
/// After its first valid request, a client has this long to send each further request, counted from the first byte. Some clients write
/// slowly.
const REQUEST_TIMEOUT: TimeDelta = TimeDelta::from_millis(5000);
/// Time that a client has to read its answer before it counts as disconnected.
const WRITE_TIMEOUT: TimeDelta = TimeDelta::from_millis(5000);
/// Time for which the host continues to read after the last answer. Closing a socket with unread bytes would reset the connection, and
/// the client would lose the answer.
pub(crate) const LINGER_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);
/// Maximum number of bytes that are read and discarded after the last answer; beyond it the connection is closed.
pub(crate) const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Maximum number of bytes that are read ahead and kept while a request of the connection is in flight. Further bytes are discarded.
pub(crate) const MAX_PIPELINED_BYTES: usize = 128 * 1024;

/// The state of a connection. It alternates between `Reading` and `AwaitingResponse`; from either it changes to `Closing`, then to
/// `HalfClosed`. A connection between requests is also half-closed directly from `Reading`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// No request is open: the next one is awaited or partly received, or the previous answer is being written.
    Reading,
    /// The request with this number is in flight.
    AwaitingResponse(u32),
    /// The last answer is being written. Bytes that arrive are read and discarded.
    Closing,
    /// The host has shut down its sending side. Bytes that arrive are read and discarded until the client closes the connection too.
    HalfClosed,
}

pub(crate) struct ClientConnection {
    pub stream: TcpStream,
    /// The parser of requests, which holds the bytes that were read ahead.
    pub reader: RequestReader,
    /// A request that was received completely, until all that its client has sent behind it is read.
    pub received_request: Option<Request>,
    /// Number of bytes that were read behind the request that is open or received.
    pub read_ahead_bytes: usize,
    /// The bytes that are still to be written.
    pub outgoing: BytesMut,
    /// The events that the poller waits for now.
    pub interest: Interest,
    pub state: ConnectionState,
    /// Whether the next answer is the last on the connection; no further request is accepted.
    pub closes: bool,
    /// Number of bytes that were read and discarded after the last answer.
    pub lingered_bytes: usize,
    /// Whether the client has sent a valid request.
    pub has_sent_request: bool,
    /// Number of requests that were accepted on the connection.
    pub accepted_requests: u32,
    /// The time from which timeouts and eviction count: the last of accept, the first byte of a later request, the acceptance of a request,
    /// its answer, and the half-close.
    pub since: Instant,
    /// Number of bytes of the open request that the host holds until it is answered.
    pub open_request_bytes: usize,
    /// Number of bytes that are held for the connection, as last counted.
    pub buffered_bytes: usize,
}

impl ClientConnection {
    /// Creates the state of a connection that was just accepted.
    pub(crate) fn new(now: Instant, stream: TcpStream) -> Self {
        ClientConnection {
            stream,
            reader: RequestReader::new(Limits::default()),
            received_request: None,
            read_ahead_bytes: 0,
            outgoing: BytesMut::new(),
            interest: READ,
            state: ConnectionState::Reading,
            closes: false,
            lingered_bytes: 0,
            has_sent_request: false,
            accepted_requests: 0,
            since: now,
            open_request_bytes: 0,
            buffered_bytes: 0,
        }
    }

    /// Returns the number of bytes that are held for the connection: what its reader holds, its open request, and its unread answer.
    pub(crate) fn held_bytes(&self) -> usize {
        let received = self.received_request.as_ref().map_or(0, |request| request.body.len());
        self.reader.reserved_len() + received + self.open_request_bytes + self.outgoing.capacity()
    }

    /// Returns the eviction class, which ranks how much the client would lose if the connection were closed.
    pub(crate) fn eviction_class(&self, now: Instant) -> EvictionClass {
        let is_established = self.accepted_requests >= ESTABLISHED_AFTER_REQUESTS;
        match self.progress(now) {
            EvictionClass::RecentlyUsed | EvictionClass::MidRequest if is_established => {
                EvictionClass::Established
            }
            progress => progress,
        }
    }

    /// Returns the eviction class without regard to earlier requests.
    fn progress(&self, now: Instant) -> EvictionClass {
        let age = now - self.since;
        match self.state {
            ConnectionState::HalfClosed => EvictionClass::HalfClosed,
            ConnectionState::AwaitingResponse(_) | ConnectionState::Closing => EvictionClass::Busy,
            ConnectionState::Reading if !self.outgoing.is_empty() || self.received_request.is_some() => {
                EvictionClass::Busy
            }
            ConnectionState::Reading if !self.has_sent_request && age < NEW_CONNECTION_GRACE => {
                EvictionClass::New
            }
            ConnectionState::Reading if !self.has_sent_request => EvictionClass::Silent,
            ConnectionState::Reading if self.reader.has_partial_request() => EvictionClass::MidRequest,
            ConnectionState::Reading if age >= IDLE_AFTER => EvictionClass::Idle,
            ConnectionState::Reading => EvictionClass::RecentlyUsed,
        }
    }

    /// Returns the timeout that the connection has exceeded, if any.
    pub(crate) fn exceeded_timeout(&self, now: Instant) -> Option<ExceededTimeout> {
        let age = now - self.since;
        // A request in flight is ended by its own deadline.
        let is_writing =
            !self.outgoing.is_empty() && !matches!(self.state, ConnectionState::AwaitingResponse(_));
        match self.progress(now) {
            EvictionClass::HalfClosed if age >= LINGER_TIMEOUT => Some(ExceededTimeout::Linger),
            EvictionClass::Silent if age >= FIRST_REQUEST_TIMEOUT => Some(ExceededTimeout::Request),
            EvictionClass::MidRequest if age >= REQUEST_TIMEOUT => Some(ExceededTimeout::Request),
            EvictionClass::Busy if is_writing && age >= WRITE_TIMEOUT => Some(ExceededTimeout::Write),
            _ => None,
        }
    }

    /// Returns whether a shutdown in this phase half-closes the connection. A new connection stays open until `Settled`, as its first
    /// request is on its way. A connection with bytes in its socket stays open until they are read: they may be a request, which the
    /// client would lose.
    pub(crate) fn is_half_closed_by(&self, phase: ShutdownPhase, now: Instant) -> bool {
        let is_settled = phase >= ShutdownPhase::Settled;
        let is_new = self.progress(now) == EvictionClass::New;
        self.is_between_requests() && (is_settled || !is_new && sockets::has_no_input(&self.stream))
    }

    /// Returns whether a shutdown in this phase rejects the partial request that the connection has received, as no time is left for it.
    pub(crate) fn is_rejected_by(&self, phase: ShutdownPhase) -> bool {
        phase >= ShutdownPhase::Settled && self.awaits_request() && !self.is_between_requests()
    }

    /// Adds received bytes to the parser of requests.
    pub(crate) fn push_bytes(&mut self, now: Instant, bytes: &[u8]) {
        let begins_request = self.state == ConnectionState::Reading && !self.reader.has_partial_request();
        // The timeout of the first request counts from accept: a client that sends a byte now and then would otherwise hold a
        // descriptor indefinitely.
        if begins_request && self.has_sent_request {
            self.since = now;
        }
        self.reader.push(bytes);
    }

    /// Counts bytes that were discarded after the last answer, and returns whether they exceed [`MAX_LINGER_BYTES`].
    pub(crate) fn discard_exceeds_limit(&mut self, len: usize) -> bool {
        self.lingered_bytes += len;
        self.lingered_bytes > MAX_LINGER_BYTES
    }

    /// Returns whether the client has pipelined more than [`MAX_PIPELINED_BYTES`].
    pub(crate) fn has_pipelined_too_much(&self) -> bool {
        self.reader.buffered_len() > MAX_PIPELINED_BYTES
    }

    /// Makes the next answer the last one, and drops the bytes that were read ahead, as no further request is accepted.
    pub(crate) fn close_after_answer(&mut self) {
        self.closes = true;
        self.reader = RequestReader::new(Limits::default());
    }

    /// Returns whether no request is open and no answer is being written.
    pub(crate) fn awaits_request(&self) -> bool {
        self.state == ConnectionState::Reading && self.outgoing.is_empty()
    }

    /// Returns whether no further answer can be given: the last one is being or has been written, or the connection is half-closed.
    pub(crate) fn has_last_answer(&self) -> bool {
        matches!(self.state, ConnectionState::Closing | ConnectionState::HalfClosed)
    }

    /// Returns whether no request is open or partly received, and no answer is being written.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.awaits_request() && !self.has_input()
    }

    /// Returns whether a request is open, or was received completely.
    pub(crate) fn has_complete_request(&self) -> bool {
        matches!(self.state, ConnectionState::AwaitingResponse(_)) || self.received_request.is_some()
    }

    /// Returns whether at least a part of a request was received that is not open yet.
    pub(crate) fn has_input(&self) -> bool {
        self.received_request.is_some() || self.reader.has_partial_request()
    }

    /// Returns the socket events that the state waits for.
    pub(crate) fn wanted_interest(&self) -> Interest {
        match self.state {
            // A client that does not read its answers could fill the host's memory with them, so its next request is read only once
            // the previous answer is written.
            ConnectionState::Reading if !self.outgoing.is_empty() => WRITE,
            ConnectionState::Reading | ConnectionState::HalfClosed => READ,
            // Reading never stops while a request is open: the close of the client may be behind any number of bytes.
            ConnectionState::AwaitingResponse(_) => Interest { read: true, write: !self.outgoing.is_empty() },
            ConnectionState::Closing => BOTH,
        }
    }

    /// Shuts down the sending side; the host continues to read. Closing a socket with unread bytes would reset the connection, and the
    /// client would lose its last answer.
    pub(crate) fn half_close(&mut self, now: Instant) {
        _ = self.stream.shutdown(Shutdown::Write);
        (self.state, self.since) = (ConnectionState::HalfClosed, now);
    }
}
