//! Plans, volumes and traffic classes, and the fleet that they are checked against. Their fields are JSON keys in stored change
//! logs.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What each volume under this plan may use: rates in units per second, amounts in units.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The maximum rate of a volume, in units per second; 0 if there is no limit.
    pub limit: f64,
    /// The depth of the limit's token bucket, in units.
    pub burst: f64,
    /// The maximum amount by which a volume may be behind its reservation, in units.
    pub slack: f64,
    /// The reservation: the rate that is served first, in units per second.
    pub reserve: f64,
    /// The volume's relative share of the capacity beyond the reservations, above 0.
    pub weight: f64,
    /// The fallback limit, in units per second: a host whose lease has expired uses it, and no later limit may go below it before all
    /// hosts have stored a lower one. If missing, it is 0 for a plan with a limit, and unlimited for a plan without.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub floor: Option<f64>,
}

impl Plan {
    /// Returns the rate that a host may use while it can't know whether this plan still applies, in units per second; infinite if there
    /// is no fallback limit, in which case no change may set a limit.
    pub fn fallback_limit(&self) -> f64 {
        match (self.floor, self.limit > 0.0) {
            (Some(floor), _) => floor,
            (None, true) => 0.0,
            (None, false) => f64::INFINITY,
        }
    }
}

/// A volume: its plan, the shards of its data, and the hosts that serve it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Volume {
    /// The logical unit number, which is unique among volumes.
    pub lun: u32,
    /// The name of the volume's plan.
    pub plan: String,
    /// The size in blocks.
    pub blocks: u64,
    /// The size of an extent in blocks.
    pub extent_blocks: u64,
    /// The shards of the extents: extent `n` is on entry `n` modulo the number of entries.
    pub shards: Vec<u32>,
    /// The numbers of the hosts that serve the volume to clients.
    pub through: Vec<u32>,
    /// The name of the traffic class of its reads.
    pub reads: String,
    /// The name of the traffic class of its writes.
    pub writes: String,
}

/// A class of requests with the same latency objective and deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    /// The time within which a request should be answered, in milliseconds.
    #[serde(rename = "slo_ms")]
    pub latency_objective_ms: f64,
    /// The time after which an answer is of no use any more, in milliseconds.
    #[serde(rename = "expiry_ms")]
    pub deadline_ms: f64,
}

/// The hosts and nodes that changes of plans are checked against.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The number of hosts. Hosts are numbered from 0.
    pub hosts: u32,
    /// The cost of the largest request, in units.
    #[serde(rename = "most_units")]
    pub max_units: f64,
    /// The rate that the node of each shard can serve, in units per second, by shard.
    pub bears: BTreeMap<u32, f64>,
}
