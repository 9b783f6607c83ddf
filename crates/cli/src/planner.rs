//! Whether plans fit a recorded workload: `tackmast plan check` and `plan suggest`, and the planner's bound beside the figures
//! of the simulator. Workloads are files of arrivals; figures of nodes come from the arguments.

mod bound_comparison;
mod demand;
mod error;

pub(crate) use bound_comparison::{compare as compare_bound, BoundArguments};
pub(crate) use error::PlannerError;

use crate::exit_code;
use demand::{demands, limit_waits, plan_shards, Demand, PlannedDemand, ShardPlan};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;
use tackmast_config::HostSettings;
use tackmast_planner::{place, Load, Node, PlacedLoad};
use tackmast_workload::Workload;

/// The deployment that is planned, and what its nodes can do.
#[derive(clap::Args)]
pub(crate) struct PlannerArguments {
    /// Settings of a host, in HCL: volumes, traffic classes, shards.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// File of the workload, as `tackmast simulator play --load` reads it.
    #[arg(long, value_name = "FILE")]
    load: PathBuf,
    /// Capacity of one node, in units a second.
    #[arg(long)]
    node_units: f64,
    /// Milliseconds that one core works on a unit.
    #[arg(long, default_value_t = 5.0)]
    unit_ms: f64,
    /// Round-trip time to a node, in milliseconds.
    #[arg(long = "way-ms", default_value_t = 2.0)]
    round_trip_ms: f64,
    /// Units of classes with longer latency objectives that all hosts together may have in flight at a node when a request
    /// with a shorter one arrives.
    #[arg(long = "ahead", default_value_t = 16.0)]
    in_flight_units: f64,
}

/// The settings, workload and nodes that are planned.
struct Deployment {
    settings: HostSettings,
    workload: Workload,
    node: Node,
}

impl PlannerArguments {
    fn check_figures(&self) -> Result<(), PlannerError> {
        for (option, value) in [("node-units", self.node_units), ("unit-ms", self.unit_ms)] {
            if !(value.is_finite() && value > 0.0) {
                return Err(PlannerError::NotPositive { option, value });
            }
        }
        for (option, value) in [("way-ms", self.round_trip_ms), ("ahead", self.in_flight_units)] {
            if !(value.is_finite() && value >= 0.0) {
                return Err(PlannerError::Negative { option, value });
            }
        }
        Ok(())
    }

    fn read(&self) -> Result<Deployment, PlannerError> {
        self.check_figures()?;
        let settings = HostSettings::read(&self.config)?;
        let workload = Workload::read(&self.load)?;
        let is_known = |name: &str| settings.volumes.iter().any(|volume| volume.name == name);
        if let Some(flow) = workload.flows.iter().find(|flow| !is_known(&flow.volume)) {
            return Err(PlannerError::UnknownVolume {
                path: self.load.clone(),
                flow: flow.name.clone(),
                volume: flow.volume.clone(),
            });
        }
        let node = Node {
            capacity: self.node_units,
            unit_service_s: self.unit_ms / 1e3,
            in_flight_units: self.in_flight_units,
            round_trip_s: self.round_trip_ms / 1e3,
        };
        Ok(Deployment { settings, workload, node })
    }
}

impl Deployment {
    fn demands(&self) -> Vec<Demand> {
        demands(&self.settings, &self.workload, self.node.capacity)
    }

    /// Units a second that plans reserve at a shard.
    fn reserved_units(&self, shard: u32) -> f64 {
        let volumes = self.settings.volumes.iter().filter(|volume| volume.shards.contains(&shard));
        let reserve = volumes
            .map(|volume| self.settings.plans[volume.plan as usize].reserve / volume.shards.len() as f64);
        reserve.sum()
    }
}

/// Prints for each shard whether all latency objectives can be met, the bound of each load, and the reservations. The exit code
/// says whether nothing is at risk.
pub(crate) fn check(arguments: &PlannerArguments) -> Result<ExitCode, PlannerError> {
    let deployment = arguments.read()?;
    let demands = deployment.demands();
    let limit_waits = limit_waits(&deployment.settings, &deployment.workload);
    let mut at_risk = Vec::new();
    for (shard, plan) in plan_shards(&deployment.node, &demands, &limit_waits) {
        at_risk.extend(check_reservations(&deployment, shard, &plan));
        for planned in &plan.demands {
            let is_at_risk = print_planned_demand(planned);
            if is_at_risk || !plan.holds {
                at_risk.push(planned.demand.load.name.clone());
            }
        }
    }
    at_risk.sort();
    at_risk.dedup();
    match at_risk.is_empty() {
        true => println!("all latency objectives are met by the bound"),
        false => println!("at risk by the bound: {}", at_risk.join(", ")),
    }
    Ok(exit_code::of_result(at_risk.is_empty()))
}

