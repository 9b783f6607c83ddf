//! Order (rule 5): requests of one order key run one at a time, in the order in which their host received them.

use super::findings::Findings;
use super::Rule;
use crate::index::{Attempt, Index};
use crate::report::RuleReport;
use std::collections::BTreeMap;

/// An order key of one generation of a host.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HostKey {
    host: u32,
    generation: u64,
    key: u64,
}

pub(super) fn check(index: &Index) -> RuleReport {
    let mut findings = Findings::new(Rule::KeyOrder, index);
    for attempts in attempts_by_key(index).values() {
        for (position, attempt) in attempts.iter().enumerate() {
            check_one_at_a_time(index, attempt, &attempts[..position], &mut findings);
            check_not_overtaking(index, attempt, &attempts[position + 1..], &mut findings);
        }
    }
    findings.into_report()
}

/// Attempts whose requests must keep their order, as nodes received them.
fn attempts_by_key(index: &Index) -> BTreeMap<HostKey, Vec<&Attempt>> {
    let mut keys: BTreeMap<HostKey, Vec<&Attempt>> = BTreeMap::new();
    for attempt in index.attempts.iter().filter(|attempt| attempt.key != 0) {
        let command = index.command_of(attempt);
        let traffic_class = command.and_then(|command| index.traffic_class(command));
        if traffic_class.is_some_and(|class| class.in_order) {
            let (host, generation) = (attempt.name.host, attempt.name.generation);
            keys.entry(HostKey { host, generation, key: attempt.key }).or_default().push(attempt);
        }
    }
    keys
}

/// An attempt is not sent while one of another request may still be running.
fn check_one_at_a_time(index: &Index, attempt: &Attempt, earlier: &[&Attempt], findings: &mut Findings) {
    let mut is_behind_another = false;
    for other in earlier.iter().filter(|other| other.name.request != attempt.name.request) {
        is_behind_another = true;
        let outcome = other.host_outcome();
        let pause_us = if outcome.may_still_run { index.facts.settle_us } else { 0 };
        if outcome.time_us.saturating_add(pause_us) > attempt.received_us + index.facts.skew_us {
            let why = if outcome.may_still_run { "is still settling" } else { "is still out" };
            let (request, node) = (other.name.request, &other.node);
            let what = format!("arrived while number {request} of its key {why} at {node}");
            findings.violated_by(attempt, what);
        }
    }
    findings.checked += usize::from(is_behind_another);
}

/// An attempt is not sent before one of a request that the host received earlier. One violation is reported an attempt.
fn check_not_overtaking(index: &Index, attempt: &Attempt, later: &[&Attempt], findings: &mut Findings) {
    let mut others = later.iter().filter(|other| other.name.request != attempt.name.request);
    let overtaken =
        others.find(|other| other.part == attempt.part && was_received_first(index, other, attempt));
    if let Some(overtaken) = overtaken {
        let request = overtaken.name.request;
        findings.violated_by(attempt, format!("overtook number {request}, which its host had taken before"));
    }
}

/// Whether the host received the first attempt's request before the second's: within a session by the client's numbers, else by
/// the host's.
fn was_received_first(index: &Index, first: &Attempt, second: &Attempt) -> bool {
    if let (Some(first), Some(second)) = (index.command_of(first), index.command_of(second)) {
        if first.id.session == second.id.session {
            return first.id.command < second.id.command;
        }
    }
    first.name.request < second.name.request
}
