//! The queue of the requests on one key, which are served one at a time in order of arrival (rule 5).

use crate::interface::{Instant, RequestId};
use std::collections::VecDeque;

/// The unfinished requests on one key.
#[derive(Default)]
pub struct KeyQueue {
    /// The requests in order of arrival. Only the first one may be sent.
    pub waiting: VecDeque<RequestId>,
    /// The unfinished request that last had an attempt sent.
    pub holder: Option<RequestId>,
    /// The number of attempts in flight.
    pub in_flight: usize,
    /// The time until which an attempt of unknown outcome may still be running.
    pub free_at: Instant,
}

impl KeyQueue {
    /// Records that an attempt of a request is sent.
    pub fn attempt_started(&mut self, id: RequestId) {
        self.holder = Some(id);
        self.in_flight += 1;
    }

    /// Records the end of an attempt. `settled_at` is the time until which the attempt may still be running; `None`:
    /// it is not running any more.
    pub fn attempt_finished(&mut self, settled_at: Option<Instant>) {
        self.in_flight -= 1;
        self.free_at = self.free_at.max(settled_at.unwrap_or_default());
    }

    /// Returns the earliest time at which the key is free if the request may not be sent now, or `None` if it may.
    pub fn blocked_until(&self, id: RequestId, now: Instant) -> Option<Instant> {
        let is_free = self.holder == Some(id) || (self.in_flight == 0 && self.free_at <= now);
        (self.waiting.front() != Some(&id) || !is_free).then_some(self.free_at)
    }

    /// Returns whether the queue holds nothing that a later request would have to wait for.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.waiting.is_empty() && self.in_flight == 0 && self.free_at <= now
    }

    /// Removes a finished request and returns the first of the remaining ones.
    pub fn remove(&mut self, id: RequestId) -> Option<RequestId> {
        self.waiting.retain(|waiting| *waiting != id);
        self.holder = self.holder.filter(|holder| *holder != id);
        self.waiting.front().copied()
    }
}
