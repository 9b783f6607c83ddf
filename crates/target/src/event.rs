//! The events that a session reports to the host, and the host's final answers to commands.

use bytes::Bytes;

/// An event that a session reports to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A complete command, which the host must answer exactly once unless it is aborted.
    Submit {
        /// The command's number in the session.
        command: u32,
        /// The volume's logical unit number.
        lun: u32,
        /// The first block of the command's range on the volume.
        block: u64,
        /// The read or write, which starts at that block.
        work: Work,
        /// The client's deadline in milliseconds, counted from the command's first bytes. `None` means that the client
        /// set no deadline.
        deadline_ms: Option<u32>,
    },
    /// A write was received without all of its data, and the rest was solicited. The write's deadline runs from this
    /// event.
    Begun {
        /// The command's number in the session.
        command: u32,
    },
    /// The client has aborted a command, which gets no answer.
    Abort {
        /// The command's number in the session.
        command: u32,
    },
    /// The session has ended, and the connection must be closed once the output is written.
    Close(Ending),
    /// The client did something wrong that does not end its session.
    Note(Note),
}

/// The operation of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Reads blocks.
    Read {
        /// The number of blocks.
        blocks: u32,
    },
    /// Writes blocks.
    Write {
        /// The bytes to write, a whole number of blocks.
        data: Bytes,
    },
}

/// The reason why a session has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The client logged out or disconnected.
    Logout,
    /// The session refused the client's login or handshake.
    LoginRefused,
}

/// A mistake of the client that does not end its session. The host writes it to its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Note {
    /// The client sent a command outside the window, and the session ignored it.
    #[error("command {command} is outside the window; expected {first} to {last}")]
    OutsideWindow {
        /// The command's number.
        command: u32,
        /// The first number in the window.
        first: u32,
        /// The last number in the window.
        last: u32,
    },
    /// The client sent an operation that the target does not support, and the session rejected it.
    #[error("operation {opcode:#04x} is not served; rejected")]
    UnknownOperation {
        /// The operation code.
        opcode: u8,
    },
}

/// The final answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The command ran.
    Done {
        /// The bytes that were read; empty for a write.
        data: Bytes,
    },
    /// The command did not run, so a retry is safe.
    Rejected {
        /// How long the client should wait before it retries, in microseconds. 0 means that the time is not known.
        retry_after_us: u64,
    },
    /// The command failed, and may have taken effect or not.
    Failed,
}
