//! `tackmast scenario` and `tackmast rules`.

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tackmast_scenario::Script;

/// Arguments of `tackmast scenario`.
#[derive(clap::Args)]
pub struct ScenarioArguments {
    /// Script of the day, in HCL.
    file: PathBuf,
    /// In place of the script's seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Folder for the trace, the report, and the hosts' settings and logs; without it they are not kept.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Prints the report as JSON.
    #[arg(long)]
    json: bool,
    /// In place of the script's number of hosts; its troubles have to name them by parts.
    #[arg(long)]
    hosts: Option<u32>,
    /// Hosts do not know of each other, whatever the script says.
    #[arg(long)]
    alone: bool,
    /// Plays so many seeds one after the other, from the first, and prints a line each and what they come to.
    #[arg(long, conflicts_with_all = ["out", "json", "hunt"])]
    seeds: Option<u64>,
    /// Draws troubles of processes and ways from one seed after the other for so many minutes, beside what the script has,
    /// until something is wrong; a find is made smaller, and printed as a script.
    #[arg(long, value_name = "MINUTES", conflicts_with_all = ["out", "json"])]
    hunt: Option<f64>,
}

impl ScenarioArguments {
    fn script(&self) -> Result<Script, String> {
        let mut script = Script::read_sized(&self.file, self.hosts).map_err(|e| e.to_string())?;
        script.scenario.seed = self.seed.unwrap_or(script.scenario.seed);
        if self.alone && script.settings.consensus.is_some() {
            return Err(format!(
                "{}: --alone, and a block agreement; expected a day whose hosts need not hear each other",
                self.file.display()
            ));
        }
        if self.alone {
            (script.scenario.members, script.scenario.settled_within) = (false, 0.0);
        }
        Ok(script)
    }
}

/// Plays it in a folder of its own, which goes afterwards.
fn play_once(script: &Script) -> Result<tackmast_scenario::ScenarioRun, String> {
    let own = std::env::temp_dir().join(format!("tackmast-day-{}", std::process::id()));
    std::fs::create_dir_all(&own).map_err(|e| format!("{}: {e}", own.display()))?;
    let binary = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
    let played = tackmast_scenario::run(script, &binary, &own, script.scenario.seed);
    std::fs::remove_dir_all(&own).map_err(|e| format!("{}: {e}", own.display()))?;
    played.map_err(|e| e.to_string())
}

/// Part of the first tries that were done in time.
fn in_time(r: &tackmast_scenario::Report) -> f64 {
    let (asked, good) =
        r.served.iter().fold((0, 0.0), |(a, g), s| (a + s.requests, g + s.in_time * s.requests as f64));
    good / asked.max(1) as f64
}

fn seeds(a: &ScenarioArguments, count: u64) -> Result<ExitCode, String> {
    let mut script = a.script()?;
    let (first, mut good) = (script.scenario.seed, true);
    let (mut periods, mut served, mut cost) = (Vec::new(), Vec::new(), Vec::new());
    let (mut false_deaths, mut unsettled) = (0, 0);
    let mut agreed: Vec<tackmast_scenario::ConsensusObservations> = Vec::new();
    let mut by_fault: std::collections::BTreeMap<(usize, String), Vec<Option<f64>>> = Default::default();
    println!(
        "{} with {} hosts; stand-ins on loopback; periods from the last fault until settled",
        a.file.display(),
        script.scenario.hosts
    );
    println!(
        "{:>6} {:>8} {:>7} {:>6} {:>12} {:>8} {:>8}  wrong",
        "seed", "settled", "deaths", "false", "bytes/s host", "cpu", "in time"
    );
    for seed in first..first + count.clamp(1, 1000) {
        script.scenario.seed = seed;
        let r = play_once(&script)?.report;
        let v = r.view.clone().unwrap_or_default();
        let last = v.last_convergence_periods();
        let wrong = r.failures.len() + r.rules.rules.iter().map(|r| r.violations.len()).sum::<usize>();
        good &= r.is_good();
        println!(
            "{seed:>6} {:>8} {:>7} {:>6} {:>12.0} {:>7.2}% {:>8.3}  {}",
            last.map_or("-".into(), |p| format!("{p:.1}")),
            v.deaths,
            v.false_deaths,
            v.bytes_per_s,
            v.cpu_share * 100.0,
            in_time(&r),
            if r.is_good() { String::new() } else { format!("{wrong} things") }
        );
        for f in r.failures.iter().take(3) {
            println!("       {f}");
        }
        if !r.rules.is_clean() {
            print!("{}", r.rules);
        }
        for (i, a) in v.convergences.iter().enumerate() {
            let p = a.settled_s.map(|s| s / v.period_s.max(1e-9));
            by_fault.entry((i, a.fault.clone())).or_default().push(p);
        }
        match last {
            Some(p) => periods.push(p),
            None => unsettled += 1,
        }
        false_deaths += v.false_deaths;
        served.push(in_time(&r));
        agreed.extend(r.consensus.clone());
        cost.push((v.bytes_per_s, v.cpu_share));
    }
    let median = |mut x: Vec<f64>| {
        x.sort_by(f64::total_cmp);
        x.get(x.len() / 2).copied().unwrap_or(f64::NAN)
    };
    for ((_, fault), all) in &by_fault {
        let settled: Vec<f64> = all.iter().copied().flatten().collect();
        println!(
            "  after {fault}: median {:.1}, most {:.1} periods, {} of {} before the next fault",
            median(settled.clone()),
            settled.iter().copied().fold(f64::NAN, f64::max),
            settled.len(),
            all.len()
        );
    }
    if !agreed.is_empty() {
        let most = |f: fn(&tackmast_scenario::ConsensusObservations) -> f64| {
            agreed.iter().map(f).fold(0.0, f64::max)
        };
        println!(
            "agreement: {} changes of the day, an older version gone by for {:.3} s at most of {:.3} allowed; no leader for {:.2} s at most; {} calls of operators in an order",
            agreed.iter().map(|a| a.changes).sum::<usize>(),
            most(|a| a.max_outdated_s),
            most(|a| a.allowed_s),
            most(|a| a.leaderless_s),
            agreed.iter().map(|a| a.operator_call_count).sum::<usize>()
        );
    }
    println!(
        "settled: median {:.1}, most {:.1} periods, {unsettled} not; {false_deaths} false deaths; {:.0} bytes a second and {:.2}% of a core a host; in time {:.3}",
        median(periods.clone()),
        periods.iter().copied().fold(f64::NAN, f64::max),
        median(cost.iter().map(|c| c.0).collect()),
        median(cost.iter().map(|c| c.1 * 100.0).collect()),
        median(served),
    );
    Ok(ExitCode::from(u8::from(!good)))
}

