//! Handles the messages of the target in the full feature phase: data, requests for data (R2T), pings and responses.

use super::{IscsiClient, PendingCommand, Phase, IMMEDIATE, MAX_DATA};
use crate::operation::Outcome;
use crate::transport::{SessionEvent, TransportError};
use bytes::Bytes;
use tackmast::interface::TimeDelta;
use tackmast_wire::iscsi::{self, field, op, Pdu, FINAL, NO_TAG};
use tackmast_wire::scsi::{status, Command, Sense};

/// Code of the Block Limits VPD page (SBC-4, section 6.6.4).
const BLOCK_LIMITS_PAGE: u8 = 0xb0;
/// Allocation length for the Block Limits page, in bytes.
const BLOCK_LIMITS_BYTES: u32 = 64;
/// Smallest usable length of the answers to the session's own commands, in bytes.
const MIN_ANSWER_BYTES: usize = 12;
/// Sense key ILLEGAL REQUEST, of a command that is invalid in itself (SPC-4, section 4.5.6).
const ILLEGAL_REQUEST: u8 = 0x05;
/// Bits of the status qualifier that hold a delay (RFC 7144, section 4.1).
const DELAY_MASK: u16 = 0x3fff;
/// Unit of the delay in the status qualifier, in microseconds.
const DELAY_STEP_US: u64 = 100_000;
/// Largest size of one call, in bytes, where the target reports no limit. It is well below the largest 32-bit length.
const DEFAULT_MAX_CALL_BYTES: u64 = 65_536;

impl IscsiClient {
    pub(super) fn on_data_in(&mut self, pdu: &Pdu) -> Result<(), TransportError> {
        let Some(command) = self.pending.get_mut(&pdu.tag()) else { return Ok(()) };
        let (found, expected) = (pdu.u32(field::DATA_OFFSET), command.download.len());
        let length = command.read_bytes;
        if found as usize != expected || expected + pdu.data.len() > length {
            return Err(TransportError::DataOutOfOrder { found, expected, length });
        }
        command.download.extend_from_slice(&pdu.data);
        if pdu.has(iscsi::STATUS_HERE) {
            self.on_response(pdu, status::GOOD);
        }
        Ok(())
    }

    /// Answers a NOP-In of the target that requests a reply.
    pub(super) fn on_nop_in(&mut self, pdu: &Pdu) {
        let target_tag = pdu.u32(field::LENGTH_OR_TAG);
        if target_tag == NO_TAG {
            return;
        }
        let mut reply = Pdu::new(op::NOP_OUT | IMMEDIATE, FINAL);
        reply
            .set32(field::TASK_TAG, NO_TAG)
            .set32(field::LENGTH_OR_TAG, target_tag)
            .set32(field::SEQUENCE, self.next_command)
            .set32(field::EXPECTED_SEQUENCE, self.expected_status);
        self.transmit(&reply);
    }

    /// Sends the part of a write's data that an R2T requests.
    pub(super) fn on_r2t(&mut self, pdu: &Pdu) -> Result<(), TransportError> {
        let Some(command) = self.pending.get(&pdu.tag()) else { return Ok(()) };
        let upload = command.upload.clone();
        let start = pdu.u32(field::DATA_OFFSET) as usize;
        let length = pdu.u32(field::DESIRED_LENGTH) as usize;
        if start + length > upload.len() {
            let available = upload.len();
            return Err(TransportError::RequestBeyondWrite { length, start, available });
        }
        let (mut sent, mut data_number) = (0, 0);
        while sent < length {
            let segment_bytes = self.parameters.max_segment.min(length - sent);
            let is_last = sent + segment_bytes == length;
            let mut data_out = Pdu::new(op::DATA_OUT, if is_last { FINAL } else { 0 });
            data_out.head[8..16].copy_from_slice(&pdu.head[8..16]);
            data_out
                .set32(field::TASK_TAG, pdu.tag())
                .set32(field::LENGTH_OR_TAG, pdu.u32(field::LENGTH_OR_TAG))
                .set32(field::EXPECTED_SEQUENCE, self.expected_status)
                .set32(field::DATA_NUMBER, data_number)
                .set32(field::DATA_OFFSET, (start + sent) as u32);
            data_out.data = upload.slice(start + sent..start + sent + segment_bytes);
            self.transmit(&data_out);
            sent += segment_bytes;
            data_number += 1;
        }
        Ok(())
    }

