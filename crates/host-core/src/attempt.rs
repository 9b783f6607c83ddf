//! Attempts, as passed to the connections to nodes, and their results.

use crate::command::CommandId;
use crate::object_request::OpaqueRequest;
use crate::ticket::Ticket;
use bytes::Bytes;
use tackmast::interface::{Instant, NodeId, Outcome};

/// The operation that a node performs for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptWork {
    /// The node reads data.
    Read {
        /// The number of bytes.
        length: u32,
    },
    /// The node writes data.
    Write {
        /// The data.
        data: Bytes,
    },
    /// The node processes an object request as its client sent it.
    Opaque(OpaqueRequest),
}

/// Identifies an attempt among all that this host has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// The number of low bits of an `AttemptId` that hold the attempt's number. The bits above them hold the request.
const ATTEMPT_NUMBER_BITS: u32 = 8;
/// The maximum number of attempts of one request that their ids distinguish. One more would have the id of the first, and its answer would
/// be dropped as a late one.
pub(crate) const MAX_ATTEMPTS: u32 = 1 << ATTEMPT_NUMBER_BITS;
/// The mask of the attempt's number in an `AttemptId`.
const ATTEMPT_NUMBER_MASK: u64 = (1 << ATTEMPT_NUMBER_BITS) - 1;

impl AttemptId {
    /// Creates the id of a request's attempt. `number` counts the attempts of the request from 0, and its low 8 bits are used.
    pub fn new(request: u64, number: u32) -> AttemptId {
        AttemptId(request << ATTEMPT_NUMBER_BITS | u64::from(number) & ATTEMPT_NUMBER_MASK)
    }

    /// Returns the number of the request.
    pub fn request(self) -> u64 {
        self.0 >> ATTEMPT_NUMBER_BITS
    }

    /// Returns the attempt's number within the request, from 0.
    pub fn number(self) -> u32 {
        (self.0 & ATTEMPT_NUMBER_MASK) as u32
    }
}

/// An attempt to be written by the connection to its node.
#[derive(Clone, Debug)]
pub struct SendAttempt {
    /// The node.
    pub node: NodeId,
    /// The id of the attempt at this host.
    pub attempt: AttemptId,
    /// The request's number in this generation of the host.
    pub request: u64,
    /// The attempt's number within the request, from 0.
    pub attempt_number: u8,
    /// The command that the request belongs to.
    pub from: CommandId,
    /// The index of the part within the command.
    pub part: u16,
    /// The time from which nobody waits for the answer any more.
    pub deadline: Instant,
    /// The time from which the first byte must not be written, if there is one. By then the node may have forgotten the idempotency key of
    /// the first attempt, and would run the request a second time.
    pub begin_by: Option<Instant>,
    /// The idempotency key by which nodes recognise a retry; 0 if the traffic class has none.
    pub idempotency_key: u128,
    /// The order key; 0 if the traffic class is unordered.
    pub key: u64,
    /// The LUN of the volume, or the host's number for the volume of an object request.
    pub volume: u32,
    /// The offset from the start of the volume, in bytes; 0 for object requests.
    pub offset: u64,
    /// The cost, in units.
    pub units: f64,
    /// The operation that the node performs.
    pub work: AttemptWork,
    /// The state that decides whether the attempt is written or withdrawn.
    pub ticket: Ticket,
}

/// Whether the first byte of an attempt may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The connection has claimed the attempt and must write it now.
    Claimed,
    /// The attempt was withdrawn and has ended, so the connection reports nothing.
    Withdrawn,
    /// The attempt is too late and must never be written. The connection reports that it did not run.
    TooLate,
}

impl SendAttempt {
    /// Claims the attempt for its connection, unless it was withdrawn or is too late.
    ///
    /// The connection calls this when it can write, which may be long after the scheduler's decision. By then the client may have given
    /// up, or nodes may not recognise a retry any more.
    pub fn try_claim(&self, now: Instant) -> ClaimResult {
        let is_too_late = self.deadline <= now || self.begin_by.is_some_and(|begin_by| begin_by <= now);
        if is_too_late && self.ticket.withdraw() {
            return ClaimResult::TooLate;
        }
        if !is_too_late && self.ticket.claim() {
            return ClaimResult::Claimed;
        }
        ClaimResult::Withdrawn
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The attempt.
    pub attempt: AttemptId,
    /// The outcome.
    pub outcome: Outcome,
    /// The number of requests waiting at the node, if it reported that.
    pub waiting: Option<u32>,
    /// The units that the node served for the volume through other hosts, if it reported that.
    pub peer_units: Option<f64>,
    /// The data of a read, or the answer to an object request.
    pub data: Bytes,
}

impl AttemptResult {
    /// Creates the result of an attempt that its node did not answer.
    pub fn unanswered(attempt: AttemptId, outcome: Outcome) -> AttemptResult {
        AttemptResult { attempt, outcome, waiting: None, peer_units: None, data: Bytes::new() }
    }
}
