//! Recovery ramps: the gradual return of load to nodes whose override has ended.
//!
//! The requests that wait for such a node must not reach it all at once, and many overrides may end at the same time. So each node
//! begins with a small share of its load, which rises in steps, and the ramps of many nodes are staggered within a fixed bound.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};

/// The share of its load with which a node begins.
const FIRST_SHARE: f64 = 0.1;
/// The number of steps until a node has its full share.
const RAMP_STEPS: u32 = 10;
/// The duration of one node's ramp.
pub(crate) const RAMP_DURATION: TimeDelta = TimeDelta::from_millis(2000);
/// The delay between the starts of two ramps. It is shorter if the last ramp would otherwise start after `MAX_STAGGER`.
const STAGGER: TimeDelta = TimeDelta::from_millis(250);
/// The time within which all ramps have started.
pub(crate) const MAX_STAGGER: TimeDelta = TimeDelta::from_millis(5000);

/// The ramp of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RecoveryRamp {
    /// The time at which it starts.
    pub starts: Instant,
}

impl RecoveryRamp {
    /// Returns the number of complete steps, from 0 to `RAMP_STEPS`.
    fn step(&self, now: Instant) -> u32 {
        let fraction = (now - self.starts).secs() / RAMP_DURATION.secs();
        (fraction * f64::from(RAMP_STEPS)).floor().clamp(0.0, f64::from(RAMP_STEPS)) as u32
    }

    /// Returns the node's share of its load, from 0 to 1, or `None` if the ramp has not started.
    pub(crate) fn share(&self, now: Instant) -> Option<f64> {
        let fraction = f64::from(self.step(now)) / f64::from(RAMP_STEPS);
        (now >= self.starts).then_some(FIRST_SHARE + (1.0 - FIRST_SHARE) * fraction)
    }

    /// Returns when the share changes next, or `None` if the ramp is complete.
    fn next_step_at(&self, now: Instant) -> Option<Instant> {
        if now < self.starts {
            return Some(self.starts);
        }
        let step = self.step(now);
        let until_step_secs = f64::from(step + 1) / f64::from(RAMP_STEPS) * RAMP_DURATION.secs();
        (step < RAMP_STEPS).then(|| self.starts + TimeDelta::from_secs(until_step_secs))
    }
}

/// Returns the delay before the start of the ramp at position `place`; `last_place` is the last position, and both count from 0.
/// Every ramp starts within `MAX_STAGGER`, however many nodes there are, so that operators know when all nodes have their load.
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
    /// Returns the ramp of a node, if it has one.
    pub(crate) fn get(&self, node: &SocketAddr) -> Option<RecoveryRamp> {
        self.nodes.get(node).copied()
    }

    /// Starts ramps for nodes that are no longer out of service. The ramps are staggered in order of address, after those that have
    /// not started yet.
    pub(crate) fn begin(&mut self, now: Instant, nodes: &[SocketAddr]) {
        let waiting = self.nodes.values().filter(|ramp| ramp.starts > now).count();
        let last_place = waiting + nodes.len().saturating_sub(1);
        let mut nodes = nodes.to_vec();
        nodes.sort();
        for (place, node) in (waiting..).zip(nodes) {
            self.nodes.insert(node, RecoveryRamp { starts: now + stagger(place, last_place) });
        }
    }

    /// Removes the ramp of a node that is out of service again.
    pub(crate) fn remove(&mut self, node: &SocketAddr) {
        self.nodes.remove(node);
    }

    /// Removes the ramps that are complete. Returns all nodes that were on a ramp before the call.
    pub(crate) fn handle_timeout(&mut self, now: Instant) -> Vec<SocketAddr> {
        let on_ramp = self.nodes.keys().copied().collect();
        self.nodes.retain(|_, ramp| ramp.next_step_at(now).is_some());
        on_ramp
    }

    /// Returns when a share changes next, or `None` if there is no ramp.
    pub(crate) fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        self.nodes.values().filter_map(|ramp| ramp.next_step_at(now)).min()
    }

    /// Returns the number of nodes on a ramp.
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }
}

#[cfg(test)]
mod tests;
