//! `tackmast simulator view`: the membership views of fleets under faults, in virtual time.

use crate::parallel;
use std::process::ExitCode;
use tackmast_simulator::{difference, find, summary, view, Case, Extensions, Shown, Trial, ViewFault};

/// Arguments of `tackmast simulator view`.
#[derive(clap::Args)]
pub struct ViewArguments {
    /// Hosts; given several times, each in turn.
    #[arg(long, default_values_t = [12, 48])]
    hosts: Vec<u32>,
    /// Cases, all without it.
    #[arg(long = "case")]
    cases: Vec<Case>,
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Beside the view as it was before this one's additions, in the same worlds, in pairs by seed.
    #[arg(long)]
    former: bool,
    /// Without one of the additions: local-health, confirm, own-pause, told-back, own-word, recall, damp or twin; beside
    /// the whole, in pairs by seed.
    #[arg(long, value_name = "ADDITION")]
    without: Option<String>,
    /// Looks for each deliberate fault of the view, up to so many seeds, and tells by which seed and case it is found.
    #[arg(long)]
    faults: bool,
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

fn without(name: &str) -> Result<Extensions, String> {
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
        other => {
            return Err(format!(
                "--without {other:?}; expected local-health, confirm, own-pause, told-back, own-word, recall, damp or twin"
            ))
        }
    })
}

/// Runs the cases that the arguments ask for.
pub fn run(a: &ViewArguments) -> Result<ExitCode, String> {
    if a.hosts.iter().any(|h| !(3..=1000).contains(h)) || !(1..=10_000).contains(&a.seeds) {
        return Err(format!("--hosts {:?} --seeds {}; expected 3 to 1000, and 1 to 10000", a.hosts, a.seeds));
    }
    if a.faults {
        return faults(a);
    }
    let other = match (&a.without, a.former) {
        (Some(name), _) => Some((format!("without {name}"), without(name)?)),
        (None, true) => Some(("former".to_owned(), Extensions::none())),
        (None, false) => None,
    };
    let cases = if a.cases.is_empty() { Case::ALL.to_vec() } else { a.cases.clone() };
    println!(
        "models in virtual time, {} seeds from {}; times in periods from the last fault until settled",
        a.seeds, a.first
    );
    println!(
        "{:>5} {:<16} {:<18} {:>7} {:>7} {:>9} {:>6} {:>6} {:>10}  difference, 95%",
        "hosts", "case", "view", "median", "most", "unsettled", "false", "held", "bytes/host"
    );
    let mut good = true;
    for hosts in &a.hosts {
        for case in &cases {
            let play = |extensions| {
                let seeds: Vec<u64> = (a.first..a.first + a.seeds).collect();
                parallel::map(&seeds, a.threads, |seed| {
                    view(&Trial { case: *case, hosts: *hosts, seed: *seed, extensions, fault: None })
                })
            };
            let now = play(Extensions::all());
            good &= now.iter().all(|s| s.broken.is_empty() && s.settled.is_some());
            let line = |name: &str, all: &[Shown], end: &str| {
                let s = summary(all);
                println!(
                    "{hosts:>5} {:<16} {name:<18} {:>7.1} {:>7.1} {:>9} {:>6} {:>6} {:>10.0}  {end}",
                    case.name(),
                    s.median,
                    s.most,
                    s.unsettled,
                    s.false_deaths,
                    s.false_views,
                    s.bytes
                );
                for (what, n) in s.broken.iter().take(3).zip(1..) {
                    println!("      broken {n}: {what}");
                }
            };
            let missed: Vec<f64> = now.iter().filter_map(|s| s.missed).collect();
            let most = missed.iter().copied().fold(0.0, f64::max);
            let end = if missed.is_empty() {
                String::new()
            } else {
                format!("missed by all after {most:.1} at most")
            };
            line("now", &now, &end);
            if let Some((name, extensions)) = &other {
                let then = play(*extensions);
                let (d, interval) = difference(&now, &then);
                let interval = interval.map_or("too few pairs".into(), |(x, y)| format!("{x:.1} to {y:.1}"));
                line(name, &then, &format!("{d:+.1} ({interval})"));
            }
        }
    }
    Ok(ExitCode::from(u8::from(!good)))
}

fn faults(a: &ViewArguments) -> Result<ExitCode, String> {
    let hosts = a.hosts.first().copied().unwrap_or(12);
    println!(
        "models in virtual time, {hosts} hosts, up to {} seeds from {}, all cases of each",
        a.seeds, a.first
    );
    let found = parallel::map(&ViewFault::ALL, a.threads, |f| find(*f, hosts, a.first, a.seeds));
    let mut good = true;
    for (f, found) in ViewFault::ALL.iter().zip(found) {
        match found {
            Some((seed, case, what)) => println!("{f:?}: seed {seed}, {}: {what}", case.name()),
            None => {
                good = false;
                println!("{f:?}: not found");
            }
        }
    }
    Ok(ExitCode::from(u8::from(!good)))
}
