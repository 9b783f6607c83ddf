//! What waits at a shard, and which volume is served next there, by start-time fair queueing.

use crate::interface::{KeyId, NodeId, RequestId, TrafficClassId, VolumeId};
use crate::policy::priority::Score;
use crate::policy::service_rate::ServiceRate;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Requests wait at a shard by volume and traffic class.
pub type QueueId = (VolumeId, TrafficClassId);

/// Where a request joins its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEnd {
    /// Before all others: a retry.
    Front,
    /// After all others: a new request.
    Back,
}

/// A request that may be sent now.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its place among the others.
    pub score: Score,
    /// What is sent.
    pub dispatch: Dispatch,
}

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// Which one.
    pub request: RequestId,
    /// Where to.
    pub node: NodeId,
    /// Within its volume's reservation.
    pub is_reserved: bool,
}

/// The part of the data that one node holds.
#[derive(Default)]
pub struct Shard {
    /// Requests that wait here; some may be over meanwhile.
    pub queues: BTreeMap<QueueId, VecDeque<RequestId>>,
    /// Requests that can't meet their latency objective any more.
    pub late_requests: VecDeque<RequestId>,
    /// Nodes that were listed for it.
    pub nodes: BTreeSet<NodeId>,
    /// Start tag of each volume's next request.
    pub start_tags: BTreeMap<VolumeId, f64>,
    /// The start tag of the request that was last sent.
    pub virtual_time: f64,
    /// What was served here for this host.
    pub service_rate: ServiceRate,
    recent_keys: VecDeque<KeyId>,
}

impl Shard {
    /// The start tag of the volume's next request. Virtual time stands at the last start, so a volume saves nothing up while idle.
    pub fn start_tag(&self, volume: VolumeId) -> f64 {
        self.start_tags.get(&volume).copied().unwrap_or(0.0).max(self.virtual_time)
    }

    /// Advances virtual time to the request that is sent, and the volume's tag by the request's weighted cost.
    pub fn charge(&mut self, volume: VolumeId, cost: f64) {
        self.virtual_time = self.start_tag(volume);
        self.start_tags.insert(volume, self.virtual_time + cost);
    }

    /// The first of a queue, after dropping those that no longer wait here.
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

    /// The head of a queue leaves it.
    pub fn pop_head(&mut self, id: QueueId) {
        if let Some(queue) = self.queues.get_mut(&id) {
            queue.pop_front();
        }
    }

    /// The first late request, after dropping those that no longer wait here.
    pub fn first_late(&mut self, is_waiting: impl Fn(RequestId) -> bool) -> Option<RequestId> {
        while self.late_requests.pop_front_if(|id| !is_waiting(*id)).is_some() {}
        self.late_requests.front().copied()
    }

    /// Records a piece of data that is asked for, among the last `max`; whether it is among them already.
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
