//! The unanswered attempts of one connection, and how they are reported when the connection ends.

use crate::lock::lock;
use crate::messages::Event;
use crossbeam_channel::Sender;
use std::collections::HashSet;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tackmast::interface::Outcome;
use tackmast_host_core::{AttemptId, AttemptResult};

/// The attempts that were claimed for a connection and have no answer; `None` once the connection is broken. The connection's writer and
/// reader share them. Whichever finds the connection broken takes them all, so that each is reported once.
#[derive(Clone)]
pub(super) struct Outstanding(Arc<Mutex<Option<Attempts>>>);

#[derive(Default)]
struct Attempts {
    /// Attempts gathered for the next write. No byte of them has been written.
    gathered: HashSet<AttemptId>,
    /// Attempts whose write has begun, so that they may have run.
    begun: HashSet<AttemptId>,
}

impl Outstanding {
    pub(super) fn new() -> Self {
        Outstanding(Arc::new(Mutex::new(Some(Attempts::default()))))
    }

    /// Returns whether the connection is broken.
    pub(super) fn is_broken(&self) -> bool {
        lock(&self.0).is_none()
    }

    /// Adds an attempt to those gathered for the next write. Returns `false` if the connection is broken.
    pub(super) fn insert(&self, attempt: AttemptId) -> bool {
        let mut attempts = lock(&self.0);
        let Some(attempts) = attempts.as_mut() else { return false };
        attempts.gathered.insert(attempt);
        true
    }

    /// Records that the write of the gathered attempts begins, so that they may run from here on. Returns `false` if the connection is
    /// broken: the attempts have been reported as never run, so no byte of them may be written.
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

    /// Removes an answered attempt. Returns `false` if it was not outstanding.
    pub(super) fn remove(&self, attempt: AttemptId) -> bool {
        let mut attempts = lock(&self.0);
        attempts
            .as_mut()
            .is_some_and(|Attempts { gathered, begun }| gathered.remove(&attempt) || begun.remove(&attempt))
    }

    /// Returns whether any attempt has no answer yet.
    pub(super) fn has_any(&self) -> bool {
        let attempts = lock(&self.0);
        attempts
            .as_ref()
            .is_some_and(|Attempts { gathered, begun }| !gathered.is_empty() || !begun.is_empty())
    }

    /// Returns whether this is the last handle, because the connection's other thread has dropped its own.
    pub(super) fn is_last_holder(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }

    /// Resets the connection and reports the end of its attempts. Those whose write has begun may have run and are reported as reset;
    /// those that were only gathered never ran and are reported as refused.
    pub(super) fn abort(&self, stream: &TcpStream, events: &Sender<Event>) {
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

/// Reports the end of an attempt that got no answer from its node.
pub(super) fn report(events: &Sender<Event>, attempt: AttemptId, outcome: Outcome) {
    _ = events.send(Event::AttemptResult(AttemptResult::unanswered(attempt, outcome)));
}

/// Resets a connection and discards the bytes that the socket has not sent. A plain shutdown would still deliver them, and the node would
/// run attempts that the host has ended.
pub(super) fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}
