//! `tackmast simulator hunt`: seed after seed, until a run fails, or for the worlds that are served worst.

#[cfg(test)]
mod tests;

use super::run_text::run_text;
use super::{reference_model, SimulatorError};
use crate::exit_code;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tackmast_simulator::{
    play, shrink, shrink_worse, without_orders, worse_than, Found, ReferenceModel, World,
};

/// Largest numbers of hosts that a search may be given.
const MAX_HOSTS: RangeInclusive<u32> = 1..=300;
/// Numbers of threads of a search.
const THREADS: RangeInclusive<usize> = 1..=64;
/// Longest search, in minutes.
const MAX_MINUTES: f64 = 600.0;
/// Hosts of a saved world that is scaled down for loopback.
const LOOPBACK_HOSTS: u32 = 4;
/// Fraction of a difference in service that must stay while a world is reduced.
const KEPT_DIFFERENCE: f64 = 0.8;
/// Worlds that are printed by how much worse they are served.
const WORST_LINES: usize = 5;

/// Arguments of `tackmast simulator hunt`.
#[derive(clap::Args)]
pub(crate) struct HuntArguments {
    /// Length of the search in minutes.
    #[arg(long, default_value_t = 1.0)]
    minutes: f64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Largest number of hosts; each seed has its own number up to that.
    #[arg(long, default_value_t = 20)]
    hosts: u32,
    /// Number of threads.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Searches instead for the worlds in which the host core serves worst compared with a reference model: fcfs, caps or
    /// buckets.
    #[arg(long, value_name = "MODEL")]
    worst: Option<String>,
    /// Writes the world that is found as scenario scripts into this folder: as it is, and scaled down for loopback.
    #[arg(long, value_name = "DIR")]
    save: Option<PathBuf>,
}

/// Searches as the arguments say. The exit code says whether a run has failed.
pub(super) fn run(arguments: &HuntArguments) -> Result<ExitCode, SimulatorError> {
    arguments.check_bounds()?;
    let worst = arguments.worst.as_deref();
    match worst.map(|name| reference_model::parse("--worst", name)).transpose()? {
        Some(model) => find_worst(arguments, model),
        None => find_failure(arguments),
    }
}

impl HuntArguments {
    fn check_bounds(&self) -> Result<(), SimulatorError> {
        SimulatorError::require_bounds(
            self.minutes > 0.0 && self.minutes <= MAX_MINUTES,
            || format!("--minutes {}", self.minutes),
            "up to 600",
        )?;
        SimulatorError::require_bounds(
            MAX_HOSTS.contains(&self.hosts),
            || format!("--hosts {}", self.hosts),
            "1 to 300",
        )?;
        SimulatorError::require_bounds(
            THREADS.contains(&self.threads),
            || format!("--threads {}", self.threads),
            "1 to 64",
        )
    }

    /// The number of hosts in the world of a seed.
    fn host_count(&self, seed: u64) -> u32 {
        1 + (seed % u64::from(self.hosts)) as u32
    }

    /// Looks at the worlds of one seed after the other on all threads, until the time is up or `is_last` says so. Returns how
    /// many worlds were looked at.
    fn search(&self, is_last: impl Fn(&World) -> bool + Sync) -> u64 {
        let end = Instant::now() + Duration::from_secs_f64(self.minutes * 60.0);
        let (next, is_over) = (AtomicU64::new(self.first), AtomicBool::new(false));
        let look_at_worlds = || {
            while !is_over.load(Ordering::Relaxed) && Instant::now() < end {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if is_last(&World::generate(seed, self.host_count(seed))) {
                    is_over.store(true, Ordering::Relaxed);
                }
            }
        };
        std::thread::scope(|scope| {
            for _ in 0..self.threads {
                scope.spawn(look_at_worlds);
            }
        });
        next.load(Ordering::Relaxed) - self.first
    }

    /// Saves a world, if the arguments name a folder.
    fn save(&self, world: &World) -> Result<(), SimulatorError> {
        match &self.save {
            Some(folder) => save(folder, world),
            None => Ok(()),
        }
    }
}

