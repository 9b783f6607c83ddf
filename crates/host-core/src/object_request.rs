//! Object requests, which a host accepts beside block commands. The client names the volume, plan, traffic class, shard and key, and the
//! host decides only whether, when and to which node the request is sent. Its content is opaque to the host.

use bytes::Bytes;
use tackmast::interface::{PlanId, ShardId, TimeDelta, TrafficClassId};

/// The bytes that are written to a node, as encoded by the protocol. The connection adds the remaining time to each attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpaqueRequest {
    /// The bytes before the body.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

impl OpaqueRequest {
    /// Returns the total length of head and body, in bytes.
    pub fn bytes(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

/// A request for one object, with the attributes that the scheduler needs.
#[derive(Clone, Debug)]
pub struct ObjectRequest {
    /// The client's name for the volume.
    pub volume: u64,
    /// The plan of the volume.
    pub plan: PlanId,
    /// The traffic class.
    pub traffic_class: TrafficClassId,
    /// The shard that stores the object, or `None` for a new object, which any shard may store.
    pub shard: Option<ShardId>,
    /// The order key. Requests of ordered traffic classes that share it are sent in order.
    pub key: u64,
    /// The cost, in units.
    pub units: f64,
    /// The number of hosts that receive requests of the volume.
    pub hosts: u32,
    /// The time until its deadline.
    pub time_left: TimeDelta,
    /// The bytes for the node.
    pub payload: OpaqueRequest,
}
