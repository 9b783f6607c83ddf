//! `tackmast members`: the membership view of one host, the views of several hosts side by side, and how a view changes.

mod comparison;
mod one_host;
#[cfg(test)]
mod tests;

use crate::admin_calls::{self, call_each, AdminCallError, Hosts};
use crate::exit_code;
use crate::time_format::timestamp;
use comparison::Comparison;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse, MembersStatus};

/// Shortest time between two calls to the same host.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Arguments of `tackmast members`.
#[derive(clap::Args)]
pub(crate) struct MembersArguments {
    #[command(flatten)]
    hosts: Hosts,
    /// Compares the views of all hosts that are named: where they differ, and whether they have converged.
    #[arg(long)]
    all: bool,
    /// Calls the hosts again at this interval, such as 1s, and prints what has changed, until the process ends.
    #[arg(long, value_name = "TIME")]
    watch: Option<humantime::Duration>,
}

/// The view of one host, or why it could not be read. The error names the host.
type HostAnswer = Result<MembersStatus, AdminCallError>;

/// Prints what the arguments ask for.
pub(crate) fn run(arguments: &MembersArguments) -> ExitCode {
    match (arguments.all, arguments.watch) {
        (false, None) => call_each(&arguments.hosts, &Call::AdminRequest(AdminRequest::Members), print),
        (_, Some(interval)) => watch(&arguments.hosts, interval.into()),
        (true, None) => {
            let answers = ask_all(&arguments.hosts);
            let comparison = Comparison::new(&answers);
            print!("{}", comparison.text());
            let all_answered = answers.iter().all(Result::is_ok);
            exit_code::of_result(all_answered && comparison.is_converged())
        }
    }
}

fn print(answer: &Answer) {
    let Answer::AdminResponse(response) = answer else { return };
    if let AdminResponse::Members(view) = &**response {
        print!("{}", one_host::text(view));
    }
}

fn ask_all(hosts: &Hosts) -> Vec<HostAnswer> {
    hosts.hosts.iter().map(|socket| ask_view(socket)).collect()
}

fn ask_view(socket: &Path) -> HostAnswer {
    const EXPECTED: &str = "a membership view";
    match admin_calls::request(socket, AdminRequest::Members, EXPECTED)? {
        AdminResponse::Members(view) => Ok(*view),
        other => Err(AdminCallError::unexpected(socket, &other, EXPECTED)),
    }
}

/// Prints the view whenever it has changed.
fn watch(hosts: &Hosts, interval: Duration) -> ! {
    let mut before = String::new();
    loop {
        let now = watched_text(&ask_all(hosts));
        if now != before {
            let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            println!("{}", timestamp(unix_time.as_micros() as u64));
            print!("{now}");
            before = now;
        }
        std::thread::sleep(interval.max(MIN_WATCH_INTERVAL));
    }
}

/// The part of the answers that is watched, without figures that change all the time.
fn watched_text(answers: &[HostAnswer]) -> String {
    if let [view] = answers {
        return view.as_ref().map_or_else(|error| format!("{error}\n"), one_host::watched_text);
    }
    let comparison = Comparison::new(answers);
    let converged = if comparison.is_converged() { "converged\n" } else { "" };
    let text = comparison.text();
    let lines = text.lines().filter(|line| !line.starts_with("converged"));
    lines.fold(converged.to_owned(), |text, line| text + line + "\n")
}
