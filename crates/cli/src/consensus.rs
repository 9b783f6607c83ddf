//! `tackmast consensus`: the consensus group as its hosts see it, and changes of its voters.

#[cfg(test)]
mod tests;

use crate::admin_calls::{self, for_each_host, AdminCallError, Hosts};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tackmast_host_core::{AdminRequest, AdminResponse, ConsensusRequest, ConsensusResponse, ConsensusStatus};

/// The state of a lease that is valid, as hosts report it.
const LEASE_VALID: &str = "holds";
/// The state of a lease that has expired, as hosts report it.
const LEASE_EXPIRED: &str = "past";

/// Arguments of `tackmast consensus`.
#[derive(clap::Subcommand)]
pub(crate) enum ConsensusCommand {
    /// Shows leader, term, voters, what each host has, and which hosts are without a lease and in degraded mode.
    ///
    /// Exits with 0 only if every host has answered and has a valid lease, with `--json` too.
    Status {
        /// The hosts that are called.
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Changes the voters, one host at a time, at the leader.
    #[command(subcommand)]
    Voter(VoterCommand),
    /// Starts a new log at this host alone, when a majority of the voters is lost for good.
    ///
    /// What only the lost voters had is lost. Refused while the host receives heartbeats of a leader. The other hosts keep
    /// their fallback limits until they `forget`.
    Force(ForcedChange),
    /// Makes this host forget its log and follow that of its peers. It does not vote until it is added as a voter.
    Forget(ForcedChange),
}

/// The host whose log is replaced, by whom and why.
#[derive(clap::Args)]
pub(crate) struct ForcedChange {
    /// Admin socket of the host.
    #[arg(long = "host", value_name = "SOCKET")]
    host: PathBuf,
    /// Who makes the change, for the audit log.
    #[arg(long, env = "USER")]
    who: String,
    /// Why, for the audit log.
    #[arg(long)]
    why: String,
}

/// Arguments of `tackmast consensus voter`.
#[derive(clap::Subcommand)]
pub(crate) enum VoterCommand {
    /// Makes a running follower a voter, with the disk that it has.
    Add {
        /// Number of the host that becomes a voter.
        number: u32,
        /// Admin socket of the leader.
        #[arg(long = "host", value_name = "SOCKET")]
        host: PathBuf,
    },
    /// Makes a voter a follower without a vote.
    ///
    /// To replace a lost disk, remove its host and add it again.
    Remove {
        /// Number of the host that is no longer a voter.
        number: u32,
        /// Admin socket of the leader.
        #[arg(long = "host", value_name = "SOCKET")]
        host: PathBuf,
    },
}

fn call(host: &Path, request: ConsensusRequest) -> Result<ConsensusResponse, AdminCallError> {
    const EXPECTED: &str = "an answer about consensus";
    match admin_calls::request(host, AdminRequest::Consensus(request), EXPECTED)? {
        AdminResponse::Consensus(response) => Ok(response),
        other => Err(AdminCallError::unexpected(host, &other, EXPECTED)),
    }
}

/// The status of one host.
fn status_text(status: &ConsensusStatus) -> String {
    let voters: Vec<String> = status.voters.iter().map(u32::to_string).collect();
    let voters = if voters.is_empty() { "none".to_owned() } else { voters.join(", ") };
    let degraded = if status.degraded { "; degraded mode: fallback limits" } else { "" };
    let mut text = format!(
        "host {}: {}, term {} of log {:x}; {}; voters {voters}; {}\n",
        status.host,
        status.role,
        status.term,
        status.log_id,
        leader_text(status),
        vote_text(status)
    );
    text += &format!(
        "    plans version {}, acknowledged by all {}; {}{degraded}; {} log entries, {} committed, {} compacted; in force in {:.1} s\n",
        status.version,
        status.acknowledged,
        lease_text(status),
        status.last_index,
        status.commit_index,
        status.snapshot_index,
        status.in_force_s.max(0.0)
    );
    text + &lagging_text(status)
}

fn leader_text(status: &ConsensusStatus) -> String {
    status.leader.map_or("no known leader".to_owned(), |leader| format!("leader is host {leader}"))
}

/// Whether the host votes, and why not.
fn vote_text(status: &ConsensusStatus) -> &'static str {
    match (status.bootstrapped, status.is_voter, status.disk_failed) {
        (_, _, true) => "its disk rejects writes: neither votes nor leads",
        (false, _, _) => "nothing is agreed on yet: it waits for all who begin",
        (_, true, _) => "votes",
        (_, false, _) => "does not vote",
    }
}

