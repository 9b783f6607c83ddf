//! `tackmast plan`: plans that change while hosts run, over the admin socket of the host that takes changes.

#[cfg(test)]
mod tests;

use crate::admin_calls::ADMIN_TIMEOUT;
use crate::time_format::timestamp;
use hcl::{Block, Body};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tackmast_admin::{Answer, Call};
use tackmast_config::{Document, Place};
use tackmast_host_core::{AdminRequest, AdminResponse, PlanRequest, PlanResponse, PlanStatus};
use tackmast_plans::{Catalogue, Change, ChangeLog, Fleet, LogHead, Plan, Step};

/// The host that is called.
#[derive(clap::Args)]
pub struct Home {
    /// Admin socket of a host. Changes are taken by one of them alone; another names it.
    #[arg(long = "host", value_name = "SOCKET")]
    host: PathBuf,
    /// Prints the answer as JSON.
    #[arg(long)]
    json: bool,
}

/// Who makes a change, and why.
#[derive(clap::Args)]
pub struct By {
    /// Who changes it.
    #[arg(long, env = "USER")]
    who: String,
    /// Why; it stays in the trail.
    #[arg(long)]
    why: String,
    /// Only tells what would move.
    #[arg(long)]
    dry_run: bool,
}

/// Arguments of `tackmast plan`.
#[derive(clap::Subcommand)]
pub enum PlanCommand {
    /// Prints the plans and the volumes under them, as HCL that `apply` takes.
    Show {
        #[command(flatten)]
        home: Home,
    },
    /// Tells what a file would move.
    Diff {
        file: PathBuf,
        #[command(flatten)]
        home: Home,
    },
    /// Sets what a file says otherwise: `plan` blocks with all figures, and `volume` blocks with the name of a plan.
    ///
    /// What the file does not name stays. It is judged as a whole: all of it moves or nothing.
    Apply {
        file: PathBuf,
        /// Plans that are taken away.
        #[arg(long, value_name = "PLAN")]
        remove: Vec<String>,
        /// The version that the file was made on, as `show` told it; without it, the one that holds now.
        #[arg(long)]
        base: Option<u64>,
        #[command(flatten)]
        by: By,
        #[command(flatten)]
        home: Home,
    },
    /// Takes a change back, by a new one. It is refused where others have gone on since.
    Undo {
        number: u64,
        #[command(flatten)]
        by: By,
        #[command(flatten)]
        home: Home,
    },
    /// Tells whether the latency objectives of a recorded load can hold where its data lies, and which are at risk, by the paper's
    /// bound. Nothing is asked of any host.
    Check(crate::planner::Figures),
    /// Proposes limits and bursts for a recorded load, and a placement on so many nodes.
    Suggest {
        #[command(flatten)]
        figures: crate::planner::Figures,
        #[arg(long)]
        nodes: usize,
    },
    /// Shows who changed what, when and why.
    Log {
        /// Proves each entry against the one before, and that they lead to the plans that hold.
        #[arg(long)]
        verify: bool,
        /// A trail as `log --json` printed it, in place of a host's.
        #[arg(long, value_name = "FILE", conflicts_with = "host")]
        from: Option<PathBuf>,
        #[arg(long = "host", value_name = "SOCKET", required_unless_present = "from")]
        host: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
}

fn ask(host: &Path, ask: PlanRequest) -> Result<PlanResponse, String> {
    match tackmast_admin::call(host, &Call::AdminRequest(AdminRequest::Plan(ask)), ADMIN_TIMEOUT)
        .map_err(|e| e.to_string())?
    {
        Answer::AdminResponse(r) => match *r {
            AdminResponse::Plan(p) => Ok(p),
            AdminResponse::NotKept { why } => Err(why),
            other => Err(format!("host {}: {other:?}; expected word of plans", host.display())),
        },
        Answer::Error(e) => Err(e),
        Answer::Audit(_) => Err(format!("host {}: an audit; expected word of plans", host.display())),
    }
}

fn shown(host: &Path) -> Result<PlanStatus, String> {
    match ask(host, PlanRequest::Show)? {
        PlanResponse::Shown(s) => Ok(*s),
        other => Err(format!("host {}: {other:?}; expected its plans", host.display())),
    }
}

/// Calls the host, and prints its answer.
pub fn run(command: PlanCommand) -> Result<ExitCode, String> {
    match command {
        PlanCommand::Show { home } => {
            let s = shown(&home.host)?;
            match home.json {
                true => println!("{}", serde_json::to_string(&s).map_err(|e| e.to_string())?),
                false => show(&s)?,
            }
            Ok(ExitCode::SUCCESS)
        }
        PlanCommand::Diff { file, home } => {
            let by = By { who: "diff".into(), why: "what would move".into(), dry_run: true };
            apply(&file, &[], None, by, &home)
        }
        PlanCommand::Apply { file, remove, base, by, home } => apply(&file, &remove, base, by, &home),
        PlanCommand::Undo { number, by, home } => {
            let By { who, why, dry_run } = by;
            told(ask(&home.host, PlanRequest::Undo { number, who, why, dry_run })?, home.json)
        }
        PlanCommand::Check(figures) => crate::planner::check(&figures),
        PlanCommand::Suggest { figures, nodes } => crate::planner::suggest(&figures, nodes),
        PlanCommand::Log { verify, from, host, json } => {
            let reply = match (from, host) {
                (Some(file), _) => read_log(&file)?,
                (None, Some(host)) => ask(&host, PlanRequest::Log)?,
                (None, None) => {
                    return Err("--host: missing; expected a socket, or --from with a file".into())
                }
            };
            let PlanResponse::Log { text, fleet } = &reply else { return told(reply, json) };
            if verify {
                return prove(text, fleet);
            }
            match json {
                true => println!("{}", serde_json::to_string(&reply).map_err(|e| e.to_string())?),
                false => log(text, fleet)?,
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read_log(file: &Path) -> Result<PlanResponse, String> {
    let at = |e: String| format!("{}: {e}; expected what `plan log --json` printed", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| at(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| at(e.to_string()))
}

fn prove(text: &str, fleet: &Fleet) -> Result<ExitCode, String> {
    // A last line without its end is left out when a store is read; here all of it was sent.
    if !text.ends_with('\n') {
        return Err("the trail: its last line is cut; expected all of it".into());
    }
    let trail = ChangeLog::from_bytes(text.as_bytes(), fleet).map_err(|e| format!("the trail: {e}"))?;
    let LogHead { number, digest } = trail.head();
    println!("{} changes are as they were written, up to {number}; digest {digest}", trail.entries.len());
    Ok(ExitCode::SUCCESS)
}

fn log(text: &str, fleet: &Fleet) -> Result<(), String> {
    let trail = ChangeLog::from_bytes(text.as_bytes(), fleet).map_err(|e| format!("the trail: {e}"))?;
    let mut at = trail.checkpoint.catalogue.clone();
    for e in &trail.entries {
        println!("{:>6}  {}  {:<10} {}", e.number, timestamp(e.at_us), e.change.who, e.change.why);
        let next = at.apply(&e.change, fleet).map_err(|r| r.to_string())?.catalogue;
        at.diff(&next).iter().for_each(|l| println!("        {l}"));
        at = next;
    }
    Ok(())
}

fn show(s: &PlanStatus) -> Result<(), String> {
    println!("# version {}, change {}; host {} takes changes", s.catalogue.version, s.number, s.home);
    if s.stale {
        println!("# this host could not ask whether there is a newer one");
    }
    if s.in_force_s > 0.0 {
        println!("# hosts may go by the change before for {:.1} s more", s.in_force_s);
    }
    let behind: Vec<String> =
        s.at.iter().filter(|(_, n)| **n < s.number).map(|(h, n)| format!("{h} by {n}")).collect();
    if !behind.is_empty() {
        println!("# hosts that last said they go by an older one: {}", behind.join(", "));
    }
    let mut body = Body::builder();
    for (name, p) in &s.catalogue.plans {
        let figures = [("limit", p.limit), ("burst", p.burst), ("slack", p.slack), ("reserve", p.reserve)];
        let floor = p.floor.map(|f| ("floor", f));
        let block =
            Block::builder("plan").add_label(name.as_str()).add_attributes(figures).add_attributes(floor);
        body = body.add_block(block.add_attribute(("weight", p.weight)).build());
    }
    for (name, v) in &s.catalogue.volumes {
        let block =
            Block::builder("volume").add_label(name.as_str()).add_attribute(("plan", v.plan.as_str()));
        body = body.add_block(block.build());
    }
    print!("{}", hcl::to_string(&body.build()).map_err(|e| e.to_string())?);
    Ok(())
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VolumeUnder {
    plan: String,
}

/// The steps that make what a file says so.
pub fn steps(file: &str, text: &str, now: &Catalogue, remove: &[String]) -> Result<Vec<Step>, String> {
    let doc = Document::parse(file, text).map_err(|e| e.to_string())?;
    doc.require_known_blocks(&["plan", "volume"]).map_err(|e| e.to_string())?;
    let mut steps = Vec::new();
    for f in doc.labelled_blocks::<Plan>("plan").map_err(|e| e.to_string())? {
        if now.plans.get(&f.label) != Some(&f.value) {
            steps.push(Step::Plan { name: f.label, to: Some(f.value) });
        }
    }
    let mut seen = BTreeMap::new();
    for f in doc.labelled_blocks::<VolumeUnder>("volume").map_err(|e| e.to_string())? {
        let wrong = |found: &str, expected: &str| {
            doc.error_for(&Place { kind: "volume", label: &f.label, name: "plan" }, found, expected)
                .to_string()
        };
        let Some(v) = now.volumes.get(&f.label) else {
            return Err(wrong("no such volume", "one that `plan show` names"));
        };
        if seen.insert(f.label.clone(), ()).is_some() {
            return Err(wrong("named twice", "one block for a volume"));
        }
        if v.plan != f.value.plan {
            let to = tackmast_plans::Volume { plan: f.value.plan, ..v.clone() };
            steps.push(Step::Volume { name: f.label, to: Some(to) });
        }
    }
    steps.extend(remove.iter().map(|name| Step::Plan { name: name.clone(), to: None }));
    Ok(steps)
}

fn apply(file: &Path, remove: &[String], base: Option<u64>, by: By, home: &Home) -> Result<ExitCode, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}; expected a file of plans"))?;
    let s = shown(&home.host)?;
    let steps = steps(&name, &text, &s.catalogue, remove)?;
    if steps.is_empty() {
        println!("nothing moves: version {} is as the file says", s.catalogue.version);
        return Ok(ExitCode::SUCCESS);
    }
    let By { who, why, dry_run } = by;
    let change = Change { base: base.unwrap_or(s.catalogue.version), steps, who, why };
    told(ask(&home.host, PlanRequest::Apply { change, dry_run })?, home.json)
}

fn told(reply: PlanResponse, json: bool) -> Result<ExitCode, String> {
    if json {
        println!("{}", serde_json::to_string(&reply).map_err(|e| e.to_string())?);
    }
    match reply {
        PlanResponse::Refused { why } => Err(format!("refused: {why}")),
        PlanResponse::Applied { number, version, lines, in_force_s, dry_run } if !json => {
            lines.iter().for_each(|l| println!("{l}"));
            match dry_run {
                true => println!("nothing has moved; it would be change {number}, version {version}"),
                false => {
                    println!("change {number}, version {version}; all hosts go by it in {in_force_s:.1} s")
                }
            }
            Ok(ExitCode::SUCCESS)
        }
        _ => Ok(ExitCode::SUCCESS),
    }
}
