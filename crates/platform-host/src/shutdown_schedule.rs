//! The schedule of a graceful shutdown: when each phase begins. This module performs no I/O.
//!
//! The platform kills a host no earlier after SIGTERM than the longest deadline of its traffic classes, capped at a maximum, plus a
//! margin. New connections arrive for up to 0.4 s after SIGTERM, and requests arrive on open connections for as long as these stay
//! open. Clients have no other host until this one has restarted, so the host serves until shortly before it is killed.

use tackmast::interface::TimeDelta;

/// Time after SIGTERM during which clients may still open connections.
const NEW_CONNECTIONS_UNTIL: TimeDelta = TimeDelta::from_millis(450);
/// Time after SIGTERM at which a host without client connections enters `ShutdownPhase::Closing`.
const CLOSE_WITHOUT_CLIENTS_AFTER: TimeDelta = TimeDelta::from_millis(600);
/// Maximum of the longest deadline that the platform takes into account.
const MAX_DEADLINE: TimeDelta = TimeDelta::from_millis(3000);
/// Time that the platform adds to the longest deadline before it kills the host.
const KILL_MARGIN: TimeDelta = TimeDelta::from_millis(700);
/// Start of `ShutdownPhase::Closing` relative to the kill; negative is before it.
const CLOSING_FROM_KILL: TimeDelta = TimeDelta::from_millis(-500);
/// Start of `ShutdownPhase::Settled` relative to the kill. The deadline of a request that arrived later than `KILL_MARGIN` after SIGTERM
/// is after the kill, so such a request is answered in this phase at the latest.
const SETTLED_FROM_KILL: TimeDelta = TimeDelta::from_millis(-250);
/// Start of `ShutdownPhase::Finished` relative to the kill.
const FINISHED_FROM_KILL: TimeDelta = TimeDelta::from_millis(-100);

/// The phases of a shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// Requests are served. A host that is not shutting down is in this phase too; after SIGTERM the health check answers "not ready".
    Serving,
    /// The listener is closed. Idle connections are half-closed, and each other connection after its answer.
    Closing,
    /// All open requests are answered, and no request is accepted.
    Settled,
    /// The process exits, even if connections are still open.
    Finished,
}

/// The start of each phase, relative to the request for the shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ShutdownSchedule {
    closing: TimeDelta,
    settled: TimeDelta,
    finished: TimeDelta,
}

impl ShutdownSchedule {
    /// Creates a schedule. `longest_deadline` is the longest deadline of all traffic classes.
    pub(crate) fn new(longest_deadline: TimeDelta) -> Self {
        let kill = longest_deadline.clamp(TimeDelta::ZERO, MAX_DEADLINE) + KILL_MARGIN;
        // With short deadlines there is little time before the kill. Accepting new connections takes precedence: a client that finds
        // the listener closed has no other host.
        let closing = (kill + CLOSING_FROM_KILL).max(NEW_CONNECTIONS_UNTIL);
        let settled = (kill + SETTLED_FROM_KILL).max(closing);
        ShutdownSchedule { closing, settled, finished: kill + FINISHED_FROM_KILL }
    }

    /// Returns the phase at the time `since` after the shutdown was requested. Without client connections the host closes early.
    pub(crate) fn phase(&self, since: TimeDelta, client_connections: usize) -> ShutdownPhase {
        let closes_early = client_connections == 0 && since >= CLOSE_WITHOUT_CLIENTS_AFTER;
        if since >= self.finished {
            ShutdownPhase::Finished
        } else if since >= self.settled {
            ShutdownPhase::Settled
        } else if since >= self.closing || closes_early {
            ShutdownPhase::Closing
        } else {
            ShutdownPhase::Serving
        }
    }
}

#[cfg(test)]
mod tests;
