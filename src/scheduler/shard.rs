//! The queues of a shard, and its start-time fair queueing among volumes.

use crate::interface::{KeyId, NodeId, RequestId, TrafficClassId, VolumeId};
use crate::policy::priority::Score;
use crate::policy::service_rate::ServiceRate;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Names a queue of a shard: there is one for each volume and traffic class.
pub type QueueId = (VolumeId, TrafficClassId);

/// The end of a queue at which a request is added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEnd {
    /// Before all others, for a request that has waited in a queue before.
    Front,
    /// After all others, for a request that has just arrived.
    Back,
}

/// A request that may be sent now.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Rank among the candidates, the lowest first.
    pub score: Score,
    /// The request and its node.
    pub dispatch: Dispatch,
}

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// Request to be sent.
    pub request: RequestId,
    /// Node to which it is sent.
    pub node: NodeId,
    /// Whether the request is within its volume's reservation.
    pub is_reserved: bool,
}

/// A part of the data, which one node holds at a time, with the requests that wait for it.
#[derive(Default)]
pub struct Shard {
    /// Requests that wait here. Those that no longer wait are removed when they reach the front.
    pub queues: BTreeMap<QueueId, VecDeque<RequestId>>,
    /// Requests that can no longer meet their latency objective.
    pub late_requests: VecDeque<RequestId>,
    /// Nodes that the endpoint list has named for this shard and that are still in the table.
    pub nodes: BTreeSet<NodeId>,
    /// Start tag of each volume's next request, before it is raised to virtual time.
    pub start_tags: BTreeMap<VolumeId, f64>,
    /// Start tag of the last best-effort request that was sent.
    pub virtual_time: f64,
    /// Rate at which the shard was seen to serve this host.
    pub service_rate: ServiceRate,
    recent_keys: VecDeque<KeyId>,
}

impl Shard {
    /// Returns whether nothing is known of the shard: no list has named it lately, nothing waits, and nothing was sent or
    /// served.
    pub fn is_unknown(&self) -> bool {
        let has_requests = !self.queues.is_empty() || !self.late_requests.is_empty();
        let was_used = !self.start_tags.is_empty() || !self.recent_keys.is_empty();
        self.nodes.is_empty() && !has_requests && !was_used && self.service_rate.is_unknown()
    }

    /// Returns the start tag of the volume's next request. It is at least the virtual time, so that a volume does not
    /// accumulate credit while idle.
    pub fn start_tag(&self, volume: VolumeId) -> f64 {
        self.start_tags.get(&volume).copied().unwrap_or(0.0).max(self.virtual_time)
    }

    /// Advances virtual time to the start tag of the request that is sent, and the volume's start tag by `cost`, the
    /// request's units over its plan's weight.
    pub fn charge(&mut self, volume: VolumeId, cost: f64) {
        self.virtual_time = self.start_tag(volume);
        self.start_tags.insert(volume, self.virtual_time + cost);
    }

    /// Returns the first request of a queue, after removing those in front that no longer wait here. Removes the queue if it
    /// is empty.
    pub fn first_waiting(
        &mut self,
        id: QueueId,
        is_waiting: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        let queue = self.queues.get_mut(&id)?;
        while queue.pop_front_if(|id| !is_waiting(*id)).is_some() {}
        let first = queue.front().copied();
        if first.is_none() {
            self.queues.remove(&id);
        }
        first
    }

    /// Removes the head of a queue.
    pub fn pop_head(&mut self, id: QueueId) {
        if let Some(queue) = self.queues.get_mut(&id) {
            queue.pop_front();
        }
    }

    /// Returns the first late request, after removing those in front that no longer wait here.
    pub fn first_late(&mut self, is_waiting: impl Fn(RequestId) -> bool) -> Option<RequestId> {
        while self.late_requests.pop_front_if(|id| !is_waiting(*id)).is_some() {}
        self.late_requests.front().copied()
    }

    /// Records the key of a request that is sent, and keeps the last `max` distinct keys. Returns whether the key was among
    /// them already.
    pub fn record_key(&mut self, key: KeyId, max: usize) -> bool {
        let is_known = self.recent_keys.contains(&key);
        if !is_known {
            self.recent_keys.push_back(key);
            while self.recent_keys.len() > max {
                self.recent_keys.pop_front();
            }
        }
        is_known
    }
}
