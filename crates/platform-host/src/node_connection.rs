//! One connection to a node, and what is counted of all of them.

use bytes::BytesMut;
use std::net::{SocketAddr, TcpStream};
use tackmast::interface::{Instant, NodeId};
use tackmast_host_core::{AttemptWork, SendAttempt};
use tackmast_http::ResponseReader;
use tackmast_platform::attempt_head;

/// Where a connection is in its protocol.
pub(crate) enum State {
    /// It must be established by `until`, for this attempt.
    Connecting { until: Instant, attempt: Box<SendAttempt> },
    /// The attempt is being written, or its answer is awaited.
    Busy { attempt: Box<SendAttempt>, outgoing: BytesMut, answer: Box<ResponseReader> },
    /// No attempt is on it.
    Idle,
}

/// An attempt that is to be sent.
pub(crate) struct PendingAttempt {
    /// The attempt.
    pub attempt: SendAttempt,
    /// It has waited for a connection to become reusable.
    pub has_waited: bool,
}

/// A connection to a node.
pub(crate) struct NodeConnection {
    /// The node.
    pub node: NodeId,
    /// Its address when the connection was opened.
    pub address: SocketAddr,
    /// The socket.
    pub stream: TcpStream,
    /// Where it is in its protocol.
    pub state: State,
}

/// What happened to connections to nodes since the start, for logs and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeConnectionCounters {
    /// Connections that were opened.
    pub opened: u64,
    /// Attempts that reused an idle connection.
    pub reused: u64,
    /// Answers that could not be parsed.
    pub malformed_answers: u64,
    /// Connections that ended under an attempt.
    pub reset: u64,
    /// Connections that could not be established, or not in time.
    pub connect_failures: u64,
    /// Attempts that were cancelled on a connection.
    pub cancelled: u64,
    /// Attempts that had to wait for a connection.
    pub waited: u64,
    /// Idle connections on which data arrived that nothing had asked for.
    pub unsolicited_data: u64,
    /// Connections that were established too late for their attempt to begin.
    pub deadline_passed: u64,
}

/// The bytes of an attempt's request to the node at this address.
pub(crate) fn request_bytes(now: Instant, address: SocketAddr, attempt: &SendAttempt) -> BytesMut {
    let attempt_head = attempt_head(address, attempt.deadline - now);
    let (head, body): (&[u8], &[u8]) = match &attempt.work {
        AttemptWork::Opaque(request) => (&request.head, &request.body),
        AttemptWork::Write { .. } | AttemptWork::Read { .. } => (&[], &[]),
    };
    let mut bytes = BytesMut::with_capacity(head.len() + attempt_head.len() + body.len());
    [head, attempt_head.as_bytes(), body].iter().for_each(|part| bytes.extend_from_slice(part));
    bytes
}
