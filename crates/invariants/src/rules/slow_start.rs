//! Slow start, "cold nodes" in reports (rule 4): all hosts together never overload a node that is still warming up.

use super::findings::Findings;
use super::{Rule, ROUNDING_UNITS};
use crate::index::{Attempt, Index, NodeGeneration};
use crate::report::RuleReport;
use std::collections::VecDeque;

/// Fraction of the work at a node that must come from hosts that were notified of its start, for the violation to be theirs.
const MIN_INFORMED_FRACTION: f64 = 2.0 / 3.0;

/// An attempt within the window.
struct WindowEntry {
    received_us: u64,
    units: f64,
    /// Whether its host was notified of the node's start.
    is_informed: bool,
}

pub(super) fn check(index: &Index) -> RuleReport {
    let mut findings = Findings::new(Rule::SlowStart, index);
    let starts_slowly =
        |generation: &&NodeGeneration| generation.initial_capacity < 1.0 && generation.warm_us > 0;
    for generation in index.generations.iter().filter(starts_slowly) {
        check_generation(index, generation, &mut findings);
    }
    findings.into_report()
}

fn check_generation(index: &Index, generation: &NodeGeneration, findings: &mut Findings) {
    let facts = &index.facts;
    let window_s = facts.slow_start_window_us as f64 / 1e6;
    let warm_up = generation.started_us..warm_up_end_us(index, generation);
    let mut window: VecDeque<WindowEntry> = VecDeque::new();
    let attempts = index.attempts.iter().filter(|attempt| attempt.node == generation.node);
    for attempt in attempts.filter(|attempt| warm_up.contains(&attempt.received_us)) {
        findings.checked += 1;
        let is_informed = host_knows_start(index, attempt, generation);
        let (received_us, units) = (attempt.received_us, attempt.units);
        window.push_back(WindowEntry { received_us, units, is_informed });
        while window
            .front()
            .is_some_and(|oldest| oldest.received_us + facts.slow_start_window_us < received_us)
        {
            window.pop_front();
        }
        let sent: f64 = window.iter().map(|entry| entry.units).sum();
        let informed: f64 = window.iter().filter(|entry| entry.is_informed).map(|entry| entry.units).sum();
        let bears = (facts.slow_start_multiple * capacity_at(generation, received_us) * window_s)
            .max(facts.slow_start_safe_units);
        if sent > bears + ROUNDING_UNITS && informed >= MIN_INFORMED_FRACTION * sent {
            let what = format!(
                "{sent:.1} units in {window_s} s, by hosts that knew of its start; it bears {bears:.1}"
            );
            findings.violated_by(attempt, what);
        }
    }
}

/// When the node has reached its full capacity, or started anew before.
fn warm_up_end_us(index: &Index, generation: &NodeGeneration) -> u64 {
    let later = index
        .generations
        .iter()
        .filter(|other| other.node == generation.node && other.started_us > generation.started_us);
    let next_start_us = later.map(|other| other.started_us).min().unwrap_or(u64::MAX);
    (generation.started_us + generation.warm_us).min(next_start_us)
}

/// Whether the host of the attempt was notified of the node's start.
fn host_knows_start(index: &Index, attempt: &Attempt, generation: &NodeGeneration) -> bool {
    let notifications = index.notifications_for(attempt).unwrap_or_default();
    notifications.iter().any(|notification| {
        notification.time_us <= attempt.received_us
            && notification.node_started_us > 0
            && notification.node_started_us + index.facts.skew_us >= generation.started_us
    })
}

/// Units a second that the node can do at a moment of its warm-up, which is linear.
fn capacity_at(generation: &NodeGeneration, time_us: u64) -> f64 {
    let elapsed = (time_us - generation.started_us) as f64 / generation.warm_us as f64;
    let warmth = generation.initial_capacity + (1.0 - generation.initial_capacity) * elapsed;
    generation.capacity * warmth
}
