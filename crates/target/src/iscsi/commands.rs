//! SCSI commands. The session answers most of them itself, and submits reads and writes to the host.

use super::uploads::Upload;
use super::{IscsiSession, Task};
use crate::error::SessionError;
use crate::event::{Event, Work};
use bytes::Bytes;
use tackmast_wire::iscsi::{field, op, Pdu};
use tackmast_wire::scsi::{self, status, Command, Sense, Unit};

/// The number of open commands at which an immediate command ends the session, in windows. The window itself does not
/// limit immediate commands (RFC 7143, section 4.2.2.1).
const MAX_OPEN_WINDOWS: usize = 2;

/// The answer to a command that the session answers itself.
struct SimpleAnswer {
    data: Bytes,
    /// The allocation length of the command, in bytes.
    max_bytes: u32,
}

/// The blocks of a read or write.
#[derive(Clone, Copy)]
struct BlockRange {
    block: u64,
    blocks: u32,
}

impl IscsiSession {
    pub(super) fn on_command(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        let command = pdu.u32(field::SEQUENCE);
        self.check_command(command, &pdu)?;
        let lun = pdu.lun();
        let unit = lun.and_then(|lun| self.units.iter().find(|unit| unit.lun == lun)).cloned();
        let task = Task {
            tag: pdu.tag(),
            lun: lun.unwrap_or(0),
            expected_bytes: pdu.u32(field::LENGTH_OR_TAG),
            deadline_ms: self.command_deadline_ms(&pdu),
            upload: None,
        };
        let parsed = Command::parse(&pdu.cdb());
        match (parsed, &unit) {
            (Ok(Command::Read { block, blocks }), Some(unit)) => {
                self.on_read(command, task, unit, BlockRange { block, blocks });
                Ok(())
            }
            (Ok(Command::Write { block, blocks }), Some(unit)) => {
                self.on_write(command, task, unit, BlockRange { block, blocks }, pdu.data)
            }
            (parsed, unit) => {
                let answer = parsed.and_then(|command| self.simple_answer(command, unit.as_ref()));
                self.send_simple_answer(&task, answer);
                Ok(())
            }
        }
    }

    fn check_command(&self, command: u32, pdu: &Pdu) -> Result<(), SessionError> {
        let (tag, open) = (pdu.tag(), self.tasks.len());
        if self.parameters.is_discovery {
            let what = "operation in a discovery session";
            return Err(SessionError::protocol(what, op::COMMAND, "text or logout"));
        }
        if self.tasks.values().any(|task| task.tag == tag) || self.tasks.contains_key(&command) {
            let expected = "a tag and a number that no open command uses";
            return Err(SessionError::protocol("task tag", tag, expected));
        }
        if pdu.immediate() && open >= MAX_OPEN_WINDOWS * self.offer.window as usize {
            return Err(SessionError::protocol("immediate commands", open as u64, "fewer open commands"));
        }
        Ok(())
    }

    /// Returns the command's own deadline, limited to the offered range, or else the session's deadline.
    fn command_deadline_ms(&self, pdu: &Pdu) -> Option<u32> {
        let own = pdu.deadline().filter(|_| self.parameters.command_deadlines);
        own.map(|us| self.offer.clamp_deadline_us(us)).or(self.parameters.deadline_ms)
    }

