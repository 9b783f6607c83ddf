//! The schedule of a graceful shutdown: when each phase begins. No I/O.

use tackmast::interface::TimeDelta;

// The platform kills a host no earlier after SIGTERM than the longest deadline of its classes, which counts up to a bound, and
// some time on top. New connections come for up to 0.4 s after SIGTERM, requests on open connections for as long as these stay
// open. Clients have nowhere else to go until the host is back, so it serves on until shortly before it is killed.

/// Seconds after SIGTERM for which clients may still open connections.
const NEW_CONNECTIONS_UNTIL: f64 = 0.45;
/// Seconds after SIGTERM from which a host without client connections closes at once.
const CLOSE_WHEN_ALONE: f64 = 0.6;
/// The bound, in seconds, up to which the longest deadline counts.
const MAX_DEADLINE: f64 = 3.0;
/// Seconds that the platform adds to that.
const KILL_MARGIN: f64 = 0.7;
/// Seconds before the kill at which answers close their connections, and idle connections are half-closed.
const CLOSE_AHEAD: f64 = 0.5;
/// Seconds before the kill at which what is still open is answered as it stands: whatever came later than 0.7 s after SIGTERM
/// must have its answer by then.
const SETTLE_AHEAD: f64 = 0.25;
/// Seconds before the kill at which the host exits, whatever connection is still open.
const EXIT_AHEAD: f64 = 0.1;

/// Phases of the shutdown, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The health check says not ready; requests are served.
    Serving,
    /// The listener is closed; connections are half-closed when idle, and each other with its answer.
    Closing,
    /// All that was open is answered; no request is accepted.
    Settled,
    /// The process exits.
    Finished,
}

/// When phases begin, in seconds since the shutdown was asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    closing: f64,
    settled: f64,
    finished: f64,
}

impl ShutdownSchedule {
    /// `deadline` is the longest of any traffic class.
    pub fn new(deadline: TimeDelta) -> Self {
        let killed = deadline.secs().clamp(0.0, MAX_DEADLINE) + KILL_MARGIN;
        // With short deadlines the time is short: new connections go first.
        let closing = (killed - CLOSE_AHEAD).max(NEW_CONNECTIONS_UNTIL);
        let settled = (killed - SETTLE_AHEAD).max(closing);
        ShutdownSchedule { closing, settled, finished: killed - EXIT_AHEAD }
    }

    /// The phase at a time since the shutdown was asked for. `alone`: no client has a connection.
    pub fn phase(&self, since: TimeDelta, alone: bool) -> ShutdownPhase {
        let secs = since.secs();
        match () {
            () if secs >= self.finished => ShutdownPhase::Finished,
            () if secs >= self.settled => ShutdownPhase::Settled,
            () if secs >= self.closing || (alone && secs >= CLOSE_WHEN_ALONE) => ShutdownPhase::Closing,
            () => ShutdownPhase::Serving,
        }
    }
}

#[cfg(test)]
mod tests;
