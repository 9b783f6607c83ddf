//! An iSCSI-style session: the command window and the dispatch of PDUs. Login, text, commands, uploads and responses have
//! modules of their own.

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

/// The data segment that a PDU of any client may have until the target declares its own limit, in bytes (RFC 7143,
/// section 13.12).
const MIN_SEGMENT_BYTES: u32 = 8192;
/// The ABORT TASK function of a task management request (RFC 7143, section 11.5.1).
const ABORT_TASK: u8 = 1;
/// The bits of a task management request's flags that hold the function.
const TASK_FUNCTION_MASK: u8 = 0x7f;
/// The offset of the response code in a PDU's header, in bytes.
const RESPONSE_CODE: usize = 2;
/// The reason code "command not supported" of a Reject PDU (RFC 7143, section 11.17.1).
const COMMAND_NOT_SUPPORTED: u8 = 0x05;

/// Response codes of task management (RFC 7143, section 11.6.1).
mod task_response {
    /// The function is complete.
    pub(super) const COMPLETE: u8 = 0;
    /// The task does not exist.
    pub(super) const NO_SUCH_TASK: u8 = 1;
    /// The function is not supported.
    pub(super) const NOT_SUPPORTED: u8 = 5;
}

/// A command that has no answer yet.
struct Task {
    /// The initiator task tag.
    tag: u32,
    lun: u32,
    /// The expected data transfer length, in bytes.
    expected_bytes: u32,
    deadline_ms: Option<u32>,
    /// The data of a write until it is complete; `None` for other commands and for complete writes.
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
    /// The target session identifying handle (TSIH).
    session_id: u16,
    input: Units,
    output: BytesMut,
    events: VecDeque<Event>,
    /// The text of the PDUs received so far in an exchange whose text continues.
    text: BytesMut,
    /// The sequence number expected in the next command (ExpCmdSN).
    expected_command: u32,
    /// The sequence number of the next status (StatSN).
    next_status: u32,
    /// Open tasks by command number.
    tasks: BTreeMap<u32, Task>,
    /// Whether the first login request, which sets the first command number, was received.
    has_login_begun: bool,
    is_refused: bool,
}

impl IscsiSession {
    /// Creates a session that waits for its client's login. `session_id` is the target session identifying handle.
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

    /// Handles bytes that the client sent. After an error the connection must be closed; the output still holds the
    /// answers that were produced before the error.
    pub fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        self.input.push(bytes);
        while self.phase != Phase::Over {
            let Some(pdu) = self.input.next_unit()? else { break };
            self.handle_pdu(pdu)?;
        }
        Ok(())
    }

    /// Returns the next event for the host, or `None` if there is none.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Takes the bytes that are to be written to the client. Empty bytes mean that there is no output.
    pub fn poll_transmit(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    /// Returns whether the session has ended, so that the connection must be closed once the output is written.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Returns whether the session is in the full feature phase. It is not before the login, nor after the end.
    pub fn is_logged_in(&self) -> bool {
        self.phase == Phase::FullFeature
    }

    /// Returns the number of output bytes that `poll_transmit` has not returned yet.
    pub fn pending_output(&self) -> usize {
        self.output.len()
    }

    /// Makes the session refuse its client's login, because the host has reached its limit of sessions.
    pub fn refuse(&mut self) {
        self.is_refused = true;
    }

    /// Returns the number of commands that have no answer yet.
    pub fn open_commands(&self) -> usize {
        self.tasks.len()
    }

    /// Answers a command. Returns `false` if the command is not open, because it was answered or aborted.
    pub fn answer(&mut self, command: u32, verdict: Verdict) -> bool {
        if self.phase != Phase::FullFeature {
            return false;
        }
        let Some(task) = self.tasks.remove(&command) else { return false };
        self.send_verdict(&task, verdict);
        true
    }

    /// Returns the last command number that the client may send (MaxCmdSN).
    fn max_command(&self) -> u32 {
        let free = (self.offer.window as usize).saturating_sub(self.tasks.len()) as u32;
        self.expected_command.wrapping_add(free).wrapping_sub(1)
    }

    fn handle_pdu(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        match (self.phase, pdu.opcode()) {
            (Phase::Login, op::LOGIN) => return self.on_login(pdu),
            (Phase::Login, other) => {
                return Err(SessionError::protocol("operation before login", other, "a login request (3)"))
            }
            (_, op::LOGIN) => {
                return Err(SessionError::protocol(
                    "operation after login",
                    op::LOGIN,
                    "a PDU of the full feature phase",
                ))
            }
            (_, op::DATA_OUT) => return self.on_data_out(&pdu),
            _ => {}
        }
        // A NOP-Out that answers a NOP-In of the target has no command number.
        if pdu.opcode() == op::NOP_OUT && pdu.tag() == NO_TAG {
            return Ok(());
        }
        if !pdu.immediate() && !self.advance_window(&pdu)? {
            return Ok(());
        }
        self.handle_numbered_pdu(pdu)
    }

    /// Advances the window past the command number of a PDU. Returns `false` if the number is outside the window: such a
    /// PDU is ignored, and the client learns the window from the next PDU that it receives (RFC 7143, section 4.2.2.1).
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

    /// Removes a task, which then gets no response (RFC 7143, section 11.5.1). Returns the response code.
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
