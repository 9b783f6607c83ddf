//! The state of a run before its first event.

use super::active_faults::ActiveFaults;
use super::clocks::Clock;
use super::settings::{settings, OVERLOAD_WINDOW_S};
use super::state::{LoadReport, PersistedHost, SimNode};
use super::{instant_at, Mutant, Run, Sim, Us, START_TIME};
use crate::reference_model::{HostLogic, ReferenceHost, ReferenceModel};
use crate::world::World;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use tackmast::interface::{Effect, Instant, NodeState};
use tackmast_config::HostSettings;
use tackmast_emulators::model::{NodeBehavior, NodeModel};
use tackmast_host_core::Core;
use tackmast_target::{units, Offer};

/// How long nodes discard repeats of an idempotency key where no traffic class says so, in microseconds.
const DEFAULT_IDEMPOTENCY_WINDOW: Us = 2_000_000;
/// Attempts that a node queues.
const NODE_QUEUE_LEN: usize = 400;
/// Zones over which the nodes of a generated world are spread.
const ZONE_COUNT: u32 = 3;

/// What a host runs: the host core, or a reference model in its place.
pub(super) fn host_logic(
    now: Instant,
    settings: &HostSettings,
    seed: u64,
    generation: u64,
    reference_model: Option<ReferenceModel>,
) -> HostLogic {
    match reference_model {
        Some(model) => HostLogic::Reference(Box::new(ReferenceHost::new(model, settings))),
        None => HostLogic::Core(Box::new(Core::new(now, settings, seed, generation))),
    }
}

/// How a node behaves, and where it stands.
struct NodePlacement {
    behavior: NodeBehavior,
    zone: u32,
    shard: u32,
    /// The node has just started when the run begins.
    is_warming_up: bool,
    report_interval_us: Us,
}

fn node_placement(world: &World, node_index: u32) -> NodePlacement {
    if let Some((block, shard)) = world.scenario.as_ref().and_then(|scenario| scenario.node(node_index)) {
        return NodePlacement {
            behavior: block.node_behavior(),
            zone: block.zone,
            shard,
            is_warming_up: block.has_just_started,
            report_interval_us: block.report_interval_ms * 1000,
        };
    }
    let behavior = NodeBehavior {
        cores: world.cores,
        unit_s: world.unit_s,
        queue: NODE_QUEUE_LEN,
        initial_capacity: world.initial_capacity,
        warm_up_s: world.warm_up_s,
        overload_multiple: world.overload_multiple,
        overload_window_s: OVERLOAD_WINDOW_S,
        cache_savings: world.cache_savings,
        cached_keys: world.cached_keys,
        write_back_fraction: world.write_back_fraction,
        flush_interval_s: world.flush_interval_s,
        ..NodeBehavior::default()
    };
    let zone = node_index % ZONE_COUNT;
    NodePlacement { behavior, zone, shard: node_index, is_warming_up: false, report_interval_us: 0 }
}

fn new_node(world: &World, node_index: u32) -> SimNode {
    let placement = node_placement(world, node_index);
    let started = if placement.is_warming_up { START_TIME } else { 0 };
    let seed = world.seed * 1000 + u64::from(node_index);
    SimNode {
        model: NodeModel::new(started, placement.behavior, seed, placement.is_warming_up),
        zone: placement.zone,
        shard: placement.shard,
        load_report: LoadReport::default(),
        report_interval_us: placement.report_interval_us,
        address: format!("10.0.{}.{}:9000", node_index / 250, node_index % 250),
        up: true,
        silent: false,
        started,
        job_count: 0,
        attempts: BTreeMap::new(),
        served: BTreeMap::new(),
        served_units: BTreeMap::new(),
        wake: Us::MAX,
        listed: NodeState::Ready,
        listed_start: started,
        address_generation: 0,
    }
}

/// The longest window in which nodes discard repeats of an idempotency key.
fn idempotency_window(settings: &HostSettings) -> Us {
    let windows = settings.traffic_classes.iter().filter_map(|class| match class.effect {
        Effect::IdempotentByKey { window, .. } => Some((window.secs() * 1e6) as Us),
        _ => None,
    });
    windows.max().unwrap_or(DEFAULT_IDEMPOTENCY_WINDOW)
}

impl<'a> Sim<'a> {
    /// A run of a world whose hosts have not started yet.
    pub(super) fn new(
        world: &'a World,
        mutant: Option<Mutant>,
        reference_model: Option<ReferenceModel>,
    ) -> Sim<'a> {
        let settings: Vec<HostSettings> =
            (0..world.hosts).map(|host| settings(world, host, mutant)).collect();
        let first = host_logic(instant_at(START_TIME), &settings[0], 0, 0, reference_model);
        let units = units(&settings[0], |volume| first.layout().max_blocks(volume));
        let workload = world.load.iter();
        let script = world.scenario.iter();
        Sim {
            world,
            mutant,
            reference_model,
            clocks: Clock::draw_all(world),
            persisted: (0..world.hosts).map(|_| PersistedHost::default()).collect(),
            plan_adoption: BTreeMap::new(),
            acknowledged_plans: BTreeMap::new(),
            clients: Vec::new(),
            clients_by_host: vec![Vec::new(); world.hosts as usize],
            arrivals: workload.flat_map(|workload| workload.arrivals(world.hosts)).collect(),
            script_requests: script.flat_map(|script| script.requests(world.seed)).collect(),
            script_attempts: BTreeMap::new(),
            idempotency_window: idempotency_window(&settings[0]),
            offer: Arc::new(Offer::of(&settings[0])),
            units: Arc::new(units),
            settings,
            now: START_TIME,
            queue: BinaryHeap::new(),
            sequence: 0,
            generator: oorandom::Rand64::new(u128::from(world.seed)),
            hosts: Vec::new(),
            nodes: (0..world.nodes).map(|node| new_node(world, node)).collect(),
            active_faults: ActiveFaults::default(),
            mass_restart_until: 0,
            partitions: BTreeMap::new(),
            idempotency_keys: BTreeMap::new(),
            list_version: 1,
            list_delay: world.list_late_us,
            is_list_failing: false,
            surge_factor: 1.0,
            abort_fraction: 0.0,
            hot_fraction: 0.0,
            busiest: None,
            host_partition: None,
            generation: 0,
            send_count: 0,
            answer_count: 0,
            run: Run::default(),
        }
    }
}
