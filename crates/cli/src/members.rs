//! `tackmast members`: the view of one host, of many beside each other, and how it changes.

mod comparison;
mod one_host;
#[cfg(test)]
mod tests;

use crate::admin_calls::{call_each, Hosts, ADMIN_TIMEOUT};
use crate::time_format::timestamp;
use comparison::Comparison;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse, MembersStatus};

/// How often the hosts are asked at most.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Arguments of `tackmast members`.
#[derive(clap::Args)]
pub struct MembersArguments {
    #[command(flatten)]
    hosts: Hosts,
    /// All the hosts named beside each other: what each thinks of each where they differ, and whether the view has settled.
    #[arg(long)]
    all: bool,
    /// Looks again every so often, such as 1s, and tells what has changed; ends with the process.
    #[arg(long, value_name = "TIME")]
    watch: Option<humantime::Duration>,
}

/// What one host has answered.
struct HostAnswer {
    /// Path of its admin socket.
    socket: String,
    /// Its view, or why there is none.
    view: Result<MembersStatus, String>,
}

/// Prints what the arguments ask for.
pub fn run(arguments: &MembersArguments) -> Result<ExitCode, String> {
    match (arguments.all, arguments.watch) {
        (false, None) => call_each(&arguments.hosts, &Call::AdminRequest(AdminRequest::Members), print),
        (_, Some(interval)) => watch(&arguments.hosts, interval.into()),
        (true, None) => {
            let answers = ask_all(&arguments.hosts);
            let comparison = Comparison::new(&answers);
            print!("{}", comparison.text());
            let all_answered = answers.iter().all(|answer| answer.view.is_ok());
            Ok(ExitCode::from(u8::from(!(all_answered && comparison.is_settled()))))
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
    let ask = |socket: &std::path::PathBuf| HostAnswer {
        socket: socket.display().to_string(),
        view: ask_view(socket),
    };
    hosts.hosts.iter().map(ask).collect()
}

fn ask_view(socket: &Path) -> Result<MembersStatus, String> {
    let call = Call::AdminRequest(AdminRequest::Members);
    match tackmast_admin::call(socket, &call, ADMIN_TIMEOUT) {
        Ok(Answer::AdminResponse(response)) => match *response {
            AdminResponse::Members(view) => Ok(*view),
            other => Err(format!("{other:?}; expected what it knows of members")),
        },
        Ok(other) => Err(format!("{other:?}")),
        Err(error) => Err(error.to_string()),
    }
}

/// Prints the view whenever it has changed.
fn watch(hosts: &Hosts, interval: Duration) -> Result<ExitCode, String> {
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

/// What is watched of the answers; figures that change all the time are left out.
fn watched_text(answers: &[HostAnswer]) -> String {
    if let [HostAnswer { socket, view }] = answers {
        return view.as_ref().map_or_else(|error| format!("{socket}: {error}\n"), one_host::watched_text);
    }
    let comparison = Comparison::new(answers);
    let settled = if comparison.is_settled() { "settled\n" } else { "" };
    let text = comparison.text();
    let lines = text.lines().filter(|line| !line.starts_with("settled"));
    lines.fold(settled.to_owned(), |text, line| text + line + "\n")
}
