//! The settings that a host core needs beside those of its scheduler.

use tackmast::interface::TimeDelta;
use tackmast_config::TrafficClass;

/// Settings of a host core that the scheduler does not have, whichever kind of work the host accepts.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// The traffic classes.
    pub traffic_classes: Vec<TrafficClass>,
    /// Whether nodes report what they served through other hosts.
    pub reports_peer_service: bool,
    /// The longest wait that a rejected client is advised.
    pub max_retry_after: TimeDelta,
    /// How long a node that drains is waited for.
    pub drain_grace: TimeDelta,
    /// Requests that may be open.
    pub max_requests: usize,
    /// Bytes that they may hold.
    pub max_bytes: usize,
    /// Nodes that may be known.
    pub max_nodes: usize,
    /// Names of volumes in requests for objects that may be known.
    pub max_volumes: usize,
}