fn lease_text(status: &ConsensusStatus) -> String {
    match status.lease.as_str() {
        LEASE_VALID => format!("lease valid for {:.2} s", status.lease_s),
        LEASE_EXPIRED => format!("lease expired {:.2} s ago", status.lease_s),
        _ => "no lease since its start".to_owned(),
    }
}

/// A line with the hosts that do not have all committed entries; empty where there are none.
fn lagging_text(status: &ConsensusStatus) -> String {
    let lagging = status.followers.iter().filter(|(_, (index, _))| *index < status.commit_index);
    let lagging: Vec<String> =
        lagging.map(|(host, (index, age_s))| format!("host {host} at {index}, {age_s:.1} s ago")).collect();
    if lagging.is_empty() {
        return String::new();
    }
    format!("    behind: {}\n", lagging.join("; "))
}

/// Prints the answer to a change.
fn print_response(response: ConsensusResponse) -> Result<ExitCode, AdminCallError> {
    match response {
        ConsensusResponse::Taken { index } => {
            println!("entry {index}: in force once it is committed, which `status` shows");
        }
        ConsensusResponse::Done { log: 0 } => {
            println!("log forgotten: the host follows the log of its peers once it receives it");
        }
        ConsensusResponse::Done { log } => {
            println!(
                "the host continues alone, as log {log:x}: now `forget` at each other host, then `voter add`"
            );
        }
        ConsensusResponse::Refused { why } => return Err(AdminCallError::Refused { why }),
        ConsensusResponse::Status(status) => print!("{}", status_text(&status)),
    }
    Ok(ExitCode::SUCCESS)
}

/// Calls the hosts, and prints their answers.
pub(crate) fn run(command: ConsensusCommand) -> Result<ExitCode, AdminCallError> {
    let (host, request) = match command {
        ConsensusCommand::Status { hosts } => {
            return Ok(for_each_host(&hosts, |host| print_status(host, hosts.json)));
        }
        ConsensusCommand::Force(ForcedChange { host, who, why }) => {
            (host, ConsensusRequest::Force { who, why })
        }
        ConsensusCommand::Forget(ForcedChange { host, who, why }) => {
            (host, ConsensusRequest::Forget { who, why })
        }
        ConsensusCommand::Voter(VoterCommand::Add { number, host }) => {
            (host, ConsensusRequest::Voter { host: number, votes: true })
        }
        ConsensusCommand::Voter(VoterCommand::Remove { number, host }) => {
            (host, ConsensusRequest::Voter { host: number, votes: false })
        }
    };
    print_response(call(&host, request)?)
}

/// Prints the status of one host. Returns whether the host has a valid lease.
fn print_status(host: &Path, json: bool) -> Result<bool, AdminCallError> {
    let status = match call(host, ConsensusRequest::Status)? {
        ConsensusResponse::Status(status) => status,
        ConsensusResponse::Refused { why } => {
            return Err(AdminCallError::Host { host: host.to_owned(), why })
        }
        other => return Err(AdminCallError::unexpected(host, &other, "a status")),
    };
    match json {
        true => println!("{}", serde_json::to_string(&*status)?),
        false => print!("{}", status_text(&status)),
    }
    Ok(status.lease == LEASE_VALID)
}
