//! Which of the overrides that name a node applies. The table, from strongest to weakest:
//!
//! | rank | beats what is below it |
//! | --- | --- |
//! | the list | a node that drains or is gone gets nothing new, whatever an override says |
//! | a node's own address | narrower beats wider |
//! | a prefix | the longer one first |
//! | a shard | |
//! | a zone | |
//! | the later of two of one rank | |
//! | health | a pinned node is not ejected for its bad answers; slow start and all rules still hold |
//!
//! Service (out of service, pinned) and weight are judged apart: a weight that is set on a zone still applies to a node that is
//! pinned by its address.

use crate::record::{Kind, Override, OverrideId};
use crate::target::Target;
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
    pub fn of(target: &Target) -> Rank {
        match target {
            Target::Node(_) => Rank::Node,
            Target::Net(net) => Rank::Net(net.prefix_len()),
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
    /// Its shard.
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

/// The effect of the overrides on a node.
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
pub struct ApplyingOverrides {
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
pub(crate) struct TargetIndex {
    nodes: HashMap<SocketAddr, BTreeSet<OverrideId>>,
    /// By prefix length, the longest last.
    nets: BTreeMap<u8, HashMap<IpNet, BTreeSet<OverrideId>>>,
    shards: HashMap<u32, BTreeSet<OverrideId>>,
    zones: HashMap<u32, BTreeSet<OverrideId>>,
}

impl TargetIndex {
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

    /// The overrides that name the node, the strongest first: by rank, and within a rank the later before the earlier.
    pub(crate) fn naming<'a>(&'a self, node: &NodeFacts) -> impl Iterator<Item = OverrideId> + 'a {
        let ip = node.address.ip();
        let by_net = self.nets.iter().rev().filter_map(move |(length, nets_of_length)| {
            // A prefix that is longer than an address of this family has no such address in it.
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

/// What the overrides do to a node, and which of them apply: of those on service the strongest, of those on weight the strongest.
/// `all` has every override of the index.
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

/// The overrides that name the node and do not apply.
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
