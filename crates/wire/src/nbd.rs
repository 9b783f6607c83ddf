//! The NBD protocol, fixed newstyle: handshake, options, and the transmission phase with simple and structured
//! replies, as its public page describes them. All numbers are big-endian. Both sides' units are here, so that the
//! target and the client library read and write the same bytes.

use crate::reader::Fields;
use crate::WireError;
use bytes::{Buf, BufMut, Bytes, BytesMut};

pub const MAGIC: u64 = 0x4e42_444d_4147_4943; // NBDMAGIC
pub const IHAVEOPT: u64 = 0x4948_4156_454f_5054;
pub const OPTION_REPLY: u64 = 0x0003_e889_0455_65a9;
pub const REQUEST: u32 = 0x2560_9513;
pub const SIMPLE: u32 = 0x6744_6698;
pub const STRUCTURED: u32 = 0x668e_33ef;

/// Handshake flags of the server, which the client echoes.
pub const FIXED_NEWSTYLE: u16 = 1;
pub const NO_ZEROES: u16 = 2;

/// Bytes of an option's data.
pub const MAX_OPTION: u32 = 64 << 10;

macro_rules! numbers {
    ($(#[$doc:meta])* $module:ident: $type:ty { $($name:ident = $value:expr),* $(,)? }) => {
        $(#[$doc])*
        pub mod $module { $(pub const $name: $type = $value;)* }
    };
}
numbers! {
    /// Options of the handshake. The last two are this project's, in the range of none that is defined: they are
    /// answered with `ERR_UNSUP` by servers that don't know them.
    option: u32 {
        EXPORT_NAME = 1, ABORT = 2, LIST = 3, INFO = 6, GO = 7, STRUCTURED_REPLY = 8,
        TACKMAST = 0x7461_636b,
    }
}
numbers! {
    /// Replies to options.
    reply: u32 {
        ACK = 1, SERVER = 2, INFO = 3,
        ERR_UNSUP = 0x8000_0001, ERR_POLICY = 0x8000_0002, ERR_INVALID = 0x8000_0003, ERR_UNKNOWN = 0x8000_0006,
        ERR_SHUTDOWN = 0x8000_0007, ERR_TOO_BIG = 0x8000_0009,
    }
}
numbers! {
    /// Information about an export.
    info: u16 { EXPORT = 0, NAME = 1, BLOCK_SIZE = 3 }
}
numbers! {
    /// Transmission flags of an export.
    export: u16 { HAS_FLAGS = 1, SEND_FLUSH = 4, SEND_FUA = 8 }
}
numbers! {
    /// Commands of the transmission phase. `CANCEL` is this project's, sent only where its option was agreed on.
    command: u16 { READ = 0, WRITE = 1, DISCONNECT = 2, FLUSH = 3, TRIM = 4, BLOCK_STATUS = 7, CANCEL = 0x7463 }
}
numbers! {
    /// Flags of a command. The last is this project's: eight bytes stand behind the header, the time in microseconds
    /// in which the client wants its answer.
    flag: u16 { FUA = 1, DEADLINE = 0x4000 }
}
numbers! {
    /// Chunk types of structured replies. `REJECTED` is this project's, an error chunk by its highest bits.
    chunk: u16 { NONE = 0, OFFSET_DATA = 1, ERROR = 0x8001, REJECTED = 0xf463 }
}
numbers! {
    /// Error values.
    error: u32 { PERM = 1, IO = 5, NOMEM = 12, INVAL = 22, NOSPC = 28, OVERFLOW = 75, NOTSUP = 95, SHUTDOWN = 108 }
}
/// Flag of the last chunk of a structured reply.
pub const DONE: u16 = 1;

/// A command of the client, its data aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    pub flags: u16,
    pub kind: u16,
    pub cookie: u64,
    pub offset: u64,
    pub length: u32,
    /// With the flag for it: microseconds in which an answer is wanted.
    pub deadline_us: Option<u64>,
}

impl Request {
    pub fn encode(&self, out: &mut BytesMut) {
        out.put_u32(REQUEST);
        out.put_u16(self.flags | if self.deadline_us.is_some() { flag::DEADLINE } else { 0 });
        out.put_u16(self.kind);
        out.put_u64(self.cookie);
        out.put_u64(self.offset);
        out.put_u32(self.length);
        if let Some(us) = self.deadline_us {
            out.put_u64(us);
        }
    }
}

/// What a server sends in the transmission phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Simple { cookie: u64, error: u32, data: Bytes },
    Chunk { cookie: u64, flags: u16, kind: u16, data: Bytes },
}

impl Reply {
    pub fn encode(&self, out: &mut BytesMut) {
        match self {
            Reply::Simple { cookie, error, data } => {
                out.put_u32(SIMPLE);
                out.put_u32(*error);
                out.put_u64(*cookie);
                out.put_slice(data);
            }
            Reply::Chunk { cookie, flags, kind, data } => {
                out.put_u32(STRUCTURED);
                out.put_u16(*flags);
                out.put_u16(*kind);
                out.put_u64(*cookie);
                out.put_u32(data.len() as u32);
                out.put_slice(data);
            }
        }
    }
}

