//! What the core asks its shell to do, and what it counts.

use crate::attempt::{AttemptId, SendAttempt};
use crate::command::{CommandRef, Verdict};
use crate::override_requests::{AdminResponse, PersistBatch};
use bytes::Bytes;
use tackmast::interface::NodeId;

#[derive(Clone, Debug)]
pub enum Output {
    Send(Box<SendAttempt>),
    /// Nobody waits for this attempt any more.
    Cancel {
        node: NodeId,
        attempt: AttemptId,
    },
    /// The same, and its link is still writing it to a node that takes no bytes: what has not left by now must
    /// not leave later, so the connection ends here.
    Cut {
        node: NodeId,
        attempt: AttemptId,
    },
    Answer {
        to: CommandRef,
        verdict: Verdict,
    },
    /// Follow the node list from the version that is known.
    FollowList {
        since: u64,
    },
    /// Ask for the complete list: a change is missing.
    FetchList,
    /// To be written durably, all or nothing, and then told of by `kept` under this number; 0: no word is wanted.
    Persist {
        request: u64,
        batch: PersistBatch,
    },
    AdminResponse {
        request: u64,
        response: AdminResponse,
    },
    /// To another host.
    Datagram {
        to: std::net::SocketAddr,
        bytes: Bytes,
    },
    /// A change of mode, with its figures, and the node it is about.
    Log {
        node: Option<NodeId>,
        line: String,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub taken: u64,
    pub over_bound: u64,
    pub done: u64,
    pub rejected: u64,
    pub failed: u64,
    pub left: u64,
    pub attempts: u64,
    pub retries: u64,
    pub timed_out: u64,
    pub withdrawn: u64,
    pub cut: u64,
    pub strays: u64,
    pub short_answers: u64,
    pub nodes_over_bound: u64,
}
