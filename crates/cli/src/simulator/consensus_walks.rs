//! `tackmast simulator agree`: random walks over the states of consensus, in virtual time.

use super::SimulatorError;
use crate::exit_code;
use crate::parallel;
use std::process::ExitCode;
use tackmast_simulator::{
    explore, find_fault, run_random_walk, simulate_fleet, ConsensusFault, ConsensusFigures, FleetTrial,
    RandomWalk, WalkResult,
};

/// Largest number of steps to which all orders are explored.
const MAX_DEPTH: u32 = 8;
/// Voters of a fleet.
const VOTERS: u32 = 3;
/// Largest number of violations that are printed for a fleet.
const MAX_VIOLATION_LINES: usize = 3;

/// Arguments of `tackmast simulator agree`.
#[derive(clap::Args)]
pub(crate) struct ConsensusArguments {
    /// Number of walks, each with a seed of its own.
    #[arg(long, default_value_t = 1000)]
    walks: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of steps of one walk.
    #[arg(long, default_value_t = 1500)]
    steps: u32,
    /// Explores instead all orders of up to so many steps from one state.
    #[arg(long)]
    depth: Option<u32>,
    /// Searches instead for each deliberate fault, in up to so many walks.
    #[arg(long)]
    faults: bool,
    /// Plays instead fleets of so many hosts: what consensus costs, and how soon changes are known.
    #[arg(long = "fleet", value_name = "HOSTS")]
    fleets: Vec<u32>,
    /// Number of seeds of each fleet.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Fraction of datagrams that is lost.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Number of threads.
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

/// Runs the walks or fleets that the arguments select.
pub(super) fn run(arguments: &ConsensusArguments) -> Result<ExitCode, SimulatorError> {
    let ConsensusArguments { steps, depth, .. } = arguments;
    SimulatorError::require_bounds(
        (1..=1_000_000).contains(steps) && depth.is_none_or(|depth| depth <= MAX_DEPTH),
        || format!("--steps {steps} --depth {depth:?}"),
        "1 to 1000000, and up to 8",
    )?;
    if let Some(depth) = depth {
        return Ok(explore_all_orders(*depth));
    }
    if !arguments.fleets.is_empty() {
        return fleets(arguments);
    }
    Ok(if arguments.faults { find_faults(arguments) } else { run_walks(arguments) })
}

/// Explores all orders of steps from one state.
fn explore_all_orders(depth: u32) -> ExitCode {
    let explored = explore(depth, None);
    println!("three voters, {} states to a depth of {depth}", explored.states);
    let holds = explored.broken.is_none();
    explored.broken.into_iter().for_each(|broken| println!("VIOLATED: {broken}"));
    exit_code::of_result(holds)
}

/// Searches for each deliberate fault.
fn find_faults(arguments: &ConsensusArguments) -> ExitCode {
    let ConsensusArguments { first, walks, steps, threads, .. } = *arguments;
    let found = parallel::map(&ConsensusFault::ALL, threads, |fault| find_fault(*fault, first, walks, steps));
    let mut all_found = true;
    for (fault, found) in ConsensusFault::ALL.iter().zip(found) {
        match found {
            Some((seed, step, what)) => println!("{fault:?}: walk {seed}, step {step}: {what}"),
            None => {
                all_found = false;
                println!("{fault:?}: not found in {walks} walks");
            }
        }
    }
    exit_code::of_result(all_found)
}

/// Walks from each seed, and prints what was violated.
fn run_walks(arguments: &ConsensusArguments) -> ExitCode {
    let ConsensusArguments { first, walks, steps, threads, .. } = *arguments;
    let seeds: Vec<u64> = (first..first + walks).collect();
    let walked: Vec<WalkResult> =
        parallel::map(&seeds, threads, |seed| run_random_walk(&RandomWalk::drawn(*seed, steps, None)));
    let sum = |figure: fn(&WalkResult) -> u64| walked.iter().map(figure).sum::<u64>();
    let (committed, reads) = (sum(|walked| walked.committed), sum(|walked| walked.reads));
    let longest = walked.iter().map(|walked| walked.longest).fold(0.0, f64::max);
    println!(
        "{walks} walks of {steps} steps from seed {first}: {committed} entries committed, {reads} reads, longest use of an outdated state {longest:.3} of a lease"
    );
    let mut all_hold = true;
    for (seed, walked) in seeds.iter().zip(&walked) {
        if let Some((step, what)) = &walked.broken {
            all_hold = false;
            println!("VIOLATED: walk {seed}, step {step}: {what}");
            walked.disk_and_voter_changes.iter().for_each(|line| println!("    {line}"));
        }
    }
    exit_code::of_result(all_hold)
}

/// Plays fleets, and prints what consensus costs them and how soon changes are known.
fn fleets(arguments: &ConsensusArguments) -> Result<ExitCode, SimulatorError> {
    let ConsensusArguments { fleets, first, seeds, loss, threads, .. } = arguments;
    SimulatorError::require_bounds(
        fleets.iter().all(|hosts| (3..=2_000).contains(hosts)) && (0.0..=0.9).contains(loss),
        || format!("--fleet {fleets:?} --loss {loss}"),
        "3 to 2000, and 0 to 0.9",
    )?;
    println!(
        "models in virtual time, three voters, heartbeats of 0.1 s, leases of 5 s, {seeds} seeds from {first}, {loss} lost"
    );
    println!(
        "{:>5} {:>5} {:>7} {:>9} {:>11} {:>15} {:>15} {:>10} {:>10} {:>8}",
        "hosts",
        "seed",
        "starts",
        "bytes/s",
        "leader's",
        "known",
        "all know",
        "changes/s",
        "no leader",
        "longest"
    );
    let trials = trials(arguments);
    let mut all_hold = true;
    for (trial, figures) in trials.iter().zip(parallel::map(&trials, *threads, simulate_fleet)) {
        print_fleet(trial, &figures);
        all_hold &= figures.broken.is_empty();
    }
    Ok(exit_code::of_result(all_hold))
}

/// Each size of fleet with each seed.
fn trials(arguments: &ConsensusArguments) -> Vec<FleetTrial> {
    let ConsensusArguments { fleets, first, seeds, loss, .. } = arguments;
    let trial = |hosts: u32, seed: u64| FleetTrial { hosts, voters: VOTERS, seed, loss: *loss };
    let trials = fleets.iter().flat_map(|hosts| (*first..first + seeds).map(move |seed| trial(*hosts, seed)));
    trials.collect()
}

fn print_fleet(trial: &FleetTrial, figures: &ConsensusFigures) {
    let pair = |(median, max): (f64, f64)| format!("{median:.3}, {max:.3}");
    println!(
        "{:>5} {:>5} {:>7.2} {:>9.0} {:>11.0} {:>15} {:>15} {:>10.0} {:>10.2} {:>8.3}",
        trial.hosts,
        trial.seed,
        figures.begins,
        figures.bytes,
        figures.leader_bytes,
        pair(figures.known),
        pair(figures.all_know),
        figures.commits,
        figures.leaderless,
        figures.longest
    );
    for violation in figures.broken.iter().take(MAX_VIOLATION_LINES) {
        println!("      VIOLATED: {violation}");
    }
}
