//! The block `day`: what holds for the whole scenario.

use super::invalid_value::InvalidValue;
use serde::Deserialize;
use tackmast_invariants::RULE_COUNT;

/// Seconds that a scenario may last.
const SECONDS_RANGE: std::ops::RangeInclusive<f64> = 0.1..=3600.0;
/// Hosts that a scenario may have.
const HOST_COUNT_RANGE: std::ops::RangeInclusive<u32> = 1..=64;
/// Protocol periods of membership that a scenario may set, in milliseconds.
const PERIOD_MS_RANGE: std::ops::RangeInclusive<f64> = 20.0..=10_000.0;
/// Numbers of the invariants.
const INVARIANT_RANGE: std::ops::RangeInclusive<u8> = 1..=RULE_COUNT;

/// `day { ... }`
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioBlock {
    /// Length of the scenario in seconds.
    pub seconds: f64,
    /// Number of hosts.
    pub hosts: u32,
    /// Seed of everything that is random.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Milliseconds that a node may still get new attempts after its drain was announced.
    #[serde(default = "default_drain_grace_ms")]
    pub drain_grace_ms: f64,
    /// Milliseconds by which a client may see an answer after its deadline.
    #[serde(default = "default_tolerance_ms")]
    pub answer_slack_ms: f64,
    /// Milliseconds by which records of the two ends of a socket may differ.
    #[serde(default = "default_tolerance_ms")]
    pub skew_ms: f64,
    /// File beside the script; its blocks apply where the script has none of their kind.
    pub base: Option<std::path::PathBuf>,
    /// Numbers of the invariants that the scenario must exercise; otherwise it fails.
    #[serde(default)]
    pub exercises: Vec<u8>,
    /// Whether the hosts run the membership protocol.
    #[serde(default)]
    pub members: bool,
    /// Minimum share of requests that must be done at their first attempt.
    #[serde(default, rename = "least_done")]
    pub min_done: f64,
    /// Number of sites over which hosts are spread, neighbours together; 0: hosts name no site.
    #[serde(default)]
    pub sites: u32,
    /// Protocol period of membership in milliseconds.
    #[serde(default = "default_period_ms")]
    pub period_ms: f64,
    /// Periods after the last fault within which the view must have settled; 0: not checked.
    #[serde(default)]
    pub settled_within: f64,
    /// Number of false deaths in the view that are tolerated.
    #[serde(default)]
    pub false_deaths: usize,
    /// Seconds within which all hosts must know of a node that drains or is gone, after any host was told; 0: not checked. For
    /// scenarios without network faults between hosts.
    #[serde(default, rename = "list_spreads_s")]
    pub list_dissemination_s: f64,
    /// Number of operators that read plans and change the weight of the first plan at random hosts. Their calls are checked
    /// for linearizability.
    #[serde(default)]
    pub operators: u32,
    /// Mean seconds between the calls of one operator.
    #[serde(default = "default_operators_pause_s")]
    pub operators_pause_s: f64,
}

fn default_seed() -> u64 {
    1
}

fn default_drain_grace_ms() -> f64 {
    250.0
}

fn default_tolerance_ms() -> f64 {
    50.0
}

fn default_period_ms() -> f64 {
    200.0
}

fn default_operators_pause_s() -> f64 {
    0.1
}

impl ScenarioBlock {
    /// Checks the ranges of the values.
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        let invalid = |key, found: String, expected: &str| Err(InvalidValue::new(key, found, expected));
        if !SECONDS_RANGE.contains(&self.seconds) {
            return invalid("seconds", self.seconds.to_string(), "a number from 0.1 to 3600");
        }
        if !HOST_COUNT_RANGE.contains(&self.hosts) {
            return invalid("hosts", self.hosts.to_string(), "1 to 64");
        }
        if self.sites > self.hosts {
            return invalid("sites", self.sites.to_string(), "at most as many as hosts");
        }
        if !PERIOD_MS_RANGE.contains(&self.period_ms) {
            return invalid("period_ms", self.period_ms.to_string(), "a number from 20 to 10000");
        }
        if let Some(number) = self.exercises.iter().find(|number| !INVARIANT_RANGE.contains(*number)) {
            let expected = format!("numbers of rules, 1 to {RULE_COUNT}");
            return invalid("exercises", number.to_string(), &expected);
        }
        Ok(())
    }

    /// The site of a host. Neighbours share a site; without sites there is none.
    pub(crate) fn site_of(&self, host: u32) -> Option<u32> {
        (self.sites > 0).then(|| host * self.sites / self.hosts)
    }
}
