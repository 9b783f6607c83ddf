//! The data of writes. Data that did not come with the command is solicited one burst at a time.

use super::IscsiSession;
use crate::error::SessionError;
use crate::event::{Event, Work};
use bytes::{Bytes, BytesMut};
use tackmast_wire::iscsi::{field, op, Pdu, FINAL};

/// A write whose data is not complete.
pub(super) struct Upload {
    block: u64,
    /// The length of the whole write, in bytes.
    length: usize,
    /// The data received so far.
    data: BytesMut,
    /// The end of the burst that was solicited last, as a byte offset in the write.
    solicited_until: usize,
    /// The number of the next Data-Out PDU in its burst (DataSN).
    next_data_number: u32,
    /// The number of the next R2T (R2TSN).
    next_solicitation: u32,
}

impl Upload {
    /// Creates the upload of a write of `length` bytes, the first of which came as the command's immediate data.
    pub(super) fn new(block: u64, length: usize, immediate: &Bytes) -> Upload {
        let mut data = BytesMut::with_capacity(length);
        data.extend_from_slice(immediate);
        let solicited_until = immediate.len();
        Upload { block, length, data, solicited_until, next_data_number: 0, next_solicitation: 0 }
    }

    /// Adds the data of a Data-Out PDU, which must be the next one of the solicited burst.
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
    /// Sends an R2T for the next burst of a write's data.
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
            // The write was aborted or answered before the rest of its data was received.
            return Ok(());
        };
        let Some(upload) = task.upload.as_mut() else {
            let expected = "a write with an outstanding R2T";
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
