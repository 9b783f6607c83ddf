//! Blocks `plan`: limit, burst, reservation and weight of volumes.

use super::Units;
use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `plan "name" { ... }`: units a second, and units.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The block's label.
    pub name: String,
    /// Units a second that are admitted in the long run; 0: no limit.
    pub limit: f64,
    /// Units that may be admitted at once.
    pub burst: f64,
    /// Units by which all hosts together may go beyond limit and burst.
    pub slack: f64,
    /// Units a second that are served first.
    pub reserve: f64,
    /// Share of what is left beyond reservations.
    pub weight: f64,
    /// Limit of a host past its lease, where there is consensus on plans; none: nothing of a limit, and all where there is
    /// none.
    pub floor: Option<f64>,
}

impl From<&Plan> for tackmast::interface::Plan {
    fn from(plan: &Plan) -> Self {
        let Plan { name: _, limit, burst, slack, reserve, weight, floor: _ } = *plan;
        tackmast::interface::Plan { limit, burst, slack, reserve, weight }
    }
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanBlock {
    #[serde(default)]
    limit: f64,
    #[serde(default)]
    burst: f64,
    #[serde(default)]
    slack: f64,
    #[serde(default)]
    reserve: f64,
    #[serde(default = "default_weight")]
    weight: f64,
    floor: Option<f64>,
}

fn default_weight() -> f64 {
    1.0
}

impl Plan {
    /// Reads and checks all plans.
    pub(crate) fn read_all(document: &Document, units: &Units) -> Result<Vec<Plan>, ConfigError> {
        let blocks = document.labelled_blocks::<PlanBlock>("plan")?;
        blocks
            .into_iter()
            .map(|block| {
                let checks = BlockChecks::labelled(document, "plan", &block.label);
                block.value.check(&checks, units)?;
                Ok(block.value.plan(block.label.clone()))
            })
            .collect()
    }

    /// Whether the plan has a limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.limit > 0.0
    }
}

impl PlanBlock {
    fn check(&self, checks: &BlockChecks, units: &Units) -> Result<(), ConfigError> {
        for (name, value) in
            [("limit", self.limit), ("burst", self.burst), ("slack", self.slack), ("reserve", self.reserve)]
        {
            checks.number(name, value, 0.0..=1e12)?;
        }
        checks.number("weight", self.weight, 1e-6..=1e6)?;
        if self.limit > 0.0 && self.burst < units.max_per_request {
            let expected =
                format!("at least the largest transfer, {} units, under a limit", units.max_per_request);
            return Err(checks.error("burst", self.burst, &expected));
        }
        Ok(())
    }

    fn plan(&self, name: String) -> Plan {
        Plan {
            name,
            limit: self.limit,
            burst: self.burst,
            slack: self.slack,
            reserve: self.reserve,
            weight: self.weight,
            floor: self.floor,
        }
    }
}
