//! Attempts of requests, as the connections to nodes get them, and their results.

use crate::command::CommandRef;
use crate::placed::OpaqueRequest;
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
    /// A request as its client sent it; the host only places it.
    Opaque(OpaqueRequest),
}

/// An attempt among all that this host has out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// An attempt, for the connection to its node.
#[derive(Clone, Debug)]
pub struct SendAttempt {
    /// The node.
    pub node: NodeId,
    /// Its number among all attempts of this host.
    pub attempt: AttemptId,
    /// The request's number in this generation of the host, the attempt's within the request.
    pub request: u64,
    /// Its number within the request, from 0.
    pub attempt_number: u8,
    /// The command that it serves.
    pub from: CommandRef,
    /// Which part of the command.
    pub part: u16,
    /// When nobody waits for its answer any more.
    pub until: Instant,
    /// When a repeat may no longer be known for one: no first byte leaves from then on.
    pub begin_by: Option<Instant>,
    /// The idempotency key by which nodes recognise a retry; 0 where the traffic class has none.
    pub mark: u128,
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
pub enum Begin {
    /// It leaves now: claimed.
    Now,
    /// It was withdrawn, and has had its end.
    Withdrawn,
    /// Its time is over. It never leaves, and its link says that it never ran.
    TooLate,
}

impl SendAttempt {
    /// Asked by its link once it could write, which may be long after the attempt was decided: against a connection that comes
    /// up when nobody waits any more, and against a repeat that nodes no longer know for one.
    pub fn begin(&self, now: Instant) -> Begin {
        let over = self.until <= now || self.begin_by.is_some_and(|t| t <= now);
        match () {
            () if over && self.ticket.withdraw() => Begin::TooLate,
            () if !over && self.ticket.claim() => Begin::Now,
            () => Begin::Withdrawn,
        }
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
    pub elsewhere: Option<f64>,
    /// What was read.
    pub data: Bytes,
}
