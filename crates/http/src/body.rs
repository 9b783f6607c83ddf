//! Bodies by length or in chunks, taken from a buffer as their bytes come.

use crate::Bad;
use bytes::{Buf, BytesMut};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// To the end of the connection (section 6.3, rule 8): an answer only, and whole only where that ends in order.
    ToEnd,
}

/// A chunk's size line, and all trailers together, in bytes at most.
const LINE: usize = 256;
const TRAILERS: usize = 4096;

#[derive(Debug)]
enum Next {
    Bytes(usize),
    ToEnd,
    Size,
    ChunkEnd,
    Trailers(usize),
    Done,
}

/// What has come of a body.
#[derive(Debug)]
pub struct BodyReader {
    got: BytesMut,
    next: Next,
    chunk: usize,
    chunked: bool,
    most: usize,
}

impl BodyReader {
    pub fn new(framing: Framing, most: usize) -> Result<Self, Bad> {
        let next = match framing {
            Framing::Length(0) => Next::Done,
            Framing::Length(n) if n > most as u64 => return Err(Bad::LongBody),
            Framing::Length(n) => Next::Bytes(n as usize),
            Framing::Chunked => Next::Size,
            Framing::ToEnd => Next::ToEnd,
        };
        let chunked = framing == Framing::Chunked;
        Ok(BodyReader { got: BytesMut::new(), next, chunk: 0, chunked, most })
    }

    /// Whether only the end of the connection ends it.
    pub fn is_to_end(&self) -> bool {
        matches!(self.next, Next::ToEnd)
    }

    /// What has come, as the connection has ended.
    pub fn end(self) -> BytesMut {
        self.got
    }

    /// Takes what belongs to the body; the whole of it, once it is there.
    pub fn take(&mut self, from: &mut BytesMut) -> Result<Option<BytesMut>, Bad> {
        loop {
            match self.next {
                Next::Done => return Ok(Some(std::mem::take(&mut self.got))),
                Next::Bytes(left) => {
                    let n = left.min(from.len());
                    self.got.extend_from_slice(&from[..n]);
                    from.advance(n);
                    if n < left {
                        self.next = Next::Bytes(left - n);
                        return Ok(None);
                    }
                    self.next = if self.chunked { Next::ChunkEnd } else { Next::Done };
                }
                Next::ToEnd => {
                    if from.len() > self.most - self.got.len() {
                        return Err(Bad::LongBody);
                    }
                    self.got.unsplit(from.split());
                    return Ok(None);
                }
                Next::Size => match line(from, LINE)? {
                    None => return Ok(None),
                    Some(text) => {
                        self.chunk = size(&text)?;
                        if self.chunk > self.most - self.got.len() {
                            return Err(Bad::LongBody);
                        }
                        self.next = if self.chunk == 0 { Next::Trailers(0) } else { Next::Bytes(self.chunk) };
                    }
                },
                Next::ChunkEnd => {
                    if from.len() < 2 {
                        return Ok(None);
                    }
                    if &from[..2] != b"\r\n" {
                        return Err(Bad::Chunk);
                    }
                    from.advance(2);
                    self.next = Next::Size;
                }
                Next::Trailers(seen) => match line(from, TRAILERS)? {
                    None => return Ok(None),
                    Some(text) if text.is_empty() => self.next = Next::Done,
                    Some(text) if seen + text.len() > TRAILERS => return Err(Bad::Chunk),
                    Some(text) => self.next = Next::Trailers(seen + text.len()),
                },
            }
        }
    }
}

/// One line without its end; none: it is not all there yet.
fn line(from: &mut BytesMut, most: usize) -> Result<Option<BytesMut>, Bad> {
    let Some(at) = from.iter().take(most + 2).position(|b| *b == b'\n') else {
        return if from.len() > most { Err(Bad::Chunk) } else { Ok(None) };
    };
    let mut text = from.split_to(at + 1);
    if at == 0 || text[at - 1] != b'\r' {
        return Err(Bad::Chunk);
    }
    text.truncate(at - 1);
    Ok(Some(text))
}

fn size(text: &[u8]) -> Result<usize, Bad> {
    let digits = text.split(|b| *b == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| Bad::Chunk)?.trim_end_matches([' ', '\t']);
    if digits.is_empty() || digits.len() > 15 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Bad::Chunk);
    }
    usize::from_str_radix(digits, 16).map_err(|_| Bad::Chunk)
}
