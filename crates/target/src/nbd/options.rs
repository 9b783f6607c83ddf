//! The options of the handshake.

use super::NbdSession;
use crate::event::Ending;
use bytes::{BufMut, Bytes, BytesMut};
use tackmast_wire::nbd::{self, export, info, option, reply, Stage};
use tackmast_wire::scsi::Unit;

/// Version of the project's additions to the protocol.
const ADDITIONS: u16 = 1;
/// Zeroes behind the export's data in the oldest handshake.
const ZERO_BYTES: usize = 124;
/// The block size that is named to clients as the best, at least, in bytes.
const MIN_PREFERRED_BLOCK_BYTES: u32 = 4096;
/// What every export can do.
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

    /// The volume of that name. An empty name is the default export: the first volume.
    fn find_unit(&self, name: &str) -> Option<Unit> {
        self.units.iter().find(|unit| name.is_empty() || unit.name == name).cloned()
    }

    /// The oldest way to open an export, whose only refusal is the connection's end.
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

    /// Both sides keep to the lower of their newest versions, which both know.
    fn on_additions(&mut self, data: &Bytes) {
        match nbd::read_version(data) {
            Ok(client_version) if client_version > 0 && self.structured_replies => {
                self.additions = client_version.min(ADDITIONS);
                let number = u32::from(self.number);
                let session = nbd::write_session(self.additions, number, self.offer.window);
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

/// The smallest, the preferred and the largest block size.
fn block_size_info(unit: &Unit) -> BytesMut {
    let mut data = BytesMut::new();
    data.put_u16(info::BLOCK_SIZE);
    data.put_u32(unit.block_bytes);
    data.put_u32(unit.block_bytes.max(MIN_PREFERRED_BLOCK_BYTES));
    data.put_u32(unit.max_blocks.saturating_mul(unit.block_bytes));
    data
}
