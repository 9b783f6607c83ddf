//! What the core remembers of open commands, their requests and the attempts in flight.

use super::*;

/// What every attempt of a request says.
pub(super) struct AttemptPayload {
    pub key: u64,
    pub volume: u32,
    pub offset: u64,
    pub units: f64,
    pub work: AttemptWork,
}

impl AttemptPayload {
    /// How many bytes an answer must bring; none: only its node knows.
    pub(super) fn wanted(&self) -> Option<usize> {
        match &self.work {
            AttemptWork::Read { length } => Some(*length as usize),
            AttemptWork::Write { .. } => Some(0),
            AttemptWork::Opaque(_) => None,
        }
    }
}

/// An attempt that has not had its end.
pub(super) struct InFlightAttempt {
    pub no: u32,
    pub node: NodeId,
    pub sent: Instant,
    pub until: Instant,
    pub ticket: Ticket,
}

/// Which part of which command a request serves, and its number in this generation of the host.
#[derive(Clone, Copy)]
pub(super) struct RequestIdentity {
    pub serial: u64,
    pub from: CommandRef,
    pub part: u16,
}

/// A request that has no answer yet, or attempts in flight.
pub(super) struct PendingRequest {
    pub identity: RequestIdentity,
    pub payload: AttemptPayload,
    pub traffic_class: usize,
    pub deadline: Instant,
    pub attempts: u32,
    pub out: Vec<InFlightAttempt>,
    /// Its place among its session's requests, until its first attempt leaves.
    pub queue_ticket: Option<QueueTicket>,
    /// Whether an attempt may have had an effect; those that are out count by their ticket.
    pub ran: bool,
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
            out: Vec::new(),
            queue_ticket,
            ran: false,
            answered: false,
        }
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.ran || self.out.iter().any(|o| o.ticket.is_claimed())
    }
}

/// One part of a command: its request, and what has become of it.
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

/// A command that is owed its answer.
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

    /// What was read, in the order of the blocks; nothing for a write.
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

pub(super) fn attempt_id(id: RequestId, no: u32) -> AttemptId {
    AttemptId(u64::from(id.0) << 8 | u64::from(no & 0xff))
}
