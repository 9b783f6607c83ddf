//! Reads along in an NBD session.

use super::session::{IoCommand, SessionState};
use super::{ProxySettings, MAX_UNIT_BYTES};
use tackmast_trace::AnswerKind;
use tackmast_wire::nbd::{
    self, chunk, command, option, reply, ClientUnit, ClientUnits, Reply, ServerUnit, ServerUnits, Stage,
};

/// Set in the kind of each chunk that carries an error.
const ERROR_CHUNK: u16 = 0x8000;

/// What clients send.
pub(super) struct NbdRequests(ClientUnits);

impl NbdRequests {
    pub(super) fn new() -> Self {
        NbdRequests(ClientUnits::new(MAX_UNIT_BYTES as u32))
    }

    pub(super) fn read(&mut self, proxy: &ProxySettings, state: &mut SessionState, bytes: &[u8]) {
        self.0.push(bytes);
        loop {
            if self.0.stage == Stage::Options && state.is_negotiated {
                self.0.stage = Stage::Transmission;
            }
            let Ok(Some(unit)) = self.0.next_unit() else { return };
            match unit {
                ClientUnit::Flags(_) => self.0.stage = Stage::Options,
                ClientUnit::Option { option: option::GO, data } => {
                    state.requested_export = nbd::read_go(&data).ok().map(|request| request.name);
                }
                ClientUnit::Option { .. } => {}
                ClientUnit::Request { request, .. } => on_request(proxy, state, &request),
            }
        }
    }
}

fn on_request(proxy: &ProxySettings, state: &mut SessionState, request: &nbd::Request) {
    match request.kind {
        command::READ | command::WRITE if request.length > 0 => {
            let number = state.next_number();
            let Some(volume) = state.volume else { return };
            let command = IoCommand {
                id: request.cookie,
                number,
                volume,
                write: request.kind == command::WRITE,
                offset: request.offset,
                bytes: u64::from(request.length),
                deadline_us: request.deadline_us,
            };
            state.submit(proxy, &command);
        }
        command::CANCEL => state.give_up(proxy, request.offset),
        _ => {}
    }
}

/// What a host sends.
pub(super) struct NbdAnswers(ServerUnits);

impl NbdAnswers {
    pub(super) fn new() -> Self {
        NbdAnswers(ServerUnits::new(MAX_UNIT_BYTES as u32))
    }

    pub(super) fn read(&mut self, proxy: &ProxySettings, state: &mut SessionState, bytes: &[u8]) {
        self.0.push(bytes);
        while let Ok(Some(unit)) = self.0.next_unit(|cookie| state.read_bytes(cookie)) {
            self.on_unit(proxy, state, unit);
        }
    }

    fn on_unit(&mut self, proxy: &ProxySettings, state: &mut SessionState, unit: ServerUnit) {
        match unit {
            ServerUnit::Greeting { .. } => self.0.stage = Stage::Options,
            ServerUnit::OptionReply { option: option::TACKMAST, kind: reply::ACK, data } => {
                state.number = nbd::read_session(&data);
            }
            ServerUnit::OptionReply { option: option::GO, kind: reply::ACK, .. } => {
                let export = state.requested_export.take().unwrap_or_default();
                state.volume = proxy.volumes.iter().position(|volume| volume.name == export);
                state.is_negotiated = true;
                self.0.stage = Stage::Transmission;
            }
            ServerUnit::OptionReply { .. } => {}
            ServerUnit::Reply(Reply::Simple { cookie, error, .. }) => {
                let kind = if error == 0 { AnswerKind::Done } else { AnswerKind::Failed };
                state.answer(proxy, cookie, kind);
            }
            ServerUnit::Reply(Reply::Chunk { cookie, flags, kind, data }) => {
                if flags & nbd::DONE != 0 {
                    state.answer(proxy, cookie, answer_kind(kind, &data));
                }
            }
        }
    }
}

/// The answer that the last chunk of a reply gives.
fn answer_kind(kind: u16, data: &bytes::Bytes) -> AnswerKind {
    let is_invalid_request = || nbd::read_error(data).is_ok_and(|error| error.value != nbd::error::IO);
    match kind {
        chunk::REJECTED => AnswerKind::Rejected,
        chunk::ERROR if is_invalid_request() => AnswerKind::InvalidRequest,
        _ if kind & ERROR_CHUNK != 0 => AnswerKind::Failed,
        _ => AnswerKind::Done,
    }
}
