//! Events for the event loop, and the results that it reports to a caller that opens a volume.

use bytes::Bytes;
use crossbeam_channel::Sender;
use std::net::TcpStream;
use tackmast::interface::Instant;
use tackmast_client_core::{Op, Outcome, Volume};

/// Identifies the connection of an event. A slot has one connection after another, which differ in their generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId {
    pub(crate) slot: usize,
    pub(crate) generation: u64,
}

/// An event from a caller or a connection.
pub(crate) enum Event {
    /// A caller submits a call.
    Call { number: u64, op: Op, deadline: Instant, answer_to: Sender<Outcome> },
    /// A caller cancels a call.
    Cancel { number: u64 },
    /// A connection was established.
    Connected { id: ConnectionId, stream: TcpStream },
    /// Bytes were received from the gateway.
    Received { id: ConnectionId, bytes: Bytes },
    /// A connection was closed or could not be established.
    Closed { id: ConnectionId },
    /// A caller closes the volume.
    Close,
}

/// The result of the first sessions, for the caller that opens the volume.
pub(crate) enum Opening {
    /// The volume is open.
    Ready(Volume),
    /// The gateway refused to serve the volume.
    Refused { reason: String },
}
