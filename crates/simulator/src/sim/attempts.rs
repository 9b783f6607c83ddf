//! Attempts: sent to their node, and their results at the host.

use super::event::{Event, FailedAttempt, HostProcess};
use super::{microseconds, Mutant, Sim, Us};
use bytes::Bytes;
use tackmast::interface::{Instant, Outcome};
use tackmast_host_core::{AttemptId, AttemptResult, AttemptWork, ClaimResult, OpaqueRequest, SendAttempt};
use tackmast_trace::AttemptName;
use tackmast_wire::node::{self, Answer, Frame, NodeOutcome, Origin};

/// `Mutant::HedgeTooEarly` sends each attempt of this number twice.
const MUTANT_SEND_INTERVAL: u64 = 100;

/// The frame of an attempt on the wire.
fn attempt_frame(attempt: &SendAttempt, attempt_number: u8, now: Instant, left_us: Us) -> Bytes {
    let work = match &attempt.work {
        AttemptWork::Read { length } => node::Work::Read { length: *length },
        AttemptWork::Write { data } | AttemptWork::Opaque(OpaqueRequest { body: data, .. }) => {
            node::Work::Write { data: data.clone() }
        }
    };
    let (session, command) = (attempt.from.session, attempt.from.command);
    Frame::Send(node::SendAttempt {
        attempt: attempt.attempt.0,
        request: attempt.request,
        attempt_number,
        origin: Origin { session, command, part: attempt.part },
        sent_us: microseconds(now),
        left_us: left_us as u32,
        idempotency_key: attempt.idempotency_key,
        key: attempt.key,
        volume: attempt.volume,
        offset: attempt.offset,
        units: attempt.units as f32,
        work,
    })
    .to_bytes()
}

/// An attempt as the trace has it.
fn attempt_record(
    node: String,
    name: AttemptName,
    attempt: &SendAttempt,
    left_us: Us,
) -> tackmast_trace::Event {
    let (write, bytes) = match &attempt.work {
        AttemptWork::Read { length } => (false, u64::from(*length)),
        AttemptWork::Write { data } | AttemptWork::Opaque(OpaqueRequest { body: data, .. }) => {
            (true, data.len() as u64)
        }
    };
    tackmast_trace::Event::Attempt {
        node,
        name,
        session: attempt.from.session,
        command: attempt.from.command,
        part: attempt.part,
        volume: attempt.volume,
        write,
        offset: attempt.offset,
        bytes,
        units: attempt.units,
        key: attempt.key,
        idempotency_key: format!("{:x}", attempt.idempotency_key),
        left_us,
    }
}

/// A node has refused the connection for an attempt.
fn refused_event(process: HostProcess, attempt: &SendAttempt) -> Event {
    let refused = FailedAttempt { attempt: attempt.attempt.0, outcome: Outcome::Refused };
    Event::AttemptsFailed { process, attempts: vec![refused] }
}

/// The result of an attempt, from the node's answer.
pub(super) fn attempt_result(answer: Answer) -> AttemptResult {
    let outcome = match answer.outcome {
        NodeOutcome::Done => Outcome::Done,
        NodeOutcome::Error => Outcome::Error,
        NodeOutcome::Full => Outcome::Full,
        NodeOutcome::NotHere => Outcome::Skipped,
    };
    AttemptResult {
        attempt: AttemptId(answer.attempt),
        outcome,
        waiting: Some(answer.waiting),
        peer_units: Some(f64::from(answer.elsewhere)),
        data: answer.data,
    }
}

impl Sim<'_> {
    /// Sends an attempt, once the node's hello has arrived on the link.
    pub(super) fn send(&mut self, host_index: u32, attempt: SendAttempt) {
        self.send_count += 1;
        let node_index = self.node_of(host_index, attempt.node);
        let Some(node_index) = node_index.filter(|node_index| self.nodes[*node_index as usize].up) else {
            // Nobody listens: the host learns so after a round trip.
            let due = self.now + 2 * self.world.delay_us;
            attempt.ticket.withdraw();
            let process = self.process_of(host_index);
            return self.schedule(due, refused_event(process, &attempt));
        };
        self.open_link(host_index, node_index);
        let link = self.hosts[host_index as usize].links.get_mut(&node_index);
        if let Some(waiting) = link.and_then(|link| link.waiting.as_mut()) {
            return waiting.push(attempt);
        }
        self.transmit(host_index, node_index, &attempt);
    }

    /// Sends an attempt to its node, unless it was withdrawn or is too late.
    pub(super) fn transmit(&mut self, host_index: u32, node_index: u32, attempt: &SendAttempt) {
        let process = self.process_of(host_index);
        let now = self.steady_clock(host_index);
        let left_us = ((attempt.deadline - now).secs() * 1e6).max(0.0) as Us;
        match attempt.try_claim(now) {
            ClaimResult::Claimed => {}
            ClaimResult::Withdrawn => return,
            ClaimResult::TooLate => {
                return self.schedule(self.now, refused_event(process, attempt));
            }
        }
        attempt.ticket.mark_written();
        let HostProcess { generation, .. } = process;
        let number = attempt.attempt_number;
        let name = AttemptName { host: host_index, generation, request: attempt.request, attempt: number };
        let address = self.nodes[node_index as usize].address.clone();
        let is_doubled = self.mutant == Some(Mutant::HedgeTooEarly)
            && self.send_count.is_multiple_of(MUTANT_SEND_INTERVAL);
        // An attempt counts from when its host sends it, whatever the network delays after that.
        self.record(attempt_record(address.clone(), name, attempt, left_us));
        if is_doubled {
            let second = AttemptName { attempt: number + 1, ..name };
            self.record(attempt_record(address, second, attempt, left_us));
        }
        if let Some(link) = self.hosts[host_index as usize].links.get_mut(&node_index) {
            link.attempts.insert(attempt.attempt.0, name);
        }
        let bytes = attempt_frame(attempt, number, now, left_us);
        self.send_to_node(host_index, node_index, &bytes);
        if is_doubled {
            let bytes = attempt_frame(attempt, number + 1, now, left_us);
            self.send_to_node(host_index, node_index, &bytes);
        }
    }

    /// Reports an attempt that ended without an answer of its node.
    pub(super) fn report_attempt_result(&mut self, host_index: u32, attempt: u64, outcome: Outcome) {
        let result = AttemptResult::unanswered(AttemptId(attempt), outcome);
        let now = self.steady_clock(host_index);
        self.hosts[host_index as usize].core.handle_attempt_result(now, result);
    }
}
