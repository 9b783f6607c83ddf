//! The state of one connection to a node, and counters over all of them.

use bytes::BytesMut;
use std::net::{SocketAddr, TcpStream};
use tackmast::interface::{Instant, NodeId};
use tackmast_host_core::{AttemptWork, SendAttempt};
use tackmast_http::ResponseReader;
use tackmast_platform::attempt_head;

/// The protocol state of a connection.
pub(crate) enum State {
    /// The connection is being established for this attempt, until `until` at the latest.
    Connecting { until: Instant, attempt: Box<SendAttempt> },
    /// The attempt is being written, or the host waits for its answer.
    Busy { attempt: Box<SendAttempt>, outgoing: BytesMut, answer: Box<ResponseReader> },
    /// The connection carries no attempt.
    Idle,
}

/// An attempt to send.
pub(crate) struct PendingAttempt {
    /// The attempt.
    pub attempt: SendAttempt,
    /// Whether the attempt has already waited for a connection to become reusable.
    pub has_waited: bool,
}

/// A connection to a node.
pub(crate) struct NodeConnection {
    /// The node.
    pub node: NodeId,
    /// The address of the node when the connection was opened.
    pub address: SocketAddr,
    /// The socket.
    pub stream: TcpStream,
    /// The protocol state.
    pub state: State,
}

/// Counters of the connections to nodes since the host started, for logs and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeConnectionCounters {
    /// Connections that the host began to open.
    pub opened: u64,
    /// Attempts that reused an idle connection.
    pub reused: u64,
    /// Answers that could not be parsed.
    pub malformed_answers: u64,
    /// Connections that ended while they carried a completely written attempt without a complete answer.
    pub reset: u64,
    /// Connections that could not be established, or not in time.
    pub connect_failures: u64,
    /// Attempts that were cancelled after they had been assigned to a connection.
    pub cancelled: u64,
    /// Attempts that had to wait because all connections were in use.
    pub waited: u64,
    /// Idle connections that were closed because unsolicited data arrived on them.
    pub unsolicited_data: u64,
    /// Attempts that were not written because their time to begin had passed once a connection was available.
    pub deadline_passed: u64,
}

/// Serializes the request of an attempt for the node at this address.
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
