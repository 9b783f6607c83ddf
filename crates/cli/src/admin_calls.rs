//! Calls over the admin sockets of one host or many.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::AdminResponse;

/// How long a host may take to answer a call.
pub const ADMIN_TIMEOUT: Duration = Duration::from_secs(15);

/// The hosts that are called.
#[derive(clap::Args)]
pub struct Hosts {
    /// Admin socket of a host; given several times, each is called in turn.
    #[arg(long = "host", value_name = "SOCKET", required = true)]
    pub hosts: Vec<PathBuf>,
    /// Prints the answers as JSON, a line a host.
    #[arg(long)]
    pub json: bool,
}

/// Calls every host, also after one has failed, and prints each answer. The exit code says whether all did as requested.
pub fn call_each(hosts: &Hosts, call: &Call, print: impl Fn(&Answer)) -> Result<ExitCode, String> {
    let mut all_done = true;
    for socket in &hosts.hosts {
        if hosts.hosts.len() > 1 && !hosts.json {
            println!("host {}", socket.display());
        }
        let answer = match tackmast_admin::call(socket, call, ADMIN_TIMEOUT) {
            Ok(answer) => answer,
            Err(error) => {
                eprintln!("tackmast: {error}");
                all_done = false;
                continue;
            }
        };
        all_done &= is_done(&answer);
        if hosts.json {
            println!("{}", serde_json::to_string(&answer).map_err(|error| error.to_string())?);
        } else if !print_failure(&answer) {
            print(&answer);
        }
    }
    Ok(ExitCode::from(u8::from(!all_done)))
}

/// Whether the host did as requested.
fn is_done(answer: &Answer) -> bool {
    match answer {
        Answer::Error(_) => false,
        Answer::AdminResponse(response) => {
            !matches!(**response, AdminResponse::Refused(_) | AdminResponse::NotKept { .. })
        }
        Answer::Audit(_) => true,
    }
}

/// Prints why the host did not do as requested. Returns false if it did.
fn print_failure(answer: &Answer) -> bool {
    match answer {
        Answer::Error(error) => eprintln!("tackmast: {error}"),
        Answer::AdminResponse(response) => match &**response {
            AdminResponse::Refused(refusal) => eprintln!("tackmast: refused: {refusal}"),
            AdminResponse::NotKept { why } => eprintln!("tackmast: not kept, so it does not hold: {why}"),
            _ => return false,
        },
        Answer::Audit(_) => return false,
    }
    true
}
