//! A drawn world written as a day script, so that a find plays again on loopback and here; scaled down where loopback
//! could not bear it.

use crate::sim;
use crate::world::{FaultKind, InjectedFault, World};
use std::fmt::Write;
use tackmast_overrides::Kind as OrderKind;

/// Blocks that ordered writes share, as the world generator has it.
const LOG_BLOCKS: u64 = 640;
/// Blocks that all other requests of a flow address.
const SPAN_BLOCKS: u64 = 40_000;
/// Fraction of a host's commands that go to the limited volume, as the world generator has it.
const SCHOOL: f64 = 0.4;
/// Fraction of commands that read, as the world generator has it.
const READS: f64 = 0.6;

impl World {
    /// The same world with fewer hosts and nodes, each node as busy as before; troubles move to those that are left.
    pub fn scaled(&self, hosts: u32) -> World {
        let mut world = self.clone();
        if hosts >= self.hosts || hosts == 0 {
            return world;
        }
        world.hosts = hosts;
        world.nodes = (self.nodes * hosts / self.hosts).clamp(3, self.nodes);
        world.rate *=
            f64::from(self.hosts) / f64::from(hosts) * f64::from(world.nodes) / f64::from(self.nodes);
        for t in &mut world.faults {
            t.node %= world.nodes;
            t.host = t.host.map(|h| h % hosts);
        }
        world
    }

    /// The script, and as comments what it leaves out.
    pub fn to_script(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        _ = self.write_script(&mut out);
        out
    }

    fn write_script(&self, out: &mut String) -> std::fmt::Result {
        let mut without_plans = self.clone();
        without_plans.faults.retain(|fault| !matches!(fault.kind, FaultKind::Plan(..)));
        writeln!(out, "# A world that the laboratory drew: seed {}.\n", self.seed)?;
        if self.wall_off_s > 0.0 || self.drift > 0.0 {
            writeln!(out, "# Left out: wall clocks off by up to {:.2} s, drift.", self.wall_off_s)?;
        }
        writeln!(
            out,
            "day {{\n  seconds = {:.3}\n  hosts = {}\n  seed = {}\n  drain_grace_ms = 250\n}}\n{}",
            self.seconds,
            self.hosts,
            self.seed,
            sim::blocks(&without_plans, None)
        )?;
        self.write_nodes(out)?;
        writeln!(out, "list {{\n  late_s = {}\n}}\n", self.list_late_us as f64 / 1e6)?;
        self.write_traffic(out)?;
        self.faults.iter().enumerate().try_for_each(|(index, fault)| self.write_fault(out, index, fault))
    }

    fn write_nodes(&self, out: &mut String) -> std::fmt::Result {
        for n in 0..self.nodes {
            writeln!(
                out,
                "nodes \"n{n}\" {{\n  shards = [{n}]\n  zone = {}\n  cores = {}\n  unit_ms = {}\n  queue = 400\n  cold_from = {}\n  \
                 warm_s = {}\n  fall_multiple = {}\n  fall_s = 1\n  saved = {}\n  remembers = {}\n  put_off = {}\n  flush_s = {}\n}}\n",
                n % 3,
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
        let all: Vec<u32> = (0..self.hosts).collect();
        let few: Vec<u32> = all.iter().copied().take(self.limited_hosts as usize).collect();
        let school = self.rate * SCHOOL * few.len() as f64;
        let museum = self.rate * f64::from(self.hosts) - school;
        let leaves = self.faults.iter().filter_map(|fault| match fault.kind {
            FaultKind::Leave(fraction) => {
                Some(fraction * (fault.for_us as f64 / 1e6 / self.seconds).min(1.0))
            }
            _ => None,
        });
        let aborts = leaves.sum::<f64>().min(1.0);
        for (name, volume, hosts, rate, reads, span) in [
            // A flow's blocks begin at its place times its span: the short one first, so that none share any.
            ("museum logs", "museum", &all, museum * (1.0 - READS), 0.0, LOG_BLOCKS),
            ("museum reads", "museum", &all, museum * READS, 1.0, SPAN_BLOCKS),
            ("school", "school", &few, school, READS, SPAN_BLOCKS),
        ] {
            writeln!(
                out,
                "traffic \"{name}\" {{\n  volume = \"{volume}\"\n  hosts = {hosts:?}\n  lead = 0\n  rate = {:.3}\n  reads = {reads}\n  \
                 blocks = [1, 24]\n  span_blocks = {span}\n  aborts = {aborts:.4}\n}}\n",
                rate.max(0.01)
            )?;
        }
        Ok(())
    }

    /// The words of the script for a fault, without its time. None: a script has no words for it.
    fn fault_attributes(&self, fault: &InjectedFault) -> Option<String> {
        let long = fault.for_us as f64 / 1e6;
        let node = format!("nodes = [\"n{}\"]", fault.node);
        let every: Vec<String> = (0..self.nodes).map(|node| format!("n{node}")).collect();
        let host = fault.host.unwrap_or(0);
        let node_fault = |what: String| Some(format!("{node}\n  fault = \"{what}\""));
        match fault.kind {
            FaultKind::Slow(x) => node_fault(format!("slow {x:.3}")),
            FaultKind::Errors(x) => node_fault(format!("errors {x:.3}")),
            FaultKind::Neighbour(x) => node_fault(format!("neighbour {x:.3}")),
            FaultKind::Heavy(part, times) => node_fault(format!("heavy {part:.4} {times:.2}")),
            FaultKind::Pause => node_fault(format!("pause {long:.3}")),
            FaultKind::Silent => node_fault("silent on".into()),
            FaultKind::Restart => node_fault(format!("restart {long:.3}")),
            FaultKind::Deploy => node_fault("deploy".into()),
            FaultKind::Resets => node_fault("reset".into()),
            FaultKind::Drain => Some(format!("drain = [\"n{}\"]", fault.node)),
            FaultKind::MassRestart => {
                Some(format!("nodes = {every:?}\n  fault = \"restart {:.3}\"", long / 2.0))
            }
            FaultKind::ListLate(s) => Some(format!("list = \"late {s:.3}\"")),
            FaultKind::ListFails => Some("list = \"fails\"".into()),
            FaultKind::HostKill => Some(format!("host = \"kill\"\n  hosts = [{}]", host)),
            FaultKind::Surge(x) => Some(format!("times = {x:.3}")),
            FaultKind::Order(kind, everywhere) => {
                let order = match kind {
                    OrderKind::OutOfService => "out".to_owned(),
                    OrderKind::Pinned => "pin".to_owned(),
                    OrderKind::Weight(x) => format!("weight {x:.3}"),
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
        let (at, long) = (fault.at_us as f64 / 1e6, fault.for_us as f64 / 1e6);
        let node = format!("nodes = [\"n{}\"]", fault.node);
        match self.fault_attributes(fault) {
            Some(body) => {
                writeln!(
                    out,
                    "trouble \"{index}\" {{\n  at_s = {at:.3}\n  for_s = {long:.3}\n  {body}\n}}\n"
                )?;
                // A silent node comes back as a process that starts: what it had is gone.
                if fault.kind == FaultKind::Silent {
                    let end = at + long;
                    writeln!(
                            out,
                            "trouble \"{index} back\" {{\n  at_s = {end:.3}\n  {node}\n  fault = \"restart 0.05\"\n}}\n"
                        )?;
                }
            }
            None if matches!(fault.kind, FaultKind::Leave(_)) => {}
            None => writeln!(out, "# Left out: {:?} at {at:.3} s for {long:.3} s\n", fault.kind)?,
        }
        Ok(())
    }
}
