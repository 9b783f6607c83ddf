//! Block `cold_nodes`: the slow start of nodes (rule 4).

use crate::checks::{BlockChecks, DAY_S};
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `cold_nodes { ... }`: what a node in slow start bears (rule 4), as `Scheduler::set_slow_start` takes it.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SlowStartBlock {
    /// Units within the window, from all hosts, that never hurt a node.
    pub safe_units: f64,
    /// Fraction of its capacity that a node starts with.
    pub from: f64,
    /// How long a node takes to reach its full capacity.
    #[serde(rename = "warm_s")]
    pub ramp_s: f64,
    /// Time over which units are counted.
    pub window_s: f64,
    /// A node always bears this many times what it can do at the moment.
    pub multiple: f64,
    /// Part of its work that a node may save, at most, for a piece of data that it took lately.
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
