//! `tackmast simulator agree`: random walks over the states of consensus, in virtual time.

use crate::parallel;
use std::process::ExitCode;
use tackmast_simulator::{
    explore, find_fault, run_random_walk, simulate_fleet, ConsensusFault, FleetTrial, RandomWalk, WalkResult,
};

/// Steps that all orders are explored to at most.
const MAX_DEPTH: u32 = 8;

/// Arguments of `tackmast simulator agree`.
#[derive(clap::Args)]
pub struct AgreeArguments {
    /// Walks, each from a seed of its own.
    #[arg(long, default_value_t = 1000)]
    walks: u64,
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Steps of one walk.
    #[arg(long, default_value_t = 1500)]
    steps: u32,
    /// All orders of up to so many steps from one state, in place of walks.
    #[arg(long)]
    depth: Option<u32>,
    /// Looks for each deliberate fault, in up to so many walks.
    #[arg(long)]
    faults: bool,
    /// Fleets of so many hosts in place of walks: what it costs, and how soon changes hold.
    #[arg(long = "fleet", value_name = "HOSTS")]
    fleets: Vec<u32>,
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Part of datagrams that is lost.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

/// Runs the walks or fleets that the arguments ask for.
pub fn run(arguments: &AgreeArguments) -> Result<ExitCode, String> {
    let AgreeArguments { steps, depth, .. } = arguments;
    if !(1..=1_000_000).contains(steps) || depth.is_some_and(|depth| depth > MAX_DEPTH) {
        return Err(format!("--steps {steps} --depth {depth:?}; expected 1 to 1000000, and up to 8"));
    }
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
    explored.broken.into_iter().for_each(|broken| println!("BROKEN: {broken}"));
    exit_code(holds)
}

/// Looks for each deliberate fault.
fn find_faults(arguments: &AgreeArguments) -> ExitCode {
    let AgreeArguments { first, walks, steps, threads, .. } = *arguments;
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
    exit_code(all_found)
}

/// Walks from each seed, and prints what was violated.
fn run_walks(arguments: &AgreeArguments) -> ExitCode {
    let AgreeArguments { first, walks, steps, threads, .. } = *arguments;
    let seeds: Vec<u64> = (first..first + walks).collect();
    let walked: Vec<WalkResult> =
        parallel::map(&seeds, threads, |seed| run_random_walk(&RandomWalk::drawn(*seed, steps, None)));
    let sum = |figure: fn(&WalkResult) -> u64| walked.iter().map(figure).sum::<u64>();
    let (committed, reads) = (sum(|walked| walked.committed), sum(|walked| walked.reads));
    let longest = walked.iter().map(|walked| walked.longest).fold(0.0, f64::max);
    println!(
        "{walks} walks of {steps} steps from seed {first}: {committed} entries agreed on, {reads} reads, longest by an older word {longest:.3} of a lease"
    );
    let mut all_hold = true;
    for (seed, walked) in seeds.iter().zip(&walked) {
        if let Some((step, what)) = &walked.broken {
            all_hold = false;
            println!("BROKEN: walk {seed}, step {step}: {what}");
            walked.disk_and_voter_changes.iter().for_each(|line| println!("    {line}"));
        }
    }
    exit_code(all_hold)
}

fn exit_code(is_good: bool) -> ExitCode {
    ExitCode::from(u8::from(!is_good))
}

/// Runs fleets, and prints what consensus costs them and how soon changes are known.
fn fleets(arguments: &AgreeArguments) -> Result<ExitCode, String> {
    if arguments.fleets.iter().any(|hosts| !(3..=2_000).contains(hosts))
        || !(0.0..=0.9).contains(&arguments.loss)
    {
        return Err(format!(
            "--fleet {:?} --loss {}; expected 3 to 2000, and 0 to 0.9",
            arguments.fleets, arguments.loss
        ));
    }
    println!(
        "models in virtual time, three voters, beats of 0.1 s, leases of 5 s, {} seeds from {}, {} lost",
        arguments.seeds, arguments.first, arguments.loss
    );
    println!(
        "{:>5} {:>5} {:>7} {:>9} {:>11} {:>15} {:>15} {:>10} {:>10} {:>8}",
        "hosts",
        "seed",
        "begins",
        "bytes/s",
        "leader's",
        "known",
        "all know",
        "changes/s",
        "no leader",
        "longest"
    );
    let trials: Vec<FleetTrial> = arguments
        .fleets
        .iter()
        .flat_map(|hosts| {
            (arguments.first..arguments.first + arguments.seeds).map(|seed| FleetTrial {
                hosts: *hosts,
                voters: 3,
                seed,
                loss: arguments.loss,
            })
        })
        .collect();
    let all = parallel::map(&trials, arguments.threads, simulate_fleet);
    let mut all_hold = true;
    for (trial, figures) in trials.iter().zip(all) {
        let pair = |(median, most): (f64, f64)| format!("{median:.3}, {most:.3}");
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
        all_hold &= figures.broken.is_empty();
        figures.broken.iter().take(3).for_each(|broken| println!("      BROKEN: {broken}"));
    }
    Ok(exit_code(all_hold))
}
