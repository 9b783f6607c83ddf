//! The endpoint list: what it says of the nodes, and how late it reaches the hosts.

use super::event::{Event, HostProcess, ListedNode};
use super::{Mutant, Sim, Us};
use std::collections::BTreeSet;
use tackmast::interface::{ListKind, NodeState, ShardId, TimeDelta, ZoneId};
use tackmast_host_core::{Age, ListEntry, NodeStart};
use tackmast_trace::ListedState;

/// A change of the list reaches each host later by up to this much, in microseconds.
const MAX_LIST_JITTER: Us = 50_000;

impl Sim<'_> {
    /// A host begins to follow the list, and gets it as it is now.
    pub(super) fn watch_endpoint_list(&mut self, host_index: u32) {
        let process = self.process_of(host_index);
        let due = self.now + 2 * self.world.delay_us;
        if self.is_list_failing {
            return self.schedule(due, Event::ListFailed { process });
        }
        self.hosts[host_index as usize].follows_list = true;
        let (version, nodes) = (self.list_version, self.listed_nodes());
        self.schedule(due, Event::EndpointList { process, version, nodes });
    }

    fn listed_nodes(&self) -> Vec<ListedNode> {
        let listed = self.nodes.iter().zip(0..).filter(|(node, _)| node.listed != NodeState::Gone);
        listed
            .map(|(node, node_index)| ListedNode {
                address: node.address.clone(),
                state: node.listed,
                node: node_index,
                started_us: node.listed_start,
            })
            .collect()
    }

    /// The list has changed: all hosts that follow it learn so, after a delay.
    pub(super) fn broadcast_list(&mut self) {
        self.list_version += 1;
        if self.is_list_failing {
            return;
        }
        let (version, nodes) = (self.list_version, self.listed_nodes());
        for host_index in 0..self.world.hosts {
            if self.hosts[host_index as usize].follows_list {
                let process = self.process_of(host_index);
                let due = self.now + self.list_delay + self.generator.rand_range(0..MAX_LIST_JITTER);
                self.schedule(due, Event::EndpointList { process, version, nodes: nodes.clone() });
            }
        }
    }

    /// A list reaches a host.
    pub(super) fn deliver_list(&mut self, process: HostProcess, version: u64, nodes: &[ListedNode]) {
        let host_index = process.host;
        if !self.is_current(process) || !self.hosts[host_index as usize].up {
            return;
        }
        let mut entries = Vec::new();
        for listed in nodes {
            self.record_notified(host_index, &listed.address, listed.state, listed.started_us);
            let is_ignored = self.mutant == Some(Mutant::GraceIgnored);
            let node = &self.nodes[listed.node as usize];
            entries.push(ListEntry {
                id: listed.address.clone(),
                address: listed.address.clone(),
                state: if is_ignored { NodeState::Ready } else { listed.state },
                zone: ZoneId(node.zone),
                shard: ShardId(node.shard),
                start: self.listed_start(host_index, listed.started_us),
            });
        }
        self.record_unlisted(host_index, nodes);
        let now = self.steady_clock(host_index);
        let core = &mut self.hosts[host_index as usize].core;
        core.handle_endpoint_list(now, ListKind::Complete, 0, version, &entries);
        self.poll_host(host_index);
    }

    fn record_notified(&mut self, host: u32, node: &str, state: NodeState, started_us: Us) {
        let state = match state {
            NodeState::Ready => ListedState::Ready,
            NodeState::Draining => ListedState::Draining,
            NodeState::Gone => ListedState::Gone,
        };
        self.record(tackmast_trace::Event::Notified { host, node: node.to_owned(), state, started_us });
    }

    /// The start of a node as a host takes it from the list: its age by the list's clock, or by the host's own wall clock,
    /// which may be wrong.
    fn listed_start(&self, host_index: u32, started_us: Us) -> Option<NodeStart> {
        if started_us == 0 || self.mutant == Some(Mutant::WarmUpIgnored) {
            return None;
        }
        let by_list_clock = self.world.timed_list;
        let shown = if by_list_clock { self.now - self.world.delay_us } else { self.wall_clock(host_index) };
        let age = TimeDelta::from_secs((shown as f64 - started_us as f64) / 1e6);
        let age = if by_list_clock { Age::ByListClock(age) } else { Age::ByHostClock(age) };
        Some(NodeStart { id: started_us, age })
    }

    /// Records that the nodes which a list no longer names are gone.
    fn record_unlisted(&mut self, host_index: u32, nodes: &[ListedNode]) {
        let listed: BTreeSet<&str> = nodes.iter().map(|node| node.address.as_str()).collect();
        let known = self.hosts[host_index as usize].core.nodes().entries();
        let gone: Vec<String> = known
            .filter(|(address, entry)| entry.state != NodeState::Gone && !listed.contains(&**address))
            .map(|(address, _)| address.to_owned())
            .collect();
        for node in gone {
            self.record_notified(host_index, &node, NodeState::Gone, 0);
        }
    }
}
