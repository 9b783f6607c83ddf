//! The logic that a simulated host runs: the host core or a reference host, with the same inputs and outputs.

use super::ReferenceHost;
use tackmast::interface::{Instant, ListKind, TimeDelta};
use tackmast_host_core::{
    AttemptResult, ClientCommand, CommandRef, Core, Layout, ListEntry, Nodes, OpenCounts, Output, Work,
};

/// What a simulated host runs.
pub enum HostLogic {
    Core(Box<Core>),
    Reference(Box<ReferenceHost>),
}

/// One face for both.
impl HostLogic {
    /// The host core, unless a reference host runs.
    pub fn core(&mut self) -> Option<&mut Core> {
        match self {
            HostLogic::Core(c) => Some(c),
            HostLogic::Reference(_) => None,
        }
    }

    /// How volumes are split into parts.
    pub fn layout(&self) -> &Layout {
        match self {
            HostLogic::Core(c) => c.layout(),
            HostLogic::Reference(p) => &p.layout,
        }
    }

    /// The nodes that the host knows.
    pub fn nodes(&self) -> &Nodes {
        match self {
            HostLogic::Core(c) => c.nodes(),
            HostLogic::Reference(p) => &p.nodes,
        }
    }

    /// Keys that are remembered.
    pub fn key_queue_count(&self) -> usize {
        match self {
            HostLogic::Core(c) => c.key_queue_count(),
            HostLogic::Reference(_) => 0,
        }
    }

    /// Commands, requests and attempts that are open.
    pub fn open_counts(&self) -> OpenCounts {
        match self {
            HostLogic::Core(c) => c.open_counts(),
            HostLogic::Reference(p) => OpenCounts {
                commands: p.commands.len(),
                requests: p.requests.len(),
                attempts: p.out.values().sum(),
            },
        }
    }

    /// Takes a command of a client. `began` is when its first bytes arrived.
    #[allow(clippy::too_many_arguments)] // as the host core has them
    pub fn handle_command(
        &mut self,
        now: Instant,
        from: CommandRef,
        lun: u32,
        block: u64,
        work: Work,
        began: Instant,
        asked: Option<TimeDelta>,
    ) {
        match self {
            HostLogic::Core(c) => c.handle_command(
                now,
                ClientCommand {
                    from,
                    lun,
                    block,
                    work,
                    received_at: began,
                    timeout: asked,
                    idempotency_key: None,
                },
            ),
            HostLogic::Reference(p) => p.handle_command(now, from, lun, block, &work, asked),
        }
    }

    /// A client has aborted a command.
    pub fn handle_abort(&mut self, now: Instant, from: CommandRef) {
        match self {
            HostLogic::Core(c) => c.handle_abort(now, from),
            HostLogic::Reference(p) => _ = p.forget(from),
        }
    }

    /// A session has ended, with all that it had open.
    pub fn handle_session_closed(&mut self, now: Instant, session: u32) {
        match self {
            HostLogic::Core(c) => c.handle_session_closed(now, session),
            HostLogic::Reference(p) => {
                let open: Vec<CommandRef> =
                    p.commands.keys().filter(|c| c.session == session).copied().collect();
                open.into_iter().for_each(|c| _ = p.forget(c));
            }
        }
    }

    /// An attempt has ended.
    pub fn handle_attempt_result(&mut self, now: Instant, back: AttemptResult) {
        match self {
            HostLogic::Core(c) => c.handle_attempt_result(now, back),
            HostLogic::Reference(p) => p.back(back),
        }
    }

    /// A list of nodes, or its failure, has arrived.
    pub fn handle_endpoint_list(
        &mut self,
        now: Instant,
        kind: ListKind,
        from: u64,
        to: u64,
        entries: &[ListEntry],
    ) {
        match self {
            HostLogic::Core(c) => c.handle_endpoint_list(now, kind, from, to, entries),
            HostLogic::Reference(p) => p.list(now, kind, to, entries),
        }
    }

    /// Fires the timers that are due.
    pub fn handle_timeout(&mut self, now: Instant) {
        match self {
            HostLogic::Core(c) => c.handle_timeout(now),
            HostLogic::Reference(p) => p.handle_timeout(now),
        }
    }

    /// What the host is to do next.
    pub fn poll_output(&mut self, now: Instant) -> Option<Output> {
        match self {
            HostLogic::Core(c) => c.poll_output(now),
            HostLogic::Reference(p) => p.next(now),
        }
    }

    /// When `handle_timeout` should be called next.
    pub fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        match self {
            HostLogic::Core(c) => c.poll_timeout(now),
            HostLogic::Reference(p) => p.wake(now),
        }
    }
}
