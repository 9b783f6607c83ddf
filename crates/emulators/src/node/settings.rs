//! What a node is started with.

use super::IdempotencyKeys;
use crate::model::NodeBehavior;
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tackmast_trace::Recorder;

/// What a node is started with.
#[derive(Clone)]
pub struct NodeSettings {
    /// The address to listen at; port 0: any.
    pub address: SocketAddr,
    /// The shard that the node holds.
    pub shard: u32,
    /// The node's zone.
    pub zone: u32,
    /// How it serves.
    pub behavior: NodeBehavior,
    /// Seed of all that happens by chance.
    pub seed: u64,
    /// Bytes of one attempt at most.
    pub max_data: usize,
    /// How often the load report that answers carry is renewed.
    pub report_every: Duration,
    /// The idempotency keys that this node shares with others.
    pub idempotency_keys: Arc<IdempotencyKeys>,
    /// Seconds for which a key is known.
    pub window_s: f64,
    /// Whether the node has just started and warms up; else it has been up for long.
    pub has_just_started: bool,
    /// Its bytes. A successor of the same shard gets the store of the node that it replaces.
    pub store: Arc<Mutex<Store>>,
    /// Bytes that its sockets take while it does not read; 0: the system's default.
    pub receive_bytes: usize,
    /// The address at which others reach it, where that is not its own.
    pub advertised_address: Option<SocketAddr>,
    /// Where events are recorded.
    pub recorder: Recorder,
}
