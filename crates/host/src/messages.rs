//! Messages between the core's thread and the others.

use bytes::Bytes;
use crossbeam_channel::Sender;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use tackmast::interface::{Instant, ListKind, NodeId, NodeState, TimeDelta};
use tackmast_admin::Answer;
use tackmast_host_core::{
    AdminRequest, AttemptResult, CommandId, Counters, ListEntry, PersistError, Verdict, Work,
};

/// An input of the core's thread.
pub(crate) enum Event {
    /// A client has connected.
    SessionOpened {
        session: u32,
        writer: Sender<ToSession>,
        /// By which the core's thread closes it.
        connection: Arc<TcpStream>,
    },
    /// A client's command is complete.
    Submit {
        from: CommandId,
        lun: u32,
        block: u64,
        work: Work,
        /// When its first bytes were received.
        received_at: Instant,
        /// The client's own, from then.
        timeout: Option<TimeDelta>,
    },
    /// A client withdraws a command.
    Abort { from: CommandId },
    /// A session has ended.
    SessionClosed { session: u32 },
    /// An attempt has ended.
    AttemptResult(AttemptResult),
    /// A node said at a connect for how long it has been up.
    NodeUp {
        node: NodeId,
        uptime: TimeDelta,
        /// Is sent to once the core knows.
        applied: Sender<()>,
    },
    /// A part of the node list, or a failed call of it.
    List { kind: ListKind, from: u64, to: u64, entries: Vec<ListEntry> },
    /// A caller wants the host's figures.
    Status { answer_to: Sender<Status> },
    /// An operator's call.
    AdminRequest { request: AdminRequest, answer_to: Sender<Answer> },
    /// Bytes of another host.
    Datagram { from: SocketAddr, bytes: Bytes },
    /// Lend the host's quota to its peers.
    BeginLeave,
    /// Announce to the peers that the host has left.
    AnnounceLeave,
    /// Take no new command.
    Drain,
    /// Answer the commands that are still open.
    CloseOpenCommands,
    /// A write to the store has ended.
    Persisted { request: u64, result: Result<(), PersistError> },
    /// End at once.
    Stop,
}

/// What the core's thread hands to a session's writer.
pub(crate) enum ToSession {
    /// The answer to a command.
    Answer {
        /// The command's number in its session.
        command: u32,
        /// How it ended.
        verdict: Verdict,
    },
    /// The session has output to write.
    OutputReady,
}

/// Figures of a host.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Commands and attempts by how they ended, since the start.
    pub counters: Counters,
    /// Open sessions.
    pub sessions: usize,
    /// Commands without an answer.
    pub commands: usize,
    /// Requests without an answer.
    pub requests: usize,
    /// Attempts in flight.
    pub attempts: usize,
    /// Addresses of the nodes and their states in the list.
    pub nodes: Vec<(String, NodeState)>,
    /// Seconds that the core's thread has spent on events and outputs, the scheduler's decisions among them.
    pub core_seconds: f64,
}
