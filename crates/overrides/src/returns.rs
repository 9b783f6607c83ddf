//! How nodes come back when they are no longer out of service. A node that was away for long is like one just back:
//! what waits for it must not reach it as one herd, and many that end at one moment must not come back as one. Each
//! waits for its turn, within a stated bound, and then takes a share that starts low and rises in steps.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};

/// Share with which a node begins, steps until it has all, and the time that all steps take.
const FIRST: f64 = 0.1;
const STEPS: u32 = 10;
pub const RISE_S: f64 = 2.0;
/// Between the turns of two nodes, and for all of them together.
const GAP_S: f64 = 0.25;
pub const SPREAD_S: f64 = 5.0;

/// One node on its way back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Return {
    pub starts: Instant,
}

impl Return {
    fn step(&self, now: Instant) -> u32 {
        let part = (now - self.starts).secs() / RISE_S;
        (part * f64::from(STEPS)).floor().clamp(0.0, f64::from(STEPS)) as u32
    }

    /// Its share at this time; none: its turn has not come.
    pub fn share(&self, now: Instant) -> Option<f64> {
        let step = f64::from(self.step(now)) / f64::from(STEPS);
        (now >= self.starts).then_some(FIRST + (1.0 - FIRST) * step)
    }

    /// When its share changes next; none: it has all.
    fn changes(&self, now: Instant) -> Option<Instant> {
        if now < self.starts {
            return Some(self.starts);
        }
        let step = self.step(now);
        let at = f64::from(step + 1) / f64::from(STEPS) * RISE_S;
        (step < STEPS).then(|| self.starts + TimeDelta::from_secs(at))
    }
}

#[derive(Debug, Default)]
pub struct Returns {
    nodes: BTreeMap<SocketAddr, Return>,
}

impl Returns {
    pub fn get(&self, node: &SocketAddr) -> Option<Return> {
        self.nodes.get(node).copied()
    }

    /// These nodes are no longer out of service. They take turns, in order of address, behind those that wait.
    pub fn begin(&mut self, now: Instant, nodes: &[SocketAddr]) {
        let waiting = self.nodes.values().filter(|r| r.starts > now).count();
        let most = waiting + nodes.len().saturating_sub(1);
        let gap = GAP_S.min(SPREAD_S / (most.max(1)) as f64);
        let mut nodes = nodes.to_vec();
        nodes.sort();
        for (i, node) in nodes.into_iter().enumerate() {
            let wait = (gap * (waiting + i) as f64).min(SPREAD_S);
            self.nodes.insert(node, Return { starts: now + TimeDelta::from_secs(wait) });
        }
    }

    /// Out of service again, or of no interest any more.
    pub fn drop(&mut self, node: &SocketAddr) {
        self.nodes.remove(node);
    }

    /// Forgets those that have all; gives the nodes that were on their way when asked.
    pub fn tick(&mut self, now: Instant) -> Vec<SocketAddr> {
        let on_their_way = self.nodes.keys().copied().collect();
        self.nodes.retain(|_, r| r.changes(now).is_some());
        on_their_way
    }

    pub fn next(&self, now: Instant) -> Option<Instant> {
        self.nodes.values().filter_map(|r| r.changes(now)).min()
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn many_come_back_in_turn_and_each_by_steps() {
        let now = Instant::from_secs(100.0);
        for (name, count, before, last) in
            [("one", 1, 0, 0.0), ("few", 5, 0, 1.0), ("many", 60, 0, 5.0), ("behind others", 4, 4, 1.5)]
        {
            let address = |i: u32| SocketAddr::from(([10, 0, 0, i as u8], 9000));
            let mut r = Returns::default();
            r.begin(now, &(100..100 + before).map(address).collect::<Vec<_>>());
            r.begin(now, &(0..count).map(address).collect::<Vec<_>>());
            let starts: Vec<f64> =
                (0..count).map(|i| (r.get(&address(i)).unwrap().starts - now).secs()).collect();
            let latest = starts.iter().copied().fold(0.0, f64::max);
            assert!((latest - last).abs() < 1e-3, "{name}: {starts:?}");
            // Shares only rise, from the first to all, and the last is forgotten in the stated time.
            let mut at = now;
            let mut shares = vec![0.0; count as usize];
            while let Some(t) = r.next(at) {
                assert!(t > at, "{name}");
                at = t;
                for (i, old) in shares.iter_mut().enumerate() {
                    let new = r.get(&address(i as u32)).map_or(1.0, |r| r.share(at).unwrap_or(0.0));
                    assert!(new >= *old, "{name}");
                    *old = new;
                }
                r.tick(at);
            }
            assert!(shares.iter().all(|s| *s == 1.0) && r.len() == 0, "{name}");
            assert!((at - now).secs() <= SPREAD_S + RISE_S + 1e-3, "{name}");
        }
    }
}
