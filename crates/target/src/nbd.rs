//! An NBD session of the target: the fixed newstyle handshake and the transmission phase, with the same events and
//! verdicts as the iSCSI-style session has.

use crate::negotiate::Offer;
use crate::session::{Ending, Event, SessionError, Verdict, Work};
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use tackmast_wire::nbd::{
    self, chunk, command, error, export, info, option, reply, ClientUnit, ClientUnits, Reply, Stage,
};
use tackmast_wire::scsi::Unit;

/// Version of the project's additions to the protocol.
pub const ADDITIONS: u16 = 1;

struct Open {
    cookie: u64,
    offset: u64,
    write: bool,
}

pub struct NbdSession {
    offer: Arc<Offer>,
    number: u16,
    units: Arc<Vec<Unit>>,
    unit: Option<Unit>,
    input: ClientUnits,
    output: BytesMut,
    events: VecDeque<Event>,
    no_zeroes: bool,
    structured: bool,
    /// Version of the additions that both sides speak; 0: none.
    additions: u16,
    next: u32,
    open: BTreeMap<u32, Open>,
    cookies: HashMap<u64, u32>,
    over: bool,
    full_house: bool,
}

impl NbdSession {
    pub fn new(offer: Arc<Offer>, units: Arc<Vec<Unit>>, number: u16) -> Self {
        let mut output = BytesMut::new();
        output.put_slice(&nbd::greeting());
        NbdSession {
            input: ClientUnits::new(offer.max_command),
            offer,
            number,
            units,
            unit: None,
            output,
            events: VecDeque::new(),
            no_zeroes: false,
            structured: false,
            additions: 0,
            next: 0,
            open: BTreeMap::new(),
            cookies: HashMap::new(),
            over: false,
            full_house: false,
        }
    }

