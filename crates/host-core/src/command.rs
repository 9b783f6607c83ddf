//! Client commands, as passed to the core, and their final answers.

use bytes::Bytes;
use tackmast::interface::{Instant, TimeDelta};

/// Identifies a client's command by its session at this host and its number within the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommandId {
    /// The number of the session.
    pub session: u32,
    /// The number of the command within the session.
    pub command: u32,
}

/// The operation of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// The command reads blocks.
    Read {
        /// The number of blocks.
        blocks: u32,
    },
    /// The command writes whole blocks.
    Write {
        /// The data of the blocks.
        data: Bytes,
    },
}

/// A command as its client sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientCommand {
    /// The id of the command.
    pub from: CommandId,
    /// The LUN of the volume.
    pub lun: u32,
    /// The first block.
    pub block: u64,
    /// The operation.
    pub work: Work,
    /// When the first byte of the command was received.
    pub received_at: Instant,
    /// How long the client waits from `received_at`, if that was negotiated. Otherwise the traffic class determines the deadline.
    pub timeout: Option<TimeDelta>,
    /// The client's idempotency key, if it sent one.
    pub idempotency_key: Option<u128>,
}

/// The final answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The command is done.
    Done {
        /// The data of a read, or the answer to an object request.
        data: Bytes,
    },
    /// The command was not done, and a retry is safe.
    Rejected {
        /// How long the client should wait before a retry, if the host advises it.
        retry_after: Option<TimeDelta>,
    },
    /// The command may have been done completely or in part, and a retry is not safe.
    Failed,
}
