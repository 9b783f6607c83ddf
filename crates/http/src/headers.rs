//! Header fields, and what they say about the persistence of the connection and the framing of the body.

use crate::body::Framing;
use crate::MessageError;

/// The minor version of HTTP/1.0, whose connections close after each message unless `Connection: keep-alive` is sent.
pub(crate) const HTTP_1_0: u8 = 0;

/// Approximate bytes of memory of one field beside its characters: two strings and the allocator's rounding of both.
const FIELD_MEMORY_BYTES: usize = 112;

/// The header fields of a message in the order received, with names in lower case and values without surrounding whitespace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    pub(crate) fn parse(fields: &[httparse::Header<'_>]) -> Result<Self, MessageError> {
        let field = |field: &httparse::Header<'_>| {
            let value = std::str::from_utf8(field.value).map_err(|_| MessageError::Head)?;
            Ok((field.name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_owned()))
        };
        fields.iter().map(field).collect::<Result<_, _>>().map(Headers)
    }

    /// Returns the approximate bytes of memory that the fields take, which for short fields is many times their length.
    pub(crate) fn memory_len(&self) -> usize {
        self.0.len() * FIELD_MEMORY_BYTES + self.0.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>()
    }

    /// Returns all values of the field `name`, which is given in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the first value of the field `name`, which is given in lower case.
    pub fn first(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns whether a list-based field contains `token`, compared without regard to case.
    fn has_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.all(name).flat_map(|value| value.split(','));
        tokens.any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Returns whether the connection closes after this message of HTTP/1.`minor_version` (section 9.3).
    pub(crate) fn closes_connection(&self, minor_version: u8) -> bool {
        let keeps_alive = minor_version != HTTP_1_0 || self.has_token("connection", "keep-alive");
        self.has_token("connection", "close") || !keeps_alive
    }

    /// Returns how the body is framed (section 6), or `None` where no field determines it. Transfer-Encoding together with
    /// Content-Length, or two Content-Length fields, even equal ones, may hide a second message in the body, so both are errors.
    pub(crate) fn framing(&self) -> Result<Option<Framing>, MessageError> {
        let mut lengths = self.all("content-length");
        let (length, has_second_length) = (lengths.next(), lengths.next().is_some());
        let mut encodings = self.all("transfer-encoding");
        if let Some(encoding) = encodings.next() {
            let is_chunked = encoding.eq_ignore_ascii_case("chunked") && encodings.next().is_none();
            return match is_chunked && length.is_none() {
                true => Ok(Some(Framing::Chunked)),
                false => Err(MessageError::UnsupportedEncoding),
            };
        }
        let Some(text) = length else { return Ok(None) };
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        if has_second_length || !is_number {
            return Err(MessageError::ContentLength);
        }
        // A number that overflows 64 bits exceeds any limit on bodies.
        text.parse().map_or(Err(MessageError::BodyTooLong), |length| Ok(Some(Framing::Length(length))))
    }
}
