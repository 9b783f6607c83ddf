//! Paired runs: the same worlds, the same seeds, under two ways of deciding; medians of the differences with intervals.

use crate::{play_with, FaultKind, Found, InjectedFault, ReferenceModel, World};
use std::collections::BTreeMap;
use tackmast_overrides::Kind as OrderKind;

/// What is played: the host core, or a plain host; and what is changed in each drawn world.
#[derive(Clone, Debug, Default)]
pub struct Variant {
    pub reference_model: Option<ReferenceModel>,
    pub change: Change,
}

/// Time after which another host is the busiest, in seconds.
const BUSIEST_S: f64 = 2.0;

/// Values in place of those drawn.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    pub hosts: Option<u32>,
    pub nodes: Option<u32>,
    pub seconds: Option<f64>,
    /// Times the drawn rate.
    pub rate_times: Option<f64>,
    pub no_troubles: bool,
    /// Clients of each host that speak iSCSI-style, NBD.
    pub clients: Option<[u32; 2]>,
    pub wall_off_s: Option<f64>,
    pub list_late_ms: Option<f64>,
    /// Hosts know of each other, or not.
    pub members: Option<bool>,
    /// Hosts through which the limited volume comes.
    pub limited_hosts: Option<u32>,
    /// After a third of the time, so large a part of these leaves in order, or is killed, for the rest.
    pub leave: f64,
    pub kill: f64,
    /// Values of the settings' attributes, by name: `set = { share = 0, longest_wait_s = 0.2 }`.
    pub set: BTreeMap<String, f64>,
    /// All through, operators have so large a part of the nodes out of service, or at this weight.
    pub out: f64,
    pub weighted: Option<(f64, f64)>,
    /// All through, so large a part of the limited volume's commands comes through one of its hosts, which changes each
    /// two seconds.
    pub busiest: f64,
}

impl Change {
    /// The world of a seed, with these values in place of the generated ones.
    pub fn of(&self, seed: u64, hosts: u32) -> World {
        let mut world = World::generate(seed, self.hosts.unwrap_or(hosts));
        world.nodes = self.nodes.unwrap_or(world.nodes);
        world.seconds = self.seconds.unwrap_or(world.seconds);
        world.rate *= self.rate_times.unwrap_or(1.0);
        world.clients = self.clients.unwrap_or(world.clients);
        world.wall_off_s = self.wall_off_s.unwrap_or(world.wall_off_s);
        world.list_late_us = self.list_late_ms.map_or(world.list_late_us, |ms| (ms * 1e3) as u64);
        world
            .faults
            .retain(|t| !self.no_troubles && t.node < world.nodes && t.host.is_none_or(|h| h < world.hosts));
        world.members = match self.members {
            Some(true) => Some(world.members.unwrap_or(0.0)),
            Some(false) => None,
            None => world.members,
        };
        world.limited_hosts = self.limited_hosts.unwrap_or(world.limited_hosts);
        let few = world.limited_hosts.min(world.hosts);
        let all_us = (world.seconds * 1e6) as u64;
        let mut put = |at_us, for_us, kind, host| {
            world.faults.push(InjectedFault { at_us, for_us, kind, node: 0, host: Some(host) });
        };
        for (part, kind) in [(self.leave, FaultKind::HostLeaves), (self.kill, FaultKind::HostKill)] {
            for host in 0..(part * f64::from(few)) as u32 {
                put(all_us / 3, all_us, kind, host);
            }
        }
        let nodes = world.nodes;
        let mut order = |part: f64, kind| {
            for node in 0..(part * f64::from(nodes)) as u32 {
                let (at_us, for_us, kind) = (0, all_us + 1, FaultKind::Order(kind, true));
                world.faults.push(InjectedFault { at_us, for_us, kind, node, host: Some(0) });
            }
        };
        order(self.out, OrderKind::OutOfService);
        if let Some((part, weight)) = self.weighted {
            order(part, OrderKind::Weight(weight));
        }
        world.set.extend(self.set.clone());
        if self.busiest > 0.0 {
            for turn in 0..(world.seconds / BUSIEST_S).ceil() as u32 {
                let long = (BUSIEST_S * 1e6) as u64;
                let (at_us, kind) = (u64::from(turn) * long, FaultKind::Busiest(self.busiest, turn % few));
                world.faults.push(InjectedFault { at_us, for_us: long - 1, kind, node: 0, host: Some(0) });
            }
        }
        world
    }
}

