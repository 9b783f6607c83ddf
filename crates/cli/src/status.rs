//! `tackmast status`.

use crate::admin_calls::{call_each, Hosts};
use std::process::ExitCode;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse};

/// Prints what hosts are doing.
pub fn run(hosts: &Hosts) -> Result<ExitCode, String> {
    call_each(hosts, &Call::AdminRequest(AdminRequest::Status), print)
}

fn print(answer: &Answer) {
    let Answer::AdminResponse(response) = answer else { return };
    let AdminResponse::Status(status) = &**response else { return };
    println!(
        "host {}: {} commands open, {} attempts out; taken {}, done {}, rejected {}, failed {}",
        status.host,
        status.commands,
        status.attempts,
        status.commands_received,
        status.done,
        status.rejected,
        status.failed
    );
    println!(
        "overrides: {} stand, version {}, {} nodes on their way back",
        status.overrides, status.version, status.returning
    );
    match status.alive_hosts {
        0 => println!("members: this host hears of no other"),
        count => println!("members: {count} hosts are there"),
    }
    for (address, listed, given) in &status.nodes {
        let note = if listed == given { String::new() } else { format!(", by order {given}") };
        println!("{address:<24} {listed}{note}");
    }
}
