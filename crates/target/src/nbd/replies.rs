//! Replies of the transmission phase: simple or structured, as the handshake negotiated.

use super::{NbdSession, OpenCommand};
use crate::event::Verdict;
use bytes::{BufMut, Bytes, BytesMut};
use tackmast_wire::nbd::{self, chunk, error, Reply};

/// The size of the offset that precedes the data in a chunk, in bytes.
const CHUNK_OFFSET_BYTES: usize = 8;

impl NbdSession {
    /// Sends the answer to a command. A client that negotiated the additions can tell a rejection from a failed command.
    /// Any other client receives an I/O error for both, which leaves the effect open: a client may take a rejection for a
    /// failed command, but never a failed command for a rejection.
    pub(super) fn send_verdict(&mut self, command: &OpenCommand, verdict: Verdict) {
        let cookie = command.cookie;
        match verdict {
            Verdict::Done { .. } if command.is_write => self.send_done(cookie),
            Verdict::Done { data } => self.send_data(cookie, command.offset, data),
            Verdict::Rejected { retry_after_us } if self.additions_version > 0 => {
                let data = nbd::write_error(error::IO, &retry_after_us.to_be_bytes());
                self.send_chunk(cookie, chunk::REJECTED, data);
            }
            Verdict::Rejected { .. } => self.send_error(cookie, error::IO, "deferred"),
            Verdict::Failed => self.send_error(cookie, error::IO, "abandoned"),
        }
    }

    /// Sends the reply to a command that is done and returns no data.
    pub(super) fn send_done(&mut self, cookie: u64) {
        match self.structured_replies {
            false => self.send_simple(cookie, 0, Bytes::new()),
            true => self.send_chunk(cookie, chunk::NONE, Bytes::new()),
        }
    }

    /// Sends the data of a read at an offset in the export.
    pub(super) fn send_data(&mut self, cookie: u64, offset: u64, data: Bytes) {
        if data.is_empty() {
            return self.send_done(cookie);
        }
        if !self.structured_replies {
            return self.send_simple(cookie, 0, data);
        }
        let mut body = BytesMut::with_capacity(data.len() + CHUNK_OFFSET_BYTES);
        body.put_u64(offset);
        body.put_slice(&data);
        self.send_chunk(cookie, chunk::OFFSET_DATA, body.freeze());
    }

    pub(super) fn send_error(&mut self, cookie: u64, code: u32, text: &str) {
        match self.structured_replies {
            false => self.send_simple(cookie, code, Bytes::new()),
            true => self.send_chunk(cookie, chunk::ERROR, nbd::write_error(code, text.as_bytes())),
        }
    }

    fn send_simple(&mut self, cookie: u64, error: u32, data: Bytes) {
        Reply::Simple { cookie, error, data }.encode(&mut self.output);
    }

    /// Sends the only chunk of a reply.
    fn send_chunk(&mut self, cookie: u64, kind: u16, data: Bytes) {
        Reply::Chunk { cookie, flags: nbd::DONE, kind, data }.encode(&mut self.output);
    }
}
