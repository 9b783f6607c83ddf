//! Reasons for which the host closes a client connection, with or without a last answer.

use tackmast_http::MessageError;

/// The reason for which the host itself gives the last answer on a client connection.
#[derive(Debug)]
pub(crate) enum CloseReason {
    /// All client connections that the host may hold are busy.
    NoConnectionCapacity,
    /// The buffers of all client connections together are full, and the request on this one is incomplete.
    NoBufferCapacity,
    /// The table of request ids is full of ids that must not be forgotten yet.
    NoIdCapacity,
    /// The client has sent more behind its request than the host reads before it begins an attempt.
    TooMuchInput,
    /// The client's bytes are not a valid HTTP request.
    Malformed(MessageError),
    /// The request is valid HTTP, but this host does not serve it.
    Refused {
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer.
        why: String,
    },
    /// The request was not complete in time.
    RequestTimeout,
    /// The host has just started, and its endpoint list may be outdated.
    UnconfirmedList,
    /// The host is shutting down and no longer accepts requests.
    ShuttingDown,
}

impl CloseReason {
    /// Returns the HTTP status of the last answer.
    pub(crate) fn status(&self) -> u16 {
        match self {
            CloseReason::NoConnectionCapacity
            | CloseReason::NoBufferCapacity
            | CloseReason::NoIdCapacity
            | CloseReason::UnconfirmedList
            | CloseReason::ShuttingDown => 503,
            CloseReason::TooMuchInput => 400,
            CloseReason::Malformed(error) => error.status(),
            CloseReason::Refused { status, .. } => *status,
            CloseReason::RequestTimeout => 408,
        }
    }

    /// Returns the body of the last answer.
    pub(crate) fn body(&self) -> String {
        match self {
            CloseReason::NoConnectionCapacity => "no room for the connection now".to_owned(),
            CloseReason::NoBufferCapacity | CloseReason::NoIdCapacity => {
                "no room for the request now".to_owned()
            }
            CloseReason::TooMuchInput => "too many bytes behind a request".to_owned(),
            CloseReason::Malformed(error) => error.to_string(),
            CloseReason::Refused { why, .. } => why.clone(),
            CloseReason::RequestTimeout => "no whole request in time".to_owned(),
            CloseReason::UnconfirmedList => "no endpoint list yet".to_owned(),
            CloseReason::ShuttingDown => "the host ends".to_owned(),
        }
    }
}

/// The timeout that a client connection has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExceededTimeout {
    /// The client did not close its side after the last answer.
    Linger,
    /// The client did not send a complete request.
    Request,
    /// The client did not read its answer.
    Write,
}
