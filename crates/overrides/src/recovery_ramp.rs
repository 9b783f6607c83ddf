//! Recovery ramps: how nodes whose override has ended are given load again.
//!
//! What waits for such a node must not reach it all at once, and many overrides may end at the same moment. So each node begins with
//! a small share of its load, which rises in steps; and the ramps of many nodes are staggered, within a stated bound.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};

/// The fraction of its load with which a node begins.
const FIRST_SHARE: f64 = 0.1;
/// Steps until a node has its full share.
const RAMP_STEPS: u32 = 10;
/// How long all steps of one node take.
pub(crate) const RAMP_DURATION: TimeDelta = TimeDelta::from_millis(2000);
/// The pause between the beginnings of two ramps, unless that many nodes would then exceed `MAX_STAGGER`.
const STAGGER: TimeDelta = TimeDelta::from_millis(250);
/// All ramps have begun within this time.
pub(crate) const MAX_STAGGER: TimeDelta = TimeDelta::from_millis(5000);

/// The ramp of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RecoveryRamp {
    /// When it begins.
    pub starts: Instant,
}

impl RecoveryRamp {
    /// Steps that are complete, from 0 to `RAMP_STEPS`.
    fn step(&self, now: Instant) -> u32 {
        let fraction = (now - self.starts).secs() / RAMP_DURATION.secs();
        (fraction * f64::from(RAMP_STEPS)).floor().clamp(0.0, f64::from(RAMP_STEPS)) as u32
    }

    /// The node's share of its load, from 0 to 1; none: the ramp has not begun.
    pub(crate) fn share(&self, now: Instant) -> Option<f64> {
        let fraction = f64::from(self.step(now)) / f64::from(RAMP_STEPS);
        (now >= self.starts).then_some(FIRST_SHARE + (1.0 - FIRST_SHARE) * fraction)
    }

    /// When the share changes next; none: the ramp is complete.
    fn next_step_at(&self, now: Instant) -> Option<Instant> {
        if now < self.starts {
            return Some(self.starts);
        }
        let step = self.step(now);
        let until_step_secs = f64::from(step + 1) / f64::from(RAMP_STEPS) * RAMP_DURATION.secs();
        (step < RAMP_STEPS).then(|| self.starts + TimeDelta::from_secs(until_step_secs))
    }
}

/// How long the ramp at this place in the order waits for its beginning, where `last_place` is the last one; both count from 0. Every
/// ramp begins within `MAX_STAGGER`, however many nodes there are, so that operators know when all are back.
fn stagger(place: usize, last_place: usize) -> TimeDelta {
    let pause_secs = STAGGER.secs().min(MAX_STAGGER.secs() / last_place.max(1) as f64);
    TimeDelta::from_secs((pause_secs * place as f64).min(MAX_STAGGER.secs()))
}

/// The ramps of all nodes.
#[derive(Debug, Default)]
pub(crate) struct RecoveryRamps {
    nodes: BTreeMap<SocketAddr, RecoveryRamp>,
}

impl RecoveryRamps {
    /// The ramp of a node, if it has one.
    pub(crate) fn get(&self, node: &SocketAddr) -> Option<RecoveryRamp> {
        self.nodes.get(node).copied()
    }

    /// These nodes are no longer out of service. Their ramps are staggered in order of address, behind those that have not begun.
    pub(crate) fn begin(&mut self, now: Instant, nodes: &[SocketAddr]) {
        let waiting = self.nodes.values().filter(|ramp| ramp.starts > now).count();
        let last_place = waiting + nodes.len().saturating_sub(1);
        let mut nodes = nodes.to_vec();
        nodes.sort();
        for (place, node) in (waiting..).zip(nodes) {
            self.nodes.insert(node, RecoveryRamp { starts: now + stagger(place, last_place) });
        }
    }

    /// The node is out of service again.
    pub(crate) fn remove(&mut self, node: &SocketAddr) {
        self.nodes.remove(node);
    }

    /// Removes the ramps that are complete; gives the nodes that were on a ramp before.
    pub(crate) fn handle_timeout(&mut self, now: Instant) -> Vec<SocketAddr> {
        let on_ramp = self.nodes.keys().copied().collect();
        self.nodes.retain(|_, ramp| ramp.next_step_at(now).is_some());
        on_ramp
    }

    /// When a share changes next.
    pub(crate) fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        self.nodes.values().filter_map(|ramp| ramp.next_step_at(now)).min()
    }

    /// Nodes on a ramp.
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }
}

#[cfg(test)]
mod tests;
