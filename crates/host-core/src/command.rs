//! Commands of clients, as the core takes them and answers them.

use bytes::Bytes;
use tackmast::interface::{Instant, TimeDelta};

/// A client's command: its session at this host, and its number within that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommandId {
    /// The session.
    pub session: u32,
    /// The command within it.
    pub command: u32,
}

/// What a command asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Read blocks.
    Read {
        /// How many.
        blocks: u32,
    },
    /// Write whole blocks.
    Write {
        /// Their bytes.
        data: Bytes,
    },
}

/// A command as its client sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientCommand {
    /// Its session, and its number there.
    pub from: CommandId,
    /// The volume.
    pub lun: u32,
    /// The first block.
    pub block: u64,
    /// What is read or written.
    pub work: Work,
    /// When its first byte came.
    pub received_at: Instant,
    /// How long its client waits, where that was negotiated.
    pub timeout: Option<TimeDelta>,
    /// The client's own idempotency key, where it sent one.
    pub idempotency_key: Option<u128>,
}

/// The one final answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is done.
    Done {
        /// What was read.
        data: Bytes,
    },
    /// It was not done; a retry is safe.
    Rejected {
        /// After how long a retry may succeed.
        retry_after: Option<TimeDelta>,
    },
    /// It may have been done in part; a retry is not safe.
    Failed,
}
