//! Node addresses and the small numbers by which the decision module knows them.

use std::collections::HashMap;
use tackmast::interface::{Instant, NodeEntry, NodeId, NodeState, ShardId, ZoneId};

/// One line of a node list, as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub address: String,
    pub state: NodeState,
    pub zone: ZoneId,
    pub shard: ShardId,
    /// When it last started, on the host's own time.
    pub up_since: Option<Instant>,
}

/// Nodes ever named to this life of the host. A number is never given to another address: what the module
/// learned of a node must not pass to a stranger.
#[derive(Debug, Default)]
pub struct Nodes {
    numbers: HashMap<String, NodeId>,
    known: Vec<Known>,
    most: usize,
}

#[derive(Debug)]
struct Known {
    address: String,
    entry: NodeEntry,
}

impl Nodes {
    pub fn new(most: usize) -> Self {
        Nodes { most, ..Nodes::default() }
    }

    /// The entry under the node's number; none: the table is full.
    pub fn note(&mut self, e: &ListEntry) -> Option<NodeEntry> {
        let number = match self.numbers.get(&e.address) {
            Some(n) => *n,
            None if self.known.len() >= self.most => return None,
            None => {
                let n = NodeId(self.known.len() as u32);
                self.numbers.insert(e.address.clone(), n);
                n
            }
        };
        let i = number.0 as usize;
        // A late list must not take back a start that the node itself told of.
        let up_since = self.known.get(i).map_or(e.up_since, |k| k.entry.up_since.max(e.up_since));
        let entry = NodeEntry { node: number, state: e.state, zone: e.zone, shard: e.shard, up_since };
        match self.known.get_mut(i) {
            Some(k) => k.entry = entry,
            None => self.known.push(Known { address: e.address.clone(), entry }),
        }
        Some(entry)
    }

    /// A node's own word on when it started; the changed entry, if that is news.
    pub fn started(&mut self, node: NodeId, up_since: Instant, news: f64) -> Option<NodeEntry> {
        let k = self.known.get_mut(node.0 as usize)?;
        if k.entry.up_since.is_some_and(|known| (up_since - known).secs() < news) {
            return None;
        }
        k.entry.up_since = Some(up_since);
        Some(k.entry)
    }

    /// What a complete list does not name is gone.
    pub fn only(&mut self, named: &[NodeEntry]) {
        let named: std::collections::HashSet<NodeId> = named.iter().map(|e| e.node).collect();
        for k in self.known.iter_mut().filter(|k| !named.contains(&k.entry.node)) {
            k.entry.state = NodeState::Gone;
        }
    }

    pub fn address(&self, node: NodeId) -> Option<&str> {
        self.known.get(node.0 as usize).map(|k| k.address.as_str())
    }

    /// As the list has it.
    pub fn entry(&self, node: NodeId) -> Option<NodeEntry> {
        self.known.get(node.0 as usize).map(|k| k.entry)
    }

    pub fn number(&self, address: &str) -> Option<NodeId> {
        self.numbers.get(address).copied()
    }

    pub fn entries(&self) -> impl Iterator<Item = (&str, &NodeEntry)> {
        self.known.iter().map(|k| (k.address.as_str(), &k.entry))
    }
}
