//! Day scripts in virtual time: the script that `tackmast scenario` plays through sockets, with its nodes, settings, traffic and
//! troubles, played by the lab. What only sockets have is named and left out.

use crate::world::{FaultKind, InjectedFault, World};
use std::sync::Arc;
use tackmast_emulators::list::ListFault;
use tackmast_emulators::node::Fault;
use tackmast_overrides::{Kind as OrderKind, Target};
use tackmast_scenario::{names_node_of, Action, NodesBlock, Script, TrafficBlock, DEGRADATION_STEPS};

/// Delay of a link, as short as on loopback, in microseconds.
const DELAY_US: u64 = 50;
/// Additional delay of up to this, drawn for each message, in microseconds.
const JITTER_US: u64 = 20;

/// A script of `tackmast scenario`, shared by the worlds made of it.
#[derive(Clone)]
pub struct ScenarioScript(Arc<Script>);

impl std::ops::Deref for ScenarioScript {
    type Target = Script;
    fn deref(&self) -> &Script {
        &self.0
    }
}

impl std::fmt::Debug for ScenarioScript {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(formatter, "script of {} hosts", self.0.scenario.hosts)
    }
}

impl PartialEq for ScenarioScript {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

/// One request of a script's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptRequest {
    /// Microseconds from when the traffic begins.
    pub at_us: u64,
    pub host: u32,
    pub lun: u32,
    pub write: bool,
    pub block: u64,
    pub blocks: u32,
    /// Further tries after a rejection, and whether they wait as told.
    pub retries: u32,
    pub waits: bool,
}

/// The gap to the next event of a Poisson process, in seconds.
fn exponential_gap(generator: &mut oorandom::Rand64, mean_s: f64) -> f64 {
    -(1.0 - generator.rand_float()).ln() * mean_s
}

/// The times of a Poisson process between `from` and `until`, in seconds.
fn event_times(generator: &mut oorandom::Rand64, from: f64, until: f64, mean_s: f64) -> Vec<f64> {
    let mut times = Vec::new();
    let mut at = from + exponential_gap(generator, mean_s);
    while at < until {
        times.push(at);
        at += exponential_gap(generator, mean_s);
    }
    times
}

/// Whether a list of flows names one; an empty list names all.
fn names_flow(names: &[String], flow: &str) -> bool {
    names.is_empty() || names.iter().any(|name| name == flow)
}

impl ScenarioScript {
    /// The script's nodes in its order, one for each shard named: block and shard.
    pub fn node(&self, node_index: u32) -> Option<(&NodesBlock, u32)> {
        self.node_names().nth(node_index as usize).map(|(_, block, shard)| (block, shard))
    }

    fn node_names(&self) -> impl Iterator<Item = (&str, &NodesBlock, u32)> {
        self.0.nodes.iter().flat_map(|(name, b)| b.shards.iter().map(move |s| (name.as_str(), b, *s)))
    }

    /// Places of the nodes that a trouble names, by block or by `block/shard`.
    fn named(&self, names: &[String]) -> Vec<u32> {
        let is = |name: &str, block: &NodesBlock, shard: u32| {
            names
                .iter()
                .any(|n| n == name || names_node_of(n, name, block) && n.ends_with(&format!("/{shard}")))
        };
        let all = self.node_names().enumerate();
        all.filter(|(_, (name, block, shard))| is(name, block, *shard)).map(|(i, _)| i as u32).collect()
    }

    /// All that the script's traffic asks, in order of time: as its clients on loopback would, from the same figures but
    /// other random numbers.
    pub fn asks(&self, seed: u64) -> Vec<ScriptRequest> {
        let mut all = Vec::new();
        let mut places = std::collections::BTreeMap::new();
        for (i, (name, t)) in self.0.traffic.iter().enumerate() {
            let Some(v) = self.0.settings.volumes.iter().find(|v| v.name == t.volume) else { continue };
            let place: &mut u64 = places.entry(&t.volume).or_default();
            let base = *place * t.span_blocks;
            *place += 1;
            let mut generator = oorandom::Rand64::new(u128::from(seed) * 1000 + i as u128 + 1);
            self.flow(name, t, v.lun, base, &mut generator, &mut all);
        }
        all.sort_by_key(|a| a.at_us);
        all
    }

