//! `tackmast simulator script`: a generated world as a scenario script.

use super::SimulatorError;
use std::process::ExitCode;
use tackmast_simulator::World;

/// Arguments of `tackmast simulator script`.
#[derive(clap::Args)]
pub(crate) struct ScriptArguments {
    /// Seed of the world.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of hosts.
    #[arg(long, default_value_t = 10)]
    hosts: u32,
    /// Scales the world down to so many hosts, with each node as busy as before.
    #[arg(long, value_name = "HOSTS")]
    scaled: Option<u32>,
}

/// Prints the script.
pub(super) fn run(arguments: &ScriptArguments) -> Result<ExitCode, SimulatorError> {
    let ScriptArguments { seed, hosts, scaled } = *arguments;
    SimulatorError::require_bounds(
        (1..=300).contains(&hosts) && scaled.is_none_or(|scaled| (1..=hosts).contains(&scaled)),
        || format!("--hosts {hosts} --scaled {scaled:?}"),
        "1 to 300, and no more than that",
    )?;
    let world = World::generate(seed, hosts);
    print!("{}", world.scaled(scaled.unwrap_or(hosts)).to_script());
    Ok(ExitCode::SUCCESS)
}
