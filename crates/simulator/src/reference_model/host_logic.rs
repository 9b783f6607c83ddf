//! The logic that a simulated host runs: the host core or a reference host, with the same inputs and outputs.

use super::ReferenceHost;
use tackmast::interface::{Instant, ListKind};
use tackmast_host_core::{
    AttemptResult, ClientCommand, CommandId, Core, Layout, ListEntry, Nodes, OpenCounts, Output,
};

/// What a simulated host runs.
pub(crate) enum HostLogic {
    /// The host core.
    Core(Box<Core>),
    /// A reference host in its place.
    Reference(Box<ReferenceHost>),
}

impl HostLogic {
    /// The host core, unless a reference host runs.
    pub(crate) fn core(&mut self) -> Option<&mut Core> {
        match self {
            HostLogic::Core(core) => Some(core),
            HostLogic::Reference(_) => None,
        }
    }

    /// How volumes are split into parts.
    pub(crate) fn layout(&self) -> &Layout {
        match self {
            HostLogic::Core(core) => core.layout(),
            HostLogic::Reference(host) => &host.layout,
        }
    }

    /// The nodes that the host knows.
    pub(crate) fn nodes(&self) -> &Nodes {
        match self {
            HostLogic::Core(core) => core.nodes(),
            HostLogic::Reference(host) => &host.nodes,
        }
    }

    /// Order keys for which the host keeps a queue.
    pub(crate) fn key_queue_count(&self) -> usize {
        match self {
            HostLogic::Core(core) => core.key_queue_count(),
            HostLogic::Reference(_) => 0,
        }
    }

    /// How many commands, requests and attempts are open.
    pub(crate) fn open_counts(&self) -> OpenCounts {
        match self {
            HostLogic::Core(core) => core.open_counts(),
            HostLogic::Reference(host) => host.open_counts(),
        }
    }

    /// Takes a command of a client.
    pub(crate) fn handle_command(&mut self, now: Instant, command: ClientCommand) {
        match self {
            HostLogic::Core(core) => core.handle_command(now, command),
            HostLogic::Reference(host) => host.handle_command(now, &command),
        }
    }

    /// A client has aborted a command.
    pub(crate) fn handle_abort(&mut self, now: Instant, from: CommandId) {
        match self {
            HostLogic::Core(core) => core.handle_abort(now, from),
            HostLogic::Reference(host) => _ = host.close_command(from),
        }
    }

    /// A session has ended, with all that it had open.
    pub(crate) fn handle_session_closed(&mut self, now: Instant, session: u32) {
        match self {
            HostLogic::Core(core) => core.handle_session_closed(now, session),
            HostLogic::Reference(host) => host.handle_session_closed(session),
        }
    }

    /// An attempt has ended.
    pub(crate) fn handle_attempt_result(&mut self, now: Instant, result: AttemptResult) {
        match self {
            HostLogic::Core(core) => core.handle_attempt_result(now, result),
            HostLogic::Reference(host) => host.handle_attempt_result(result),
        }
    }

    /// An endpoint list has arrived, or has failed.
    pub(crate) fn handle_endpoint_list(
        &mut self,
        now: Instant,
        kind: ListKind,
        from: u64,
        to: u64,
        entries: &[ListEntry],
    ) {
        match self {
            HostLogic::Core(core) => core.handle_endpoint_list(now, kind, from, to, entries),
            HostLogic::Reference(host) => host.handle_endpoint_list(now, kind, to, entries),
        }
    }

    /// Fires the timers that are due.
    pub(crate) fn handle_timeout(&mut self, now: Instant) {
        match self {
            HostLogic::Core(core) => core.handle_timeout(now),
            HostLogic::Reference(host) => host.handle_timeout(now),
        }
    }

    /// What the host is to do next.
    pub(crate) fn poll_output(&mut self, now: Instant) -> Option<Output> {
        match self {
            HostLogic::Core(core) => core.poll_output(now),
            HostLogic::Reference(host) => host.poll_output(now),
        }
    }

    /// When `handle_timeout` should be called next.
    pub(crate) fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        match self {
            HostLogic::Core(core) => core.poll_timeout(now),
            HostLogic::Reference(host) => host.poll_timeout(now),
        }
    }
}
