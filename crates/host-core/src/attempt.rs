//! Attempts of requests, as the connections to nodes receive them, and their results.

use crate::command::CommandId;
use crate::object_request::OpaqueRequest;
use crate::ticket::Ticket;
use bytes::Bytes;
use tackmast::interface::{Instant, NodeId, Outcome};

/// What a node is to do; lengths in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptWork {
    /// Bytes are read.
    Read {
        /// How many.
        length: u32,
    },
    /// Bytes are written.
    Write {
        /// The bytes.
        data: Bytes,
    },
    /// A request for an object, as its client sent it.
    Opaque(OpaqueRequest),
}

/// Names an attempt among all that this host has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// How many low bits of an `AttemptId` hold the number of the attempt; the bits above hold the request.
const ATTEMPT_NUMBER_BITS: u32 = 8;
/// Attempts of one request that their ids distinguish. One more would have the id of the first, and its answer would be dropped as a late one.
pub(crate) const MAX_ATTEMPTS: u32 = 1 << ATTEMPT_NUMBER_BITS;
/// Selects the number of the attempt in an `AttemptId`.
const ATTEMPT_NUMBER_MASK: u64 = (1 << ATTEMPT_NUMBER_BITS) - 1;

impl AttemptId {
    /// The name of a request's attempt; `number` counts the attempts of the request from 0, and its low bits are kept.
    pub fn new(request: u64, number: u32) -> AttemptId {
        AttemptId(request << ATTEMPT_NUMBER_BITS | u64::from(number) & ATTEMPT_NUMBER_MASK)
    }

    /// The number of its request.
    pub fn request(self) -> u64 {
        self.0 >> ATTEMPT_NUMBER_BITS
    }

    /// Its number within the request, from 0.
    pub fn number(self) -> u32 {
        (self.0 & ATTEMPT_NUMBER_MASK) as u32
    }
}

/// An attempt, for the connection to its node.
#[derive(Clone, Debug)]
pub struct SendAttempt {
    /// The node.
    pub node: NodeId,
    /// Its number among all attempts of this host.
    pub attempt: AttemptId,
    /// The request's number in this generation of the host.
    pub request: u64,
    /// The attempt's number within the request, from 0.
    pub attempt_number: u8,
    /// The command that it serves.
    pub from: CommandId,
    /// Which part of the command.
    pub part: u16,
    /// When nobody waits for its answer any more.
    pub deadline: Instant,
    /// From then on its first byte must not be written: the node may have forgotten the idempotency key of the first attempt, and would
    /// run the request a second time.
    pub begin_by: Option<Instant>,
    /// The idempotency key by which nodes recognise a retry; 0 where the traffic class has none.
    pub idempotency_key: u128,
    /// Order key; 0 where the traffic class needs no order.
    pub key: u64,
    /// The volume.
    pub volume: u32,
    /// Bytes from the volume's start.
    pub offset: u64,
    /// What it costs, in units.
    pub units: f64,
    /// What the node is to do.
    pub work: AttemptWork,
    /// Whether it may still be withdrawn.
    pub ticket: Ticket,
}

/// Whether an attempt's first byte may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// It is claimed, and is to be written now.
    Claimed,
    /// It was withdrawn, and has ended.
    Withdrawn,
    /// Its time is over. It is never written, and its connection reports that it did not run.
    TooLate,
}

impl SendAttempt {
    /// Whether the attempt's first byte may be written now. Its connection calls this once it can write, which may be long after the attempt
    /// was decided on: by then its client may have given up, or nodes may not recognise a retry any more.
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
    /// How it ended.
    pub outcome: Outcome,
    /// Requests waiting at the node, where it reported that.
    pub waiting: Option<u32>,
    /// Units that the node served for the volume through other hosts, where it reported that.
    pub peer_units: Option<f64>,
    /// What was read.
    pub data: Bytes,
}

impl AttemptResult {
    /// The end of an attempt that its node has not answered.
    pub fn unanswered(attempt: AttemptId, outcome: Outcome) -> AttemptResult {
        AttemptResult { attempt, outcome, waiting: None, peer_units: None, data: Bytes::new() }
    }
}
