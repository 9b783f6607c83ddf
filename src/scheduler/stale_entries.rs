//! Removal of entries that requests leave behind: timers, and places in queues behind a request that waits.
//!
//! A request that is over leaves its timers set until its deadline, which its client chooses, and its place in a queue until
//! the requests before it are over. Clients that send many requests with much time left would otherwise grow both without
//! bound. They are searched whenever their number may have doubled, so the work of one arrival stays small in the mean.

use super::request::{is_waiting_at, Request};
use super::shard::QueueId;
use super::Scheduler;
use crate::interface::{RequestId, ShardId};
use crate::policy::retention::{MIN_QUEUE_SEARCH, MIN_TIMER_SEARCH};
use crate::state::Timer;

impl Scheduler {
    /// Removes the timers that are no longer needed, if their number may have doubled since this was last done.
    pub(super) fn remove_stale_timers(&mut self) {
        if self.timers.len() < self.timer_search_size {
            return;
        }
        let (requests, key_queues) = (&self.requests, &self.key_queues);
        self.timers.retain(|_, timer| match timer {
            Timer::Deadline(id) => requests.get(&id).is_some_and(|request| !request.is_over),
            Timer::KeySettled(key) => key_queues.contains_key(&key),
            Timer::EndpointList => true,
            Timer::Shard(_) => false,
        });
        self.set_shard_timers();
        self.timer_search_size = MIN_TIMER_SEARCH.max(2 * self.timers.len());
    }

    /// Sets the timers of all shards again: at the ends of the latency objectives of waiting requests. The shards are checked
    /// now, which sets the timers of guards that hold requests.
    fn set_shard_timers(&mut self) {
        let now = self.now;
        let waits = |request: &&Request| request.is_waiting;
        for request in self.requests.values().filter(waits) {
            let Some(shard) = request.shard else { continue };
            self.pending_shards.insert(shard);
            if request.objective_at > now {
                self.timers.set(request.objective_at, Timer::Shard(shard));
            }
        }
    }

    /// Removes the requests that no longer wait from a queue, if they may be the greater part of it.
    pub(super) fn remove_stale_queue_entries(&mut self, shard: ShardId, id: QueueId) {
        let requests = &self.requests;
        let Some(queue) = self.shards.get_mut(&shard).and_then(|shard| shard.queues.get_mut(&id)) else {
            return;
        };
        if queue.len() >= MIN_QUEUE_SEARCH.max(2 * requests.len()) {
            queue.retain(|id: &RequestId| is_waiting_at(requests, *id, shard));
            queue.shrink_to(2 * queue.len());
        }
    }

    /// Returns the number of timers that are set, including some that are no longer needed.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Returns the number of places in the queues of all shards, including some of requests that no longer wait.
    pub fn queue_entry_count(&self) -> usize {
        self.shards.values().flat_map(|shard| shard.queues.values()).map(|queue| queue.len()).sum()
    }
}
