//! The block `nodes`: how emulated nodes behave.

use serde::Deserialize;
use tackmast_emulators::model::NodeBehavior;

/// `nodes "name" { ... }`: emulated nodes, one for each shard.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodesBlock {
    /// Shards, each of which gets a node.
    pub shards: Vec<u32>,
    /// Zone of the nodes.
    pub zone: u32,
    /// Cores of the node.
    pub cores: u32,
    /// Speed of a core, relative to 1.
    pub speed: f64,
    /// Milliseconds that one unit of work takes.
    pub unit_ms: f64,
    /// Requests that may wait.
    pub queue: usize,
    /// Share of its capacity that a node has right after its start.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Seconds until a node has its full capacity.
    #[serde(rename = "warm_s")]
    pub warm_up_s: f64,
    /// Load, as a multiple of its capacity, under which a node that warms up collapses.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Seconds over which that load is measured.
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
    /// Share of the work of writes that is done later, in flushes.
    #[serde(rename = "put_off")]
    pub write_back_fraction: f64,
    /// Seconds between flushes.
    #[serde(rename = "flush_s")]
    pub flush_interval_s: f64,
    /// Length of a pause, in milliseconds.
    pub pause_ms: f64,
    /// Mean seconds between pauses.
    #[serde(rename = "pause_every_s")]
    pub pause_interval_s: f64,
    /// Share of the work that a cached key saves.
    #[serde(rename = "saved")]
    pub cache_savings: f64,
    /// Keys that the cache holds.
    #[serde(rename = "remembers")]
    pub cached_keys: usize,
    /// Whether the node drops requests that were cancelled.
    #[serde(rename = "drops")]
    pub drops_cancelled: bool,
    /// Milliseconds between load reports.
    #[serde(rename = "report_ms")]
    pub report_interval_ms: u64,
    /// Whether the nodes have just started when the scenario begins.
    #[serde(rename = "cold")]
    pub has_just_started: bool,
    /// Receive buffer of its sockets, in bytes; 0 keeps the default of the system.
    pub receive_bytes: usize,
}

impl Default for NodesBlock {
    fn default() -> Self {
        let behavior = NodeBehavior::default();
        NodesBlock {
            shards: Vec::new(),
            zone: 0,
            cores: behavior.cores,
            speed: behavior.speed,
            unit_ms: behavior.unit_s * 1e3,
            queue: behavior.queue,
            initial_capacity: behavior.initial_capacity,
            warm_up_s: behavior.warm_up_s,
            overload_multiple: behavior.overload_multiple,
            overload_window_s: behavior.overload_window_s,
            write_back_fraction: behavior.write_back_fraction,
            flush_interval_s: behavior.flush_interval_s,
            pause_ms: behavior.pause_s * 1e3,
            pause_interval_s: behavior.pause_interval_s,
            cache_savings: behavior.cache_savings,
            cached_keys: behavior.cached_keys,
            drops_cancelled: behavior.drops_cancelled,
            report_interval_ms: 100,
            has_just_started: false,
            receive_bytes: 0,
        }
    }
}

impl NodesBlock {
    /// How the emulated node behaves.
    pub fn node_behavior(&self) -> NodeBehavior {
        NodeBehavior {
            cores: self.cores.max(1),
            unit_s: self.unit_ms / 1e3,
            speed: self.speed,
            queue: self.queue,
            initial_capacity: self.initial_capacity,
            warm_up_s: self.warm_up_s,
            overload_multiple: self.overload_multiple,
            overload_window_s: self.overload_window_s,
            write_back_fraction: self.write_back_fraction,
            flush_interval_s: self.flush_interval_s,
            pause_s: self.pause_ms / 1e3,
            pause_interval_s: self.pause_interval_s,
            cache_savings: self.cache_savings,
            cached_keys: self.cached_keys,
            drops_cancelled: self.drops_cancelled,
        }
    }
}