/// An option of the client, or the flags it begins with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientUnit {
    Flags(u32),
    Option { option: u32, data: Bytes },
    Request { request: Request, data: Bytes },
}

/// Which units come next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Flags,
    Options,
    Transmission,
}

fn value(field: &'static str, found: impl Into<u64>, expected: &'static str) -> WireError {
    WireError::Value { field, found: found.into(), expected }
}

fn bounded(field: &'static str, found: u32, most: u32) -> Result<usize, WireError> {
    match found <= most {
        true => Ok(found as usize),
        false => Err(WireError::TooLong { field, found: u64::from(found), most: u64::from(most) }),
    }
}

/// Cuts a client's stream into units. Lengths are checked before anything is kept for them.
pub struct ClientUnits {
    held: BytesMut,
    pub stage: Stage,
    max_write: u32,
}

impl ClientUnits {
    pub fn new(max_write: u32) -> Self {
        ClientUnits { held: BytesMut::new(), stage: Stage::Flags, max_write }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    pub fn next_unit(&mut self) -> Result<Option<ClientUnit>, WireError> {
        let head = |n: usize| (self.held.len() >= n).then(|| Fields(Bytes::copy_from_slice(&self.held[..n])));
        match self.stage {
            Stage::Flags => {
                let Some(mut f) = head(4) else { return Ok(None) };
                self.held.advance(4);
                Ok(Some(ClientUnit::Flags(f.u32("client flags")?)))
            }
            Stage::Options => {
                let Some(mut f) = head(16) else { return Ok(None) };
                let magic = f.u64("option magic")?;
                if magic != IHAVEOPT {
                    return Err(value("option magic", magic, "IHAVEOPT"));
                }
                let (option, length) = (f.u32("option")?, f.u32("option length")?);
                let length = bounded("option length", length, MAX_OPTION)?;
                if self.held.len() < 16 + length {
                    return Ok(None);
                }
                self.held.advance(16);
                Ok(Some(ClientUnit::Option { option, data: self.held.split_to(length).freeze() }))
            }
            Stage::Transmission => {
                let Some(mut f) = head(28) else { return Ok(None) };
                let magic = f.u32("request magic")?;
                if magic != REQUEST {
                    return Err(value("request magic", magic, "0x25609513"));
                }
                let (flags, kind) = (f.u16("flags")?, f.u16("command")?);
                let (cookie, offset, length) = (f.u64("cookie")?, f.u64("offset")?, f.u32("length")?);
                let further = if flags & flag::DEADLINE != 0 { 8 } else { 0 };
                let data = if kind == command::WRITE { bounded("write", length, self.max_write)? } else { 0 };
                if self.held.len() < 28 + further + data {
                    return Ok(None);
                }
                self.held.advance(28);
                let deadline_us = (further > 0).then(|| self.held.get_u64());
                let request =
                    Request { flags: flags & !flag::DEADLINE, kind, cookie, offset, length, deadline_us };
                Ok(Some(ClientUnit::Request { request, data: self.held.split_to(data).freeze() }))
            }
        }
    }
}

/// What a server sends before the transmission phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerUnit {
    Greeting { flags: u16 },
    OptionReply { option: u32, kind: u32, data: Bytes },
    Reply(Reply),
}

/// Cuts a server's stream into units. A simple reply has data only where its request was a read that went well, so the
/// caller says how much each cookie expects.
pub struct ServerUnits {
    held: BytesMut,
    pub stage: Stage,
    max_read: u32,
}

