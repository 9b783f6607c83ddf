//! Requests and replies of the transmission phase, and their bytes.

use super::{flag, REQUEST, SIMPLE_REPLY, STRUCTURED_REPLY};
use bytes::{BufMut, Bytes, BytesMut};

/// A command of the client, without its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Flags of the module `flag`, without the one for a deadline.
    pub flags: u16,
    /// A command of the module `command`.
    pub kind: u16,
    /// The client's name of the command, which its replies have.
    pub cookie: u64,
    /// First byte in the export.
    pub offset: u64,
    /// Length in bytes.
    pub length: u32,
    /// With the flag for it: microseconds in which an answer is wanted.
    pub deadline_us: Option<u64>,
}

impl Request {
    /// Appends the request's header.
    pub fn encode(&self, out: &mut BytesMut) {
        out.put_u32(REQUEST);
        out.put_u16(self.flags | if self.deadline_us.is_some() { flag::DEADLINE } else { 0 });
        out.put_u16(self.kind);
        out.put_u64(self.cookie);
        out.put_u64(self.offset);
        out.put_u32(self.length);
        if let Some(us) = self.deadline_us {
            out.put_u64(us);
        }
    }
}

/// What a server sends in the transmission phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A simple reply.
    Simple {
        /// Cookie of the request.
        cookie: u64,
        /// A value of the module `error`; 0: done.
        error: u32,
        /// What was read.
        data: Bytes,
    },
    /// A chunk of a structured reply.
    Chunk {
        /// Cookie of the request.
        cookie: u64,
        /// `DONE` in the last chunk.
        flags: u16,
        /// A type of the module `chunk`.
        kind: u16,
        /// The chunk's data.
        data: Bytes,
    },
}

impl Reply {
    /// Appends the reply.
    pub fn encode(&self, out: &mut BytesMut) {
        match self {
            Reply::Simple { cookie, error, data } => {
                out.put_u32(SIMPLE_REPLY);
                out.put_u32(*error);
                out.put_u64(*cookie);
                out.put_slice(data);
            }
            Reply::Chunk { cookie, flags, kind, data } => {
                out.put_u32(STRUCTURED_REPLY);
                out.put_u16(*flags);
                out.put_u16(*kind);
                out.put_u64(*cookie);
                out.put_u32(data.len() as u32);
                out.put_slice(data);
            }
        }
    }
}
