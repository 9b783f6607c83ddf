//! `tackmast simulator fleet`: fleets of hosts with membership, without requests.

use super::SimulatorError;
use std::process::ExitCode;
use tackmast_simulator::{fleet, FleetFigures};

/// Arguments of `tackmast simulator fleet`.
#[derive(clap::Args)]
pub(crate) struct FleetArguments {
    /// Number of hosts; if given several times, a line for each.
    #[arg(long, default_values_t = [10, 140, 300])]
    hosts: Vec<u32>,
    /// Fraction of datagrams that is lost; if given several times, a line for each.
    #[arg(long, default_values_t = [0.0, 0.05])]
    loss: Vec<f64>,
    /// Seed of the fleets.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Plays fleets of each size with each loss, and prints their figures.
pub(super) fn run(arguments: &FleetArguments) -> Result<ExitCode, SimulatorError> {
    let FleetArguments { hosts, loss, seed } = arguments;
    SimulatorError::require_bounds(
        hosts.iter().all(|hosts| (3..=1000).contains(hosts))
            && loss.iter().all(|loss| (0.0..=0.9).contains(loss)),
        || format!("--hosts {hosts:?} --loss {loss:?}"),
        "3 to 1000, and 0 to 0.9",
    )?;
    print_header();
    for hosts in hosts {
        for loss in loss {
            print_figures(&fleet(*hosts, *loss, *seed));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_header() {
    println!("models in virtual time; periods of 0.5 s; seconds, but for bytes and suspicions");
    println!(
        "{:>6} {:>6} {:>10} {:>8} {:>12} {:>12} {:>11} {:>9} {:>8} {:>11} {:>11} {:>14} {:>9} {:>11} {:>11} {:>8} {:>10} {:>9}",
        "hosts",
        "loss",
        "all known",
        "bytes/s",
        "false/h/host",
        "false deaths",
        "first dead",
        "all dead",
        "back",
        "stale seeds",
        "views meet",
        "overrides meet",
        "returned",
        "after flaps",
        "flap deaths",
        "plan",
        "large plan",
        "after cut"
    );
}

fn print_figures(figures: &FleetFigures) {
    println!(
        "{:>6} {:>6.2} {:>10} {:>8.0} {:>12.2} {:>12} {:>11} {:>9} {:>8} {:>11} {:>11} {:>14} {:>9} {:>11} {:>11} {:>8} {:>10} {:>9}",
        figures.hosts,
        figures.loss,
        seconds(figures.all_known_s),
        figures.bytes_a_second,
        figures.false_suspicions,
        figures.false_deaths,
        seconds(figures.first_known_s),
        seconds(figures.all_dead_s),
        seconds(figures.back_s),
        seconds(figures.stale_seeds_s),
        seconds(figures.views_meet_s),
        seconds(figures.orders_meet_s),
        figures.returned,
        seconds(figures.after_flaps_s),
        figures.flap_deaths,
        seconds(figures.plan_s),
        seconds(figures.large_plan_s),
        seconds(figures.plan_after_cut_s)
    );
}

fn seconds(seconds: Option<f64>) -> String {
    seconds.map_or("never".to_owned(), |seconds| format!("{seconds:.2}"))
}
