//! Faults of processes and of the network as a script words them.

use crate::script::{Action, FaultTarget, ProcessFault, Script};
use tackmast_emulators::network_faults::NetworkFault;

/// Faults of processes and of the network as blocks of a script. Others are named in a comment.
pub fn faults_text(script: &Script) -> String {
    let mut text = format!("# seed {}\n", script.scenario.seed);
    for fault in &script.faults {
        let (name, at_s, for_s) = (&fault.name, fault.at_s, fault.for_s);
        text += &match attributes(&fault.action) {
            Some(attributes) => {
                format!("trouble {name:?} {{\n  at_s  = {at_s}\n  for_s = {for_s}\n{attributes}}}\n")
            }
            None => format!("# and the script's own: {name}\n"),
        };
    }
    text
}

/// What the block of an action has beside its times. `None`: the action is neither of a process nor of the network.
fn attributes(action: &Action) -> Option<String> {
    Some(match action {
        Action::KillHosts(hosts) => format!("  host  = \"kill\"\n  hosts = {hosts:?}\n"),
        Action::Hosts { hosts, fault } => {
            let host = process_fault_name(fault);
            let clock = match fault {
                ProcessFault::Clock { off_s, rate } => {
                    format!("  clock_off_s = {off_s}\n  clock_pace = {rate}\n")
                }
                _ => String::new(),
            };
            format!("  host  = \"{host}\"\n  hosts = {hosts:?}\n{clock}")
        }
        Action::Network { from, to, fault, one_way } => {
            let fault = network_fault_text(fault);
            let (from, to) = (targets_text(from), targets_text(to));
            format!("  way   = \"{fault}\"\n  from  = {from}\n  to    = {to}\n  one_way = {one_way}\n")
        }
        Action::Partition(groups) => {
            let groups: Vec<String> = groups.iter().map(|group| targets_text(group)).collect();
            format!("  apart = [{}]\n", groups.join(", "))
        }
        _ => return None,
    })
}

fn process_fault_name(fault: &ProcessFault) -> &'static str {
    match fault {
        ProcessFault::Term => "term",
        ProcessFault::Stop => "stop",
        ProcessFault::Late => "late",
        ProcessFault::Wipe => "wipe",
        ProcessFault::OldDisk => "old-disk",
        ProcessFault::DuplicateId => "twin",
        ProcessFault::Moved => "moved",
        ProcessFault::Clock { .. } => "clock",
    }
}

fn network_fault_text(fault: &NetworkFault) -> String {
    match fault {
        NetworkFault::Cut => "cut".into(),
        NetworkFault::Reset => "reset".into(),
        NetworkFault::Loss(share) => format!("lose {share}"),
        NetworkFault::Delay(seconds) => format!("late {seconds}"),
        NetworkFault::Duplicate(share) => format!("double {share}"),
    }
}

fn targets_text(targets: &[FaultTarget]) -> String {
    let targets: Vec<String> = targets.iter().map(|target| format!("\"{target}\"")).collect();
    format!("[{}]", targets.join(", "))
}
