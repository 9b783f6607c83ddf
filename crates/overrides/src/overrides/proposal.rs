//! Checks a requested override before it is persisted: its values, conflicts with other changes, and the nodes that must stay in
//! service.

use super::Overrides;
use crate::precedence::{effect_on, NodeFacts, OverrideEffect, Service};
use crate::record::{Kind, Override, OverrideId, OverrideRequest};
use crate::refusal::{Preview, Refusal};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tackmast::interface::NodeState;

/// The maximum duration of an override, in seconds: nobody would remember why an older one was set.
const MAX_DURATION_S: f64 = 366.0 * 86_400.0;
/// The minimum duration of an override, in seconds.
const MIN_DURATION_S: f64 = 0.1;
/// The maximum length of the reason and of the operator's name, in characters.
const MAX_TEXT_CHARS: usize = 200;

/// The effect of the overrides on each node.
type Effects = BTreeMap<SocketAddr, OverrideEffect>;

impl Overrides {
    /// Checks a requested override and returns the record that would be stored and a preview of its effects. It does not become
    /// active. With `force` it may take the last node of a shard, or too much of a zone, out of service. With `if_version` it is
    /// refused if the overrides have another version now. `wall_us` is the Unix time in microseconds.
    pub fn propose(
        &mut self,
        wall_us: u64,
        request: &OverrideRequest,
        force: bool,
        if_version: Option<u64>,
    ) -> Result<(Override, Preview), Refusal> {
        check_values(request)?;
        if let Some(asked) = if_version.filter(|version| *version != self.version) {
            let since = self.recent_changes.iter().filter(|(version, _)| *version > asked);
            let changes = since.map(|(_, change)| change.clone()).collect();
            return Err(Refusal::Moved { asked, now: self.version, changes });
        }
        if self.all.len() >= self.settings.max_overrides {
            return Err(Refusal::TooMany { most: self.settings.max_overrides });
        }
        let new = Override {
            id: OverrideId(self.next),
            target: request.target,
            kind: request.kind,
            reason: request.reason.clone(),
            who: request.who.clone(),
            set_us: wall_us,
            ends_us: wall_us + (request.seconds * 1e6) as u64,
            origin: request.origin,
        };
        let before = self.effects();
        let after = self.effects_with(&new);
        let forced_past = self.protection().check(&before, &after);
        if let Some(refusal) = forced_past.clone().filter(|_| !force) {
            return Err(refusal);
        }
        let is_listed =
            |address: &SocketAddr| self.nodes.get(address).is_some_and(|node| node.listed != NodeState::Gone);
        let listed = before.iter().filter(|(address, _)| is_listed(address));
        let changes = listed.map(|(address, effect)| (*address, *effect, after[address]));
        let changes = changes.filter(|(_, before, after)| before != after).collect();
        let named = self.named(&new.target).iter().filter(|address| is_listed(address)).count();
        Ok((new, Preview { version: self.version, changes, named, forced_past }))
    }

    /// Returns the effect of the overrides on each node.
    fn effects(&self) -> Effects {
        self.nodes.values().map(|node| (node.address, effect_on(&self.index, &self.all, node).0)).collect()
    }

    /// Returns the effect on each node if `new` were active too.
    fn effects_with(&mut self, new: &Override) -> Effects {
        self.index.add(new);
        self.all.insert(new.id, new.clone());
        let effects = self.effects();
        self.all.remove(&new.id);
        self.index.remove(new);
        effects
    }

    fn protection(&self) -> Protection<'_> {
        let ready = self.nodes.values().filter(|node| node.listed == NodeState::Ready).collect();
        Protection { ready, max_zone_fraction: self.settings.max_zone_fraction }
    }
}

/// The limits that keep an operator from taking too many nodes out of service by accident.
struct Protection<'a> {
    /// The nodes that are ready in the endpoint list.
    ready: Vec<&'a NodeFacts>,
    /// The fraction of a zone's ready nodes that may be out of service, from 0 to 1.
    max_zone_fraction: f64,
}

impl Protection<'_> {
    /// Returns why a change of the effects on nodes is refused without force, or `None` if it is not.
    fn check(&self, before: &Effects, after: &Effects) -> Option<Refusal> {
        self.check_shards(before, after).or_else(|| self.check_zones(before, after))
    }

    /// Refuses a change that takes the last node of a shard out of service: the shard could not be read or written any more. A shard
    /// that had no node in service before does not block other changes.
    fn check_shards(&self, before: &Effects, after: &Effects) -> Option<Refusal> {
        let shards: BTreeSet<u32> = self.ready.iter().map(|node| node.shard).collect();
        for shard in shards {
            let of_shard = || self.ready.iter().filter(|node| node.shard == shard);
            let served_before = of_shard().any(|node| is_in_service(before, node));
            let serves_after = of_shard().any(|node| is_in_service(after, node));
            if served_before && !serves_after {
                let lost = of_shard().filter(|node| is_in_service(before, node));
                let nodes = lost.map(|node| node.address.to_string()).collect();
                return Some(Refusal::LastOfShard { shard, nodes });
            }
        }
        None
    }

    /// Refuses a change that takes more than the allowed fraction of a zone out of service: the rest of the zone has to bear the load
    /// of these nodes. A change that takes no further nodes of the zone out is allowed.
    fn check_zones(&self, before: &Effects, after: &Effects) -> Option<Refusal> {
        let zones: BTreeSet<u32> = self.ready.iter().map(|node| node.zone).collect();
        for zone in zones {
            let of_zone = || self.ready.iter().filter(|node| node.zone == zone);
            let out_before = of_zone().filter(|node| !is_in_service(before, node)).count();
            let out = of_zone().filter(|node| !is_in_service(after, node)).count();
            let of = of_zone().count();
            if out > out_before && out as f64 > self.max_zone_fraction * of as f64 {
                return Some(Refusal::TooMuchOfZone { zone, out, of, max_part: self.max_zone_fraction });
            }
        }
        None
    }
}

fn is_in_service(effects: &Effects, node: &NodeFacts) -> bool {
    effects[&node.address].service != Service::Out
}

/// Checks the values of a requested override, independently of other overrides.
fn check_values(request: &OverrideRequest) -> Result<(), Refusal> {
    let refuse = |what: &str, found: String, expected: &str| {
        Err(Refusal::Value { what: what.into(), found, expected: expected.into() })
    };
    if let Kind::Weight(weight) = request.kind {
        if !(weight > 0.0 && weight <= 1.0) {
            return refuse(
                "weight",
                weight.to_string(),
                "above 0 and up to 1; for 0, take it out of service",
            );
        }
    }
    if !(MIN_DURATION_S..=MAX_DURATION_S).contains(&request.seconds) {
        let expected = "from 0.1 up to 366 days: every override ends";
        return refuse("seconds", request.seconds.to_string(), expected);
    }
    for (what, text) in [("who", &request.who), ("reason", &request.reason)] {
        let is_too_long = text.chars().count() > MAX_TEXT_CHARS;
        if text.trim().is_empty() || is_too_long || text.contains(char::is_control) {
            return refuse(what, format!("{text:?}"), "1 to 200 printable characters");
        }
    }
    Ok(())
}
