//! What parsing the heads of requests and of responses has in common: the limits, and the length of a complete head.

use crate::body::Framing;
use crate::MessageError;
use httparse::Status;

/// Maximum number of header fields in one head.
pub(crate) const MAX_FIELDS: usize = 64;

/// Maximum lengths of the parts of a message. The default limit on heads is several times what the protocol of the platform needs.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of a head with all its fields, in bytes.
    pub max_head_len: usize,
    /// Maximum length of a body in bytes, without the framing of its chunks.
    pub max_body_len: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_head_len: 8 * 1024, max_body_len: 64 * 1024 }
    }
}

/// A complete head.
pub(crate) struct ParsedHead<T> {
    /// The message, with an empty body.
    pub message: T,
    /// How the length of the body is determined; `None` where no header field says it.
    pub framing: Option<Framing>,
    /// Length of the head in bytes.
    pub len: usize,
}

/// Returns the length of a head in bytes, or `None` while it is incomplete. `received` is the number of bytes that were parsed.
pub(crate) fn complete_len(
    parsed: Result<Status<usize>, httparse::Error>,
    received: usize,
    limits: Limits,
) -> Result<Option<usize>, MessageError> {
    match parsed {
        Ok(Status::Complete(len)) if len <= limits.max_head_len => Ok(Some(len)),
        Ok(Status::Partial) if received < limits.max_head_len => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(MessageError::HeadTooLong),
        Err(_) => Err(MessageError::Head),
    }
}
