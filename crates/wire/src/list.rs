//! The node list protocol, described byte by byte in docs/protocols/node-list.md.

use crate::reader::{Fields, Frames};
use crate::WireError;
use bytes::{BufMut, Bytes, BytesMut};

pub const VERSION: u16 = 2;
/// From this one on, lists that are sent tell when.
pub const TIMED: u16 = 2;
/// Bytes of one frame, at most: some 12,000 entries.
pub const MAX: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub address: String,
    pub state: State,
    pub zone: u32,
    pub shard: u32,
    /// Unix time of the latest start in microseconds; 0: long past.
    pub started_us: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A host asks for what has changed since list version `since`, and for every change from then on.
    Follow {
        version: u16,
        host: u32,
        since: u64,
    },
    /// A host asks for the complete list once.
    Fetch {
        version: u16,
        host: u32,
    },
    /// Changes on top of list version `from`. `sent_us` is the list's own clock when it was sent, by which starts are to
    /// be read, whatever the host's clock shows; 0: not told, as by version 1.
    Changes {
        from: u64,
        to: u64,
        sent_us: u64,
        entries: Vec<Entry>,
    },
    Complete {
        to: u64,
        sent_us: u64,
        entries: Vec<Entry>,
    },
    /// The call could not be answered.
    Failed,
}

impl Frame {
    pub fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u32(0);
        match self {
            Frame::Follow { version, host, since } => {
                out.put_u8(1);
                out.put_u16(*version);
                out.put_u32(*host);
                out.put_u64(*since);
            }
            Frame::Fetch { version, host } => {
                out.put_u8(2);
                out.put_u16(*version);
                out.put_u32(*host);
            }
            Frame::Changes { from, to, sent_us, entries } => {
                out.put_u8(if *sent_us > 0 { 6 } else { 3 });
                out.put_u64(*from);
                out.put_u64(*to);
                put_time(&mut out, *sent_us);
                put_entries(&mut out, entries);
            }
            Frame::Complete { to, sent_us, entries } => {
                out.put_u8(if *sent_us > 0 { 7 } else { 4 });
                out.put_u64(*to);
                put_time(&mut out, *sent_us);
                put_entries(&mut out, entries);
            }
            Frame::Failed => out.put_u8(5),
        }
        let length = (out.len() - 4) as u32;
        out[..4].copy_from_slice(&length.to_be_bytes());
        out.freeze()
    }

    pub fn decode(frame: Bytes) -> Result<Frame, WireError> {
        let mut f = Fields(frame);
        let found = match f.u8("kind")? {
            1 => Frame::Follow { version: f.u16("version")?, host: f.u32("host")?, since: f.u64("since")? },
            2 => Frame::Fetch { version: f.u16("version")?, host: f.u32("host")? },
            kind @ (3 | 6) => Frame::Changes {
                from: f.u64("from")?,
                to: f.u64("to")?,
                sent_us: if kind == 6 { f.u64("time sent")? } else { 0 },
                entries: entries(&mut f)?,
            },
            kind @ (4 | 7) => Frame::Complete {
                to: f.u64("to")?,
                sent_us: if kind == 7 { f.u64("time sent")? } else { 0 },
                entries: entries(&mut f)?,
            },
            5 => Frame::Failed,
            other => {
                let (field, found) = ("kind", u64::from(other));
                return Err(WireError::Value { field, found, expected: "a frame kind from 1 to 7" });
            }
        };
        f.end("frame")?;
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
    for e in entries {
        let address = &e.address.as_bytes()[..e.address.len().min(255)];
        out.put_u8(address.len() as u8);
        out.put_slice(address);
        out.put_u8(match e.state {
            State::Ready => 0,
            State::Draining => 1,
            State::Gone => 2,
        });
        out.put_u32(e.zone);
        out.put_u32(e.shard);
        out.put_u64(e.started_us);
    }
}

fn entries(f: &mut Fields) -> Result<Vec<Entry>, WireError> {
    let n = f.u32("entries")?;
    // The count is a peer's word: what is really there decides how much is kept.
    let mut found = Vec::new();
    for _ in 0..n {
        found.push(Entry {
            address: f.text("address")?,
            state: match f.u8("state")? {
                0 => State::Ready,
                1 => State::Draining,
                2 => State::Gone,
                other => {
                    let (field, found) = ("state", u64::from(other));
                    return Err(WireError::Value { field, found, expected: "0 ready, 1 draining or 2 gone" });
                }
            },
            zone: f.u32("zone")?,
            shard: f.u32("shard")?,
            started_us: f.u64("start")?,
        });
    }
    Ok(found)
}

pub fn frames() -> Frames {
    Frames::new(MAX)
}

pub fn next(frames: &mut Frames) -> Result<Option<Frame>, WireError> {
    frames.next_frame()?.map(Frame::decode).transpose()
}
