//! Requests, as clients send them.

use crate::body::{BodyReader, Framing};
use crate::head::{length, Headers, FIELDS};
use crate::{Bad, Bounds};
use bytes::{Buf, Bytes, BytesMut};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Bytes,
    /// The client wants the connection to end after its answer.
    pub closes: bool,
}

/// One connection's requests, in turn.
#[derive(Debug)]
pub struct RequestReader {
    bounds: Bounds,
    buffer: BytesMut,
    head: Option<(Request, BodyReader)>,
    /// The request whose body is awaited asked for leave to send it (section 10.1.1 of RFC 9110).
    leave: bool,
}

impl RequestReader {
    pub fn new(bounds: Bounds) -> Self {
        RequestReader { bounds, buffer: BytesMut::new(), head: None, leave: false }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether a part of a request is held.
    pub fn is_midway(&self) -> bool {
        self.head.is_some() || !self.buffer.is_empty()
    }

    /// Bytes that have come and were not taken yet.
    pub fn ahead(&self) -> usize {
        self.buffer.len()
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.buffer.capacity() + self.head.as_ref().map_or(0, |_| self.bounds.body)
    }

    /// Whether `100 Continue` is to be written now; said once.
    pub fn take_leave(&mut self) -> bool {
        std::mem::take(&mut self.leave)
    }

    /// The next request that is whole.
    pub fn next_request(&mut self) -> Result<Option<Request>, Bad> {
        if self.head.is_none() {
            // Empty lines ahead of a request are passed over (section 2.2).
            while self.buffer.starts_with(b"\r\n") {
                self.buffer.advance(2);
            }
            let Some((request, framing, length)) = head(&self.buffer, self.bounds)? else { return Ok(None) };
            self.buffer.advance(length);
            let reader = BodyReader::new(framing, self.bounds.body)?;
            self.leave =
                request.headers.first("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
            self.head = Some((request, reader));
        }
        let Some((_, reader)) = &mut self.head else { return Ok(None) };
        let Some(body) = reader.take(&mut self.buffer)? else { return Ok(None) };
        self.leave = false;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(self.head.take().map(|(request, _)| Request { body: body.freeze(), ..request }))
    }
}

fn head(bytes: &[u8], bounds: Bounds) -> Result<Option<(Request, Framing, usize)>, Bad> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let Some(length) = length(parsed.parse(bytes), bytes.len(), bounds.head)? else { return Ok(None) };
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
        return Err(Bad::Head);
    };
    let headers = Headers::of(parsed.headers)?;
    let hosts = headers.all("host").count();
    if hosts > 1 || (hosts == 0 && version == 1) {
        return Err(Bad::Host);
    }
    let framing = headers.framing()?;
    if version == 0 && framing == Some(Framing::Chunked) {
        return Err(Bad::Encoding);
    }
    let (method, target, closes) = (method.to_owned(), target.to_owned(), headers.closes(version == 0));
    let request = Request { method, target, headers, body: Bytes::new(), closes };
    Ok(Some((request, framing.unwrap_or(Framing::Length(0)), length)))
}
