//! Requests that were rejected, by which a client's later try is recognised.

use super::request::Request;
use crate::interface::{Instant, KeyId, ShardId, TimeDelta, TrafficClassId, VolumeId};
use std::collections::{HashMap, VecDeque};

/// What a request asks for: its client's later try asks for the same.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint {
    /// As requested.
    pub volume: VolumeId,
    /// As requested.
    pub class: TrafficClassId,
    /// As requested.
    pub key: Option<KeyId>,
    /// As requested; none where any node can serve it.
    pub shard: Option<ShardId>,
    /// The bits of the number of units.
    pub unit_bits: u64,
}

/// A request that got its final answer without being done, rejected or failed.
pub struct RejectedRequest {
    /// When its latency objective ends.
    pub objective_at: Instant,
    /// Time that its client gave it.
    pub time_left: TimeDelta,
    /// Until when it is remembered.
    pub expires_at: Instant,
}

impl RejectedRequest {
    /// Of a request whose deadline was `margin` before its client's.
    pub fn new(request: &Request, margin: TimeDelta, expires_at: Instant) -> Self {
        let time_left = request.deadline + margin - request.arrived_at;
        RejectedRequest { objective_at: request.objective_at, time_left, expires_at }
    }
}

/// The requests that were rejected or failed in the last few seconds.
#[derive(Default)]
pub struct RejectedRequests {
    by_fingerprint: HashMap<RequestFingerprint, VecDeque<RejectedRequest>>,
    expiries: VecDeque<(Instant, RequestFingerprint)>,
}

impl RejectedRequests {
    /// Remembers a request.
    pub fn insert(&mut self, fingerprint: RequestFingerprint, rejected: RejectedRequest) {
        self.expiries.push_back((rejected.expires_at, fingerprint));
        self.by_fingerprint.entry(fingerprint).or_default().push_back(rejected);
    }

    /// When the latency objective ends that began with an earlier try, if this is a later one.
    pub fn original_objective(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        time_left: TimeDelta,
    ) -> Option<Instant> {
        self.expire(now);
        let earlier = self.by_fingerprint.get_mut(&fingerprint)?;
        let index = earlier.iter().position(|rejected| time_left < rejected.time_left)?;
        earlier.remove(index).map(|rejected| rejected.objective_at)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((_, expired)) = self.expiries.pop_front_if(|(expires_at, _)| *expires_at <= now) {
            let Some(list) = self.by_fingerprint.get_mut(&expired) else { continue };
            list.retain(|rejected| rejected.expires_at > now);
            if list.is_empty() {
                self.by_fingerprint.remove(&expired);
            }
        }
    }
}
