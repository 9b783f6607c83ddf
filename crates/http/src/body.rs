//! Reads message bodies incrementally from a buffer: by Content-Length, in chunks, or until the connection closes.

use crate::MessageError;
use bytes::{Buf, BytesMut};

/// Maximum length of the line with a chunk's size and extensions, in bytes.
const MAX_SIZE_LINE_LEN: usize = 256;
/// Maximum length of the trailer section, in bytes without line ends.
const MAX_TRAILERS_LEN: usize = 4096;
/// Maximum number of hex digits in a chunk's size; 15 digits can't overflow 64 bits.
const MAX_SIZE_DIGITS: usize = 15;
const LINE_END: &[u8] = b"\r\n";

/// How the length of a body is determined (section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is in chunks; a chunk of size 0 ends it.
    Chunked,
    /// The body ends when the connection closes (rule 8 of that section). Only a response may be framed in this way, and it is complete
    /// only after an orderly close.
    UntilClose,
}

/// What a reader expects next.
#[derive(Clone, Copy, Debug)]
enum State {
    /// This many more bytes of the body or of the current chunk.
    Bytes(usize),
    UntilClose,
    ChunkSize,
    ChunkEnd,
    /// The rest of the trailer section, of which this many bytes were read.
    Trailers(usize),
    Done,
}

/// Reads one body and keeps what was received of it.
#[derive(Debug)]
pub(crate) struct BodyReader {
    received: BytesMut,
    state: State,
    is_chunked: bool,
    max_len: usize,
}

impl BodyReader {
    pub(crate) fn new(framing: Framing, max_len: usize) -> Result<Self, MessageError> {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(len) if len > max_len as u64 => return Err(MessageError::BodyTooLong),
            Framing::Length(len) => State::Bytes(len as usize),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        let is_chunked = framing == Framing::Chunked;
        Ok(BodyReader { received: BytesMut::new(), state, is_chunked, max_len })
    }

    /// Returns whether the body ends only when the connection closes.
    pub(crate) fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    /// Returns what was received of the body.
    pub(crate) fn into_received(self) -> BytesMut {
        self.received
    }

    /// Returns the bytes of memory that the body may take until it is complete.
    pub(crate) fn reserved_len(&self) -> usize {
        let may_take = match self.state {
            State::Bytes(remaining) if !self.is_chunked => self.received.len() + remaining,
            _ => self.max_len,
        };
        may_take.max(self.received.capacity())
    }

    /// Removes the body's bytes from `buffer`. Returns the whole body once it is complete, and `None` until then.
    pub(crate) fn read(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, MessageError> {
        loop {
            let next = match self.state {
                State::Done => return Ok(Some(std::mem::take(&mut self.received))),
                State::Bytes(remaining) => self.read_bytes(buffer, remaining),
                State::UntilClose => self.read_all(buffer)?,
                State::ChunkSize => self.read_chunk_size(buffer)?,
                State::ChunkEnd => read_chunk_end(buffer)?,
                State::Trailers(seen) => read_trailer(buffer, seen)?,
            };
            match next {
                Some(state) => self.state = state,
                None => return Ok(None),
            }
        }
    }

    /// Returns the next state, or `None` while some of the `remaining` bytes are missing.
    fn read_bytes(&mut self, buffer: &mut BytesMut, remaining: usize) -> Option<State> {
        let count = remaining.min(buffer.len());
        let expected = if self.is_chunked { count } else { remaining };
        self.reserve(count, expected);
        self.received.extend_from_slice(&buffer[..count]);
        buffer.advance(count);
        if count < remaining {
            self.state = State::Bytes(remaining - count);
            return None;
        }
        Some(if self.is_chunked { State::ChunkEnd } else { State::Done })
    }

    /// Reserves capacity for `count` more bytes, of which `expected` are announced. The capacity never exceeds the limit on bodies:
    /// amortized growth by the allocator would take up to twice as much, which shows as memory beyond what is counted.
    fn reserve(&mut self, count: usize, expected: usize) {
        let needed = self.received.len() + count;
        if needed <= self.received.capacity() {
            return;
        }
        let doubled = (2 * self.received.capacity()).min(self.max_len);
        let capacity = doubled.max(self.received.len() + expected).max(needed);
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.received);
        self.received = grown;
    }

    /// Reads all that is in the buffer. Returns no next state, as only the end of the connection completes the body.
    fn read_all(&mut self, buffer: &mut BytesMut) -> Result<Option<State>, MessageError> {
        if buffer.len() > self.available_len() {
            return Err(MessageError::BodyTooLong);
        }
        self.reserve(buffer.len(), buffer.len());
        self.received.extend_from_slice(buffer);
        buffer.clear();
        Ok(None)
    }

    fn read_chunk_size(&self, buffer: &mut BytesMut) -> Result<Option<State>, MessageError> {
        let Some(line) = read_line(buffer, MAX_SIZE_LINE_LEN)? else { return Ok(None) };
        let size = parse_chunk_size(&line)?;
        if size > self.available_len() {
            return Err(MessageError::BodyTooLong);
        }
        Ok(Some(if size == 0 { State::Trailers(0) } else { State::Bytes(size) }))
    }

    fn available_len(&self) -> usize {
        self.max_len - self.received.len()
    }
}

fn read_chunk_end(buffer: &mut BytesMut) -> Result<Option<State>, MessageError> {
    if buffer.len() < LINE_END.len() {
        return Ok(None);
    }
    if !buffer.starts_with(LINE_END) {
        return Err(MessageError::Chunk);
    }
    buffer.advance(LINE_END.len());
    Ok(Some(State::ChunkSize))
}

fn read_trailer(buffer: &mut BytesMut, seen: usize) -> Result<Option<State>, MessageError> {
    let Some(line) = read_line(buffer, MAX_TRAILERS_LEN)? else { return Ok(None) };
    if line.is_empty() {
        return Ok(Some(State::Done));
    }
    let seen = seen + line.len();
    if seen > MAX_TRAILERS_LEN {
        return Err(MessageError::Chunk);
    }
    Ok(Some(State::Trailers(seen)))
}

/// Removes one line from `buffer` and returns it without its CRLF, or `None` while it is incomplete.
fn read_line(buffer: &mut BytesMut, max_len: usize) -> Result<Option<BytesMut>, MessageError> {
    let end = buffer.iter().take(max_len + LINE_END.len()).position(|byte| *byte == b'\n');
    let Some(end) = end else {
        return if buffer.len() > max_len { Err(MessageError::Chunk) } else { Ok(None) };
    };
    let mut line = buffer.split_to(end + 1);
    if !line.ends_with(LINE_END) {
        return Err(MessageError::Chunk);
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

/// Parses the size of a chunk and ignores its extensions.
fn parse_chunk_size(line: &[u8]) -> Result<usize, MessageError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| MessageError::Chunk)?.trim_end_matches([' ', '\t']);
    let is_hex = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS || !is_hex {
        return Err(MessageError::Chunk);
    }
    usize::from_str_radix(digits, 16).map_err(|_| MessageError::Chunk)
}
