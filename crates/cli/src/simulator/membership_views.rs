//! `tackmast simulator view`: the membership views of fleets under faults, in virtual time.

use super::SimulatorError;
use crate::exit_code;
use crate::parallel;
use std::process::ExitCode;
use tackmast_simulator::{difference, find, summary, view, Case, Extensions, Shown, Trial, ViewFault};

/// Number of hosts in the search for deliberate faults, where none is given.
const DEFAULT_FAULT_HOSTS: u32 = 12;

/// Arguments of `tackmast simulator view`.
#[derive(clap::Args)]
pub(crate) struct ViewArguments {
    /// Number of hosts; if given several times, each is played.
    #[arg(long, default_values_t = [12, 48])]
    hosts: Vec<u32>,
    /// The cases that are played; all by default.
    #[arg(long = "case")]
    cases: Vec<Case>,
    /// Number of seeds.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Compares with the view without any extension, in pairs by seed.
    #[arg(long)]
    former: bool,
    /// Compares with the view without one extension, in pairs by seed: local-health, confirm, own-pause, told-back,
    /// own-word, recall, damp or twin.
    #[arg(long, value_name = "EXTENSION")]
    without: Option<String>,
    /// Searches for each deliberate fault of the view, in up to so many seeds, and prints the seed and case that find it.
    #[arg(long)]
    faults: bool,
    /// Number of threads.
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

/// All extensions of the view but one.
fn without(name: &str) -> Result<Extensions, SimulatorError> {
    let all = Extensions::all();
    Ok(match name {
        "local-health" => Extensions { local_health: false, ..all },
        "confirm" => Extensions { suspicion_confirmation: false, ..all },
        "own-pause" => Extensions { pause_detection: false, ..all },
        "told-back" => Extensions { buddy_system: false, ..all },
        "own-word" => Extensions { sender_state: false, ..all },
        "recall" => Extensions { rejoin: false, ..all },
        "damp" => Extensions { flap_damping: false, ..all },
        "twin" => Extensions { duplicate_id_check: false, ..all },
        other => return Err(SimulatorError::UnknownExtension(other.to_owned())),
    })
}

/// Plays the cases that the arguments select.
pub(super) fn run(arguments: &ViewArguments) -> Result<ExitCode, SimulatorError> {
    let ViewArguments { hosts, seeds, first, .. } = arguments;
    SimulatorError::require_bounds(
        hosts.iter().all(|hosts| (3..=1000).contains(hosts)) && (1..=10_000).contains(seeds),
        || format!("--hosts {hosts:?} --seeds {seeds}"),
        "3 to 1000, and 1 to 10000",
    )?;
    if arguments.faults {
        return Ok(find_faults(arguments));
    }
    let other = other_view(arguments)?;
    let cases = if arguments.cases.is_empty() { Case::ALL.to_vec() } else { arguments.cases.clone() };
    println!(
        "models in virtual time, {seeds} seeds from {first}; times in periods from the last fault until settled"
    );
    println!(
        "{:>5} {:<16} {:<18} {:>7} {:>7} {:>9} {:>6} {:>6} {:>10}  difference, 95%",
        "hosts", "case", "view", "median", "max", "unsettled", "false", "held", "bytes/host"
    );
    let mut all_settled = true;
    for hosts in hosts {
        for case in &cases {
            all_settled &= compare_case(arguments, *hosts, *case, other.as_ref());
        }
    }
    Ok(exit_code::of_result(all_settled))
}

/// A view with other extensions, which is compared with the one in use.
struct OtherView {
    name: String,
    extensions: Extensions,
}

fn other_view(arguments: &ViewArguments) -> Result<Option<OtherView>, SimulatorError> {
    Ok(match (&arguments.without, arguments.former) {
        (Some(name), _) => Some(OtherView { name: format!("without {name}"), extensions: without(name)? }),
        (None, true) => Some(OtherView { name: "former".to_owned(), extensions: Extensions::none() }),
        (None, false) => None,
    })
}

/// Plays a case with so many hosts, and prints its lines. Returns whether all views have settled.
fn compare_case(arguments: &ViewArguments, hosts: u32, case: Case, other: Option<&OtherView>) -> bool {
    let seeds: Vec<u64> = (arguments.first..arguments.first + arguments.seeds).collect();
    let play = |extensions| {
        parallel::map(&seeds, arguments.threads, |seed| {
            view(&Trial { case, hosts, seed: *seed, extensions, fault: None })
        })
    };
    let now = play(Extensions::all());
    print_line(hosts, case, "now", &now, &missed_text(&now));
    if let Some(OtherView { name, extensions }) = other {
        let then = play(*extensions);
        let (median, interval) = difference(&now, &then);
        let interval =
            interval.map_or("too few pairs".into(), |(low, high)| format!("{low:.1} to {high:.1}"));
        print_line(hosts, case, name, &then, &format!("{median:+.1} ({interval})"));
    }
    now.iter().all(|shown| shown.broken.is_empty() && shown.settled.is_some())
}

/// The latest time at which all hosts knew of a death.
fn missed_text(shown: &[Shown]) -> String {
    let missed: Vec<f64> = shown.iter().filter_map(|shown| shown.missed).collect();
    if missed.is_empty() {
        return String::new();
    }
    let latest = missed.iter().copied().fold(0.0, f64::max);
    format!("known to be dead by all after {latest:.1} at most")
}

fn print_line(hosts: u32, case: Case, name: &str, shown: &[Shown], end: &str) {
    let summary = summary(shown);
    println!(
        "{hosts:>5} {:<16} {name:<18} {:>7.1} {:>7.1} {:>9} {:>6} {:>6} {:>10.0}  {end}",
        case.name(),
        summary.median,
        summary.most,
        summary.unsettled,
        summary.false_deaths,
        summary.false_views,
        summary.bytes
    );
    for (what, number) in summary.broken.iter().take(3).zip(1..) {
        println!("      violation {number}: {what}");
    }
}

/// Searches for each deliberate fault of the view.
fn find_faults(arguments: &ViewArguments) -> ExitCode {
    let ViewArguments { first, seeds, threads, .. } = *arguments;
    let hosts = arguments.hosts.first().copied().unwrap_or(DEFAULT_FAULT_HOSTS);
    println!("models in virtual time, {hosts} hosts, up to {seeds} seeds from {first}, all cases of each");
    let found = parallel::map(&ViewFault::ALL, threads, |fault| find(*fault, hosts, first, seeds));
    let mut all_found = true;
    for (fault, found) in ViewFault::ALL.iter().zip(found) {
        match found {
            Some((seed, case, what)) => println!("{fault:?}: seed {seed}, {}: {what}", case.name()),
            None => {
                all_found = false;
                println!("{fault:?}: not found");
            }
        }
    }
    exit_code::of_result(all_found)
}
