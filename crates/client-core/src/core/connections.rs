//! Handles the events of the pool's connections: established, closed, bytes received.

use super::slots::{Session, SlotState};
use super::validation::InvalidCall;
use super::{Core, Output};
use crate::operation::{Outcome, Volume};
use crate::retry::AttemptEnd;
use crate::transport::SessionEvent;
use std::collections::BTreeSet;
use tackmast::interface::Instant;

/// The answer of a session to a call.
struct Answer {
    call: u64,
    outcome: Outcome,
}

/// A refusal of a session by the gateway.
struct Refusal {
    reason: String,
    may_reconnect: bool,
}

impl Core {
    /// Records that the connection of a slot is established, and starts a session on it.
    pub fn handle_connected(&mut self, slot: usize) {
        let transport = (self.new_session)();
        let session = Session { transport, is_ready: false, in_flight: BTreeSet::new() };
        self.slots.slot_mut(slot).state = SlotState::Connected(session);
    }

    /// Records that the connection of a slot was closed or could not be established, and schedules the next connect. The calls in
    /// flight there are retried or answered.
    pub fn handle_closed(&mut self, now: Instant, slot: usize) {
        let slot_entry = self.slots.slot_mut(slot);
        let mut lost = BTreeSet::new();
        match std::mem::replace(&mut slot_entry.state, SlotState::Refused) {
            SlotState::Refused => return,
            SlotState::Connected(session) => {
                slot_entry.failures = if session.is_ready { 0 } else { slot_entry.failures + 1 };
                lost = session.in_flight;
            }
            SlotState::Disconnected(_) | SlotState::Connecting => slot_entry.failures += 1,
        }
        let backoff = self.retries.connect_backoff(slot_entry.failures);
        slot_entry.state = SlotState::Disconnected(now + backoff);
        for number in lost {
            self.on_attempt_ended(now, number, AttemptEnd::SessionLost);
        }
    }

    /// Handles bytes received from the gateway on the connection of a slot. Bytes that the protocol does not allow close it.
    pub fn handle_bytes(&mut self, now: Instant, slot: usize, bytes: &[u8]) {
        let Some(session) = self.slots.session_mut(slot) else { return };
        let is_readable = session.transport.handle_bytes(bytes).is_ok();
        let mut answers = Vec::new();
        let mut refusal = None;
        while let Some(event) =
            self.slots.session_mut(slot).and_then(|session| session.transport.poll_event())
        {
            match event {
                SessionEvent::Ready(volume) => self.on_session_ready(slot, volume),
                SessionEvent::Answer { tag, outcome } => answers.push(Answer { call: tag, outcome }),
                SessionEvent::Refused { reason, may_reconnect } => {
                    refusal = Some(Refusal { reason, may_reconnect });
                }
            }
        }
        for answer in answers {
            self.on_session_answer(now, slot, answer);
        }
        if let Some(refusal) = refusal {
            self.on_session_refused(now, slot, refusal);
        } else if !is_readable {
            // Nothing after the unreadable bytes can be decoded, so the calls in flight on this session are lost.
            self.outputs.push_back(Output::Close { slot });
            self.handle_closed(now, slot);
        }
    }

    fn on_session_ready(&mut self, slot: usize, volume: Volume) {
        if let Some(session) = self.slots.session_mut(slot) {
            session.is_ready = true;
        }
        self.slots.slot_mut(slot).failures = 0;
        if self.volume.is_none() {
            self.outputs.push_back(Output::Ready(volume));
        }
        self.volume = Some(volume);
    }

    fn on_session_answer(&mut self, now: Instant, slot: usize, answer: Answer) {
        if let Some(session) = self.slots.session_mut(slot) {
            session.in_flight.remove(&answer.call);
        }
        match answer.outcome {
            Outcome::Rejected { retry_after } => {
                self.on_attempt_ended(now, answer.call, AttemptEnd::Rejected { retry_after });
            }
            Outcome::Failed => self.on_attempt_ended(now, answer.call, AttemptEnd::Failed),
            outcome @ (Outcome::Done(_) | Outcome::InvalidRequest(_)) => self.answer(answer.call, outcome),
        }
    }

    fn on_session_refused(&mut self, now: Instant, slot: usize, refusal: Refusal) {
        self.outputs.push_back(Output::Close { slot });
        self.handle_closed(now, slot);
        if refusal.may_reconnect {
            return;
        }
        self.slots.slot_mut(slot).state = SlotState::Refused;
        self.outputs.push_back(Output::Refused { reason: refusal.reason });
        if self.slots.are_all_refused() {
            for number in self.calls.numbers() {
                let reason = InvalidCall::AllSessionsRefused.to_string();
                self.answer(number, Outcome::InvalidRequest(reason));
            }
        }
    }
}
