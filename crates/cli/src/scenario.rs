//! `tackmast scenario`, `scenario-import` and `rules`: runs of scripts on loopback, and checks of their traces.

mod error;
mod hunt;
mod seeds;

pub(crate) use error::ScenarioCommandError;

use crate::exit_code;
use crate::temporary_folder::TemporaryFolder;
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tackmast_scenario::{ScenarioRun, Script};

/// File of a run's trace in the folder that `--out` names.
const TRACE_FILE: &str = "trace.jsonl";
/// File of a run's report in that folder.
const REPORT_FILE: &str = "report.json";

/// Arguments of `tackmast scenario`.
#[derive(clap::Args)]
pub(crate) struct ScenarioArguments {
    /// Script of the scenario, in HCL.
    file: PathBuf,
    /// Seed in place of the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Folder in which the trace, the report, and the hosts' settings and logs are saved; without it they are removed.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Prints the report as JSON.
    #[arg(long)]
    json: bool,
    /// Number of hosts in place of the script's; its faults have to name hosts by fractions of all.
    #[arg(long)]
    hosts: Option<u32>,
    /// Runs the hosts without membership, whatever the script says.
    #[arg(long)]
    alone: bool,
    /// Runs so many seeds one after the other, from the first, and prints a line for each and a summary.
    #[arg(long, conflicts_with_all = ["out", "json", "hunt"])]
    seeds: Option<u64>,
    /// Generates faults of processes and networks from one seed after the other for so many minutes, beside the script's own,
    /// until a run fails; the faults of that run are then reduced and printed as a script.
    #[arg(long, value_name = "MINUTES", conflicts_with_all = ["out", "json"])]
    hunt: Option<f64>,
}

impl ScenarioArguments {
    fn script(&self) -> Result<Script, ScenarioCommandError> {
        let mut script = Script::read_sized(&self.file, self.hosts)?;
        script.scenario.seed = self.seed.unwrap_or(script.scenario.seed);
        if self.alone && script.settings.consensus.is_some() {
            return Err(ScenarioCommandError::ConsensusAlone { path: self.file.clone() });
        }
        if self.alone {
            script.scenario.members = false;
            script.scenario.settled_within = 0.0;
        }
        Ok(script)
    }
}

/// Runs a scenario once, for several seeds, or with generated faults until a run fails.
pub(crate) fn run(arguments: &ScenarioArguments) -> Result<ExitCode, ScenarioCommandError> {
    if let Some(minutes) = arguments.hunt {
        return hunt::run(arguments, minutes);
    }
    if let Some(count) = arguments.seeds {
        return seeds::run(arguments, count);
    }
    let script = arguments.script()?;
    let run = match &arguments.out {
        Some(folder) => run_and_save(&script, folder)?,
        None => run_once(&script)?,
    };
    match arguments.json {
        true => println!("{}", serde_json::to_string_pretty(&run.report)?),
        false => print_run(&run),
    }
    Ok(exit_code::of_result(run.report.is_good()))
}

/// Runs a script in a temporary folder.
fn run_once(script: &Script) -> Result<ScenarioRun, ScenarioCommandError> {
    let folder = TemporaryFolder::create("day").map_err(ScenarioCommandError::TemporaryFolder)?;
    let run = run_in(script, folder.path());
    folder.remove().map_err(ScenarioCommandError::TemporaryFolder)?;
    run
}

/// Runs a script in a folder that stays, with its trace and report.
fn run_and_save(script: &Script, folder: &Path) -> Result<ScenarioRun, ScenarioCommandError> {
    std::fs::create_dir_all(folder)
        .map_err(|source| ScenarioCommandError::OutFolder { path: folder.to_owned(), source })?;
    let run = run_in(script, folder)?;
    save(folder, &run)?;
    Ok(run)
}

fn run_in(script: &Script, folder: &Path) -> Result<ScenarioRun, ScenarioCommandError> {
    let binary = std::env::current_exe().map_err(ScenarioCommandError::OwnProgram)?;
    Ok(tackmast_scenario::run(script, &binary, folder, script.scenario.seed)?)
}

fn save(folder: &Path, run: &ScenarioRun) -> Result<(), ScenarioCommandError> {
    let (trace, report) = (folder.join(TRACE_FILE), folder.join(REPORT_FILE));
    tackmast_trace::write(&run.trace, create(&trace)?)
        .map_err(|source| ScenarioCommandError::File { path: trace, source })?;
    serde_json::to_writer_pretty(create(&report)?, &run.report)
        .map_err(|source| ScenarioCommandError::ReportFile { path: report, source })
}

fn create(path: &Path) -> Result<BufWriter<File>, ScenarioCommandError> {
    let file =
        File::create(path).map_err(|source| ScenarioCommandError::File { path: path.to_owned(), source })?;
    Ok(BufWriter::new(file))
}

fn print_run(run: &ScenarioRun) {
    print!("{}", run.report);
    for (number, used) in run.host_resources.iter().enumerate() {
        let (cpu, memory, threads) = (used.cpu_s, used.memory_mib, used.threads);
        println!("host {number}: {cpu:.2} s of CPU, {memory:.0} MiB, {threads} threads");
    }
}

/// Checks the invariants on a recorded trace, and prints the findings.
pub(crate) fn check_trace(path: &Path, json: bool) -> Result<ExitCode, ScenarioCommandError> {
    let file =
        File::open(path).map_err(|source| ScenarioCommandError::File { path: path.to_owned(), source })?;
    let lines = tackmast_trace::read(BufReader::new(file))
        .map_err(|source| ScenarioCommandError::Trace { path: path.to_owned(), source })?;
    let report = tackmast_invariants::judge(&lines);
    match json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{report}"),
    }
    Ok(exit_code::of_result(report.is_clean()))
}

/// Prints a day of the bench as a scenario script.
pub(crate) fn import(path: &Path, seed: u64) -> Result<ExitCode, ScenarioCommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ScenarioCommandError::File { path: path.to_owned(), source })?;
    let script = tackmast_scenario::import_bench_day(&text, seed)
        .map_err(|source| ScenarioCommandError::BenchDay { path: path.to_owned(), source })?;
    print!("{script}");
    Ok(ExitCode::SUCCESS)
}
