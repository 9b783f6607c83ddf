//! What each action does at its begin, while it lasts, and at its end. Faults of processes and of the network have files of their
//! own.

use super::misuse::{misuse, MisuseSettings};
use super::{Runner, DEGRADATION_STEPS};
use crate::operators::change_voter;
use crate::script::{Action, Misuse, ScheduledFault};
use crate::traffic::Traffic;
use std::sync::{Arc, PoisonError};
use tackmast_emulators::list::ListFault;
use tackmast_emulators::node::Fault;
use tackmast_trace::Event;
use tackmast_wire::list::State;

/// Shortest interval of pauses, in seconds.
const MIN_PAUSE_INTERVAL_S: f64 = 0.01;

/// The fault that undoes another one of a node; `None` if it ends by itself.
fn undo(fault: &Fault) -> Option<Fault> {
    Some(match fault {
        Fault::Slow(_) => Fault::Slow(1.0),
        Fault::Neighbour(_) => Fault::Neighbour(0.0),
        Fault::Errors(_) => Fault::Errors(0.0),
        Fault::Heavy(..) => Fault::Heavy(0.0, 1.0),
        Fault::Silent(_) => Fault::Silent(false),
        Fault::Deaf(_) => Fault::Deaf(false),
        Fault::Drip(_) => Fault::Drip(false),
        Fault::ResetAnswers(_) => Fault::ResetAnswers(0.0),
        Fault::CutAnswers(_) => Fault::CutAnswers(0.0),
        Fault::Garbage(_) => Fault::Garbage(0.0),
        Fault::Pause(_) | Fault::Reset | Fault::Restart(_) | Fault::Die | Fault::Well => return None,
    })
}

