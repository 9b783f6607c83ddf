//! An iSCSI-style session: the command window, and which unit goes where. Login, text, commands, uploads and responses have modules of
//! their own.

mod commands;
mod login;
mod negotiation;
mod responses;
mod uploads;

use crate::error::SessionError;
use crate::event::{Ending, Event, Note, Verdict};
use crate::offer::Offer;
use bytes::{Bytes, BytesMut};
use negotiation::NegotiatedParameters;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tackmast_wire::iscsi::{field, op, Pdu, Units, FINAL, NO_TAG};
use tackmast_wire::scsi::Unit;
use uploads::Upload;

/// Bytes of data in one unit that every target takes (RFC 7143, section 13.12).
const MIN_SEGMENT_BYTES: u32 = 8192;
/// The function of a task management request (RFC 7143, section 11.5.1).
const ABORT_TASK: u8 = 1;
/// The bits of a task management request's flags that hold its function.
const TASK_FUNCTION_MASK: u8 = 0x7f;
/// Offset of the response code in a unit's header, in bytes.
const RESPONSE_CODE: usize = 2;
/// The reason of a reject: command not supported (RFC 7143, section 11.17.1).
const COMMAND_NOT_SUPPORTED: u8 = 0x05;

/// Responses to a task management request (RFC 7143, section 11.6.1).
mod task_response {
    /// The function is complete.
    pub(super) const COMPLETE: u8 = 0;
    /// There is no such task.
    pub(super) const NO_SUCH_TASK: u8 = 1;
    /// The function is not supported.
    pub(super) const NOT_SUPPORTED: u8 = 5;
}

/// A command that has no answer yet.
struct Task {
    /// The client's tag.
    tag: u32,
    lun: u32,
    /// Bytes that the client expects to move.
    expected_bytes: u32,
    deadline_ms: Option<u32>,
    /// The data of a write while it is not complete.
    upload: Option<Upload>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Login,
    FullFeature,
    Over,
}

/// An iSCSI-style session.
pub struct IscsiSession {
    offer: Arc<Offer>,
    units: Arc<Vec<Unit>>,
    parameters: NegotiatedParameters,
    phase: Phase,
    /// The session's identifier at the target.
    session_id: u16,
    input: Units,
    output: BytesMut,
    events: VecDeque<Event>,
    /// Text keys of units whose text continues.
    text: BytesMut,
    /// Sequence number of the next command.
    expected_command: u32,
    /// Sequence number of the next status.
    next_status: u32,
    /// Open tasks by command number.
    tasks: BTreeMap<u32, Task>,
    /// Whether the first login unit, which names the first command number, was received.
    has_login_begun: bool,
    is_refused: bool,
}

impl IscsiSession {
    /// A session before its login; `session_id` is its identifier at the target.
    pub fn new(offer: Arc<Offer>, units: Arc<Vec<Unit>>, session_id: u16) -> Self {
        let max_segment = offer.max_segment.max(MIN_SEGMENT_BYTES) as usize;
        IscsiSession {
            parameters: NegotiatedParameters::new(&offer),
            offer,
            units,
            phase: Phase::Login,
            session_id,
            input: Units::new(max_segment),
            output: BytesMut::new(),
            events: VecDeque::new(),
            text: BytesMut::new(),
            expected_command: 0,
            next_status: 1,
            tasks: BTreeMap::new(),
            has_login_begun: false,
            is_refused: false,
        }
    }

