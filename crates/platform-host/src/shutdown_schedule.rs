//! The schedule of a graceful shutdown: when each phase begins. No I/O.
//!
//! The platform kills a host no earlier after SIGTERM than the longest deadline of its traffic classes, which counts up to a bound,
//! plus a margin. New connections arrive for up to 0.4 s after SIGTERM, and requests on open connections for as long as these stay
//! open. Clients have no other host until this one is back, so the host serves until shortly before it is killed.

use tackmast::interface::TimeDelta;

/// How long after SIGTERM clients may still open connections.
const NEW_CONNECTIONS_UNTIL: TimeDelta = TimeDelta::from_millis(450);
/// When a host without client connections closes, after SIGTERM.
const CLOSE_WITHOUT_CLIENTS_AFTER: TimeDelta = TimeDelta::from_millis(600);
/// The longest deadline of the traffic classes counts up to this.
const MAX_DEADLINE: TimeDelta = TimeDelta::from_millis(3000);
/// What the platform adds to the longest deadline before it kills the host.
const KILL_MARGIN: TimeDelta = TimeDelta::from_millis(700);
/// When `ShutdownPhase::Closing` begins, from the kill on; negative is before it.
const CLOSING_FROM_KILL: TimeDelta = TimeDelta::from_millis(-500);
/// When `ShutdownPhase::Settled` begins, from the kill on: a request that arrived later than `KILL_MARGIN` after SIGTERM has a deadline
/// after the kill, so it is answered now.
const SETTLED_FROM_KILL: TimeDelta = TimeDelta::from_millis(-250);
/// When `ShutdownPhase::Finished` begins, from the kill on.
const FINISHED_FROM_KILL: TimeDelta = TimeDelta::from_millis(-100);

/// Phases of the shutdown, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// Requests are served. Also the phase before a shutdown; after SIGTERM the health check answers "not ready".
    Serving,
    /// The listener is closed; idle connections are half-closed, and each other one with its answer.
    Closing,
    /// All open requests are answered; no request is accepted.
    Settled,
    /// The process exits, whatever connection is still open.
    Finished,
}

/// When phases begin, counted from when the shutdown was asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ShutdownSchedule {
    closing: TimeDelta,
    settled: TimeDelta,
    finished: TimeDelta,
}

impl ShutdownSchedule {
    /// `longest_deadline` is the longest of any traffic class.
    pub(crate) fn new(longest_deadline: TimeDelta) -> Self {
        let kill = longest_deadline.clamp(TimeDelta::ZERO, MAX_DEADLINE) + KILL_MARGIN;
        // With short deadlines there is little time before the kill. New connections come first: a client that finds the listener
        // closed has no other host.
        let closing = (kill + CLOSING_FROM_KILL).max(NEW_CONNECTIONS_UNTIL);
        let settled = (kill + SETTLED_FROM_KILL).max(closing);
        ShutdownSchedule { closing, settled, finished: kill + FINISHED_FROM_KILL }
    }

    /// The phase at a time `since` the shutdown was asked for. Without client connections there is nobody to wait for, so the host
    /// closes early.
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
