//! What waits at a shard, and who is served next there.

use super::ServiceRate;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What waits at a shard waits by volume and traffic class.
pub type QueueId = (VolumeId, TrafficClassId);

/// Where a request joins its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEnd {
    /// Before all others: a retry.
    Front,
    /// After all others: a new request.
    Back,
}

/// The order in which requests are sent; the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Score {
    /// Of the traffic class, the tighter first.
    pub rank: usize,
    /// Beyond the volume's reservation.
    pub is_best_effort: bool,
    /// By weighted fair queueing.
    pub start_tag: f64,
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

/// How a request that is sent counts.
#[derive(Clone, Copy, Debug)]
pub struct SendTerms {
    /// The concurrency limit is what holds requests back.
    pub at_limit: bool,
    /// What its volume is charged in fair queueing; none: nothing.
    pub weighted_cost: Option<f64>,
    /// Keys that are remembered of a shard.
    pub recent_keys: usize,
}

/// The part of the data that one node holds.
#[derive(Default)]
pub struct Shard {
    /// Requests that wait here; some may have left meanwhile.
    pub queues: BTreeMap<QueueId, VecDeque<RequestId>>,
    /// Requests that can't meet their latency objective any more.
    pub late_requests: VecDeque<RequestId>,
    /// Nodes that were listed for it.
    pub nodes: BTreeSet<NodeId>,
    /// Start tag of each volume's next request.
    pub start_tags: BTreeMap<VolumeId, f64>,
    /// The start tag of the request that was last sent.
    pub virtual_time: f64,
    /// Of what was done here for this host.
    pub service_rate: ServiceRate,
    recent_keys: VecDeque<KeyId>,
}

/// Start-time fair queueing: virtual time stands at the last start, so nothing is saved while idle.
impl Shard {
    /// The start tag of the volume's next request.
    pub fn start_tag(&self, volume: VolumeId) -> f64 {
        self.start_tags.get(&volume).copied().unwrap_or(0.0).max(self.virtual_time)
    }

    /// Moves virtual time on to the request that is sent, and the volume's tag by its weighted cost.
    pub fn charge(&mut self, volume: VolumeId, cost: f64) {
        self.virtual_time = self.start_tag(volume);
        self.start_tags.insert(volume, self.virtual_time + cost);
    }

    /// First of a queue, past those that no longer wait here.
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
