//! Day scripts in virtual time: the script that `tackmast scenario` plays through sockets, with its nodes, settings, traffic and
//! troubles, played by the lab. What only sockets have is named and left out.

use crate::draw::{Kind, Trouble, World};
use std::sync::Arc;
use tackmast_emulators::list::ListFault;
use tackmast_emulators::node::Fault;
use tackmast_overrides::Target;
use tackmast_scenario::{names_node_of, Action, NodesBlock, Script, TrafficBlock, DEGRADATION_STEPS};

/// Links as short as loopback's.
const DELAY_US: u64 = 50;
const JITTER_US: u64 = 20;

#[derive(Clone)]
pub struct DayScript(Arc<Script>);

impl std::ops::Deref for DayScript {
    type Target = Script;
    fn deref(&self) -> &Script {
        &self.0
    }
}

impl std::fmt::Debug for DayScript {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "script of {} hosts", self.0.scenario.hosts)
    }
}

impl PartialEq for DayScript {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

/// One request of a script's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
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

impl DayScript {
    /// The script's nodes in its order, one for each shard named: block and shard.
    pub fn node(&self, n: u32) -> Option<(&NodesBlock, u32)> {
        self.node_names().nth(n as usize).map(|(_, block, shard)| (block, shard))
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
    /// other chance.
    pub fn asks(&self, seed: u64) -> Vec<Ask> {
        let mut all = Vec::new();
        let mut places = std::collections::BTreeMap::new();
        for (i, (name, t)) in self.0.traffic.iter().enumerate() {
            let Some(v) = self.0.settings.volumes.iter().find(|v| v.name == t.volume) else { continue };
            let place: &mut u64 = places.entry(&t.volume).or_default();
            let base = *place * t.span_blocks;
            *place += 1;
            let mut chance = oorandom::Rand64::new(u128::from(seed) * 1000 + i as u128 + 1);
            self.flow(name, t, v.lun, base, &mut chance, &mut all);
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
        chance: &mut oorandom::Rand64,
        all: &mut Vec<Ask>,
    ) {
        let gap = |c: &mut oorandom::Rand64, mean_s: f64| -(1.0 - c.rand_float()).ln() * mean_s;
        // Stretches of its own surges, and the times at which the lead passes on.
        let until = t.for_s.map_or(self.0.scenario.seconds, |s| t.from_s + s).min(self.0.scenario.seconds);
        let (mut surges, mut moves) = (Vec::new(), Vec::new());
        if let Some((_, length, every)) = t.surges {
            let mut at = t.from_s + gap(chance, every);
            while at < until {
                surges.push((at, at + length));
                at += gap(chance, every);
            }
        }
        if let Some(every) = t.primary_change_interval_s {
            let mut at = t.from_s + gap(chance, every);
            while at < until {
                moves.push(at);
                at += gap(chance, every);
            }
        }
        let hit = |names: &[String]| names.is_empty() || names.iter().any(|n| n == name);
        for trouble in &self.0.faults {
            if let Action::ChangePrimary { traffic } = &trouble.action {
                moves.extend(hit(traffic).then_some(trouble.at_s));
            }
        }
        let times = |at: f64| {
            let own = t.surges.filter(|_| surges.iter().any(|(from, to)| at >= *from && at < *to));
            let all = self.0.faults.iter().filter_map(|x| match &x.action {
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
            let blocks = chance.rand_range(u64::from(least)..u64::from(most) + 1) as u32;
            let block = base + chance.rand_range(0..t.span_blocks - u64::from(blocks) + 1);
            let write = chance.rand_float() >= t.read_share;
            let lead = moves.iter().filter(|m| **m <= at).count() % t.hosts.len();
            let place = match chance.rand_float() < t.primary_share {
                true => lead,
                false => (lead + 1 + chance.rand_range(0..t.hosts.len() as u64) as usize) % t.hosts.len(),
            };
            let (at_us, host) = ((at * 1e6) as u64, t.hosts[place]);
            let (retries, waits) = (t.retries, t.honors_retry_after);
            all.push(Ask { at_us, host, lun, write, block, blocks, retries, waits });
            at += gap(chance, 1.0 / (t.rate * times(at)).max(0.001));
        }
    }
}

impl World {
    /// A script's day in virtual time, and what of it the lab can't do.
    pub fn of_script(script: Script, seed: u64) -> (World, Vec<String>) {
        let day = DayScript(Arc::new(script));
        let mut w = World::draw(seed, day.scenario.hosts);
        w.nodes = day.node_names().count() as u32;
        w.seconds = day.scenario.seconds + 0.5;
        (w.delay_us, w.jitter_us) = (DELAY_US, JITTER_US);
        w.list_late_us = (day.list_delay_s * 1e6) as u64;
        (w.clients, w.wall_off_s, w.drift, w.timed_list) = ([0, 0], 0.0, 0.0, true);
        w.troubles.clear();
        let mut left_out = Vec::new();
        for t in &day.faults {
            if let Err(what) = troubles(&day, t, &mut w.troubles) {
                left_out.push(format!("{}: {what}", t.name));
            }
        }
        for (name, t) in day.traffic.iter().filter(|(_, t)| t.abort_share > 0.0 || t.disconnect_share > 0.0) {
            left_out
                .push(format!("traffic {name}: aborts {} and leaves {}", t.abort_share, t.disconnect_share));
        }
        w.members = day.scenario.members.then_some(0.0);
        w.day = Some(day);
        (w, left_out)
    }
}

/// The lab's troubles for one of the script's.
fn troubles(
    day: &DayScript,
    t: &tackmast_scenario::ScheduledFault,
    all: &mut Vec<Trouble>,
) -> Result<(), String> {
    let us = |s: f64| (s * 1e6) as u64;
    let (at, long) = (us(t.at_s), us(t.for_s));
    let mut put = |at_us, for_us, kind, node, host| all.push(Trouble { at_us, for_us, kind, node, host });
    match &t.action {
        Action::Nodes { nodes, fault } => {
            let (kind, long) = match fault {
                Fault::Slow(x) => (Kind::Slow(*x), long),
                Fault::Neighbour(x) => (Kind::Neighbour(*x), long),
                Fault::Errors(x) => (Kind::Errors(*x), long),
                Fault::Heavy(part, times) => (Kind::Heavy(*part, *times), long),
                Fault::Pause(s) => (Kind::Pause, us(*s)),
                Fault::Silent(_) => (Kind::Silent, long),
                Fault::Restart(s) => (Kind::Restart, us(*s)),
                Fault::Reset => (Kind::Resets, 0),
                Fault::Die => (Kind::Restart, us(day.scenario.seconds * 10.0)),
                other => return Err(format!("{other:?} is a fault of sockets")),
            };
            for n in day.named(nodes) {
                put(at, long, kind, n, None);
            }
        }
        Action::Ageing { nodes, times, down_s } => {
            for n in day.named(nodes) {
                let step = long / u64::from(DEGRADATION_STEPS);
                for i in 0..u64::from(DEGRADATION_STEPS) {
                    let part = i as f64 / f64::from(DEGRADATION_STEPS);
                    put(at + i * step, step, Kind::Slow(times.powf(part)), n, None);
                }
                put(at + long, us(*down_s), Kind::Restart, n, None);
            }
        }
        Action::Pauses { nodes, pause_s, every_s } => {
            for n in day.named(nodes) {
                let mut from = t.at_s;
                while from < t.at_s + t.for_s {
                    put(us(from), us(*pause_s), Kind::Pause, n, None);
                    from += every_s.max(0.01);
                }
            }
        }
        Action::List(ListFault::Late(s)) => put(at, long, Kind::ListLate(*s), 0, None),
        Action::List(ListFault::Fails(_) | ListFault::Silent(_)) => put(at, long, Kind::ListFails, 0, None),
        Action::List(ListFault::Reset) => put(at, 1000, Kind::ListFails, 0, None),
        Action::List(other) => return Err(format!("{other:?}: the lab's list sends no versions")),
        Action::Deploy { nodes } => {
            day.named(nodes).into_iter().for_each(|n| put(at, long, Kind::Deploy, n, None))
        }
        Action::Drain { nodes } => {
            day.named(nodes).into_iter().for_each(|n| put(at, long, Kind::Drain, n, None))
        }
        Action::KillHosts(hosts) => hosts.iter().for_each(|h| put(at, long, Kind::HostKill, 0, Some(*h))),
        // The traffic itself has them; here they are marked for the report.
        Action::Surge { times, .. } => put(at, long, Kind::Surge(*times), 0, None),
        Action::ChangePrimary { .. } => {}
        Action::Plan { .. } => return Err("a change of plans".into()),
        Action::Hosts { fault, .. } => {
            return Err(format!("{fault:?} of processes, which only sockets have"))
        }
        Action::Voter { .. } | Action::Network { .. } | Action::Partition(_) => {
            return Err("ways, which only sockets have".into())
        }
        Action::Override { refused: true, .. } => return Err("an order that must be refused".into()),
        Action::Override { hosts, kind, target, nodes, .. } => {
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
                return Err("an address of loopback".into());
            }
            named.extend((0..day.node_names().count() as u32).filter(in_set));
            for n in named {
                match hosts.is_empty() {
                    true => put(at, long, Kind::Order(*kind, true), n, Some(0)),
                    false => hosts.iter().for_each(|h| put(at, long, Kind::Order(*kind, false), n, Some(*h))),
                }
            }
        }
        Action::Client { misuse, .. } => return Err(format!("a client that misuses its socket, {misuse:?}")),
    }
    Ok(())
}
