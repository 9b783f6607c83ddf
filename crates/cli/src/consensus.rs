//! `tackmast consensus`: who votes, who leads, and how each host stands to what is agreed on.

#[cfg(test)]
mod tests;

use crate::admin_calls::{Hosts, ADMIN_TIMEOUT};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse, ConsensusRequest, ConsensusResponse, ConsensusStatus};

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

fn ask(host: &Path, ask: ConsensusRequest) -> Result<ConsensusResponse, String> {
    match tackmast_admin::call(host, &Call::AdminRequest(AdminRequest::Consensus(ask)), ADMIN_TIMEOUT)
        .map_err(|e| e.to_string())?
    {
        Answer::AdminResponse(r) => match *r {
            AdminResponse::Consensus(a) => Ok(a),
            AdminResponse::NotKept { why } => Err(why),
            other => Err(format!("host {}: {other:?}; expected word of the agreement", host.display())),
        },
        Answer::Error(e) => Err(e),
        Answer::Audit(_) => Err(format!("host {}: an audit; expected word of the agreement", host.display())),
    }
}

/// One host's lines.
pub fn one(s: &ConsensusStatus) -> String {
    let leader = s.leader.map_or("no leader is known".to_owned(), |l| format!("host {l} leads"));
    let place = match (s.bootstrapped, s.votes, s.failed) {
        (_, _, true) => "its disk takes no writes: it neither votes nor leads",
        (false, _, _) => "nothing is agreed on yet: it waits for all who begin",
        (_, true, _) => "votes",
        (_, false, _) => "does not vote",
    };
    let lease = match s.lease.as_str() {
        "holds" => format!("lease for {:.2} s more", s.lease_s),
        "past" => format!("past its lease for {:.2} s", s.lease_s),
        _ => "never had a lease in this life".to_owned(),
    };
    let posture = if s.degraded { "; goes by the floors" } else { "" };
    let voters: Vec<String> = s.voters.iter().map(u32::to_string).collect();
    let mut out = format!(
        "host {}: {}, term {} of log {:x}; {leader}; voters {}; {place}\n    plans version {}, all have {}; {lease}{posture}; {} entries, {} agreed on, {} folded; in force in {:.1} s\n",
        s.host,
        s.role,
        s.term,
        s.log,
        if voters.is_empty() { "none".into() } else { voters.join(", ") },
        s.version,
        s.acknowledged,
        s.last,
        s.commit,
        s.snapshot_index,
        s.in_force_s.max(0.0)
    );
    let behind = s.has.iter().filter(|(_, (has, _))| *has < s.commit);
    let behind: Vec<String> =
        behind.map(|(h, (has, ago))| format!("{h} has {has}, said {ago:.1} s ago")).collect();
    if !behind.is_empty() {
        out += &format!("    behind: {}\n", behind.join("; "));
    }
    out
}

fn told(reply: ConsensusResponse) -> Result<ExitCode, String> {
    match reply {
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
        ConsensusResponse::Status(s) => {
            print!("{}", one(&s));
            Ok(ExitCode::SUCCESS)
        }
    }
}

pub fn run(command: ConsensusCommand) -> Result<ExitCode, String> {
    match command {
        ConsensusCommand::Status { hosts } => {
            let mut good = true;
            for host in &hosts.hosts {
                match ask(host, ConsensusRequest::Status) {
                    Ok(ConsensusResponse::Status(s)) if hosts.json => {
                        println!("{}", serde_json::to_string(&*s).map_err(|e| e.to_string())?)
                    }
                    Ok(ConsensusResponse::Status(s)) => {
                        good &= s.lease == "holds";
                        print!("{}", one(&s));
                    }
                    Ok(ConsensusResponse::Refused { why }) | Err(why) => {
                        good = false;
                        eprintln!("{}: {why}", host.display());
                    }
                    Ok(other) => return Err(format!("{}: {other:?}; expected a status", host.display())),
                }
            }
            Ok(ExitCode::from(u8::from(!good)))
        }
        ConsensusCommand::Force(f) => told(ask(&f.host, ConsensusRequest::Force { who: f.who, why: f.why })?),
        ConsensusCommand::Forget(f) => {
            told(ask(&f.host, ConsensusRequest::Forget { who: f.who, why: f.why })?)
        }
        ConsensusCommand::Voter(VoterCommand::Add { number, host }) => {
            told(ask(&host, ConsensusRequest::Voter { host: number, votes: true })?)
        }
        ConsensusCommand::Voter(VoterCommand::Remove { number, host }) => {
            told(ask(&host, ConsensusRequest::Voter { host: number, votes: false })?)
        }
    }
}
