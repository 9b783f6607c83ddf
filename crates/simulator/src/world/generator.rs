//! Generates a world from a seed. Each step draws after the ones before it, so that a new step leaves the draws of earlier
//! steps as they are.

use super::{FaultKind, InjectedFault, World};
use std::collections::{BTreeMap, BTreeSet};
use tackmast_overrides::Kind as OverrideKind;

/// Mixed into the seed of a world.
const WORLD_SEED: u128 = 0x006c_6162;
/// The probability that a world has one more fault of a kind.
const FAULT_PROBABILITY: f64 = 0.33;

/// A world with that number of hosts. The number of nodes follows from it.
pub(super) fn generate(seed: u64, hosts: u32) -> World {
    let mut generator = oorandom::Rand64::new(u128::from(seed) ^ WORLD_SEED);
    let world = generate_base(&mut generator, seed, hosts);
    let mut worlds = WorldGenerator { generator, world };
    worlds.add_faults();
    worlds.add_clients();
    worlds.add_clock_errors();
    worlds.add_slow_start();
    worlds.add_operators_and_hangups();
    worlds.add_caches();
    worlds.add_members();
    worlds.add_plan_changes();
    worlds.world
}

/// A world without faults.
fn generate_base(generator: &mut oorandom::Rand64, seed: u64, hosts: u32) -> World {
    let seconds = 4.0 + 4.0 * generator.rand_float();
    let nodes = (hosts / 5).clamp(3, 60) + generator.rand_range(0..3) as u32;
    let (cores, unit_s) = (2, 0.002 + 0.006 * generator.rand_float());
    // From 30% to 100% of what the nodes can do, in commands of two units.
    let capacity = f64::from(nodes * cores) / unit_s / 2.0;
    let rate = capacity * (0.3 + 0.7 * generator.rand_float()) / f64::from(hosts);
    World {
        seed,
        hosts,
        nodes,
        seconds,
        rate,
        delay_us: 100 + generator.rand_range(0..2000),
        jitter_us: generator.rand_range(0..1000),
        list_late_us: generator.rand_range(10_000..1_000_000),
        unit_s,
        cores,
        clients: [0; 2],
        wall_off_s: 0.0,
        drift: 0.0,
        initial_capacity: 0.25,
        overload_multiple: 2.0,
        warm_up_s: 2.0,
        cache_savings: 0.0,
        cached_keys: 0,
        write_back_fraction: 0.0,
        flush_interval_s: 2.0,
        timed_list: true,
        load: None,
        members: None,
        limited_hosts: 3,
        set: BTreeMap::new(),
        scenario: None,
        faults: Vec::new(),
    }
}

/// A world that is being generated.
struct WorldGenerator {
    generator: oorandom::Rand64,
    world: World,
}

impl WorldGenerator {
    /// A number from 0 to 1.
    fn fraction(&mut self) -> f64 {
        self.generator.rand_float()
    }

    fn number_below(&mut self, end: u32) -> u32 {
        self.generator.rand_range(0..u64::from(end)) as u32
    }

    /// The begin of a fault within that fraction of the run, in microseconds.
    fn fault_begin(&mut self, run_fraction: f64) -> u64 {
        let seconds = self.fraction() * self.world.seconds * run_fraction;
        (seconds * 1e6) as u64
    }

    /// The length of a fault, in microseconds.
    fn fault_length(&mut self, min_us: u64, additional_us: f64) -> u64 {
        (self.fraction() * additional_us) as u64 + min_us
    }

    /// Each kind of fault is in a third of the worlds, in some of them several times.
    fn add_faults(&mut self) {
        for number in 0..17u32 {
            while self.fraction() < FAULT_PROBABILITY {
                let at_us = self.fault_begin(0.8);
                let for_us = self.fault_length(50_000, 2.5e6);
                let strength = self.fraction();
                let kind = fault_kind(number, strength);
                let node = self.number_below(self.world.nodes);
                let is_at_host = matches!(kind, FaultKind::HostKill | FaultKind::Partition);
                let host = is_at_host.then(|| self.number_below(self.world.hosts));
                self.world.faults.push(InjectedFault { at_us, for_us, kind, node, host });
            }
        }
    }

    fn add_clients(&mut self) {
        if self.fraction() < 0.5 {
            self.world.clients = [self.number_below(3), self.number_below(3)];
        }
    }

    fn add_clock_errors(&mut self) {
        if self.fraction() < 0.4 {
            // From a fraction of a second to minutes.
            self.world.wall_off_s = 0.05 * 10f64.powf(3.4 * self.fraction());
            self.world.drift = 2e-4 * self.fraction();
            self.world.timed_list = self.fraction() < 0.5;
        }
    }

    fn add_slow_start(&mut self) {
        if self.fraction() < 0.5 {
            self.world.initial_capacity = 0.04 + 0.2 * self.fraction();
            self.world.overload_multiple = 1.2 + 0.8 * self.fraction();
            self.world.warm_up_s = 2.0 + 6.0 * self.fraction();
            // The list is nearly in time, so that hosts learn of starts while the nodes have their smallest capacity.
            self.world.list_late_us = self.generator.rand_range(1_000..100_000);
        }
    }

