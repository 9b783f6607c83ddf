//! What a session wants from the host, and what the host answers.

use bytes::Bytes;

/// What a session wants from the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A command that is owed one answer.
    Submit {
        /// Its number in the session.
        command: u32,
        /// The volume's logical unit number.
        lun: u32,
        /// The first block.
        block: u64,
        /// What to do from there.
        work: Work,
        /// The client's deadline in milliseconds from the command's first bytes, where it names one.
        deadline_ms: Option<u32>,
    },
    /// The first bytes of a write were received and the rest was asked for. Its deadline runs from now.
    Begun {
        /// Its number in the session.
        command: u32,
    },
    /// The client withdraws a command.
    Abort {
        /// Its number in the session.
        command: u32,
    },
    /// The session is over: close the connection once the output is written.
    Close(Ending),
    /// Something that an operator may want to know.
    Note(Note),
}

/// A read or a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Reads blocks.
    Read {
        /// How many.
        blocks: u32,
    },
    /// Writes blocks.
    Write {
        /// Their bytes.
        data: Bytes,
    },
}

/// Why a session is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The client has logged out.
    Logout,
    /// The login was refused.
    LoginRefused,
}

/// Something that a client should not do, and that does not end its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Note {
    /// A command outside the window, which is ignored.
    #[error("command {command} is outside the window; expected {first} to {last}")]
    OutsideWindow {
        /// The command's number.
        command: u32,
        /// The first number in the window.
        first: u32,
        /// The last number in the window.
        last: u32,
    },
    /// An operation that the target does not have, which is rejected.
    #[error("operation {opcode:#04x} is not served; rejected")]
    UnknownOperation {
        /// Its code.
        opcode: u8,
    },
}

/// The one final answer of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Done.
    Done {
        /// The bytes of a read.
        data: Bytes,
    },
    /// It did not run, and a retry is safe.
    Rejected {
        /// How long the client is asked to wait, in microseconds; 0: not known.
        retry_after_us: u64,
    },
    /// No promise about its effect.
    Failed,
}
