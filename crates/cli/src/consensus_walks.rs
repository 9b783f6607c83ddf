//! `tackmast simulator agree`: random walks over the states of consensus, in virtual time.

use std::process::ExitCode;
use tackmast_simulator::{agreed_fleet, explore, find_fault, walk, ConsensusFault, FleetTrial, Walk, Walked};

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
pub fn run(a: &AgreeArguments) -> Result<ExitCode, String> {
    if !(1..=1_000_000).contains(&a.steps) || a.depth.is_some_and(|d| d > 8) {
        return Err(format!("--steps {} --depth {:?}; expected 1 to 1000000, and up to 8", a.steps, a.depth));
    }
    if let Some(depth) = a.depth {
        let e = explore(depth, None);
        println!("three voters, {} states to a depth of {depth}", e.states);
        let good = e.broken.is_none();
        e.broken.into_iter().for_each(|b| println!("BROKEN: {b}"));
        return Ok(ExitCode::from(u8::from(!good)));
    }
    if !a.fleets.is_empty() {
        return fleets(a);
    }
    let seeds: Vec<u64> = (a.first..a.first + a.walks).collect();
    if a.faults {
        let found = crate::parallel::map(&ConsensusFault::ALL, a.threads, |f| {
            find_fault(*f, a.first, a.walks, a.steps)
        });
        let mut good = true;
        for (f, found) in ConsensusFault::ALL.iter().zip(found) {
            match found {
                Some((seed, step, what)) => println!("{f:?}: walk {seed}, step {step}: {what}"),
                None => {
                    good = false;
                    println!("{f:?}: not found in {} walks", a.walks);
                }
            }
        }
        return Ok(ExitCode::from(u8::from(!good)));
    }
    let all: Vec<Walked> = crate::parallel::map(&seeds, a.threads, |s| walk(&Walk::drawn(*s, a.steps, None)));
    let sum = |f: fn(&Walked) -> u64| all.iter().map(f).sum::<u64>();
    let longest = all.iter().map(|w| w.longest).fold(0.0, f64::max);
    println!(
        "{} walks of {} steps from seed {}: {} entries agreed on, {} reads, longest by an older word {longest:.3} of a lease",
        a.walks,
        a.steps,
        a.first,
        sum(|w| w.committed),
        sum(|w| w.reads)
    );
    let mut good = true;
    for (seed, w) in seeds.iter().zip(&all) {
        if let Some((step, what)) = &w.broken {
            good = false;
            println!("BROKEN: walk {seed}, step {step}: {what}");
            w.told.iter().for_each(|t| println!("    {t}"));
        }
    }
    Ok(ExitCode::from(u8::from(!good)))
}

fn fleets(a: &AgreeArguments) -> Result<ExitCode, String> {
    if a.fleets.iter().any(|h| !(3..=2_000).contains(h)) || !(0.0..=0.9).contains(&a.loss) {
        return Err(format!("--fleet {:?} --loss {}; expected 3 to 2000, and 0 to 0.9", a.fleets, a.loss));
    }
    println!(
        "models in virtual time, three voters, beats of 0.1 s, leases of 5 s, {} seeds from {}, {} lost",
        a.seeds, a.first, a.loss
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
    let trials: Vec<FleetTrial> = a
        .fleets
        .iter()
        .flat_map(|h| {
            (a.first..a.first + a.seeds).map(|seed| FleetTrial { hosts: *h, voters: 3, seed, loss: a.loss })
        })
        .collect();
    let all = crate::parallel::map(&trials, a.threads, agreed_fleet);
    let mut good = true;
    for (t, f) in trials.iter().zip(all) {
        let pair = |(median, most): (f64, f64)| format!("{median:.3}, {most:.3}");
        println!(
            "{:>5} {:>5} {:>7.2} {:>9.0} {:>11.0} {:>15} {:>15} {:>10.0} {:>10.2} {:>8.3}",
            t.hosts,
            t.seed,
            f.begins,
            f.bytes,
            f.leader_bytes,
            pair(f.known),
            pair(f.all_know),
            f.commits,
            f.leaderless,
            f.longest
        );
        good &= f.broken.is_empty();
        f.broken.iter().take(3).for_each(|b| println!("      BROKEN: {b}"));
    }
    Ok(ExitCode::from(u8::from(!good)))
}