    /// When the host that gets most of a flow changes.
    fn lead_moves(
        &self,
        name: &str,
        traffic: &TrafficBlock,
        until: f64,
        generator: &mut oorandom::Rand64,
    ) -> Vec<f64> {
        let mut moves = match traffic.primary_change_interval_s {
            Some(every) => event_times(generator, traffic.from_s, until, every),
            None => Vec::new(),
        };
        for trouble in &self.0.faults {
            if let Action::ChangePrimary { traffic } = &trouble.action {
                moves.extend(names_flow(traffic, name).then_some(trouble.at_s));
            }
        }
        moves
    }

    /// By how much the rate of a flow is multiplied at a time: by its own surges and by those of the script.
    fn surge_factor(&self, name: &str, traffic: &TrafficBlock, surges: &[(f64, f64)], at: f64) -> f64 {
        let own = traffic.surges.filter(|_| surges.iter().any(|(from, to)| at >= *from && at < *to));
        let scripted = self.0.faults.iter().filter_map(|trouble| match &trouble.action {
            Action::Surge { traffic, times } if names_flow(traffic, name) => {
                (at >= trouble.at_s && at < trouble.at_s + trouble.for_s).then_some(*times)
            }
            _ => None,
        });
        own.map_or(1.0, |surge| surge.0) * scripted.fold(1.0, |_, times| times)
    }

    /// Appends the requests of one flow. `base` is the first of its blocks.
    fn flow(
        &self,
        name: &str,
        t: &TrafficBlock,
        lun: u32,
        base: u64,
        generator: &mut oorandom::Rand64,
        all: &mut Vec<ScriptRequest>,
    ) {
        let until = t.for_s.map_or(self.0.scenario.seconds, |s| t.from_s + s).min(self.0.scenario.seconds);
        let surges = match t.surges {
            Some((_, length, every)) => {
                let starts = event_times(generator, t.from_s, until, every);
                starts.into_iter().map(|start| (start, start + length)).collect()
            }
            None => Vec::new(),
        };
        let moves = self.lead_moves(name, t, until, generator);
        let mut at = t.from_s;
        while at < until {
            let (least, most) = t.blocks;
            let blocks = generator.rand_range(u64::from(least)..u64::from(most) + 1) as u32;
            let block = base + generator.rand_range(0..t.span_blocks - u64::from(blocks) + 1);
            let write = generator.rand_float() >= t.read_share;
            let lead = moves.iter().filter(|m| **m <= at).count() % t.hosts.len();
            let place = match generator.rand_float() < t.primary_share {
                true => lead,
                false => (lead + 1 + generator.rand_range(0..t.hosts.len() as u64) as usize) % t.hosts.len(),
            };
            let (at_us, host) = ((at * 1e6) as u64, t.hosts[place]);
            let (retries, waits) = (t.retries, t.honors_retry_after);
            all.push(ScriptRequest { at_us, host, lun, write, block, blocks, retries, waits });
            at += exponential_gap(
                generator,
                1.0 / (t.rate * self.surge_factor(name, t, &surges, at)).max(0.001),
            );
        }
    }
}

