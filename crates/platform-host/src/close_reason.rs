//! Why the host ends a client's connection: with a last answer, or without one.

use tackmast_http::MessageError;

/// Why a client's last answer on its connection is one of the host itself.
#[derive(Debug)]
pub(crate) enum CloseReason {
    /// All connections that the host may hold are busy.
    NoConnectionCapacity,
    /// The buffers of all client connections are full, and this one's request is not complete.
    NoBufferCapacity,
    /// Its bytes are no HTTP request.
    Malformed(MessageError),
    /// Its request is valid HTTP, but none that this host serves.
    Refused {
        /// The status of the answer.
        status: u16,
        /// The body of the answer.
        why: String,
    },
    /// Its request was not complete in time.
    RequestTimeout,
    /// The host is shutting down and accepts no request any more.
    ShuttingDown,
}

impl CloseReason {
    /// The HTTP status of the last answer.
    pub(crate) fn status(&self) -> u16 {
        match self {
            CloseReason::NoConnectionCapacity | CloseReason::NoBufferCapacity | CloseReason::ShuttingDown => {
                503
            }
            CloseReason::Malformed(error) => error.status(),
            CloseReason::Refused { status, .. } => *status,
            CloseReason::RequestTimeout => 408,
        }
    }

    /// The body of the last answer.
    pub(crate) fn body(&self) -> String {
        match self {
            CloseReason::NoConnectionCapacity => "no room for the connection now".to_owned(),
            CloseReason::NoBufferCapacity => "no room for the request now".to_owned(),
            CloseReason::Malformed(error) => error.to_string(),
            CloseReason::Refused { why, .. } => why.clone(),
            CloseReason::RequestTimeout => "no whole request in time".to_owned(),
            CloseReason::ShuttingDown => "the host ends".to_owned(),
        }
    }
}

/// Which time limit a client's connection has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExceededTimeout {
    /// The client did not end its side after the last answer.
    Linger,
    /// The client did not send a complete request.
    Request,
    /// The client did not read its answer.
    Write,
}
