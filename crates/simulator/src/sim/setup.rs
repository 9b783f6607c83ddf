//! The state of a run before its first event.

use super::*;

pub(super) fn host_logic(
    now: Instant,
    settings: &HostSettings,
    seed: u64,
    generation: u64,
    reference_model: Option<ReferenceModel>,
) -> HostLogic {
    match reference_model {
        Some(how) => HostLogic::Reference(Box::new(ReferenceHost::new(how, settings))),
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
    report_us: Us,
}

fn node_placement(world: &World, number: u32) -> NodePlacement {
    if let Some((block, shard)) = world.scenario.as_ref().and_then(|scenario| scenario.node(number)) {
        let (behavior, zone, is_warming_up) = (block.node_behavior(), block.zone, block.has_just_started);
        return NodePlacement {
            behavior,
            zone,
            shard,
            is_warming_up,
            report_us: block.report_interval_ms * 1000,
        };
    }
    let behavior = NodeBehavior {
        cores: world.cores,
        unit_s: world.unit_s,
        queue: 400,
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
    NodePlacement { behavior, zone: number % 3, shard: number, is_warming_up: false, report_us: 0 }
}

fn new_node(world: &World, number: u32) -> SimNode {
    let NodePlacement { behavior, zone, shard, is_warming_up, report_us } = node_placement(world, number);
    let started = if is_warming_up { START_TIME } else { 0 };
    let seed = world.seed * 1000 + u64::from(number);
    SimNode {
        model: NodeModel::new(started, behavior, seed, is_warming_up),
        zone,
        shard,
        reported_load: (0, 0),
        report_us,
        address: format!("10.0.{}.{}:9000", number / 250, number % 250),
        up: true,
        silent: false,
        started,
        next: 0,
        held: BTreeMap::new(),
        served: BTreeMap::new(),
        total: BTreeMap::new(),
        wake: Us::MAX,
        listed: NodeState::Ready,
        listed_start: started,
        address_generation: 0,
    }
}

/// Draws the clock of each host, from random numbers of its own so that the other draws of a seed stay.
fn new_clocks(world: &World) -> Vec<Clock> {
    let mut generator = oorandom::Rand64::new(u128::from(world.seed) ^ CLOCK_SEED);
    let mut signed_unit = || 2.0 * generator.rand_float() - 1.0;
    let mut clock = || {
        let drift = world.drift * signed_unit();
        let wall_off_us = (world.wall_off_s * signed_unit() * 1e6) as i64;
        let offset_us = if world.drift > 0.0 { (40e6 * signed_unit()) as i64 } else { 0 };
        Clock { offset_us, drift, wall_off_us }
    };
    (0..world.hosts).map(|_| clock()).collect()
}

/// The longest window in which nodes discard repeats of an idempotency key.
fn idempotency_window(settings: &HostSettings) -> Us {
    let windows = settings.traffic_classes.iter().filter_map(|class| match class.effect {
        tackmast::interface::Effect::IdempotentByKey { window, .. } => Some((window.secs() * 1e6) as Us),
        _ => None,
    });
    windows.max().unwrap_or(IDEMPOTENCY_WINDOW)
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
        let first = host_logic(at(START_TIME), &settings[0], 0, 0, reference_model);
        let units = target::units(&settings[0], |volume| first.layout().max_blocks(volume));
        let (clocks, window_us) = (new_clocks(world), idempotency_window(&settings[0]));
        Sim {
            world,
            mutant,
            reference_model,
            clocks,
            kept: (0..world.hosts).map(|_| PersistedHost::default()).collect(),
            plan_adoption: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            clients: Vec::new(),
            clients_of: vec![Vec::new(); world.hosts as usize],
            arrivals: world.load.iter().flat_map(|l| l.arrivals(world.hosts)).collect(),
            asks: world.scenario.iter().flat_map(|d| d.asks(world.seed)).collect(),
            tries: BTreeMap::new(),
            window_us,
            offer: std::sync::Arc::new(target::Offer::of(&settings[0])),
            units: std::sync::Arc::new(units),
            settings,
            now: START_TIME,
            queue: BinaryHeap::new(),
            number: 0,
            generator: oorandom::Rand64::new(u128::from(world.seed)),
            hosts: Vec::new(),
            nodes: (0..world.nodes).map(|node| new_node(world, node)).collect(),
            partitions: BTreeMap::new(),
            seen_keys: BTreeMap::new(),
            list_version: 1,
            list_late: world.list_late_us,
            list_fails: false,
            surge: 1.0,
            leave: 0.0,
            hot: 0.0,
            busiest: None,
            split: None,
            generations: 0,
            sends: 0,
            answers: 0,
            run: Run::default(),
        }
    }
}
