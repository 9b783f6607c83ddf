//! The node protocol, described byte by byte in docs/protocols/node.md.

use crate::reader::{Fields, Frames};
use crate::WireError;
use bytes::{BufMut, Bytes, BytesMut};

pub const VERSION: u16 = 1;
pub const OLDEST: u16 = 1;
/// Bytes of a frame beside its data, at most.
pub const OVERHEAD: usize = 128;

/// Where an attempt's request came from, as its client can name it too: target session, command number within it,
/// and the part, where a command touches several extents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    pub session: u32,
    pub command: u32,
    pub part: u16,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    Read { length: u32 },
    Write { data: Bytes },
}

#[derive(Clone, Debug, PartialEq)]
pub struct SendAttempt {
    /// Number of this attempt on this link.
    pub attempt: u64,
    /// Number of the request within this generation of the host, and of the attempt within the request.
    pub request: u64,
    pub attempt_number: u8,
    pub origin: Origin,
    /// When it was written, on the host's own clock, and microseconds from then until nobody waits for the
    /// answer. The node takes the least difference it has seen between its clock and the host's as their offset,
    /// so that an attempt which waited in a socket is known to be old, without clocks that agree.
    pub sent_us: u64,
    pub left_us: u32,
    /// A repeat of the same mark within the node's window must not run again; 0: none.
    pub mark: u128,
    /// Order key of the request; 0: none.
    pub key: u64,
    pub volume: u32,
    /// Bytes from the volume's start.
    pub offset: u64,
    pub units: f32,
    pub work: Work,
}

/// How the node ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeOutcome {
    Done,
    /// It may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// The node does not hold that data.
    NotHere,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub attempt: u64,
    pub outcome: NodeOutcome,
    /// Requests that wait at the node, as last looked at.
    pub waiting: u32,
    /// Units served for the volume through other hosts since the node's last answer to this one about it.
    pub elsewhere: f32,
    pub data: Bytes,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// First frame of a host: its number, and a number of its own for each generation.
    /// `sent_us` as in an attempt.
    HostHello {
        version: u16,
        host: u32,
        generation: u64,
        sent_us: u64,
    },
    /// The node's reply: the version both will speak, when it started by its own clock (Unix time, which names
    /// this generation of it), and for how long it has been up, which needs no clocks to agree.
    NodeHello {
        version: u16,
        shard: u32,
        zone: u32,
        started_us: u64,
        up_us: u64,
    },
    Send(SendAttempt),
    Answer(Answer),
    /// Nobody waits for this attempt any more.
    Cancel {
        attempt: u64,
    },
    Ping {
        number: u64,
    },
    Pong {
        number: u64,
    },
}

impl Frame {
    pub fn encode(&self, out: &mut BytesMut) {
        let start = out.len();
        out.put_u32(0);
        match self {
            Frame::HostHello { version, host, generation, sent_us } => {
                out.put_u8(1);
                out.put_u16(*version);
                out.put_u32(*host);
                out.put_u64(*generation);
                out.put_u64(*sent_us);
            }
            Frame::NodeHello { version, shard, zone, started_us, up_us } => {
                out.put_u8(2);
                out.put_u16(*version);
                out.put_u32(*shard);
                out.put_u32(*zone);
                out.put_u64(*started_us);
                out.put_u64(*up_us);
            }
            Frame::Send(s) => {
                out.put_u8(3);
                out.put_u64(s.attempt);
                out.put_u64(s.request);
                out.put_u8(s.attempt_number);
                out.put_u32(s.origin.session);
                out.put_u32(s.origin.command);
                out.put_u16(s.origin.part);
                out.put_u64(s.sent_us);
                out.put_u32(s.left_us);
                out.put_u128(s.mark);
                out.put_u64(s.key);
                out.put_u32(s.volume);
                out.put_u64(s.offset);
                out.put_f32(s.units);
                match &s.work {
                    Work::Read { length } => {
                        out.put_u8(0);
                        out.put_u32(*length);
                    }
                    Work::Write { data } => {
                        out.put_u8(1);
                        out.put_u32(data.len() as u32);
                        out.put_slice(data);
                    }
                }
            }
            Frame::Answer(a) => {
                out.put_u8(4);
                out.put_u64(a.attempt);
                out.put_u8(match a.outcome {
                    NodeOutcome::Done => 0,
                    NodeOutcome::Error => 1,
                    NodeOutcome::Full => 2,
                    NodeOutcome::NotHere => 3,
                });
                out.put_u32(a.waiting);
                out.put_f32(a.elsewhere);
                out.put_u32(a.data.len() as u32);
                out.put_slice(&a.data);
            }
            Frame::Cancel { attempt } => {
                out.put_u8(5);
                out.put_u64(*attempt);
            }
            Frame::Ping { number } => {
                out.put_u8(6);
                out.put_u64(*number);
            }
            Frame::Pong { number } => {
                out.put_u8(7);
                out.put_u64(*number);
            }
        }
        let length = (out.len() - start - 4) as u32;
        out[start..start + 4].copy_from_slice(&length.to_be_bytes());
    }

