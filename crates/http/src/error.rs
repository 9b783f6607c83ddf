//! Errors in received messages.

/// An error in a received message. Its connection must not be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head is malformed.
    #[error("head: can't be read; expected HTTP/1.1")]
    Head,
    /// The head exceeds the limit on its length or on the number of its fields.
    #[error("head: longer than the bound")]
    HeadTooLong,
    /// The Content-Length is not a number, or there is more than one.
    #[error("Content-Length: expected one whole number")]
    ContentLength,
    /// The body exceeds the limit, whether it has a Content-Length or not.
    #[error("Content-Length: longer than the bound on bodies")]
    BodyTooLong,
    /// The Transfer-Encoding is other than chunked, stands beside a Content-Length, or is in a request of HTTP/1.0.
    #[error("Transfer-Encoding: expected nothing but chunked, and no Content-Length beside it")]
    UnsupportedEncoding,
    /// A chunk is malformed, or its size line or the trailer section is too long.
    #[error("chunk: can't be read; expected a size in hex and its bytes")]
    Chunk,
    /// The Host field is missing from a request of HTTP/1.1, or there is more than one.
    #[error("Host: expected once")]
    Host,
}

impl MessageError {
    /// Returns the status code with which a server answers a request that has this error.
    pub fn status(self) -> u16 {
        match self {
            MessageError::HeadTooLong => 431,
            MessageError::BodyTooLong => 413,
            _ => 400,
        }
    }
}
