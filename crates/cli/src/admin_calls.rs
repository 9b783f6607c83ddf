//! Calls over the admin sockets of one host or many.

mod error;
#[cfg(test)]
mod tests;

pub(crate) use error::AdminCallError;

use crate::exit_code;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse};

/// How long a host may take to answer a call.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(15);

/// The hosts that are called.
#[derive(clap::Args)]
pub(crate) struct Hosts {
    /// Admin socket of a host; if given several times, the hosts are called one after the other.
    #[arg(long = "host", value_name = "SOCKET", required = true)]
    pub hosts: Vec<PathBuf>,
    /// Prints the answers as JSON, one line for each host.
    #[arg(long)]
    pub json: bool,
}

/// Sends a request to one host and returns its response. `expected` says in errors what the command waits for.
pub(crate) fn request(
    host: &Path,
    request: AdminRequest,
    expected: &'static str,
) -> Result<AdminResponse, AdminCallError> {
    match tackmast_admin::call(host, &Call::AdminRequest(request), ADMIN_TIMEOUT)? {
        Answer::AdminResponse(response) => match *response {
            AdminResponse::NotKept { why } => Err(AdminCallError::NotPersisted { why }),
            AdminResponse::Unavailable { why } => Err(AdminCallError::Host { host: host.to_owned(), why }),
            response => Ok(response),
        },
        Answer::Error(why) => Err(AdminCallError::Host { host: host.to_owned(), why }),
        Answer::Audit(lines) => Err(AdminCallError::unexpected(host, &lines, expected)),
    }
}

/// Calls every host, even after one has failed, and prints each answer. The exit code says whether all did as requested.
pub(crate) fn call_each(hosts: &Hosts, call: &Call, print: impl Fn(&Answer)) -> ExitCode {
    for_each_host(hosts, |socket| {
        if hosts.hosts.len() > 1 && !hosts.json {
            println!("host {}", socket.display());
        }
        let answer = tackmast_admin::call(socket, call, ADMIN_TIMEOUT)?;
        if hosts.json {
            println!("{}", serde_json::to_string(&answer)?);
        } else if !print_failure(&answer) {
            print(&answer);
        }
        Ok(is_done(&answer))
    })
}

/// Visits every host, even after one has failed, and prints the errors. `visit` returns whether the host is as it should be,
/// and the exit code says whether all are.
pub(crate) fn for_each_host(
    hosts: &Hosts,
    visit: impl Fn(&Path) -> Result<bool, AdminCallError>,
) -> ExitCode {
    let mut all_good = true;
    for socket in &hosts.hosts {
        all_good &= visit(socket).unwrap_or_else(|error| {
            eprintln!("tackmast: {error}");
            false
        });
    }
    exit_code::of_result(all_good)
}

/// Whether the host did as requested.
fn is_done(answer: &Answer) -> bool {
    match answer {
        Answer::Error(_) => false,
        Answer::AdminResponse(response) => !matches!(
            **response,
            AdminResponse::Refused(_) | AdminResponse::NotKept { .. } | AdminResponse::Unavailable { .. }
        ),
        Answer::Audit(_) => true,
    }
}

/// Prints why the host did not do as requested. Returns false if it did.
fn print_failure(answer: &Answer) -> bool {
    match answer {
        Answer::Error(error) => eprintln!("tackmast: {error}"),
        Answer::AdminResponse(response) => match &**response {
            AdminResponse::Refused(refusal) => eprintln!("tackmast: refused: {refusal}"),
            AdminResponse::NotKept { why } => {
                eprintln!("tackmast: not persisted, so the change does not apply: {why}")
            }
            AdminResponse::Unavailable { why } => eprintln!("tackmast: {why}"),
            _ => return false,
        },
        Answer::Audit(_) => return false,
    }
    true
}
