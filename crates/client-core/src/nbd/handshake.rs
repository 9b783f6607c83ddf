//! The fixed newstyle handshake: greeting, structured replies, the gateway's additions, and the opening of the volume.

use super::{NbdClient, Phase, MAX_READ, MAX_WINDOW};
use crate::transport::{SessionEvent, TransportError};
use bytes::{Buf, Bytes};
use tackmast_wire::nbd::{self, info, option, reply, ServerUnit, Stage};

impl NbdClient {
    pub(super) fn on_handshake(&mut self, unit: ServerUnit) -> Result<(), TransportError> {
        match (self.phase, unit) {
            (Phase::Greeting, ServerUnit::Greeting { flags }) => self.on_greeting(flags),
            (Phase::StructuredReplies, ServerUnit::OptionReply { kind, .. }) => {
                self.on_structured_replies(kind);
                Ok(())
            }
            (Phase::Additions, ServerUnit::OptionReply { kind, data, .. }) => self.on_additions(kind, &data),
            (Phase::Go, ServerUnit::OptionReply { kind, data, .. }) => {
                self.on_go_reply(kind, data);
                Ok(())
            }
            (_, other) => Err(TransportError::UnexpectedDuringHandshake { message: format!("{other:?}") }),
        }
    }

    fn send_option(&mut self, number: u32, data: &[u8], phase: Phase) {
        nbd::option(number, data, &mut self.output);
        self.phase = phase;
    }

    fn send_go(&mut self) {
        let data = nbd::write_go(&self.address.name, &[info::BLOCK_SIZE]);
        self.send_option(option::GO, &data, Phase::Go);
    }

    fn on_greeting(&mut self, flags: u16) -> Result<(), TransportError> {
        if flags & nbd::FIXED_NEWSTYLE == 0 {
            return Err(TransportError::NoFixedNewstyle);
        }
        let client_flags = u32::from(flags & (nbd::FIXED_NEWSTYLE | nbd::NO_ZEROES));
        self.output.extend_from_slice(&client_flags.to_be_bytes());
        self.input.stage = Stage::Options;
        match self.simple_replies_only {
            true => self.send_go(),
            false => self.send_option(option::STRUCTURED_REPLY, &[], Phase::StructuredReplies),
        }
        Ok(())
    }

    fn on_structured_replies(&mut self, kind: u32) {
        if kind == reply::ACK && self.offered_additions > 0 {
            let version = nbd::write_version(self.offered_additions);
            self.send_option(option::TACKMAST, &version, Phase::Additions);
        } else if kind == reply::ERR_POLICY {
            self.refuse("no room for a further session".into(), true);
        } else {
            self.send_go();
        }
    }

    /// Handles the answer to the request for the additions. A server that does not know them answers with an error, and the session
    /// uses the public protocol only.
    fn on_additions(&mut self, kind: u32, data: &Bytes) -> Result<(), TransportError> {
        if kind == reply::ACK {
            self.additions = nbd::read_version(data)?.min(self.offered_additions);
            // Requests beyond the server's window would wait in socket buffers, where their deadlines are not checked.
            let server_window = nbd::read_window(data).map(|window| window as usize);
            self.window = server_window.unwrap_or(MAX_WINDOW).clamp(1, MAX_WINDOW);
        }
        self.send_go();
        Ok(())
    }

    fn on_go_reply(&mut self, kind: u32, data: Bytes) {
        match kind {
            reply::INFO if data.len() >= 2 => self.on_information(data),
            reply::ACK => {
                self.input.stage = Stage::Transmission;
                self.phase = Phase::Ready;
                self.events.push_back(SessionEvent::Ready(self.volume));
            }
            _ => {
                let text = String::from_utf8_lossy(&data);
                let reason = format!("volume {:?}: {text}", self.address.name);
                self.refuse(reason, matches!(kind, reply::ERR_POLICY | reply::ERR_SHUTDOWN));
            }
        }
    }

    fn on_information(&mut self, mut data: Bytes) {
        match data.get_u16() {
            info::EXPORT if data.len() >= 10 => self.volume.bytes = data.get_u64(),
            info::BLOCK_SIZE if data.len() >= 12 => {
                self.volume.block_bytes = data.get_u32();
                data.advance(4); // The preferred block size.
                self.volume.max_bytes = data.get_u32().min(MAX_READ);
            }
            _ => {}
        }
    }

    fn refuse(&mut self, reason: String, may_reconnect: bool) {
        self.phase = Phase::Closed;
        self.events.push_back(SessionEvent::Refused { reason, may_reconnect });
    }
}