fn hunt(a: &ScenarioArguments, minutes: f64) -> Result<ExitCode, String> {
    let script = a.script()?;
    let until =
        std::time::Instant::now() + std::time::Duration::from_secs_f64(minutes.clamp(0.01, 1440.0) * 60.0);
    let mut seed = script.scenario.seed;
    let is_bad = |s: &Script| play_once(s).map(|p| (!p.report.is_good()).then_some(p.report));
    while std::time::Instant::now() < until {
        let drawn = tackmast_scenario::add_generated_faults(&script, seed);
        if let Some(report) = is_bad(&drawn)? {
            println!(
                "seed {seed}: something is wrong\n{report}\ndrawn:\n{}",
                tackmast_scenario::faults_text(&drawn)
            );
            let small = tackmast_scenario::shrink(drawn, |s| Ok::<_, String>(is_bad(s)?.is_some()))?;
            println!("made smaller:\n{}", tackmast_scenario::faults_text(&small));
            return Ok(ExitCode::from(1));
        }
        println!("seed {seed}: {} troubles, nothing wrong", drawn.faults.len());
        seed += 1;
    }
    Ok(ExitCode::SUCCESS)
}

/// Plays a scenario, a number of seeds of it, or a hunt.
pub fn day(a: &ScenarioArguments) -> Result<ExitCode, String> {
    if let Some(minutes) = a.hunt {
        return hunt(a, minutes);
    }
    if let Some(count) = a.seeds {
        return seeds(a, count);
    }
    let script = a.script()?;
    let kept = a.out.as_ref();
    let own = std::env::temp_dir().join(format!("tackmast-day-{}", std::process::id()));
    let dir = kept.unwrap_or(&own);
    std::fs::create_dir_all(dir).map_err(|e| format!("--out {}: {e}", dir.display()))?;
    let binary = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
    let seed = script.scenario.seed;
    let played = tackmast_scenario::run(&script, &binary, dir, seed);
    let kept = match (&played, kept) {
        (Ok(p), Some(dir)) => save(dir, p),
        (_, Some(_)) => Ok(()),
        (_, None) => std::fs::remove_dir_all(&own).map_err(|e| e.to_string()),
    };
    let played = played.map_err(|e| e.to_string())?;
    kept?;
    match a.json {
        true => println!("{}", serde_json::to_string_pretty(&played.report).map_err(|e| e.to_string())?),
        false => {
            print!("{}", played.report);
            for (i, used) in played.host_resources.iter().enumerate() {
                let (cpu, memory, threads) = (used.cpu_s, used.memory_mib, used.threads);
                println!("host {i}: {cpu:.2} s of CPU, {memory:.0} MiB, {threads} threads");
            }
        }
    }
    Ok(ExitCode::from(u8::from(!played.report.is_good())))
}

fn save(dir: &Path, played: &tackmast_scenario::ScenarioRun) -> Result<(), String> {
    let file = |name: &str| {
        let path = dir.join(name);
        File::create(&path).map(BufWriter::new).map_err(|e| format!("{}: {e}", path.display()))
    };
    tackmast_trace::write(&played.trace, file("trace.jsonl")?).map_err(|e| format!("trace.jsonl: {e}"))?;
    serde_json::to_writer_pretty(file("report.json")?, &played.report)
        .map_err(|e| format!("report.json: {e}"))
}

/// Judges the rules from a recorded trace.
pub fn rules(trace: &Path, json: bool) -> Result<ExitCode, String> {
    let at = |e: String| format!("{}: {e}", trace.display());
    let file = File::open(trace).map_err(|e| at(e.to_string()))?;
    let lines = tackmast_trace::read(BufReader::new(file)).map_err(|e| at(e.to_string()))?;
    let report = tackmast_invariants::judge(&lines);
    match json {
        true => println!("{}", serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?),
        false => print!("{report}"),
    }
    Ok(ExitCode::from(u8::from(!report.is_clean())))
}

/// Prints a day of the bench as a scenario.
pub fn import(file: &Path, seed: u64) -> Result<ExitCode, String> {
    let at = |e: String| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| at(e.to_string()))?;
    print!("{}", tackmast_scenario::import_bench_day(&text, seed).map_err(|e| at(e.to_string()))?);
    Ok(ExitCode::SUCCESS)
}
