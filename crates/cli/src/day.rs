//! `tackmast day` and `tackmast rules`.

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tackmast_day::Script;

#[derive(clap::Args)]
pub struct DayArguments {
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
}

pub fn day(a: &DayArguments) -> Result<ExitCode, String> {
    let mut script = Script::read(&a.file).map_err(|e| e.to_string())?;
    script.day.seed = a.seed.unwrap_or(script.day.seed);
    let kept = a.out.as_ref();
    let own = std::env::temp_dir().join(format!("tackmast-day-{}", std::process::id()));
    let dir = kept.unwrap_or(&own);
    std::fs::create_dir_all(dir).map_err(|e| format!("--out {}: {e}", dir.display()))?;
    let binary = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
    let seed = script.day.seed;
    let played = tackmast_day::play(&script, &binary, dir, seed);
    let kept = match (&played, kept) {
        (Ok(p), Some(dir)) => save(dir, p),
        (_, Some(_)) => Ok(()),
        (_, None) => std::fs::remove_dir_all(&own).map_err(|e| e.to_string()),
    };
    let played = played?;
    kept?;
    match a.json {
        true => println!("{}", serde_json::to_string_pretty(&played.report).map_err(|e| e.to_string())?),
        false => {
            print!("{}", played.report);
            for (i, (cpu, memory, threads)) in played.hosts.iter().enumerate() {
                println!("host {i}: {cpu:.2} s of CPU, {memory:.0} MiB, {threads} threads");
            }
        }
    }
    Ok(ExitCode::from(u8::from(!played.report.is_good())))
}

fn save(dir: &Path, played: &tackmast_day::Played) -> Result<(), String> {
    let file = |name: &str| {
        let path = dir.join(name);
        File::create(&path).map(BufWriter::new).map_err(|e| format!("{}: {e}", path.display()))
    };
    tackmast_trace::write(&played.trace, file("trace.jsonl")?).map_err(|e| format!("trace.jsonl: {e}"))?;
    serde_json::to_writer_pretty(file("report.json")?, &played.report)
        .map_err(|e| format!("report.json: {e}"))
}

pub fn rules(trace: &Path, json: bool) -> Result<ExitCode, String> {
    let at = |e: String| format!("{}: {e}", trace.display());
    let file = File::open(trace).map_err(|e| at(e.to_string()))?;
    let lines = tackmast_trace::read(BufReader::new(file)).map_err(at)?;
    let report = tackmast_rulecheck::judge(&lines);
    match json {
        true => println!("{}", serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?),
        false => print!("{report}"),
    }
    Ok(ExitCode::from(u8::from(!report.is_clean())))
}

pub fn import(file: &Path, seed: u64) -> Result<ExitCode, String> {
    let at = |e: String| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| at(e.to_string()))?;
    print!("{}", tackmast_day::import(&text, seed).map_err(at)?);
    Ok(ExitCode::SUCCESS)
}
