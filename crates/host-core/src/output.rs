//! What the core makes its shell do, and its counters.

use crate::admin_request::AdminResponse;
use crate::attempt::{AttemptId, SendAttempt};
use crate::command::{CommandId, Verdict};
use crate::event::HostEvent;
use crate::persist_batch::PersistBatch;
use bytes::Bytes;
use tackmast::interface::NodeId;

/// What the shell is to do next.
#[derive(Clone, Debug)]
pub enum Output {
    /// Give an attempt to the connection to its node.
    Send(Box<SendAttempt>),
    /// Nobody waits for this attempt any more.
    Cancel {
        /// The node.
        node: NodeId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Nobody waits for this attempt any more, and its connection is still writing it to a node that may read nothing. What was not written
    /// by now must not be written later, so the connection is closed.
    Cut {
        /// The node.
        node: NodeId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer a client's command.
    Answer {
        /// The command.
        to: CommandId,
        /// The answer.
        verdict: Verdict,
    },
    /// Watch the endpoint list: ask for its changes since the version that is known.
    WatchEndpointList {
        /// The version that is known; 0 asks for the complete list.
        since: u64,
    },
    /// Ask for the complete endpoint list: a change is missing.
    FetchEndpointList,
    /// Write this durably, all of it or nothing, and then report that by `handle_persisted` under this number; 0: no report is wanted.
    Persist {
        /// The number of the report.
        request: u64,
        /// What is to be written.
        batch: PersistBatch,
    },
    /// Answer a request of an operator.
    AdminResponse {
        /// The number that the request came under.
        request: u64,
        /// The answer.
        response: AdminResponse,
    },
    /// Send a datagram to another host.
    Datagram {
        /// Its address.
        to: std::net::SocketAddr,
        /// The datagram.
        bytes: Bytes,
    },
    /// Something for the log; nothing is to be done.
    Event(HostEvent),
}

/// What happened since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Commands, and requests for objects, that clients have sent to this host.
    pub commands_received: u64,
    /// Those of them that were rejected because a table was full; also counted as rejected.
    pub commands_over_bound: u64,
    /// Commands that were answered as done.
    pub commands_done: u64,
    /// Commands that were answered as rejected, for whatever reason.
    pub commands_rejected: u64,
    /// Commands that were answered as failed.
    pub commands_failed: u64,
    /// Commands that their clients aborted, or whose connections closed, before the answer.
    pub commands_aborted: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts after the first of a request.
    pub retries: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Attempts withdrawn before their first byte was written.
    pub withdrawn: u64,
    /// Attempts whose connections were cut.
    pub cut: u64,
    /// Results that a node's connection reported for attempts that had ended before, as an answer after the time-out.
    pub late_results: u64,
    /// Answers of another length than was asked for.
    pub short_answers: u64,
    /// Nodes that did not fit the table.
    pub nodes_over_bound: u64,
}

/// Work in flight in a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// Commands of clients without a final answer.
    pub commands: usize,
    /// Requests of these commands.
    pub requests: usize,
    /// Attempts at nodes.
    pub attempts: usize,
}
