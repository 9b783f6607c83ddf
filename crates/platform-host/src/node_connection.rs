//! One connection to a node, and what is counted of all of them.

use bytes::BytesMut;
use std::net::{SocketAddr, TcpStream};
use tackmast::interface::{Instant, NodeId};
use tackmast_host_core::SendAttempt;
use tackmast_http::ResponseReader;

/// Where a connection is in its protocol.
pub(crate) enum State {
    /// It must be established by `until`, for this attempt.
    Connecting { until: Instant, attempt: Box<SendAttempt> },
    /// The attempt is being written, or its answer is awaited.
    Busy { attempt: Box<SendAttempt>, outgoing: BytesMut, answer: Box<ResponseReader> },
    /// No attempt is on it.
    Idle,
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
