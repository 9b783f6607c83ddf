//! Commands that a client submits.

use super::{Initiator, PendingCommand};
use crate::iscsi_fields as field;
use crate::threads::lock;
use bytes::{Bytes, BytesMut};
use std::sync::PoisonError;
use std::time::{Duration, Instant};
use tackmast_trace::Event;
use tackmast_wire::iscsi::{op, Pdu, FINAL, READS, WRITES};
use tackmast_wire::scsi::Command;

/// How long a command other than a read or write waits for the window.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// A read or write, and what the recorder is to know of it.
#[derive(Clone, Debug)]
pub struct IoRequest {
    /// Unit number of the volume.
    pub lun: u32,
    /// Index of the traffic class.
    pub traffic_class: u32,
    /// The first block.
    pub block: u64,
    /// Bytes of a block.
    pub block_bytes: u32,
    /// What is to be done.
    pub operation: IoOperation,
    /// Time until nobody waits for the answer.
    pub deadline_us: u64,
}

/// What a request does.
#[derive(Clone, Debug)]
pub enum IoOperation {
    /// Reads so many blocks.
    Read {
        /// Number of blocks.
        blocks: u32,
    },
    /// Writes whole blocks.
    Write {
        /// Their bytes.
        data: Bytes,
    },
}

/// A command with what it transfers.
struct Submission<'a> {
    label: u64,
    lun: u32,
    command: Command,
    /// Bytes that it transfers.
    expected_bytes: u32,
    /// The bytes that it writes.
    upload: Bytes,
    /// The read or write that is to be recorded.
    recorded: Option<&'a IoRequest>,
}

impl Initiator {
    /// Submits a read or write as soon as the window allows it; returns its number. `None`: the session is over, or the window did not
    /// open within the time-out.
    pub fn submit(&self, label: u64, request: &IoRequest, timeout: Duration) -> Option<u32> {
        let block = request.block;
        let (command, upload) = match &request.operation {
            IoOperation::Read { blocks } => (Command::Read { block, blocks: *blocks }, Bytes::new()),
            IoOperation::Write { data } => {
                let blocks = (data.len() / request.block_bytes as usize) as u32;
                (Command::Write { block, blocks }, data.clone())
            }
        };
        let submission = Submission {
            label,
            lun: request.lun,
            command,
            expected_bytes: request.bytes() as u32,
            upload,
            recorded: Some(request),
        };
        self.send(&submission, timeout)
    }

    /// Submits any other command, which reads up to `max_bytes`. It is not recorded.
    pub fn submit_command(&self, label: u64, lun: u32, command: Command, max_bytes: u32) -> Option<u32> {
        let (upload, recorded) = (Bytes::new(), None);
        let submission = Submission { label, lun, command, expected_bytes: max_bytes, upload, recorded };
        self.send(&submission, COMMAND_TIMEOUT)
    }

    fn send(&self, submission: &Submission, timeout: Duration) -> Option<u32> {
        let give_up_at = Instant::now() + timeout;
        let session = &self.inner;
        loop {
            // Numbers must reach the host in their order, so the writer is locked while a number is taken.
            let mut writer = lock(&session.writer);
            let mut state = lock(&session.state);
            if !state.is_open {
                return None;
            }
            if state.window_end.wrapping_sub(state.next_number) as i32 >= 0 {
                let number = state.next_number;
                state.next_number = number.wrapping_add(1);
                let expected_status = state.expected_status;
                state.pending.insert(number, submission.pending());
                drop(state);
                self.note_submitted(number, submission);
                // A broken connection shows in the reader, which answers all that is pending.
                _ = session.write(&mut writer, &self.pdu(number, expected_status, submission));
                return Some(number);
            }
            drop(writer);
            let left = give_up_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            drop(session.window_changed.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner));
        }
    }

    fn note_submitted(&self, number: u32, submission: &Submission) {
        let Some(request) = submission.recorded else { return };
        self.inner.recorder.note(Event::Submit {
            host: self.inner.host,
            session: self.session,
            command: number,
            volume: request.lun,
            traffic_class: request.traffic_class,
            write: matches!(request.operation, IoOperation::Write { .. }),
            offset: request.block * u64::from(request.block_bytes),
            bytes: request.bytes(),
            deadline_us: request.deadline_us,
        });
    }

    fn pdu(&self, number: u32, expected_status: u32, submission: &Submission) -> Pdu {
        let Submission { lun, command, expected_bytes, upload, .. } = submission;
        let flags = match (upload.is_empty(), *expected_bytes) {
            (false, _) => WRITES,
            (true, 0) => 0,
            (true, _) => READS,
        };
        let mut pdu = Pdu::new(op::COMMAND, FINAL | flags);
        pdu.set_lun(*lun)
            .set32(field::TASK_TAG, number)
            .set32(field::EXPECTED_BYTES, *expected_bytes)
            .set32(field::COMMAND_NUMBER, number)
            .set32(field::EXPECTED_STATUS, expected_status);
        pdu.head[field::CDB].copy_from_slice(&command.to_cdb());
        if self.inner.has_immediate_data {
            let immediate_bytes =
                upload.len().min(self.inner.first_burst_bytes).min(self.inner.segment_bytes);
            pdu.data = upload.slice(..immediate_bytes);
        }
        pdu
    }
}

impl Submission<'_> {
    fn pending(&self) -> PendingCommand {
        PendingCommand {
            label: self.label,
            upload: self.upload.clone(),
            data: BytesMut::new(),
            is_recorded: self.recorded.is_some(),
        }
    }
}

impl IoRequest {
    /// Bytes that the request transfers.
    fn bytes(&self) -> u64 {
        match &self.operation {
            IoOperation::Read { blocks } => u64::from(*blocks) * u64::from(self.block_bytes),
            IoOperation::Write { data } => data.len() as u64,
        }
    }
}
