//! What the invariant checker has to know of a deployment.

use tackmast::interface::{DedupScope, Effect};
use tackmast_config::{HostSettings, TrafficClass, Volume};
use tackmast_trace::{EffectKind, Facts, TrafficClassFacts, VolumeFacts};

fn microseconds(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// What holds in a deployment with such settings, and three tolerances in seconds: how late an answer may be seen, how long a
/// draining node may get new attempts, and how far the records of the two ends of a socket may differ.
pub fn facts(settings: &HostSettings, answer_slack_s: f64, drain_grace_s: f64, skew_s: f64) -> Facts {
    let slow_start = settings.slow_start.as_ref();
    let retry_budget = settings.retry_budget.as_ref();
    Facts {
        traffic_classes: settings.traffic_classes.iter().map(traffic_class_facts).collect(),
        volumes: settings.volumes.iter().map(|volume| volume_facts(volume, settings)).collect(),
        unit_bytes: settings.units.bytes,
        max_units: settings.units.max_per_request,
        answer_slack_us: microseconds(answer_slack_s),
        grace_us: microseconds(drain_grace_s),
        slow_start_multiple: slow_start.map_or(0.0, |slow_start| slow_start.multiple),
        slow_start_window_us: slow_start.map_or(0, |slow_start| microseconds(slow_start.window_s)),
        slow_start_safe_units: slow_start.map_or(f64::MAX, |slow_start| slow_start.safe_units),
        settle_us: microseconds(settings.load.settle_s),
        retry_budget: retry_budget.map(|budget| (budget.free, budget.share, microseconds(budget.window_s))),
        skew_us: microseconds(skew_s),
    }
}

fn traffic_class_facts(class: &TrafficClass) -> TrafficClassFacts {
    let (effect, window_s) = match class.effect {
        Effect::Idempotent => (EffectKind::Idempotent, 0.0),
        Effect::NonIdempotent => (EffectKind::NonIdempotent, 0.0),
        Effect::IdempotentByKey { scope, window } => {
            let kind = match scope {
                DedupScope::All => EffectKind::IdempotentByKeyAll,
                DedupScope::Zone => EffectKind::IdempotentByKeyZone,
                DedupScope::Shard => EffectKind::IdempotentByKeyShard,
            };
            (kind, window.secs())
        }
    };
    TrafficClassFacts {
        name: class.name.clone(),
        latency_objective_us: microseconds(class.latency_objective.secs()),
        effect,
        window_us: microseconds(window_s),
        in_order: class.in_order,
    }
}

fn volume_facts(volume: &Volume, settings: &HostSettings) -> VolumeFacts {
    let plan = &settings.plans[volume.plan as usize];
    VolumeFacts {
        volume: volume.lun,
        plan: plan.name.clone(),
        limit: plan.limit,
        burst: plan.burst,
        slack: plan.slack,
        extent_bytes: volume.extent_blocks * u64::from(volume.block_bytes),
    }
}