impl World {
    /// A script's day in virtual time, and what of it the lab can't do.
    pub fn of_script(script: Script, seed: u64) -> (World, Vec<String>) {
        let day = ScenarioScript(Arc::new(script));
        let mut world = World::generate(seed, day.scenario.hosts);
        world.nodes = day.node_names().count() as u32;
        world.seconds = day.scenario.seconds + 0.5;
        (world.delay_us, world.jitter_us) = (DELAY_US, JITTER_US);
        world.list_late_us = (day.list_delay_s * 1e6) as u64;
        (world.clients, world.wall_off_s, world.drift, world.timed_list) = ([0, 0], 0.0, 0.0, true);
        world.faults.clear();
        let mut left_out = Vec::new();
        for t in &day.faults {
            let (at_us, for_us) = (to_us(t.at_s), to_us(t.for_s));
            let all = &mut world.faults;
            if let Err(what) = (FaultTranslation { script: &day, at_us, for_us, all }).translate(t) {
                left_out.push(format!("{}: {what}", t.name));
            }
        }
        for (name, t) in day.traffic.iter().filter(|(_, t)| t.abort_share > 0.0 || t.disconnect_share > 0.0) {
            left_out
                .push(format!("traffic {name}: aborts {} and leaves {}", t.abort_share, t.disconnect_share));
        }
        world.members = day.scenario.members.then_some(0.0);
        world.scenario = Some(day);
        (world, left_out)
    }
}

/// What a script asks for and the simulator does not model.
#[derive(Debug, thiserror::Error)]
enum UnsupportedAction {
    #[error("{0} is a fault of sockets")]
    SocketFault(String),
    #[error("{0}: the lab's list sends no versions")]
    ListVersions(String),
    #[error("a change of plans")]
    PlanChange,
    #[error("{0} of processes, which only sockets have")]
    Process(String),
    #[error("ways, which only sockets have")]
    Network,
    #[error("an order that must be refused")]
    RefusedOverride,
    #[error("an address of loopback")]
    LoopbackAddress,
    #[error("a client that misuses its socket, {0}")]
    ClientMisuse(String),
}

fn to_us(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// Translates one fault of a script to the simulator's.
struct FaultTranslation<'a> {
    script: &'a ScenarioScript,
    at_us: u64,
    for_us: u64,
    all: &'a mut Vec<InjectedFault>,
}

