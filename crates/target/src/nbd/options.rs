//! The options of the handshake.

use super::NbdSession;
use crate::event::Ending;
use bytes::{BufMut, Bytes, BytesMut};
use tackmast_wire::nbd::{self, export, info, option, reply, Stage};
use tackmast_wire::scsi::Unit;

/// The newest version of the project's additions to the protocol that the target supports.
const MAX_ADDITIONS_VERSION: u16 = 1;
/// The number of zero bytes after the reply to `EXPORT_NAME`.
const ZERO_BYTES: usize = 124;
/// The smallest preferred block size that is announced to clients, in bytes.
const MIN_PREFERRED_BLOCK_BYTES: u32 = 4096;
/// The transmission flags of every export.
const EXPORT_FLAGS: u16 = export::HAS_FLAGS | export::SEND_FLUSH | export::SEND_FUA;

impl NbdSession {
    pub(super) fn on_option(&mut self, number: u32, data: &Bytes) {
        if self.is_refused && number != option::ABORT {
            self.send_option_reply(number, reply::ERR_POLICY, b"no room for a further session");
            return self.close(Ending::LoginRefused);
        }
        match number {
            option::EXPORT_NAME => self.on_export_name(data),
            option::ABORT => {
                self.send_option_reply(number, reply::ACK, &[]);
                self.close(Ending::Logout);
            }
            option::LIST => self.on_list(data),
            option::INFO | option::GO => self.on_go(number, data),
            option::STRUCTURED_REPLY => {
                self.structured_replies = true;
                self.send_option_reply(number, reply::ACK, &[]);
            }
            option::TACKMAST => self.on_additions(data),
            _ => self.send_option_reply(number, reply::ERR_UNSUP, b"not known here"),
        }
    }

    fn send_option_reply(&mut self, option: u32, kind: u32, data: &[u8]) {
        nbd::option_reply(option, kind, data, &mut self.output);
    }

    /// Returns the volume with this name. An empty name selects the default export, which is the first volume.
    fn find_unit(&self, name: &str) -> Option<Unit> {
        self.units.iter().find(|unit| name.is_empty() || unit.name == name).cloned()
    }

    /// Opens an export with `EXPORT_NAME`. The option has no error reply, so an unknown name ends the connection.
    fn on_export_name(&mut self, data: &Bytes) {
        let name = String::from_utf8_lossy(data);
        let Some(unit) = self.find_unit(&name) else {
            return self.close(Ending::LoginRefused);
        };
        self.output.put_u64(export_bytes(&unit));
        self.output.put_u16(EXPORT_FLAGS);
        if !self.no_zeroes {
            self.output.put_bytes(0, ZERO_BYTES);
        }
        self.begin_transmission(unit);
    }

    fn on_list(&mut self, data: &Bytes) {
        if !data.is_empty() {
            return self.send_option_reply(option::LIST, reply::ERR_INVALID, b"no data is wanted");
        }
        for unit in self.units.clone().iter() {
            let mut name = BytesMut::new();
            name.put_u32(unit.name.len() as u32);
            name.put_slice(unit.name.as_bytes());
            self.send_option_reply(option::LIST, reply::SERVER, &name);
        }
        self.send_option_reply(option::LIST, reply::ACK, &[]);
    }

    fn on_go(&mut self, number: u32, data: &Bytes) {
        let request = match nbd::read_go(data) {
            Ok(request) => request,
            Err(error) => {
                let text = error.to_string();
                return self.send_option_reply(number, reply::ERR_INVALID, text.as_bytes());
            }
        };
        let Some(unit) = self.find_unit(&request.name) else {
            return self.send_option_reply(number, reply::ERR_UNKNOWN, b"no such volume");
        };
        self.send_option_reply(number, reply::INFO, &export_info(&unit));
        self.send_option_reply(number, reply::INFO, &block_size_info(&unit));
        self.send_option_reply(number, reply::ACK, &[]);
        if number == option::GO {
            self.begin_transmission(unit);
        }
    }

    /// Negotiates the project's additions. Both sides use the lower of their newest versions.
    fn on_additions(&mut self, data: &Bytes) {
        match nbd::read_version(data) {
            Ok(client_version) if client_version > 0 && self.structured_replies => {
                self.additions_version = client_version.min(MAX_ADDITIONS_VERSION);
                let number = u32::from(self.number);
                let session = nbd::write_session(self.additions_version, number, self.offer.window);
                self.send_option_reply(option::TACKMAST, reply::ACK, &session);
            }
            _ => {
                let text = b"structured replies first, and a version from 1";
                self.send_option_reply(option::TACKMAST, reply::ERR_INVALID, text);
            }
        }
    }

    fn begin_transmission(&mut self, unit: Unit) {
        self.unit = Some(unit);
        self.input.stage = Stage::Transmission;
    }
}

fn export_bytes(unit: &Unit) -> u64 {
    unit.blocks * u64::from(unit.block_bytes)
}

fn export_info(unit: &Unit) -> BytesMut {
    let mut data = BytesMut::new();
    data.put_u16(info::EXPORT);
    data.put_u64(export_bytes(unit));
    data.put_u16(EXPORT_FLAGS);
    data
}

/// Returns the reply data with the minimum, the preferred and the maximum block size.
fn block_size_info(unit: &Unit) -> BytesMut {
    let mut data = BytesMut::new();
    data.put_u16(info::BLOCK_SIZE);
    data.put_u32(unit.block_bytes);
    data.put_u32(unit.block_bytes.max(MIN_PREFERRED_BLOCK_BYTES));
    data.put_u32(unit.max_blocks.saturating_mul(unit.block_bytes));
    data
}
