//! Handles the replies of the transmission phase: simple replies and the chunks of structured replies.

use super::{NbdClient, PendingCommand};
use crate::operation::Outcome;
use crate::transport::{SessionEvent, TransportError};
use bytes::{Buf, Bytes, BytesMut};
use tackmast::interface::TimeDelta;
use tackmast_wire::nbd::{self, chunk, error, Reply};

/// Bit that marks a chunk type as an error, including types that the client does not know.
const ERROR_CHUNK_BIT: u16 = 0x8000;

impl NbdClient {
    pub(super) fn on_reply(&mut self, reply: Reply) -> Result<(), TransportError> {
        let cookie = match &reply {
            Reply::Simple { cookie, .. } | Reply::Chunk { cookie, .. } => *cookie,
        };
        let Some(command) = self.pending.get_mut(&cookie) else {
            return Err(TransportError::UnknownCookie { cookie });
        };
        let is_last = match reply {
            Reply::Simple { error, data, .. } => {
                command.on_simple_reply(error, &data);
                true
            }
            Reply::Chunk { flags, kind, data, .. } => {
                command.on_chunk(kind, data)?;
                flags & nbd::DONE != 0
            }
        };
        if is_last {
            self.finish(cookie);
        }
        Ok(())
    }

    fn finish(&mut self, cookie: u64) {
        let Some(command) = self.pending.remove(&cookie) else { return };
        let Some(tag) = command.caller_tag else { return };
        self.cookies_by_tag.remove(&tag);
        self.events.push_back(SessionEvent::Answer { tag, outcome: command.outcome() });
    }
}

impl PendingCommand {
    fn on_simple_reply(&mut self, code: u32, data: &Bytes) {
        if code != 0 {
            self.failure = Some(failure(code, &Bytes::new()));
            return;
        }
        self.received_bytes = data.len();
        self.download = BytesMut::from(&data[..]);
    }

    fn on_chunk(&mut self, kind: u16, data: Bytes) -> Result<(), TransportError> {
        match kind {
            chunk::NONE => {}
            chunk::OFFSET_DATA if data.len() >= 8 => self.on_data(data)?,
            chunk::REJECTED => {
                let mut text = nbd::read_error(&data)?.text;
                let delay_us = if text.len() >= 8 { text.get_u64() } else { 0 };
                let retry_after = (delay_us > 0).then(|| TimeDelta::from_secs(delay_us as f64 / 1e6));
                self.failure = Some(Outcome::Rejected { retry_after });
            }
            kind if kind & ERROR_CHUNK_BIT != 0 => {
                let error = nbd::read_error(&data)?;
                self.failure = Some(failure(error.value, &error.text));
            }
            kind => return Err(TransportError::UnknownChunk { kind }),
        }
        Ok(())
    }

    /// Handles the data of a read, which follows its 64-bit offset in the volume.
    fn on_data(&mut self, mut data: Bytes) -> Result<(), TransportError> {
        let offset = data.get_u64().wrapping_sub(self.offset) as usize;
        let read = self.read_bytes;
        let Some(end) = offset.checked_add(data.len()).filter(|end| *end <= read) else {
            return Err(TransportError::ChunkBeyondRead { length: data.len(), offset, read });
        };
        if self.download.len() < read {
            self.download.resize(read, 0);
        }
        self.download[offset..end].copy_from_slice(&data);
        self.received_bytes += data.len();
        Ok(())
    }

    fn outcome(self) -> Outcome {
        match self.failure {
            Some(failure) => failure,
            None if self.received_bytes == self.read_bytes => Outcome::Done(self.download.freeze()),
            // A read with less data than requested has failed.
            None => Outcome::Failed,
        }
    }
}

/// Returns the outcome of a command that the server answered with an error.
fn failure(code: u32, text: &Bytes) -> Outcome {
    match code {
        error::INVAL | error::NOSPC | error::OVERFLOW | error::NOTSUP | error::PERM => {
            Outcome::InvalidRequest(format!("error {code}: {}", String::from_utf8_lossy(text)))
        }
        _ => Outcome::Failed,
    }
}
