//! What is asked and answered, whatever the protocol.

use bytes::Bytes;
use tackmast::interface::TimeDelta;

/// Places and lengths in bytes, in whole blocks of the volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    Read {
        offset: u64,
        length: u32,
    },
    Write {
        offset: u64,
        data: Bytes,
    },
    /// All that was done before is on the nodes.
    Flush,
}

impl Op {
    pub fn is_write(&self) -> bool {
        matches!(self, Op::Write { .. })
    }
    pub fn bytes(&self) -> usize {
        match self {
            Op::Read { length, .. } => *length as usize,
            Op::Write { data, .. } => data.len(),
            Op::Flush => 0,
        }
    }
}

/// The one final answer of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done(Bytes),
    /// Not done, and a retry is safe; come back after the span, where one is given.
    Rejected {
        retry_after: Option<TimeDelta>,
    },
    /// Not done as far as is known, and no promise about its effect.
    Failed,
    /// The call itself was wrong, and never ran.
    InvalidRequest(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Volume {
    pub bytes: u64,
    pub block_bytes: u32,
    /// Bytes of one call, at most.
    pub max_bytes: u32,
}

/// Which volume of the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub target: String,
    pub lun: u32,
    pub name: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    Ready(Volume),
    Answer {
        tag: u64,
        outcome: Outcome,
    },
    /// The gateway can't serve this session now, and it may be tried again; or never, as the text says.
    Refused {
        text: String,
        again: bool,
    },
}

/// A session of one protocol as a state machine. Tags are the caller's.
pub trait Transport: Send {
    fn take(&mut self, bytes: &[u8]) -> Result<(), String>;
    fn output(&mut self) -> Bytes;
    fn next_event(&mut self) -> Option<SessionEvent>;
    /// False: there is no room in the command window now.
    fn submit(&mut self, tag: u64, op: &Op, left: TimeDelta) -> bool;
    /// Nobody waits for the answer any more, and none comes.
    fn cancel(&mut self, tag: u64);
    fn end(&mut self);
}
