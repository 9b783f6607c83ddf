//! Reads the response to one request, from a node or from the service that has the endpoint list.

use crate::body::{BodyReader, Framing};
use crate::head::{complete_len, Limits, ParsedHead, MAX_FIELDS};
use crate::headers::Headers;
use crate::MessageError;
use bytes::{Buf, Bytes, BytesMut};

/// The status of an interim response that changes the protocol of the connection (RFC 9110, 15.2.2).
const SWITCHING_PROTOCOLS: u16 = 101;
/// The status of a response that never has a body (RFC 9110, 15.3.5).
const NO_CONTENT: u16 = 204;
/// The status of a response that never has a body (RFC 9110, 15.4.5).
const NOT_MODIFIED: u16 = 304;

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The body without the framing of its chunks; empty where the response has none.
    pub body: Bytes,
    /// Whether the connection closes after this response: its version or Connection field says so, or only the close ends its body.
    pub closes: bool,
}

/// Reads the response to one request and skips interim responses (1xx) before it.
#[derive(Debug)]
pub struct ResponseReader {
    limits: Limits,
    buffer: BytesMut,
    /// The response whose body is incomplete.
    incomplete: Option<(Response, BodyReader)>,
    /// Total length of the interim responses so far, in bytes.
    interim_len: usize,
}

impl ResponseReader {
    /// Creates a reader for the response to a new request.
    pub fn new(limits: Limits) -> Self {
        ResponseReader { limits, buffer: BytesMut::new(), incomplete: None, interim_len: 0 }
    }

    /// Appends bytes that were received on the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether bytes follow the response. They answer no request, as the reader is for one request only.
    pub fn has_trailing_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the head is complete and the body ends only when the connection closes.
    pub fn ends_with_connection(&self) -> bool {
        self.incomplete.as_ref().is_some_and(|(_, reader)| reader.ends_with_connection())
    }

    /// Handles an orderly close of the connection. Returns the response if the close completes it, and `None` otherwise. It must not
    /// be called after a connection reset, as the response may be truncated then.
    pub fn handle_close(&mut self) -> Result<Option<Response>, MessageError> {
        if !self.ends_with_connection() {
            return Ok(None);
        }
        let incomplete = self.incomplete.take();
        Ok(incomplete
            .map(|(response, reader)| Response { body: reader.into_received().freeze(), ..response }))
    }

    /// Returns the response, or `None` until it was received completely.
    pub fn next_response(&mut self) -> Result<Option<Response>, MessageError> {
        while self.incomplete.is_none() {
            let Some(head) = parse_head(&self.buffer, self.limits)? else { return Ok(None) };
            self.buffer.advance(head.len);
            match head.message.status {
                100..200 => self.skip_interim(&head)?,
                _ => self.incomplete = Some(start_body(head, self.limits)?),
            }
        }
        let Some((_, reader)) = &mut self.incomplete else { return Ok(None) };
        let Some(body) = reader.read(&mut self.buffer)? else { return Ok(None) };
        Ok(self.incomplete.take().map(|(response, _)| Response { body: body.freeze(), ..response }))
    }

    /// Skips an interim response. All of them together may be as long as one head. Status 101 is an error, as no request here asks for
    /// another protocol.
    fn skip_interim(&mut self, head: &ParsedHead<Response>) -> Result<(), MessageError> {
        self.interim_len += head.len;
        if head.message.status == SWITCHING_PROTOCOLS || self.interim_len > self.limits.max_head_len {
            return Err(MessageError::Head);
        }
        Ok(())
    }
}

fn start_body(head: ParsedHead<Response>, limits: Limits) -> Result<(Response, BodyReader), MessageError> {
    let framing = match head.message.status {
        NO_CONTENT | NOT_MODIFIED => Framing::Length(0),
        _ => head.framing.unwrap_or(Framing::UntilClose),
    };
    let reader = BodyReader::new(framing, limits.max_body_len)?;
    let closes = head.message.closes || reader.ends_with_connection();
    Ok((Response { closes, ..head.message }, reader))
}

fn parse_head(bytes: &[u8], limits: Limits) -> Result<Option<ParsedHead<Response>>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let Some(len) = complete_len(parsed.parse(bytes), bytes.len(), limits)? else { return Ok(None) };
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(MessageError::Head);
    };
    if status < 100 {
        return Err(MessageError::Head);
    }
    let headers = Headers::parse(parsed.headers)?;
    let framing = if status < 200 { None } else { headers.framing()? };
    let closes = headers.closes_connection(version);
    let message = Response { status, headers, body: Bytes::new(), closes };
    Ok(Some(ParsedHead { message, framing, len }))
}
