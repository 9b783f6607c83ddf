//! `tackmast plan`: plans that change while hosts run, over the admin socket of a host that takes changes.

mod change_log;
mod error;
mod file;
mod print;
#[cfg(test)]
mod tests;

pub(crate) use error::PlanError;

use crate::admin_calls::{self, AdminCallError};
use crate::planner::{self, PlannerArguments};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tackmast_host_core::{AdminRequest, AdminResponse, PlanRequest, PlanResponse, PlanStatus};
use tackmast_plans::Change;

/// The host that is called.
#[derive(clap::Args)]
pub(crate) struct HostArguments {
    /// Admin socket of a host. With consensus any host takes changes; without it only the home host does, which the others name.
    #[arg(long = "host", value_name = "SOCKET")]
    socket: PathBuf,
    /// Prints the answer as JSON.
    #[arg(long)]
    json: bool,
}

/// Who makes a change, and why.
#[derive(clap::Args)]
pub(crate) struct ChangeArguments {
    /// Who makes the change, for the change log.
    #[arg(long, env = "USER")]
    who: String,
    /// Why, for the change log.
    #[arg(long)]
    why: String,
    /// Only shows what would change.
    #[arg(long)]
    dry_run: bool,
}

/// Arguments of `tackmast plan log`.
#[derive(clap::Args)]
pub(crate) struct LogArguments {
    /// Verifies that each entry follows from the one before, and that all lead to the plans in force.
    #[arg(long)]
    verify: bool,
    /// Reads a change log that `log --json` has printed, in place of a host's.
    #[arg(long, value_name = "FILE", conflicts_with = "socket")]
    from: Option<PathBuf>,
    /// Admin socket of a host.
    #[arg(long = "host", value_name = "SOCKET", required_unless_present = "from")]
    socket: Option<PathBuf>,
    /// Prints the change log as JSON.
    #[arg(long)]
    json: bool,
}

/// Arguments of `tackmast plan`.
#[derive(clap::Subcommand)]
pub(crate) enum PlanCommand {
    /// Prints the plans and the volumes under them, as HCL that `apply` reads.
    Show {
        /// The host that is called.
        #[command(flatten)]
        host: HostArguments,
    },
    /// Shows what a file would change.
    Diff {
        /// File of plans, in HCL.
        file: PathBuf,
        /// The host that is called.
        #[command(flatten)]
        host: HostArguments,
    },
    /// Changes plans to what a file says: `plan` blocks with all values, and `volume` blocks with the name of a plan.
    ///
    /// What the file does not name stays as it is. The change is checked as a whole, and applies as a whole or not at all.
    Apply {
        /// File of plans, in HCL.
        file: PathBuf,
        /// Plans that are removed.
        #[arg(long, value_name = "PLAN")]
        remove: Vec<String>,
        /// The version that the file was made from, as printed by `show`; by default the one in force.
        #[arg(long)]
        base: Option<u64>,
        /// Who makes the change, and why.
        #[command(flatten)]
        by: ChangeArguments,
        /// The host that is called.
        #[command(flatten)]
        host: HostArguments,
    },
    /// Undoes a change by a new one. Refused where later changes depend on it.
    Undo {
        /// Number of the change.
        number: u64,
        /// Who makes the change, and why.
        #[command(flatten)]
        by: ChangeArguments,
        /// The host that is called.
        #[command(flatten)]
        host: HostArguments,
    },
    /// Checks whether a recorded workload can meet its latency objectives where its data lies, and which are at risk, by the
    /// planner's bound. Calls no host.
    Check(PlannerArguments),
    /// Suggests limits and bursts for a recorded workload, and a placement on so many nodes.
    Suggest {
        /// The workload and the nodes.
        #[command(flatten)]
        arguments: PlannerArguments,
        /// Number of nodes.
        #[arg(long)]
        nodes: usize,
    },
    /// Shows who changed what, when and why.
    Log(LogArguments),
}

