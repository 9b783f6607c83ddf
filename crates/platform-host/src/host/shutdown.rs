//! Signals to the process, and the graceful shutdown. docs/crossings.md has each phase against each event.

use super::{Host, ProcessSignal};
use crate::shutdown_schedule::ShutdownPhase;
use std::fmt::Display;
use std::io::Read;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_platform::Configuration;

/// Rounds of accepting the connections in the listener's backlog before it closes.
const MAX_BACKLOG_ROUNDS: usize = 128;

impl Host {
    pub(super) fn read_signal(&mut self, number: u32) -> Option<ProcessSignal> {
        let (signal, from) = self.signals.get_mut(&number)?;
        let mut bytes = [0; 64];
        match from.read(&mut bytes) {
            Ok(n) if n > 0 => Some(*signal),
            _ => None,
        }
    }

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

    /// Does what the phase of the shutdown that is due asks for; nothing while no shutdown was asked for.
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

    /// Enters the phase that is due a time `since` the shutdown was asked for. A host without clients closes early; a client that is
    /// accepted from the backlog then must not take the host back to serving, with its listener closed. So no phase is left for an
    /// earlier one.
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

    /// Accepts the connections in the listener's backlog, then closes it. The system has accepted these connections already: closing
    /// the listener would reset them, and their clients would lose requests that they have sent.
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

    /// Answers each request that is still open: the platform kills the process before their deadlines, and clients without an answer
    /// would wait until then.
    fn answer_open_requests(&mut self, now: Instant) {
        self.core.close_open_commands(now);
        self.execute_outputs();
    }

    /// Each accepted request has its answer and each client has read it to its end; or there is no more time. Without waiting for the
    /// clients, the exit would reset their connections and they would lose answers that were written.
    pub(super) fn has_shut_down(&self) -> bool {
        let is_idle = self.core.open_counts().commands == 0 && self.clients.len() == 0;
        self.shutdown_phase == ShutdownPhase::Finished
            || (self.shutdown_phase >= ShutdownPhase::Closing && is_idle)
    }
}
