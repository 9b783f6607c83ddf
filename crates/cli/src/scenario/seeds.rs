//! `tackmast scenario --seeds`: a scenario with one seed after the other, and a summary.

use super::{run_once, ScenarioArguments, ScenarioCommandError};
use crate::exit_code;
use std::collections::BTreeMap;
use std::process::ExitCode;
use tackmast_scenario::{ConsensusObservations, Report, Script};

/// Largest number of seeds.
const MAX_SEEDS: u64 = 1000;
/// Largest number of failures that are printed for a seed.
const MAX_FAILURE_LINES: usize = 3;

/// Runs so many seeds, and prints a line for each and a summary. The exit code says whether all runs were good.
pub(super) fn run(arguments: &ScenarioArguments, count: u64) -> Result<ExitCode, ScenarioCommandError> {
    let mut script = arguments.script()?;
    let first = script.scenario.seed;
    print_header(arguments, &script);
    let mut summary = Summary::default();
    for seed in first..first + count.clamp(1, MAX_SEEDS) {
        script.scenario.seed = seed;
        let report = run_once(&script)?.report;
        print_seed(seed, &report);
        summary.add(&report);
    }
    summary.print();
    Ok(exit_code::of_result(summary.failed_runs == 0))
}

fn print_header(arguments: &ScenarioArguments, script: &Script) {
    println!(
        "{} with {} hosts; emulators on loopback; periods from the last fault until settled",
        arguments.file.display(),
        script.scenario.hosts
    );
    println!(
        "{:>6} {:>8} {:>7} {:>6} {:>12} {:>8} {:>8}  failed",
        "seed", "settled", "deaths", "false", "bytes/s host", "cpu", "in time"
    );
}

fn print_seed(seed: u64, report: &Report) {
    let view = report.view.clone().unwrap_or_default();
    let settled = view.last_convergence_periods().map_or("-".to_owned(), |periods| format!("{periods:.1}"));
    println!(
        "{seed:>6} {settled:>8} {:>7} {:>6} {:>12.0} {:>7.2}% {:>8.3}  {}",
        view.deaths,
        view.false_deaths,
        view.bytes_per_s,
        view.cpu_share * 100.0,
        in_time_fraction(report),
        failure_text(report)
    );
    for failure in report.failures.iter().take(MAX_FAILURE_LINES) {
        println!("       {failure}");
    }
    if !report.rules.is_clean() {
        print!("{}", report.rules);
    }
}

fn failure_text(report: &Report) -> String {
    if report.is_good() {
        return String::new();
    }
    let violations: usize = report.rules.rules.iter().map(|rule| rule.violations.len()).sum();
    format!("{} failures", report.failures.len() + violations)
}

/// Fraction of the requests, retries aside, that were done in time.
fn in_time_fraction(report: &Report) -> f64 {
    let requests: u64 = report.served.iter().map(|served| served.requests).sum();
    let in_time: f64 = report.served.iter().map(|served| served.in_time * served.requests as f64).sum();
    in_time / requests.max(1) as f64
}

/// Figures of all runs.
#[derive(Default)]
struct Summary {
    failed_runs: usize,
    /// Periods until settled, of the runs that did.
    settled_periods: Vec<f64>,
    /// Runs that did not settle.
    unsettled_runs: usize,
    false_deaths: usize,
    in_time_fractions: Vec<f64>,
    /// Bytes a second of a host.
    bytes_per_s: Vec<f64>,
    /// Percent of a core that a host used.
    cpu_percents: Vec<f64>,
    consensus: Vec<ConsensusObservations>,
    /// Periods until settled after each fault of the script, by its position and name; none where the next fault came first.
    periods_by_fault: BTreeMap<(usize, String), Vec<Option<f64>>>,
}

impl Summary {
    fn add(&mut self, report: &Report) {
        let view = report.view.clone().unwrap_or_default();
        self.failed_runs += usize::from(!report.is_good());
        match view.last_convergence_periods() {
            Some(periods) => self.settled_periods.push(periods),
            None => self.unsettled_runs += 1,
        }
        for (position, convergence) in view.convergences.iter().enumerate() {
            let periods = convergence.settled_s.map(|seconds| seconds / view.period_s.max(1e-9));
            let key = (position, convergence.fault.clone());
            self.periods_by_fault.entry(key).or_default().push(periods);
        }
        self.false_deaths += view.false_deaths;
        self.in_time_fractions.push(in_time_fraction(report));
        self.bytes_per_s.push(view.bytes_per_s);
        self.cpu_percents.push(view.cpu_share * 100.0);
        self.consensus.extend(report.consensus.clone());
    }

    fn print(&self) {
        for ((_, fault), periods) in &self.periods_by_fault {
            print_fault(fault, periods);
        }
        if !self.consensus.is_empty() {
            print_consensus(&self.consensus);
        }
        println!(
            "settled: median {:.1}, max {:.1} periods, {} not; {} false deaths; {:.0} bytes a second and {:.2}% of a core for each host; in time {:.3}",
            median(&self.settled_periods),
            max(&self.settled_periods),
            self.unsettled_runs,
            self.false_deaths,
            median(&self.bytes_per_s),
            median(&self.cpu_percents),
            median(&self.in_time_fractions),
        );
    }
}

fn print_fault(fault: &str, periods: &[Option<f64>]) {
    let settled: Vec<f64> = periods.iter().copied().flatten().collect();
    println!(
        "  after {fault}: median {:.1}, max {:.1} periods, {} of {} before the next fault",
        median(&settled),
        max(&settled),
        settled.len(),
        periods.len()
    );
}

fn print_consensus(observations: &[ConsensusObservations]) {
    let max = |figure: fn(&ConsensusObservations) -> f64| observations.iter().map(figure).fold(0.0, f64::max);
    println!(
        "consensus: {} changes by scripts, an outdated version applied for {:.3} s at most of {:.3} allowed; no leader for {:.2} s at most; {} calls of operators in one order",
        observations.iter().map(|observed| observed.changes).sum::<usize>(),
        max(|observed| observed.max_outdated_s),
        max(|observed| observed.allowed_s),
        max(|observed| observed.leaderless_s),
        observations.iter().map(|observed| observed.operator_call_count).sum::<usize>()
    );
}

/// The median; not a number where there are no values.
fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN)
}

/// The largest value; not a number where there are no values.
fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::NAN, f64::max)
}
