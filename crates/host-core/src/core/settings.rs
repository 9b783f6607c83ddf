//! The settings of a host core beyond those of its scheduler.

use tackmast::interface::TimeDelta;
use tackmast_config::TrafficClass;

/// Settings of a host core that its scheduler does not have. They apply to block commands and object requests alike.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// The traffic classes.
    pub traffic_classes: Vec<TrafficClass>,
    /// Whether nodes report the units that they served through other hosts.
    pub reports_peer_service: bool,
    /// The longest retry-after of a rejection.
    pub max_retry_after: TimeDelta,
    /// How long after the notification of a drain attempts in flight may still reach the node.
    pub drain_grace: TimeDelta,
    /// The maximum number of open requests.
    pub max_requests: usize,
    /// The maximum total size of the data that open requests read or write, in bytes.
    pub max_bytes: usize,
    /// The maximum number of known nodes.
    pub max_nodes: usize,
    /// The maximum number of volume names of object requests that are known at a time.
    pub max_volumes: usize,
}
