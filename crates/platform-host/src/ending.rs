//! When a host that was told to end takes each step of its end. No I/O.

use tackmast::interface::TimeDelta;

/// New connections come for up to 0.4 s after SIGTERM, and requests on those there are for as long as these stay open. They
/// have nowhere else to go until the host is back, so it serves on until shortly before it is killed. The platform does that no
/// earlier than the longest deadline, which counts up to a bound, and some time on top.
const STILL_COMING: f64 = 0.45; // seconds
const ALONE: f64 = 0.6; // seconds
const LONGEST_DEADLINE: f64 = 3.0; // seconds
const KILLED_AFTER: f64 = 0.7; // seconds, on top
/// Ahead of that: when answers end their connections and idle ones are half-closed; when what is still open is answered as it
/// stands (whatever came later than 0.7 s after SIGTERM must have its answer by then); and when the host is over, whoever has
/// not ended a connection that has its last answer.
const CLOSE_AHEAD: f64 = 0.5; // seconds
const SETTLE_AHEAD: f64 = 0.25; // seconds
const OVER_AHEAD: f64 = 0.1; // seconds

/// How far a host's end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Says that it is not ready; serves whoever comes.
    Serves,
    /// Takes no new connection; half-closes those between requests, and each other with its answer.
    Closes,
    /// Has answered all that was open; takes nothing any more.
    Settled,
    Over,
}

/// The steps, in time since the order to end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ending {
    closes: f64,
    settled: f64,
    over: f64,
}

impl Ending {
    /// `deadline` is the longest of any class.
    pub fn new(deadline: TimeDelta) -> Self {
        let killed = deadline.secs().clamp(0.0, LONGEST_DEADLINE) + KILLED_AFTER;
        // With short deadlines the time is short: new connections go first.
        let closes = (killed - CLOSE_AHEAD).max(STILL_COMING);
        let settled = (killed - SETTLE_AHEAD).max(closes);
        Ending { closes, settled, over: killed - OVER_AHEAD }
    }

    /// `alone`: no client has a connection.
    pub fn step(&self, since: TimeDelta, alone: bool) -> Step {
        let secs = since.secs();
        match () {
            () if secs >= self.over => Step::Over,
            () if secs >= self.settled => Step::Settled,
            () if secs >= self.closes || (alone && secs >= ALONE) => Step::Closes,
            () => Step::Serves,
        }
    }
}

#[cfg(test)]
mod tests;
