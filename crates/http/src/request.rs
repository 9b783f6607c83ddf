//! Reads the requests that a client sends on one connection.

use crate::body::{BodyReader, Framing};
use crate::head::{complete_len, Limits, ParsedHead, MAX_FIELDS};
use crate::headers::{Headers, HTTP_1_0};
use crate::MessageError;
use bytes::{Buf, Bytes, BytesMut};

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, such as `GET`. It is case-sensitive.
    pub method: String,
    /// The request target as it was received: usually a path and a query.
    pub target: String,
    /// The header fields.
    pub headers: Headers,
    /// The body without the framing of its chunks; empty where the request has none.
    pub body: Bytes,
    /// Whether the connection closes after the response, as the client's version or Connection field says.
    pub closes: bool,
}

/// Reads the requests of one connection in the order in which they arrive.
#[derive(Debug)]
pub struct RequestReader {
    limits: Limits,
    buffer: BytesMut,
    /// The request whose body is incomplete.
    incomplete: Option<(Request, BodyReader)>,
    /// Whether the client of that request may wait for `100 Continue` before it sends the body (RFC 9110, section 10.1.1).
    expects_continue: bool,
}

impl RequestReader {
    /// Creates a reader for a new connection.
    pub fn new(limits: Limits) -> Self {
        RequestReader { limits, buffer: BytesMut::new(), incomplete: None, expects_continue: false }
    }

    /// Appends bytes that were received on the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether bytes were received that [`next_request`](Self::next_request) has not returned as part of a request.
    pub fn has_partial_request(&self) -> bool {
        self.incomplete.is_some() || !self.buffer.is_empty()
    }

    /// Returns the number of bytes that were received and not parsed yet.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the bytes of memory to count for this reader: its buffer, and while a body is incomplete the parsed head and the limit on
    /// bodies.
    pub fn reserved_len(&self) -> usize {
        let incomplete = self.incomplete.as_ref();
        self.buffer.capacity()
            + incomplete.map_or(0, |(request, body)| request.headers.memory_len() + body.reserved_len())
    }

    /// Returns whether `100 Continue` is to be sent now. Returns `true` at most once for each request.
    pub fn take_expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// Returns the next request, or `None` until it was received completely.
    pub fn next_request(&mut self) -> Result<Option<Request>, MessageError> {
        if self.incomplete.is_none() && !self.read_head()? {
            return Ok(None);
        }
        let Some((_, reader)) = &mut self.incomplete else { return Ok(None) };
        let Some(body) = reader.read(&mut self.buffer)? else { return Ok(None) };
        self.expects_continue = false;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(self.incomplete.take().map(|(request, _)| Request { body: body.freeze(), ..request }))
    }

    /// Reads the head of the next request. Returns `false` while it is incomplete.
    fn read_head(&mut self) -> Result<bool, MessageError> {
        // Empty lines before a request line are ignored (section 2.2).
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        let Some(head) = parse_head(&self.buffer, self.limits)? else { return Ok(false) };
        self.buffer.advance(head.len);
        let framing = head.framing.unwrap_or(Framing::Length(0));
        let reader = BodyReader::new(framing, self.limits.max_body_len)?;
        let expectation = head.message.headers.first("expect");
        self.expects_continue = expectation.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        self.incomplete = Some((head.message, reader));
        Ok(true)
    }
}

fn parse_head(bytes: &[u8], limits: Limits) -> Result<Option<ParsedHead<Request>>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let Some(len) = complete_len(parsed.parse(bytes), bytes.len(), limits)? else { return Ok(None) };
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
        return Err(MessageError::Head);
    };
    let headers = Headers::parse(parsed.headers)?;
    let hosts = headers.all("host").count();
    if hosts > 1 || (hosts == 0 && version != HTTP_1_0) {
        return Err(MessageError::Host);
    }
    let framing = headers.framing()?;
    if version == HTTP_1_0 && framing == Some(Framing::Chunked) {
        return Err(MessageError::UnsupportedEncoding);
    }
    let closes = headers.closes_connection(version);
    let (method, target) = (method.to_owned(), target.to_owned());
    let message = Request { method, target, headers, body: Bytes::new(), closes };
    Ok(Some(ParsedHead { message, framing, len }))
}
