//! Header fields, and what they determine of the connection and the body.

use crate::body::Framing;
use crate::MessageError;

/// The minor version of HTTP/1.0, whose connections end after each message unless a field asks to keep them.
pub(crate) const HTTP_1_0: u8 = 0;

/// Header fields by name, of a head that was understood in full.
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

    /// All values under a name, which is given in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The first value under a name, which is given in lower case.
    pub fn first(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.all(name).flat_map(|value| value.split(','));
        tokens.any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the connection ends with this message of HTTP 1.`minor_version`.
    pub(crate) fn closes_connection(&self, minor_version: u8) -> bool {
        let keeps_alive = minor_version != HTTP_1_0 || self.has_token("connection", "keep-alive");
        self.has_token("connection", "close") || !keeps_alive
    }

    /// How the body is framed (section 6). Both lengths at once may hide a second message in the body, and so may two lengths,
    /// even where they agree: refused.
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
        // More digits than a number holds: far over any limit.
        text.parse().map_or(Err(MessageError::BodyTooLong), |length| Ok(Some(Framing::Length(length))))
    }
}
