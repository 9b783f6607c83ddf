//! The attempts of one connection that are not answered, and what becomes of them when it ends.

use crate::lock::lock;
use crate::messages::Event;
use crossbeam_channel::Sender;
use std::collections::HashSet;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tackmast::interface::Outcome;
use tackmast_host_core::{AttemptId, AttemptResult};

/// Attempts that were claimed for a connection and are not answered. Its writer and its reader share them; whichever finds the
/// connection broken takes them all, so that each is reported once.
#[derive(Clone)]
pub(super) struct Outstanding(Arc<Mutex<Option<Attempts>>>);

#[derive(Default)]
struct Attempts {
    /// Gathered for the next write. No byte of them was written.
    gathered: HashSet<AttemptId>,
    /// Their write has begun: they may have run.
    begun: HashSet<AttemptId>,
}

impl Outstanding {
    pub(super) fn new() -> Self {
        Outstanding(Arc::new(Mutex::new(Some(Attempts::default()))))
    }

    /// Whether the connection is broken.
    pub(super) fn is_broken(&self) -> bool {
        lock(&self.0).is_none()
    }

    /// Adds an attempt to the next write; false: the connection is broken.
    pub(super) fn insert(&self, attempt: AttemptId) -> bool {
        let mut attempts = lock(&self.0);
        let Some(attempts) = attempts.as_mut() else { return false };
        attempts.gathered.insert(attempt);
        true
    }

    /// The gathered attempts are written from now on, and may have run. False: the connection is broken, and they were reported as never
    /// run, so no byte of them may be written.
    pub(super) fn begin_write(&self) -> bool {
        let mut attempts = lock(&self.0);
        let Some(Attempts { gathered, begun }) = attempts.as_mut() else { return false };
        begun.extend(gathered.drain());
        true
    }

    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        let attempts = lock(&self.0);
        attempts.as_ref().is_some_and(|Attempts { gathered, begun }| {
            gathered.contains(&attempt) || begun.contains(&attempt)
        })
    }

    /// Removes an attempt that is answered; false: there was none.
    pub(super) fn remove(&self, attempt: AttemptId) -> bool {
        let mut attempts = lock(&self.0);
        attempts
            .as_mut()
            .is_some_and(|Attempts { gathered, begun }| gathered.remove(&attempt) || begun.remove(&attempt))
    }

    /// Whether an attempt waits for its answer.
    pub(super) fn has_any(&self) -> bool {
        let attempts = lock(&self.0);
        attempts
            .as_ref()
            .is_some_and(|Attempts { gathered, begun }| !gathered.is_empty() || !begun.is_empty())
    }

    /// Whether the reader or the writer has ended, and the other is the last to hold them.
    pub(super) fn is_last_holder(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }

    /// Resets the connection. Attempts whose write has begun may have run, so each is reported as reset; those that were only gathered
    /// never ran.
    pub(super) fn break_off(&self, stream: &TcpStream, events: &Sender<Event>) {
        reset(stream);
        let Attempts { gathered, begun } = lock(&self.0).take().unwrap_or_default();
        for attempt in begun {
            report(events, attempt, Outcome::Reset);
        }
        for attempt in gathered {
            report(events, attempt, Outcome::Refused);
        }
    }
}

/// Reports how an attempt ended without an answer of its node.
pub(super) fn report(events: &Sender<Event>, attempt: AttemptId, outcome: Outcome) {
    _ = events.send(Event::AttemptResult(AttemptResult::unanswered(attempt, outcome)));
}

/// Ends a connection, and drops what the socket has not sent: a plain shutdown would still deliver it, and the node would run what the
/// host has given up.
pub(super) fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}
