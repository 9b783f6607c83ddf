//! Signals to the process, and the graceful shutdown. docs/crossings.md has a table of each phase against each event.

use super::{Host, ProcessSignal};
use crate::shutdown_schedule::ShutdownPhase;
use std::fmt::Display;
use std::io::Read;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_platform::Configuration;

/// Maximum number of calls of `Host::accept` that empty the listener's backlog before it closes.
const MAX_BACKLOG_ROUNDS: usize = 128;

impl Host {
    /// Reads the stream with this number. Returns its signal if at least one byte has arrived.
    pub(super) fn read_signal(&mut self, number: u32) -> Option<ProcessSignal> {
        let (signal, from) = self.signals.get_mut(&number)?;
        let mut bytes = [0; 64];
        match from.read(&mut bytes) {
            Ok(n) if n > 0 => Some(*signal),
            _ => None,
        }
    }

    /// Starts the shutdown, or reloads the configuration. Further shutdown signals are ignored.
    pub(super) fn handle_signal<E: Display>(
        &mut self,
        now: Instant,
        signal: ProcessSignal,
        reload: &mut impl FnMut() -> Result<Configuration, E>,
    ) {
        match signal {
            ProcessSignal::Shutdown if self.shutdown_since.is_none() => {
                self.shutdown_since = Some(now);
                if let Some(peers) = &mut self.peers {
                    peers.replicate(self.core.service_rates(now));
                }
                tracing::info!(
                    open = self.core.open_counts().commands,
                    "shutdown: draining requests in flight"
                );
            }
            ProcessSignal::Shutdown => {}
            ProcessSignal::Reload => match reload() {
                Err(error) => {
                    tracing::error!(%error, "configuration not taken, the old one stays")
                }
                Ok(configuration) => self.change_list_address(now, configuration.discovery),
            },
        }
    }

    /// Enters the shutdown phase that is due and performs its work. Does nothing if no shutdown was requested.
    pub(super) fn advance_shutdown(&mut self, now: Instant) {
        let Some(since) = self.shutdown_since else { return };
        self.enter_due_phase(now - since);
        let phase = self.shutdown_phase;
        if phase < ShutdownPhase::Closing {
            return;
        }
        self.close_listener(now);
        if phase >= ShutdownPhase::Settled {
            self.answer_open_requests(now);
        }
        self.clients.begin_shutdown(now, &self.poller, phase);
    }

    /// Enters the phase that is due at the time `since` after the shutdown was requested; never an earlier phase than the current one. A
    /// host without clients closes early, and a client that is then accepted from the backlog must not return the host to
    /// `ShutdownPhase::Serving`, as its listener is closed.
    fn enter_due_phase(&mut self, since: TimeDelta) {
        let clients = self.clients.len();
        let phase = self.shutdown_schedule.phase(since, clients).max(self.shutdown_phase);
        if phase == self.shutdown_phase {
            return;
        }
        let open = self.core.open_counts().commands;
        tracing::info!(?phase, open, clients, "shutdown: next phase");
        self.shutdown_phase = phase;
    }

    /// Accepts the connections in the listener's backlog, then closes the listener. The system has already established these
    /// connections: closing the listener would reset them, and their clients would lose requests that they have sent.
    fn close_listener(&mut self, now: Instant) {
        for _ in 0..MAX_BACKLOG_ROUNDS {
            let accepted = self.clients.counters.accepted;
            self.accept(now);
            if self.clients.counters.accepted == accepted {
                break;
            }
        }
        self.listener = None;
    }

    /// Answers each request that is still open. The platform kills the process before the deadlines of these requests, and clients
    /// without an answer would wait until then.
    fn answer_open_requests(&mut self, now: Instant) {
        self.core.close_open_commands(now);
        self.execute_outputs();
    }

    /// Returns whether the process may exit: each accepted request is answered and each client has closed its connection, or no time is
    /// left. An exit before the clients have read their answers would reset the connections, and the answers would be lost.
    pub(super) fn has_shut_down(&self) -> bool {
        let is_idle = self.core.open_counts().commands == 0 && self.clients.len() == 0;
        self.shutdown_phase == ShutdownPhase::Finished
            || (self.shutdown_phase >= ShutdownPhase::Closing && is_idle)
    }
}
