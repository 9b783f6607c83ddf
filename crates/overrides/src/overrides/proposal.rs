//! Judging an order before it is persisted: its values, conflicts with other changes, and what must stay in service.

use super::Overrides;
use crate::order::{Kind, Order, Override, OverrideId};
use crate::precedence::{effect_on, NodeFacts, OverrideEffect, Service};
use crate::refusal::{Preview, Refusal};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tackmast::interface::NodeState;

/// Longest duration in seconds: an override must not outlive the memory of why it was set.
const MAX_DURATION_S: f64 = 366.0 * 86_400.0;
/// Shortest duration in seconds.
const MIN_DURATION_S: f64 = 0.1;
/// Characters of a reason or a name.
const MAX_TEXT_CHARS: usize = 200;

impl Overrides {
    /// Judges an order: the override that it would be, and what it would do. Nothing is changed.
    pub fn propose(
        &mut self,
        wall_us: u64,
        order: &Order,
        force: bool,
        if_version: Option<u64>,
    ) -> Result<(Override, Preview), Refusal> {
        check_values(order)?;
        if let Some(asked) = if_version.filter(|v| *v != self.version) {
            let since = self.recent_changes.iter().filter(|(v, _)| *v > asked).map(|(_, what)| what.clone());
            return Err(Refusal::Moved { asked, now: self.version, changes: since.collect() });
        }
        if self.all.len() >= self.settings.max_overrides {
            return Err(Refusal::TooMany { most: self.settings.max_overrides });
        }
        let new = Override {
            id: OverrideId(self.next),
            target: order.target,
            kind: order.kind,
            reason: order.reason.clone(),
            who: order.who.clone(),
            set_us: wall_us,
            ends_us: wall_us + (order.seconds * 1e6) as u64,
            origin: order.origin,
        };
        let before = self.effects();
        let after = self.effects_with(&new);
        let forced_past = self.protection(&before, &after);
        if let Some(refusal) = forced_past.clone().filter(|_| !force) {
            return Err(refusal);
        }
        let listed = |a: &SocketAddr| self.nodes.get(a).is_some_and(|n| n.listed != NodeState::Gone);
        let changes = before.iter().filter(|(a, b)| listed(a) && after[a] != **b);
        let changes = changes.map(|(a, b)| (*a, *b, after[a])).collect();
        let named = self.named(&new.target).iter().filter(|a| listed(a)).count();
        Ok((new, Preview { version: self.version, changes, named, forced_past }))
    }

    /// What holds for each node.
    fn effects(&self) -> BTreeMap<SocketAddr, OverrideEffect> {
        self.nodes.values().map(|n| (n.address, effect_on(&self.index, &self.all, n).0)).collect()
    }

    /// What would hold for each node with one more override.
    fn effects_with(&mut self, new: &Override) -> BTreeMap<SocketAddr, OverrideEffect> {
        self.index.add(new);
        self.all.insert(new.id, new.clone());
        let effects = self.effects();
        self.all.remove(&new.id);
        self.index.remove(new);
        effects
    }

    /// What protects nodes from being taken out by accident.
    fn protection(
        &self,
        before: &BTreeMap<SocketAddr, OverrideEffect>,
        after: &BTreeMap<SocketAddr, OverrideEffect>,
    ) -> Option<Refusal> {
        let ready: Vec<&NodeFacts> = self.nodes.values().filter(|n| n.listed == NodeState::Ready).collect();
        let serves =
            |st: &BTreeMap<SocketAddr, OverrideEffect>, n: &NodeFacts| st[&n.address].service != Service::Out;
        let shards: BTreeSet<u32> = ready.iter().map(|n| n.shard).collect();
        for shard in shards {
            let mut of = ready.iter().filter(|n| n.shard == shard);
            if of.clone().any(|n| serves(before, n)) && !of.any(|n| serves(after, n)) {
                let nodes = ready.iter().filter(|n| n.shard == shard && serves(before, n));
                let nodes = nodes.map(|n| n.address.to_string()).collect();
                return Some(Refusal::LastOfShard { shard, nodes });
            }
        }
        let zones: BTreeSet<u32> = ready.iter().map(|n| n.zone).collect();
        for zone in zones {
            let of: Vec<_> = ready.iter().filter(|n| n.zone == zone).collect();
            let out = of.iter().filter(|n| !serves(after, n)).count();
            let was = of.iter().filter(|n| !serves(before, n)).count();
            if out > was && out as f64 > self.settings.max_zone_fraction * of.len() as f64 {
                let (of, max_part) = (of.len(), self.settings.max_zone_fraction);
                return Some(Refusal::TooMuchOfZone { zone, out, of, max_part });
            }
        }
        None
    }
}

/// Checks the values of an order by themselves.
fn check_values(order: &Order) -> Result<(), Refusal> {
    let refuse = |what: &str, found: String, expected: &str| {
        Err(Refusal::Value { what: what.into(), found, expected: expected.into() })
    };
    if let Kind::Weight(w) = order.kind {
        if !(w > 0.0 && w <= 1.0) {
            return refuse("weight", w.to_string(), "above 0 and up to 1; for 0, take it out of service");
        }
    }
    if !(MIN_DURATION_S..=MAX_DURATION_S).contains(&order.seconds) {
        let expected = "from 0.1 up to 366 days: every override ends";
        return refuse("seconds", order.seconds.to_string(), expected);
    }
    for (what, text) in [("who", &order.who), ("reason", &order.reason)] {
        let is_too_long = text.chars().count() > MAX_TEXT_CHARS;
        if text.trim().is_empty() || is_too_long || text.contains(char::is_control) {
            return refuse(what, format!("{text:?}"), "1 to 200 printable characters");
        }
    }
    Ok(())
}
