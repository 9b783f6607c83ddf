//! `tackmast simulator play`: one world in virtual time.

use super::run_text::run_text;
use super::SimulatorError;
use crate::exit_code;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;
use tackmast_scenario::Script;
use tackmast_simulator::{page, play, Found, World};
use tackmast_workload::Workload;

/// Numbers of hosts and of nodes that a world may have.
const SIZES: RangeInclusive<u32> = 1..=1000;
/// Shortest run, in seconds of virtual time.
const MIN_SECONDS: f64 = 0.1;
/// Longest run, in seconds of virtual time.
const MAX_SECONDS: f64 = 600.0;
/// Virtual time after the last arrival of a workload, in seconds.
const DRAIN_S: f64 = 0.5;

/// Arguments of `tackmast simulator play`.
#[derive(clap::Args)]
pub(crate) struct PlayArguments {
    /// Seed of the world.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of hosts.
    #[arg(long, default_value_t = 10)]
    hosts: u32,
    /// Seconds of virtual time, in place of those generated.
    #[arg(long)]
    seconds: Option<f64>,
    /// Number of nodes, in place of that generated.
    #[arg(long)]
    nodes: Option<u32>,
    /// Commands a second at each host, in place of those generated.
    #[arg(long)]
    rate: Option<f64>,
    /// Writes a page with charts of the run: service, stores, percentiles, attempts by node.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Writes the trace, line by line as JSON, for `tackmast rules` and for reading.
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// File of a workload, in place of the arrivals generated.
    #[arg(long, value_name = "FILE")]
    load: Option<PathBuf>,
    /// Plays a scenario script, as `tackmast scenario` runs it through sockets: its nodes, settings, traffic and faults.
    #[arg(long = "day", value_name = "FILE", conflicts_with_all = ["hosts", "seconds", "nodes", "rate", "load"])]
    scenario: Option<PathBuf>,
    /// Leaves out the faults.
    #[arg(long)]
    calm: bool,
}

impl PlayArguments {
    fn world(&self) -> Result<World, SimulatorError> {
        SimulatorError::require_bounds(
            SIZES.contains(&self.hosts) && self.nodes.is_none_or(|nodes| SIZES.contains(&nodes)),
            || format!("--hosts {}", self.hosts),
            "1 to 1000, and as many nodes at most",
        )?;
        match &self.scenario {
            Some(file) => self.scenario_world(file),
            None => self.generated_world(),
        }
    }

    fn generated_world(&self) -> Result<World, SimulatorError> {
        let mut world = World::generate(self.seed, self.hosts);
        world.seconds = self.seconds.unwrap_or(world.seconds).clamp(MIN_SECONDS, MAX_SECONDS);
        world.nodes = self.nodes.unwrap_or(world.nodes);
        world.rate = self.rate.unwrap_or(world.rate);
        world.faults.retain(|fault| !self.calm && fault.node < world.nodes);
        if let Some(file) = &self.load {
            let workload = Workload::read(file)?;
            world.seconds = self.seconds.unwrap_or(workload.seconds + DRAIN_S);
            world.load = Some(Arc::new(workload));
        }
        Ok(world)
    }

    /// The world of a scenario script. Prints what of the script has no counterpart in virtual time.
    fn scenario_world(&self, file: &Path) -> Result<World, SimulatorError> {
        let unsupported = |source| SimulatorError::Script { path: file.to_owned(), source };
        let (mut world, left_out) = World::of_script(Script::read(file)?, self.seed).map_err(unsupported)?;
        world.faults.retain(|_| !self.calm);
        left_out.iter().for_each(|line| println!("left out: {line}"));
        Ok(world)
    }
}

/// Plays a world and prints its figures. The exit code says whether all invariants held.
pub(super) fn run(arguments: &PlayArguments) -> Result<ExitCode, SimulatorError> {
    let world = arguments.world()?;
    let start = Instant::now();
    let found = play(&world, None);
    let text = run_text(&world, &found);
    print!("{text}");
    if let Some(path) = &arguments.trace {
        write_trace(path, &found).map_err(|source| SimulatorError::File { path: path.clone(), source })?;
    }
    if let Some(path) = &arguments.report {
        std::fs::write(path, page(&world, &found, &text)?)
            .map_err(|source| SimulatorError::File { path: path.clone(), source })?;
    }
    println!("{:.2} s of wall time, trace digest {:08x}", start.elapsed().as_secs_f64(), found.run.digest());
    Ok(exit_code::of_result(!found.is_bad()))
}

fn write_trace(path: &Path, found: &Found) -> std::io::Result<()> {
    tackmast_trace::write(&found.run.trace, std::fs::File::create(path)?)
}
