//! Which connection is reused, closed or given up for another, and how descriptors and bytes are split. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use tackmast::interface::{Instant, NodeId, TimeDelta};
use tackmast_platform::Limits;

/// Descriptors that are not connections of clients or nodes: the standard three, epoll, signals, listener, datagrams, node list old
/// and new, the configuration file, and a few to accept with.
const OWN_SOCKETS: usize = 25;
/// Of the others, clients get this part: silent ones come by the hundred, while attempts out are capped by the module.
const CLIENTS_PART: f64 = 0.6;
/// Of the memory, what may stand in buffers. The rest is the program, its tables, and what the allocator keeps.
const BYTES_PART: f64 = 0.25;
/// A request's tables, roughly; so many fit into the same part again.
const TRANSFER_BYTES: usize = 4096;

/// What the host may hold, from the platform's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    pub clients: usize,
    pub links: usize,
    pub bytes: usize,
    pub requests: usize,
}

impl Split {
    pub fn of(limits: &Limits) -> Self {
        let free = limits.sockets.saturating_sub(OWN_SOCKETS);
        let clients = (free as f64 * CLIENTS_PART) as usize;
        let bytes = (limits.memory_bytes as f64 * BYTES_PART) as usize;
        // A client has one request open; the table of requests has room for all that fit.
        let requests = (bytes / TRANSFER_BYTES).min(clients * 2);
        Split { clients, links: free - clients, bytes, requests }
    }
}

/// How far a client's connection is, for the choice which one has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Has its last answer; only its end is awaited.
    Over,
    /// Has not made one good request in a while: has said nothing, or a part.
    Silent,
    /// Between requests for long enough that its client counts on its end.
    Idle,
    /// Has only just come. Its first request is on its way, and its client would take its end for a failure.
    Young,
    /// Between requests for a moment.
    Resting,
    /// In the middle of a request's bytes.
    Midway,
    /// Owed an answer.
    Busy,
}

/// A connection between requests may be closed after this.
pub const IDLE_AFTER: f64 = 2.0; // seconds

/// A client that has just connected speaks within this.
pub const YOUNG: f64 = 0.3; // seconds

/// The clients that may be given up for a new one, the first to go first: the lowest stage, in it the longest there. One that is
/// owed an answer never goes.
pub fn by_eviction(clients: impl Iterator<Item = (u32, Stage, Instant)>) -> Vec<u32> {
    let mut may: Vec<_> = clients.filter(|(_, stage, _)| *stage < Stage::Busy).collect();
    may.sort_by_key(|(id, stage, since)| (*stage, *since, *id));
    may.into_iter().map(|(id, _, _)| id).collect()
}

/// Idle connections to nodes.
#[derive(Debug, Default)]
pub struct Idle {
    by_node: BTreeMap<NodeId, Vec<(u32, Instant)>>,
    by_age: BTreeSet<(Instant, NodeId, u32)>,
}

impl Idle {
    pub fn put(&mut self, now: Instant, node: NodeId, link: u32) {
        self.by_node.entry(node).or_default().push((link, now));
        self.by_age.insert((now, node, link));
    }

    /// The one used last, of those that have been idle for so long: the others may age until they close.
    pub fn take(&mut self, node: NodeId, now: Instant, rested: TimeDelta) -> Option<u32> {
        let rested = |(_, since): &&(u32, Instant)| now - *since >= rested;
        let (link, since) = *self.by_node.get(&node)?.iter().rev().find(rested)?;
        self.remove_at(since, node, link);
        Some(link)
    }

    /// When one more of a node's links has been idle for `rested`, after `before` others have: if it has so many that are not yet.
    pub fn rested_at(&self, node: NodeId, now: Instant, rested: TimeDelta, before: usize) -> Option<Instant> {
        let mut young: Vec<Instant> =
            self.by_node.get(&node)?.iter().map(|(_, t)| *t + rested).filter(|t| *t > now).collect();
        young.sort();
        young.get(before).copied()
    }

    pub fn remove(&mut self, node: NodeId, link: u32) {
        if let Some(since) = self.since(node, link) {
            self.remove_at(since, node, link);
        }
    }

    /// Since when a link is idle.
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

    /// The one idle for longest, at whatever node: to make room, or if it has been so for longer than `keep`.
    pub fn oldest(&self, idle_at_least: TimeDelta, now: Instant) -> Option<(NodeId, u32)> {
        let (since, node, link) = self.by_age.first().copied()?;
        (now - since >= idle_at_least).then_some((node, link))
    }

    pub fn at(&self, node: NodeId) -> Vec<u32> {
        self.by_node.get(&node).into_iter().flatten().map(|(l, _)| *l).collect()
    }

    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }
}

#[cfg(test)]
mod tests;
