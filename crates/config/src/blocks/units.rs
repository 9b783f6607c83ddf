//! Block `units`: how the size of a request is counted.

use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `units { ... }`: how the size of a request is counted.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Units {
    /// Bytes in a unit. A request counts as at least one unit.
    pub bytes: u32,
    /// Units of the largest request. A longer command counts as this many.
    #[serde(rename = "most")]
    pub max_per_request: f64,
    /// Mean number of units of a request.
    #[serde(rename = "mean")]
    pub mean_per_request: f64,
}

impl Units {
    pub(crate) fn check(&self, document: &Document) -> Result<(), ConfigError> {
        let checks = BlockChecks::new(document, "units");
        checks.whole_number("bytes", u64::from(self.bytes), 1..=8 << 20)?;
        checks.number("most", self.max_per_request, 1.0..=1e9)?;
        checks.number("mean", self.mean_per_request, 1e-3..=self.max_per_request)
    }
}
