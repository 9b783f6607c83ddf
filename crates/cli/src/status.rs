//! `tackmast status`: what hosts are doing, and what each node is given.

use crate::admin_calls::{call_each, Hosts};
use std::process::ExitCode;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse};

/// Prints what hosts are doing.
pub(crate) fn run(hosts: &Hosts) -> ExitCode {
    call_each(hosts, &Call::AdminRequest(AdminRequest::Status), print)
}

fn print(answer: &Answer) {
    let Answer::AdminResponse(response) = answer else { return };
    let AdminResponse::Status(status) = &**response else { return };
    println!(
        "host {}: {} commands open, {} attempts in flight; taken {}, done {}, rejected {}, failed {}",
        status.host,
        status.commands,
        status.attempts,
        status.commands_received,
        status.done,
        status.rejected,
        status.failed
    );
    println!(
        "overrides: {} in force, version {}, {} nodes recovering",
        status.overrides, status.version, status.returning
    );
    match status.alive_hosts {
        0 => println!("members: this host knows of no peer"),
        count => println!("members: {count} hosts alive"),
    }
    for (address, listed, given) in &status.nodes {
        let note = if listed == given { String::new() } else { format!(", overridden: {given}") };
        println!("{address:<24} {listed}{note}");
    }
}
