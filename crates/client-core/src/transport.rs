//! The interface of a protocol session as a state machine: it takes received bytes and returns events and bytes to send.

use crate::operation::{Op, Outcome, Volume};
use bytes::Bytes;
use tackmast::interface::TimeDelta;
use tackmast_wire::WireError;

/// An event that a session reports to the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// The handshake is complete and the volume is open.
    Ready(Volume),
    /// The answer to an operation.
    Answer {
        /// The tag under which the operation was submitted.
        tag: u64,
        /// How the operation ended.
        outcome: Outcome,
    },
    /// The gateway does not serve this session.
    Refused {
        /// The reason, for display to the caller.
        reason: String,
        /// Whether the gateway may accept a later session.
        may_reconnect: bool,
    },
}

/// A violation of the protocol by the gateway. The session ends with this error.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TransportError {
    /// Bytes that the protocol does not allow.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A message other than the login response arrived during the login.
    #[error("operation {opcode:#04x} during login; expected its answer")]
    UnexpectedDuringLogin {
        /// Operation code of the message.
        opcode: u8,
    },
    /// Data of a read arrived at an offset other than the expected one, or exceeds the requested length.
    #[error("data at {found}; expected {expected} of {length}")]
    DataOutOfOrder {
        /// Offset of the data in the read, in bytes.
        found: u32,
        /// Number of bytes received so far, which is the offset of the next data.
        expected: usize,
        /// Length of the read in bytes.
        length: usize,
    },
    /// The target requested data beyond the end of the write.
    #[error("asked for {length} bytes at {start}; the write has {available}")]
    RequestBeyondWrite {
        /// Number of bytes requested.
        length: usize,
        /// Offset of the request in the write, in bytes.
        start: usize,
        /// Length of the write in bytes.
        available: usize,
    },
    /// The target rejected a message of the session.
    #[error("rejected: reason {reason}")]
    RejectedByTarget {
        /// Reason code of RFC 7143, section 11.17.1.
        reason: u8,
    },
    /// The server does not support the fixed newstyle handshake of NBD.
    #[error("the server knows no fixed newstyle handshake; expected one that does")]
    NoFixedNewstyle,
    /// A message arrived that does not belong to this step of the handshake.
    #[error("{message} during the handshake")]
    UnexpectedDuringHandshake {
        /// The message, for display.
        message: String,
    },
    /// A reply arrived for a cookie that belongs to no open command.
    #[error("a reply to cookie {cookie}, which is not open")]
    UnknownCookie {
        /// Cookie of the reply.
        cookie: u64,
    },
    /// The data of a chunk lies outside the range of its read.
    #[error("{length} bytes at {offset}; the read has {read}")]
    ChunkBeyondRead {
        /// Length of the data in bytes.
        length: usize,
        /// Offset of the data in the read, in bytes.
        offset: usize,
        /// Length of the read in bytes.
        read: usize,
    },
    /// A chunk has a type that was not negotiated in the handshake.
    #[error("chunk of type {kind}; expected one that was agreed on")]
    UnknownChunk {
        /// Type of the chunk.
        kind: u16,
    },
}

/// A session of one protocol. The caller chooses the tags of its operations.
pub trait Transport: Send {
    /// Handles bytes received from the gateway. An error ends the session.
    fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), TransportError>;
    /// Returns the bytes to write to the gateway, which are empty if there are none.
    fn poll_transmit(&mut self) -> Bytes;
    /// Returns the next event, or `None` if there is none.
    fn poll_event(&mut self) -> Option<SessionEvent>;
    /// Sends an operation that has `time_left` until its deadline. Returns false if the session can't take it now: it is not ready,
    /// or its command window is full.
    fn submit(&mut self, tag: u64, op: &Op, time_left: TimeDelta) -> bool;
    /// Cancels an operation. The session reports no event for it.
    fn cancel(&mut self, tag: u64);
    /// Ends the session as the protocol prescribes.
    fn close(&mut self);
}
