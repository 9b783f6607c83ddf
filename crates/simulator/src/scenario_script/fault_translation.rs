//! The faults of a script as those of the simulator.

use super::{to_us, ScenarioScript};
use crate::world::{FaultKind, InjectedFault};
use tackmast_emulators::list::ListFault;
use tackmast_emulators::node::Fault;
use tackmast_overrides::{Kind as OrderKind, Target};
use tackmast_scenario::{Action, ScheduledFault, DEGRADATION_STEPS};

/// How long the list fails when its connections are reset, in microseconds.
const LIST_RESET_TIME: u64 = 1000;
/// The shortest time between two pauses of a node, in seconds.
const MIN_PAUSE_INTERVAL_S: f64 = 0.01;
/// A node that dies for good restarts after the run: its length is multiplied by this.
const NEVER_RESTARTS: f64 = 10.0;

/// What a script asks for and the simulator does not model.
#[derive(Debug, thiserror::Error)]
pub(super) enum UnsupportedAction {
    /// A fault of a node that only its socket can show.
    #[error("{0} is a fault of sockets")]
    SocketFault(String),
    /// A fault of the endpoint list's versions.
    #[error("{0}: the simulated list sends no versions")]
    ListVersions(String),
    /// A change of plans by operators.
    #[error("a change of plans")]
    PlanChange,
    /// A fault of a host's process.
    #[error("{0} of processes, which only sockets have")]
    Process(String),
    /// A fault of the network between processes.
    #[error("network faults, which only sockets have")]
    Network,
    /// An override that the hosts must refuse.
    #[error("an override that must be refused")]
    RefusedOverride,
    /// An override on an address.
    #[error("an address of loopback")]
    LoopbackAddress,
    /// A client that breaks the protocol.
    #[error("a client that misuses its socket, {0}")]
    ClientMisuse(String),
}

/// Translates one fault of a script to the simulator's.
pub(super) struct FaultTranslation<'a> {
    script: &'a ScenarioScript,
    at_us: u64,
    for_us: u64,
    faults: &'a mut Vec<InjectedFault>,
}

impl<'a> FaultTranslation<'a> {
    /// Adds a scheduled fault to those of the simulator.
    pub(super) fn translate(
        script: &'a ScenarioScript,
        fault: &ScheduledFault,
        faults: &'a mut Vec<InjectedFault>,
    ) -> Result<(), UnsupportedAction> {
        let (at_us, for_us) = (to_us(fault.at_s), to_us(fault.for_s));
        FaultTranslation { script, at_us, for_us, faults }.add_action(fault)
    }

    fn add(&mut self, kind: FaultKind, node: u32, host: Option<u32>) {
        self.add_at(self.at_us, self.for_us, kind, node, host);
    }

    fn add_at(&mut self, at_us: u64, for_us: u64, kind: FaultKind, node: u32, host: Option<u32>) {
        self.faults.push(InjectedFault { at_us, for_us, kind, node, host });
    }

    fn add_action(&mut self, fault: &ScheduledFault) -> Result<(), UnsupportedAction> {
        match &fault.action {
            Action::Nodes { nodes, fault } => self.add_node_fault(nodes, fault)?,
            Action::Ageing { nodes, times, down_s } => self.add_ageing(nodes, *times, *down_s),
            Action::Pauses { nodes, pause_s, every_s } => {
                self.add_pauses(nodes, *pause_s, *every_s, (fault.at_s, fault.at_s + fault.for_s));
            }
            Action::List(list_fault) => self.add_list_fault(list_fault)?,
            Action::Deploy { nodes } => {
                self.script
                    .nodes_named(nodes)
                    .into_iter()
                    .for_each(|node| self.add(FaultKind::Deploy, node, None));
            }
            Action::Drain { nodes } => {
                self.script
                    .nodes_named(nodes)
                    .into_iter()
                    .for_each(|node| self.add(FaultKind::Drain, node, None));
            }
            Action::KillHosts(hosts) => {
                hosts.iter().for_each(|host| self.add(FaultKind::HostKill, 0, Some(*host)));
            }
            // The traffic itself has the surge; the fault marks it in the report.
            Action::Surge { times, .. } => self.add(FaultKind::Surge(*times), 0, None),
            Action::ChangePrimary { .. } => {}
            Action::Plan { .. } => return Err(UnsupportedAction::PlanChange),
            Action::Hosts { fault, .. } => return Err(UnsupportedAction::Process(format!("{fault:?}"))),
            Action::Voter { .. } | Action::Network { .. } | Action::Partition(_) => {
                return Err(UnsupportedAction::Network)
            }
            Action::Override { refused: true, .. } => return Err(UnsupportedAction::RefusedOverride),
            Action::Override { hosts, kind, target, nodes, .. } => {
                self.add_override(hosts, *kind, target.as_ref(), nodes)?;
            }
            Action::Client { misuse, .. } => {
                return Err(UnsupportedAction::ClientMisuse(format!("{misuse:?}")))
            }
        }
        Ok(())
    }