    fn add_operators_and_hangups(&mut self) {
        let mut overridden = BTreeSet::new();
        for is_hangup in [false, true] {
            while self.fraction() < FAULT_PROBABILITY {
                let at_us = self.fault_begin(0.8);
                let for_us = self.fault_length(200_000, 2.5e6);
                let (drawn, weight) = (self.fraction(), self.fraction());
                let node = self.number_below(self.world.nodes);
                let host = Some(self.number_below(self.world.hosts));
                let kind = if is_hangup { FaultKind::Hangup(drawn) } else { self.order_kind(drawn, weight) };
                // A node has one override: which of several is in force is tested with the overrides.
                if is_hangup || overridden.insert(node) {
                    self.world.faults.push(InjectedFault { at_us, for_us, kind, node, host });
                }
            }
        }
    }

    fn order_kind(&mut self, drawn: f64, weight: f64) -> FaultKind {
        let kinds =
            [OverrideKind::OutOfService, OverrideKind::Weight(0.1 + 0.9 * weight), OverrideKind::Pinned];
        FaultKind::Order(kinds[(drawn * 3.0) as usize % 3], self.fraction() < 0.5)
    }

    /// Nodes whose work depends on what they did before, and objects that all clients read.
    fn add_caches(&mut self) {
        if self.fraction() >= 0.3 {
            return;
        }
        self.world.cache_savings = 0.3 + 0.5 * self.fraction();
        self.world.cached_keys = self.generator.rand_range(1..5) as usize;
        self.world.write_back_fraction = 0.7 * self.fraction();
        self.world.flush_interval_s = 1.0 + 3.0 * self.fraction();
        while self.fraction() < 0.6 {
            let at_us = self.fault_begin(0.6);
            let for_us = (self.fraction() * self.world.seconds * 1e6) as u64 + 200_000;
            let kind = FaultKind::Hot(0.2 + 0.8 * self.fraction());
            self.world.faults.push(InjectedFault { at_us, for_us, kind, node: 0, host: None });
        }
    }

    /// Hosts that have peers, and faults between them.
    fn add_members(&mut self) {
        if self.fraction() >= 0.4 {
            return;
        }
        let loss = if self.fraction() < 0.5 { 0.0 } else { 0.4 * self.fraction() };
        self.world.members = Some(loss);
        for number in 0..4u32 {
            while self.fraction() < 0.4 {
                let at_us = self.fault_begin(0.8);
                let for_us = self.fault_length(50_000, 3e6);
                let fraction = self.fraction();
                // The first hosts share the limited volume, so the faults are at these.
                let host = self.number_below(self.world.hosts.min(self.world.limited_hosts));
                let kind = match number {
                    0 => FaultKind::Split(fraction),
                    1 => FaultKind::HostLeaves,
                    2 => FaultKind::HostStands,
                    _ => FaultKind::Busiest(fraction, host),
                };
                self.world.faults.push(InjectedFault { at_us, for_us, kind, node: 0, host: Some(host) });
            }
        }
    }

    /// Operators change the limited volume's plan, where hosts have peers.
    fn add_plan_changes(&mut self) {
        if self.world.members.is_none() || self.fraction() < 0.4 {
            return;
        }
        while self.fraction() < 0.7 {
            let at_us = self.fault_begin(0.7);
            let for_us = self.fault_length(50_000, 4e6);
            let limit_multiple = 0.05 + 2.0 * self.fraction();
            let kind = FaultKind::Plan(limit_multiple, 0.55 + self.fraction());
            self.world.faults.push(InjectedFault { at_us, for_us, kind, node: 0, host: None });
        }
    }
}

/// The kinds of fault that need nothing but nodes, hosts and the list, by number. `strength` is from 0 to 1.
fn fault_kind(number: u32, strength: f64) -> FaultKind {
    match number {
        0 => FaultKind::Slow(2.0 + 10.0 * strength),
        1 => FaultKind::Errors(0.1 + 0.9 * strength),
        2 => FaultKind::Neighbour(0.3 + 0.5 * strength),
        3 => FaultKind::Heavy(0.03 * strength, 5.0 + 20.0 * strength),
        4 => FaultKind::Pause,
        5 => FaultKind::Silent,
        6 => FaultKind::Restart,
        7 => FaultKind::Deploy,
        8 => FaultKind::Drain,
        9 => FaultKind::MassRestart,
        10 => FaultKind::ListLate(0.5 + 3.0 * strength),
        11 => FaultKind::ListFails,
        12 => FaultKind::HostKill,
        13 => FaultKind::Partition,
        14 => FaultKind::Resets,
        15 => FaultKind::Surge(1.5 + 3.0 * strength),
        _ => FaultKind::Leave(0.2 * strength),
    }
}
