//! A session of one protocol as a state machine: bytes in, events out, and bytes out.

use crate::operation::{Op, Outcome, Volume};
use bytes::Bytes;
use tackmast::interface::TimeDelta;
use tackmast_wire::WireError;

/// What a session reports to the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// The handshake is over and the volume is open.
    Ready(Volume),
    /// The answer to an operation.
    Answer {
        /// The tag under which it was submitted.
        tag: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// The gateway does not serve this session.
    Refused {
        /// Why, for the caller.
        reason: String,
        /// Whether a later session may be served.
        may_reconnect: bool,
    },
}

/// Bytes of the gateway that the session cannot follow. The session ends with it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TransportError {
    /// Bytes that the protocol does not allow.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Something else than the answer to the login.
    #[error("operation {opcode:#04x} during login; expected its answer")]
    UnexpectedDuringLogin {
        /// The operation code found.
        opcode: u8,
    },
    /// Data of a read at another offset than the next, or more than was asked for.
    #[error("data at {found}; expected {expected} of {length}")]
    DataOutOfOrder {
        /// Offset of the data in the read, in bytes.
        found: u32,
        /// Bytes received so far.
        expected: usize,
        /// Length of the read in bytes.
        length: usize,
    },
    /// The target asks for data that the write does not have.
    #[error("asked for {length} bytes at {start}; the write has {available}")]
    RequestBeyondWrite {
        /// Bytes that are asked for.
        length: usize,
        /// Offset in the write, in bytes.
        start: usize,
        /// Length of the write in bytes.
        available: usize,
    },
    /// The target could not follow what the session sent.
    #[error("rejected: reason {reason}")]
    RejectedByTarget {
        /// RFC 7143, section 11.17.1.
        reason: u8,
    },
    /// The server knows the oldest NBD handshake only.
    #[error("the server knows no fixed newstyle handshake; expected one that does")]
    NoFixedNewstyle,
    /// A message that does not belong to this step of the handshake.
    #[error("{message} during the handshake")]
    UnexpectedDuringHandshake {
        /// The message found.
        message: String,
    },
    /// A reply to no open command.
    #[error("a reply to cookie {cookie}, which is not open")]
    UnknownCookie {
        /// The cookie found.
        cookie: u64,
    },
    /// Data of a chunk that is outside its read.
    #[error("{length} bytes at {offset}; the read has {read}")]
    ChunkBeyondRead {
        /// Length of the data in bytes.
        length: usize,
        /// Offset in the read, in bytes.
        offset: usize,
        /// Length of the read in bytes.
        read: usize,
    },
    /// A type of chunk that the handshake did not agree on.
    #[error("chunk of type {kind}; expected one that was agreed on")]
    UnknownChunk {
        /// The type found.
        kind: u16,
    },
}

/// A session of one protocol. Tags are the caller's.
pub trait Transport: Send {
    /// Takes bytes of the gateway; an error ends the session.
    fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), TransportError>;
    /// Bytes to be written to the gateway; empty: none.
    fn poll_transmit(&mut self) -> Bytes;
    /// What there is to report.
    fn poll_event(&mut self) -> Option<SessionEvent>;
    /// Sends an operation that has `time_left` until its deadline; false: the command window is full now.
    fn submit(&mut self, tag: u64, op: &Op, time_left: TimeDelta) -> bool;
    /// Withdraws an operation whose answer nobody waits for; there is no event for it.
    fn cancel(&mut self, tag: u64);
    /// Ends the session in the protocol's manner.
    fn close(&mut self);
}
