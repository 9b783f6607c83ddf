//! Arrival of requests, and the queues in which they wait.

use super::request::Request;
use super::shard::QueueEnd;
use super::Scheduler;
use crate::interface::{Instant, NewRequest, RequestId, ShardId, TimeDelta};
use crate::policy::retention::MIN_UNPLACED_SEARCH;
use crate::state::Timer;

impl Scheduler {
    /// Records a request that a client has sent, and queues it. Applies the request's plan to its volume if that differs.
    pub fn request_arrived(&mut self, now: Instant, new: NewRequest) {
        self.now = now;
        self.volume_plan_changed(now, new.volume, new.plan);
        self.forget_idle_volumes(new.volume);
        let host_count = f64::from(new.hosts.max(1));
        let volume = self.volume_or_new(new.volume, new.plan, host_count);
        volume.limit.raise_host_count(host_count);
        volume.last_request_at = now;
        let request = self.new_request(&new);
        if let Some(key) = request.ordered_key {
            self.key_queues.entry(key).or_default().waiting.push_back(new.id);
        }
        self.timers.set(request.deadline, Timer::Deadline(new.id));
        self.requests.insert(new.id, request);
        self.retry_budget.record_request(now);
        self.enqueue(new.id, QueueEnd::Back);
        self.remove_stale_timers();
    }

    fn new_request(&mut self, new: &NewRequest) -> Request {
        let now = self.now;
        let (in_order, latency_objective) = {
            let class = self.class(new.class);
            (class.in_order, class.latency_objective)
        };
        let mut request = Request::new(now, new, in_order);
        request.deadline = now + new.time_left - self.settings.deadline_margin;
        // A request that a client sends again after a rejection keeps the latency objective of the first one. It is
        // recognized by asking for the same as the rejected request with less time left. Little time left alone proves
        // nothing, since some clients allow little from the start.
        let original = self.rejected_requests.original_objective(now, request.fingerprint(), new.time_left);
        request.objective_at = original.unwrap_or(now + latency_objective);
        request
    }

    /// Moves the request that arrived last to its place by `tag` in its queue (volume, traffic class and shard): before
    /// all requests with a greater tag.
    ///
    /// The caller sets tags so that its sessions share a volume fairly. Requests without a tag have tag 0, and equal
    /// tags keep the order of arrival.
    pub fn request_tagged(&mut self, id: RequestId, tag: f64) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_waiting) else { return };
        let tag = tag.max(self.tag_of_key_predecessor(id, request));
        let shard = request.shard.and_then(|shard| self.shards.get_mut(&shard));
        if let Some(queue) = shard.and_then(|shard| shard.queues.get_mut(&(request.volume, request.class))) {
            if queue.pop_back_if(|last| *last == id).is_some() {
                let is_before =
                    |other: &RequestId| self.requests.get(other).is_none_or(|request| request.tag <= tag);
                queue.insert(queue.partition_point(is_before), id);
            }
        }
        self.requests.entry(id).and_modify(|request| request.tag = tag);
    }

    /// Returns the tag of the previous request on the same key, or negative infinity if there is none.
    ///
    /// A request placed before its predecessor on the key would wait for one further back in the queue, and delay the
    /// requests in between.
    fn tag_of_key_predecessor(&self, id: RequestId, request: &Request) -> f64 {
        let key_queue = request.ordered_key.and_then(|key| self.key_queues.get(&key));
        let predecessor = key_queue.and_then(|queue| queue.waiting.iter().rev().find(|other| **other != id));
        predecessor.and_then(|other| self.requests.get(other)).map_or(f64::NEG_INFINITY, |other| other.tag)
    }

    /// Adds a waiting request to a queue of its shard. Chooses the shard first if the request is for a new object.
    pub(super) fn enqueue(&mut self, id: RequestId, end: QueueEnd) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_waiting) else { return };
        let fixed_shard = if request.can_move() { None } else { request.shard };
        let Some(shard) = fixed_shard.or_else(|| self.place_new_object()) else {
            return self.add_unplaced(id);
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.shard = Some(shard);
        self.timers.set(request.objective_at.max(self.now), Timer::Shard(shard));
        self.add_to_queue(id, shard, end);
        self.pending_shards.insert(shard);
    }

    /// Adds a request for a new object that no node can take. Those that no longer wait are removed whenever their number may
    /// have doubled, since no change of the list may come for long.
    fn add_unplaced(&mut self, id: RequestId) {
        self.unplaced_requests.push(id);
        if self.unplaced_requests.len() >= MIN_UNPLACED_SEARCH.max(2 * self.requests.len()) {
            let requests = &self.requests;
            self.unplaced_requests.retain(|id| requests.get(id).is_some_and(|request| request.is_waiting));
        }
    }

    /// Adds a request to its queue at a shard. At the front it takes a tag no greater than that of the request behind it,
    /// so that the queue stays in order of tags.
    fn add_to_queue(&mut self, id: RequestId, shard: ShardId, end: QueueEnd) {
        let Some(request) = self.requests.get(&id) else { return };
        let (volume, class) = (request.volume, request.class);
        self.remove_stale_queue_entries(shard, (volume, class));
        let queues = &mut self.shards.entry(shard).or_default().queues;
        let queue = queues.entry((volume, class)).or_default();
        match end {
            QueueEnd::Back => queue.push_back(id),
            QueueEnd::Front => {
                let first = queue.front().and_then(|first| self.requests.get(first));
                let first_tag = first.map_or(f64::MAX, |first| first.tag);
                self.requests.entry(id).and_modify(|request| request.tag = request.tag.min(first_tag));
                queue.push_front(id);
            }
        }
    }

    /// Returns the time from now until `at`.
    pub(super) fn time_until(&self, at: Instant) -> TimeDelta {
        at - self.now
    }
}
