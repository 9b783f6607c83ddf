//! Fair queueing among the sessions of a volume: each request gets a tag, by which the scheduler orders requests that wait for the same
//! volume, traffic class and shard.
//!
//! The algorithm is start-time fair queueing. The tag of a request is the virtual time at which its session's earlier work would end, but
//! not less than the highest tag sent so far from its queue. If one session has thousands of requests waiting, the first request of each
//! other session is sent before them. A session may use all capacity that the others leave, and an idle session accumulates no credit.

use std::collections::{BTreeMap, HashMap};

/// The number of sessions below which a queue is not scanned for idle ones to evict.
const MIN_EVICTION_LEN: usize = 64;

/// Identifies a queue of requests that wait for the same shard, volume and traffic class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub shard: u32,
    pub volume: u32,
    pub traffic_class: u32,
}

/// A request's place in its queue. It must be passed to either `remove_sent` or `remove_cancelled`, once.
#[derive(Debug, PartialEq)]
#[must_use]
pub(crate) struct QueueTicket {
    queue: QueueKey,
    session: u32,
    units: f64,
    /// The start tag. Requests of one queue are sent in ascending order of their tags.
    pub tag: f64,
}

#[derive(Debug)]
struct FairQueue {
    /// The virtual time, in units.
    virtual_time: f64,
    waiting: usize,
    sessions: HashMap<u32, SessionState>,
    /// The number of sessions at which idle ones are evicted.
    evict_at: usize,
}

/// The state of a session in a queue.
#[derive(Debug)]
struct SessionState {
    /// The virtual time at which the session's work so far ends.
    finish_tag: f64,
    /// The number of waiting requests of the session.
    waiting: usize,
}

impl SessionState {
    /// Returns whether the session may be evicted: it has no waiting requests, and a new entry would start at the same virtual time.
    fn is_idle(&self, virtual_time: f64) -> bool {
        self.waiting == 0 && self.finish_tag <= virtual_time
    }
}

impl FairQueue {
    fn new() -> Self {
        FairQueue { virtual_time: 0.0, waiting: 0, sessions: HashMap::new(), evict_at: MIN_EVICTION_LEN }
    }

    /// Evicts idle sessions if there are many sessions. Otherwise the table would grow without bound as sessions open and close.
    fn evict_idle(&mut self) {
        if self.sessions.len() < self.evict_at {
            return;
        }
        let virtual_time = self.virtual_time;
        self.sessions.retain(|_, session| !session.is_idle(virtual_time));
        self.evict_at = MIN_EVICTION_LEN.max(2 * self.sessions.len());
    }
}

/// The queues that are not empty. Their number is bounded by the number of waiting requests, since an empty queue is deleted.
#[derive(Debug, Default)]
pub(crate) struct FairQueueing {
    queues: BTreeMap<QueueKey, FairQueue>,
}

/// The size of the fair-queueing state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FairQueueCounts {
    /// The number of queues that are not empty.
    pub queues: usize,
    /// The number of sessions in these queues; a session counts once for each queue.
    pub sessions: usize,
}

impl FairQueueing {
    /// Adds a request of a session, with its cost in units.
    pub(crate) fn enqueue(&mut self, key: QueueKey, session: u32, units: f64) -> QueueTicket {
        let queue = self.queues.entry(key).or_insert_with(FairQueue::new);
        queue.evict_idle();
        queue.waiting += 1;
        let virtual_time = queue.virtual_time;
        let new_session = SessionState { finish_tag: virtual_time, waiting: 0 };
        let state = queue.sessions.entry(session).or_insert(new_session);
        let tag = state.finish_tag.max(virtual_time);
        state.finish_tag = tag + units;
        state.waiting += 1;
        QueueTicket { queue: key, session, units, tag }
    }

    /// Removes a request whose first attempt was sent, and advances the virtual time to its tag.
    pub(crate) fn remove_sent(&mut self, queue_ticket: QueueTicket) {
        if let Some(queue) = self.queues.get_mut(&queue_ticket.queue) {
            queue.virtual_time = queue.virtual_time.max(queue_ticket.tag);
        }
        self.remove(&queue_ticket, 0.0);
    }

    /// Removes a request that ended without an attempt, and does not charge its session for it.
    ///
    /// If it were charged, a session whose requests were all cancelled would wait behind the others for as long as serving them would have
    /// taken.
    pub(crate) fn remove_cancelled(&mut self, queue_ticket: QueueTicket) {
        self.remove(&queue_ticket, queue_ticket.units);
    }

    /// Removes a session that has ended and has no waiting requests.
    ///
    /// While nothing is sent, the virtual time does not advance and no session becomes idle. Without this removal the queues would grow
    /// meanwhile as sessions open and close.
    pub(crate) fn session_closed(&mut self, session: u32) {
        for queue in self.queues.values_mut() {
            if queue.sessions.get(&session).is_some_and(|state| state.waiting == 0) {
                queue.sessions.remove(&session);
            }
        }
    }

    /// Removes a request from its queue, and refunds `refund` units to its session.
    fn remove(&mut self, queue_ticket: &QueueTicket, refund: f64) {
        let Some(queue) = self.queues.get_mut(&queue_ticket.queue) else { return };
        queue.waiting -= 1;
        let virtual_time = queue.virtual_time;
        if let Some(state) = queue.sessions.get_mut(&queue_ticket.session) {
            state.waiting -= 1;
            state.finish_tag -= refund;
            if state.is_idle(virtual_time) {
                queue.sessions.remove(&queue_ticket.session);
            }
        }
        if queue.waiting == 0 {
            self.queues.remove(&queue_ticket.queue);
        }
    }

    pub(crate) fn counts(&self) -> FairQueueCounts {
        let sessions = self.queues.values().map(|queue| queue.sessions.len()).sum();
        FairQueueCounts { queues: self.queues.len(), sessions }
    }
}

#[cfg(test)]
mod tests;
