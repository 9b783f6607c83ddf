//! `tackmast scenario --hunt`: generated faults, seed after seed, until a run fails.

use super::{run_once, ScenarioArguments, ScenarioCommandError};
use crate::exit_code;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tackmast_scenario::{add_generated_faults, faults_text, shrink, Report, Script};

/// Shortest search, in minutes.
const MIN_MINUTES: f64 = 0.01;
/// Longest search, in minutes: a day.
const MAX_MINUTES: f64 = 1440.0;

/// Searches for so many minutes. The exit code says whether all runs were good.
pub(super) fn run(arguments: &ScenarioArguments, minutes: f64) -> Result<ExitCode, ScenarioCommandError> {
    let script = arguments.script()?;
    let end = Instant::now() + Duration::from_secs_f64(minutes.clamp(MIN_MINUTES, MAX_MINUTES) * 60.0);
    let mut seed = script.scenario.seed;
    while Instant::now() < end {
        let generated = add_generated_faults(&script, seed);
        if let Some(report) = failed_report(&generated)? {
            println!("seed {seed}: the run failed\n{report}\ngenerated:\n{}", faults_text(&generated));
            let smallest = shrink(generated, |script| failed_report(script).map(|report| report.is_some()))?;
            println!("reduced:\n{}", faults_text(&smallest));
            return Ok(exit_code::of_result(false));
        }
        println!("seed {seed}: {} faults, nothing failed", generated.faults.len());
        seed += 1;
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a script, and returns its report if the run failed.
fn failed_report(script: &Script) -> Result<Option<Report>, ScenarioCommandError> {
    let report = run_once(script)?.report;
    Ok((!report.is_good()).then_some(report))
}