    fn add_node_fault(&mut self, nodes: &[String], fault: &Fault) -> Result<(), UnsupportedAction> {
        let (kind, for_us) = match fault {
            Fault::Slow(times) => (FaultKind::Slow(*times), self.for_us),
            Fault::Neighbour(share) => (FaultKind::Neighbour(*share), self.for_us),
            Fault::Errors(rate) => (FaultKind::Errors(*rate), self.for_us),
            Fault::Heavy(fraction, times) => (FaultKind::Heavy(*fraction, *times), self.for_us),
            Fault::Pause(seconds) => (FaultKind::Pause, to_us(*seconds)),
            Fault::Silent(_) => (FaultKind::Silent, self.for_us),
            Fault::Restart(seconds) => (FaultKind::Restart, to_us(*seconds)),
            Fault::Reset => (FaultKind::Resets, 0),
            Fault::Die => (FaultKind::Restart, to_us(self.script.scenario.seconds * NEVER_RESTARTS)),
            other => return Err(UnsupportedAction::SocketFault(format!("{other:?}"))),
        };
        for node in self.script.nodes_named(nodes) {
            self.add_at(self.at_us, for_us, kind, node, None);
        }
        Ok(())
    }

    /// Nodes that become slower in steps, and then restart.
    fn add_ageing(&mut self, nodes: &[String], times: f64, down_s: f64) {
        for node in self.script.nodes_named(nodes) {
            let step_us = self.for_us / u64::from(DEGRADATION_STEPS);
            for step in 0..u64::from(DEGRADATION_STEPS) {
                let fraction = step as f64 / f64::from(DEGRADATION_STEPS);
                let kind = FaultKind::Slow(times.powf(fraction));
                self.add_at(self.at_us + step * step_us, step_us, kind, node, None);
            }
            self.add_at(self.at_us + self.for_us, to_us(down_s), FaultKind::Restart, node, None);
        }
    }

    fn add_pauses(&mut self, nodes: &[String], pause_s: f64, every_s: f64, (from_s, until_s): (f64, f64)) {
        for node in self.script.nodes_named(nodes) {
            let mut at_s = from_s;
            while at_s < until_s {
                self.add_at(to_us(at_s), to_us(pause_s), FaultKind::Pause, node, None);
                at_s += every_s.max(MIN_PAUSE_INTERVAL_S);
            }
        }
    }

    fn add_list_fault(&mut self, fault: &ListFault) -> Result<(), UnsupportedAction> {
        match fault {
            ListFault::Late(seconds) => self.add(FaultKind::ListLate(*seconds), 0, None),
            ListFault::Fails(_) | ListFault::Silent(_) => self.add(FaultKind::ListFails, 0, None),
            ListFault::Reset => self.add_at(self.at_us, LIST_RESET_TIME, FaultKind::ListFails, 0, None),
            other => return Err(UnsupportedAction::ListVersions(format!("{other:?}"))),
        }
        Ok(())
    }

    fn add_override(
        &mut self,
        hosts: &[u32],
        kind: OrderKind,
        target: Option<&Target>,
        nodes: &[String],
    ) -> Result<(), UnsupportedAction> {
        if matches!(target, Some(Target::Node(_) | Target::Net(_))) {
            return Err(UnsupportedAction::LoopbackAddress);
        }
        let script = self.script;
        let is_in_target = |node: &u32| {
            let Some((block, shard)) = script.node(*node) else { return false };
            match target {
                Some(Target::Shard(target)) => *target == shard,
                Some(Target::Zone(zone)) => *zone == block.zone,
                _ => false,
            }
        };
        let mut named = script.nodes_named(nodes);
        named.extend((0..script.named_nodes().count() as u32).filter(is_in_target));
        for node in named {
            if hosts.is_empty() {
                self.add(FaultKind::Order(kind, true), node, Some(0));
            }
            hosts.iter().for_each(|host| self.add(FaultKind::Order(kind, false), node, Some(*host)));
        }
        Ok(())
    }
}