    /// Takes bytes of the client. After an error the connection must be closed; what was answered so far is in the output.
    pub fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        self.input.push(bytes);
        while self.phase != Phase::Over {
            let Some(pdu) = self.input.next_unit()? else { break };
            self.handle_pdu(pdu)?;
        }
        Ok(())
    }

    /// What the session wants from the host.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Bytes to be written to the client; empty: none.
    pub fn poll_transmit(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    /// Whether the connection is to be closed once the output is written.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Whether the login is over.
    pub fn is_logged_in(&self) -> bool {
        self.phase == Phase::FullFeature
    }

    /// Bytes of output that `poll_transmit` has not given yet.
    pub fn pending_output(&self) -> usize {
        self.output.len()
    }

    /// Makes the session answer its login with a refusal: the host has as many sessions as it may.
    pub fn refuse(&mut self) {
        self.is_refused = true;
    }

    /// Commands that have no answer yet.
    pub fn open_commands(&self) -> usize {
        self.tasks.len()
    }

    /// Answers a command; false: it has its answer, or was aborted.
    pub fn answer(&mut self, command: u32, verdict: Verdict) -> bool {
        if self.phase != Phase::FullFeature {
            return false;
        }
        let Some(task) = self.tasks.remove(&command) else { return false };
        self.send_verdict(&task, verdict);
        true
    }

    /// The last command number that the client may send.
    fn max_command(&self) -> u32 {
        let free = (self.offer.window as usize).saturating_sub(self.tasks.len()) as u32;
        self.expected_command.wrapping_add(free).wrapping_sub(1)
    }

    fn handle_pdu(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        match (self.phase, pdu.opcode()) {
            (Phase::Login, op::LOGIN) => return self.on_login(pdu),
            (Phase::Login, other) => {
                return Err(SessionError::protocol("operation before login", other, "a login unit, 3"))
            }
            (_, op::LOGIN) => {
                return Err(SessionError::protocol("operation after login", op::LOGIN, "a full-feature unit"))
            }
            (_, op::DATA_OUT) => return self.on_data_out(&pdu),
            _ => {}
        }
        // The answer to a ping of this side has no command number.
        if pdu.opcode() == op::NOP_OUT && pdu.tag() == NO_TAG {
            return Ok(());
        }
        if !pdu.immediate() && !self.advance_window(&pdu)? {
            return Ok(());
        }
        self.handle_numbered_pdu(pdu)
    }

    /// Takes the command number of a unit; false: it is outside the window. Such a unit is ignored, and the client learns the window from
    /// the next unit that it receives (RFC 7143, section 4.2.2.1).
    fn advance_window(&mut self, pdu: &Pdu) -> Result<bool, SessionError> {
        let command = pdu.u32(field::SEQUENCE);
        let ahead = command.wrapping_sub(self.expected_command);
        let capacity = self.max_command().wrapping_add(1).wrapping_sub(self.expected_command);
        if ahead >= capacity {
            let (first, last) = (self.expected_command, self.max_command());
            self.events.push_back(Event::Note(Note::OutsideWindow { command, first, last }));
            return Ok(false);
        }
        if ahead > 0 {
            let expected = format!("{} next", self.expected_command);
            return Err(SessionError::protocol("command number", command, expected));
        }
        self.expected_command = self.expected_command.wrapping_add(1);
        Ok(true)
    }

    fn handle_numbered_pdu(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        match pdu.opcode() {
            op::NOP_OUT => self.on_nop_out(&pdu),
            op::COMMAND => self.on_command(pdu)?,
            op::TASK => self.on_task_management(&pdu),
            op::TEXT => self.on_text(&pdu)?,
            op::LOGOUT => self.on_logout(&pdu),
            opcode => {
                self.events.push_back(Event::Note(Note::UnknownOperation { opcode }));
                self.send_reject(&pdu);
            }
        }
        Ok(())
    }

    fn on_nop_out(&mut self, pdu: &Pdu) {
        let mut reply = Pdu::new(op::NOP_IN, FINAL);
        reply.set32(field::TASK_TAG, pdu.tag()).set32(field::LENGTH_OR_TAG, NO_TAG);
        let max_segment = self.parameters.max_segment_to_client as usize;
        reply.data = pdu.data.slice(..pdu.data.len().min(max_segment));
        self.send_with_status(reply);
    }

    fn on_logout(&mut self, pdu: &Pdu) {
        let mut reply = Pdu::new(op::LOGOUT_RESPONSE, FINAL);
        reply.set32(field::TASK_TAG, pdu.tag());
        self.send_with_status(reply);
        self.close(Ending::Logout);
    }

    fn close(&mut self, ending: Ending) {
        self.events.push_back(Event::Close(ending));
        self.phase = Phase::Over;
    }

    fn send_reject(&mut self, pdu: &Pdu) {
        let mut reply = Pdu::new(op::REJECT, FINAL);
        reply.head[RESPONSE_CODE] = COMMAND_NOT_SUPPORTED;
        reply.set32(field::TASK_TAG, NO_TAG);
        reply.data = Bytes::copy_from_slice(&pdu.head);
        self.send_with_status(reply);
    }

    fn on_task_management(&mut self, pdu: &Pdu) {
        let response = match pdu.flags() & TASK_FUNCTION_MASK {
            ABORT_TASK => self.abort_task(pdu.u32(field::LENGTH_OR_TAG)),
            _ => task_response::NOT_SUPPORTED,
        };
        let mut reply = Pdu::new(op::TASK_RESPONSE, FINAL);
        reply.head[RESPONSE_CODE] = response;
        reply.set32(field::TASK_TAG, pdu.tag());
        self.send_with_status(reply);
    }

    /// Removes a task, which has no answer then (RFC 7143, section 11.5.1).
    fn abort_task(&mut self, tag: u32) -> u8 {
        let Some(command) = self.tasks.iter().find(|(_, task)| task.tag == tag).map(|(command, _)| *command)
        else {
            return task_response::NO_SUCH_TASK;
        };
        self.tasks.remove(&command);
        self.events.push_back(Event::Abort { command });
        task_response::COMPLETE
    }
}
