//! A generated world as a scenario script, so that a find can be replayed on loopback and in the simulator; scaled down
//! where loopback could not bear it.

use crate::sim::{
    blocks, LIMITED_FRACTION, LIMITED_VOLUME, MAX_COMMAND_BLOCKS, ORDERED_BLOCK_SPAN, UNLIMITED_VOLUME,
    WRITE_FRACTION,
};
use crate::world::{FaultKind, InjectedFault, World};
use std::fmt::Write;
use tackmast_overrides::Kind as OverrideKind;

/// Blocks that all other requests of a flow address.
const SPAN_BLOCKS: u64 = 40_000;
/// Fraction of commands that read.
const READ_FRACTION: f64 = 1.0 - WRITE_FRACTION;

impl World {
    /// The same world with fewer hosts and nodes, and the same load on each node. Faults move to the hosts and nodes that
    /// are left.
    pub fn scaled(&self, hosts: u32) -> World {
        let mut world = self.clone();
        if hosts >= self.hosts || hosts == 0 {
            return world;
        }
        world.hosts = hosts;
        world.nodes = (self.nodes * hosts / self.hosts).clamp(3, self.nodes);
        world.rate *=
            f64::from(self.hosts) / f64::from(hosts) * f64::from(world.nodes) / f64::from(self.nodes);
        for fault in &mut world.faults {
            fault.node %= world.nodes;
            fault.host = fault.host.map(|host| host % hosts);
        }
        world
    }

    /// The world as a script. What a script cannot express is left out, some of it with a comment.
    pub fn to_script(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        _ = self.write_script(&mut out);
        out
    }

    fn write_script(&self, out: &mut String) -> std::fmt::Result {
        let mut without_plans = self.clone();
        without_plans.faults.retain(|fault| !matches!(fault.kind, FaultKind::Plan(..)));
        writeln!(out, "# A generated world: seed {}.\n", self.seed)?;
        if self.wall_off_s > 0.0 || self.drift > 0.0 {
            writeln!(out, "# Left out: wall clocks off by up to {:.2} s, drift.", self.wall_off_s)?;
        }
        writeln!(
            out,
            "day {{\n  seconds = {:.3}\n  hosts = {}\n  seed = {}\n  drain_grace_ms = 250\n}}\n{}",
            self.seconds,
            self.hosts,
            self.seed,
            blocks(&without_plans, None)
        )?;
        self.write_nodes(out)?;
        writeln!(out, "list {{\n  late_s = {}\n}}\n", self.list_late_us as f64 / 1e6)?;
        self.write_traffic(out)?;
        self.faults.iter().enumerate().try_for_each(|(index, fault)| self.write_fault(out, index, fault))
    }

    fn write_nodes(&self, out: &mut String) -> std::fmt::Result {
        for node in 0..self.nodes {
            writeln!(
                out,
                "nodes \"n{node}\" {{\n  shards = [{node}]\n  zone = {}\n  cores = {}\n  unit_ms = {}\n  queue = 400\n  cold_from = {}\n  \
                 warm_s = {}\n  fall_multiple = {}\n  fall_s = 1\n  saved = {}\n  remembers = {}\n  put_off = {}\n  flush_s = {}\n}}\n",
                node % 3,
                self.cores,
                self.unit_s * 1e3,
                self.initial_capacity,
                self.warm_up_s,
                self.overload_multiple,
                self.cache_savings,
                self.cached_keys,
                self.write_back_fraction,
                self.flush_interval_s
            )?;
        }
        Ok(())
    }

    fn write_traffic(&self, out: &mut String) -> std::fmt::Result {
        let all_hosts: Vec<u32> = (0..self.hosts).collect();
        let limited_hosts: Vec<u32> = all_hosts.iter().copied().take(self.limited_hosts as usize).collect();
        let school_rate = self.rate * LIMITED_FRACTION * limited_hosts.len() as f64;
        let museum_rate = self.rate * f64::from(self.hosts) - school_rate;
        let (log_rate, read_rate) = (museum_rate * (1.0 - READ_FRACTION), museum_rate * READ_FRACTION);
        let leaves = self.faults.iter().filter_map(|fault| match fault.kind {
            FaultKind::Leave(fraction) => {
                Some(fraction * (fault.for_us as f64 / 1e6 / self.seconds).min(1.0))
            }
            _ => None,
        });
        let aborts = leaves.sum::<f64>().min(1.0);
        for (name, volume, hosts, rate, reads, span) in [
            // The blocks of a volume's second flow begin at its own span: the flow with the short span is first, so that
            // the two share no block.
            ("museum logs", UNLIMITED_VOLUME, &all_hosts, log_rate, 0.0, ORDERED_BLOCK_SPAN),
            ("museum reads", UNLIMITED_VOLUME, &all_hosts, read_rate, 1.0, SPAN_BLOCKS),
            ("school", LIMITED_VOLUME, &limited_hosts, school_rate, READ_FRACTION, SPAN_BLOCKS),
        ] {
            writeln!(
                out,
                "traffic \"{name}\" {{\n  volume = \"{volume}\"\n  hosts = {hosts:?}\n  lead = 0\n  rate = {:.3}\n  reads = {reads}\n  \
                 blocks = [1, {MAX_COMMAND_BLOCKS}]\n  span_blocks = {span}\n  aborts = {aborts:.4}\n}}\n",
                rate.max(0.01)
            )?;
        }
        Ok(())
    }

