//! What a node is started with.

use super::IdempotencyKeys;
use crate::model::NodeBehavior;
use crate::store::Store;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tackmast_trace::Recorder;

/// Bytes of one attempt at most, where a test or measurement names no bound.
const DEFAULT_MAX_DATA: usize = 1 << 20;
/// How often the load report is renewed there.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Seconds for which a key is known there.
const DEFAULT_WINDOW_S: f64 = 5.0;

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

impl NodeSettings {
    /// A node on any port of loopback that has been up for long and shares neither keys nor bytes with other nodes.
    pub fn on_loopback(shard: u32, recorder: Recorder) -> NodeSettings {
        NodeSettings {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            shard,
            zone: 0,
            behavior: NodeBehavior::default(),
            seed: 1,
            max_data: DEFAULT_MAX_DATA,
            report_every: DEFAULT_REPORT_INTERVAL,
            idempotency_keys: Arc::default(),
            window_s: DEFAULT_WINDOW_S,
            has_just_started: false,
            store: Arc::default(),
            receive_bytes: 0,
            advertised_address: None,
            recorder,
        }
    }
}
