//! Commands of clients, as the core takes them and answers them.

use bytes::Bytes;
use tackmast::interface::TimeDelta;

/// A client's command: its session at this host, and its number within that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommandRef {
    pub session: u32,
    pub command: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    Read { blocks: u32 },
    Write { data: Bytes },
}

/// The one final answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Done { data: Bytes },
    Rejected { retry_after: Option<TimeDelta> },
    Failed,
}
