//! What is true of a deployment: the first line of a trace.

use serde::{Deserialize, Serialize};

/// Whether a request of a traffic class may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectKind {
    /// It may.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Nodes of all zones discard a repeat of the same idempotency key.
    #[serde(rename = "keyed_all")]
    IdempotentByKeyAll,
    /// Nodes of one zone do.
    #[serde(rename = "keyed_zone")]
    IdempotentByKeyZone,
    /// Nodes of one shard do.
    #[serde(rename = "keyed_shard")]
    IdempotentByKeyShard,
    /// It may not.
    #[serde(rename = "unrepeatable")]
    NonIdempotent,
}

/// A traffic class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficClassFacts {
    /// Its name.
    pub name: String,
    /// Time within which an answer earns its full worth.
    #[serde(rename = "slo_us")]
    pub latency_objective_us: u64,
    /// Whether a request may run twice.
    pub effect: EffectKind,
    /// For idempotent by key ones: how long nodes know a key.
    pub window_us: u64,
    /// Whether requests of one order key run in the order in which they were received.
    pub in_order: bool,
}

/// A volume with its plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VolumeFacts {
    /// Its number.
    pub volume: u32,
    /// Name of its plan.
    pub plan: String,
    /// Units a second that are admitted in the long run; 0: no limit.
    pub limit: f64,
    /// Units that may be admitted at once.
    pub burst: f64,
    /// Units by which all hosts together may go beyond limit and burst.
    pub slack: f64,
    /// Bytes of an extent: a command is as many requests as it touches extents. 0: not known.
    #[serde(default)]
    pub extent_bytes: u64,
}

/// What is true of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Its traffic classes, by index.
    #[serde(rename = "streams")]
    pub traffic_classes: Vec<TrafficClassFacts>,
    /// Its volumes.
    pub volumes: Vec<VolumeFacts>,
    /// Bytes in a unit.
    pub unit_bytes: u32,
    /// Units of the largest request.
    #[serde(rename = "most_units")]
    pub max_units: f64,
    /// Final answers (rule 1): time after the deadline within which an answer still counts.
    pub answer_slack_us: u64,
    /// Drains (rule 3): time after the notification of a drain within which a node may still be sent attempts.
    pub grace_us: u64,
    /// Slow start (rule 4): how many times its present capacity a node bears over the window.
    #[serde(rename = "cold_multiple")]
    pub slow_start_multiple: f64,
    /// Slow start (rule 4): the window.
    #[serde(rename = "cold_window_us")]
    pub slow_start_window_us: u64,
    /// Slow start (rule 4): units within the window that never hurt a node.
    #[serde(rename = "cold_safe_units")]
    pub slow_start_safe_units: f64,
    /// Order of a key (rule 5): pause of an order key after an attempt that may still be running.
    pub settle_us: u64,
    /// Retry budget (rule 6), where there is one: free retries, their share of the requests received, and the window in microseconds.
    #[serde(rename = "further")]
    pub retry_budget: Option<(f64, f64, u64)>,
    /// How far apart in time two ends of a socket may see the same event.
    pub skew_us: u64,
}
