//! A world drawn from a seed: swarm-style, each run has a random subset of the troubles, with drawn strength.

use tackmast_overrides::Kind as OrderKind;

/// What goes wrong, and how strongly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    Slow(f64),
    Errors(f64),
    Neighbour(f64),
    Heavy(f64, f64),
    Pause,
    /// Takes all in and says nothing.
    Silent,
    /// Dies, and comes back cold after the trouble's length.
    Restart,
    /// Drains, dies, and is replaced by a cold one.
    Deploy,
    /// Drains, and is ready again at the end.
    Drain,
    /// All nodes restart.
    MassRestart,
    /// The list is that much later.
    ListLate(f64),
    ListFails,
    /// A host is killed, and starts anew at the end.
    HostKill,
    /// Nothing passes between a host and a node.
    Partition,
    /// Links of a node are reset.
    Resets,
    /// All ask so many times as much.
    Surge(f64),
    /// Clients leave in the middle.
    Leave(f64),
    /// An operator's order of a node, at one host or at all, that ends with the trouble.
    Order(OrderKind, bool),
    /// A part of all clients' connections ends.
    Hangup(f64),
    /// So large a part of what is asked asks for one piece of data.
    Hot(f64),
    /// Nothing passes between the hosts below this part of all and the rest.
    Split(f64),
    /// A host leaves in order, and its next generation starts at the end.
    HostLeaves,
    /// A host is paused, and resumes at the end with the state that it had.
    HostStands,
    /// Of the limited volume's commands, so large a part comes through one of its hosts.
    Busiest(f64, u32),
    /// The limited volume's plan is changed: times its limit, times its burst. At the end it is set back.
    Plan(f64, f64),
}

/// A fault with its time and place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    pub at_us: u64,
    pub for_us: u64,
    pub kind: FaultKind,
    pub node: u32,
    pub host: Option<u32>,
}

/// All that a run depends on: sizes, rates, what nodes and networks are like, and the faults.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    pub seed: u64,
    pub hosts: u32,
    pub nodes: u32,
    pub seconds: f64,
    /// Commands a second at each host.
    pub rate: f64,
    pub delay_us: u64,
    pub jitter_us: u64,
    pub list_late_us: u64,
    pub unit_s: f64,
    pub cores: u32,
    /// Clients of each host that speak a protocol: iSCSI-style, NBD.
    pub clients: [u32; 2],
    /// Hosts' wall clocks are off by up to so many seconds, and their steady clocks drift by up to this part.
    pub wall_off_s: f64,
    pub drift: f64,
    /// What part of its capacity a node starts with, and the multiple of what it can do at the moment that pushes it over.
    pub initial_capacity: f64,
    pub overload_multiple: f64,
    pub warm_up_s: f64,
    /// Work that nodes save for a piece of data among the last few they took, and how many those are.
    pub cache_savings: f64,
    pub cached_keys: usize,
    /// Part of a write's work that nodes put off, and how often they do it.
    pub write_back_fraction: f64,
    pub flush_interval_s: f64,
    /// The list tells when it was sent; else hosts read it by their own wall clocks.
    pub timed_list: bool,
    /// Arrivals from a file, in place of those drawn.
    pub load: Option<std::sync::Arc<tackmast_workload::Workload>>,
    /// Hosts know of each other: the part of their datagrams that is lost, or that comes twice.
    pub members: Option<f64>,
    /// Hosts through which the limited volume comes: the first so many.
    pub limited_hosts: u32,
    /// Values of the drawn settings' attributes, by name, in place of those drawn.
    pub set: std::collections::BTreeMap<String, f64>,
    /// A script's nodes, settings and traffic, in place of those drawn.
    pub scenario: Option<crate::ScenarioScript>,
    pub faults: Vec<InjectedFault>,
}

impl World {
    /// A world with so many hosts; nodes follow.
    pub fn generate(seed: u64, hosts: u32) -> World {
        let mut generator = oorandom::Rand64::new(u128::from(seed) ^ 0x006c_6162);
        let seconds = 4.0 + 4.0 * generator.rand_float();
        let nodes = (hosts / 5).clamp(3, 60) + generator.rand_range(0..3) as u32;
        let (cores, unit_s) = (2, 0.002 + 0.006 * generator.rand_float());
        // Between a third and all of what the nodes can do, in commands of two units.
        let able = f64::from(nodes * cores) / unit_s / 2.0;
        let rate = able * (0.3 + 0.7 * generator.rand_float()) / f64::from(hosts);
        let mut world = World {
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
            set: Default::default(),
            limited_hosts: 3,
            scenario: None,
            faults: Vec::new(),
        };
        world.generate_faults(&mut generator);
        world.generate_more(&mut generator);
        world.generate_hot(&mut generator);
        world.generate_members(&mut generator);
        world.generate_plans(&mut generator);
        world
    }

    /// Each kind of fault is in a third of the worlds, in some of them several times.
    fn generate_faults(&mut self, generator: &mut oorandom::Rand64) {
        for number in 0..17u32 {
            while generator.rand_float() < 0.33 {
                let at_us = (generator.rand_float() * self.seconds * 0.8 * 1e6) as u64;
                let for_us = (generator.rand_float() * 2.5e6) as u64 + 50_000;
                let strength = generator.rand_float();
                let kind = match number {
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
                };
                let node = generator.rand_range(0..u64::from(self.nodes)) as u32;
                let at_host = matches!(kind, FaultKind::HostKill | FaultKind::Partition);
                let host = at_host.then(|| generator.rand_range(0..u64::from(self.hosts)) as u32);
                self.faults.push(InjectedFault { at_us, for_us, kind, node, host });
            }
        }
    }

