//! Block `further_legs`: how many retries and hedged requests there may be (rule 6).

use crate::checks::{BlockChecks, DAY_S};
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `further_legs { ... }`: the retry budget (rule 6).
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Retries that any window may have.
    pub free: f64,
    /// Retries beyond that, as a share of the requests received in the window.
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
