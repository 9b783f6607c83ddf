//! Requests for objects: beside block commands, the second kind of work that a host accepts. The client itself names volume, plan,
//! traffic class, shard and key, and the host only decides whether and when the request is sent. What it makes the node do is opaque
//! here.

use bytes::Bytes;
use tackmast::interface::{PlanId, ShardId, TimeDelta, TrafficClassId};

/// What is written to a node, in the protocol's own bytes. Each attempt adds the time that is left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpaqueRequest {
    /// What precedes the body.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

impl OpaqueRequest {
    /// The length of both, in bytes.
    pub fn bytes(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

/// A request for one object, with all that the scheduler has to know of it.
#[derive(Clone, Debug)]
pub struct ObjectRequest {
    /// The client's name of the volume.
    pub volume: u64,
    /// The plan that the volume is under.
    pub plan: PlanId,
    /// Its traffic class.
    pub traffic_class: TrafficClassId,
    /// The shard that holds the object; none: a new object, for any shard.
    pub shard: Option<ShardId>,
    /// Orders requests that share it.
    pub key: u64,
    /// What it costs, in units.
    pub units: f64,
    /// Through how many hosts the volume's requests come.
    pub hosts: u32,
    /// The time until its deadline.
    pub time_left: TimeDelta,
    /// What is written to the node.
    pub payload: OpaqueRequest,
}
