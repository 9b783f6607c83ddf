//! The endpoint list, and the states of nodes as determined by it, by overrides and by peers' lists.

use super::Core;
use crate::event::EndpointListEvent;
use crate::nodes::ListEntry;
use crate::output::Output;
use tackmast::interface::{Instant, ListKind, NodeEntry, NodeId, NodeState, TimeDelta};
use tackmast_overrides::{Effective, NodeFacts};

impl Core {
    /// Handles an endpoint list, changes of it, or the failure to receive one.
    ///
    /// Changes lead from version `from` to version `to`; a complete or saved list has version `to`.
    pub fn handle_endpoint_list(
        &mut self,
        now: Instant,
        kind: ListKind,
        from: u64,
        to: u64,
        entries: &[ListEntry],
    ) {
        match kind {
            ListKind::Failed => return self.scheduler.nodes_changed(now, kind, &[]),
            // Earlier changes are missing. These changes are applied anyway, since a drain among them must take effect at once, and the
            // complete list is fetched to get the missing ones.
            ListKind::Changes if from != self.list_version => {
                self.is_list_incomplete = true;
                self.outputs.push_back(Output::FetchEndpointList);
            }
            ListKind::Complete => self.is_list_incomplete = false,
            ListKind::Changes | ListKind::Saved => {}
        }
        self.list_version = to;
        let mut known: Vec<NodeEntry> = Vec::with_capacity(entries.len());
        for entry in entries {
            match self.nodes.upsert(now, entry) {
                Some(entry) => known.push(entry),
                None => {
                    self.counters.nodes_over_bound += 1;
                    self.emit(EndpointListEvent::NodeTableFull { address: entry.address.clone() });
                }
            }
        }
        if kind != ListKind::Changes {
            self.nodes.retain_listed(&known);
        }
        let attempts_at_node = &self.attempts_at_node;
        self.nodes.evict_gone(|node| attempts_at_node.contains_key(&node));
        let node_facts: Vec<NodeFacts> = self.nodes.entries().filter_map(node_facts).collect();
        if let Some(override_requests) = &mut self.override_requests {
            override_requests.overrides.handle_endpoint_list(now, node_facts);
        }
        for entry in &mut known {
            self.apply_overrides(now, entry);
        }
        self.scheduler.nodes_changed(now, kind, &known);
        self.apply_changed_overrides(now);
        self.withdraw_from_unavailable_nodes(now);
        if self.peers.is_some() {
            self.handle_own_endpoint_list(now);
        }
    }

    /// Returns the version from which changes are to be watched, where 0 asks for the complete list.
    ///
    /// It is 0 while changes are missing, because the fetch of the complete list may fail. A watch from the version of the last change
    /// would then never return the missing changes, which may include drains.
    pub(super) fn version_to_watch_from(&self) -> u64 {
        if self.is_list_incomplete {
            0
        } else {
            self.list_version
        }
    }

    /// Applies overrides and removals by peers' lists to an entry of the list.
    pub(super) fn apply_overrides(&self, now: Instant, entry: &mut NodeEntry) {
        let address = self.nodes.address(entry.node).and_then(|address| address.parse().ok());
        let requests = self.override_requests.as_ref();
        let effective =
            requests.zip(address).and_then(|(requests, address)| requests.overrides.effective(now, &address));
        if let Some(Effective { state, .. }) = effective {
            entry.state = state;
        }
        // A peer's newer list can only remove nodes. Nodes that it adds are not used, as they may not have warmed up.
        let is_removed = |address: &str| self.removed_nodes.is_removed(now, address, self.list_version);
        if entry.state == NodeState::Ready && self.nodes.address(entry.node).is_some_and(is_removed) {
            entry.state = NodeState::Draining;
        }
    }

    /// Passes the nodes whose overrides have changed to the scheduler.
    pub(super) fn apply_changed_overrides(&mut self, now: Instant) {
        let Some(override_requests) = &mut self.override_requests else { return };
        let mut any_unavailable = false;
        let changed: Vec<_> = override_requests.overrides.poll_changed(now).into_iter().collect();
        for (address, effective) in changed {
            let Some(node) = self.nodes.number(&address.to_string()) else { continue };
            let Some(mut entry) = self.nodes.entry(node) else { continue };
            self.apply_overrides(now, &mut entry);
            self.scheduler.nodes_changed(now, ListKind::Changes, &[entry]);
            self.scheduler.node_overridden(now, node, effective.weight, effective.pinned);
            any_unavailable |= effective.state != NodeState::Ready;
        }
        if any_unavailable {
            self.withdraw_from_unavailable_nodes(now);
        }
    }

    /// Withdraws the unsent attempts at nodes that drain or are out of service, and schedules the closing of connections that are still
    /// writing to such a node.
    ///
    /// Neither may reach the node after the drain grace period.
    pub(super) fn withdraw_from_unavailable_nodes(&mut self, now: Instant) {
        let in_use = self.attempts_at_node.keys().copied();
        let unavailable: Vec<NodeId> = in_use.filter(|node| self.is_unavailable(now, *node)).collect();
        for node in unavailable {
            self.withdraw_unsent_at(now, node);
            if !self.cut_deadlines.iter().any(|(_, waiting)| *waiting == node) {
                self.cut_deadlines.insert((now + self.cut_delay, node));
            }
        }
    }

    pub(super) fn is_unavailable(&self, now: Instant, node: NodeId) -> bool {
        let entry = self.nodes.entry(node);
        entry.is_some_and(|mut entry| {
            self.apply_overrides(now, &mut entry);
            entry.state != NodeState::Ready
        })
    }

    /// Handles the uptime that a node reports at the start of a connection. A node has restarted if its uptime is shorter than the list
    /// says.
    ///
    /// Attempts that wait for the connection were meant for a warmed-up node, and would arrive as a burst at a node in slow start. They
    /// are withdrawn, and the scheduler decides again. The connection must not write before the core has handled this report.
    pub fn handle_node_uptime(&mut self, now: Instant, node: NodeId, uptime: TimeDelta) {
        if let Some(mut entry) = self.nodes.record_uptime(now, node, uptime) {
            self.apply_overrides(now, &mut entry);
            self.scheduler.nodes_changed(now, ListKind::Changes, &[entry]);
            self.withdraw_unsent_at(now, node);
        }
    }
}

/// Returns what overrides need to know of a node, or `None` if its address is not a socket address.
fn node_facts((address, entry): (&str, &NodeEntry)) -> Option<NodeFacts> {
    let address = address.parse().ok()?;
    Some(NodeFacts { address, zone: entry.zone.0, shard: entry.shard.0, listed: entry.state })
}
