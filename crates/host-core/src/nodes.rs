//! The table of nodes: their addresses, their latest starts, and the numbers by which the scheduler knows them.

use std::collections::{BTreeMap, HashMap};
use tackmast::interface::{Instant, NodeEntry, NodeId, NodeState, ShardId, TimeDelta, ZoneId};

/// A node of the endpoint list, as it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The list's permanent id of the node, the same at all hosts.
    pub id: String,
    /// The address at which this host reaches the node. It may change.
    pub address: String,
    /// The node's state by the list.
    pub state: NodeState,
    /// The node's zone.
    pub zone: ZoneId,
    /// The shard that the node serves.
    pub shard: ShardId,
    /// The node's latest start; `None` if the list does not report it.
    pub start: Option<NodeStart>,
}

/// A start of a node as the endpoint list reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStart {
    /// The list's id of the start. A different id means a different start; 0 counts as no start.
    pub id: u64,
    /// The time since the start.
    pub age: Age,
}

/// The age of a start, by the clock with which it was computed. Clocks that differ can make it negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// By the list's own clock, when the list was sent. The delay of the message only makes the start look more recent.
    ByListClock(TimeDelta),
    /// By this host's wall clock, which may be wrong by minutes.
    ByHostClock(TimeDelta),
}

/// Two reports whose times differ by less are of the same start: the list's time and the node's own differ by the delay of a message.
const START_TOLERANCE: TimeDelta = TimeDelta::from_millis(500);
/// A start with a greater age by the host's wall clock is certainly long past, even if that clock is wrong by minutes.
const LONG_RUNNING: TimeDelta = TimeDelta::from_millis(1_800_000);
/// Number of nodes that are remembered after they are gone.
const MAX_GONE_NODES: usize = 64;

/// Returns a time that is not before the node's start, as close to it as the clocks allow. If a host whose wall clock is ahead believed an
/// earlier start, it would take a node in slow start for one that is warmed up, and overload it.
fn latest_start(now: Instant, start: NodeStart) -> Instant {
    let age = match start.age {
        Age::ByListClock(age) => age,
        Age::ByHostClock(age) if age >= LONG_RUNNING => age,
        Age::ByHostClock(_) => TimeDelta::ZERO,
    };
    now - age.max(TimeDelta::ZERO)
}

/// The nodes that this generation of the host knows. A number is never reused for another id, since the scheduler would apply to one node
/// what it has learned of another. Some nodes that are gone are remembered, as the list may name them again.
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
    /// The list's id of the latest start; 0 if the list has reported none.
    start_id: u64,
}

impl Nodes {
    /// Creates a table of at most `max_nodes` nodes.
    pub fn new(max_nodes: usize) -> Self {
        Nodes { max_nodes, ..Nodes::default() }
    }

    /// Inserts or updates a node of the list, and returns its entry for the scheduler; `None` if the table is full.
    pub fn upsert(&mut self, now: Instant, listed: &ListEntry) -> Option<NodeEntry> {
        let node = self.number_for(&listed.id)?;
        let known = self.known.get(&node);
        let known_start_id = known.map_or(0, |known| known.start_id);
        let known_since = known.and_then(|known| known.entry.up_since);
        let new_start = listed.start.filter(|start| start.id != known_start_id);
        let listed_since = new_start.map(|start| latest_start(now, start));
        // The node itself may have reported this start already. A late report of the list must not move the start back, nor make the
        // node appear to have restarted again.
        let is_reported = |known: Instant, listed: Instant| listed - known < START_TOLERANCE;
        let up_since = match (known_since, listed_since) {
            (Some(known), Some(listed)) if is_reported(known, listed) => Some(known),
            (known, listed) => listed.or(known),
        };
        let ListEntry { state, zone, shard, .. } = *listed;
        let entry = NodeEntry { node, state, zone, shard, up_since };
        let start_id = listed.start.map_or(known_start_id, |start| start.id);
        let known = KnownNode { id: listed.id.clone(), address: listed.address.clone(), entry, start_id };
        self.known.insert(node, known);
        Some(entry)
    }

    /// Returns the number of a node and assigns one to a new node; `None` if the table is full.
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

    /// Records how long a node reports to have been up. Returns the changed entry if that means a new start.
    pub fn record_uptime(&mut self, now: Instant, node: NodeId, uptime: TimeDelta) -> Option<NodeEntry> {
        let up_since = now - uptime.max(TimeDelta::ZERO);
        let known = self.known.get_mut(&node)?;
        // A node without a known start counts as long running. If the first report of each such node were a new start, the scheduler
        // would discard what it has learned of the node at the first connection, and the attempts that wait for it would be withdrawn.
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

    /// Marks the nodes that a complete list does not name as gone.
    pub fn retain_listed(&mut self, listed: &[NodeEntry]) {
        let listed: std::collections::HashSet<NodeId> = listed.iter().map(|entry| entry.node).collect();
        for known in self.known.values_mut().filter(|known| !listed.contains(&known.entry.node)) {
            known.entry.state = NodeState::Gone;
        }
    }

    /// Returns the address at which this host reaches a node; `None` if the node is not known.
    pub fn address(&self, node: NodeId) -> Option<&str> {
        self.known.get(&node).map(|known| known.address.as_str())
    }

    /// Returns the entry of a node, with the state of the list; `None` if the node is not known.
    pub fn entry(&self, node: NodeId) -> Option<NodeEntry> {
        self.known.get(&node).map(|known| known.entry)
    }

    /// Returns the list's id of a node's latest start; 0 if the list has reported none.
    pub fn start_id(&self, node: NodeId) -> u64 {
        self.known.get(&node).map_or(0, |known| known.start_id)
    }

    /// Returns the number of a node by its id, which is its address if the list has no other; `None` if the node is not known.
    pub fn number(&self, id: &str) -> Option<NodeId> {
        self.numbers.get(id).copied()
    }

    /// Evicts the nodes that are gone and not in use, except those with the highest numbers. A list that gives each replacement of a node a
    /// new id would otherwise fill this table, and new nodes would not be used.
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

    /// Returns the address and entry of each node, in the order of their numbers.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &NodeEntry)> {
        self.known.values().map(|known| (known.address.as_str(), &known.entry))
    }
}

#[cfg(test)]
mod tests;
