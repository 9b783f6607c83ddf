//! Block `plans`: changes of plans while hosts run.

use super::{Identity, OverridesBlock};
use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;
use std::collections::BTreeMap;

/// `plans { ... }`: changes of plans while hosts run. Without the block, the plans are always those of these settings.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlansBlock {
    /// Number of the host that accepts changes if there is no consensus on them.
    #[serde(default)]
    pub home: u32,
    /// Time from the acknowledgement of a change until all hosts use it.
    #[serde(default = "default_settle_s")]
    pub settle_s: f64,
    /// Declared capacity of a shard's node, in units per second.
    pub node_units: f64,
    /// Declared capacity of nodes that differs from `node_units`, by the number of their shard.
    #[serde(default)]
    pub bears: BTreeMap<String, f64>,
}

fn default_settle_s() -> f64 {
    5.0
}

impl PlansBlock {
    /// Reads and checks the block. Returns `None` if it is missing.
    pub(crate) fn read(
        document: &Document,
        host: &Identity,
        overrides: Option<&OverridesBlock>,
    ) -> Result<Option<PlansBlock>, ConfigError> {
        let Some(block) = document.optional_block::<PlansBlock>("plans")? else { return Ok(None) };
        let checks = BlockChecks::new(document, "plans");
        block.check(&checks, host)?;
        if overrides.is_none() {
            let expected = "one: its store keeps the change log of plans";
            return Err(checks.block_error("no overrides block", expected));
        }
        Ok(Some(block))
    }

    fn check(&self, checks: &BlockChecks, host: &Identity) -> Result<(), ConfigError> {
        checks.whole_number("home", u64::from(self.home), 0..=u64::from(host.hosts) - 1)?;
        checks.number("settle_s", self.settle_s, 0.1..=3600.0)?;
        checks.number("node_units", self.node_units, 0.0..=1e12)?;
        for (shard, units) in &self.bears {
            checks.number("bears", *units, 0.0..=1e12)?;
            if shard.parse::<u32>().is_err() {
                return Err(checks.error("bears", format!("{shard:?}"), "numbers of shards as names"));
            }
        }
        Ok(())
    }
}
