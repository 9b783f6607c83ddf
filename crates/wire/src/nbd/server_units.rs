//! Cuts a server's stream into units.

use super::{
    bounded, peek, Reply, Stage, IHAVEOPT, MAGIC, MAX_OPTION, OPTION_REPLY, SIMPLE_REPLY, STRUCTURED_REPLY,
};
use crate::WireError;
use bytes::{Buf, Bytes, BytesMut};

/// Bytes of the greeting.
const GREETING_LEN: usize = 18;
/// Bytes of a reply to an option before its data.
const OPTION_REPLY_HEADER_LEN: usize = 20;
/// Bytes of a simple reply before its data.
const SIMPLE_REPLY_HEADER_LEN: usize = 16;
/// Bytes of a chunk before its data.
const CHUNK_HEADER_LEN: usize = 20;
/// Bytes of a chunk's data beside what was read, at most.
const CHUNK_OVERHEAD: u32 = 64;

/// What a server sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerUnit {
    /// The greeting.
    Greeting {
        /// Handshake flags.
        flags: u16,
    },
    /// A reply to an option.
    OptionReply {
        /// The option.
        option: u32,
        /// A number of the module `reply`.
        kind: u32,
        /// The reply's data.
        data: Bytes,
    },
    /// A reply of the transmission phase.
    Reply(Reply),
}

/// Cuts a server's stream into units. A simple reply has data only where its request was a read that succeeded, so the
/// caller gives how much each cookie expects.
pub struct ServerUnits {
    received: BytesMut,
    /// Which units come next.
    pub stage: Stage,
    max_read: u32,
}

impl ServerUnits {
    /// Units whose replies have at most `max_read` bytes of data.
    pub fn new(max_read: u32) -> Self {
        ServerUnits { received: BytesMut::new(), stage: Stage::Flags, max_read }
    }

    /// Takes received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// The next whole unit; `expects` gives the bytes that the request of a cookie reads. After an error the stream can't
    /// be followed any further.
    pub fn next_unit(&mut self, expects: impl Fn(u64) -> usize) -> Result<Option<ServerUnit>, WireError> {
        match self.stage {
            Stage::Flags => self.next_greeting(),
            Stage::Options => self.next_option_reply(),
            Stage::Transmission => self.next_reply(expects).map(|reply| reply.map(ServerUnit::Reply)),
        }
    }

    fn next_greeting(&mut self) -> Result<Option<ServerUnit>, WireError> {
        let Some(mut header) = peek(&self.received, GREETING_LEN) else { return Ok(None) };
        for (field, magic) in [("greeting", MAGIC), ("second greeting", IHAVEOPT)] {
            let found = header.u64(field)?;
            if found != magic {
                return Err(WireError::unexpected(field, found, "a server of the fixed newstyle handshake"));
            }
        }
        self.received.advance(GREETING_LEN);
        Ok(Some(ServerUnit::Greeting { flags: header.u16("handshake flags")? }))
    }

    fn next_option_reply(&mut self) -> Result<Option<ServerUnit>, WireError> {
        let Some(mut header) = peek(&self.received, OPTION_REPLY_HEADER_LEN) else { return Ok(None) };
        let magic = header.u64("reply magic")?;
        if magic != OPTION_REPLY {
            return Err(WireError::unexpected("reply magic", magic, "0x3e889045565a9"));
        }
        let (option, kind) = (header.u32("option")?, header.u32("reply")?);
        let length = bounded("reply length", header.u32("reply length")?, MAX_OPTION)?;
        if self.received.len() < OPTION_REPLY_HEADER_LEN + length {
            return Ok(None);
        }
        self.received.advance(OPTION_REPLY_HEADER_LEN);
        let data = self.received.split_to(length).freeze();
        Ok(Some(ServerUnit::OptionReply { option, kind, data }))
    }

    fn next_reply(&mut self, expects: impl Fn(u64) -> usize) -> Result<Option<Reply>, WireError> {
        let Some(mut header) = peek(&self.received, SIMPLE_REPLY_HEADER_LEN) else { return Ok(None) };
        match header.u32("reply magic")? {
            SIMPLE_REPLY => self.next_simple_reply(expects),
            STRUCTURED_REPLY => self.next_chunk(),
            other => Err(WireError::unexpected("reply magic", other, "a simple or a structured reply")),
        }
    }

    fn next_simple_reply(&mut self, expects: impl Fn(u64) -> usize) -> Result<Option<Reply>, WireError> {
        let Some(mut header) = peek(&self.received, SIMPLE_REPLY_HEADER_LEN) else { return Ok(None) };
        header.u32("reply magic")?;
        let (error, cookie) = (header.u32("error")?, header.u64("cookie")?);
        let length = if error == 0 { expects(cookie) } else { 0 };
        if self.received.len() < SIMPLE_REPLY_HEADER_LEN + length {
            return Ok(None);
        }
        self.received.advance(SIMPLE_REPLY_HEADER_LEN);
        let data = self.received.split_to(length).freeze();
        Ok(Some(Reply::Simple { cookie, error, data }))
    }

    fn next_chunk(&mut self) -> Result<Option<Reply>, WireError> {
        let Some(mut header) = peek(&self.received, CHUNK_HEADER_LEN) else { return Ok(None) };
        header.u32("reply magic")?;
        let (flags, kind) = (header.u16("flags")?, header.u16("chunk")?);
        let cookie = header.u64("cookie")?;
        let max_length = self.max_read + CHUNK_OVERHEAD;
        let length = bounded("chunk length", header.u32("chunk length")?, max_length)?;
        if self.received.len() < CHUNK_HEADER_LEN + length {
            return Ok(None);
        }
        self.received.advance(CHUNK_HEADER_LEN);
        let data = self.received.split_to(length).freeze();
        Ok(Some(Reply::Chunk { cookie, flags, kind, data }))
    }
}
