//! The iSCSI-style transport: login, the volume's size and limits, commands within the window, data both ways.

mod login;
mod responses;

use crate::operation::{Op, Volume, VolumeAddress};
use crate::transport::{SessionEvent, Transport, TransportError};
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use tackmast::interface::TimeDelta;
use tackmast_wire::iscsi::{self, field, op, Digests, Pdu, Units, FINAL, READS, WRITES};
use tackmast_wire::scsi::Command;

/// Bytes of data in one message of the target, and in one call, at most.
const MAX_DATA: usize = 16 << 20;
/// The flag that a message is outside the command window.
const IMMEDIATE: u8 = 0x40;
/// The function of a task management message that aborts one task (RFC 7143, section 11.5.1).
const ABORT_TASK: u8 = 1;
/// Distinguishes the task tag of a logout from those of commands.
const LOGOUT_TAG_BIT: u32 = 0x4000_0000;
/// Distinguishes the task tag of an abort from those of commands.
const ABORT_TAG_BIT: u32 = 0x8000_0000;

/// A step of the session.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Login,
    /// Waits for the volume's size.
    Capacity,
    /// Waits for the volume's largest transfer.
    Limits,
    Ready,
    Closed,
}

/// A command in flight.
struct PendingCommand {
    /// The caller's tag; none: a command of the session itself.
    caller_tag: Option<u64>,
    upload: Bytes,
    download: BytesMut,
    /// Bytes that a read is to yield.
    read_bytes: usize,
}

/// What the login agreed on.
struct Parameters {
    /// Bytes of a write that go with its command at most.
    first_burst: usize,
    /// Bytes of data in one message to the target at most.
    max_segment: usize,
    /// Whether data may go with its command.
    immediate_data: bool,
    /// Whether a command may carry its own deadline.
    command_deadlines: bool,
}

/// A session of the iSCSI-style transport.
pub struct IscsiClient {
    address: VolumeAddress,
    input: Units,
    output: BytesMut,
    events: VecDeque<SessionEvent>,
    phase: Phase,
    digests: Digests,
    volume: Volume,
    parameters: Parameters,
    /// Sequence number, and task tag, of the next command.
    next_command: u32,
    /// The last sequence number that the target takes.
    max_command: u32,
    /// The status sequence number that is expected next.
    expected_status: u32,
    pending: HashMap<u32, PendingCommand>,
    /// Sequence numbers of commands by the caller's tags.
    commands_by_tag: HashMap<u64, u32>,
}

impl IscsiClient {
    /// A session whose login is ready to be sent. `deadline` is of each command that carries none. `public_only` leaves out every key of
    /// the gateway's own, as a library that knows none of them does.
    pub fn new(address: VolumeAddress, digests: Digests, deadline: TimeDelta, public_only: bool) -> Self {
        let mut output = BytesMut::new();
        let login = login::request(&address, digests, deadline, public_only);
        iscsi::encode(&login, Digests::default(), &mut output);
        IscsiClient {
            input: Units::new(MAX_DATA),
            output,
            events: VecDeque::new(),
            phase: Phase::Login,
            digests,
            volume: Volume { bytes: 0, block_bytes: 512, max_bytes: 0 },
            parameters: Parameters {
                first_burst: login::DEFAULT_SEGMENT_BYTES,
                max_segment: login::DEFAULT_SEGMENT_BYTES,
                immediate_data: true,
                command_deadlines: false,
            },
            next_command: 1,
            max_command: 0,
            expected_status: 0,
            pending: HashMap::new(),
            commands_by_tag: HashMap::new(),
            address,
        }
    }

    fn transmit(&mut self, pdu: &Pdu) {
        iscsi::encode(pdu, self.digests, &mut self.output);
    }

    /// Sends a command of the session itself, which reads so many bytes.
    fn send_own_command(&mut self, command: Command, read_bytes: u32) {
        let pdu = self.command_pdu(command, READS, read_bytes);
        self.send_command(None, &pdu, Bytes::new(), read_bytes as usize);
    }

    fn command_pdu(&mut self, command: Command, flags: u8, length: u32) -> Pdu {
        let number = self.next_command;
        self.next_command = number.wrapping_add(1);
        let mut pdu = Pdu::new(op::COMMAND, FINAL | flags);
        pdu.set_lun(self.address.lun)
            .set32(field::TASK_TAG, number)
            .set32(field::LENGTH_OR_TAG, length)
            .set32(field::SEQUENCE, number)
            .set32(field::EXPECTED_SEQUENCE, self.expected_status);
        pdu.head[32..].copy_from_slice(&command.to_cdb());
        pdu
    }

    fn send_command(&mut self, caller_tag: Option<u64>, pdu: &Pdu, upload: Bytes, read_bytes: usize) {
        let pending = PendingCommand { caller_tag, upload, download: BytesMut::new(), read_bytes };
        self.pending.insert(pdu.tag(), pending);
        if let Some(tag) = caller_tag {
            self.commands_by_tag.insert(tag, pdu.tag());
        }
        self.transmit(pdu);
    }

