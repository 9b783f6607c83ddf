//! Idle connections to nodes: which is reused next, and which is closed first. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::{Instant, NodeId, TimeDelta};

/// Idle connections to nodes, by node and by age.
#[derive(Debug, Default)]
pub struct IdleConnections {
    by_node: BTreeMap<NodeId, Vec<(u32, Instant)>>,
    by_age: BTreeSet<(Instant, NodeId, u32)>,
}

impl IdleConnections {
    /// A connection to a node has become idle.
    pub fn put(&mut self, now: Instant, node: NodeId, link: u32) {
        self.by_node.entry(node).or_default().push((link, now));
        self.by_age.insert((now, node, link));
    }

    /// Takes the connection to a node that was used last, of those that have been idle for `rested`: the others may age until
    /// they are closed.
    pub fn take(&mut self, node: NodeId, now: Instant, rested: TimeDelta) -> Option<u32> {
        let rested = |(_, since): &&(u32, Instant)| now - *since >= rested;
        let (link, since) = *self.by_node.get(&node)?.iter().rev().find(rested)?;
        self.remove_at(since, node, link);
        Some(link)
    }

    /// When the next connection to a node will have been idle for `rested`, behind `before` others that are reserved for other
    /// attempts; none where the node has too few.
    pub fn reusable_at(
        &self,
        node: NodeId,
        now: Instant,
        rested: TimeDelta,
        before: usize,
    ) -> Option<Instant> {
        let mut young: Vec<Instant> =
            self.by_node.get(&node)?.iter().map(|(_, t)| *t + rested).filter(|t| *t > now).collect();
        young.sort();
        young.get(before).copied()
    }

    /// A connection is not idle any more, or closed.
    pub fn remove(&mut self, node: NodeId, link: u32) {
        if let Some(since) = self.since(node, link) {
            self.remove_at(since, node, link);
        }
    }

    /// Since when a connection is idle.
    pub fn since(&self, node: NodeId, link: u32) -> Option<Instant> {
        let (_, since) = self.by_node.get(&node)?.iter().find(|(l, _)| *l == link)?;
        Some(*since)
    }

    fn remove_at(&mut self, since: Instant, node: NodeId, link: u32) {
        self.by_age.remove(&(since, node, link));
        if let Some(all) = self.by_node.get_mut(&node) {
            all.retain(|(l, _)| *l != link);
            if all.is_empty() {
                self.by_node.remove(&node);
            }
        }
    }

    /// The connection that has been idle for longest, to whatever node, if it has been for `idle_at_least`.
    pub fn oldest(&self, idle_at_least: TimeDelta, now: Instant) -> Option<(NodeId, u32)> {
        let (since, node, link) = self.by_age.first().copied()?;
        (now - since >= idle_at_least).then_some((node, link))
    }

    /// No connection is idle.
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }
}

#[cfg(test)]
mod tests;