/// Figures of one run, by name.
pub fn figures(found: &Found) -> BTreeMap<String, f64> {
    let run = &found.run;
    let asked = run.asked.max(1) as f64;
    let mut all = BTreeMap::new();
    let mut put = |name: &str, x: f64| _ = all.insert(name.to_owned(), x);
    put("in time", run.in_time as f64 / asked);
    put("done", run.done as f64 / asked);
    put("deferred", run.rejected as f64 / asked);
    put("abandoned", run.failed as f64 / asked);
    put("rules broken", found.report.rules.iter().filter(|rule| !rule.violations.is_empty()).count() as f64);
    for (name, c) in &run.classes {
        put(&format!("in time, {name}"), c.in_time as f64 / c.asked.max(1) as f64);
        put(&format!("p99 ms, {name}"), c.times.value_at_quantile(0.99) as f64 / 1e3);
    }
    put("work wasted", run.wasted_units / run.sent_units.max(1.0));
    put("limit used", run.limit_used);
    all
}

/// The median and the interval that holds the median of all such pairs with at least 95%: order statistics of the sign
/// test, which supposes nothing of the differences' shape. Fewer than six pairs have no such interval.
pub fn median_with_interval(mut values: Vec<f64>) -> (f64, Option<(f64, f64)>) {
    values.sort_by(f64::total_cmp);
    let count = values.len();
    if count == 0 {
        return (f64::NAN, None);
    }
    let median = (values[(count - 1) / 2] + values[count / 2]) / 2.0;
    // The largest k with P(Binomial(n, 1/2) < k) <= 2.5%.
    let (mut k, mut below, mut term) = (0, 0.0, 0.5f64.powi(count as i32));
    while k < count && below + term <= 0.025 {
        below += term;
        term *= (count - k) as f64 / (k + 1) as f64;
        k += 1;
    }
    (median, (k > 0).then(|| (values[k - 1], values[count - k])))
}

/// One metric under two variants: medians, and the median of the paired differences with its 95% interval.
pub struct MetricComparison {
    pub name: String,
    pub baseline: f64,
    pub candidate: f64,
    pub difference: f64,
    pub interval: Option<(f64, f64)>,
}

/// Plays each seed under both; on so many threads.
pub fn compare(
    baseline: &Variant,
    candidate: &Variant,
    first: u64,
    seeds: u64,
    hosts: u32,
    threads: usize,
) -> Vec<MetricComparison> {
    let next = std::sync::atomic::AtomicU64::new(first);
    let pairs = std::sync::Mutex::new(BTreeMap::new());
    std::thread::scope(|s| {
        for _ in 0..threads.clamp(1, 64) {
            s.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= first + seeds {
                    return;
                }
                let one =
                    |v: &Variant| figures(&play_with(&v.change.of(seed, hosts), None, v.reference_model));
                let pair = (one(baseline), one(candidate));
                pairs.lock().unwrap_or_else(std::sync::PoisonError::into_inner).insert(seed, pair);
            });
        }
    });
    let pairs = pairs.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut names: Vec<String> = pairs.values().flat_map(|(baseline, _)| baseline.keys().cloned()).collect();
    names.sort();
    names.dedup();
    let line = |name: String| {
        let both = pairs
            .values()
            .filter_map(|(baseline, candidate)| Some((*baseline.get(&name)?, *candidate.get(&name)?)));
        let both: Vec<(f64, f64)> = both.collect();
        let (baseline, _) = median_with_interval(both.iter().map(|p| p.0).collect());
        let (candidate, _) = median_with_interval(both.iter().map(|p| p.1).collect());
        let (difference, interval) = median_with_interval(both.iter().map(|p| p.1 - p.0).collect());
        MetricComparison { name, baseline, candidate, difference, interval }
    };
    names.into_iter().map(line).collect()
}

#[cfg(test)]
mod tests;
