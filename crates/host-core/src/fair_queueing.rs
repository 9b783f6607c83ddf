//! How the sessions of one volume share it: a tag for each request, by which the scheduler orders requests that wait for the same volume,
//! traffic class and shard.
//!
//! This is start-time fair queueing. The tag of a request is the virtual time at which its session's earlier work would end, and no earlier
//! than the tag of the request that was sent last. So if one session has thousands of requests waiting, the first request of each other
//! session is sent before them; and a session may use all that no other wants. An idle session saves nothing up.

use std::collections::{BTreeMap, HashMap};

/// A queue remembers at least this many sessions before it evicts those that are idle.
const MIN_EVICTION_LEN: usize = 64;

/// Names a queue: requests that wait for the same shard, volume and traffic class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// The shard.
    pub shard: u32,
    /// The volume.
    pub volume: u32,
    /// The traffic class.
    pub traffic_class: u32,
}

/// A request's place in its queue. It is given back once: to `sent` or to `cancelled`.
#[derive(Debug, PartialEq)]
#[must_use]
pub(crate) struct QueueTicket {
    queue: QueueKey,
    session: u32,
    units: f64,
    /// Requests of one queue are sent in the order of their tags, the lowest first.
    pub tag: f64,
}

#[derive(Debug)]
struct FairQueue {
    /// Virtual time, in units.
    virtual_time: f64,
    waiting: usize,
    sessions: HashMap<u32, SessionShare>,
    /// Idle sessions are evicted at this many sessions.
    evict_at: usize,
}

/// What a queue remembers of a session.
#[derive(Debug)]
struct SessionShare {
    /// The virtual time at which the session's work so far ends.
    end: f64,
    /// How many of its requests wait.
    waiting: usize,
}

impl SessionShare {
    /// A session without requests whose work has ended would begin at the virtual time anyway, so it need not be remembered.
    fn is_idle(&self, virtual_time: f64) -> bool {
        self.waiting == 0 && self.end <= virtual_time
    }
}

impl FairQueue {
    fn new() -> Self {
        FairQueue { virtual_time: 0.0, waiting: 0, sessions: HashMap::new(), evict_at: MIN_EVICTION_LEN }
    }

    /// Sessions that come and go would let this table grow without bound; so those that are idle are evicted now and then.
    fn evict_idle(&mut self) {
        if self.sessions.len() < self.evict_at {
            return;
        }
        let virtual_time = self.virtual_time;
        self.sessions.retain(|_, session| !session.is_idle(virtual_time));
        self.evict_at = MIN_EVICTION_LEN.max(2 * self.sessions.len());
    }
}

/// The queues that are not empty; bounded by what waits, since an empty queue is dropped.
#[derive(Debug, Default)]
pub(crate) struct FairQueueing {
    queues: BTreeMap<QueueKey, FairQueue>,
}

/// What fair queueing remembers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FairQueueCounts {
    /// Queues that are not empty.
    pub queues: usize,
    /// Sessions remembered in them.
    pub sessions: usize,
}

impl FairQueueing {
    /// Enters a request of a session that costs so many units.
    pub(crate) fn enqueue(&mut self, key: QueueKey, session: u32, units: f64) -> QueueTicket {
        let queue = self.queues.entry(key).or_insert_with(FairQueue::new);
        queue.evict_idle();
        queue.waiting += 1;
        let virtual_time = queue.virtual_time;
        let new_session = SessionShare { end: virtual_time, waiting: 0 };
        let share = queue.sessions.entry(session).or_insert(new_session);
        let tag = share.end.max(virtual_time);
        share.end = tag + units;
        share.waiting += 1;
        QueueTicket { queue: key, session, units, tag }
    }

    /// The first attempt of the request was sent: virtual time advances to its tag.
    pub(crate) fn sent(&mut self, queue_ticket: QueueTicket) {
        if let Some(queue) = self.queues.get_mut(&queue_ticket.queue) {
            queue.virtual_time = queue.virtual_time.max(queue_ticket.tag);
        }
        self.remove(&queue_ticket, 0.0);
    }

    /// The request ended without an attempt, so its session is not charged for it. Else a session whose requests were all given up would
    /// stand behind the others for as long as it would have taken to serve them.
    pub(crate) fn cancelled(&mut self, queue_ticket: QueueTicket) {
        self.remove(&queue_ticket, queue_ticket.units);
    }

    /// The session has ended, and all its tickets were given back. While nothing is sent, virtual time does not advance and no session
    /// becomes idle; sessions that come and go would then let the queues grow, so an ended session is removed at once.
    pub(crate) fn session_closed(&mut self, session: u32) {
        for queue in self.queues.values_mut() {
            if queue.sessions.get(&session).is_some_and(|share| share.waiting == 0) {
                queue.sessions.remove(&session);
            }
        }
    }

    /// Takes a request out of its queue; `refund` are units that its session is not charged.
    fn remove(&mut self, queue_ticket: &QueueTicket, refund: f64) {
        let Some(queue) = self.queues.get_mut(&queue_ticket.queue) else { return };
        queue.waiting -= 1;
        let virtual_time = queue.virtual_time;
        if let Some(share) = queue.sessions.get_mut(&queue_ticket.session) {
            share.waiting -= 1;
            share.end -= refund;
            if share.is_idle(virtual_time) {
                queue.sessions.remove(&queue_ticket.session);
            }
        }
        if queue.waiting == 0 {
            self.queues.remove(&queue_ticket.queue);
        }
    }

    /// Queues, and sessions remembered in them.
    pub(crate) fn counts(&self) -> FairQueueCounts {
        let sessions = self.queues.values().map(|queue| queue.sessions.len()).sum();
        FairQueueCounts { queues: self.queues.len(), sessions }
    }
}

#[cfg(test)]
mod tests;
