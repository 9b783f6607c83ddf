//! `tackmast simulator truth`: a workload in virtual time, and through real hosts on loopback.

use super::SimulatorError;
use std::path::PathBuf;
use std::process::ExitCode;
use tackmast_benchmarks::{compare_with_loopback, FlowFigures};
use tackmast_workload::Workload;

/// Arguments of `tackmast simulator truth`.
#[derive(clap::Args)]
pub(crate) struct LoopbackArguments {
    /// File of the workload.
    file: PathBuf,
    /// Number of hosts.
    #[arg(long, default_value_t = 3)]
    hosts: u32,
    /// Number of nodes.
    #[arg(long, default_value_t = 4)]
    nodes: u32,
    /// Milliseconds that one core works on a unit.
    #[arg(long, default_value_t = 4.0)]
    unit_ms: f64,
}

/// Plays the workload both ways, and prints the figures of each flow.
pub(super) fn run(arguments: &LoopbackArguments) -> Result<ExitCode, SimulatorError> {
    let LoopbackArguments { file, hosts, nodes, unit_ms } = arguments;
    SimulatorError::require_bounds(
        (1..=8).contains(hosts) && (1..=60).contains(nodes) && (0.1..=100.0).contains(unit_ms),
        || format!("--hosts {hosts} --nodes {nodes} --unit-ms {unit_ms}"),
        "1 to 8, 1 to 60, 0.1 to 100",
    )?;
    let workload = Workload::read(file)?;
    println!("{hosts} hosts, {nodes} nodes; models in virtual time, and emulators on loopback");
    println!(
        "{:<12} {:<9} {:>8} {:>8} {:>9} {:>8} {:>9} {:>9}",
        "flow", "where", "requests", "in time", "rejected", "failed", "p50 ms", "p99 ms"
    );
    for comparison in compare_with_loopback(&workload, *hosts, *nodes, *unit_ms)? {
        print_flow(&comparison.flow, "simulator", &comparison.simulator);
        print_flow(&comparison.flow, "loopback", &comparison.loopback);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_flow(flow: &str, place: &str, figures: &FlowFigures) {
    let fraction = |count: u64| count as f64 / figures.request_count.max(1) as f64;
    println!(
        "{flow:<12} {place:<9} {:>8} {:>8.3} {:>9.3} {:>8.3} {:>9.1} {:>9.1}",
        figures.request_count,
        fraction(figures.in_time),
        fraction(figures.rejected),
        fraction(figures.failed),
        figures.p50_ms,
        figures.p99_ms
    );
}
