//! The PDUs that the target sends: sequence numbers, responses and the data of reads.

use super::{IscsiSession, Phase, Task};
use crate::event::Verdict;
use bytes::{Bytes, BytesMut};
use tackmast_wire::iscsi::{self, field, op, Digests, Pdu, FINAL, NO_TAG};
use tackmast_wire::scsi::{self, status, Sense};

/// The offset of the SCSI status in a PDU's header, in bytes.
const SCSI_STATUS: usize = 3;
/// The first protocol level whose responses carry status qualifiers (RFC 7144, section 4.1).
const QUALIFIER_LEVEL: u32 = 2;

impl IscsiSession {
    /// Sends a PDU that carries a status, which uses up a status number.
    pub(super) fn send_with_status(&mut self, pdu: Pdu) {
        self.send_without_status(pdu);
        self.next_status = self.next_status.wrapping_add(1);
    }

    /// Sends a PDU without a status. Every PDU informs the client of the command window.
    pub(super) fn send_without_status(&mut self, mut pdu: Pdu) {
        pdu.set32(field::SEQUENCE, self.next_status)
            .set32(field::EXPECTED_SEQUENCE, self.expected_command)
            .set32(field::MAX_COMMAND, self.max_command());
        let digests = match self.phase {
            Phase::Login => Digests::default(),
            Phase::FullFeature | Phase::Over => self.parameters.digests,
        };
        iscsi::encode(&pdu, digests, &mut self.output);
    }

    pub(super) fn send_verdict(&mut self, task: &Task, verdict: Verdict) {
        match verdict {
            Verdict::Done { data } => self.send_data(task, data),
            Verdict::Rejected { retry_after_us } => {
                let qualifier = scsi::retry_delay(retry_after_us);
                self.send_response(task, status::BUSY, qualifier, self.exact_delay(retry_after_us));
            }
            Verdict::Failed => self.send_check_condition(task, Sense::FAILED),
        }
    }

    /// Returns the response data of a rejection. If the client negotiated the vendor key, the data holds a sense length of
    /// 0 (RFC 7143, section 11.4.7) and then the retry-after in microseconds, since the status qualifier can only count in
    /// steps of 100 ms.
    fn exact_delay(&self, retry_after_us: u64) -> Bytes {
        let mut data = BytesMut::new();
        if self.parameters.exact_delay {
            data.extend_from_slice(&[0, 0]);
            data.extend_from_slice(&u32::try_from(retry_after_us).unwrap_or(u32::MAX).to_be_bytes());
        }
        data.freeze()
    }

    pub(super) fn send_check_condition(&mut self, task: &Task, sense: Sense) {
        self.send_response(task, status::CHECK_CONDITION, 0, sense.to_segment());
    }

    /// Sends a SCSI response.
    pub(super) fn send_response(&mut self, task: &Task, code: u8, qualifier: u16, data: Bytes) {
        let has_qualifier = self.parameters.protocol_level >= QUALIFIER_LEVEL;
        let mut pdu = Pdu::new(op::RESPONSE, FINAL);
        pdu.head[SCSI_STATUS] = code;
        pdu.set16(field::STATUS_QUALIFIER, if has_qualifier { qualifier } else { 0 });
        pdu.set32(field::TASK_TAG, task.tag);
        pdu.data = data;
        self.send_with_status(pdu);
    }

    /// Sends data to the client, with the status in the last PDU.
    pub(super) fn send_data(&mut self, task: &Task, data: Bytes) {
        let max_segment = self.parameters.max_segment_to_client as usize;
        let expected = task.expected_bytes as usize;
        let residual = Residual::of(data.len(), expected);
        let data = data.slice(..data.len().min(expected));
        if data.is_empty() {
            return self.send_response(task, status::GOOD, 0, Bytes::new());
        }
        let mut sent = 0;
        let mut data_number = 0;
        while sent < data.len() {
            let end = data.len().min(sent + max_segment);
            let mut pdu = Pdu::new(op::DATA_IN, 0);
            pdu.set32(field::TASK_TAG, task.tag)
                .set32(field::LENGTH_OR_TAG, NO_TAG)
                .set32(field::DATA_NUMBER, data_number)
                .set32(field::DATA_OFFSET, sent as u32);
            pdu.data = data.slice(sent..end);
            if end == data.len() {
                pdu.head[1] |= FINAL | iscsi::STATUS_HERE | residual.flag;
                pdu.head[SCSI_STATUS] = status::GOOD;
                pdu.set32(field::DESIRED_LENGTH, residual.count);
                self.send_with_status(pdu);
            } else {
                self.send_without_status(pdu);
            }
            sent = end;
            data_number += 1;
        }
    }
}

/// The difference in length between the data and the client's expected data transfer length.
struct Residual {
    flag: u8,
    count: u32,
}

impl Residual {
    fn of(length: usize, expected: usize) -> Residual {
        let flag = match length.cmp(&expected) {
            std::cmp::Ordering::Less => iscsi::UNDERFLOW,
            std::cmp::Ordering::Equal => 0,
            std::cmp::Ordering::Greater => iscsi::OVERFLOW,
        };
        Residual { flag, count: length.abs_diff(expected) as u32 }
    }
}
