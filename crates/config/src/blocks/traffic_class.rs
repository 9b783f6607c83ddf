//! Blocks `stream`: traffic classes.

use super::Identity;
use crate::checks::{BlockChecks, DAY_MS, DAY_S};
use crate::{ConfigError, Document};
use serde::Deserialize;
use tackmast::interface::{DedupScope, Effect, TimeDelta};

/// Shortest time in milliseconds between the arrival of a request and the latest time at which its answer can leave.
const MIN_TIME_TO_ANSWER_MS: f64 = 10.0;

/// `stream "name" { ... }`: the requests with one latency objective, deadline and effect.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficClass {
    /// The label of the block.
    pub name: String,
    /// Time within which an answer earns its full worth.
    pub latency_objective: TimeDelta,
    /// Time after which an answer is worth nothing, unless the client negotiates its own.
    pub deadline: TimeDelta,
    /// The effect of running a request more than once.
    pub effect: Effect,
    /// Whether requests of one order key run in the order in which they were received.
    pub in_order: bool,
    /// Number of blocks that share one order key; `None`: those of an extent.
    pub order_blocks: Option<u64>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct TrafficClassBlock {
    #[serde(rename = "slo_ms")]
    latency_objective_ms: f64,
    #[serde(rename = "expiry_ms")]
    deadline_ms: f64,
    effect: EffectName,
    #[serde(default)]
    group: DedupGroup,
    window_s: Option<f64>,
    #[serde(default)]
    in_order: bool,
    order_blocks: Option<u64>,
}

#[derive(Debug, Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum EffectName {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "keyed")]
    IdempotentByKey,
    #[serde(rename = "unrepeatable")]
    NonIdempotent,
}

/// The nodes that discard repeated requests with the same idempotency key.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Default)]
#[serde(rename_all = "lowercase")]
enum DedupGroup {
    #[default]
    All,
    Zone,
    Shard,
}

impl DedupGroup {
    fn scope(self) -> DedupScope {
        match self {
            DedupGroup::All => DedupScope::All,
            DedupGroup::Zone => DedupScope::Zone,
            DedupGroup::Shard => DedupScope::Shard,
        }
    }
}

impl TrafficClass {
    /// Reads and checks all traffic classes.
    pub(crate) fn read_all(document: &Document, host: &Identity) -> Result<Vec<TrafficClass>, ConfigError> {
        let blocks = document.labelled_blocks::<TrafficClassBlock>("stream")?;
        blocks
            .into_iter()
            .map(|block| {
                let checks = BlockChecks::labelled(document, "stream", &block.label);
                block.value.check_times(&checks, host)?;
                let effect = block.value.effect(&checks)?;
                block.value.check_order(&checks)?;
                Ok(block.value.traffic_class(block.label.clone(), effect))
            })
            .collect()
    }
}

impl TrafficClassBlock {
    fn check_times(&self, checks: &BlockChecks, host: &Identity) -> Result<(), ConfigError> {
        let min_deadline_ms = host.answer_lead_ms + MIN_TIME_TO_ANSWER_MS;
        checks.number("slo_ms", self.latency_objective_ms, 0.1..=DAY_MS)?;
        checks.number("expiry_ms", self.deadline_ms, min_deadline_ms..=DAY_MS)?;
        checks.number("window_s", self.window_s.unwrap_or(0.0), 0.0..=DAY_S)
    }

    fn effect(&self, checks: &BlockChecks) -> Result<Effect, ConfigError> {
        match (self.effect, self.window_s) {
            (EffectName::Idempotent, _) => Ok(Effect::Idempotent),
            (EffectName::NonIdempotent, _) => Ok(Effect::NonIdempotent),
            (EffectName::IdempotentByKey, Some(window_s)) => Ok(Effect::IdempotentByKey {
                scope: self.group.scope(),
                window: TimeDelta::from_secs(window_s),
            }),
            (EffectName::IdempotentByKey, None) => Err(checks.error(
                "window_s",
                "missing",
                "the seconds for which nodes keep an idempotency key",
            )),
        }
    }

    fn check_order(&self, checks: &BlockChecks) -> Result<(), ConfigError> {
        match self.order_blocks {
            Some(0) => Err(checks.error("order_blocks", 0, "1 block or more")),
            _ => Ok(()),
        }
    }

    fn traffic_class(&self, name: String, effect: Effect) -> TrafficClass {
        TrafficClass {
            name,
            latency_objective: TimeDelta::from_secs(self.latency_objective_ms / 1e3),
            deadline: TimeDelta::from_secs(self.deadline_ms / 1e3),
            effect,
            in_order: self.in_order,
            order_blocks: self.order_blocks,
        }
    }
}
