//! What can be wrong with a message.

/// What is wrong with a message; its connection can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// A head that can't be parsed.
    #[error("head: can't be read; expected HTTP/1.1")]
    Head,
    /// A head over the limits.
    #[error("head: longer than the bound")]
    HeadTooLong,
    /// A Content-Length that is no number, or more than one.
    #[error("Content-Length: expected one whole number")]
    ContentLength,
    /// A body over the limit.
    #[error("Content-Length: longer than the bound on bodies")]
    BodyTooLong,
    /// A Transfer-Encoding other than chunked, or beside a Content-Length.
    #[error("Transfer-Encoding: expected nothing but chunked, and no Content-Length beside it")]
    UnsupportedEncoding,
    /// A chunk that can't be parsed.
    #[error("chunk: can't be read; expected a size in hex and its bytes")]
    Chunk,
    /// No Host field, or more than one.
    #[error("Host: expected once")]
    Host,
}

impl MessageError {
    /// The status of the response to a client that sent this.
    pub fn status(self) -> u16 {
        match self {
            MessageError::HeadTooLong => 431,
            MessageError::BodyTooLong => 413,
            _ => 400,
        }
    }
}
