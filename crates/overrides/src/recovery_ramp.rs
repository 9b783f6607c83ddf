//! Recovery ramps of nodes that are no longer out of service. What waits for such a node must not reach it as a thundering herd,
//! and many that end at one moment must not come back at once. Ramps are staggered, within a stated bound; each begins with a
//! small share, which rises in steps.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};

/// Share with which a ramp begins.
const FIRST_SHARE: f64 = 0.1;
/// Steps until a node has its full share.
const RAMP_STEPS: u32 = 10;
/// Seconds that all steps take.
pub const RAMP_S: f64 = 2.0;
/// Seconds between the beginnings of two ramps, where there is time for it.
const MIN_STAGGER_S: f64 = 0.25;
/// Seconds within which all ramps have begun.
pub const MAX_STAGGER_S: f64 = 5.0;

/// The ramp of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryRamp {
    /// When it begins.
    pub starts: Instant,
}

impl RecoveryRamp {
    fn step(&self, now: Instant) -> u32 {
        let part = (now - self.starts).secs() / RAMP_S;
        (part * f64::from(RAMP_STEPS)).floor().clamp(0.0, f64::from(RAMP_STEPS)) as u32
    }

    /// Its share at this time; none: it has not begun.
    pub fn share(&self, now: Instant) -> Option<f64> {
        let step = f64::from(self.step(now)) / f64::from(RAMP_STEPS);
        (now >= self.starts).then_some(FIRST_SHARE + (1.0 - FIRST_SHARE) * step)
    }

    /// When its share changes next; none: it has all.
    fn changes(&self, now: Instant) -> Option<Instant> {
        if now < self.starts {
            return Some(self.starts);
        }
        let step = self.step(now);
        let at = f64::from(step + 1) / f64::from(RAMP_STEPS) * RAMP_S;
        (step < RAMP_STEPS).then(|| self.starts + TimeDelta::from_secs(at))
    }
}

/// The ramps of all nodes.
#[derive(Debug, Default)]
pub struct RecoveryRamps {
    nodes: BTreeMap<SocketAddr, RecoveryRamp>,
}

impl RecoveryRamps {
    /// The ramp of a node, if it has one.
    pub fn get(&self, node: &SocketAddr) -> Option<RecoveryRamp> {
        self.nodes.get(node).copied()
    }

    /// These nodes are no longer out of service. Their ramps are staggered in order of address, behind those that wait.
    pub fn begin(&mut self, now: Instant, nodes: &[SocketAddr]) {
        let waiting = self.nodes.values().filter(|r| r.starts > now).count();
        let most = waiting + nodes.len().saturating_sub(1);
        let gap = MIN_STAGGER_S.min(MAX_STAGGER_S / (most.max(1)) as f64);
        let mut nodes = nodes.to_vec();
        nodes.sort();
        for (i, node) in nodes.into_iter().enumerate() {
            let wait = (gap * (waiting + i) as f64).min(MAX_STAGGER_S);
            self.nodes.insert(node, RecoveryRamp { starts: now + TimeDelta::from_secs(wait) });
        }
    }

    /// Out of service again, or of no interest any more.
    pub fn drop(&mut self, node: &SocketAddr) {
        self.nodes.remove(node);
    }

    /// Forgets the ramps that are complete; gives the nodes that were on a ramp before.
    pub fn handle_timeout(&mut self, now: Instant) -> Vec<SocketAddr> {
        let on_ramp = self.nodes.keys().copied().collect();
        self.nodes.retain(|_, r| r.changes(now).is_some());
        on_ramp
    }

    /// When a share changes next.
    pub fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        self.nodes.values().filter_map(|r| r.changes(now)).min()
    }

    /// Nodes on a ramp.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }
}

#[cfg(test)]
mod tests;
