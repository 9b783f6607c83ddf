//! Messages between the core thread and the other threads.

use bytes::Bytes;
use crossbeam_channel::Sender;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use tackmast::interface::{Instant, ListKind, NodeId, NodeState, TimeDelta};
use tackmast_admin::Answer;
use tackmast_host_core::{
    AdminRequest, AttemptResult, CommandId, Counters, ListEntry, PersistError, Verdict, Work,
};

/// An input of the core thread.
pub(crate) enum Event {
    /// A client has connected.
    SessionOpened {
        session: u32,
        writer: Sender<SessionMessage>,
        /// The session's socket, with which the core thread closes it.
        connection: Arc<TcpStream>,
    },
    /// A client's command has been received completely.
    Submit {
        from: CommandId,
        lun: u32,
        block: u64,
        work: Work,
        /// When the command's first bytes were received.
        received_at: Instant,
        /// The timeout that the client set, counted from `received_at`.
        timeout: Option<TimeDelta>,
    },
    /// A client aborts a command.
    Abort { from: CommandId },
    /// A session has ended.
    SessionClosed { session: u32 },
    /// An attempt has ended.
    AttemptResult(AttemptResult),
    /// A node has reported its uptime in the handshake of a connection.
    NodeUp {
        node: NodeId,
        uptime: TimeDelta,
        /// Receives a message once the core has applied the uptime.
        applied: Sender<()>,
    },
    /// An update of the endpoint list, or a failed call to it.
    List { kind: ListKind, from: u64, to: u64, entries: Vec<ListEntry> },
    /// A caller requests the host's status.
    Status { answer_to: Sender<Status> },
    /// An operator's call.
    AdminRequest { request: AdminRequest, answer_to: Sender<Answer> },
    /// A datagram that claims to be from another host.
    Datagram { from: SocketAddr, bytes: Bytes },
    /// Mark the leave on disk, then lend the host's quota to its peers.
    BeginLeave,
    /// Announce to the peers that the host has left.
    AnnounceLeave,
    /// Accept no new commands.
    Drain,
    /// Answer all commands that are still open.
    CloseOpenCommands,
    /// A write to the store has ended.
    Persisted { request: u64, result: Result<(), PersistError> },
    /// Close all sessions and end the core thread at once.
    Stop,
}

/// A message of the core thread or of a session's reader to the session's writer.
pub(crate) enum SessionMessage {
    /// The answer to a command.
    Answer {
        /// The number of the command within its session.
        command: u32,
        /// How it ended.
        verdict: Verdict,
    },
    /// The session has output to write.
    OutputReady,
}

/// The status of a host at one moment.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Numbers of commands and attempts since the host started, by how they ended.
    pub counters: Counters,
    /// Number of open sessions.
    pub sessions: usize,
    /// Number of commands that have no answer yet.
    pub commands: usize,
    /// Number of requests that have no answer yet.
    pub requests: usize,
    /// Number of attempts in flight.
    pub attempts: usize,
    /// Address of each node, and its state in the endpoint list.
    pub nodes: Vec<(String, NodeState)>,
    /// Wall-clock seconds that the core thread has spent on handling events and executing outputs, scheduler decisions included.
    pub core_seconds: f64,
}
