//! Determines which of the overrides that name a node apply. The order of precedence, from strongest to weakest:
//!
//! | rank | rule |
//! | --- | --- |
//! | the endpoint list | a node that drains or is gone gets no new requests, whatever an override says |
//! | a node's own address | a narrower target takes precedence over a wider one |
//! | a prefix | a longer prefix takes precedence |
//! | a shard | |
//! | a zone | |
//! | the later of two of the same rank | |
//! | health | a pinned node is not ejected for its bad answers; slow start and all rules still apply |
//!
//! Service (out of service, pinned) and weight are determined separately: a weight that is set on a zone still applies to a node
//! that is pinned by its address.

use crate::record::{Kind, Override, OverrideId};
use crate::target::Target;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use tackmast::interface::NodeState;

/// The rank of a target by its narrowness. An override of a greater rank takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// A zone.
    Zone,
    /// A shard.
    Shard,
    /// A prefix of this length in bits.
    Net(u8),
    /// One address.
    Node,
}

impl Rank {
    /// Returns the rank of a target.
    pub fn of(target: &Target) -> Rank {
        match target {
            Target::Node(_) => Rank::Node,
            Target::Net(net) => Rank::Net(net.prefix_len()),
            Target::Shard(_) => Rank::Shard,
            Target::Zone(_) => Rank::Zone,
        }
    }
}

/// A node's entry in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeFacts {
    /// The address of the node.
    pub address: SocketAddr,
    /// The zone of the node.
    pub zone: u32,
    /// The shard of the node.
    pub shard: u32,
    /// The state in the list, before any override.
    pub listed: NodeState,
}

/// Whether a node is in service, as far as overrides determine it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// No override determines it: the endpoint list and the node's health do.
    Listed,
    /// The node is out of service.
    Out,
    /// The node stays in service even if it is unhealthy.
    Pinned,
}

/// The effect of the overrides on a node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OverrideEffect {
    /// Whether the node is in service.
    pub service: Service,
    /// The fraction of its usual load that the node is given, above 0 and up to 1.
    pub weight: f64,
}

impl OverrideEffect {
    /// The effect if no override applies.
    pub const NONE: OverrideEffect = OverrideEffect { service: Service::Listed, weight: 1.0 };
}

/// The overrides that apply to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApplyingOverrides {
    /// The override that determines whether the node is in service; none if no override does.
    pub service: Option<OverrideId>,
    /// The override that determines the weight; none if no override does.
    pub weight: Option<OverrideId>,
}

/// An override that names a node and does not apply, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Superseded {
    /// The number of the override.
    pub id: OverrideId,
    /// The number of the override that applies instead.
    pub by: OverrideId,
    /// The reason, for people.
    pub why: String,
}

/// An index of overrides by target, to find the overrides of a node without a search through all of them.
#[derive(Debug, Default)]
pub(crate) struct TargetIndex {
    nodes: HashMap<SocketAddr, BTreeSet<OverrideId>>,
    /// By prefix length, shortest first.
    nets: BTreeMap<u8, HashMap<IpNet, BTreeSet<OverrideId>>>,
    shards: HashMap<u32, BTreeSet<OverrideId>>,
    zones: HashMap<u32, BTreeSet<OverrideId>>,
}

impl TargetIndex {
    /// Returns the set of overrides with this target.
    fn ids_of(&mut self, target: &Target) -> &mut BTreeSet<OverrideId> {
        match target {
            Target::Node(address) => self.nodes.entry(*address).or_default(),
            Target::Net(net) => self.nets.entry(net.prefix_len()).or_default().entry(*net).or_default(),
            Target::Shard(shard) => self.shards.entry(*shard).or_default(),
            Target::Zone(zone) => self.zones.entry(*zone).or_default(),
        }
    }

    /// Adds an override.
    pub(crate) fn add(&mut self, record: &Override) {
        self.ids_of(&record.target).insert(record.id);
    }

    /// Removes an override.
    pub(crate) fn remove(&mut self, record: &Override) {
        let ids = self.ids_of(&record.target);
        ids.remove(&record.id);
        if !ids.is_empty() {
            return;
        }
        match &record.target {
            Target::Node(address) => _ = self.nodes.remove(address),
            Target::Net(net) => {
                if let Some(nets_of_length) = self.nets.get_mut(&net.prefix_len()) {
                    nets_of_length.remove(net);
                    if nets_of_length.is_empty() {
                        self.nets.remove(&net.prefix_len());
                    }
                }
            }
            Target::Shard(shard) => _ = self.shards.remove(shard),
            Target::Zone(zone) => _ = self.zones.remove(zone),
        }
    }

    /// Returns the overrides that name the node, strongest first: by rank, and within a rank the later before the earlier.
    pub(crate) fn naming<'a>(&'a self, node: &NodeFacts) -> impl Iterator<Item = OverrideId> + 'a {
        let ip = node.address.ip();
        let by_net = self.nets.iter().rev().filter_map(move |(length, nets_of_length)| {
            // A prefix that is longer than an address of this family can't contain the node.
            let net = IpNet::new(ip, *length).ok()?.trunc();
            nets_of_length.get(&net)
        });
        let by_address = self.nodes.get(&node.address).into_iter();
        let by_shard = self.shards.get(&node.shard).into_iter();
        let by_zone = self.zones.get(&node.zone).into_iter();
        let ranked = by_address.chain(by_net).chain(by_shard).chain(by_zone);
        ranked.flat_map(|ids| ids.iter().rev().copied())
    }
}

/// Returns the effect of the overrides on a node, and the overrides that apply: the strongest one on service and the strongest one on
/// weight. `all` holds every override of the index.
pub(crate) fn effect_on(
    index: &TargetIndex,
    all: &BTreeMap<OverrideId, Override>,
    node: &NodeFacts,
) -> (OverrideEffect, ApplyingOverrides) {
    let (mut effect, mut applies) = (OverrideEffect::NONE, ApplyingOverrides::default());
    for id in index.naming(node) {
        match all.get(&id).map(|record| record.kind) {
            Some(Kind::Weight(weight)) if applies.weight.is_none() => {
                (effect.weight, applies.weight) = (weight, Some(id));
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

/// Returns the overrides that name the node and do not apply. `all` holds every override of the index.
pub(crate) fn superseded(
    index: &TargetIndex,
    all: &BTreeMap<OverrideId, Override>,
    node: &NodeFacts,
) -> Vec<Superseded> {
    let (_, applies) = effect_on(index, all, node);
    let loses = |id: OverrideId| {
        let record = all.get(&id)?;
        let applying = match record.kind {
            Kind::Weight(_) => applies.weight,
            Kind::OutOfService | Kind::Pinned => applies.service,
        };
        let winner = all.get(&applying.filter(|applying| *applying != id)?)?;
        let is_narrower = Rank::of(&winner.target) > Rank::of(&record.target);
        let why = match is_narrower {
            true => format!("{} is narrower", winner.target),
            false => "set later".to_owned(),
        };
        Some(Superseded { id, by: winner.id, why })
    };
    index.naming(node).filter_map(loses).collect()
}

#[cfg(test)]
mod tests;
