//! Reads what the host sends, and hands out the replies.

use super::{LabelledReply, PendingCommand, Reply, Session, IMMEDIATE};
use crate::iscsi_fields as field;
use crate::threads::lock;
use bytes::Bytes;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use tackmast_trace::{AnswerKind, Event};
use tackmast_wire::iscsi::{self, op, Pdu, Units, CONTINUES, FINAL, NO_TAG};
use tackmast_wire::scsi::{status, Sense};

/// Bytes that are read at once.
const READ_BYTES: usize = 64 << 10;
/// Unit of the retry-after in a response, in microseconds.
const RETRY_AFTER_UNIT_US: u64 = 100_000;
/// The bits of the retry-after in a response.
const RETRY_AFTER_MASK: u16 = 0x3fff;
/// Where the data of a rejection carries its exact retry-after, in microseconds.
const EXACT_RETRY_AFTER: std::ops::Range<usize> = 2..6;

/// Whether a session continues.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SessionFlow {
    Open,
    Ended,
}

impl Session {
    /// Reads until the session ends, and tells all pending commands so.
    pub(super) fn read_answers(&self, mut stream: TcpStream, mut units: Units) {
        let mut buffer = vec![0; READ_BYTES];
        while self.read_once(&mut stream, &mut units, &mut buffer) == SessionFlow::Open {}
        _ = stream.shutdown(Shutdown::Both);
        let mut state = lock(&self.state);
        state.is_open = false;
        let lost: Vec<PendingCommand> = state.pending.drain().map(|(_, pending)| pending).collect();
        drop(state);
        self.window_changed.notify_all();
        for pending in lost {
            _ = self.replies.send(LabelledReply { label: pending.label, reply: Reply::Lost });
        }
    }

    /// Handles the next unit, or reads once if there is none.
    fn read_once(&self, stream: &mut TcpStream, units: &mut Units, buffer: &mut [u8]) -> SessionFlow {
        match units.next_unit() {
            Ok(Some(pdu)) => return self.on_unit(&pdu),
            Ok(None) => {}
            Err(_) => return SessionFlow::Ended,
        }
        match stream.read(buffer) {
            Ok(0) | Err(_) => SessionFlow::Ended,
            Ok(length) => {
                units.push(&buffer[..length]);
                SessionFlow::Open
            }
        }
    }

    fn on_unit(&self, pdu: &Pdu) -> SessionFlow {
        self.on_window(pdu.u32(field::MAX_COMMAND));
        match pdu.opcode() {
            op::DATA_IN => self.on_data(pdu),
            op::RESPONSE => {
                self.on_response(pdu);
                SessionFlow::Open
            }
            op::R2T => self.on_data_request(pdu),
            op::NOP_IN if pdu.u32(field::TARGET_TAG) != NO_TAG => self.on_ping(pdu),
            op::LOGOUT_RESPONSE => SessionFlow::Ended,
            op::TEXT_RESPONSE if pdu.has(CONTINUES) => SessionFlow::Ended,
            _ => SessionFlow::Open,
        }
    }

    fn on_window(&self, window_end: u32) {
        let mut state = lock(&self.state);
        if window_end.wrapping_sub(state.window_end) as i32 > 0 {
            state.window_end = window_end;
            self.window_changed.notify_all();
        }
    }

    fn on_data(&self, pdu: &Pdu) -> SessionFlow {
        let mut state = lock(&self.state);
        let Some(pending) = state.pending.get_mut(&pdu.tag()) else { return SessionFlow::Ended };
        if pdu.u32(field::BUFFER_OFFSET) as usize != pending.data.len() {
            return SessionFlow::Ended;
        }
        pending.data.extend_from_slice(&pdu.data);
        if pdu.has(iscsi::STATUS_HERE) {
            state.expected_status = pdu.u32(field::STATUS_NUMBER).wrapping_add(1);
            let pending = state.pending.remove(&pdu.tag());
            drop(state);
            if let Some(pending) = pending {
                self.reply(pdu, pending, status::GOOD);
            }
        }
        SessionFlow::Open
    }

    fn on_response(&self, pdu: &Pdu) {
        let mut state = lock(&self.state);
        state.expected_status = pdu.u32(field::STATUS_NUMBER).wrapping_add(1);
        let pending = state.pending.remove(&pdu.tag());
        drop(state);
        if let Some(pending) = pending {
            self.reply(pdu, pending, pdu.head[field::STATUS]);
        }
    }

