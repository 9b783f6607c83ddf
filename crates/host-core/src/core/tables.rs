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

pub(super) struct InFlightAttempt {
    pub no: u32,
    pub node: NodeId,
    pub sent: Instant,
    pub until: Instant,
    pub ticket: Ticket,
}

pub(super) struct PendingRequest {
    pub serial: u64,
    pub from: CommandRef,
    pub part: u16,
    pub payload: AttemptPayload,
    pub traffic_class: usize,
    pub deadline: Instant,
    pub attempts: u32,
    pub out: Vec<InFlightAttempt>,
    /// In its session's turn, until its first attempt leaves.
    pub queue_ticket: Option<QueueTicket>,
    /// Whether an attempt may have had an effect; those that are out count by their ticket.
    pub ran: bool,
    pub answered: bool,
}

impl PendingRequest {
    pub(super) fn new(
        serial: u64,
        (from, part): (CommandRef, u16),
        payload: AttemptPayload,
        traffic_class: usize,
        deadline: Instant,
        queue_ticket: Option<QueueTicket>,
    ) -> Self {
        PendingRequest {
            serial,
            from,
            part,
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

pub(super) struct OpenCommand {
    pub parts: Vec<(RequestId, Option<PartState>, Bytes)>,
    pub traffic_class: usize,
    pub volume: usize,
    pub marked: bool,
    pub bytes: usize,
    pub write: bool,
}

pub(super) fn attempt_id(id: RequestId, no: u32) -> AttemptId {
    AttemptId(u64::from(id.0) << 8 | u64::from(no & 0xff))
}

pub(super) fn join_parts(parts: &[(RequestId, Option<PartState>, Bytes)], bytes: usize) -> Bytes {
    if let [(_, _, retain_listed)] = parts {
        return retain_listed.clone();
    }
    let mut all = BytesMut::with_capacity(bytes);
    parts.iter().for_each(|(_, _, data)| all.extend_from_slice(data));
    all.freeze()
}
