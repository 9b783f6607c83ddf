//! The attempts of one connection that may have run, and what becomes of them when it ends.

use crate::lock::lock;
use crate::messages::Event;
use bytes::Bytes;
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
pub(super) struct Outstanding(Arc<Mutex<Option<HashSet<AttemptId>>>>);

impl Outstanding {
    pub(super) fn new() -> Self {
        Outstanding(Arc::new(Mutex::new(Some(HashSet::new()))))
    }

    /// Whether the connection is broken.
    pub(super) fn is_broken(&self) -> bool {
        lock(&self.0).is_none()
    }

    /// Adds an attempt; false: the connection is broken.
    pub(super) fn insert(&self, attempt: AttemptId) -> bool {
        let mut attempts = lock(&self.0);
        let Some(attempts) = attempts.as_mut() else { return false };
        attempts.insert(attempt);
        true
    }

    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        lock(&self.0).as_ref().is_some_and(|attempts| attempts.contains(&attempt))
    }

    /// Removes an attempt that is answered; false: there was none.
    pub(super) fn remove(&self, attempt: AttemptId) -> bool {
        lock(&self.0).as_mut().is_some_and(|attempts| attempts.remove(&attempt))
    }

    /// Whether an attempt waits for its answer.
    pub(super) fn has_any(&self) -> bool {
        lock(&self.0).as_ref().is_some_and(|attempts| !attempts.is_empty())
    }

    /// Whether the reader or the writer has ended, and the other is the last to hold them.
    pub(super) fn is_last_holder(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }

    /// Resets the connection. All attempts that were claimed may have run, so each is reported as reset.
    pub(super) fn break_off(&self, stream: &TcpStream, events: &Sender<Event>) {
        reset(stream);
        let attempts = lock(&self.0).take();
        for attempt in attempts.into_iter().flatten() {
            report(events, attempt, Outcome::Reset);
        }
    }
}

/// Reports how an attempt ended without an answer of its node.
pub(super) fn report(events: &Sender<Event>, attempt: AttemptId, outcome: Outcome) {
    let result = AttemptResult { attempt, outcome, waiting: None, elsewhere: None, data: Bytes::new() };
    _ = events.send(Event::AttemptResult(result));
}

/// Ends a connection, and drops what the socket has not sent: a plain shutdown would still deliver it, and the node would run what the
/// host has given up.
pub(super) fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}
