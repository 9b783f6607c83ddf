//! `tackmast simulator bound`: the planner's latency bound beside the latencies that the simulator then measures.

use super::demand::{demands, limit_waits, plan_shards};
use super::PlannerError;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use tackmast_config::HostSettings;
use tackmast_planner::Node;
use tackmast_simulator::{Class, World};
use tackmast_workload::Workload;

/// Work of a unit on one core of a simulated node, in seconds.
const UNIT_SERVICE_S: f64 = 0.004;
/// Virtual time after the last arrival, in seconds.
const DRAIN_S: f64 = 0.5;
/// What a simulated host and node add to the round trip of a request, in seconds.
const PROCESSING_S: f64 = 0.002;

/// Arguments of `tackmast simulator bound`.
#[derive(clap::Args)]
pub(crate) struct BoundArguments {
    /// Files of workloads.
    #[arg(required = true)]
    loads: Vec<PathBuf>,
    /// Number of hosts.
    #[arg(long, default_value_t = 4)]
    pub(crate) hosts: u32,
    /// Number of nodes.
    #[arg(long, default_value_t = 4)]
    pub(crate) nodes: u32,
    /// Seed of the simulated world.
    #[arg(long, default_value_t = 5)]
    seed: u64,
    /// Units of classes with longer latency objectives that are in flight at a node when a request with a shorter one arrives.
    #[arg(long = "ahead", default_value_t = 16.0)]
    in_flight_units: f64,
}

/// The bound of a plan's traffic class. A command of several parts waits for the last of them, so the worst shard counts.
struct ClassBound {
    latency_objective_s: f64,
    bound_s: f64,
    /// Whether rates and bursts meet all latency objectives at each shard.
    holds: bool,
}

/// Prints the bound beside the simulator's figures, class by class, for each workload.
pub(crate) fn compare(arguments: &BoundArguments) -> Result<ExitCode, PlannerError> {
    println!(
        "models in virtual time; milliseconds. Where no rates meet all objectives, the bound is by the smallest bursts at nine tenths of the node"
    );
    println!(
        "{:<14} {:<18} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}  holds",
        "load", "class", "objective", "bound", "p50", "p99", "p99.9", "max", "in time"
    );
    for file in &arguments.loads {
        let workload = Workload::read(file)?;
        let world = world(arguments, &workload);
        let bounds = class_bounds(&world, &workload, arguments.in_flight_units);
        let run = tackmast_simulator::play(&world, None).run;
        for (name, bound) in &bounds {
            if let Some(class) = run.classes.get(name) {
                print_class(file, name, bound, class);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// A world without faults whose hosts serve the workload.
fn world(arguments: &BoundArguments, workload: &Workload) -> World {
    let mut world = World::generate(arguments.seed, arguments.hosts);
    world.faults.clear();
    world.nodes = arguments.nodes;
    world.clients = [0, 0];
    world.unit_s = UNIT_SERVICE_S;
    world.cache_savings = 0.0;
    world.wall_off_s = 0.0;
    world.drift = 0.0;
    world.members = None;
    world.seconds = workload.seconds + DRAIN_S;
    world.load = Some(Arc::new(workload.clone()));
    world
}

/// The bounds of the workload's classes, by plan and traffic class.
fn class_bounds(world: &World, workload: &Workload, in_flight_units: f64) -> BTreeMap<String, ClassBound> {
    let settings = tackmast_simulator::settings(world, 0, None);
    let node = Node {
        capacity: f64::from(world.cores) / world.unit_s,
        unit_service_s: world.unit_s,
        in_flight_units,
        round_trip_s: 2.0 * (world.delay_us + world.jitter_us) as f64 / 1e6 + PROCESSING_S,
    };
    let demands = demands(&settings, workload, node.capacity);
    let limit_waits = limit_waits(&settings, workload);
    let mut bounds: BTreeMap<String, ClassBound> = BTreeMap::new();
    for plan in plan_shards(&node, &demands, &limit_waits).into_values() {
        for planned in &plan.demands {
            let demand = planned.demand;
            let name = class_name(&settings, demand.volume, demand.traffic_class);
            let bound = bounds.entry(name).or_insert(ClassBound {
                latency_objective_s: demand.load.latency_objective_s,
                bound_s: 0.0,
                holds: true,
            });
            bound.bound_s = bound.bound_s.max(planned.bound_s);
            bound.holds &= plan.holds;
        }
    }
    bounds
}

/// Names of the plan and of the traffic class, as the simulator's figures have them.
fn class_name(settings: &HostSettings, volume: usize, traffic_class: usize) -> String {
    let plan = &settings.plans[settings.volumes[volume].plan as usize];
    format!("{} {}", plan.name, settings.traffic_classes[traffic_class].name)
}

fn print_class(file: &Path, name: &str, bound: &ClassBound, class: &Class) {
    let file = file.file_stem().unwrap_or_default().to_string_lossy();
    let latency_ms = |percentile| class.times.value_at_percentile(percentile) as f64 / 1e3;
    println!(
        "{file:<14} {name:<18} {:>6.0} {:>8.0} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>9.4}  {}",
        bound.latency_objective_s * 1e3,
        bound.bound_s * 1e3,
        latency_ms(50.0),
        latency_ms(99.0),
        latency_ms(99.9),
        class.times.max() as f64 / 1e3,
        class.in_time as f64 / class.asked.max(1) as f64,
        if bound.holds && bound.bound_s <= bound.latency_objective_s { "yes" } else { "no" }
    );
}
