//! The NBD transport: handshake, the gateway's additions where it knows them, and the transmission phase.

use crate::op::{Op, Outcome, Place, SessionEvent, Transport, Volume};
use bytes::{Buf, Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use tackmast::interface::TimeDelta;
use tackmast_wire::nbd::{
    self, chunk, command, error, info, option, reply, Reply, Request, ServerUnit, ServerUnits, Stage,
};

/// Newest version of the additions that this library speaks.
pub const ADDITIONS: u16 = 1;
const MAX_READ: u32 = 16 << 20;
/// Commands that may be open: the protocol names no window.
const WINDOW: usize = 128;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Greeting,
    Structured,
    Additions,
    Go,
    Ready,
    Over,
}

struct Pending {
    read: usize,
    offset: u64,
    data: BytesMut,
    have: usize,
    failed: Option<Outcome>,
    wanted: bool,
}

pub struct NbdClient {
    place: Place,
    input: ServerUnits,
    output: BytesMut,
    events: VecDeque<SessionEvent>,
    phase: Phase,
    /// Version of the additions that is offered, and that both sides speak; 0: none.
    offers: u16,
    additions: u16,
    plain: bool,
    volume: Volume,
    /// Commands that may be open.
    window: usize,
    next: u64,
    pending: HashMap<u64, (u64, Pending)>, // by cookie: tag, state
    cookies: HashMap<u64, u64>,
}

impl NbdClient {
    /// `offers` is the version of the additions that is asked for. With 0 the library speaks only the public protocol,
    /// and with `plain` not even structured replies.
    pub fn new(place: Place, offers: u16, plain: bool) -> Self {
        NbdClient {
            place,
            input: ServerUnits::new(MAX_READ),
            output: BytesMut::new(),
            events: VecDeque::new(),
            phase: Phase::Greeting,
            offers,
            additions: 0,
            plain,
            volume: Volume { bytes: 0, block_bytes: 512, max_bytes: 32 << 20 },
            window: WINDOW,
            next: 0,
            pending: HashMap::new(),
            cookies: HashMap::new(),
        }
    }

    fn ask(&mut self, number: u32, data: &[u8], phase: Phase) {
        nbd::option(number, data, &mut self.output);
        self.phase = phase;
    }

    fn go(&mut self) {
        let data = nbd::write_go(&self.place.name, &[info::BLOCK_SIZE]);
        self.ask(option::GO, &data, Phase::Go);
    }

    fn handshake(&mut self, unit: ServerUnit) -> Result<(), String> {
        match (self.phase, unit) {
            (Phase::Greeting, ServerUnit::Greeting { flags }) => {
                if flags & nbd::FIXED_NEWSTYLE == 0 {
                    return Err("the server knows no fixed newstyle handshake; expected one that does".into());
                }
                let ours = u32::from(flags & (nbd::FIXED_NEWSTYLE | nbd::NO_ZEROES));
                self.output.extend_from_slice(&ours.to_be_bytes());
                self.input.stage = Stage::Options;
                match self.plain {
                    true => self.go(),
                    false => self.ask(option::STRUCTURED_REPLY, &[], Phase::Structured),
                }
            }
            (Phase::Structured, ServerUnit::OptionReply { kind, .. }) => {
                if kind == reply::ACK && self.offers > 0 {
                    self.ask(option::TACKMAST, &nbd::write_version(self.offers), Phase::Additions);
                } else if kind == reply::ERR_POLICY {
                    self.refused("no room for a further session".into(), true);
                } else {
                    self.go();
                }
            }
            (Phase::Additions, ServerUnit::OptionReply { kind, data, .. }) => {
                // A server that knows none of it says so, and the rest is as public as it was.
                if kind == reply::ACK {
                    self.additions = nbd::read_version(&data).map_err(|e| e.to_string())?.min(self.offers);
                    // What is sent beyond the window would wait in the sockets, and grow late there.
                    let told = nbd::read_window(&data).map(|w| w as usize);
                    self.window = told.unwrap_or(WINDOW).clamp(1, WINDOW);
                }
                self.go();
            }
            (Phase::Go, ServerUnit::OptionReply { kind: reply::INFO, mut data, .. }) if data.len() >= 2 => {
                match data.get_u16() {
                    info::EXPORT if data.len() >= 10 => self.volume.bytes = data.get_u64(),
                    info::BLOCK_SIZE if data.len() >= 12 => {
                        self.volume.block_bytes = data.get_u32();
                        data.advance(4);
                        self.volume.max_bytes = data.get_u32().min(MAX_READ);
                    }
                    _ => {}
                }
            }
            (Phase::Go, ServerUnit::OptionReply { kind: reply::ACK, .. }) => {
                self.input.stage = Stage::Transmission;
                self.phase = Phase::Ready;
                self.events.push_back(SessionEvent::Ready(self.volume));
            }
            (Phase::Go, ServerUnit::OptionReply { kind, data, .. }) => {
                let text = format!("volume {:?}: {}", self.place.name, String::from_utf8_lossy(&data));
                self.refused(text, matches!(kind, reply::ERR_POLICY | reply::ERR_SHUTDOWN));
            }
            (_, other) => return Err(format!("{other:?} during the handshake")),
        }
        Ok(())
    }

    fn refused(&mut self, text: String, again: bool) {
        self.phase = Phase::Over;
        self.events.push_back(SessionEvent::Refused { text, again });
    }

