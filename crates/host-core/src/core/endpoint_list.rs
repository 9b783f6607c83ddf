//! Nodes as the list and operators have them.

use super::*;

impl Core {
    /// A complete list, or changes that begin at version `from`. What is known is brought to version `to`.
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
            // Changes after a gap are applied all the same, above all drains; the complete list is fetched for the others.
            ListKind::Changes if from != self.list_version => self.outputs.push_back(Output::FetchList),
            _ => {}
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
        let at_node = &self.at_node;
        self.nodes.evict_gone(|node| at_node.contains_key(&node));
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
            self.handle_own_node_list(now);
        }
    }

    /// Applies overrides, and removals by peers, to an entry of the list.
    pub(super) fn apply_overrides(&self, now: Instant, entry: &mut NodeEntry) {
        let address = self.nodes.address(entry.node).and_then(|a| a.parse().ok());
        let effective =
            self.override_requests.as_ref().zip(address).and_then(|(o, a)| o.overrides.effective(now, &a));
        if let Some(Effective { state, .. }) = effective {
            entry.state = state;
        }
        // A newer list of a peer only takes nodes away.
        let stopped = |a: &str| self.removed_nodes.takes(a, self.list_version);
        if entry.state == NodeState::Ready && self.nodes.address(entry.node).is_some_and(stopped) {
            entry.state = NodeState::Draining;
        }
    }

    /// Passes nodes whose overrides have changed to the scheduler.
    pub(super) fn apply_changed_overrides(&mut self, now: Instant) {
        let Some(override_requests) = &mut self.override_requests else { return };
        let mut any_unavailable = false;
        let changed: Vec<_> = override_requests.overrides.poll_changed(now).into_iter().collect();
        for (address, effective) in changed {
            let Some(node) = self.nodes.number(&address.to_string()) else { continue };
            let Some(entry) = self.nodes.entry(node) else { continue };
            let mut entry = entry;
            self.apply_overrides(now, &mut entry);
            self.scheduler.nodes_changed(now, ListKind::Changes, &[entry]);
            self.scheduler.node_overridden(now, node, effective.weight, effective.pinned);
            any_unavailable |= effective.state != NodeState::Ready;
        }
        if any_unavailable {
            self.withdraw_from_unavailable_nodes(now);
        }
    }

    /// What is still queued for a node that drains, or is out of service, must not reach it after the grace.
    pub(super) fn withdraw_from_unavailable_nodes(&mut self, now: Instant) {
        let used = self.at_node.keys().copied();
        let stopped: Vec<NodeId> = used.filter(|n| self.is_unavailable(now, *n)).collect();
        for node in stopped {
            self.withdraw_unsent_at(now, node);
            if !self.cut_deadlines.iter().any(|(_, n)| *n == node) {
                self.cut_deadlines.insert((now + self.grace, node));
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

    /// A node said at the start of a link how long it has been up. Later than the list knows: it restarted, and what
    /// waits for the link was meant for the node as it was. The link must not write before this has been heard.
    pub fn handle_node_uptime(&mut self, now: Instant, node: NodeId, up: TimeDelta) {
        if let Some(mut entry) = self.nodes.started(now, node, up) {
            self.apply_overrides(now, &mut entry);
            self.scheduler.nodes_changed(now, ListKind::Changes, &[entry]);
            // Decided for a warm node: against a burst into a cold one at the first link after its start.
            self.withdraw_unsent_at(now, node);
        }
    }
}