impl ServerUnits {
    pub fn new(max_read: u32) -> Self {
        ServerUnits { held: BytesMut::new(), stage: Stage::Flags, max_read }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    pub fn next_unit(&mut self, expects: impl Fn(u64) -> usize) -> Result<Option<ServerUnit>, WireError> {
        let head = |n: usize| (self.held.len() >= n).then(|| Fields(Bytes::copy_from_slice(&self.held[..n])));
        match self.stage {
            Stage::Flags => {
                let Some(mut f) = head(18) else { return Ok(None) };
                for (field, magic) in [("greeting", MAGIC), ("second greeting", IHAVEOPT)] {
                    let found = f.u64(field)?;
                    if found != magic {
                        return Err(value(field, found, "a server of the fixed newstyle handshake"));
                    }
                }
                self.held.advance(18);
                Ok(Some(ServerUnit::Greeting { flags: f.u16("handshake flags")? }))
            }
            Stage::Options => {
                let Some(mut f) = head(20) else { return Ok(None) };
                let magic = f.u64("reply magic")?;
                if magic != OPTION_REPLY {
                    return Err(value("reply magic", magic, "0x3e889045565a9"));
                }
                let (option, kind, length) = (f.u32("option")?, f.u32("reply")?, f.u32("reply length")?);
                let length = bounded("reply length", length, MAX_OPTION)?;
                if self.held.len() < 20 + length {
                    return Ok(None);
                }
                self.held.advance(20);
                let data = self.held.split_to(length).freeze();
                Ok(Some(ServerUnit::OptionReply { option, kind, data }))
            }
            Stage::Transmission => {
                let Some(mut f) = head(16) else { return Ok(None) };
                match f.u32("reply magic")? {
                    SIMPLE => {
                        let (error, cookie) = (f.u32("error")?, f.u64("cookie")?);
                        let data = if error == 0 { expects(cookie) } else { 0 };
                        if self.held.len() < 16 + data {
                            return Ok(None);
                        }
                        self.held.advance(16);
                        let data = self.held.split_to(data).freeze();
                        Ok(Some(ServerUnit::Reply(Reply::Simple { cookie, error, data })))
                    }
                    STRUCTURED => {
                        let Some(mut f) = head(20) else { return Ok(None) };
                        f.u32("reply magic")?;
                        let (flags, kind, cookie) = (f.u16("flags")?, f.u16("chunk")?, f.u64("cookie")?);
                        let length = bounded("chunk length", f.u32("chunk length")?, self.max_read + 64)?;
                        if self.held.len() < 20 + length {
                            return Ok(None);
                        }
                        self.held.advance(20);
                        let data = self.held.split_to(length).freeze();
                        Ok(Some(ServerUnit::Reply(Reply::Chunk { cookie, flags, kind, data })))
                    }
                    other => Err(value("reply magic", other, "a simple or a structured reply")),
                }
            }
        }
    }
}

pub fn greeting() -> Bytes {
    let mut out = BytesMut::new();
    out.put_u64(MAGIC);
    out.put_u64(IHAVEOPT);
    out.put_u16(FIXED_NEWSTYLE | NO_ZEROES);
    out.freeze()
}

pub fn option(option: u32, data: &[u8], out: &mut BytesMut) {
    out.put_u64(IHAVEOPT);
    out.put_u32(option);
    out.put_u32(data.len() as u32);
    out.put_slice(data);
}

pub fn option_reply(option: u32, kind: u32, data: &[u8], out: &mut BytesMut) {
    out.put_u64(OPTION_REPLY);
    out.put_u32(option);
    out.put_u32(kind);
    out.put_u32(data.len() as u32);
    out.put_slice(data);
}

/// The data of GO and INFO: an export's name, and what is asked about it.
pub fn read_go(data: &Bytes) -> Result<(String, Vec<u16>), WireError> {
    let mut f = Fields(data.clone());
    let n = f.u32("name length")? as usize;
    let name =
        String::from_utf8(f.bytes("name", n)?.to_vec()).map_err(|_| WireError::Text { field: "name" })?;
    let count = f.u16("information requests")?;
    let asked: Result<Vec<u16>, _> = (0..count).map(|_| f.u16("information request")).collect();
    f.end("option")?;
    Ok((name, asked?))
}

pub fn write_go(name: &str, asked: &[u16]) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u32(name.len() as u32);
    out.put_slice(name.as_bytes());
    out.put_u16(asked.len() as u16);
    asked.iter().for_each(|a| out.put_u16(*a));
    out.freeze()
}

/// The project's own option: the version of its additions that the client, or in the reply both sides, speak.
pub fn write_version(version: u16) -> [u8; 2] {
    version.to_be_bytes()
}

pub fn read_version(data: &Bytes) -> Result<u16, WireError> {
    // A later version may say more behind its number.
    Fields(data.clone()).u16("version of the additions")
}

/// The service's answer to the project's option: the version that both speak, the number of this session, by which a
/// client and the nodes' own records can be brought together, and how many commands it may have open.
pub fn write_agreed(version: u16, session: u32, window: u32) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u16(version);
    out.put_u32(session);
    out.put_u32(window);
    out.freeze()
}

/// How many commands a session may have open, where the service says so.
pub fn read_window(data: &Bytes) -> Option<u32> {
    let mut f = Fields(data.clone());
    f.bytes("version and session", 6).ok()?;
    f.u32("window").ok()
}

pub fn read_session(data: &Bytes) -> Option<u32> {
    let mut f = Fields(data.clone());
    f.u16("version of the additions").ok()?;
    f.u32("session").ok()
}

/// An error chunk's data: the value, and a text for people. A rejection has the time to come back in microseconds there
/// instead.
pub fn write_error(value: u32, text: &[u8]) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u32(value);
    out.put_u16(text.len() as u16);
    out.put_slice(text);
    out.freeze()
}

pub fn read_error(data: &Bytes) -> Result<(u32, Bytes), WireError> {
    let mut f = Fields(data.clone());
    let value = f.u32("error")?;
    let n = usize::from(f.u16("text length")?);
    Ok((value, f.bytes("text", n)?))
}