/// Prints the line of a shard. Returns what is at risk where plans reserve more than its node can do.
fn check_reservations(deployment: &Deployment, shard: u32, plan: &ShardPlan) -> Option<String> {
    let capacity = deployment.node.capacity;
    let rates: f64 = plan.demands.iter().map(|planned| planned.point.rate).sum();
    let reserved = deployment.reserved_units(shard);
    let is_over = reserved > capacity;
    println!(
        "shard {shard}: {}, {rates:.0} of {capacity:.0} units a second, {reserved:.0} reserved{}",
        if plan.holds {
            "all latency objectives are met"
        } else {
            "no rates and bursts meet all latency objectives"
        },
        if is_over { ", more than its capacity" } else { "" }
    );
    is_over.then(|| format!("reservations at shard {shard}"))
}

/// Prints the line of a load. Returns whether its latency objective is at risk.
fn print_planned_demand(planned: &PlannedDemand) -> bool {
    let PlannedDemand { demand, point, bound_s } = planned;
    let load = &demand.load;
    let is_at_risk = *bound_s > load.latency_objective_s;
    println!(
        "  {:<24} {:>8.1} units/s {:>8.1} at once, within {:>8.0} ms of {:.0}{}",
        load.name,
        point.rate,
        point.burst,
        bound_s * 1e3,
        load.latency_objective_s * 1e3,
        if is_at_risk { ", at risk" } else { "" }
    );
    is_at_risk
}

/// Prints limits and bursts for the volumes where their data lies, and where each load would go if it could be placed anew. The
/// exit code says whether each load finds a node.
pub(crate) fn suggest(arguments: &PlannerArguments, node_count: usize) -> Result<ExitCode, PlannerError> {
    let deployment = arguments.read()?;
    let demands = deployment.demands();
    print_limits(&deployment, &demands);
    let all_placed = print_placement(&deployment, &demands, node_count);
    Ok(exit_code::of_result(all_placed))
}

/// Sums over the shards of a volume.
struct VolumeLimit {
    rate: f64,
    burst: f64,
    /// Whether all latency objectives are met at each of the shards.
    holds: bool,
}

/// Prints the limit and burst that each volume needs where its data lies.
fn print_limits(deployment: &Deployment, demands: &[Demand]) {
    let mut limits: BTreeMap<usize, VolumeLimit> = BTreeMap::new();
    for plan in plan_shards(&deployment.node, demands, &BTreeMap::new()).into_values() {
        for PlannedDemand { demand, point, .. } in &plan.demands {
            let none = VolumeLimit { rate: 0.0, burst: 0.0, holds: true };
            let limit = limits.entry(demand.volume).or_insert(none);
            limit.rate += point.rate;
            limit.burst += point.burst;
            limit.holds &= plan.holds;
        }
    }
    println!("# where data lies now");
    for (volume, VolumeLimit { rate, burst, holds }) in limits {
        let note = if holds { "" } else { ", but some latency objective is at risk" };
        let name = &deployment.settings.volumes[volume].name;
        println!("volume {name:<16} limit {rate:.0} units/s, burst {burst:.0} units{note}");
    }
}

/// Prints a placement of the loads on so many nodes. Returns whether each load finds a node.
fn print_placement(deployment: &Deployment, demands: &[Demand], node_count: usize) -> bool {
    let loads: Vec<Load> = demands.iter().map(|demand| demand.load.clone()).collect();
    let start = Instant::now();
    let placement = place(&deployment.node, node_count, &loads);
    println!(
        "# placed anew: {} of {node_count} nodes used, {} loads not placed ({:.2} s)",
        placement.used_nodes(),
        placement.unplaced.len(),
        start.elapsed().as_secs_f64()
    );
    let settings = &deployment.settings;
    let text = |PlacedLoad { load, point }: &PlacedLoad| {
        let Demand { volume, traffic_class, shard, .. } = &demands[*load];
        let (volume, class) =
            (&settings.volumes[*volume].name, &settings.traffic_classes[*traffic_class].name);
        format!("{volume} {class} of shard {shard} ({:.0} units/s, {:.0} at once)", point.rate, point.burst)
    };
    for (number, placed) in placement.nodes.iter().enumerate().filter(|(_, placed)| !placed.is_empty()) {
        println!("node {number}: {}", placed.iter().map(text).collect::<Vec<_>>().join("; "));
    }
    for load in &placement.unplaced {
        println!("no node: {} of shard {}", loads[*load].name, demands[*load].shard);
    }
    placement.unplaced.is_empty()
}
