//! Day scripts in virtual time: the script that `tackmast scenario` plays through sockets, with its nodes, settings, traffic and
//! troubles, played by the lab. What only sockets have is named and left out.

use crate::world::{FaultKind, InjectedFault, World};
use std::sync::Arc;
use tackmast_emulators::list::ListFault;
use tackmast_emulators::node::Fault;
use tackmast_overrides::Target;
use tackmast_scenario::{is_one_of, Action, NodesBlock, Script, TrafficBlock, AGEING_STEPS};

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
        write!(formatter, "script of {} hosts", self.0.day.hosts)
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
            names.iter().any(|n| n == name || is_one_of(n, name, block) && n.ends_with(&format!("/{shard}")))
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

    fn flow(
        &self,
        name: &str,
        t: &TrafficBlock,
        lun: u32,
        base: u64,
        generator: &mut oorandom::Rand64,
        all: &mut Vec<ScriptRequest>,
    ) {
        let gap = |c: &mut oorandom::Rand64, mean_s: f64| -(1.0 - c.rand_float()).ln() * mean_s;
        // Stretches of its own surges, and the times at which the lead passes on.
        let until = t.for_s.map_or(self.0.day.seconds, |s| t.from_s + s).min(self.0.day.seconds);
        let (mut surges, mut moves) = (Vec::new(), Vec::new());
        if let Some((_, length, every)) = t.surges {
            let mut at = t.from_s + gap(generator, every);
            while at < until {
                surges.push((at, at + length));
                at += gap(generator, every);
            }
        }
        if let Some(every) = t.moves_s {
            let mut at = t.from_s + gap(generator, every);
            while at < until {
                moves.push(at);
                at += gap(generator, every);
            }
        }
        let hit = |names: &[String]| names.is_empty() || names.iter().any(|n| n == name);
        for trouble in &self.0.troubles {
            if let Action::Move { traffic } = &trouble.action {
                moves.extend(hit(traffic).then_some(trouble.at_s));
            }
        }
        let times = |at: f64| {
            let own = t.surges.filter(|_| surges.iter().any(|(from, to)| at >= *from && at < *to));
            let all = self.0.troubles.iter().filter_map(|x| match &x.action {
                Action::Surge { traffic, times } if hit(traffic) => {
                    (at >= x.at_s && at < x.at_s + x.for_s).then_some(*times)
                }
                _ => None,
            });
            own.map_or(1.0, |s| s.0) * all.fold(1.0, |_, x| x)
        };
        let mut at = t.from_s;
        while at < until {
            let (least, most) = t.blocks;
            let blocks = generator.rand_range(u64::from(least)..u64::from(most) + 1) as u32;
            let block = base + generator.rand_range(0..t.span_blocks - u64::from(blocks) + 1);
            let write = generator.rand_float() >= t.reads;
            let lead = moves.iter().filter(|m| **m <= at).count() % t.hosts.len();
            let place = match generator.rand_float() < t.lead {
                true => lead,
                false => (lead + 1 + generator.rand_range(0..t.hosts.len() as u64) as usize) % t.hosts.len(),
            };
            let (at_us, host) = ((at * 1e6) as u64, t.hosts[place]);
            let (retries, waits) = (t.retries, t.waits);
            all.push(ScriptRequest { at_us, host, lun, write, block, blocks, retries, waits });
            at += gap(generator, 1.0 / (t.rate * times(at)).max(0.001));
        }
    }
}

