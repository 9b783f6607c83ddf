//! Greeting and options of the handshake, the data of options, and that of error chunks.

use super::{FIXED_NEWSTYLE, IHAVEOPT, MAGIC, NO_ZEROES, OPTION_REPLY};
use crate::reader::Fields;
use crate::WireError;
use bytes::{BufMut, Bytes, BytesMut};

/// The server's greeting.
pub fn greeting() -> Bytes {
    let mut out = BytesMut::new();
    out.put_u64(MAGIC);
    out.put_u64(IHAVEOPT);
    out.put_u16(FIXED_NEWSTYLE | NO_ZEROES);
    out.freeze()
}

/// Appends an option of the client.
pub fn option(option: u32, data: &[u8], out: &mut BytesMut) {
    out.put_u64(IHAVEOPT);
    out.put_u32(option);
    out.put_u32(data.len() as u32);
    out.put_slice(data);
}

/// Appends a reply to an option.
pub fn option_reply(option: u32, kind: u32, data: &[u8], out: &mut BytesMut) {
    out.put_u64(OPTION_REPLY);
    out.put_u32(option);
    out.put_u32(kind);
    out.put_u32(data.len() as u32);
    out.put_slice(data);
}

/// The data of GO and INFO.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GoRequest {
    /// The export's name.
    pub name: String,
    /// What is asked about it, as numbers of the module `info`.
    pub information: Vec<u16>,
}

/// Reads the data of GO and INFO.
pub fn read_go(data: &Bytes) -> Result<GoRequest, WireError> {
    let mut fields = Fields(data.clone());
    let name_length = fields.u32("name length")? as usize;
    let name = String::from_utf8(fields.bytes("name", name_length)?.to_vec())
        .map_err(|_| WireError::Text { field: "name" })?;
    let count = fields.u16("information requests")?;
    let information: Result<Vec<u16>, _> = (0..count).map(|_| fields.u16("information request")).collect();
    fields.end("option")?;
    Ok(GoRequest { name, information: information? })
}

/// The data of GO and INFO for an export's name and what is asked about it.
pub fn write_go(name: &str, information: &[u16]) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u32(name.len() as u32);
    out.put_slice(name.as_bytes());
    out.put_u16(information.len() as u16);
    information.iter().for_each(|number| out.put_u16(*number));
    out.freeze()
}

/// The project's own option: the version of its additions that the client, or in the reply both sides, speak.
pub fn write_version(version: u16) -> [u8; 2] {
    version.to_be_bytes()
}

/// Reads the version of the additions.
pub fn read_version(data: &Bytes) -> Result<u16, WireError> {
    // A later version may say more behind its number.
    Fields(data.clone()).u16("version of the additions")
}

/// The service's answer to the project's option: the version that both speak, the number of this session, by which a
/// client and the nodes' own records can be brought together, and how many commands it may have open.
pub fn write_session(version: u16, session: u32, window: u32) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u16(version);
    out.put_u32(session);
    out.put_u32(window);
    out.freeze()
}

/// How many commands a session may have open, where the service says so.
pub fn read_window(data: &Bytes) -> Option<u32> {
    let mut fields = Fields(data.clone());
    fields.bytes("version and session", 6).ok()?;
    fields.u32("window").ok()
}

/// The number of this session, where the service names it.
pub fn read_session(data: &Bytes) -> Option<u32> {
    let mut fields = Fields(data.clone());
    fields.u16("version of the additions").ok()?;
    fields.u32("session").ok()
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

/// What an error chunk says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkError {
    /// A value of the module `error`.
    pub value: u32,
    /// Text for people; in a rejection the time to come back in microseconds.
    pub text: Bytes,
}

/// Reads an error chunk's data.
pub fn read_error(data: &Bytes) -> Result<ChunkError, WireError> {
    let mut fields = Fields(data.clone());
    let value = fields.u32("error")?;
    let text_length = usize::from(fields.u16("text length")?);
    Ok(ChunkError { value, text: fields.bytes("text", text_length)? })
}