    fn failed(code: u32, text: &Bytes) -> Outcome {
        match code {
            error::INVAL | error::NOSPC | error::OVERFLOW | error::NOTSUP | error::PERM => {
                Outcome::InvalidRequest(format!("error {code}: {}", String::from_utf8_lossy(text)))
            }
            _ => Outcome::Failed,
        }
    }

    fn replied(&mut self, r: Reply) -> Result<(), String> {
        let cookie = match &r {
            Reply::Simple { cookie, .. } | Reply::Chunk { cookie, .. } => *cookie,
        };
        let Some((_, p)) = self.pending.get_mut(&cookie) else {
            return Err(format!("a reply to cookie {cookie}, which is not open"));
        };
        let last = match r {
            Reply::Simple { error, data, .. } => {
                match error {
                    0 => {
                        p.have = data.len();
                        p.data = BytesMut::from(&data[..]);
                    }
                    code => p.failed = Some(Self::failed(code, &Bytes::new())),
                }
                true
            }
            Reply::Chunk { flags, kind, mut data, .. } => {
                match kind {
                    chunk::NONE => {}
                    chunk::OFFSET_DATA if data.len() >= 8 => {
                        let at = data.get_u64().wrapping_sub(p.offset) as usize;
                        let end = at.checked_add(data.len()).filter(|e| *e <= p.read);
                        let Some(end) = end else {
                            return Err(format!("{} bytes at {at}; the read has {}", data.len(), p.read));
                        };
                        if p.data.len() < p.read {
                            p.data.resize(p.read, 0);
                        }
                        p.data[at..end].copy_from_slice(&data);
                        p.have += data.len();
                    }
                    chunk::REJECTED => {
                        let mut text = nbd::read_error(&data).map_err(|e| e.to_string())?.text;
                        let us = if text.len() >= 8 { text.get_u64() } else { 0 };
                        let retry_after = (us > 0).then(|| TimeDelta::from_secs(us as f64 / 1e6));
                        p.failed = Some(Outcome::Rejected { retry_after });
                    }
                    // All chunk types with the highest bit are errors, known or not.
                    k if k & 0x8000 != 0 => {
                        let error = nbd::read_error(&data).map_err(|e| e.to_string())?;
                        p.failed = Some(Self::failed(error.value, &error.text));
                    }
                    other => return Err(format!("chunk of type {other}; expected one that was agreed on")),
                }
                flags & nbd::DONE != 0
            }
        };
        if !last {
            return Ok(());
        }
        let Some((tag, p)) = self.pending.remove(&cookie) else { return Ok(()) };
        self.cookies.remove(&tag);
        if p.wanted {
            let outcome = match p.failed {
                Some(o) => o,
                None if p.have == p.read => Outcome::Done(p.data.freeze()),
                // Fewer bytes than were asked for are not the answer.
                None => Outcome::Failed,
            };
            self.events.push_back(SessionEvent::Answer { tag, outcome });
        }
        Ok(())
    }

    fn request(&mut self, tag: u64, kind: u16, offset: u64, length: u32, left: Option<TimeDelta>) -> u64 {
        self.next += 1;
        let deadline_us = left.filter(|_| self.additions > 0).map(|l| (l.secs() * 1e6).max(1.0) as u64);
        Request { flags: 0, kind, cookie: self.next, offset, length, deadline_us }.encode(&mut self.output);
        let read = if kind == command::READ { length as usize } else { 0 };
        let p = Pending { read, offset, data: BytesMut::new(), have: 0, failed: None, wanted: true };
        self.pending.insert(self.next, (tag, p));
        self.next
    }
}

impl Transport for NbdClient {
    fn take(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.input.push(bytes);
        while self.phase != Phase::Over {
            let pending = &self.pending;
            let expects = |cookie: u64| pending.get(&cookie).map_or(0, |(_, p)| p.read);
            let Some(unit) = self.input.next_unit(expects).map_err(|e| e.to_string())? else { break };
            match unit {
                ServerUnit::Reply(r) => self.replied(r)?,
                other => self.handshake(other)?,
            }
        }
        Ok(())
    }

    fn output(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    fn next_event(&mut self) -> Option<SessionEvent> {
        self.events.pop_front()
    }

    fn submit(&mut self, tag: u64, what: &Op, left: TimeDelta) -> bool {
        if self.phase != Phase::Ready || self.pending.len() >= self.window {
            return false;
        }
        let cookie = match what {
            Op::Read { offset, length } => self.request(tag, command::READ, *offset, *length, Some(left)),
            Op::Write { offset, data } => {
                let cookie = self.request(tag, command::WRITE, *offset, data.len() as u32, Some(left));
                self.output.extend_from_slice(data);
                cookie
            }
            Op::Flush => self.request(tag, command::FLUSH, 0, 0, None),
        };
        self.cookies.insert(tag, cookie);
        true
    }

    fn cancel(&mut self, tag: u64) {
        let Some(cookie) = self.cookies.remove(&tag) else { return };
        if self.additions > 0 {
            self.pending.remove(&cookie);
            let cancel = self.request(u64::MAX, command::CANCEL, cookie, 0, None);
            if let Some((_, p)) = self.pending.get_mut(&cancel) {
                p.wanted = false;
            }
        } else if let Some((_, p)) = self.pending.get_mut(&cookie) {
            // The public protocol can't take a command back: its answer is passed over when it comes.
            p.wanted = false;
        }
    }

    fn end(&mut self) {
        Request { flags: 0, kind: command::DISCONNECT, cookie: 0, offset: 0, length: 0, deadline_us: None }
            .encode(&mut self.output);
        self.phase = Phase::Over;
    }
}
