//! Messages to and from the event loop.

use bytes::Bytes;
use crossbeam_channel::Sender;
use std::net::TcpStream;
use tackmast::interface::Instant;
use tackmast_client_core::{Op, Outcome, Volume};

/// Which connection an event is of. A slot has one connection after another, and their generations tell them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId {
    pub(crate) slot: usize,
    pub(crate) generation: u64,
}

/// What callers and connections report.
pub(crate) enum Event {
    /// A caller makes a call.
    Call { number: u64, op: Op, deadline: Instant, answer_to: Sender<Outcome> },
    /// A caller no longer waits for a call.
    Cancel { number: u64 },
    /// A connection was made.
    Connected { id: ConnectionId, stream: TcpStream },
    /// Bytes of the gateway were received.
    Received { id: ConnectionId, bytes: Bytes },
    /// A connection ended, or none could be made.
    Closed { id: ConnectionId },
    /// The caller closes the volume.
    Close,
}

/// What becomes of the first sessions.
pub(crate) enum Opening {
    /// The volume is open.
    Ready(Volume),
    /// The gateway does not serve it.
    Refused { reason: String },
}