    /// Sends the part of a write that the host asks for, in pieces.
    fn on_data_request(&self, pdu: &Pdu) -> SessionFlow {
        let state = lock(&self.state);
        let expected_status = state.expected_status;
        let Some(pending) = state.pending.get(&pdu.tag()) else { return SessionFlow::Open };
        let upload = pending.upload.clone();
        drop(state);
        let start = pdu.u32(field::BUFFER_OFFSET) as usize;
        let length = pdu.u32(field::DESIRED_BYTES) as usize;
        if start + length > upload.len() {
            return SessionFlow::Ended;
        }
        let mut writer = lock(&self.writer);
        let mut sent = 0;
        let mut number = 0;
        while sent < length {
            let piece_bytes = self.segment_bytes.min(length - sent);
            let is_last = sent + piece_bytes == length;
            let offset = start + sent;
            let mut piece = Pdu::new(op::DATA_OUT, if is_last { FINAL } else { 0 });
            piece.head[field::LUN].copy_from_slice(&pdu.head[field::LUN]);
            piece
                .set32(field::TASK_TAG, pdu.tag())
                .set32(field::TARGET_TAG, pdu.u32(field::TARGET_TAG))
                .set32(field::EXPECTED_STATUS, expected_status)
                .set32(field::DATA_NUMBER, number)
                .set32(field::BUFFER_OFFSET, offset as u32);
            piece.data = upload.slice(offset..offset + piece_bytes);
            if self.write(&mut writer, &piece).is_err() {
                return SessionFlow::Ended;
            }
            sent += piece_bytes;
            number += 1;
        }
        SessionFlow::Open
    }

    fn on_ping(&self, pdu: &Pdu) -> SessionFlow {
        let mut pong = Pdu::new(op::NOP_OUT | IMMEDIATE, FINAL);
        let state = lock(&self.state);
        pong.set32(field::TASK_TAG, NO_TAG)
            .set32(field::TARGET_TAG, pdu.u32(field::TARGET_TAG))
            .set32(field::COMMAND_NUMBER, state.next_number)
            .set32(field::EXPECTED_STATUS, state.expected_status);
        drop(state);
        match self.write(&mut lock(&self.writer), &pong) {
            Ok(()) => SessionFlow::Open,
            Err(_) => SessionFlow::Ended,
        }
    }

    fn reply(&self, pdu: &Pdu, pending: PendingCommand, code: u8) {
        let PendingCommand { label, data, is_recorded, .. } = pending;
        let reply = match code {
            status::GOOD => Reply::Done(data.freeze()),
            status::BUSY => Reply::Rejected { retry_after_us: retry_after_us(pdu) },
            _ => match Sense::from_segment(&pdu.data) {
                Some(Sense::FAILED) => Reply::Failed,
                sense => Reply::InvalidRequest(sense.unwrap_or(Sense(0, 0, 0))),
            },
        };
        if is_recorded {
            self.note_answer(pdu.tag(), &reply);
        }
        _ = self.replies.send(LabelledReply { label, reply });
    }

    fn note_answer(&self, command: u32, reply: &Reply) {
        let (kind, retry_after_us) = match reply {
            Reply::Done(_) => (AnswerKind::Done, 0),
            Reply::Rejected { retry_after_us } => (AnswerKind::Rejected, *retry_after_us),
            Reply::Failed => (AnswerKind::Failed, 0),
            Reply::InvalidRequest(_) => (AnswerKind::InvalidRequest, 0),
            Reply::Lost => return,
        };
        let (host, session) = (self.host, self.number);
        self.recorder.note(Event::Answer { host, session, command, kind, retry_after_us });
    }
}

/// When a rejected client should come back: exactly where the host says so, else in units of 100 ms.
fn retry_after_us(pdu: &Pdu) -> u64 {
    exact_retry_after_us(&pdu.data).unwrap_or_else(|| {
        let units = pdu.u16(field::RETRY_AFTER) & RETRY_AFTER_MASK;
        u64::from(units) * RETRY_AFTER_UNIT_US
    })
}

fn exact_retry_after_us(data: &Bytes) -> Option<u64> {
    let bytes: [u8; 4] = data.get(EXACT_RETRY_AFTER)?.try_into().ok()?;
    Some(u64::from(u32::from_be_bytes(bytes)))
}
