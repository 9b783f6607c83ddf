//! `tackmast consensus`: who votes, who leads, and how each host stands to what is agreed on.

#[cfg(test)]
mod tests;

use crate::admin_calls::{Hosts, ADMIN_TIMEOUT};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse, ConsensusRequest, ConsensusResponse, ConsensusStatus};

/// Arguments of `tackmast consensus`.
#[derive(clap::Subcommand)]
pub enum ConsensusCommand {
    /// Shows leader, term, voters, versions by host, and who is past its lease and in what posture.
    Status {
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Changes who votes, one host at a time; asked of the host that leads.
    #[command(subcommand)]
    Voter(VoterCommand),
    /// Most voters are gone for good: this host goes on alone from what it has, as a log of its own. What only the others had
    /// is lost. Refused while a leader is heard. Other hosts keep to their floors until they `forget`.
    Force(ByForce),
    /// This host forgets its log and follows the one that others have; it votes no more until it is made a voter.
    Forget(ByForce),
}

/// Which host is changed by force, by whom and why.
#[derive(clap::Args)]
pub struct ByForce {
    #[arg(long = "host", value_name = "SOCKET")]
    host: PathBuf,
    /// Who does it, and why; both stay in the audit trail.
    #[arg(long, env = "USER")]
    who: String,
    #[arg(long)]
    why: String,
}

/// Arguments of `tackmast consensus voter`.
#[derive(clap::Subcommand)]
pub enum VoterCommand {
    /// A host that runs and follows votes from now on, with the disk that it has.
    Add {
        number: u32,
        #[arg(long = "host", value_name = "SOCKET")]
        host: PathBuf,
    },
    /// A host votes no more; it goes on following. The way to replace a lost disk is to remove its host and add it again.
    Remove {
        number: u32,
        #[arg(long = "host", value_name = "SOCKET")]
        host: PathBuf,
    },
}

fn call(host: &Path, request: ConsensusRequest) -> Result<ConsensusResponse, String> {
    match tackmast_admin::call(host, &Call::AdminRequest(AdminRequest::Consensus(request)), ADMIN_TIMEOUT)
        .map_err(|error| error.to_string())?
    {
        Answer::AdminResponse(response) => match *response {
            AdminResponse::Consensus(response) => Ok(response),
            AdminResponse::NotKept { why } => Err(why),
            other => Err(format!("host {}: {other:?}; expected word of the agreement", host.display())),
        },
        Answer::Error(error) => Err(error),
        Answer::Audit(_) => Err(format!("host {}: an audit; expected word of the agreement", host.display())),
    }
}

/// The status of one host.
fn status_text(status: &ConsensusStatus) -> String {
    let leader =
        status.leader.map_or("no leader is known".to_owned(), |leader| format!("host {leader} leads"));
    let place = match (status.bootstrapped, status.votes, status.failed) {
        (_, _, true) => "its disk takes no writes: it neither votes nor leads",
        (false, _, _) => "nothing is agreed on yet: it waits for all who begin",
        (_, true, _) => "votes",
        (_, false, _) => "does not vote",
    };
    let lease = match status.lease.as_str() {
        "holds" => format!("lease for {:.2} s more", status.lease_s),
        "past" => format!("past its lease for {:.2} s", status.lease_s),
        _ => "never had a lease in this life".to_owned(),
    };
    let limits = if status.degraded { "; goes by the floors" } else { "" };
    let voters: Vec<String> = status.voters.iter().map(u32::to_string).collect();
    let mut text = format!(
        "host {}: {}, term {} of log {:x}; {leader}; voters {}; {place}\n    plans version {}, all have {}; {lease}{limits}; {} entries, {} agreed on, {} folded; in force in {:.1} s\n",
        status.host,
        status.role,
        status.term,
        status.log,
        if voters.is_empty() { "none".into() } else { voters.join(", ") },
        status.version,
        status.acknowledged,
        status.last,
        status.commit,
        status.snapshot_index,
        status.in_force_s.max(0.0)
    );
    let behind = status.has.iter().filter(|(_, (has, _))| *has < status.commit);
    let behind: Vec<String> =
        behind.map(|(host, (has, ago))| format!("{host} has {has}, said {ago:.1} s ago")).collect();
    if !behind.is_empty() {
        text += &format!("    behind: {}\n", behind.join("; "));
    }
    text
}

/// Prints the answer to a change.
fn print_response(response: ConsensusResponse) -> Result<ExitCode, String> {
    match response {
        ConsensusResponse::Taken { index } => {
            println!("entry {index}: it holds once most voters have it, which `status` shows");
            Ok(ExitCode::SUCCESS)
        }
        ConsensusResponse::Done { log: 0 } => {
            println!("forgotten: it follows what others have, once it hears of it");
            Ok(ExitCode::SUCCESS)
        }
        ConsensusResponse::Done { log } => {
            println!("it goes on alone, as log {log:x}: now `forget` at each other host, then `voter add`");
            Ok(ExitCode::SUCCESS)
        }
        ConsensusResponse::Refused { why } => Err(format!("refused: {why}")),
        ConsensusResponse::Status(status) => {
            print!("{}", status_text(&status));
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Calls the hosts, and prints their answers.
pub fn run(command: ConsensusCommand) -> Result<ExitCode, String> {
    match command {
        ConsensusCommand::Status { hosts } => {
            let mut all_hold = true;
            for host in &hosts.hosts {
                match call(host, ConsensusRequest::Status) {
                    Ok(ConsensusResponse::Status(status)) if hosts.json => {
                        println!("{}", serde_json::to_string(&*status).map_err(|error| error.to_string())?)
                    }
                    Ok(ConsensusResponse::Status(status)) => {
                        all_hold &= status.lease == "holds";
                        print!("{}", status_text(&status));
                    }
                    Ok(ConsensusResponse::Refused { why }) | Err(why) => {
                        all_hold = false;
                        eprintln!("{}: {why}", host.display());
                    }
                    Ok(other) => return Err(format!("{}: {other:?}; expected a status", host.display())),
                }
            }
            Ok(ExitCode::from(u8::from(!all_hold)))
        }
        ConsensusCommand::Force(ByForce { host, who, why }) => {
            print_response(call(&host, ConsensusRequest::Force { who, why })?)
        }
        ConsensusCommand::Forget(ByForce { host, who, why }) => {
            print_response(call(&host, ConsensusRequest::Forget { who, why })?)
        }
        ConsensusCommand::Voter(VoterCommand::Add { number, host }) => {
            print_response(call(&host, ConsensusRequest::Voter { host: number, votes: true })?)
        }
        ConsensusCommand::Voter(VoterCommand::Remove { number, host }) => {
            print_response(call(&host, ConsensusRequest::Voter { host: number, votes: false })?)
        }
    }
}
