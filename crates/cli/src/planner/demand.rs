//! What a recorded workload demands of each volume, traffic class and shard, and its latency bounds on a node.

use std::collections::BTreeMap;
use tackmast_config::HostSettings;
use tackmast_host_core::{Access, Layout};
use tackmast_planner::{fit, latency_bounds, max_bucket_level, Arrival, Curve, Load, Node, Point};
use tackmast_workload::Workload;

/// Fraction of a node's capacity that rates are scaled to where no rates meet all latency objectives.
const FALLBACK_UTILIZATION: f64 = 0.9;

/// What a workload demands of one volume, traffic class and shard.
pub(super) struct Demand {
    /// Index of the volume in the settings.
    pub(super) volume: usize,
    /// Index of the traffic class in the settings.
    pub(super) traffic_class: usize,
    /// The shard.
    pub(super) shard: u32,
    /// The load at the shard, with its latency objective.
    pub(super) load: Load,
}

/// Volume, traffic class and shard of a demand.
type DemandKey = (usize, usize, u32);

/// The demands of a workload, by volume, traffic class and shard. Curves go up to `max_rate` units a second.
pub(super) fn demands(settings: &HostSettings, workload: &Workload, max_rate: f64) -> Vec<Demand> {
    let layout = Layout::new(settings);
    let mut arrivals: BTreeMap<DemandKey, Vec<Arrival>> = BTreeMap::new();
    for arrival in workload.arrivals(settings.host.hosts) {
        let flow = &workload.flows[arrival.flow];
        let Some(volume) = layout.volume_by_name(&flow.volume) else { continue };
        let traffic_class = layout.traffic_class(volume, access(arrival.write), arrival.blocks);
        let at_s = arrival.at_us as f64 / 1e6;
        for part in layout.parts(volume, traffic_class, arrival.block, arrival.blocks) {
            let key = (volume, traffic_class, part.shard.0);
            arrivals.entry(key).or_default().push(Arrival { at_s, units: part.units });
        }
    }
    let demand = |(key, arrivals): (DemandKey, Vec<Arrival>)| {
        let (volume, traffic_class, shard) = key;
        let curve = Curve::from_arrivals(&arrivals, workload.seconds, max_rate);
        let class = &settings.traffic_classes[traffic_class];
        let load = Load {
            name: format!("{} {}", settings.volumes[volume].name, class.name),
            latency_objective_s: class.latency_objective.secs(),
            max_request_units: arrivals.iter().map(|arrival| arrival.units).fold(0.0, f64::max),
            curve,
        };
        Demand { volume, traffic_class, shard, load }
    };
    arrivals.into_iter().map(demand).collect()
}

/// By volume, how long a request may wait for its own plan's limit: the longest wait at any host. Each host has an equal share
/// of the limit and starts with its initial bucket level. Volumes without a limit are left out.
pub(super) fn limit_waits(settings: &HostSettings, workload: &Workload) -> BTreeMap<usize, f64> {
    let mut waits = BTreeMap::new();
    for ((volume, _), arrivals) in arrivals_by_host(settings, workload) {
        let host_count = f64::from(settings.volumes[volume].hosts.max(1));
        let plan = &settings.plans[settings.volumes[volume].plan as usize];
        if plan.limit <= 0.0 {
            continue;
        }
        let (rate, burst) = (plan.limit / host_count, plan.burst / host_count);
        let initial_level = (plan.burst - plan.slack / 2.0) / host_count;
        let wait = (max_bucket_level(&arrivals, rate, initial_level) - burst).max(0.0) / rate;
        let longest = waits.entry(volume).or_insert(0.0f64);
        *longest = longest.max(wait);
    }
    waits
}

/// The arrivals of each volume at each of its hosts.
fn arrivals_by_host(settings: &HostSettings, workload: &Workload) -> BTreeMap<(usize, u32), Vec<Arrival>> {
    let layout = Layout::new(settings);
    let mut arrivals: BTreeMap<(usize, u32), Vec<Arrival>> = BTreeMap::new();
    for arrival in workload.arrivals(settings.host.hosts) {
        let flow = &workload.flows[arrival.flow];
        let Some(volume) = layout.volume_by_name(&flow.volume) else { continue };
        let traffic_class = layout.traffic_class(volume, access(arrival.write), arrival.blocks);
        let parts = layout.parts(volume, traffic_class, arrival.block, arrival.blocks);
        let units: f64 = parts.iter().map(|part| part.units).sum();
        let host = arrival.host % settings.volumes[volume].hosts.max(1);
        let at_s = arrival.at_us as f64 / 1e6;
        arrivals.entry((volume, host)).or_default().push(Arrival { at_s, units });
    }
    arrivals
}

/// Demands at one shard, with a rate, a burst and a latency bound for each.
pub(super) struct ShardPlan<'a> {
    /// Whether the rates and bursts meet all latency objectives.
    pub(super) holds: bool,
    /// The demands at the shard.
    pub(super) demands: Vec<PlannedDemand<'a>>,
}

/// A demand with its rate, burst and latency bound.
pub(super) struct PlannedDemand<'a> {
    /// The demand.
    pub(super) demand: &'a Demand,
    /// Its rate and burst.
    pub(super) point: Point,
    /// The bound on its latency in seconds, with the longest wait for the limit of its plan.
    pub(super) bound_s: f64,
}

/// Plans the demands of each shard on one node.
pub(super) fn plan_shards<'a>(
    node: &Node,
    demands: &'a [Demand],
    limit_waits: &BTreeMap<usize, f64>,
) -> BTreeMap<u32, ShardPlan<'a>> {
    let mut shards: BTreeMap<u32, Vec<&Demand>> = BTreeMap::new();
    demands.iter().for_each(|demand| shards.entry(demand.shard).or_default().push(demand));
    let plan = |(shard, demands)| (shard, plan_shard(node, demands, limit_waits));
    shards.into_iter().map(plan).collect()
}

fn plan_shard<'a>(
    node: &Node,
    demands: Vec<&'a Demand>,
    limit_waits: &BTreeMap<usize, f64>,
) -> ShardPlan<'a> {
    let loads: Vec<&Load> = demands.iter().map(|demand| &demand.load).collect();
    let (holds, points) = points(node, &loads);
    let bounds = latency_bounds(node, &loads, &points);
    let planned = demands.into_iter().zip(points).zip(bounds).map(|((demand, point), bound_s)| {
        let limit_wait_s = limit_waits.get(&demand.volume).copied().unwrap_or(0.0);
        PlannedDemand { demand, point, bound_s: bound_s + limit_wait_s }
    });
    ShardPlan { holds, demands: planned.collect() }
}

/// Rates and bursts of a node's loads that meet all latency objectives or, where there are none, the smallest bursts that leave
/// the node some capacity; and whether they meet the objectives.
fn points(node: &Node, loads: &[&Load]) -> (bool, Vec<Point>) {
    if let Some(points) = fit(node, loads) {
        return (true, points);
    }
    let mean_rate = |load: &&Load| load.curve.first().map_or(0.0, |point| point.rate);
    let total: f64 = loads.iter().map(mean_rate).sum();
    let factor = (FALLBACK_UTILIZATION * node.capacity / total.max(1e-9)).max(1.0);
    let point = |load: &&Load| {
        let rate = mean_rate(load) * factor;
        Point { rate, burst: load.curve.burst(rate).unwrap_or(load.max_request_units) }
    };
    (false, loads.iter().map(point).collect())
}

fn access(write: bool) -> Access {
    if write {
        Access::Write
    } else {
        Access::Read
    }
}
