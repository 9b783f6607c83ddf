//! Blocks `plan`: limit, burst, reservation and weight of a volume.

use super::Units;
use crate::checks::BlockChecks;
use crate::{ConfigError, Document};
use serde::Deserialize;

/// `plan "name" { ... }`: the service that a volume is entitled to. Rates are in units per second, amounts in units.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The label of the block.
    pub name: String,
    /// Maximum rate in the long run; 0: no limit.
    pub limit: f64,
    /// Amount that may be admitted at once.
    pub burst: f64,
    /// Amount by which all hosts together may exceed limit and burst.
    pub slack: f64,
    /// Reserved rate, which is served before best effort.
    pub reserve: f64,
    /// Weight in sharing what the reservations leave, relative to the weights of other volumes.
    pub weight: f64,
    /// Fallback limit of a host whose lease has expired, if there is consensus on plans. `None` admits nothing in a plan that
    /// has a limit, and everything in a plan that has none.
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

    /// Returns whether the plan has a limit.
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
                format!("at least the largest request, {} units, as there is a limit", units.max_per_request);
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