    /// Handles the SCSI status of a command.
    pub(super) fn on_response(&mut self, pdu: &Pdu, status: u8) {
        self.expected_status = pdu.u32(field::SEQUENCE).wrapping_add(1);
        let Some(command) = self.pending.remove(&pdu.tag()) else { return };
        let Some(tag) = command.caller_tag else {
            return self.on_own_response(status, &command.download.freeze());
        };
        self.commands_by_tag.remove(&tag);
        let outcome = outcome(command, status, pdu);
        self.events.push_back(SessionEvent::Answer { tag, outcome });
    }

    /// Handles the response to a command of the session itself.
    fn on_own_response(&mut self, status: u8, data: &Bytes) {
        let is_good = status == status::GOOD && data.len() >= MIN_ANSWER_BYTES;
        match self.phase {
            Phase::Capacity if is_good => {
                self.volume.block_bytes = big_endian(&data[8..12]) as u32;
                let block_count = big_endian(&data[0..8]) + 1;
                self.volume.bytes = block_count.saturating_mul(u64::from(self.volume.block_bytes));
                self.phase = Phase::Limits;
                let page = Some(BLOCK_LIMITS_PAGE);
                let command = Command::Inquiry { page, allocation_length: BLOCK_LIMITS_BYTES };
                self.send_own_command(command, BLOCK_LIMITS_BYTES);
            }
            Phase::Limits => {
                let block_bytes = u64::from(self.volume.block_bytes);
                let max_blocks = match is_good {
                    true => big_endian(&data[8..12]),
                    false => 0,
                };
                let max_blocks =
                    if max_blocks == 0 { DEFAULT_MAX_CALL_BYTES / block_bytes } else { max_blocks };
                self.volume.max_bytes = (max_blocks * block_bytes).min(MAX_DATA as u64) as u32;
                self.phase = Phase::Ready;
                self.events.push_back(SessionEvent::Ready(self.volume));
            }
            _ => {
                self.phase = Phase::Closed;
                let reason = format!("LUN {}: no such volume", self.address.lun);
                self.events.push_back(SessionEvent::Refused { reason, may_reconnect: false });
            }
        }
    }
}

/// Returns the outcome of a command with a SCSI status.
fn outcome(command: PendingCommand, status: u8, pdu: &Pdu) -> Outcome {
    match status {
        status::GOOD if command.download.len() == command.read_bytes => {
            Outcome::Done(command.download.freeze())
        }
        // A read with less data than requested has failed.
        status::GOOD => Outcome::Failed,
        status::BUSY => Outcome::Rejected { retry_after: retry_after(pdu) },
        _ => match Sense::from_segment(&pdu.data) {
            Some(Sense(ILLEGAL_REQUEST, code, qualifier)) => {
                Outcome::InvalidRequest(format!("illegal request, {code:02x}h/{qualifier:02x}h"))
            }
            _ => Outcome::Failed,
        },
    }
}

/// Returns how long the target asks the client to wait before a retry. Where the private key for exact delays was negotiated, the
/// delay follows an empty sense length, in microseconds; otherwise it is in the status qualifier.
fn retry_after(pdu: &Pdu) -> Option<TimeDelta> {
    let exact_us = pdu.data.get(2..6).map(big_endian);
    let coarse_us = u64::from(pdu.u16(8) & DELAY_MASK) * DELAY_STEP_US;
    let delay_us = exact_us.unwrap_or(coarse_us);
    (delay_us > 0).then(|| TimeDelta::from_secs(delay_us as f64 / 1e6))
}

fn big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |value, byte| value << 8 | u64::from(*byte))
}
