//! Reads along in an iSCSI session.

use super::session::{IoCommand, SessionState};
use super::{ProxySettings, MAX_UNIT_BYTES};
use crate::iscsi_fields as field;
use tackmast_trace::AnswerKind;
use tackmast_wire::iscsi::{self, op, Pdu, Units};
use tackmast_wire::scsi::{status, Command, Sense};

/// What clients send.
pub(super) struct IscsiRequests(Units);

impl IscsiRequests {
    pub(super) fn new() -> Self {
        IscsiRequests(Units::new(MAX_UNIT_BYTES))
    }

    pub(super) fn read(&mut self, proxy: &ProxySettings, state: &mut SessionState, bytes: &[u8]) {
        self.0.digests = state.digests;
        self.0.push(bytes);
        while let Ok(Some(pdu)) = self.0.next_unit() {
            on_request(proxy, state, &pdu);
        }
    }
}

fn on_request(proxy: &ProxySettings, state: &mut SessionState, pdu: &Pdu) {
    match pdu.opcode() {
        op::COMMAND => on_command(proxy, state, pdu),
        op::TASK => state.give_up(proxy, u64::from(pdu.u32(field::REFERENCED_TAG))),
        _ => {}
    }
}

fn on_command(proxy: &ProxySettings, state: &mut SessionState, pdu: &Pdu) {
    let (write, block, blocks) = match Command::parse(&pdu.cdb()) {
        Ok(Command::Read { block, blocks }) => (false, block, blocks),
        Ok(Command::Write { block, blocks }) => (true, block, blocks),
        _ => return,
    };
    let Some(lun) = pdu.lun() else { return };
    let Some(volume) = proxy.volumes.iter().position(|volume| volume.lun == lun) else { return };
    let block_bytes = u64::from(proxy.volumes[volume].block_bytes);
    let command = IoCommand {
        id: u64::from(pdu.tag()),
        number: pdu.u32(field::COMMAND_NUMBER),
        volume,
        write,
        offset: block * block_bytes,
        bytes: u64::from(blocks) * block_bytes,
        deadline_us: pdu.deadline(),
    };
    state.submit(proxy, &command);
}

/// What a host sends.
pub(super) struct IscsiAnswers(Units);

impl IscsiAnswers {
    pub(super) fn new() -> Self {
        IscsiAnswers(Units::new(MAX_UNIT_BYTES))
    }

    pub(super) fn read(&mut self, proxy: &ProxySettings, state: &mut SessionState, bytes: &[u8]) {
        self.0.push(bytes);
        while let Ok(Some(pdu)) = self.0.next_unit() {
            on_answer(proxy, state, &pdu);
            self.0.digests = state.digests;
        }
    }
}

fn on_answer(proxy: &ProxySettings, state: &mut SessionState, pdu: &Pdu) {
    let id = u64::from(pdu.tag());
    match pdu.opcode() {
        op::LOGIN_RESPONSE if pdu.head[field::LOGIN_STATUS_CLASS] == 0 => on_login(state, pdu),
        op::DATA_IN if pdu.has(iscsi::STATUS_HERE) => state.answer(proxy, id, AnswerKind::Done),
        op::RESPONSE => {
            let kind = match pdu.head[field::STATUS] {
                status::GOOD => AnswerKind::Done,
                status::BUSY => AnswerKind::Rejected,
                _ if Sense::from_segment(&pdu.data) == Some(Sense::FAILED) => AnswerKind::Failed,
                _ => AnswerKind::InvalidRequest,
            };
            state.answer(proxy, id, kind);
        }
        _ => {}
    }
}

fn on_login(state: &mut SessionState, pdu: &Pdu) {
    for iscsi::TextKey { name, value } in iscsi::read_keys(&pdu.data).unwrap_or_default() {
        match name.as_str() {
            "HeaderDigest" => state.digests.header = value == "CRC32C",
            "DataDigest" => state.digests.data = value == "CRC32C",
            "X-org.tackmast.ExpiryMs" => {
                state.deadline_us = value.parse::<u64>().ok().map(|deadline_ms| deadline_ms * 1000);
            }
            _ => {}
        }
    }
    state.number = Some(u32::from(pdu.u16(field::SESSION_HANDLE)));
}
