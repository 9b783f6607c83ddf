//! Recent requests that were rejected or failed, by which a request that a client sends again is recognized.

use super::request::Request;
use crate::interface::{Instant, KeyId, ShardId, TimeDelta, TrafficClassId, VolumeId};
use crate::policy::retention::{MAX_REJECTED_REPEATS, MAX_REJECTED_REQUESTS};
use std::collections::{HashMap, VecDeque};

/// What a request asks for. A client that sends a rejected request again asks for the same.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint {
    /// Volume whose data is requested.
    pub volume: VolumeId,
    /// Traffic class of the request.
    pub class: TrafficClassId,
    /// Key of the request; `None` if it has none.
    pub key: Option<KeyId>,
    /// Shard of the request; `None` for a new object, which any node can take.
    pub shard: Option<ShardId>,
    /// The bits of the request's cost in units, which as a float has no hash.
    pub unit_bits: u64,
}

/// A request that got its final answer without being done, rejected or failed.
pub struct RejectedRequest {
    /// When the request's latency objective ends.
    pub objective_at: Instant,
    /// How long the client would have waited, counted from the arrival.
    pub time_left: TimeDelta,
    /// When the request is forgotten.
    pub expires_at: Instant,
}

impl RejectedRequest {
    /// Creates the record of a request whose deadline at this host was `margin` before its client's.
    pub fn new(request: &Request, margin: TimeDelta, expires_at: Instant) -> Self {
        let time_left = request.deadline + margin - request.arrived_at;
        RejectedRequest { objective_at: request.objective_at, time_left, expires_at }
    }
}

/// The requests that were rejected or failed lately (`REJECTED_REQUEST_RETENTION`), the last `MAX_REJECTED_REQUESTS` of
/// them, and of those that asked for the same the last `MAX_REJECTED_REPEATS`.
#[derive(Default)]
pub struct RejectedRequests {
    /// The requests that asked for the same, in the order in which they expire.
    by_fingerprint: HashMap<RequestFingerprint, VecDeque<RejectedRequest>>,
    /// An entry for each insertion, in the order in which they expire. The request may have been removed before.
    expiries: VecDeque<(Instant, RequestFingerprint)>,
}

impl RejectedRequests {
    /// Adds a request that got its final answer without being done. Requests must be added in the order in which they
    /// expire.
    pub fn insert(&mut self, fingerprint: RequestFingerprint, rejected: RejectedRequest) {
        self.expiries.push_back((rejected.expires_at, fingerprint));
        let same_requests = self.by_fingerprint.entry(fingerprint).or_default();
        same_requests.push_back(rejected);
        // A client that repeats a request whenever it is rejected would make each search of this queue longer.
        if same_requests.len() > MAX_REJECTED_REPEATS {
            same_requests.pop_front();
        }
        if self.expiries.len() > MAX_REJECTED_REQUESTS {
            self.remove_oldest();
        }
    }

    /// Returns the end of the latency objective of the earlier request that this one repeats, and removes that request.
    /// Returns `None` if no request that asked for the same is known, or none had more than `time_left`.
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
        while self.expiries.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_oldest();
        }
    }

    /// Removes the oldest entry of `expiries`, and its request if that is still there. The work does not depend on the
    /// number of requests that asked for the same: they are in the order in which they expire.
    fn remove_oldest(&mut self) {
        let Some((expires_at, fingerprint)) = self.expiries.pop_front() else { return };
        let Some(same_requests) = self.by_fingerprint.get_mut(&fingerprint) else { return };
        while same_requests.pop_front_if(|rejected| rejected.expires_at <= expires_at).is_some() {}
        if same_requests.is_empty() {
            self.by_fingerprint.remove(&fingerprint);
        }
    }

    /// Returns the number of requests that are kept.
    pub fn len(&self) -> usize {
        self.by_fingerprint.values().map(VecDeque::len).sum()
    }
}
