//! Block `cold_nodes`: the slow start of nodes (rule 4).

use crate::checks::{BlockChecks, DAY_S};
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `cold_nodes { ... }`: the load that a node can take after a start (rule 4), for `Scheduler::set_slow_start`.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SlowStartBlock {
    /// Number of units within the window, from all hosts together, that never overload a node.
    pub safe_units: f64,
    /// Fraction of its capacity that a node has at its start.
    pub from: f64,
    /// Time that a node takes to reach its full capacity.
    #[serde(rename = "warm_s")]
    pub ramp_s: f64,
    /// Time over which `safe_units` are counted.
    pub window_s: f64,
    /// Multiple of its current capacity that a node can always take.
    pub multiple: f64,
    /// Maximum fraction of its work that a node can save on data that it has recently served.
    #[serde(default = "default_saved")]
    pub saved: f64,
}

fn default_saved() -> f64 {
    1.0
}

impl SlowStartBlock {
    pub(crate) fn check(&self, document: &Document) -> Result<(), ConfigError> {
        let checks = BlockChecks::new(document, "cold_nodes");
        checks.number("safe_units", self.safe_units, 0.0..=1e12)?;
        checks.number("from", self.from, 0.001..=1.0)?;
        checks.number("warm_s", self.ramp_s, 0.0..=DAY_S)?;
        checks.number("window_s", self.window_s, 0.001..=DAY_S)?;
        checks.number("multiple", self.multiple, 0.0..=1e6)?;
        checks.number("saved", self.saved, 0.0..=1.0)
    }
}