impl World {
    /// A script's day in virtual time, and what of it the lab can't do.
    pub fn of_script(script: Script, seed: u64) -> (World, Vec<String>) {
        let day = ScenarioScript(Arc::new(script));
        let mut world = World::generate(seed, day.day.hosts);
        world.nodes = day.node_names().count() as u32;
        world.seconds = day.day.seconds + 0.5;
        (world.delay_us, world.jitter_us) = (DELAY_US, JITTER_US);
        world.list_late_us = (day.list_late_s * 1e6) as u64;
        (world.clients, world.wall_off_s, world.drift, world.timed_list) = ([0, 0], 0.0, 0.0, true);
        world.faults.clear();
        let mut left_out = Vec::new();
        for t in &day.troubles {
            if let Err(what) = troubles(&day, t, &mut world.faults) {
                left_out.push(format!("{}: {what}", t.name));
            }
        }
        for (name, t) in day.traffic.iter().filter(|(_, t)| t.aborts > 0.0 || t.leaves > 0.0) {
            left_out.push(format!("traffic {name}: aborts {} and leaves {}", t.aborts, t.leaves));
        }
        world.members = day.day.members.then_some(0.0);
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

/// Adds the simulator's faults for one of the script's.
fn troubles(
    day: &ScenarioScript,
    script_fault: &tackmast_scenario::Trouble,
    all: &mut Vec<InjectedFault>,
) -> Result<(), UnsupportedAction> {
    let us = |s: f64| (s * 1e6) as u64;
    let (at, long) = (us(script_fault.at_s), us(script_fault.for_s));
    let mut put =
        |at_us, for_us, kind, node, host| all.push(InjectedFault { at_us, for_us, kind, node, host });
    match &script_fault.action {
        Action::Nodes { nodes, fault } => {
            let (kind, long) = match fault {
                Fault::Slow(x) => (FaultKind::Slow(*x), long),
                Fault::Neighbour(x) => (FaultKind::Neighbour(*x), long),
                Fault::Errors(x) => (FaultKind::Errors(*x), long),
                Fault::Heavy(part, times) => (FaultKind::Heavy(*part, *times), long),
                Fault::Pause(s) => (FaultKind::Pause, us(*s)),
                Fault::Silent(_) => (FaultKind::Silent, long),
                Fault::Restart(s) => (FaultKind::Restart, us(*s)),
                Fault::Reset => (FaultKind::Resets, 0),
                Fault::Die => (FaultKind::Restart, us(day.day.seconds * 10.0)),
                other => return Err(UnsupportedAction::SocketFault(format!("{other:?}"))),
            };
            for n in day.named(nodes) {
                put(at, long, kind, n, None);
            }
        }
        Action::Ageing { nodes, times, down_s } => {
            for n in day.named(nodes) {
                let step = long / u64::from(AGEING_STEPS);
                for i in 0..u64::from(AGEING_STEPS) {
                    let part = i as f64 / f64::from(AGEING_STEPS);
                    put(at + i * step, step, FaultKind::Slow(times.powf(part)), n, None);
                }
                put(at + long, us(*down_s), FaultKind::Restart, n, None);
            }
        }
        Action::Pauses { nodes, pause_s, every_s } => {
            for n in day.named(nodes) {
                let mut from = script_fault.at_s;
                while from < script_fault.at_s + script_fault.for_s {
                    put(us(from), us(*pause_s), FaultKind::Pause, n, None);
                    from += every_s.max(0.01);
                }
            }
        }
        Action::List(ListFault::Late(s)) => put(at, long, FaultKind::ListLate(*s), 0, None),
        Action::List(ListFault::Fails(_) | ListFault::Silent(_)) => {
            put(at, long, FaultKind::ListFails, 0, None)
        }
        Action::List(ListFault::Reset) => put(at, 1000, FaultKind::ListFails, 0, None),
        Action::List(other) => return Err(UnsupportedAction::ListVersions(format!("{other:?}"))),
        Action::Deploy { nodes } => {
            day.named(nodes).into_iter().for_each(|n| put(at, long, FaultKind::Deploy, n, None))
        }
        Action::Drain { nodes } => {
            day.named(nodes).into_iter().for_each(|n| put(at, long, FaultKind::Drain, n, None))
        }
        Action::KillHosts(hosts) => {
            hosts.iter().for_each(|h| put(at, long, FaultKind::HostKill, 0, Some(*h)))
        }
        // The traffic itself has them; here they are marked for the report.
        Action::Surge { times, .. } => put(at, long, FaultKind::Surge(*times), 0, None),
        Action::Move { .. } => {}
        Action::Plan { .. } => return Err(UnsupportedAction::PlanChange),
        Action::Hosts { how, .. } => return Err(UnsupportedAction::Process(format!("{how:?}"))),
        Action::Voter { .. } | Action::Way { .. } | Action::Apart(_) => {
            return Err(UnsupportedAction::Network)
        }
        Action::Order { refused: true, .. } => return Err(UnsupportedAction::RefusedOverride),
        Action::Order { hosts, kind, target, nodes, .. } => {
            let mut named = day.named(nodes);
            let in_set = |n: &u32| {
                let Some((block, shard)) = day.node(*n) else { return false };
                match target {
                    Some(Target::Shard(s)) => *s == shard,
                    Some(Target::Zone(z)) => *z == block.zone,
                    _ => false,
                }
            };
            if matches!(target, Some(Target::Node(_) | Target::Net(_))) {
                return Err(UnsupportedAction::LoopbackAddress);
            }
            named.extend((0..day.node_names().count() as u32).filter(in_set));
            for n in named {
                match hosts.is_empty() {
                    true => put(at, long, FaultKind::Order(*kind, true), n, Some(0)),
                    false => {
                        hosts.iter().for_each(|h| put(at, long, FaultKind::Order(*kind, false), n, Some(*h)))
                    }
                }
            }
        }
        Action::Client { how, .. } => return Err(UnsupportedAction::ClientMisuse(format!("{how:?}"))),
    }
    Ok(())
}
