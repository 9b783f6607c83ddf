//! Block `overrides`: the store and the bounds of operators' overrides.

use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::path::PathBuf;

/// `overrides { ... }`: the store and the bounds of operators' overrides. Without the block, the host accepts none.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OverridesBlock {
    /// File of the host's store.
    pub store: PathBuf,
    /// Path of the host's admin socket.
    pub admin: PathBuf,
    /// Maximum number of overrides that are set at a time.
    #[serde(rename = "most", default = "default_max_overrides")]
    pub max_overrides: usize,
    /// Maximum fraction of a zone's nodes that overrides may take out of service unless they are forced.
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