/// Searches for a world whose run fails: an invariant is violated, a table is not empty at the end, or a call is answered late.
fn find_failure(arguments: &HuntArguments) -> Result<ExitCode, SimulatorError> {
    let first_failed = Mutex::new(None);
    let count = arguments.search(|world| {
        let found = play(world, None);
        let is_bad = found.is_bad();
        if is_bad {
            let failed = (world.clone(), failure_text(&found));
            *first_failed.lock().unwrap_or_else(PoisonError::into_inner) = Some(failed);
        }
        is_bad
    });
    let first_failed = first_failed.into_inner().unwrap_or_else(PoisonError::into_inner);
    let HuntArguments { first, hosts, .. } = arguments;
    let Some((world, failure)) = first_failed else {
        println!(
            "{count} seeds from {first} on, up to {hosts} hosts: no invariant violated, nothing left over"
        );
        return Ok(ExitCode::SUCCESS);
    };
    println!("seed {}, {} hosts: {failure}", world.seed, world.hosts);
    println!("replay: {}", replay_command(&world));
    println!("reduced:");
    let reduced = shrink(&world, None);
    print!("{}", run_text(&reduced, &play(&reduced, None)));
    arguments.save(&reduced)?;
    Ok(exit_code::of_result(false))
}

/// What has failed in a run.
fn failure_text(found: &Found) -> String {
    let mut failures = Vec::new();
    if let Some(why) = &found.report.unfit {
        failures.push(format!("the trace proves nothing: {why}"));
    }
    for rule in found.report.rules.iter().filter(|rule| !rule.violations.is_empty()) {
        failures.push(format!("invariant {} violated {} times", rule.name, rule.violations.len()));
    }
    if found.run.stuck > 0 {
        failures.push(format!("{} entries left in tables at the end", found.run.stuck));
    }
    if found.run.calls_late > 0 {
        failures.push(format!("{} calls answered after their deadline", found.run.calls_late));
    }
    failures.join("; ")
}

/// The command that plays a generated world again.
fn replay_command(world: &World) -> String {
    format!("tackmast simulator play --seed {} --hosts {}", world.seed, world.hosts)
}

/// A world, and by which fraction of requests in time the host core is worse than a reference model.
struct Comparison {
    world: World,
    difference: f64,
}

/// Searches for the world in which the host core serves worst compared with a reference model.
fn find_worst(arguments: &HuntArguments, model: ReferenceModel) -> Result<ExitCode, SimulatorError> {
    let comparisons = Mutex::new(Vec::new());
    let count = arguments.search(|world| {
        let world = without_orders(world);
        let difference = worse_than(&world, model);
        let mut comparisons = comparisons.lock().unwrap_or_else(PoisonError::into_inner);
        comparisons.push(Comparison { world, difference });
        false
    });
    let mut comparisons = comparisons.into_inner().unwrap_or_else(PoisonError::into_inner);
    comparisons.sort_by(|a, b| b.difference.total_cmp(&a.difference));
    print_worst(arguments, model, count, &comparisons);
    let Some(Comparison { world, difference }) = comparisons.into_iter().next().filter(Comparison::is_worse)
    else {
        return Ok(ExitCode::SUCCESS);
    };
    println!("the first of them, reduced while {KEPT_DIFFERENCE} of the difference stays:");
    let reduced = shrink_worse(&world, model, difference * KEPT_DIFFERENCE);
    print!("{}", run_text(&reduced, &play(&reduced, None)));
    println!("{model:?} is ahead by {:.3}", worse_than(&reduced, model));
    arguments.save(&reduced)?;
    Ok(ExitCode::SUCCESS)
}

impl Comparison {
    fn is_worse(&self) -> bool {
        self.difference > 0.0
    }
}

fn print_worst(arguments: &HuntArguments, model: ReferenceModel, count: u64, comparisons: &[Comparison]) {
    let worse_count = comparisons.iter().filter(|comparison| comparison.is_worse()).count();
    println!(
        "{count} seeds from {} on, up to {} hosts; the host core is behind {model:?} in {worse_count}",
        arguments.first, arguments.hosts
    );
    for Comparison { world, difference } in comparisons.iter().take(WORST_LINES) {
        println!("seed {}, {} hosts: {difference:+.3} of the requests in time", world.seed, world.hosts);
    }
}

/// Writes a world as scenario scripts: as it is, and scaled down for loopback.
fn save(folder: &Path, world: &World) -> Result<(), SimulatorError> {
    std::fs::create_dir_all(folder)
        .map_err(|source| SimulatorError::File { path: folder.to_owned(), source })?;
    let scaled = world.scaled(LOOPBACK_HOSTS);
    for (suffix, world) in [("", world), ("-loopback", &scaled)] {
        let path = folder.join(format!("seed-{}{suffix}.hcl", world.seed));
        if let Err(source) = std::fs::write(&path, world.to_script()) {
            return Err(SimulatorError::File { path, source });
        }
        println!("saved as {}", path.display());
    }
    Ok(())
}