impl Runner<'_> {
    pub(super) fn begin_fault(&mut self, index: usize, fault: &ScheduledFault) {
        match &fault.action {
            Action::Nodes { nodes, fault } => self.nodes.inject(nodes, fault),
            Action::List(fault) => self.list.set(fault),
            Action::Deploy { nodes } | Action::Drain { nodes } => self.announce(nodes, State::Draining),
            Action::KillHosts(_) | Action::Hosts { .. } => {
                self.begin_process_fault(&fault.name, &fault.action);
            }
            Action::Network { .. } | Action::Partition(_) => {
                self.begin_network_fault(index, &fault.name, &fault.action);
            }
            Action::Surge { traffic, times } => {
                self.traffic_named(traffic).for_each(|traffic| traffic.set_rate_multiple(*times));
            }
            Action::ChangePrimary { traffic } => {
                self.traffic_named(traffic).for_each(|traffic| traffic.change_primary());
            }
            Action::Client { hosts, misuse } => self.start_misuses(hosts, *misuse),
            Action::Ageing { .. } | Action::Pauses { .. } => {}
            Action::Plan { name, limit_times, burst_times, ask } => {
                self.change_plan(name, *limit_times, *burst_times, *ask);
            }
            Action::Voter { host, votes } => self.change_voter(*host, *votes),
            Action::Override { .. } => self.set_overrides(&fault.action, fault.for_s),
        }
    }

    /// Continues a fault that lasts; `share` of its time is over.
    pub(super) fn continue_fault(&mut self, action: &Action, share: f64, elapsed_s: f64, step: &mut u32) {
        match action {
            Action::Ageing { nodes, times, .. } => {
                let current = (share * f64::from(DEGRADATION_STEPS)) as u32;
                if current > *step {
                    *step = current;
                    self.nodes.inject(nodes, &Fault::Slow(times.powf(share)));
                }
            }
            Action::Pauses { nodes, pause_s, every_s } => {
                let current = (elapsed_s / every_s.max(MIN_PAUSE_INTERVAL_S)) as u32 + 1;
                if current > *step {
                    *step = current;
                    self.nodes.inject(nodes, &Fault::Pause(*pause_s));
                }
            }
            _ => {}
        }
    }

    pub(super) fn end_fault(&mut self, index: usize, fault: &ScheduledFault) {
        match &fault.action {
            Action::Nodes { nodes, fault } => {
                if let Some(undo) = undo(fault) {
                    self.nodes.inject(nodes, &undo);
                }
            }
            Action::Ageing { nodes, down_s, .. } => {
                self.nodes.inject(nodes, &Fault::Slow(1.0));
                self.nodes.inject(nodes, &Fault::Restart(*down_s));
            }
            Action::Plan { name, ask, .. } => self.change_plan(name, 1.0, 1.0, *ask),
            Action::List(fault) => self.end_list_fault(fault),
            Action::Deploy { nodes } => self.replace_nodes(nodes),
            Action::Drain { nodes } => self.announce(nodes, State::Ready),
            Action::KillHosts(_) | Action::Hosts { .. } => {
                self.end_process_fault(&fault.name, &fault.action);
            }
            Action::Network { .. } | Action::Partition(_) => self.end_network_fault(index, &fault.name),
            Action::Surge { traffic, .. } => {
                self.traffic_named(traffic).for_each(|traffic| traffic.set_rate_multiple(1.0));
            }
            Action::Pauses { .. }
            | Action::ChangePrimary { .. }
            | Action::Client { .. }
            | Action::Override { .. }
            | Action::Voter { .. } => {}
        }
    }

    fn end_list_fault(&mut self, fault: &ListFault) {
        match fault {
            ListFault::Late(_) => self.list.set(&ListFault::Late(self.script.list_delay_s)),
            ListFault::Fails(_) => self.list.set(&ListFault::Fails(false)),
            ListFault::Silent(_) => self.list.set(&ListFault::Silent(false)),
            ListFault::Reset | ListFault::Skip(_) => {}
        }
    }

    fn traffic_named<'s>(&'s self, names: &'s [String]) -> impl Iterator<Item = &'s Arc<Traffic>> {
        self.traffic.iter().filter(move |traffic| names.is_empty() || names.contains(&traffic.name))
    }

    /// The endpoint list gives these nodes a state.
    fn announce(&self, nodes: &[String], state: State) {
        for node in self.nodes.named(nodes) {
            self.list.set_state(&node.address().to_string(), state);
        }
    }

    fn replace_nodes(&mut self, nodes: &[String]) {
        for name in self.nodes.full_names(nodes) {
            if let Err(error) = self.nodes.replace(&name, &self.list, &self.network) {
                self.fail(error);
            }
            let started_us = self.nodes.node(&name).map_or(0, |node| node.started_us());
            self.node_starts.insert(name, started_us);
        }
    }

    /// The endpoint list learns which nodes have been restarted.
    pub(super) fn announce_restarted_nodes(&mut self) {
        for (name, emulated) in &self.nodes.by_name {
            let node = &emulated.node;
            let started_us = node.started_us();
            if node.is_up() && started_us > 0 && self.node_starts.get(name) != Some(&started_us) {
                self.node_starts.insert(name.clone(), started_us);
                self.list.set_restarted(&node.address().to_string(), started_us);
            }
        }
    }

    fn change_voter(&mut self, host: u32, votes: bool) {
        let changed = change_voter(&self.directory, self.script.scenario.hosts, host, votes);
        if let Err(error) = changed {
            self.fail(format!("voter {host}, votes {votes}: {error}"));
        }
    }

    fn start_misuses(&mut self, hosts: &[u32], kind: Misuse) {
        for host in hosts {
            let addresses = self.host_addresses.read().unwrap_or_else(PoisonError::into_inner);
            let Some(address) = addresses.get(*host as usize).copied() else { continue };
            let settings = MisuseSettings {
                address,
                target: self.script.settings.host.target.clone(),
                login_timeout_ms: self.script.settings.bounds.login_ms,
            };
            let run = move || misuse(&settings, kind).err().map(|error| error.to_string());
            self.misuses.push(std::thread::spawn(run));
        }
    }

    /// Marks the end of the scenario in the record.
    pub(super) fn record_end(&self) {
        self.recorder.note(Event::Fault { what: "end of the day".into(), on: false });
    }
}