    /// The attributes of a fault in the script, without its time. None: a script cannot express it.
    fn fault_attributes(&self, fault: &InjectedFault) -> Option<String> {
        let length_s = fault.for_us as f64 / 1e6;
        let node = format!("nodes = [\"n{}\"]", fault.node);
        let all_nodes: Vec<String> = (0..self.nodes).map(|node| format!("n{node}")).collect();
        let host = fault.host.unwrap_or(0);
        let node_fault = |what: String| Some(format!("{node}\n  fault = \"{what}\""));
        match fault.kind {
            FaultKind::Slow(multiple) => node_fault(format!("slow {multiple:.3}")),
            FaultKind::Errors(fraction) => node_fault(format!("errors {fraction:.3}")),
            FaultKind::Neighbour(fraction) => node_fault(format!("neighbour {fraction:.3}")),
            FaultKind::Heavy(fraction, multiple) => node_fault(format!("heavy {fraction:.4} {multiple:.2}")),
            FaultKind::Pause => node_fault(format!("pause {length_s:.3}")),
            FaultKind::Silent => node_fault("silent on".into()),
            FaultKind::Restart => node_fault(format!("restart {length_s:.3}")),
            FaultKind::Deploy => node_fault("deploy".into()),
            FaultKind::Resets => node_fault("reset".into()),
            FaultKind::Drain => Some(format!("drain = [\"n{}\"]", fault.node)),
            FaultKind::MassRestart => {
                Some(format!("nodes = {all_nodes:?}\n  fault = \"restart {:.3}\"", length_s / 2.0))
            }
            FaultKind::ListLate(delay_s) => Some(format!("list = \"late {delay_s:.3}\"")),
            FaultKind::ListFails => Some("list = \"fails\"".into()),
            FaultKind::HostKill => Some(format!("host = \"kill\"\n  hosts = [{host}]")),
            FaultKind::Surge(multiple) => Some(format!("times = {multiple:.3}")),
            FaultKind::Order(kind, everywhere) => {
                let order = match kind {
                    OverrideKind::OutOfService => "out".to_owned(),
                    OverrideKind::Pinned => "pin".to_owned(),
                    OverrideKind::Weight(weight) => format!("weight {weight:.3}"),
                };
                let hosts = if everywhere { String::new() } else { host.to_string() };
                Some(format!("{node}\n  order = \"{order}\"\n  force = true\n  hosts = [{hosts}]"))
            }
            FaultKind::Leave(_) => None,
            FaultKind::Partition | FaultKind::Hangup(_) | FaultKind::Hot(_) => None,
            FaultKind::Split(_) | FaultKind::HostLeaves | FaultKind::HostStands => None,
            FaultKind::Busiest(..) | FaultKind::Plan(..) => None,
        }
    }

    fn write_fault(&self, out: &mut String, index: usize, fault: &InjectedFault) -> std::fmt::Result {
        let (at_s, length_s) = (fault.at_us as f64 / 1e6, fault.for_us as f64 / 1e6);
        match self.fault_attributes(fault) {
            Some(body) => {
                writeln!(
                    out,
                    "trouble \"{index}\" {{\n  at_s = {at_s:.3}\n  for_s = {length_s:.3}\n  {body}\n}}\n"
                )?;
                if fault.kind == FaultKind::Silent {
                    write_restart(out, index, fault.node, at_s + length_s)?;
                }
            }
            None if matches!(fault.kind, FaultKind::Leave(_)) => {}
            None => writeln!(out, "# Left out: {:?} at {at_s:.3} s for {length_s:.3} s\n", fault.kind)?,
        }
        Ok(())
    }
}

/// The restart of a node whose silence ends: it comes back as a new process, without what it had in flight.
fn write_restart(out: &mut String, index: usize, node: u32, at_s: f64) -> std::fmt::Result {
    writeln!(
        out,
        "trouble \"{index} back\" {{\n  at_s = {at_s:.3}\n  nodes = [\"n{node}\"]\n  fault = \"restart 0.05\"\n}}\n"
    )
}
