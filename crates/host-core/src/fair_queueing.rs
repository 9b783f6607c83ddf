//! How the sessions of one volume share it: a tag for each request, by which the scheduler orders those that wait
//! for the same volume, traffic class and shard.
//!
//! Start-time fair queueing: a request's tag is the virtual time at which its session's work before it would end, and
//! no earlier than the tag that left last. So one session with thousands of requests waiting stands behind the first
//! of each other session, and what nobody else wants is its own. Nothing is saved up while idle.

use std::collections::{BTreeMap, HashMap};

/// The least number of sessions remembered by a queue before idle ones are evicted.
const MIN_EVICTION_LEN: usize = 64;

/// What waits for the same shard, volume and traffic class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// The shard.
    pub shard: u32,
    /// The volume.
    pub volume: u32,
    /// The traffic class.
    pub traffic_class: u32,
}

/// A request's place in its queue, to be returned once: by `sent` or by `cancelled`.
#[derive(Debug, PartialEq)]
#[must_use]
pub(crate) struct QueueTicket {
    queue: QueueKey,
    session: u32,
    units: f64,
    /// By which requests of one queue leave: the lowest first.
    pub tag: f64,
}

#[derive(Debug)]
struct FairQueue {
    /// Virtual time, in units.
    virtual_time: f64,
    waiting: usize,
    /// Where each session's work so far ends, and how many of its requests wait.
    sessions: HashMap<u32, (f64, usize)>,
    evict_at: usize,
}

impl FairQueue {
    fn new() -> Self {
        FairQueue { virtual_time: 0.0, waiting: 0, sessions: HashMap::new(), evict_at: MIN_EVICTION_LEN }
    }

    /// Sessions that would start at the virtual time anyway need no memory.
    fn evict_idle(&mut self) {
        if self.sessions.len() < self.evict_at {
            return;
        }
        let virtual_time = self.virtual_time;
        self.sessions.retain(|_, (end, waiting)| *waiting > 0 || *end > virtual_time);
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
    pub(crate) fn enqueue(&mut self, name: QueueKey, session: u32, units: f64) -> QueueTicket {
        let queue = self.queues.entry(name).or_insert_with(FairQueue::new);
        queue.evict_idle();
        queue.waiting += 1;
        let virtual_time = queue.virtual_time;
        let (end, waiting) = queue.sessions.entry(session).or_insert((virtual_time, 0));
        let tag = end.max(virtual_time);
        *end = tag + units;
        *waiting += 1;
        QueueTicket { queue: name, session, units, tag }
    }

    /// Its first attempt left: virtual time is there.
    pub(crate) fn sent(&mut self, queue_ticket: QueueTicket) {
        if let Some(queue) = self.queues.get_mut(&queue_ticket.queue) {
            queue.virtual_time = queue.virtual_time.max(queue_ticket.tag);
        }
        self.remove(&queue_ticket, 0.0);
    }

    /// It ended without an attempt. What was never served isn't charged: else a session whose requests were all given up
    /// would stand behind the others for as long as it would have taken to serve them.
    pub(crate) fn cancelled(&mut self, queue_ticket: QueueTicket) {
        self.remove(&queue_ticket, queue_ticket.units);
    }

    /// The session ended, all its tickets were returned: against sessions that come and go while virtual time stands
    /// still, since each newcomer starts where it stands.
    pub(crate) fn session_closed(&mut self, session: u32) {
        for queue in self.queues.values_mut() {
            if queue.sessions.get(&session).is_some_and(|(_, waiting)| *waiting == 0) {
                queue.sessions.remove(&session);
            }
        }
    }

    fn remove(&mut self, queue_ticket: &QueueTicket, back: f64) {
        let Some(queue) = self.queues.get_mut(&queue_ticket.queue) else { return };
        queue.waiting -= 1;
        let virtual_time = queue.virtual_time;
        if let Some((end, waiting)) = queue.sessions.get_mut(&queue_ticket.session) {
            *waiting -= 1;
            *end -= back;
            if *waiting == 0 && *end <= virtual_time {
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
