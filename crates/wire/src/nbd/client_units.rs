//! Cuts a client's stream into units.

use super::{bounded, command, flag, peek, Request, Stage, IHAVEOPT, MAX_OPTION, REQUEST};
use crate::WireError;
use bytes::{Buf, Bytes, BytesMut};

/// Bytes of the client's flags.
const FLAGS_LEN: usize = 4;
/// Bytes of an option before its data.
const OPTION_HEADER_LEN: usize = 16;
/// Bytes of a request before its deadline and data.
const REQUEST_HEADER_LEN: usize = 28;
/// Bytes of a request's deadline.
const DEADLINE_LEN: usize = 8;

/// What a client sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientUnit {
    /// The flags that it begins with.
    Flags(u32),
    /// An option.
    Option {
        /// A number of the module `option`.
        option: u32,
        /// The option's data.
        data: Bytes,
    },
    /// A request of the transmission phase.
    Request {
        /// The request.
        request: Request,
        /// What it writes.
        data: Bytes,
    },
}

/// Cuts a client's stream into units. Lengths are checked before anything is kept for them.
pub struct ClientUnits {
    received: BytesMut,
    /// Which units come next.
    pub stage: Stage,
    max_write: u32,
}

impl ClientUnits {
    /// Units whose requests write at most `max_write` bytes.
    pub fn new(max_write: u32) -> Self {
        ClientUnits { received: BytesMut::new(), stage: Stage::Flags, max_write }
    }

    /// Takes received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// The next whole unit. After an error the stream can't be followed any further.
    pub fn next_unit(&mut self) -> Result<Option<ClientUnit>, WireError> {
        match self.stage {
            Stage::Flags => self.next_flags(),
            Stage::Options => self.next_option(),
            Stage::Transmission => self.next_request(),
        }
    }

    fn next_flags(&mut self) -> Result<Option<ClientUnit>, WireError> {
        let Some(mut header) = peek(&self.received, FLAGS_LEN) else { return Ok(None) };
        self.received.advance(FLAGS_LEN);
        Ok(Some(ClientUnit::Flags(header.u32("client flags")?)))
    }

    fn next_option(&mut self) -> Result<Option<ClientUnit>, WireError> {
        let Some(mut header) = peek(&self.received, OPTION_HEADER_LEN) else { return Ok(None) };
        let magic = header.u64("option magic")?;
        if magic != IHAVEOPT {
            return Err(WireError::unexpected("option magic", magic, "IHAVEOPT"));
        }
        let (option, length) = (header.u32("option")?, header.u32("option length")?);
        let length = bounded("option length", length, MAX_OPTION)?;
        if self.received.len() < OPTION_HEADER_LEN + length {
            return Ok(None);
        }
        self.received.advance(OPTION_HEADER_LEN);
        Ok(Some(ClientUnit::Option { option, data: self.received.split_to(length).freeze() }))
    }

    fn next_request(&mut self) -> Result<Option<ClientUnit>, WireError> {
        let Some(mut header) = peek(&self.received, REQUEST_HEADER_LEN) else { return Ok(None) };
        let magic = header.u32("request magic")?;
        if magic != REQUEST {
            return Err(WireError::unexpected("request magic", magic, "0x25609513"));
        }
        let (flags, kind) = (header.u16("flags")?, header.u16("command")?);
        let (cookie, offset) = (header.u64("cookie")?, header.u64("offset")?);
        let length = header.u32("length")?;
        let deadline_len = if flags & flag::DEADLINE != 0 { DEADLINE_LEN } else { 0 };
        let data_len = match kind {
            command::WRITE => bounded("write", length, self.max_write)?,
            _ => 0,
        };
        if self.received.len() < REQUEST_HEADER_LEN + deadline_len + data_len {
            return Ok(None);
        }
        self.received.advance(REQUEST_HEADER_LEN);
        let deadline_us = (deadline_len > 0).then(|| self.received.get_u64());
        let flags = flags & !flag::DEADLINE;
        let request = Request { flags, kind, cookie, offset, length, deadline_us };
        Ok(Some(ClientUnit::Request { request, data: self.received.split_to(data_len).freeze() }))
    }
}
