//! Which of the overrides that name a node applies. The table, from strongest to weakest:
//!
//! | rank | beats what is below it |
//! | --- | --- |
//! | the list | a node that drains or is gone gets nothing new, whatever is ordered |
//! | a node's own address | narrower beats wider |
//! | a prefix | the longer one first |
//! | a shard | |
//! | a zone | |
//! | the later of two of one rank | |
//! | health | a pinned node is not held back for its bad answers; the cold guard and all rules still hold |
//!
//! Service (out of service, pinned) and weight are judged apart: a weight set on a zone still holds for a node that
//! is pinned by its address.

use crate::order::{Kind, Override, OverrideId, Target};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use tackmast::interface::NodeState;

/// How narrow a target is; the greater is the stronger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// A zone.
    Zone,
    /// A shard.
    Shard,
    /// A prefix, by its length.
    Net(u8),
    /// One address.
    Node,
}

impl Rank {
    /// The rank of a target.
    pub fn of(t: &Target) -> Rank {
        match t {
            Target::Node(_) => Rank::Node,
            Target::Net(n) => Rank::Net(n.prefix_len()),
            Target::Shard(_) => Rank::Shard,
            Target::Zone(_) => Rank::Zone,
        }
    }
}

/// What the endpoint list says of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeFacts {
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u32,
    /// The shard that it holds.
    pub shard: u32,
    /// As the list has it, before any override.
    pub listed: NodeState,
}

/// Whether a node is in service, by overrides alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// As the list and its health say.
    Listed,
    /// Out of service.
    Out,
    /// In service whatever its health.
    Pinned,
}

/// What holds for a node by the overrides alone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OverrideEffect {
    /// Whether it is in service.
    pub service: Service,
    /// Fraction of what it would be given otherwise.
    pub weight: f64,
}

impl OverrideEffect {
    /// No override applies.
    pub const NONE: OverrideEffect = OverrideEffect { service: Service::Listed, weight: 1.0 };
}

/// The overrides that make an effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applies {
    /// The one that decides on service.
    pub service: Option<OverrideId>,
    /// The one that decides on the weight.
    pub weight: Option<OverrideId>,
}

/// An override that names a node and does not apply, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Superseded {
    /// The override.
    pub id: OverrideId,
    /// The one that applies instead.
    pub by: OverrideId,
    /// Why, for people.
    pub why: String,
}

/// Overrides by what they name, so that a node's are found without a walk over all.
#[derive(Debug, Default)]
pub struct TargetIndex {
    nodes: HashMap<SocketAddr, BTreeSet<OverrideId>>,
    /// By prefix length, the longest last.
    nets: BTreeMap<u8, HashMap<IpNet, BTreeSet<OverrideId>>>,
    shards: HashMap<u32, BTreeSet<OverrideId>>,
    zones: HashMap<u32, BTreeSet<OverrideId>>,
}

impl TargetIndex {
    fn ids_of(&mut self, t: &Target) -> &mut BTreeSet<OverrideId> {
        match t {
            Target::Node(a) => self.nodes.entry(*a).or_default(),
            Target::Net(n) => self.nets.entry(n.prefix_len()).or_default().entry(*n).or_default(),
            Target::Shard(s) => self.shards.entry(*s).or_default(),
            Target::Zone(z) => self.zones.entry(*z).or_default(),
        }
    }

    /// Adds an override.
    pub fn add(&mut self, o: &Override) {
        self.ids_of(&o.target).insert(o.id);
    }

    /// Removes an override.
    pub fn remove(&mut self, o: &Override) {
        let ids = self.ids_of(&o.target);
        ids.remove(&o.id);
        if !ids.is_empty() {
            return;
        }
        match &o.target {
            Target::Node(a) => _ = self.nodes.remove(a),
            Target::Net(n) => {
                if let Some(same) = self.nets.get_mut(&n.prefix_len()) {
                    same.remove(n);
                    if same.is_empty() {
                        self.nets.remove(&n.prefix_len());
                    }
                }
            }
            Target::Shard(s) => _ = self.shards.remove(s),
            Target::Zone(z) => _ = self.zones.remove(z),
        }
    }

    /// All that name the node, the strongest first.
    pub fn of<'a>(&'a self, n: &NodeFacts) -> impl Iterator<Item = OverrideId> + 'a {
        let ip = n.address.ip();
        let nets = self.nets.iter().rev().filter_map(move |(length, same)| {
            // A prefix longer than the address's family allows can't hold it.
            let net = IpNet::new(ip, *length).ok()?.trunc();
            same.get(&net)
        });
        let node = self.nodes.get(&n.address).into_iter();
        let wide = self.shards.get(&n.shard).into_iter().chain(self.zones.get(&n.zone));
        node.chain(nets).chain(wide).flat_map(|ids| ids.iter().rev().copied())
    }
}

/// What holds for a node; `all` knows every id of the index.
pub fn effect_on(
    index: &TargetIndex,
    all: &BTreeMap<OverrideId, Override>,
    n: &NodeFacts,
) -> (OverrideEffect, Applies) {
    let (mut effect, mut applies) = (OverrideEffect::NONE, Applies::default());
    for id in index.of(n) {
        match all.get(&id).map(|o| o.kind) {
            Some(Kind::Weight(w)) if applies.weight.is_none() => {
                (effect.weight, applies.weight) = (w, Some(id));
            }
            Some(Kind::OutOfService) if applies.service.is_none() => {
                (effect.service, applies.service) = (Service::Out, Some(id));
            }
            Some(Kind::Pinned) if applies.service.is_none() => {
                (effect.service, applies.service) = (Service::Pinned, Some(id));
            }
            _ => {}
        }
        if applies.weight.is_some() && applies.service.is_some() {
            break;
        }
    }
    (effect, applies)
}

/// The overrides that name the node and do not apply.
pub fn superseded(
    index: &TargetIndex,
    all: &BTreeMap<OverrideId, Override>,
    n: &NodeFacts,
) -> Vec<Superseded> {
    let (_, applies) = effect_on(index, all, n);
    let loses = |id: OverrideId| {
        let o = all.get(&id)?;
        let by = if matches!(o.kind, Kind::Weight(_)) { applies.weight } else { applies.service };
        let winner = all.get(&by.filter(|by| *by != id)?)?;
        let narrower = Rank::of(&winner.target) > Rank::of(&o.target);
        let why = if narrower { format!("{} is narrower", winner.target) } else { "set later".to_owned() };
        Some(Superseded { id, by: winner.id, why })
    };
    index.of(n).filter_map(loses).collect()
}

#[cfg(test)]
mod tests;
