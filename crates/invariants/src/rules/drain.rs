//! Drains (rule 3): a node that drains or is gone, or that operators hold out of service, gets nothing new after the grace.

use super::findings::Findings;
use super::{milliseconds, Rule};
use crate::index::{Attempt, HostAndNode, Index};
use crate::report::RuleReport;
use std::collections::HashMap;
use tackmast_trace::ListedState;

/// When a host first sent each node an attempt.
type FirstUse = HashMap<HostAndNode, u64>;

pub(super) fn check(index: &Index) -> RuleReport {
    let mut findings = Findings::new(Rule::Drain, index);
    let mut first_use = FirstUse::new();
    for attempt in &index.attempts {
        first_use.entry(HostAndNode::of(attempt)).or_insert(attempt.received_us);
    }
    findings.checked = count_stops(index, &first_use);
    index.attempts.iter().for_each(|attempt| check_listed_state(index, attempt, &mut findings));
    index.attempts.iter().for_each(|attempt| check_override(index, attempt, &mut findings));
    findings.into_report()
}

/// How often a host was told not to send a node anything new, after it had sent it something.
fn count_stops(index: &Index, first_use: &FirstUse) -> usize {
    let is_used = |key: &HostAndNode, time_us: u64| first_use.get(key).is_some_and(|first| *first <= time_us);
    let by_list = index.notifications.iter().flat_map(|(key, notifications)| {
        notifications.iter().filter(move |notification| {
            notification.state != ListedState::Ready && is_used(key, notification.time_us)
        })
    });
    let by_override = index.overrides.iter().flat_map(|(key, overrides)| {
        overrides.iter().filter(move |change| change.out && is_used(key, change.time_us))
    });
    by_list.count() + by_override.count()
}

/// The time of a drain counts from the first notification since which the node was not ready.
fn check_listed_state(index: &Index, attempt: &Attempt, findings: &mut Findings) {
    let Some(notifications) = index.notifications_for(attempt) else { return };
    let received = notifications.iter().rposition(|other| other.time_us <= attempt.received_us);
    let Some(last) = received else { return };
    let not_ready = notifications[..=last].iter().rev().take_while(|other| other.state != ListedState::Ready);
    let Some(stop) = not_ready.last() else { return };
    if attempt.received_us > stop.time_us + grace_us(index) {
        let elapsed_ms = milliseconds(attempt.received_us - stop.time_us);
        findings.violated_by(attempt, format!("{elapsed_ms} ms after its host was told {:?}", stop.state));
    }
}

/// An operator's override counts from its acknowledgement.
fn check_override(index: &Index, attempt: &Attempt, findings: &mut Findings) {
    let Some(overrides) = index.overrides.get(&HostAndNode::of(attempt)) else { return };
    let mut newest_first = overrides.iter().rev();
    let Some(last) = newest_first.find(|change| change.time_us <= attempt.received_us) else { return };
    if last.out && attempt.received_us > last.time_us + grace_us(index) {
        let elapsed_ms = milliseconds(attempt.received_us - last.time_us);
        findings.violated_by(attempt, format!("{elapsed_ms} ms after its host had it out of service"));
    }
}

/// How long after a stop a node may still receive attempts.
fn grace_us(index: &Index) -> u64 {
    index.facts.grace_us + index.facts.skew_us
}
