//! No double effect (rule 2): no request takes effect twice, and no two attempts of a request are in flight at once.

use super::findings::Findings;
use super::{milliseconds, Rule};
use crate::index::{Attempt, Command, Index};
use crate::report::RuleReport;
use std::collections::{BTreeMap, HashMap};
use tackmast_trace::{AnswerKind, EffectKind, TrafficClassFacts};

pub(super) fn check(index: &Index) -> RuleReport {
    let mut findings = Findings::new(Rule::NoDoubleEffect, index);
    let mut attempts_by_command: HashMap<usize, Vec<&Attempt>> = HashMap::new();
    for attempts in index.requests.values() {
        let attempts: Vec<&Attempt> = attempts.iter().map(|attempt| &index.attempts[*attempt]).collect();
        let Some(traffic_class) =
            index.command_of(attempts[0]).and_then(|command| index.traffic_class(command))
        else {
            continue;
        };
        for (position, later) in attempts.iter().enumerate() {
            if let Some(command) = later.command {
                attempts_by_command.entry(command).or_default().push(later);
            }
            for earlier in &attempts[..position] {
                findings.checked += 1;
                check_not_at_once(index, earlier, later, &mut findings);
                check_retry_safe(index, traffic_class, earlier, later, &mut findings);
            }
        }
    }
    for (position, command) in index.commands.iter().enumerate() {
        let Some(traffic_class) = index.traffic_class(command) else { continue };
        if traffic_class.effect == EffectKind::Idempotent {
            continue;
        }
        let attempts = attempts_by_command.get(&position).map_or(&[][..], Vec::as_slice);
        check_rejection(command, attempts, &mut findings);
        check_effect_once(attempts, &mut findings);
    }
    findings.into_report()
}

/// An attempt is not sent while an earlier one is in flight.
fn check_not_at_once(index: &Index, earlier: &Attempt, later: &Attempt, findings: &mut Findings) {
    if earlier.host_outcome().time_us > later.received_us + index.facts.skew_us {
        let what = format!(
            "attempt {} arrived while attempt {} was out at {}",
            later.name.attempt, earlier.name.attempt, earlier.node
        );
        findings.violated_by(later, what);
    }
}

/// A request that may have run is not run again where that could take effect twice.
fn check_retry_safe(
    index: &Index,
    traffic_class: &TrafficClassFacts,
    earlier: &Attempt,
    later: &Attempt,
    findings: &mut Findings,
) {
    if earlier.never_ran() {
        return;
    }
    let earlier_attempt = earlier.name.attempt;
    let discards_repeat = match traffic_class.effect {
        EffectKind::Idempotent => return,
        EffectKind::NonIdempotent => {
            findings.violated_by(later, format!("unrepeatable, and attempt {earlier_attempt} may have run"));
            return;
        }
        EffectKind::IdempotentByKeyAll => true,
        EffectKind::IdempotentByKeyZone => zone(index, earlier) == zone(index, later),
        EffectKind::IdempotentByKeyShard => shard(index, earlier) == shard(index, later),
    };
    let elapsed_us = later.received_us.saturating_sub(earlier.received_us);
    if !discards_repeat {
        findings.violated_by(later, format!("outside the discard group of attempt {earlier_attempt}"));
    } else if elapsed_us > traffic_class.window_us + index.facts.skew_us {
        let what = format!(
            "{} ms after attempt {earlier_attempt}; nodes know marks for {}",
            milliseconds(elapsed_us),
            milliseconds(traffic_class.window_us)
        );
        findings.violated_by(later, what);
    }
}

fn zone(index: &Index, attempt: &Attempt) -> Option<u32> {
    index.node_generation(&attempt.node, attempt.received_us).map(|generation| generation.zone)
}

fn shard(index: &Index, attempt: &Attempt) -> Option<u32> {
    index.node_generation(&attempt.node, attempt.received_us).map(|generation| generation.shard)
}

/// A command that was rejected did not run. The client's next try has an idempotency key of its own, so that any run counts.
fn check_rejection(command: &Command, attempts: &[&Attempt], findings: &mut Findings) {
    let mut answers = command.answers.iter();
    let Some(rejection) = answers.find(|answer| answer.kind == AnswerKind::Rejected) else { return };
    findings.checked += 1;
    for attempt in attempts {
        if attempt.received_us <= rejection.time_us && !attempt.never_ran() {
            let (number, node) = (attempt.name.attempt, &attempt.node);
            let what = format!("rejected, and attempt {number} at {node} may have run");
            findings.violated_by_at(attempt, rejection.time_us, what);
        }
    }
}

/// Each part of a command has its effect once.
fn check_effect_once(attempts: &[&Attempt], findings: &mut Findings) {
    let mut effects: BTreeMap<u16, u32> = BTreeMap::new();
    for attempt in attempts {
        if !attempt.outcome.is_some_and(|outcome| outcome.had_effect) {
            continue;
        }
        let count = effects.entry(attempt.part).or_default();
        *count += 1;
        if *count > 1 {
            findings.violated_by(attempt, "its effect was had twice".into());
        }
    }
}