    fn handle_pdu(&mut self, pdu: Pdu) -> Result<(), TransportError> {
        if self.phase == Phase::Login {
            return self.on_login_response(&pdu);
        }
        let max_command = pdu.u32(field::MAX_COMMAND);
        // Sequence numbers wrap around, so that the later of two is known by the sign of their difference.
        if max_command.wrapping_sub(self.max_command) as i32 > 0 {
            self.max_command = max_command;
        }
        match pdu.opcode() {
            op::DATA_IN => self.on_data_in(&pdu)?,
            op::RESPONSE => self.on_response(&pdu, pdu.head[3]),
            op::R2T => self.on_r2t(&pdu)?,
            op::NOP_IN => self.on_nop_in(&pdu),
            op::LOGOUT_RESPONSE => self.phase = Phase::Closed,
            op::REJECT => return Err(TransportError::RejectedByTarget { reason: pdu.head[2] }),
            _ => {}
        }
        Ok(())
    }

    fn is_window_open(&self) -> bool {
        self.max_command.wrapping_sub(self.next_command) as i32 >= 0
    }

    /// Converts an operation, which is of whole blocks, to a command.
    fn command_for(&self, operation: &Op) -> Command {
        let block_bytes = u64::from(self.volume.block_bytes);
        match operation {
            Op::Read { offset, length } => {
                Command::Read { block: offset / block_bytes, blocks: length / self.volume.block_bytes }
            }
            Op::Write { offset, data } => {
                let blocks = (data.len() as u64 / block_bytes) as u32;
                Command::Write { block: offset / block_bytes, blocks }
            }
            Op::Flush => Command::Synchronize,
        }
    }

    /// The data of a write that goes with its command.
    fn immediate_data(&self, upload: &Bytes) -> Bytes {
        let Parameters { first_burst, max_segment, immediate_data, .. } = self.parameters;
        if !immediate_data {
            return Bytes::new();
        }
        upload.slice(..upload.len().min(first_burst).min(max_segment))
    }
}

/// The flag for the direction of an operation's data.
fn direction_flag(operation: &Op) -> u8 {
    match operation {
        Op::Write { data, .. } if !data.is_empty() => WRITES,
        Op::Read { length: 1.., .. } => READS,
        Op::Read { .. } | Op::Write { .. } | Op::Flush => 0,
    }
}

impl Transport for IscsiClient {
    fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), TransportError> {
        self.input.push(bytes);
        while self.phase != Phase::Closed {
            let Some(pdu) = self.input.next_unit()? else { break };
            self.handle_pdu(pdu)?;
        }
        Ok(())
    }

    fn poll_transmit(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    fn poll_event(&mut self) -> Option<SessionEvent> {
        self.events.pop_front()
    }

    fn submit(&mut self, tag: u64, operation: &Op, time_left: TimeDelta) -> bool {
        if self.phase != Phase::Ready || !self.is_window_open() {
            return false;
        }
        let (upload, read_bytes) = match operation {
            Op::Read { length, .. } => (Bytes::new(), *length as usize),
            Op::Write { data, .. } => (data.clone(), 0),
            Op::Flush => (Bytes::new(), 0),
        };
        let command = self.command_for(operation);
        let mut pdu = self.command_pdu(command, direction_flag(operation), operation.bytes() as u32);
        if self.parameters.command_deadlines {
            pdu.set_deadline((time_left.secs() * 1e6).max(1.0) as u64);
        }
        pdu.data = self.immediate_data(&upload);
        self.send_command(Some(tag), &pdu, upload, read_bytes);
        true
    }

    fn cancel(&mut self, tag: u64) {
        let Some(number) = self.commands_by_tag.remove(&tag) else { return };
        self.pending.remove(&number);
        let mut pdu = Pdu::new(op::TASK | IMMEDIATE, FINAL | ABORT_TASK);
        pdu.set32(field::TASK_TAG, self.next_command ^ ABORT_TAG_BIT)
            .set32(field::LENGTH_OR_TAG, number)
            .set32(field::SEQUENCE, self.next_command)
            .set32(field::EXPECTED_SEQUENCE, self.expected_status)
            .set32(field::MAX_COMMAND, number);
        self.transmit(&pdu);
    }

    fn close(&mut self) {
        let mut pdu = Pdu::new(op::LOGOUT | IMMEDIATE, FINAL);
        pdu.set32(field::TASK_TAG, self.next_command ^ LOGOUT_TAG_BIT)
            .set32(field::SEQUENCE, self.next_command)
            .set32(field::EXPECTED_SEQUENCE, self.expected_status);
        self.transmit(&pdu);
        self.phase = Phase::Closed;
    }
}
