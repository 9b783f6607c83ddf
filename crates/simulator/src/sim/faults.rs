//! Begins and ends the faults of a world.

#[cfg(test)]
mod tests;

use super::active_faults::FaultEnd;
use super::event::{Event, LinkId};
use super::state::BusiestHost;
use super::{Sim, Us};
use crate::world::{FaultKind, InjectedFault};
use tackmast::interface::NodeState;

/// After this time a node that was silent starts again, in microseconds.
const SILENT_RESTART_DELAY: Us = 50_000;
/// After this time the replacement of a deployed node starts, in microseconds.
const DEPLOY_RESTART_DELAY: Us = 100_000;
/// A host closes a link on which nothing has passed for this long, in microseconds.
const LINK_TIMEOUT: Us = 600_000;

impl Sim<'_> {
    /// Schedules the faults of the world, whose times count from `start`.
    pub(super) fn schedule_faults(&mut self, start: Us) {
        for (fault_index, fault) in self.world.faults.iter().enumerate() {
            let change = |on| Event::FaultChange { fault: fault_index, on };
            self.schedule(start + fault.at_us, change(true));
            self.schedule(start + fault.at_us + fault.for_us, change(false));
        }
    }

    /// Begins a fault.
    pub(super) fn begin_fault(&mut self, fault_index: usize) {
        let fault = self.world.faults[fault_index];
        self.active_faults.begin(fault_index, fault);
        self.apply_fault(fault, true);
    }

    /// Ends a fault. What other faults of its kind do at the same place goes on.
    pub(super) fn end_fault(&mut self, fault_index: usize) {
        let fault = self.world.faults[fault_index];
        match self.active_faults.end(fault_index) {
            FaultEnd::Undo => self.apply_fault(fault, false),
            FaultEnd::Restore(other) if other.kind.has_strength() => self.apply_fault(other, true),
            FaultEnd::Restore(_) | FaultEnd::NoChange => {}
        }
    }

    /// Makes the change of a fault, or undoes it.
    fn apply_fault(&mut self, fault: InjectedFault, on: bool) {
        match fault.kind {
            FaultKind::Slow(_) | FaultKind::Errors(_) | FaultKind::Neighbour(_) | FaultKind::Heavy(..) => {
                self.apply_node_load(fault, on);
            }
            FaultKind::Pause
            | FaultKind::Silent
            | FaultKind::Restart
            | FaultKind::MassRestart
            | FaultKind::Drain
            | FaultKind::Deploy => self.apply_node_state(fault, on),
            FaultKind::HostKill
            | FaultKind::HostLeaves
            | FaultKind::HostStands
            | FaultKind::Partition
            | FaultKind::Resets => self.apply_host_or_link(fault, on),
            FaultKind::ListLate(seconds) => {
                self.list_delay = if on { (seconds * 1e6) as Us } else { self.world.list_late_us };
            }
            FaultKind::ListFails => self.set_list_failing(on),
            FaultKind::Surge(times) => self.surge_factor = if on { times } else { 1.0 },
            FaultKind::Leave(fraction) => self.abort_fraction = if on { fraction } else { 0.0 },
            FaultKind::Hot(fraction) => self.hot_fraction = if on { fraction } else { 0.0 },
            FaultKind::Order(kind, all) if on => {
                self.set_override(fault.host.filter(|_| !all), fault.node, kind, fault.for_us);
            }
            FaultKind::Hangup(fraction) if on => self.close_connections(fraction),
            FaultKind::Order(..) | FaultKind::Hangup(_) => {}
            FaultKind::Split(fraction) => self.host_partition = on.then_some(fraction),
            FaultKind::Busiest(fraction, host) => {
                self.busiest = on.then_some(BusiestHost { fraction, host });
            }
            FaultKind::Plan(limit_multiple, burst_multiple) if on => {
                self.change_plan(limit_multiple, burst_multiple);
            }
            FaultKind::Plan(..) => self.change_plan(1.0, 1.0),
        }
    }

    fn apply_node_load(&mut self, fault: InjectedFault, on: bool) {
        self.change_node_faults(fault.node, |faults| match fault.kind {
            FaultKind::Slow(times) => faults.slowdown = if on { times } else { 1.0 },
            FaultKind::Errors(rate) => faults.error_rate = if on { rate } else { 0.0 },
            FaultKind::Neighbour(share) => faults.neighbour_share = if on { share } else { 0.0 },
            FaultKind::Heavy(fraction, times) => {
                (faults.heavy_fraction, faults.heavy_multiple) =
                    if on { (fraction, times) } else { (0.0, 1.0) };
            }
            _ => {}
        });
    }

    fn apply_node_state(&mut self, fault: InjectedFault, on: bool) {
        let (node, now) = (fault.node, self.now);
        match fault.kind {
            FaultKind::Pause if on => {
                self.nodes[node as usize].model.pause(now, fault.for_us as f64 / 1e6);
                self.process_node_events(node);
            }
            FaultKind::Silent if on => self.nodes[node as usize].silent = true,
            // What the node had in flight is lost: it comes back as a process that starts.
            FaultKind::Silent => {
                self.kill_node(node);
                self.schedule(now + SILENT_RESTART_DELAY, Event::NodeUp { node });
            }
            FaultKind::Restart if on => self.kill_node(node),
            FaultKind::Restart => self.schedule(now, Event::NodeUp { node }),
            FaultKind::MassRestart if on => self.restart_all_nodes(fault.for_us / 2),
            FaultKind::Drain | FaultKind::Deploy if on => {
                self.change_listed_state(node, NodeState::Ready, NodeState::Draining);
            }
            FaultKind::Drain => self.change_listed_state(node, NodeState::Draining, NodeState::Ready),
            FaultKind::Deploy => self.replace_node(node),
            _ => {}
        }
    }

    /// Changes the state in which a node is listed, if it is `from`.
    fn change_listed_state(&mut self, node: u32, from: NodeState, to: NodeState) {
        if self.nodes[node as usize].listed == from {
            self.nodes[node as usize].listed = to;
            self.broadcast_list();
        }
    }

    /// Kills all nodes, and starts them again after that time.
    fn restart_all_nodes(&mut self, down_time: Us) {
        let starts = self.now + down_time;
        self.mass_restart_until = self.mass_restart_until.max(starts);
        (0..self.world.nodes).for_each(|node| self.kill_node(node));
        self.schedule(starts, Event::MassRestartEnded);
    }

    /// Ends a node; its replacement starts at another address.
    fn replace_node(&mut self, node_index: u32) {
        self.kill_node(node_index);
        let node = &mut self.nodes[node_index as usize];
        node.address_generation += 1;
        node.address =
            format!("10.{}.{}.{}:9000", node.address_generation, node_index / 250, node_index % 250);
        self.schedule(self.now + DEPLOY_RESTART_DELAY, Event::NodeUp { node: node_index });
    }

    fn apply_host_or_link(&mut self, fault: InjectedFault, on: bool) {
        let host = fault.host.unwrap_or(0);
        match fault.kind {
            FaultKind::HostKill if on => self.kill_host(host),
            FaultKind::HostLeaves if on => self.drain_host(host),
            FaultKind::HostKill | FaultKind::HostLeaves => self.schedule(self.now, Event::HostUp { host }),
            FaultKind::HostStands if on => self.pause_host(host, fault.for_us),
            FaultKind::Partition if on => self.partition(host, fault.node, fault.for_us),
            FaultKind::Partition => _ = self.partitions.remove(&(host, fault.node)),
            FaultKind::Resets if on => self.close_all_links(fault.node),
            _ => {}
        }
    }

    /// Nothing passes between a host and a node for a while. The host closes the link once it has been silent for long.
    fn partition(&mut self, host: u32, node: u32, duration: Us) {
        let until = self.partitions.entry((host, node)).or_default();
        *until = (self.now + duration).max(*until);
        let generation = self.hosts[host as usize].links.get(&node).map(|link| link.generation);
        if let Some(generation) = generation.filter(|_| duration > LINK_TIMEOUT) {
            let link = LinkId { host, node, generation };
            self.schedule(self.now + LINK_TIMEOUT, Event::LinkDown { link });
        }
    }

    fn set_list_failing(&mut self, on: bool) {
        self.is_list_failing = on;
        for host_index in 0..self.world.hosts {
            if on && self.hosts[host_index as usize].follows_list {
                let process = self.process_of(host_index);
                self.schedule(self.now, Event::ListFailed { process });
            }
        }
    }
}