impl FaultTranslation<'_> {
    fn add(&mut self, kind: FaultKind, node: u32, host: Option<u32>) {
        self.add_at(self.at_us, self.for_us, kind, node, host);
    }

    fn add_at(&mut self, at_us: u64, for_us: u64, kind: FaultKind, node: u32, host: Option<u32>) {
        self.all.push(InjectedFault { at_us, for_us, kind, node, host });
    }

    fn translate(&mut self, fault: &tackmast_scenario::ScheduledFault) -> Result<(), UnsupportedAction> {
        match &fault.action {
            Action::Nodes { nodes, fault } => self.add_node_fault(nodes, fault)?,
            Action::Ageing { nodes, times, down_s } => self.add_ageing(nodes, *times, *down_s),
            Action::Pauses { nodes, pause_s, every_s } => {
                self.add_pauses(nodes, *pause_s, *every_s, (fault.at_s, fault.at_s + fault.for_s));
            }
            Action::List(list_fault) => self.add_list_fault(list_fault)?,
            Action::Deploy { nodes } => {
                self.script.named(nodes).into_iter().for_each(|node| self.add(FaultKind::Deploy, node, None));
            }
            Action::Drain { nodes } => {
                self.script.named(nodes).into_iter().for_each(|node| self.add(FaultKind::Drain, node, None));
            }
            Action::KillHosts(hosts) => {
                hosts.iter().for_each(|host| self.add(FaultKind::HostKill, 0, Some(*host)));
            }
            // The traffic itself has the surge; the fault marks it in the report.
            Action::Surge { times, .. } => self.add(FaultKind::Surge(*times), 0, None),
            Action::ChangePrimary { .. } => {}
            Action::Plan { .. } => return Err(UnsupportedAction::PlanChange),
            Action::Hosts { fault, .. } => return Err(UnsupportedAction::Process(format!("{fault:?}"))),
            Action::Voter { .. } | Action::Network { .. } | Action::Partition(_) => {
                return Err(UnsupportedAction::Network)
            }
            Action::Override { refused: true, .. } => return Err(UnsupportedAction::RefusedOverride),
            Action::Override { hosts, kind, target, nodes, .. } => {
                self.add_override(hosts, *kind, target.as_ref(), nodes)?;
            }
            Action::Client { misuse, .. } => {
                return Err(UnsupportedAction::ClientMisuse(format!("{misuse:?}")))
            }
        }
        Ok(())
    }

    fn add_node_fault(&mut self, nodes: &[String], fault: &Fault) -> Result<(), UnsupportedAction> {
        let (kind, for_us) = match fault {
            Fault::Slow(times) => (FaultKind::Slow(*times), self.for_us),
            Fault::Neighbour(share) => (FaultKind::Neighbour(*share), self.for_us),
            Fault::Errors(rate) => (FaultKind::Errors(*rate), self.for_us),
            Fault::Heavy(fraction, times) => (FaultKind::Heavy(*fraction, *times), self.for_us),
            Fault::Pause(seconds) => (FaultKind::Pause, to_us(*seconds)),
            Fault::Silent(_) => (FaultKind::Silent, self.for_us),
            Fault::Restart(seconds) => (FaultKind::Restart, to_us(*seconds)),
            Fault::Reset => (FaultKind::Resets, 0),
            Fault::Die => (FaultKind::Restart, to_us(self.script.scenario.seconds * 10.0)),
            other => return Err(UnsupportedAction::SocketFault(format!("{other:?}"))),
        };
        for node in self.script.named(nodes) {
            self.add_at(self.at_us, for_us, kind, node, None);
        }
        Ok(())
    }

    /// Nodes that become slower in steps, and then restart.
    fn add_ageing(&mut self, nodes: &[String], times: f64, down_s: f64) {
        for node in self.script.named(nodes) {
            let step_us = self.for_us / u64::from(DEGRADATION_STEPS);
            for step in 0..u64::from(DEGRADATION_STEPS) {
                let fraction = step as f64 / f64::from(DEGRADATION_STEPS);
                let kind = FaultKind::Slow(times.powf(fraction));
                self.add_at(self.at_us + step * step_us, step_us, kind, node, None);
            }
            self.add_at(self.at_us + self.for_us, to_us(down_s), FaultKind::Restart, node, None);
        }
    }

    fn add_pauses(&mut self, nodes: &[String], pause_s: f64, every_s: f64, (from_s, until_s): (f64, f64)) {
        for node in self.script.named(nodes) {
            let mut at_s = from_s;
            while at_s < until_s {
                self.add_at(to_us(at_s), to_us(pause_s), FaultKind::Pause, node, None);
                at_s += every_s.max(0.01);
            }
        }
    }

    fn add_list_fault(&mut self, fault: &ListFault) -> Result<(), UnsupportedAction> {
        match fault {
            ListFault::Late(seconds) => self.add(FaultKind::ListLate(*seconds), 0, None),
            ListFault::Fails(_) | ListFault::Silent(_) => self.add(FaultKind::ListFails, 0, None),
            ListFault::Reset => self.add_at(self.at_us, 1000, FaultKind::ListFails, 0, None),
            other => return Err(UnsupportedAction::ListVersions(format!("{other:?}"))),
        }
        Ok(())
    }

    fn add_override(
        &mut self,
        hosts: &[u32],
        kind: OrderKind,
        target: Option<&Target>,
        nodes: &[String],
    ) -> Result<(), UnsupportedAction> {
        if matches!(target, Some(Target::Node(_) | Target::Net(_))) {
            return Err(UnsupportedAction::LoopbackAddress);
        }
        let script = self.script;
        let is_in_target = |node: &u32| {
            let Some((block, shard)) = script.node(*node) else { return false };
            match target {
                Some(Target::Shard(target)) => *target == shard,
                Some(Target::Zone(zone)) => *zone == block.zone,
                _ => false,
            }
        };
        let mut named = script.named(nodes);
        named.extend((0..script.node_names().count() as u32).filter(is_in_target));
        for node in named {
            if hosts.is_empty() {
                self.add(FaultKind::Order(kind, true), node, Some(0));
            }
            hosts.iter().for_each(|host| self.add(FaultKind::Order(kind, false), node, Some(*host)));
        }
        Ok(())
    }
}
