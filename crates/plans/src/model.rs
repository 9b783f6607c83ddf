//! Plans, volumes and traffic classes, and the fleet that has to bear them. Their fields are JSON keys in stored change logs.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What each volume with this plan may use: rates in units a second, amounts in units.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Most that may be sent, units a second; 0: no limit.
    pub limit: f64,
    /// Depth of the limit's token bucket, units.
    pub burst: f64,
    /// How far behind its reservation a volume may be, units.
    pub slack: f64,
    /// The rate that is served first, units a second.
    pub reserve: f64,
    /// Share of what is beyond the reservations.
    pub weight: f64,
    /// The fallback limit, in units a second: a host whose lease has expired keeps to it, and no later limit goes below it before all hosts
    /// have stored a lower one. None: 0 where there is a limit, and no limit where there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub floor: Option<f64>,
}

impl Plan {
    /// The rate that a host may use while it can't know whether this plan still applies, in units a second; infinite where no change may
    /// set a limit.
    pub fn fallback_limit(&self) -> f64 {
        match (self.floor, self.limit > 0.0) {
            (Some(floor), _) => floor,
            (None, true) => 0.0,
            (None, false) => f64::INFINITY,
        }
    }
}

/// A volume: its plan, where its data lies and which hosts serve it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Volume {
    /// Its logical unit number, which no other volume has.
    pub lun: u32,
    /// Name of its plan.
    pub plan: String,
    /// Its size.
    pub blocks: u64,
    /// Size of an extent.
    pub extent_blocks: u64,
    /// The shard of extent `n` is entry `n` modulo their number.
    pub shards: Vec<u32>,
    /// Numbers of the hosts that it comes through.
    pub through: Vec<u32>,
    /// Name of the traffic class of its reads.
    pub reads: String,
    /// Name of the traffic class of its writes.
    pub writes: String,
}

/// Requests with one latency objective and deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    /// The time within which an answer earns its full worth.
    #[serde(rename = "slo_ms")]
    pub latency_objective_ms: f64,
    /// The time after which an answer is worth nothing.
    #[serde(rename = "expiry_ms")]
    pub deadline_ms: f64,
}

/// What changes of plans are checked against.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Number of hosts.
    pub hosts: u32,
    /// Units of the largest request.
    #[serde(rename = "most_units")]
    pub max_units: f64,
    /// Units a second that each shard's node can serve.
    pub bears: BTreeMap<u32, f64>,
}
