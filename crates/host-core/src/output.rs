//! The outputs of the core, which its caller executes, and its counters.

use crate::admin_request::AdminResponse;
use crate::attempt::{AttemptId, SendAttempt};
use crate::command::{CommandId, Verdict};
use crate::event::HostEvent;
use crate::persist_batch::PersistBatch;
use bytes::Bytes;
use tackmast::interface::NodeId;

/// An action for the caller that drives the core.
#[derive(Clone, Debug)]
pub enum Output {
    /// Pass an attempt to the connection to its node.
    Send(Box<SendAttempt>),
    /// Cancel an attempt that nobody waits for any more.
    Cancel {
        /// The node.
        node: NodeId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close the connection of an attempt that nobody waits for any more and that is still being written.
    ///
    /// The node may read nothing at present. The bytes that are not written yet must not be written later.
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
    /// Watch the endpoint list for changes.
    WatchEndpointList {
        /// The version from which changes are requested; 0 requests the complete list.
        since: u64,
    },
    /// Fetch the complete endpoint list, since this host has missed changes or a peer has a newer list.
    FetchEndpointList,
    /// Write a batch durably and atomically, and then report the result to `Core::handle_persisted`.
    Persist {
        /// The number under which the result is reported; with 0 it is not reported.
        request: u64,
        /// The batch.
        batch: PersistBatch,
    },
    /// Answer an operator request.
    AdminResponse {
        /// The number that was passed to `Core::handle_admin_request`.
        request: u64,
        /// The response.
        response: AdminResponse,
    },
    /// Send a datagram to another host.
    Datagram {
        /// The address of the other host.
        to: std::net::SocketAddr,
        /// The datagram.
        bytes: Bytes,
    },
    /// Log an event.
    Event(HostEvent),
}

/// Counts of what has happened since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Block commands and object requests received from clients. All counters of commands include both.
    pub commands_received: u64,
    /// Commands rejected because a table was full; `commands_rejected` includes them.
    pub commands_over_bound: u64,
    /// Commands answered as done.
    pub commands_done: u64,
    /// Commands answered as rejected, for any reason.
    pub commands_rejected: u64,
    /// Commands answered as failed.
    pub commands_failed: u64,
    /// Commands aborted by their clients, or by the end of their sessions, before the answer.
    pub commands_aborted: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts after the first of a request.
    pub retries: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Attempts withdrawn before their first byte was written.
    pub withdrawn: u64,
    /// Attempts whose connections were closed while they were being written.
    pub cut: u64,
    /// Results of attempts that had ended before, for example answers after the timeout.
    pub late_results: u64,
    /// Answers whose length differs from the requested one.
    pub short_answers: u64,
    /// Times that a node of the endpoint list did not fit the table.
    pub nodes_over_bound: u64,
}

/// The amount of work in flight in a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// The number of client commands without a final answer.
    pub commands: usize,
    /// The number of requests that are unanswered or have attempts in flight.
    pub requests: usize,
    /// The number of attempts in flight at nodes.
    pub attempts: usize,
}
