//! Idle connections to nodes: which is reused next, and which is closed first. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::{Instant, NodeId, TimeDelta};

/// A connection of one node that is idle.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    id: u32,
    since: Instant,
}

/// Idle connections to nodes, by node and by age.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    /// Of each node, the one that became idle last at the end.
    by_node: BTreeMap<NodeId, Vec<IdleConnection>>,
    by_age: BTreeSet<(Instant, NodeId, u32)>,
}

impl IdleConnections {
    /// A connection to a node has become idle.
    pub(crate) fn put(&mut self, now: Instant, node: NodeId, id: u32) {
        self.by_node.entry(node).or_default().push(IdleConnection { id, since: now });
        self.by_age.insert((now, node, id));
    }

    /// Takes a connection to a node that has been idle for at least `reuse_delay`. Of several it is the one used last, so that the
    /// others grow old and are closed when the load falls.
    pub(crate) fn take(&mut self, node: NodeId, now: Instant, reuse_delay: TimeDelta) -> Option<u32> {
        let is_reusable = |idle: &&IdleConnection| now - idle.since >= reuse_delay;
        let idle = *self.by_node.get(&node)?.iter().rev().find(is_reusable)?;
        self.remove_at(idle.since, node, idle.id);
        Some(idle.id)
    }

    /// When a connection to the node becomes reusable that no other attempt waits for; `attempts_ahead` attempts wait for the first
    /// ones. None if the node has too few connections.
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

    /// A connection is not idle any more, or closed.
    pub(crate) fn remove(&mut self, node: NodeId, id: u32) {
        if let Some(since) = self.since(node, id) {
            self.remove_at(since, node, id);
        }
    }

    /// Since when a connection is idle.
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

    /// The connection that has been idle for longest, to whatever node, if it has been for at least `min_idle`.
    pub(crate) fn oldest(&self, min_idle: TimeDelta, now: Instant) -> Option<(NodeId, u32)> {
        let (since, node, id) = self.by_age.first().copied()?;
        (now - since >= min_idle).then_some((node, id))
    }

    /// No connection is idle.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }
}

#[cfg(test)]
mod tests;
