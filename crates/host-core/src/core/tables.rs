//! Entries of the core's tables: open commands, their requests and the attempts in flight.

use crate::attempt::{AttemptId, AttemptWork};
use crate::combine::{KeySource, PartState};
use crate::command::CommandId;
use crate::fair_queueing::QueueTicket;
use crate::layout::Access;
use crate::ticket::Ticket;
use bytes::{Bytes, BytesMut};
use tackmast::interface::{Instant, NodeId, RequestId};

/// The part of a request that is the same in each of its attempts; see `SendAttempt` for the fields.
pub(super) struct AttemptPayload {
    pub key: u64,
    pub volume: u32,
    pub offset: u64,
    pub units: f64,
    pub work: AttemptWork,
}

impl AttemptPayload {
    /// Returns the length that an answer must have, in bytes, or `None` if only the node knows it.
    pub(super) fn answer_bytes(&self) -> Option<usize> {
        match &self.work {
            AttemptWork::Read { length } => Some(*length as usize),
            AttemptWork::Write { .. } => Some(0),
            AttemptWork::Opaque(_) => None,
        }
    }
}

/// Identifies an attempt within the core by its request and its number within the request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub request: RequestId,
    pub number: u32,
}

impl AttemptKey {
    pub(super) fn of(attempt: AttemptId) -> AttemptKey {
        AttemptKey { request: RequestId(attempt.request() as u32), number: attempt.number() }
    }

    pub(super) fn id(self) -> AttemptId {
        AttemptId::new(u64::from(self.request.0), self.number)
    }
}

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    pub number: u32,
    pub node: NodeId,
    pub sent_at: Instant,
    /// When the attempt times out.
    pub deadline: Instant,
    pub ticket: Ticket,
}

/// The command and part that a request belongs to, and the request's number in this generation of the host.
#[derive(Clone, Copy)]
pub(super) struct RequestIdentity {
    pub serial: u64,
    pub from: CommandId,
    pub part: u16,
}

/// A request that is unanswered or has attempts in flight.
pub(super) struct PendingRequest {
    pub identity: RequestIdentity,
    pub payload: AttemptPayload,
    pub traffic_class: usize,
    pub deadline: Instant,
    /// The number of attempts sent.
    pub attempts: u32,
    pub in_flight: Vec<InFlightAttempt>,
    /// The request's place in its fair queue, until its first attempt is sent; object requests have none.
    pub queue_ticket: Option<QueueTicket>,
    /// Whether an attempt that has ended may have had an effect.
    pub ended_attempt_may_have_run: bool,
    pub answered: bool,
}

impl PendingRequest {
    pub(super) fn new(
        identity: RequestIdentity,
        payload: AttemptPayload,
        traffic_class: usize,
        deadline: Instant,
        queue_ticket: Option<QueueTicket>,
    ) -> Self {
        PendingRequest {
            identity,
            payload,
            traffic_class,
            deadline,
            attempts: 0,
            in_flight: Vec::new(),
            queue_ticket,
            ended_attempt_may_have_run: false,
            answered: false,
        }
    }

    /// Returns whether an attempt, ended or in flight, may have had an effect.
    pub(super) fn may_have_run(&self) -> bool {
        self.ended_attempt_may_have_run || self.in_flight.iter().any(|attempt| attempt.ticket.is_claimed())
    }
}

/// One part of a command: its request, and the result once there is one.
pub(super) struct OpenPart {
    pub request: RequestId,
    pub state: Option<PartState>,
    pub data: Bytes,
}

impl OpenPart {
    pub(super) fn new(request: RequestId) -> Self {
        OpenPart { request, state: None, data: Bytes::new() }
    }
}

/// A command without a final answer.
pub(super) struct OpenCommand {
    pub parts: Vec<OpenPart>,
    pub traffic_class: usize,
    pub volume: usize,
    pub key_source: KeySource,
    pub bytes: usize,
    pub access: Access,
}

impl OpenCommand {
    pub(super) fn request_ids(&self) -> Vec<RequestId> {
        self.parts.iter().map(|part| part.request).collect()
    }

    /// Returns the data of a read in the order of the blocks. It is empty for a write.
    pub(super) fn answer_data(&self) -> Bytes {
        if self.access == Access::Write {
            return Bytes::new();
        }
        if let [only] = &self.parts[..] {
            return only.data.clone();
        }
        let mut all = BytesMut::with_capacity(self.bytes);
        self.parts.iter().for_each(|part| all.extend_from_slice(&part.data));
        all.freeze()
    }
}
