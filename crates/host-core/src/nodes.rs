//! Node addresses and the small numbers by which the scheduler knows them.

use std::collections::{BTreeMap, HashMap};
use tackmast::interface::{Instant, NodeEntry, NodeId, NodeState, ShardId, TimeDelta, ZoneId};

/// One entry of a node list, as it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// What the list calls the node; the same at all hosts and for good.
    pub id: String,
    /// Where this host reaches it; may change.
    pub address: String,
    /// What the list says of it.
    pub state: NodeState,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard that it serves.
    pub shard: ShardId,
    /// Its latest start, where the list has it.
    pub start: Option<NodeStart>,
}

/// A start as a list reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStart {
    /// The list's own figure for the start; another one means another start.
    pub name: u64,
    /// How long ago it was.
    pub age: Age,
}

/// By which clock the age is known. It may come out below zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// The list's own, when it was sent: what it took to come makes the node look younger at most.
    ByListClock(TimeDelta),
    /// This host's wall clock, which may be wrong by minutes.
    ByHostClock(TimeDelta),
}

/// A list's time of a start and the node's own differ by the delay of a message; a smaller difference is no new start.
const START_TOLERANCE: f64 = 0.5; // seconds
/// A start that lies further back than this by the host's wall clock is long past, even where that clock is wrong.
const LONG_RUNNING: f64 = 1800.0; // seconds

/// When a node of the list started, as far as that is certain: never earlier than it did. A host whose
/// wall clock is ahead must not take a cold node for a warm one.
fn started(now: Instant, s: NodeStart) -> Instant {
    let age = match s.age {
        Age::ByListClock(age) => age,
        Age::ByHostClock(age) if age.secs() >= LONG_RUNNING => age,
        Age::ByHostClock(_) => TimeDelta::ZERO,
    };
    now - age.max(TimeDelta::ZERO)
}

/// Nodes known to this generation of the host. A number is never reused for another id: what the scheduler learned must
/// not pass to a stranger. Those that are gone are remembered for a while, as the list may name them again.
#[derive(Debug, Default)]
pub struct Nodes {
    numbers: HashMap<String, NodeId>,
    known: BTreeMap<NodeId, KnownNode>,
    next: u32,
    most: usize,
}

/// Gone nodes that are remembered, at most.
const MAX_GONE_NODES: usize = 64;

#[derive(Debug)]
struct KnownNode {
    id: String,
    address: String,
    entry: NodeEntry,
    /// The list's figure for the latest start; 0: none.
    start: u64,
}

impl Nodes {
    /// A table of at most so many nodes.
    pub fn new(most: usize) -> Self {
        Nodes { most, ..Nodes::default() }
    }

    /// The entry under the node's number; none: the table is full.
    pub fn upsert(&mut self, now: Instant, e: &ListEntry) -> Option<NodeEntry> {
        let number = match self.numbers.get(&e.id) {
            Some(n) => *n,
            None if self.known.len() >= self.most => return None,
            None => {
                let n = NodeId(self.next);
                self.next += 1;
                self.numbers.insert(e.id.clone(), n);
                n
            }
        };
        let (known, name) = self.known.get(&number).map_or((None, 0), |k| (k.entry.up_since, k.start));
        let new_start = e.start.filter(|s| s.name != name).map(|s| started(now, s));
        // A late list must not revert a start that the node itself reported, nor report the same one again.
        let up_since = match (known, new_start) {
            (Some(k), Some(t)) if (t - k).secs() < START_TOLERANCE => Some(k),
            (k, t) => t.or(k),
        };
        let start = e.start.map_or(name, |s| s.name);
        let entry = NodeEntry { node: number, state: e.state, zone: e.zone, shard: e.shard, up_since };
        let known = KnownNode { id: e.id.clone(), address: e.address.clone(), entry, start };
        self.known.insert(number, known);
        Some(entry)
    }

    /// How long a node says it has been up; returns the changed entry if that is a new start.
    pub fn started(&mut self, now: Instant, node: NodeId, up: TimeDelta) -> Option<NodeEntry> {
        let up_since = now - up.max(TimeDelta::ZERO);
        let k = self.known.get_mut(&node)?;
        // One without a known start counts as long up. Hearing so must not pass for a start: what the scheduler has
        // learned of it would be lost at the first link to each node, and what waits for the link sent anew.
        let is_new = match k.entry.up_since {
            Some(known) => (up_since - known).secs() >= START_TOLERANCE,
            None => up.secs() < LONG_RUNNING,
        };
        if !is_new {
            return None;
        }
        k.entry.up_since = Some(up_since);
        Some(k.entry)
    }

    /// What a complete list does not name is gone.
    pub fn retain_listed(&mut self, named: &[NodeEntry]) {
        let named: std::collections::HashSet<NodeId> = named.iter().map(|e| e.node).collect();
        for k in self.known.values_mut().filter(|k| !named.contains(&k.entry.node)) {
            k.entry.state = NodeState::Gone;
        }
    }

    /// Where the node is reached.
    pub fn address(&self, node: NodeId) -> Option<&str> {
        self.known.get(&node).map(|k| k.address.as_str())
    }

    /// As the list has it.
    pub fn entry(&self, node: NodeId) -> Option<NodeEntry> {
        self.known.get(&node).map(|k| k.entry)
    }

    /// The list's figure for the latest start; 0: none.
    pub fn start_id(&self, node: NodeId) -> u64 {
        self.known.get(&node).map_or(0, |k| k.start)
    }

    /// By its id; where the list has no other, that is its address.
    pub fn number(&self, id: &str) -> Option<NodeId> {
        self.numbers.get(id).copied()
    }

    /// Against a table that fills under new ids without end: of the nodes that are gone and not in use, the longest known
    /// are forgotten.
    pub fn evict_gone(&mut self, in_use: impl Fn(NodeId) -> bool) {
        let gone = |k: &&KnownNode| k.entry.state == NodeState::Gone && !in_use(k.entry.node);
        let gone: Vec<NodeId> = self.known.values().filter(gone).map(|k| k.entry.node).collect();
        for node in &gone[..gone.len().saturating_sub(MAX_GONE_NODES)] {
            if let Some(k) = self.known.remove(node) {
                self.numbers.remove(&k.id);
            }
        }
    }

    /// Address and entry of each node.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &NodeEntry)> {
        self.known.values().map(|k| (k.address.as_str(), &k.entry))
    }
}

#[cfg(test)]
mod tests;
