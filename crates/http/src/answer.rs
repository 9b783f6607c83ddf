//! Answers, as nodes and the node list send them.

use crate::body::{BodyReader, Framing};
use crate::head::{length, Headers, FIELDS};
use crate::{Bad, Bounds};
use bytes::{Buf, Bytes, BytesMut};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Bytes,
    /// The connection ends with this answer.
    pub closes: bool,
}

/// The answer to one request.
#[derive(Debug)]
pub struct AnswerReader {
    bounds: Bounds,
    buffer: BytesMut,
    head: Option<(Answer, BodyReader)>,
    /// Bytes of interim answers so far.
    interim: usize,
}

impl AnswerReader {
    pub fn new(bounds: Bounds) -> Self {
        AnswerReader { bounds, buffer: BytesMut::new(), head: None, interim: 0 }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes beyond the answer. Nothing was asked that they could belong to.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the answer's head is there, and its body goes on to the end of the connection.
    pub fn ends_with_connection(&self) -> bool {
        self.head.as_ref().is_some_and(|(_, reader)| reader.is_to_end())
    }

    /// The connection has ended in order: the answer that ends with it is whole. A connection that broke cuts it off, and
    /// must not be told of here.
    pub fn end(&mut self) -> Result<Option<Answer>, Bad> {
        if !self.ends_with_connection() {
            return Ok(None);
        }
        Ok(self.head.take().map(|(answer, reader)| Answer { body: reader.end().freeze(), ..answer }))
    }

    /// The answer, once it is whole.
    pub fn answer(&mut self) -> Result<Option<Answer>, Bad> {
        while self.head.is_none() {
            let Some((answer, framing, length)) = head(&self.buffer, self.bounds)? else { return Ok(None) };
            self.buffer.advance(length);
            if (100..200).contains(&answer.status) {
                // 101 would change the protocol, for which nobody asked.
                self.interim += length;
                if answer.status == 101 || self.interim > self.bounds.head {
                    return Err(Bad::Head);
                }
                continue;
            }
            let none = matches!(answer.status, 204 | 304);
            let framing = if none { Some(Framing::Length(0)) } else { framing };
            let reader = BodyReader::new(framing.unwrap_or(Framing::ToEnd), self.bounds.body)?;
            let closes = answer.closes || reader.is_to_end();
            self.head = Some((Answer { closes, ..answer }, reader));
        }
        let Some((_, reader)) = &mut self.head else { return Ok(None) };
        let Some(body) = reader.take(&mut self.buffer)? else { return Ok(None) };
        Ok(self.head.take().map(|(answer, _)| Answer { body: body.freeze(), ..answer }))
    }
}

fn head(bytes: &[u8], bounds: Bounds) -> Result<Option<(Answer, Option<Framing>, usize)>, Bad> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let Some(length) = length(parsed.parse(bytes), bytes.len(), bounds.head)? else { return Ok(None) };
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else { return Err(Bad::Head) };
    if status < 100 {
        return Err(Bad::Head);
    }
    let headers = Headers::of(parsed.headers)?;
    let framing = if status < 200 { None } else { headers.framing()? };
    let closes = headers.closes(version == 0);
    Ok(Some((Answer { status, headers, body: Bytes::new(), closes }, framing, length)))
}
