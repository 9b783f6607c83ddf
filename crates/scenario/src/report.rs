//! The report of a scenario.

use crate::consensus_watcher::ConsensusObservations;
use crate::traffic::Tally;
use crate::view_watcher::ViewObservations;
use serde::Serialize;
use std::fmt::{self, Formatter};

/// Descriptions of false deaths that are printed.
const PRINTED_FALSE_DEATHS: usize = 5;
/// Failures that are printed.
const PRINTED_FAILURES: usize = 10;

/// Service of one plan and traffic class.
#[derive(Clone, Debug, Serialize)]
pub struct Served {
    /// Name of the plan.
    pub plan: String,
    /// Name of the traffic class.
    #[serde(rename = "stream")]
    pub traffic_class: String,
    /// Requests, without retries.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Share of them that were done within the latency objective.
    pub in_time: f64,
    /// Requests that were done.
    pub done: u64,
    /// Rejections, of retries too.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Failures, of retries too.
    #[serde(rename = "abandoned")]
    pub failed: u64,
    /// Requests whose session ended before an answer, or that were aborted.
    pub lost: u64,
    /// Requests that found no session.
    pub unreached: u64,
    /// Requests that found a full command window.
    pub shut: u64,
    /// Median time of done requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that time.
    pub p99_ms: f64,
}

impl Served {
    pub(crate) fn new(plan: &str, traffic_class: &str, tally: &Tally) -> Served {
        let quantile_ms = |quantile| tally.times_us.value_at_quantile(quantile) as f64 / 1e3;
        Served {
            plan: plan.to_owned(),
            traffic_class: traffic_class.to_owned(),
            requests: tally.requests,
            in_time: tally.in_time as f64 / tally.requests.max(1) as f64,
            done: tally.done,
            rejected: tally.rejected,
            failed: tally.failed,
            lost: tally.lost,
            unreached: tally.unreached,
            shut: tally.shut,
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
        }
    }
}

/// The report of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the scenario.
    pub seed: u64,
    /// Service by plan and traffic class.
    pub served: Vec<Served>,
    /// Blocks that were read and compared with what was written.
    pub blocks_checked: u64,
    /// What went wrong beside the invariants: bytes, answers, faults that could not be injected.
    pub failures: Vec<String>,
    /// The invariants.
    pub rules: tackmast_invariants::Report,
    /// The hosts' view of each other, where they run the membership protocol.
    pub view: Option<ViewObservations>,
    /// Consensus, where the hosts run it.
    #[serde(rename = "agreed")]
    pub consensus: Option<ConsensusObservations>,
}

impl Report {
    /// Whether nothing went wrong.
    pub fn is_good(&self) -> bool {
        self.failures.is_empty() && self.rules.is_clean()
    }

    fn fmt_served(&self, formatter: &mut Formatter) -> fmt::Result {
        writeln!(
            formatter,
            "{:<12} {:<14} {:>8} {:>8} {:>7} {:>8} {:>9} {:>5} {:>9} {:>5} {:>9} {:>9}",
            "plan",
            "traffic class",
            "requests",
            "in time",
            "done",
            "rejected",
            "failed",
            "lost",
            "unreached",
            "shut",
            "p50 ms",
            "p99 ms"
        )?;
        for served in &self.served {
            writeln!(
                formatter,
                "{:<12} {:<14} {:>8} {:>8.3} {:>7} {:>8} {:>9} {:>5} {:>9} {:>5} {:>9.2} {:>9.2}",
                served.plan,
                served.traffic_class,
                served.requests,
                served.in_time,
                served.done,
                served.rejected,
                served.failed,
                served.lost,
                served.unreached,
                served.shut,
                served.p50_ms,
                served.p99_ms
            )?;
        }
        Ok(())
    }
}

fn fmt_view(view: &ViewObservations, formatter: &mut Formatter) -> fmt::Result {
    writeln!(
        formatter,
        "view of {} hosts: {} deaths found, {} of them false; {:.0} bytes a second and {:.1}% of a core a host",
        view.hosts,
        view.deaths,
        view.false_deaths,
        view.bytes_per_s,
        view.cpu_share * 100.0
    )?;
    for description in view.false_death_descriptions.iter().take(PRINTED_FALSE_DEATHS) {
        writeln!(formatter, "    false: {description}")?;
    }
    for convergence in &view.convergences {
        let fault = &convergence.fault;
        match convergence.settled_s {
            Some(settled_s) => {
                let periods = settled_s / view.period_s;
                writeln!(formatter, "    settled {settled_s:.2} s after {fault}: {periods:.1} periods")?;
            }
            None => writeln!(formatter, "    not settled after {fault}")?,
        }
    }
    Ok(())
}

fn fmt_consensus(consensus: &ConsensusObservations, formatter: &mut Formatter) -> fmt::Result {
    writeln!(
        formatter,
        "consensus: {} changes, an older version applied for {:.3} s at most of {:.3} allowed; no leader for {:.2} s; {} answers; {} calls of operators in an order",
        consensus.changes,
        consensus.max_outdated_s,
        consensus.allowed_s,
        consensus.leaderless_s,
        consensus.status_count,
        consensus.operator_call_count
    )
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        writeln!(formatter, "seed {}; nodes and clients are emulators on loopback", self.seed)?;
        self.fmt_served(formatter)?;
        writeln!(formatter, "{} blocks read were checked against what was written", self.blocks_checked)?;
        write!(formatter, "{}", self.rules)?;
        self.view.iter().try_for_each(|view| fmt_view(view, formatter))?;
        self.consensus.iter().try_for_each(|consensus| fmt_consensus(consensus, formatter))?;
        for failure in self.failures.iter().take(PRINTED_FAILURES) {
            writeln!(formatter, "FAILED: {failure}")?;
        }
        if self.failures.len() > PRINTED_FAILURES {
            writeln!(formatter, "and {} more failures", self.failures.len() - PRINTED_FAILURES)?;
        }
        Ok(())
    }
}