    /// Drawn after the rest, so that older seeds keep their troubles.
    fn generate_more(&mut self, generator: &mut oorandom::Rand64) {
        if generator.rand_float() < 0.5 {
            self.clients = [generator.rand_range(0..3) as u32, generator.rand_range(0..3) as u32];
        }
        if generator.rand_float() < 0.4 {
            // From a fraction of a second to minutes.
            self.wall_off_s = 0.05 * 10f64.powf(3.4 * generator.rand_float());
            self.drift = 2e-4 * generator.rand_float();
            self.timed_list = generator.rand_float() < 0.5;
        }
        if generator.rand_float() < 0.5 {
            self.initial_capacity = 0.04 + 0.2 * generator.rand_float();
            self.overload_multiple = 1.2 + 0.8 * generator.rand_float();
            self.warm_up_s = 2.0 + 6.0 * generator.rand_float();
            // A list that is nearly in time: hosts know of starts while nodes are at their coldest.
            self.list_late_us = generator.rand_range(1_000..100_000);
        }
        let mut named = std::collections::BTreeSet::new();
        for number in 0..2u32 {
            while generator.rand_float() < 0.33 {
                let at_us = (generator.rand_float() * self.seconds * 0.8 * 1e6) as u64;
                let for_us = (generator.rand_float() * 2.5e6) as u64 + 200_000;
                let (x, y) = (generator.rand_float(), generator.rand_float());
                let node = generator.rand_range(0..u64::from(self.nodes)) as u32;
                let host = generator.rand_range(0..u64::from(self.hosts)) as u32;
                let kind = match number {
                    0 => {
                        let orders =
                            [OrderKind::OutOfService, OrderKind::Weight(0.1 + 0.9 * y), OrderKind::Pinned];
                        FaultKind::Order(orders[(x * 3.0) as usize % 3], generator.rand_float() < 0.5)
                    }
                    _ => FaultKind::Hangup(x),
                };
                // One order a node: which of two holds is the overrides' own matter, and tested there.
                if number > 0 || named.insert(node) {
                    self.faults.push(InjectedFault { at_us, for_us, kind, node, host: Some(host) });
                }
            }
        }
    }

    /// Drawn after all of that: nodes whose work depends on what they took last, and pieces that all ask for.
    fn generate_hot(&mut self, generator: &mut oorandom::Rand64) {
        if generator.rand_float() >= 0.3 {
            return;
        }
        self.cache_savings = 0.3 + 0.5 * generator.rand_float();
        self.cached_keys = generator.rand_range(1..5) as usize;
        (self.write_back_fraction, self.flush_interval_s) =
            (0.7 * generator.rand_float(), 1.0 + 3.0 * generator.rand_float());
        while generator.rand_float() < 0.6 {
            let at_us = (generator.rand_float() * self.seconds * 0.6 * 1e6) as u64;
            let for_us = (generator.rand_float() * self.seconds * 1e6) as u64 + 200_000;
            let kind = FaultKind::Hot(0.2 + 0.8 * generator.rand_float());
            self.faults.push(InjectedFault { at_us, for_us, kind, node: 0, host: None });
        }
    }

    /// Drawn last: hosts that know of each other, and what happens between them.
    fn generate_members(&mut self, generator: &mut oorandom::Rand64) {
        if generator.rand_float() >= 0.4 {
            return;
        }
        self.members = Some(if generator.rand_float() < 0.5 { 0.0 } else { 0.4 * generator.rand_float() });
        for number in 0..4u32 {
            while generator.rand_float() < 0.4 {
                let at_us = (generator.rand_float() * self.seconds * 0.8 * 1e6) as u64;
                let for_us = (generator.rand_float() * 3e6) as u64 + 50_000;
                let fraction = generator.rand_float();
                // What is shared is shared by the first hosts: it is there that something must happen.
                let host = generator.rand_range(0..u64::from(self.hosts.min(self.limited_hosts))) as u32;
                let kind = match number {
                    0 => FaultKind::Split(fraction),
                    1 => FaultKind::HostLeaves,
                    2 => FaultKind::HostStands,
                    _ => FaultKind::Busiest(fraction, host),
                };
                self.faults.push(InjectedFault { at_us, for_us, kind, node: 0, host: Some(host) });
            }
        }
    }

    /// Drawn after all: operators move the limited volume's plan, where hosts know of each other.
    fn generate_plans(&mut self, generator: &mut oorandom::Rand64) {
        if self.members.is_none() || generator.rand_float() < 0.4 {
            return;
        }
        while generator.rand_float() < 0.7 {
            let at_us = (generator.rand_float() * self.seconds * 0.7 * 1e6) as u64;
            let for_us = (generator.rand_float() * 4e6) as u64 + 50_000;
            let kind = FaultKind::Plan(0.05 + 2.0 * generator.rand_float(), 0.55 + generator.rand_float());
            self.faults.push(InjectedFault { at_us, for_us, kind, node: 0, host: None });
        }
    }

    /// Whether operators change plans.
    pub fn has_plans(&self) -> bool {
        self.faults.iter().any(|t| matches!(t.kind, FaultKind::Plan(..)))
    }

    /// Whether operators set overrides.
    pub fn has_orders(&self) -> bool {
        self.faults.iter().any(|t| matches!(t.kind, FaultKind::Order(..)))
    }
}
