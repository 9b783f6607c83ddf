//! The iSCSI-style transport: login, discovery of the volume's size and limits, commands within the command window, and data
//! transfer in both directions.

mod login;
mod responses;

use crate::operation::{Op, Volume, VolumeAddress};
use crate::transport::{SessionEvent, Transport, TransportError};
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use tackmast::interface::TimeDelta;
use tackmast_wire::iscsi::{self, field, op, Digests, Pdu, Units, FINAL, READS, WRITES};
use tackmast_wire::scsi::Command;

/// Largest number of data bytes in one message of the target and in one call.
const MAX_DATA: usize = 16 << 20;
/// The flag of immediate delivery, which exempts a message from the command window.
const IMMEDIATE: u8 = 0x40;
/// The function of a task management message that aborts one task (RFC 7143, section 11.5.1).
const ABORT_TASK: u8 = 1;
/// Distinguishes the task tag of a logout from those of commands.
const LOGOUT_TAG_BIT: u32 = 0x4000_0000;
/// Distinguishes the task tag of an abort from those of commands.
const ABORT_TAG_BIT: u32 = 0x8000_0000;

/// The phase of the session.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Login,
    /// The session waits for the size of the volume.
    Capacity,
    /// The session waits for the largest transfer of the volume.
    Limits,
    Ready,
    Closed,
}

/// A command in flight.
struct PendingCommand {
    /// The caller's tag, or `None` for a command of the session itself.
    caller_tag: Option<u64>,
    upload: Bytes,
    download: BytesMut,
    /// Number of bytes that the command reads.
    read_bytes: usize,
}

/// Parameters negotiated in the login.
struct Parameters {
    /// Largest number of data bytes of a write that may be sent unsolicited.
    first_burst: usize,
    /// Largest number of data bytes in one message to the target.
    max_segment: usize,
    /// Whether a command may carry immediate data.
    immediate_data: bool,
    /// Whether a command may carry a deadline of its own.
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
    /// Sequence number of the next command, which is also its task tag.
    next_command: u32,
    /// The last sequence number that the target accepts (MaxCmdSN).
    max_command: u32,
    /// The next expected status sequence number (ExpStatSN).
    expected_status: u32,
    pending: HashMap<u32, PendingCommand>,
    /// Task tags of the caller's commands by the caller's tags.
    commands_by_tag: HashMap<u64, u32>,
}

impl IscsiClient {
    /// Creates a session with its login request queued for sending. `deadline` applies to each command that carries none. With
    /// `public_only` the login offers none of the gateway's private keys, as a library that does not know them would.
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

    /// Sends a command of the session itself that reads `read_bytes` bytes.
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
        // Sequence numbers wrap around, so the sign of the difference tells which of two is later.
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

    /// Converts an operation on whole blocks to a SCSI command.
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

    /// Returns the part of a write's data that is sent as immediate data with its command.
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
