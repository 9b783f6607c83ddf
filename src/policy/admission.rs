//! How requests come in, wait, and get a final answer without being done.

use crate::interface::*;
use crate::state::*;

const REJECTED_REQUEST_MEMORY: f64 = 10.0; // seconds for which a later try is known by its first
/// Seconds, longer than any request waits, after which what is unused is forgotten.
pub(super) const IDLE_RETENTION: f64 = 30.0;
const MAX_IDLE_VOLUMES: usize = 512; // beyond which volumes that are unused are forgotten

impl Scheduler {
    /// A client has sent a request.
    pub fn request_arrived(&mut self, now: Instant, new: NewRequest) {
        self.volume_plan_changed(now, new.volume, new.plan);
        // Against a table that fills under new names. What was drawn long ago is back; new ones start drawn.
        if self.volumes.len() >= MAX_IDLE_VOLUMES && !self.volumes.contains_key(&new.volume) {
            let since = now - TimeDelta::from_secs(IDLE_RETENTION);
            forget_idle_volumes(&mut self.volumes, &mut self.shards, since);
        }
        let hosts = f64::from(new.hosts.max(1));
        let volume = self.volume_or_new(new.volume, new.plan, hosts);
        (volume.hosts, volume.last_request_at) = (volume.hosts.max(hosts), now);
        let class = &self.classes[new.class.0 as usize];
        let mut request = Request::new(now, &new, class.in_order);
        request.deadline = now + new.time_left - self.deadline_margin;
        // A client's later try began its latency objective with its first: it asks for the same as one that
        // was rejected, with less time left. Little time left alone proves nothing: some clients hurry.
        let first = self.rejected_requests.original_objective(now, request.fingerprint(), new.time_left);
        request.objective_at = first.unwrap_or(now + class.latency_objective);
        if let Some(key) = request.ordered_key {
            self.key_queues.entry(key).or_default().waiting.push_back(new.id);
        }
        self.timers.set(request.deadline, Timer::Deadline(new.id));
        self.requests.insert(new.id, request);
        self.retry_budget.record_request(now);
        self.enqueue(new.id, QueueEnd::Back);
    }

    /// The place of the request that arrived last among those of its volume, traffic class and shard: before
    /// all of later tags. So a host's sessions share a volume; without tags the order of arrival holds.
    pub fn request_tagged(&mut self, id: RequestId, tag: f64) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_waiting) else { return };
        // Not before an earlier one of its key: it would wait for one far behind, and others for it.
        let key_queue = request.ordered_key.and_then(|key| self.key_queues.get(&key));
        let earlier = key_queue.and_then(|queue| queue.waiting.iter().rev().find(|other| **other != id));
        let tag = earlier.and_then(|other| self.requests.get(other)).map_or(tag, |other| tag.max(other.tag));
        let shard = request.shard.and_then(|shard| self.shards.get_mut(&shard));
        if let Some(queue) = shard.and_then(|s| s.queues.get_mut(&(request.volume, request.class))) {
            if queue.pop_back_if(|last| *last == id).is_some() {
                let is_before = |other: &RequestId| self.requests.get(other).is_none_or(|r| r.tag <= tag);
                queue.insert(queue.partition_point(is_before), id);
            }
        }
        self.requests.entry(id).and_modify(|request| request.tag = tag);
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

    /// The final answer of a request that was not done: rejected where a retry is safe, failed otherwise.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, retry_after: Option<TimeDelta>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_over) else { return };
        let is_safe = match self.classes[request.class.0 as usize].effect {
            Effect::Idempotent | Effect::IdempotentByKey { scope: DedupScope::All, .. } => true,
            _ => request.first_effect.is_none(),
        };
        let retry_after = retry_after.map(|t| t.min(self.max_retry_after)).filter(|t| *t > TimeDelta::ZERO);
        self.decisions.push_back(match is_safe {
            true => Decision::Reject { request: id, retry_after },
            false => Decision::Fail { request: id },
        });
        let expires_at = self.now + TimeDelta::from_secs(REJECTED_REQUEST_MEMORY);
        let rejected = RejectedRequest::new(request, self.deadline_margin, expires_at);
        self.rejected_requests.insert(request.fingerprint(), rejected);
        self.finish(id);
    }
}
