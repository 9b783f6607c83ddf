//! The length of a head, and parsing within the limits: what the heads of requests and responses have in common.

use crate::body::Framing;
use crate::MessageError;
use httparse::Status;

/// Header fields of one head, at most.
pub(crate) const MAX_FIELDS: usize = 64;

/// Bytes of one head, and of one body, at most. A head cut off here has had several times what this protocol needs.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a head, with all its fields.
    pub max_head_len: usize,
    /// Bytes of a body, without the framing of its chunks.
    pub max_body_len: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_head_len: 8 * 1024, max_body_len: 64 * 1024 }
    }
}

/// A head that is there in full.
pub(crate) struct ParsedHead<T> {
    /// The message, without its body.
    pub message: T,
    /// How the body is framed, if a header field determines it.
    pub framing: Option<Framing>,
    /// Bytes of the head.
    pub len: usize,
}

/// The length of a head of which `received` bytes are there, once it is there in full.
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
