//! How requests come in and wait.

use super::request::Request;
use super::shard::QueueEnd;
use super::Scheduler;
use crate::interface::{Instant, NewRequest, RequestId, ShardId, TimeDelta};
use crate::state::Timer;

impl Scheduler {
    /// A client has sent a request.
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
    }

    fn new_request(&mut self, new: &NewRequest) -> Request {
        let now = self.now;
        let (in_order, latency_objective) = {
            let class = self.class(new.class);
            (class.in_order, class.latency_objective)
        };
        let mut request = Request::new(now, new, in_order);
        request.deadline = now + new.time_left - self.settings.deadline_margin;
        // A client's next try began its latency objective with its first: it asks for the same as one that was rejected, with less
        // time left. Little time left alone proves nothing, since some clients give little from the start.
        let first = self.rejected_requests.original_objective(now, request.fingerprint(), new.time_left);
        request.objective_at = first.unwrap_or(now + latency_objective);
        request
    }

    /// The place of the request that arrived last among those of its volume, traffic class and shard: before
    /// all of later tags. So a host's sessions share a volume; without tags the order of arrival holds.
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

    /// The tag of the request that goes before this one on its key. A request that took a place before it would wait for one that is
    /// far behind, and hold up the others.
    fn tag_of_key_predecessor(&self, id: RequestId, request: &Request) -> f64 {
        let key_queue = request.ordered_key.and_then(|key| self.key_queues.get(&key));
        let earlier = key_queue.and_then(|queue| queue.waiting.iter().rev().find(|other| **other != id));
        earlier.and_then(|other| self.requests.get(other)).map_or(f64::NEG_INFINITY, |other| other.tag)
    }

    /// Puts a waiting request into a queue of its shard; a new object first gets a shard.
    pub(super) fn enqueue(&mut self, id: RequestId, end: QueueEnd) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_waiting) else { return };
        let bound = if request.can_move() { None } else { request.shard };
        let Some(shard) = bound.or_else(|| self.place_new_object()) else {
            return self.unplaced_requests.push(id);
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.shard = Some(shard);
        self.timers.set(request.objective_at.max(self.now), Timer::Shard(shard));
        self.add_to_queue(id, shard, end);
        self.pending_shards.insert(shard);
    }

    /// Adds a request to its queue at a shard. A request that goes before all others takes a tag that is no later than theirs.
    fn add_to_queue(&mut self, id: RequestId, shard: ShardId, end: QueueEnd) {
        let Some(request) = self.requests.get(&id) else { return };
        let queues = &mut self.shards.entry(shard).or_default().queues;
        let queue = queues.entry((request.volume, request.class)).or_default();
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

    /// How long until then.
    pub(super) fn time_until(&self, at: Instant) -> TimeDelta {
        at - self.now
    }
}