/// Calls the host, and prints its answer.
pub(crate) fn run(command: PlanCommand) -> Result<ExitCode, PlanError> {
    match command {
        PlanCommand::Show { host } => show(&host)?,
        PlanCommand::Diff { file, host } => {
            let by = ChangeArguments { who: "diff".into(), why: "what would move".into(), dry_run: true };
            apply(&file, &[], None, by, &host)?;
        }
        PlanCommand::Apply { file, remove, base, by, host } => apply(&file, &remove, base, by, &host)?,
        PlanCommand::Undo { number, by, host } => {
            let ChangeArguments { who, why, dry_run } = by;
            let request = PlanRequest::Undo { number, who, why, dry_run };
            print_response(&call(&host.socket, request)?, host.json)?;
        }
        PlanCommand::Check(arguments) => return Ok(planner::check(&arguments)?),
        PlanCommand::Suggest { arguments, nodes } => return Ok(planner::suggest(&arguments, nodes)?),
        PlanCommand::Log(arguments) => log(&arguments)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn call(socket: &Path, request: PlanRequest) -> Result<PlanResponse, AdminCallError> {
    const EXPECTED: &str = "an answer about plans";
    match admin_calls::request(socket, AdminRequest::Plan(request), EXPECTED)? {
        AdminResponse::Plan(response) => Ok(response),
        other => Err(AdminCallError::unexpected(socket, &other, EXPECTED)),
    }
}

fn call_status(socket: &Path) -> Result<PlanStatus, AdminCallError> {
    match call(socket, PlanRequest::Show)? {
        PlanResponse::Shown(status) => Ok(*status),
        other => Err(AdminCallError::unexpected(socket, &other, "the host's plans")),
    }
}

fn show(host: &HostArguments) -> Result<(), PlanError> {
    let status = call_status(&host.socket)?;
    match host.json {
        true => println!("{}", serde_json::to_string(&status)?),
        false => print::status(&status)?,
    }
    Ok(())
}

fn apply(
    file: &Path,
    removed: &[String],
    base: Option<u64>,
    by: ChangeArguments,
    host: &HostArguments,
) -> Result<(), PlanError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| PlanError::UnreadablePlans { path: file.to_owned(), source })?;
    let catalogue = call_status(&host.socket)?.catalogue;
    let steps = file::steps(&file.display().to_string(), &text, &catalogue, removed)?;
    if steps.is_empty() {
        println!("nothing to change: version {} is as the file says", catalogue.version);
        return Ok(());
    }
    let ChangeArguments { who, why, dry_run } = by;
    let change = Change { base: base.unwrap_or(catalogue.version), steps, who, why };
    print_response(&call(&host.socket, PlanRequest::Apply { change, dry_run })?, host.json)
}

fn log(arguments: &LogArguments) -> Result<(), PlanError> {
    let response = match (&arguments.from, &arguments.socket) {
        (Some(file), _) => change_log::read(file)?,
        (None, Some(socket)) => call(socket, PlanRequest::Log)?,
        (None, None) => return Err(PlanError::NoSource),
    };
    match &response {
        PlanResponse::Log { text, fleet } if arguments.verify => change_log::verify(text, fleet),
        PlanResponse::Log { text, fleet } if !arguments.json => change_log::print(text, fleet),
        _ => print_response(&response, arguments.json),
    }
}

/// Prints the answer to a change.
fn print_response(response: &PlanResponse, json: bool) -> Result<(), PlanError> {
    if json {
        println!("{}", serde_json::to_string(response)?);
    }
    match response {
        PlanResponse::Refused { why } => return Err(AdminCallError::Refused { why: why.clone() }.into()),
        PlanResponse::Applied { number, version, lines, in_force_s, dry_run } if !json => {
            lines.iter().for_each(|line| println!("{line}"));
            match dry_run {
                true => println!("nothing has changed; it would be change {number}, version {version}"),
                false => {
                    println!("change {number}, version {version}; in force at all hosts in {in_force_s:.1} s")
                }
            }
        }
        _ => {}
    }
    Ok(())
}
