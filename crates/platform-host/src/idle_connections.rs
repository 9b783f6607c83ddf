//! Idle connections to nodes: the one to reuse next and the one to close first. This module performs no I/O.

use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::{Instant, NodeId, TimeDelta};

/// An idle connection to a node.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    id: u32,
    since: Instant,
}

/// The idle connections to all nodes, indexed by node and by age.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    /// For each node, its idle connections; the one that became idle last is at the end.
    by_node: BTreeMap<NodeId, Vec<IdleConnection>>,
    by_age: BTreeSet<(Instant, NodeId, u32)>,
}

impl IdleConnections {
    /// Records that a connection to a node has become idle.
    pub(crate) fn put(&mut self, now: Instant, node: NodeId, id: u32) {
        self.by_node.entry(node).or_default().push(IdleConnection { id, since: now });
        self.by_age.insert((now, node, id));
    }

    /// Removes and returns a connection to a node that has been idle for at least `reuse_delay`. Among several it is the most recently
    /// used one, so that the others age and are closed when the load falls.
    pub(crate) fn take(&mut self, node: NodeId, now: Instant, reuse_delay: TimeDelta) -> Option<u32> {
        let is_reusable = |idle: &&IdleConnection| now - idle.since >= reuse_delay;
        let idle = *self.by_node.get(&node)?.iter().rev().find(is_reusable)?;
        self.remove_at(idle.since, node, idle.id);
        Some(idle.id)
    }

    /// Returns when a connection to the node becomes reusable that no other attempt waits for. The first `attempts_ahead` connections
    /// are expected by other attempts. Returns `None` if the node has too few connections.
    pub(crate) fn reusable_at(
        &self,
        node: NodeId,
        now: Instant,
        reuse_delay: TimeDelta,
        attempts_ahead: usize,
    ) -> Option<Instant> {
        let reusable_times = self.by_node.get(&node)?.iter().map(|idle| idle.since + reuse_delay);
        let mut not_yet: Vec<Instant> = reusable_times.filter(|at| *at > now).collect();
        not_yet.sort();
        not_yet.get(attempts_ahead).copied()
    }

    /// Removes a connection that is no longer idle, or is closed.
    pub(crate) fn remove(&mut self, node: NodeId, id: u32) {
        if let Some(since) = self.since(node, id) {
            self.remove_at(since, node, id);
        }
    }

    /// Returns when a connection became idle.
    pub(crate) fn since(&self, node: NodeId, id: u32) -> Option<Instant> {
        let idle = self.by_node.get(&node)?.iter().find(|idle| idle.id == id)?;
        Some(idle.since)
    }

    fn remove_at(&mut self, since: Instant, node: NodeId, id: u32) {
        self.by_age.remove(&(since, node, id));
        if let Some(of_node) = self.by_node.get_mut(&node) {
            of_node.retain(|idle| idle.id != id);
            if of_node.is_empty() {
                self.by_node.remove(&node);
            }
        }
    }

    /// Returns the connection to any node that has been idle for longest, if it has been idle for at least `min_idle`.
    pub(crate) fn oldest(&self, min_idle: TimeDelta, now: Instant) -> Option<(NodeId, u32)> {
        let (since, node, id) = self.by_age.first().copied()?;
        (now - since >= min_idle).then_some((node, id))
    }

    /// Returns whether no connection is idle.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }
}

#[cfg(test)]
mod tests;
