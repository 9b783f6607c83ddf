//! Budget (rule 6): the retries of a host stay within the retry budget over any window.

use super::findings::Findings;
use super::{milliseconds, Rule, ROUNDING_UNITS};
use crate::index::{Attempt, Index};
use crate::report::RuleReport;
use std::collections::BTreeMap;

/// The retry budget of a deployment.
#[derive(Clone, Copy)]
struct Budget {
    /// Retries within the window that need no requests.
    free_retries: f64,
    /// Further retries for each request received within the window.
    retries_per_request: f64,
    window_us: u64,
}

pub(super) fn check(index: &Index) -> RuleReport {
    let mut findings = Findings::new(Rule::RetryBudget, index);
    let Some((free_retries, retries_per_request, window_us)) = index.facts.retry_budget else {
        return findings.into_report();
    };
    let budget = Budget { free_retries, retries_per_request, window_us };
    let mut generations: BTreeMap<(u32, u64), Vec<&Attempt>> = BTreeMap::new();
    for attempt in index.attempts.iter().filter(|attempt| attempt.name.attempt > 0) {
        generations.entry((attempt.name.host, attempt.name.generation)).or_default().push(attempt);
    }
    for ((host, _), retries) in generations {
        check_host(index, budget, host, &retries, &mut findings);
    }
    findings.into_report()
}

/// Checks the retries of one generation of a host, which are in order of time.
fn check_host(index: &Index, budget: Budget, host: u32, retries: &[&Attempt], findings: &mut Findings) {
    let skew_us = index.facts.skew_us;
    let commands = index.commands.iter().filter(|command| command.id.host == host);
    let submitted_us: Vec<u64> = commands.map(|command| command.submitted_us).collect();
    for (position, retry) in retries.iter().enumerate() {
        findings.checked += 1;
        let from_us = retry.received_us.saturating_sub(budget.window_us);
        let sent = retries[..=position].iter().filter(|other| other.received_us > from_us + skew_us).count();
        // The window of requests begins earlier by the skew: a client submits a command before its host receives it.
        let requests_from_us = from_us.saturating_sub(skew_us);
        let command_count = submitted_us.partition_point(|time_us| *time_us <= retry.received_us)
            - submitted_us.partition_point(|time_us| *time_us < requests_from_us);
        let request_count = index.max_request_count(host, requests_from_us, retry.received_us, command_count);
        let allowed = budget.free_retries + budget.retries_per_request * request_count;
        if sent as f64 > allowed + ROUNDING_UNITS {
            let window_ms = milliseconds(budget.window_us);
            let what = format!("{sent} retries in {window_ms} ms; {allowed:.1} are allowed");
            findings.violated_by(retry, what);
        }
    }
}
