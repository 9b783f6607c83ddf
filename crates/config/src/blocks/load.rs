//! Block `load`: properties of the nodes and clients of the pool.

use crate::checks::{BlockChecks, DAY_MS, DAY_S};
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `load { ... }`: properties of the nodes and clients of the pool.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Maximum number of attempts of one request.
    #[serde(rename = "most_legs")]
    pub max_attempts: u32,
    /// Longest time after which a rejection may ask the client to retry; 0: rejections give no time.
    pub longest_wait_s: f64,
    /// Pause of an order key after an attempt that may still be running (settle time).
    pub settle_s: f64,
    /// Time after the notification of a drain within which attempts in flight may still arrive at the node.
    pub drain_grace_ms: f64,
    /// Whether a node's load reports include the service that it gave to other hosts.
    #[serde(rename = "tells_others")]
    pub reports_peer_service: bool,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            max_attempts: 4,
            longest_wait_s: 2.0,
            settle_s: 1.0,
            drain_grace_ms: 250.0,
            reports_peer_service: true,
        }
    }
}

impl Load {
    pub(crate) fn check(&self, document: &Document) -> Result<(), ConfigError> {
        let checks = BlockChecks::new(document, "load");
        checks.whole_number("most_legs", u64::from(self.max_attempts), 1..=200)?;
        checks.number("longest_wait_s", self.longest_wait_s, 0.0..=DAY_S)?;
        checks.number("settle_s", self.settle_s, 0.0..=DAY_S)?;
        checks.number("drain_grace_ms", self.drain_grace_ms, 1.0..=DAY_MS)
    }
}