    /// There is no room for this session: its options will be answered so.
    pub fn turn_away(&mut self) {
        self.full_house = true;
    }

    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    pub fn output(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    pub fn pending(&self) -> usize {
        self.output.len()
    }

    pub fn is_over(&self) -> bool {
        self.over
    }

    pub fn is_full(&self) -> bool {
        self.input.stage == Stage::Transmission
    }

    /// The protocol has no window: a client with that many open is not read from until one is answered.
    pub fn is_paused(&self) -> bool {
        self.open.len() >= self.offer.window as usize
    }

    pub fn take(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        self.input.push(bytes);
        self.go_on()
    }

    /// Takes what has come while the session was paused.
    pub fn go_on(&mut self) -> Result<(), SessionError> {
        while !self.over && !self.is_paused() {
            let Some(unit) = self.input.next_unit()? else { break };
            match unit {
                ClientUnit::Flags(flags) => self.flags(flags)?,
                ClientUnit::Option { option, data } => self.option(option, &data)?,
                ClientUnit::Request { request, data } => self.request(request, data),
            }
        }
        Ok(())
    }

    fn flags(&mut self, flags: u32) -> Result<(), SessionError> {
        if flags & !u32::from(nbd::FIXED_NEWSTYLE | nbd::NO_ZEROES) != 0 {
            let expected = "fixed newstyle (1) and no zeroes (2)".to_owned();
            return Err(SessionError::Protocol { what: "client flags", found: u64::from(flags), expected });
        }
        self.no_zeroes = flags & u32::from(nbd::NO_ZEROES) != 0;
        self.input.stage = Stage::Options;
        Ok(())
    }

    fn find(&self, name: &str) -> Option<Unit> {
        // No name asks for the default export: the first volume.
        let named = |u: &&Unit| name.is_empty() || u.name == name;
        self.units.iter().find(named).cloned()
    }

    fn answer_option(&mut self, option: u32, kind: u32, data: &[u8]) {
        nbd::option_reply(option, kind, data, &mut self.output);
    }

    fn close(&mut self, why: Ending) {
        self.over = true;
        self.events.push_back(Event::Close(why));
    }

    fn option(&mut self, number: u32, data: &Bytes) -> Result<(), SessionError> {
        if self.full_house && number != option::ABORT {
            self.answer_option(number, reply::ERR_POLICY, b"no room for a further session");
            self.close(Ending::LoginRefused);
            return Ok(());
        }
        match number {
            option::EXPORT_NAME => {
                // The oldest way in, which has no answer but the connection's end.
                let name = String::from_utf8_lossy(data).into_owned();
                let Some(unit) = self.find(&name) else {
                    self.close(Ending::LoginRefused);
                    return Ok(());
                };
                self.output.put_u64(unit.blocks * u64::from(unit.block_bytes));
                self.output.put_u16(export::HAS_FLAGS | export::SEND_FLUSH | export::SEND_FUA);
                if !self.no_zeroes {
                    self.output.put_bytes(0, 124);
                }
                self.begin(unit);
            }
            option::ABORT => {
                self.answer_option(number, reply::ACK, &[]);
                self.close(Ending::Logout);
            }
            option::LIST if !data.is_empty() => {
                self.answer_option(number, reply::ERR_INVALID, b"no data is wanted")
            }
            option::LIST => {
                for u in self.units.clone().iter() {
                    let mut name = BytesMut::new();
                    name.put_u32(u.name.len() as u32);
                    name.put_slice(u.name.as_bytes());
                    self.answer_option(number, reply::SERVER, &name);
                }
                self.answer_option(number, reply::ACK, &[]);
            }
            option::INFO | option::GO => match nbd::read_go(data) {
                Err(e) => self.answer_option(number, reply::ERR_INVALID, e.to_string().as_bytes()),
                Ok(request) => match self.find(&request.name) {
                    None => self.answer_option(number, reply::ERR_UNKNOWN, b"no such volume"),
                    Some(unit) => {
                        let mut size = BytesMut::new();
                        size.put_u16(info::EXPORT);
                        size.put_u64(unit.blocks * u64::from(unit.block_bytes));
                        size.put_u16(export::HAS_FLAGS | export::SEND_FLUSH | export::SEND_FUA);
                        self.answer_option(number, reply::INFO, &size);
                        let mut blocks = BytesMut::new();
                        blocks.put_u16(info::BLOCK_SIZE);
                        blocks.put_u32(unit.block_bytes);
                        blocks.put_u32(unit.block_bytes.max(4096));
                        blocks.put_u32(unit.max_blocks.saturating_mul(unit.block_bytes));
                        self.answer_option(number, reply::INFO, &blocks);
                        self.answer_option(number, reply::ACK, &[]);
                        if number == option::GO {
                            self.begin(unit);
                        }
                    }
                },
            },
            option::STRUCTURED_REPLY => {
                self.structured = true;
                self.answer_option(number, reply::ACK, &[]);
            }
            option::TACKMAST => match nbd::read_version(data) {
                Ok(theirs) if theirs > 0 && self.structured => {
                    // The lower of the two newest: each side keeps to what both know.
                    self.additions = theirs.min(ADDITIONS);
                    let ours = nbd::write_session(self.additions, u32::from(self.number), self.offer.window);
                    self.answer_option(number, reply::ACK, &ours);
                }
                _ => self.answer_option(
                    number,
                    reply::ERR_INVALID,
                    b"structured replies first, and a version from 1",
                ),
            },
            _ => self.answer_option(number, reply::ERR_UNSUP, b"not known here"),
        }
        Ok(())
    }

    fn begin(&mut self, unit: Unit) {
        self.unit = Some(unit);
        self.input.stage = Stage::Transmission;
    }

    fn request(&mut self, r: nbd::Request, data: Bytes) {
        let Some(unit) = self.unit.clone() else { return };
        let block_bytes = u64::from(unit.block_bytes);
        let length = u64::from(r.length);
        let write = r.kind == command::WRITE;
        match r.kind {
            command::DISCONNECT => return self.close(Ending::Logout),
            // A write is done when its node said so, so nothing waits to be flushed.
            command::FLUSH => return self.done(r.cookie, 0, false, Bytes::new()),
            command::CANCEL if self.additions > 0 => {
                if let Some(number) = self.cookies.remove(&r.offset) {
                    self.open.remove(&number);
                    self.events.push_back(Event::Abort { command: number });
                }
                return self.done(r.cookie, 0, false, Bytes::new());
            }
            command::READ | command::WRITE => {}
            _ => return self.fail(r.cookie, error::INVAL, "this command is not served"),
        }
        let aligned = r.offset.is_multiple_of(block_bytes) && length.is_multiple_of(block_bytes);
        let end = r.offset.checked_add(length);
        if r.flags & !(nbd::flag::FUA) != 0 || !aligned || self.cookies.contains_key(&r.cookie) {
            return self.fail(
                r.cookie,
                error::INVAL,
                "flags, a place or a length that the export does not allow",
            );
        }
        if end.is_none_or(|e| e > unit.blocks * block_bytes) {
            let code = if write { error::NOSPC } else { error::INVAL };
            return self.fail(r.cookie, code, "beyond the end of the export");
        }
        if length > u64::from(unit.max_blocks) * block_bytes {
            return self.fail(r.cookie, error::OVERFLOW, "longer than the export's largest block size");
        }
        if length == 0 {
            return self.done(r.cookie, r.offset, !write, Bytes::new());
        }
        // Numbers go round; one that is still open is passed over.
        loop {
            self.next = self.next.wrapping_add(1);
            if !self.open.contains_key(&self.next) {
                break;
            }
        }
        let number = self.next;
        self.open.insert(number, Open { cookie: r.cookie, offset: r.offset, write });
        self.cookies.insert(r.cookie, number);
        let deadline = r
            .deadline_us
            .filter(|_| self.additions > 0)
            .map(|us| (us / 1000).min(u64::from(u32::MAX)) as u32);
        let (least, most) = self.offer.deadline_ms;
        self.events.push_back(Event::Submit {
            command: number,
            lun: unit.lun,
            block: r.offset / block_bytes,
            work: match write {
                true => Work::Write { data },
                false => Work::Read { blocks: (length / block_bytes) as u32 },
            },
            deadline_ms: deadline.map(|ms| ms.clamp(least, most.max(least))),
        });
    }

    fn done(&mut self, cookie: u64, offset: u64, read: bool, data: Bytes) {
        let answer = match (self.structured, read) {
            (false, _) => Reply::Simple { cookie, error: 0, data },
            (true, false) => Reply::Chunk { cookie, flags: nbd::DONE, kind: chunk::NONE, data: Bytes::new() },
            (true, true) if data.is_empty() => {
                Reply::Chunk { cookie, flags: nbd::DONE, kind: chunk::NONE, data }
            }
            (true, true) => {
                let mut body = BytesMut::with_capacity(data.len() + 8);
                body.put_u64(offset);
                body.put_slice(&data);
                Reply::Chunk { cookie, flags: nbd::DONE, kind: chunk::OFFSET_DATA, data: body.freeze() }
            }
        };
        answer.encode(&mut self.output);
    }

    fn fail(&mut self, cookie: u64, code: u32, text: &str) {
        let answer = match self.structured {
            false => Reply::Simple { cookie, error: code, data: Bytes::new() },
            true => {
                let data = nbd::write_error(code, text.as_bytes());
                Reply::Chunk { cookie, flags: nbd::DONE, kind: chunk::ERROR, data }
            }
        };
        answer.encode(&mut self.output);
    }

    /// The host's final answer. A client that agreed on the additions is told a rejection apart from a failed
    /// request; to any other both are an I/O error, which promises nothing about the effect: a rejection may be taken
    /// for less than it is, never a failed request for more.
    pub fn answer(&mut self, number: u32, verdict: Verdict) -> bool {
        let Some(Open { cookie, offset, write }) = self.open.remove(&number) else { return false };
        self.cookies.remove(&cookie);
        match verdict {
            Verdict::Done { data } => self.done(cookie, offset, !write, data),
            Verdict::Rejected { retry_after_us } if self.additions > 0 => {
                let data = nbd::write_error(error::IO, &retry_after_us.to_be_bytes());
                Reply::Chunk { cookie, flags: nbd::DONE, kind: chunk::REJECTED, data }
                    .encode(&mut self.output);
            }
            Verdict::Rejected { .. } => self.fail(cookie, error::IO, "deferred"),
            Verdict::Failed => self.fail(cookie, error::IO, "abandoned"),
        }
        true
    }
}