    fn simple_answer(&self, command: Command, unit: Option<&Unit>) -> Result<SimpleAnswer, Sense> {
        match (command, unit) {
            (Command::Inquiry { page, allocation_length: max_bytes }, unit) => {
                scsi::inquiry(unit, page).map(|data| SimpleAnswer { data, max_bytes })
            }
            (Command::ReportLuns { allocation_length: max_bytes }, _) => {
                Ok(SimpleAnswer { data: scsi::report_luns(&self.units), max_bytes })
            }
            (Command::RequestSense { allocation_length: max_bytes }, _) => {
                let data = Bytes::copy_from_slice(&Sense(0, 0, 0).fixed());
                Ok(SimpleAnswer { data, max_bytes })
            }
            (_, None) => Err(Sense::NO_SUCH_UNIT),
            (Command::ReadCapacity10, Some(unit)) => {
                let data = scsi::capacity10(unit);
                Ok(SimpleAnswer { max_bytes: data.len() as u32, data })
            }
            (Command::ReadCapacity16 { allocation_length: max_bytes }, Some(unit)) => {
                Ok(SimpleAnswer { data: scsi::capacity16(unit), max_bytes })
            }
            (Command::ModeSense { long, allocation_length: max_bytes }, Some(_)) => {
                let data = if long { scsi::mode_sense10() } else { scsi::mode_sense6() };
                Ok(SimpleAnswer { data, max_bytes })
            }
            // A write is answered when its nodes have stored it, so there is nothing to synchronize. Reads and writes are
            // handled by the caller.
            (
                Command::TestUnitReady | Command::Synchronize | Command::Read { .. } | Command::Write { .. },
                Some(_),
            ) => Ok(SimpleAnswer { data: Bytes::new(), max_bytes: 0 }),
        }
    }

    fn send_simple_answer(&mut self, task: &Task, answer: Result<SimpleAnswer, Sense>) {
        match answer {
            Ok(SimpleAnswer { data, max_bytes }) => {
                let data = data.slice(..data.len().min(max_bytes as usize));
                self.send_data(task, data);
            }
            Err(sense) => self.send_check_condition(task, sense),
        }
    }

    fn on_read(&mut self, command: u32, task: Task, unit: &Unit, range: BlockRange) {
        if let Err(sense) = self.check_range(unit, range) {
            return self.send_check_condition(&task, sense);
        }
        if range.blocks == 0 {
            return self.send_response(&task, status::GOOD, 0, Bytes::new());
        }
        self.submit(command, task, range.block, Work::Read { blocks: range.blocks });
    }

    fn on_write(
        &mut self,
        command: u32,
        mut task: Task,
        unit: &Unit,
        range: BlockRange,
        immediate: Bytes,
    ) -> Result<(), SessionError> {
        let length = u64::from(range.blocks) * u64::from(unit.block_bytes);
        let mut checked = self.check_range(unit, range);
        if checked.is_ok() && u64::from(task.expected_bytes) != length {
            checked = Err(Sense::SHORT_DATA);
        }
        if let Err(sense) = checked {
            self.send_check_condition(&task, sense);
            return Ok(());
        }
        if range.blocks == 0 {
            self.send_response(&task, status::GOOD, 0, Bytes::new());
            return Ok(());
        }
        let length = length as usize;
        self.check_immediate_data(&immediate, length)?;
        if immediate.len() == length {
            self.submit(command, task, range.block, Work::Write { data: immediate });
            return Ok(());
        }
        task.upload = Some(Upload::new(range.block, length, &immediate));
        self.tasks.insert(command, task);
        self.events.push_back(Event::Begun { command });
        self.solicit(command);
        Ok(())
    }

    fn submit(&mut self, command: u32, task: Task, block: u64, work: Work) {
        let (lun, deadline_ms) = (task.lun, task.deadline_ms);
        self.tasks.insert(command, task);
        self.events.push_back(Event::Submit { command, lun, block, work, deadline_ms });
    }

    fn check_range(&self, unit: &Unit, range: BlockRange) -> Result<(), Sense> {
        let BlockRange { block, blocks } = range;
        let bytes = u64::from(blocks) * u64::from(unit.block_bytes);
        if block.checked_add(u64::from(blocks)).is_none_or(|end| end > unit.blocks) {
            return Err(Sense::OUT_OF_RANGE);
        }
        if blocks > unit.max_blocks || bytes > u64::from(self.offer.max_command) {
            return Err(Sense::INVALID_FIELD);
        }
        Ok(())
    }

    fn check_immediate_data(&self, immediate: &Bytes, length: usize) -> Result<(), SessionError> {
        let max = match self.parameters.immediate_data {
            true => self.parameters.first_burst as usize,
            false => 0,
        };
        if immediate.len() > max.min(length) {
            let found = immediate.len() as u64;
            return Err(SessionError::protocol("immediate data", found, format!("at most {max} bytes")));
        }
        Ok(())
    }
}
