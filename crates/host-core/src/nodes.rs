//! Node addresses and the small numbers by which the scheduler knows them.

use std::collections::{BTreeMap, HashMap};
use tackmast::interface::{Instant, NodeEntry, NodeId, NodeState, ShardId, TimeDelta, ZoneId};

/// One entry of an endpoint list, as it was received.
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
    pub id: u64,
    /// How long ago it was.
    pub age: Age,
}

/// By which clock the age is known. It may come out below zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// The list's own clock, when the list was sent. The delay of the message only makes the node look younger.
    ByListClock(TimeDelta),
    /// This host's wall clock, which may be wrong by minutes.
    ByHostClock(TimeDelta),
}

/// A smaller difference between two reports of a start is no new start: the list's time and the node's own differ by the delay of a message.
const START_TOLERANCE: TimeDelta = TimeDelta::from_millis(500);
/// A start that lies further back than this by the host's wall clock is long past, even if that clock is wrong by minutes.
const LONG_RUNNING: TimeDelta = TimeDelta::from_millis(1_800_000);
/// Nodes that are gone and still remembered.
const MAX_GONE_NODES: usize = 64;

/// When a node of the list started, as far as that is certain: never earlier than it did. A host whose wall clock is ahead would take a node
/// in slow start for one that is warmed up, and overload it.
fn latest_start(now: Instant, start: NodeStart) -> Instant {
    let age = match start.age {
        Age::ByListClock(age) => age,
        Age::ByHostClock(age) if age >= LONG_RUNNING => age,
        Age::ByHostClock(_) => TimeDelta::ZERO,
    };
    now - age.max(TimeDelta::ZERO)
}

/// Nodes known to this generation of the host. A number is never reused for another id: else what the scheduler has learned of one node
/// would be applied to another. Nodes that are gone are remembered for a while, as the list may name them again.
#[derive(Debug, Default)]
pub struct Nodes {
    numbers: HashMap<String, NodeId>,
    known: BTreeMap<NodeId, KnownNode>,
    next_number: u32,
    max_nodes: usize,
}

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
    pub fn new(max_nodes: usize) -> Self {
        Nodes { max_nodes, ..Nodes::default() }
    }

    /// Takes an entry of the list in, and gives the node as the scheduler gets it; none: the table is full.
    pub fn upsert(&mut self, now: Instant, listed: &ListEntry) -> Option<NodeEntry> {
        let node = self.number_for(&listed.id)?;
        let known = self.known.get(&node);
        let known_start = known.map_or(0, |known| known.start);
        let known_since = known.and_then(|known| known.entry.up_since);
        let new_start = listed.start.filter(|start| start.id != known_start);
        let listed_since = new_start.map(|start| latest_start(now, start));
        // The node itself may have reported this start already. A list that reports it late must not move it back, nor make the node
        // appear to have restarted once more.
        let is_reported = |known: Instant, listed: Instant| listed - known < START_TOLERANCE;
        let up_since = match (known_since, listed_since) {
            (Some(known), Some(listed)) if is_reported(known, listed) => Some(known),
            (known, listed) => listed.or(known),
        };
        let ListEntry { state, zone, shard, .. } = *listed;
        let entry = NodeEntry { node, state, zone, shard, up_since };
        let start = listed.start.map_or(known_start, |start| start.id);
        let known = KnownNode { id: listed.id.clone(), address: listed.address.clone(), entry, start };
        self.known.insert(node, known);
        Some(entry)
    }

    /// The number of a node, perhaps a new one; none: the table is full.
    fn number_for(&mut self, id: &str) -> Option<NodeId> {
        if let Some(node) = self.numbers.get(id) {
            return Some(*node);
        }
        if self.known.len() >= self.max_nodes {
            return None;
        }
        let node = NodeId(self.next_number);
        self.next_number += 1;
        self.numbers.insert(id.to_owned(), node);
        Some(node)
    }

    /// How long a node reports to have been up; returns the changed entry if that is a new start.
    pub fn record_uptime(&mut self, now: Instant, node: NodeId, uptime: TimeDelta) -> Option<NodeEntry> {
        let up_since = now - uptime.max(TimeDelta::ZERO);
        let known = self.known.get_mut(&node)?;
        // A node without a known start counts as long running. If the first report of each such node counted as a new start, the
        // scheduler would lose what it has learned of the node at the first connection, and send anew what waits for that.
        let is_new = match known.entry.up_since {
            Some(known_since) => up_since - known_since >= START_TOLERANCE,
            None => uptime < LONG_RUNNING,
        };
        if !is_new {
            return None;
        }
        known.entry.up_since = Some(up_since);
        Some(known.entry)
    }

    /// Nodes that a complete list does not name are gone.
    pub fn retain_listed(&mut self, named: &[NodeEntry]) {
        let named: std::collections::HashSet<NodeId> = named.iter().map(|entry| entry.node).collect();
        for known in self.known.values_mut().filter(|known| !named.contains(&known.entry.node)) {
            known.entry.state = NodeState::Gone;
        }
    }

    /// Where the node is reached.
    pub fn address(&self, node: NodeId) -> Option<&str> {
        self.known.get(&node).map(|known| known.address.as_str())
    }

    /// The node as the list has it.
    pub fn entry(&self, node: NodeId) -> Option<NodeEntry> {
        self.known.get(&node).map(|known| known.entry)
    }

    /// The list's figure for the latest start; 0: none.
    pub fn start_id(&self, node: NodeId) -> u64 {
        self.known.get(&node).map_or(0, |known| known.start)
    }

    /// The number of a node by its id, which is its address where the list has no other.
    pub fn number(&self, id: &str) -> Option<NodeId> {
        self.numbers.get(id).copied()
    }

    /// A list that names replaced nodes by ever new ids would fill this table, and new nodes would not be used. So the nodes that are gone
    /// and not in use are evicted, except those with the highest numbers.
    pub fn evict_gone(&mut self, is_in_use: impl Fn(NodeId) -> bool) {
        let entries = self.known.values().map(|known| known.entry);
        let gone = entries.filter(|entry| entry.state == NodeState::Gone && !is_in_use(entry.node));
        let gone: Vec<NodeId> = gone.map(|entry| entry.node).collect();
        for node in &gone[..gone.len().saturating_sub(MAX_GONE_NODES)] {
            if let Some(known) = self.known.remove(node) {
                self.numbers.remove(&known.id);
            }
        }
    }

    /// Address and entry of each node.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &NodeEntry)> {
        self.known.values().map(|known| (known.address.as_str(), &known.entry))
    }
}

#[cfg(test)]
mod tests;
