//! The data of writes: what goes beyond a command's immediate data is asked for, a burst at a time.

use super::IscsiSession;
use crate::error::SessionError;
use crate::event::{Event, Work};
use bytes::{Bytes, BytesMut};
use tackmast_wire::iscsi::{field, op, Pdu, FINAL};

/// A write whose data is not complete.
pub(super) struct Upload {
    block: u64,
    /// Bytes of the whole write.
    length: usize,
    /// What was received.
    data: BytesMut,
    /// End of the burst that was asked for last, as an offset in the write.
    solicited_until: usize,
    /// Number of the next data unit in its burst.
    next_data_number: u32,
    /// Number of the next request for data.
    next_solicitation: u32,
}

impl Upload {
    /// A write of `length` bytes, of which the first came with its command.
    pub(super) fn new(block: u64, length: usize, immediate: &Bytes) -> Upload {
        let mut data = BytesMut::with_capacity(length);
        data.extend_from_slice(immediate);
        let solicited_until = immediate.len();
        Upload { block, length, data, solicited_until, next_data_number: 0, next_solicitation: 0 }
    }

    /// Adds the data of a unit, which must be the next of the burst that was asked for.
    fn on_data_out(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        let data_number = pdu.u32(field::DATA_NUMBER);
        if data_number != self.next_data_number {
            let expected = self.next_data_number.to_string();
            return Err(SessionError::protocol("data number", data_number, expected));
        }
        let offset = pdu.u32(field::DATA_OFFSET);
        let received = self.data.len();
        if offset as usize != received || received + pdu.data.len() > self.solicited_until {
            let expected = format!("{received} to {}", self.solicited_until);
            return Err(SessionError::protocol("data offset", offset, expected));
        }
        self.data.extend_from_slice(&pdu.data);
        self.next_data_number += 1;
        if pdu.has(FINAL) && !self.is_burst_complete() {
            let expected = self.solicited_until.to_string();
            return Err(SessionError::protocol("data sequence end", self.data.len() as u64, expected));
        }
        Ok(())
    }

    fn is_burst_complete(&self) -> bool {
        self.data.len() >= self.solicited_until
    }

    fn is_complete(&self) -> bool {
        self.data.len() >= self.length
    }
}

impl IscsiSession {
    /// Asks for the next burst of a write's data.
    pub(super) fn solicit(&mut self, command: u32) {
        let max_burst = self.parameters.max_burst as usize;
        let Some(task) = self.tasks.get_mut(&command) else { return };
        let Some(upload) = task.upload.as_mut() else { return };
        let length = (upload.length - upload.solicited_until).min(max_burst);
        let mut pdu = Pdu::new(op::R2T, FINAL);
        pdu.set_lun(task.lun)
            .set32(field::TASK_TAG, task.tag)
            .set32(field::LENGTH_OR_TAG, command)
            .set32(field::DATA_NUMBER, upload.next_solicitation)
            .set32(field::DATA_OFFSET, upload.solicited_until as u32)
            .set32(field::DESIRED_LENGTH, length as u32);
        upload.solicited_until += length;
        upload.next_solicitation += 1;
        upload.next_data_number = 0;
        self.send_without_status(pdu);
    }

    pub(super) fn on_data_out(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        let (tag, command) = (pdu.tag(), pdu.u32(field::LENGTH_OR_TAG));
        let Some(task) = self.tasks.get_mut(&command).filter(|task| task.tag == tag) else {
            // The rest of a write that was aborted or answered meanwhile.
            return Ok(());
        };
        let Some(upload) = task.upload.as_mut() else {
            let expected = "a write that was asked for its data";
            return Err(SessionError::protocol("data for task", tag, expected));
        };
        upload.on_data_out(pdu)?;
        if !upload.is_burst_complete() {
            return Ok(());
        }
        if !upload.is_complete() {
            self.solicit(command);
            return Ok(());
        }
        let (block, data) = (upload.block, upload.data.split().freeze());
        task.upload = None;
        let (lun, deadline_ms) = (task.lun, task.deadline_ms);
        let work = Work::Write { data };
        self.events.push_back(Event::Submit { command, lun, block, work, deadline_ms });
        Ok(())
    }
}
