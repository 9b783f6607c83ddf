//! The node protocol, described byte by byte in docs/protocols/node.md. `encode` and `decode` are the codec.

mod decode;
mod encode;

use crate::reader::Frames;
use crate::WireError;
use bytes::Bytes;

/// Newest version of the protocol.
pub const VERSION: u16 = 1;
/// Oldest version that is still spoken.
const OLDEST: u16 = 1;
/// Bytes of a frame beside its data, at most.
const OVERHEAD: usize = 128;

/// Where an attempt's request came from, as its client can name it too: target session, command number within it,
/// and the part, where a command touches several extents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// Target session.
    pub session: u32,
    /// Number of the command within the session.
    pub command: u32,
    /// Part of the command.
    pub part: u16,
}

/// What an attempt does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Reads data.
    Read {
        /// Bytes to read.
        length: u32,
    },
    /// Writes data.
    Write {
        /// Bytes to write.
        data: Bytes,
    },
}

/// An attempt of a request at the node.
#[derive(Clone, Debug, PartialEq)]
pub struct SendAttempt {
    /// Number of this attempt on this link.
    pub attempt: u64,
    /// Number of the request within this generation of the host.
    pub request: u64,
    /// Number of the attempt within the request.
    pub attempt_number: u8,
    /// The client's command that it is part of.
    pub origin: Origin,
    /// When it was sent, by the host's own clock. The node takes the smallest difference it has seen between its clock
    /// and the host's as their offset, so that an attempt which waited in a socket is known to be old, without
    /// synchronized clocks.
    pub sent_us: u64,
    /// Microseconds from then until nobody waits for the answer.
    pub left_us: u32,
    /// The key by which the node recognises a retry: within its window a request with the same key must not run again; 0: none.
    pub idempotency_key: u128,
    /// Order key of the request; 0: none.
    pub key: u64,
    /// The volume's number.
    pub volume: u32,
    /// Bytes from the volume's start.
    pub offset: u64,
    /// Size in units.
    pub units: f32,
    /// What it does.
    pub work: Work,
}

/// How the node ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeOutcome {
    /// It ran.
    Done,
    /// It may have run.
    Error,
    /// Rejected because the queue was full; it never ran.
    Full,
    /// The node does not hold that data.
    NotHere,
}

/// The node's answer to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Number of the attempt on this link.
    pub attempt: u64,
    /// How the attempt ended.
    pub outcome: NodeOutcome,
    /// Requests that wait at the node, as last counted.
    pub waiting: u32,
    /// Units served for the volume through other hosts since the node's last answer to this one about it.
    pub elsewhere: f32,
    /// What was read.
    pub data: Bytes,
}

/// A frame of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// First frame of a host.
    HostHello {
        /// Newest version that the host speaks.
        version: u16,
        /// The host's number.
        host: u32,
        /// Number of the host's start.
        generation: u64,
        /// When it was sent, by the host's own clock.
        sent_us: u64,
    },
    /// The node's reply.
    NodeHello {
        /// The version that both will speak.
        version: u16,
        /// The shard that the node holds.
        shard: u32,
        /// The node's zone.
        zone: u32,
        /// When it started by its own clock (Unix time, which names this generation of it).
        started_us: u64,
        /// For how long it has been up, which needs no synchronized clocks.
        up_us: u64,
    },
    /// An attempt for the node.
    Send(SendAttempt),
    /// The end of an attempt.
    Answer(Answer),
    /// Nobody waits for this attempt any more.
    Cancel {
        /// Number of the attempt on this link.
        attempt: u64,
    },
    /// Asks whether the other side is alive.
    Ping {
        /// Names the ping.
        number: u64,
    },
    /// The reply to a ping.
    Pong {
        /// Names the ping.
        number: u64,
    },
}

/// The bytes that tell kinds of frames apart.
mod kind {
    /// The first frame of a host.
    pub(super) const HOST_HELLO: u8 = 1;
    /// The first frame of a node.
    pub(super) const NODE_HELLO: u8 = 2;
    /// An attempt.
    pub(super) const SEND: u8 = 3;
    /// The answer to an attempt.
    pub(super) const ANSWER: u8 = 4;
    /// The host cancels an attempt.
    pub(super) const CANCEL: u8 = 5;
    /// The host asks whether the connection works.
    pub(super) const PING: u8 = 6;
    /// The answer to a ping.
    pub(super) const PONG: u8 = 7;
}

/// The version that both sides speak: the lower of the two newest, if the other side still knows it.
pub fn negotiate_version(theirs: u16) -> Result<u16, WireError> {
    match theirs.min(VERSION) {
        v if v >= OLDEST => Ok(v),
        _ => Err(WireError::unexpected("version", theirs, "version 1 or later")),
    }
}

/// Frames of a link whose data may hold `max_data` bytes an attempt.
pub fn frames(max_data: usize) -> Frames {
    Frames::new(max_data + OVERHEAD)
}

/// The next decoded frame of a stream.
pub fn next(frames: &mut Frames) -> Result<Option<Frame>, WireError> {
    frames.next_frame()?.map(Frame::decode).transpose()
}
