//! Requests of the transmission phase.

use super::{NbdSession, OpenCommand};
use crate::event::{Ending, Event, Work};
use bytes::Bytes;
use tackmast_wire::nbd::{command, error, flag, Request};
use tackmast_wire::scsi::Unit;

/// The error reply to an invalid request.
struct RequestError {
    code: u32,
    text: &'static str,
}

impl RequestError {
    fn new(code: u32, text: &'static str) -> Self {
        RequestError { code, text }
    }
}

impl NbdSession {
    pub(super) fn on_request(&mut self, request: Request, data: Bytes) {
        let Some(unit) = self.unit.clone() else { return };
        match request.kind {
            command::DISCONNECT => self.close(Ending::Logout),
            // A write is answered when its nodes have stored it, so there is nothing to flush.
            command::FLUSH => self.send_done(request.cookie),
            command::CANCEL if self.additions_version > 0 => self.on_cancel(&request),
            command::READ | command::WRITE => self.on_read_or_write(&unit, &request, data),
            _ => self.send_error(request.cookie, error::INVAL, "this command is not served"),
        }
    }

    /// Aborts the command whose cookie is in the request's offset field.
    fn on_cancel(&mut self, request: &Request) {
        if let Some(command) = self.commands_by_cookie.remove(&request.offset) {
            self.open.remove(&command);
            self.events.push_back(Event::Abort { command });
        }
        self.send_done(request.cookie);
    }

    fn on_read_or_write(&mut self, unit: &Unit, request: &Request, data: Bytes) {
        let is_write = request.kind == command::WRITE;
        if let Err(RequestError { code, text }) = self.check_request(unit, request) {
            return self.send_error(request.cookie, code, text);
        }
        if request.length == 0 {
            return match is_write {
                true => self.send_done(request.cookie),
                false => self.send_data(request.cookie, request.offset, Bytes::new()),
            };
        }
        let number = self.next_command_number();
        let open = OpenCommand { cookie: request.cookie, offset: request.offset, is_write };
        self.open.insert(number, open);
        self.commands_by_cookie.insert(request.cookie, number);
        let deadline_us = request.deadline_us.filter(|_| self.additions_version > 0);
        self.events.push_back(Event::Submit {
            command: number,
            lun: unit.lun,
            block: request.offset / u64::from(unit.block_bytes),
            work: match is_write {
                true => Work::Write { data },
                false => Work::Read { blocks: request.length / unit.block_bytes },
            },
            deadline_ms: deadline_us.map(|us| self.offer.clamp_deadline_us(us)),
        });
    }

    fn check_request(&self, unit: &Unit, request: &Request) -> Result<(), RequestError> {
        let block_bytes = u64::from(unit.block_bytes);
        let (offset, length) = (request.offset, u64::from(request.length));
        let is_aligned = offset.is_multiple_of(block_bytes) && length.is_multiple_of(block_bytes);
        let has_unknown_flag = request.flags & !flag::FUA != 0;
        if has_unknown_flag || !is_aligned || self.commands_by_cookie.contains_key(&request.cookie) {
            let text = "flags, a place or a length that the export does not allow";
            return Err(RequestError::new(error::INVAL, text));
        }
        if offset.checked_add(length).is_none_or(|end| end > unit.blocks * block_bytes) {
            let code = if request.kind == command::WRITE { error::NOSPC } else { error::INVAL };
            return Err(RequestError::new(code, "beyond the end of the export"));
        }
        if length > u64::from(unit.max_blocks) * block_bytes {
            let text = "longer than the export's largest block size";
            return Err(RequestError::new(error::OVERFLOW, text));
        }
        Ok(())
    }

    /// Returns the next command number. Numbers wrap around, and those of open commands are skipped.
    fn next_command_number(&mut self) -> u32 {
        loop {
            self.last_command = self.last_command.wrapping_add(1);
            if !self.open.contains_key(&self.last_command) {
                return self.last_command;
            }
        }
    }
}