    pub fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::new();
        self.encode(&mut out);
        out.freeze()
    }

    /// `frame` is a whole one, without its length.
    pub fn decode(frame: Bytes) -> Result<Frame, WireError> {
        let mut f = Fields(frame);
        let found = match f.u8("kind")? {
            1 => Frame::HostHello {
                version: f.u16("version")?,
                host: f.u32("host")?,
                generation: f.u64("life")?,
                sent_us: f.u64("time sent")?,
            },
            2 => Frame::NodeHello {
                version: f.u16("version")?,
                shard: f.u32("shard")?,
                zone: f.u32("zone")?,
                started_us: f.u64("start")?,
                up_us: f.u64("time up")?,
            },
            3 => Frame::Send(SendAttempt {
                attempt: f.u64("attempt")?,
                request: f.u64("request")?,
                attempt_number: f.u8("attempt number")?,
                origin: Origin {
                    session: f.u32("session")?,
                    command: f.u32("command")?,
                    part: f.u16("part")?,
                },
                sent_us: f.u64("time sent")?,
                left_us: f.u32("time left")?,
                mark: u128::from(f.u64("mark")?) << 64 | u128::from(f.u64("mark")?),
                key: f.u64("key")?,
                volume: f.u32("volume")?,
                offset: f.u64("offset")?,
                units: f.amount("units")?,
                work: match f.u8("work")? {
                    0 => Work::Read { length: f.u32("length")? },
                    1 => {
                        let n = f.u32("data length")? as usize;
                        Work::Write { data: f.bytes("data", n)? }
                    }
                    other => return Err(unknown("work", other, "0 (read) or 1 (write)")),
                },
            }),
            4 => Frame::Answer(Answer {
                attempt: f.u64("attempt")?,
                outcome: match f.u8("outcome")? {
                    0 => NodeOutcome::Done,
                    1 => NodeOutcome::Error,
                    2 => NodeOutcome::Full,
                    3 => NodeOutcome::NotHere,
                    other => return Err(unknown("outcome", other, "0 to 3")),
                },
                waiting: f.u32("waiting")?,
                elsewhere: f.amount("elsewhere")?,
                data: {
                    let n = f.u32("data length")? as usize;
                    f.bytes("data", n)?
                },
            }),
            5 => Frame::Cancel { attempt: f.u64("attempt")? },
            6 => Frame::Ping { number: f.u64("number")? },
            7 => Frame::Pong { number: f.u64("number")? },
            other => return Err(unknown("kind", other, "a frame kind from 1 to 7")),
        };
        f.end("frame")?;
        Ok(found)
    }
}

fn unknown(field: &'static str, found: u8, expected: &'static str) -> WireError {
    WireError::Value { field, found: u64::from(found), expected }
}

/// The version that both sides speak: the lower of the two newest, if the other side still knows it.
pub fn agree(theirs: u16) -> Result<u16, WireError> {
    match theirs.min(VERSION) {
        v if v >= OLDEST => Ok(v),
        _ => Err(WireError::Value {
            field: "version",
            found: u64::from(theirs),
            expected: "version 1 or later",
        }),
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
