//! Block `further_legs`: the bound of retries and hedged requests (rule 6).

use crate::checks::{BlockChecks, DAY_S};
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `further_legs { ... }`: the retry budget, which bounds retries and hedged requests (rule 6).
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Number of retries that are always allowed within a window.
    pub free: f64,
    /// Number of further retries, as a fraction of the requests received within the window.
    pub share: f64,
    /// Length of the window.
    pub window_s: f64,
}

impl RetryBudget {
    pub(crate) fn check(&self, document: &Document) -> Result<(), ConfigError> {
        let checks = BlockChecks::new(document, "further_legs");
        checks.number("free", self.free, 0.0..=1e9)?;
        checks.number("share", self.share, 0.0..=1e3)?;
        checks.number("window_s", self.window_s, 0.05..=DAY_S)
    }
}
