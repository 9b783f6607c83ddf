//! HTTP/1.1 without I/O: bytes in, messages out. Requests are read from clients and answers from nodes, both
//! incrementally and with bounds; what two readers could take differently is refused, as it may hide a second message.
//! RFC 9112 is meant wherever a section is named.

mod answer;
mod body;
mod head;
mod request;

pub use answer::{Answer, AnswerReader};
pub use head::Headers;
pub use request::{Request, RequestReader};

/// Bytes of one head, and of one body, at most. A head cut off here has had several times what this protocol needs.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub head: usize,
    pub body: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { head: 8 * 1024, body: 64 * 1024 }
    }
}

/// What is wrong with a message; its connection can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    #[error("head: can't be read; expected HTTP/1.1")]
    Head,
    #[error("head: longer than the bound")]
    LongHead,
    #[error("Content-Length: expected one whole number")]
    Length,
    #[error("Content-Length: longer than the bound on bodies")]
    LongBody,
    #[error("Transfer-Encoding: expected nothing but chunked, and no Content-Length beside it")]
    Encoding,
    #[error("chunk: can't be read; expected a size in hex and its bytes")]
    Chunk,
    #[error("Host: expected once")]
    Host,
}

impl Bad {
    /// The status of the answer to a client that sent this.
    pub fn status(self) -> u16 {
        match self {
            Bad::LongHead => 431,
            Bad::LongBody => 413,
            _ => 400,
        }
    }
}

/// The usual words for a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
