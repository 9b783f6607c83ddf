//! Requests on one key, which are served one at a time in order of arrival (rule 5).

use crate::interface::{Instant, RequestId};
use std::collections::VecDeque;

/// The requests on one key that are not over.
#[derive(Default)]
pub struct KeyQueue {
    /// In order of arrival; the first one has the key.
    pub waiting: VecDeque<RequestId>,
    /// The request that has sent an attempt.
    pub holder: Option<RequestId>,
    /// Attempts that have not ended.
    pub in_flight: usize,
    /// Until then an attempt of unknown outcome may still be running.
    pub free_at: Instant,
}

impl KeyQueue {
    /// An attempt of this request leaves for its node.
    pub fn attempt_started(&mut self, id: RequestId) {
        self.holder = Some(id);
        self.in_flight += 1;
    }

    /// An attempt has ended; the key is free at `settled_at` at the earliest, where one is given.
    pub fn attempt_finished(&mut self, settled_at: Option<Instant>) {
        self.in_flight -= 1;
        self.free_at = self.free_at.max(settled_at.unwrap_or_default());
    }

    /// When the key is free at the earliest, if this request may not be sent now.
    pub fn blocked_until(&self, id: RequestId, now: Instant) -> Option<Instant> {
        let is_free = self.holder == Some(id) || (self.in_flight == 0 && self.free_at <= now);
        (self.waiting.front() != Some(&id) || !is_free).then_some(self.free_at)
    }

    /// Whether nothing is left to order.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.waiting.is_empty() && self.in_flight == 0 && self.free_at <= now
    }

    /// Removes a request that is over; gives the first of those that remain.
    pub fn remove(&mut self, id: RequestId) -> Option<RequestId> {
        self.waiting.retain(|waiting| *waiting != id);
        self.holder = self.holder.filter(|holder| *holder != id);
        self.waiting.front().copied()
    }
}
