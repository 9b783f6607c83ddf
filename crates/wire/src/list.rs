//! The node list protocol, described byte by byte in docs/protocols/node-list.md.

use crate::reader::{Fields, Frames};
use crate::WireError;
use bytes::{BufMut, Bytes, BytesMut};

/// Newest version of the protocol.
pub const VERSION: u16 = 2;
/// First version whose lists have the time at which they were sent.
pub const TIMED: u16 = 2;
/// Bytes of one frame, at most: some 12,000 entries.
pub const MAX: usize = 1 << 20;

/// State of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Finishes what is in flight and takes nothing new.
    Draining,
    /// Is not there any more.
    Gone,
}

/// A node of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Where hosts reach it.
    pub address: String,
    /// Its state.
    pub state: State,
    /// Its zone.
    pub zone: u32,
    /// The shard that it holds.
    pub shard: u32,
    /// Unix time of the latest start in microseconds; 0: long past.
    pub started_us: u64,
}

/// A frame of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A host asks for what has changed since list version `since`, and for every change from then on.
    Follow {
        /// Newest version that the host speaks.
        version: u16,
        /// The host's number.
        host: u32,
        /// The list version that the host has.
        since: u64,
    },
    /// A host asks for the complete list once.
    Fetch {
        /// Newest version that the host speaks.
        version: u16,
        /// The host's number.
        host: u32,
    },
    /// Changes of the list.
    Changes {
        /// List version that they are on top of.
        from: u64,
        /// List version that they lead to.
        to: u64,
        /// The list's own clock when it was sent, by which starts are to be read, whatever the host's clock shows; 0: not
        /// known, as in version 1.
        sent_us: u64,
        /// The nodes that changed.
        entries: Vec<Entry>,
    },
    /// The complete list.
    Complete {
        /// Its list version.
        to: u64,
        /// As in changes.
        sent_us: u64,
        /// All nodes.
        entries: Vec<Entry>,
    },
    /// The call could not be answered.
    Failed,
}

/// The bytes that tell kinds of frames apart.
mod kind {
    /// A host subscribes to changes.
    pub(super) const FOLLOW: u8 = 1;
    /// A host asks for the complete list.
    pub(super) const FETCH: u8 = 2;
    /// Changes since a version.
    pub(super) const CHANGES: u8 = 3;
    /// The complete list.
    pub(super) const COMPLETE: u8 = 4;
    /// The call could not be answered.
    pub(super) const FAILED: u8 = 5;
    /// Changes, with the time at which they were sent.
    pub(super) const TIMED_CHANGES: u8 = 6;
    /// The complete list, with the time at which it was sent.
    pub(super) const TIMED_COMPLETE: u8 = 7;
}

impl Frame {
    /// The frame with its length.
    pub fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u32(0);
        match self {
            Frame::Follow { version, host, since } => {
                out.put_u8(kind::FOLLOW);
                out.put_u16(*version);
                out.put_u32(*host);
                out.put_u64(*since);
            }
            Frame::Fetch { version, host } => {
                out.put_u8(kind::FETCH);
                out.put_u16(*version);
                out.put_u32(*host);
            }
            Frame::Changes { from, to, sent_us, entries } => {
                out.put_u8(if *sent_us > 0 { kind::TIMED_CHANGES } else { kind::CHANGES });
                out.put_u64(*from);
                out.put_u64(*to);
                put_time(&mut out, *sent_us);
                put_entries(&mut out, entries);
            }
            Frame::Complete { to, sent_us, entries } => {
                out.put_u8(if *sent_us > 0 { kind::TIMED_COMPLETE } else { kind::COMPLETE });
                out.put_u64(*to);
                put_time(&mut out, *sent_us);
                put_entries(&mut out, entries);
            }
            Frame::Failed => out.put_u8(kind::FAILED),
        }
        let length = (out.len() - 4) as u32;
        out[..4].copy_from_slice(&length.to_be_bytes());
        out.freeze()
    }

    /// Reads a whole frame, without its length.
    pub fn decode(frame: Bytes) -> Result<Frame, WireError> {
        let mut fields = Fields(frame);
        let found = match fields.u8("kind")? {
            kind::FOLLOW => Frame::Follow {
                version: fields.u16("version")?,
                host: fields.u32("host")?,
                since: fields.u64("since")?,
            },
            kind::FETCH => Frame::Fetch { version: fields.u16("version")?, host: fields.u32("host")? },
            kind @ (kind::CHANGES | kind::TIMED_CHANGES) => Frame::Changes {
                from: fields.u64("from")?,
                to: fields.u64("to")?,
                sent_us: if kind == kind::TIMED_CHANGES { fields.u64("time sent")? } else { 0 },
                entries: entries(&mut fields)?,
            },
            kind @ (kind::COMPLETE | kind::TIMED_COMPLETE) => Frame::Complete {
                to: fields.u64("to")?,
                sent_us: if kind == kind::TIMED_COMPLETE { fields.u64("time sent")? } else { 0 },
                entries: entries(&mut fields)?,
            },
            kind::FAILED => Frame::Failed,
            other => return Err(WireError::unexpected("kind", other, "a frame kind from 1 to 7")),
        };
        fields.end("frame")?;
        Ok(found)
    }
}

fn put_time(out: &mut BytesMut, sent_us: u64) {
    if sent_us > 0 {
        out.put_u64(sent_us);
    }
}

fn put_entries(out: &mut BytesMut, entries: &[Entry]) {
    out.put_u32(entries.len() as u32);
    for entry in entries {
        let address = &entry.address.as_bytes()[..entry.address.len().min(255)];
        out.put_u8(address.len() as u8);
        out.put_slice(address);
        out.put_u8(match entry.state {
            State::Ready => 0,
            State::Draining => 1,
            State::Gone => 2,
        });
        out.put_u32(entry.zone);
        out.put_u32(entry.shard);
        out.put_u64(entry.started_us);
    }
}

fn entries(fields: &mut Fields) -> Result<Vec<Entry>, WireError> {
    let count = fields.u32("entries")?;
    // The count is not trusted: the bytes that are there decide how much is allocated.
    let mut found = Vec::new();
    for _ in 0..count {
        found.push(Entry {
            address: fields.text("address")?,
            state: match fields.u8("state")? {
                0 => State::Ready,
                1 => State::Draining,
                2 => State::Gone,
                other => {
                    return Err(WireError::unexpected("state", other, "0 ready, 1 draining or 2 gone"));
                }
            },
            zone: fields.u32("zone")?,
            shard: fields.u32("shard")?,
            started_us: fields.u64("start")?,
        });
    }
    Ok(found)
}

/// Frames of a stream.
pub fn frames() -> Frames {
    Frames::new(MAX)
}

/// The next decoded frame of a stream.
pub fn next(frames: &mut Frames) -> Result<Option<Frame>, WireError> {
    frames.next_frame()?.map(Frame::decode).transpose()
}
