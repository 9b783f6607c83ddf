//! Block `overrides`: where operators' overrides are kept and how many there may be.

use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::path::PathBuf;

/// `overrides { ... }`: operators' overrides. Without the block the host takes none.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OverridesBlock {
    /// File that keeps them.
    pub store: PathBuf,
    /// Socket by which operators reach the host.
    pub admin: PathBuf,
    /// Overrides that may be set at a time.
    #[serde(rename = "most", default = "default_max_overrides")]
    pub max_overrides: usize,
    /// Fraction of a zone's nodes that may be out of service without force.
    #[serde(rename = "zone_part", default = "default_max_zone_fraction")]
    pub max_zone_fraction: f64,
}

fn default_max_overrides() -> usize {
    20_000
}

fn default_max_zone_fraction() -> f64 {
    0.5
}

impl OverridesBlock {
    pub(crate) fn check(&self, document: &Document) -> Result<(), ConfigError> {
        let checks = BlockChecks::new(document, "overrides");
        checks.whole_number("most", self.max_overrides as u64, 1..=1_000_000)?;
        checks.number("zone_part", self.max_zone_fraction, 0.0..=1.0)
    }
}
