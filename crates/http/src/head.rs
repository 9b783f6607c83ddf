//! What requests' and answers' heads have in common.

use crate::body::Framing;
use crate::Bad;

/// Header fields of one head, at most.
pub const FIELDS: usize = 64;

/// The length of a head of which `held` bytes are there, once it is whole.
pub(crate) fn length(
    parsed: Result<httparse::Status<usize>, httparse::Error>,
    held: usize,
    most: usize,
) -> Result<Option<usize>, Bad> {
    match parsed {
        Ok(httparse::Status::Complete(n)) if n <= most => Ok(Some(n)),
        Ok(httparse::Status::Partial) if held < most => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Bad::LongHead),
        Err(_) => Err(Bad::Head),
    }
}

/// Fields by name. Values are those of a head that was understood whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    pub(crate) fn of(fields: &[httparse::Header<'_>]) -> Result<Self, Bad> {
        let field = |h: &httparse::Header<'_>| {
            let value = std::str::from_utf8(h.value).map_err(|_| Bad::Head)?;
            Ok((h.name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_owned()))
        };
        fields.iter().map(field).collect::<Result<_, _>>().map(Headers)
    }

    /// All values under a name, which is given in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn first(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the connection ends with this message.
    pub(crate) fn closes(&self, old: bool) -> bool {
        self.has_token("connection", "close") || (old && !self.has_token("connection", "keep-alive"))
    }

    /// How the body is framed, by RFC 9112 section 6. Both lengths at once may hide a second message in the body, and so
    /// may two lengths, even where they agree: refused.
    pub(crate) fn framing(&self) -> Result<Option<Framing>, Bad> {
        let mut lengths = self.all("content-length");
        let (length, more) = (lengths.next(), lengths.next().is_some());
        let mut encodings = self.all("transfer-encoding");
        if let Some(encoding) = encodings.next() {
            let plain = encoding.eq_ignore_ascii_case("chunked") && encodings.next().is_none();
            return if plain && length.is_none() { Ok(Some(Framing::Chunked)) } else { Err(Bad::Encoding) };
        }
        let Some(text) = length else { return Ok(None) };
        let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        if more || !digits {
            return Err(Bad::Length);
        }
        // More digits than a number holds: far over any bound.
        text.parse().map_or(Err(Bad::LongBody), |n| Ok(Some(Framing::Length(n))))
    }
}
