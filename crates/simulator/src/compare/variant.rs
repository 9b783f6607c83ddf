//! Variants: what is played, and what is changed in each generated world.

use crate::{FaultKind, InjectedFault, ReferenceModel, World};
use std::collections::BTreeMap;
use tackmast_overrides::Kind as OverrideKind;

/// How long one host is the busiest, in seconds.
const BUSIEST_PERIOD_S: f64 = 2.0;

/// What is played in a comparison.
#[derive(Clone, Debug, Default)]
pub struct Variant {
    /// A reference model in place of the host core.
    pub reference_model: Option<ReferenceModel>,
    /// What is changed in each generated world.
    pub change: Change,
}

/// Values in place of generated ones. Fractions are from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Number of hosts.
    pub hosts: Option<u32>,
    /// Number of nodes.
    pub nodes: Option<u32>,
    /// For how long traffic is sent, in seconds.
    pub seconds: Option<f64>,
    /// By this the generated rate of commands is multiplied.
    pub rate_times: Option<f64>,
    /// Removes the generated faults.
    pub no_troubles: bool,
    /// Clients of each host that use a protocol: iSCSI, and NBD.
    pub clients: Option<[u32; 2]>,
    /// Wall clocks of hosts are wrong by up to this, in seconds.
    pub wall_off_s: Option<f64>,
    /// Delay of the endpoint list's changes, in milliseconds.
    pub list_late_ms: Option<f64>,
    /// Whether hosts have peers.
    pub members: Option<bool>,
    /// Hosts through which the limited volume's commands come.
    pub limited_hosts: Option<u32>,
    /// After a third of the run, this fraction of the hosts of the limited volume leave.
    pub leave: f64,
    /// After a third of the run, this fraction of the hosts of the limited volume are killed.
    pub kill: f64,
    /// Values of attributes of the settings, by name: `set = { share = 0, longest_wait_s = 0.2 }`.
    pub set: BTreeMap<String, f64>,
    /// Operators take this fraction of the nodes out of service, for the whole run.
    pub out: f64,
    /// Operators weight this fraction of the nodes, for the whole run: the fraction, and the weight.
    pub weighted: Option<(f64, f64)>,
    /// This fraction of the limited volume's commands comes through one of its hosts, which changes every two seconds.
    pub busiest: f64,
}

impl Change {
    /// The world of a seed, with these values in place of the generated ones.
    pub fn of(&self, seed: u64, hosts: u32) -> World {
        let mut world = World::generate(seed, self.hosts.unwrap_or(hosts));
        self.set_values(&mut world);
        self.add_host_faults(&mut world);
        if self.out > 0.0 {
            add_overrides(&mut world, self.out, OverrideKind::OutOfService);
        }
        if let Some((fraction, weight)) = self.weighted {
            add_overrides(&mut world, fraction, OverrideKind::Weight(weight));
        }
        if self.busiest > 0.0 {
            add_busiest_hosts(&mut world, self.busiest);
        }
        world
    }

    fn set_values(&self, world: &mut World) {
        world.nodes = self.nodes.unwrap_or(world.nodes);
        world.seconds = self.seconds.unwrap_or(world.seconds);
        world.rate *= self.rate_times.unwrap_or(1.0);
        world.clients = self.clients.unwrap_or(world.clients);
        world.wall_off_s = self.wall_off_s.unwrap_or(world.wall_off_s);
        world.list_late_us = self.list_late_ms.map_or(world.list_late_us, |ms| (ms * 1e3) as u64);
        let (nodes, hosts) = (world.nodes, world.hosts);
        world.faults.retain(|fault| {
            !self.no_troubles && fault.node < nodes && fault.host.is_none_or(|host| host < hosts)
        });
        world.members = match self.members {
            Some(true) => Some(world.members.unwrap_or(0.0)),
            Some(false) => None,
            None => world.members,
        };
        world.limited_hosts = self.limited_hosts.unwrap_or(world.limited_hosts);
        world.set.extend(self.set.clone());
    }

    /// Hosts that leave or are killed after a third of the run, for the rest of it.
    fn add_host_faults(&self, world: &mut World) {
        let run_us = run_length_us(world);
        for (fraction, kind) in [(self.leave, FaultKind::HostLeaves), (self.kill, FaultKind::HostKill)] {
            for host in 0..(fraction * f64::from(limited_host_count(world))) as u32 {
                let (at_us, for_us) = (run_us / 3, run_us);
                world.faults.push(InjectedFault { at_us, for_us, kind, node: 0, host: Some(host) });
            }
        }
    }
}

fn run_length_us(world: &World) -> u64 {
    (world.seconds * 1e6) as u64
}

fn limited_host_count(world: &World) -> u32 {
    world.limited_hosts.min(world.hosts)
}

/// Operators override the first nodes at all hosts, for the whole run.
fn add_overrides(world: &mut World, fraction: f64, kind: OverrideKind) {
    let for_us = run_length_us(world) + 1;
    for node in 0..(fraction * f64::from(world.nodes)) as u32 {
        let kind = FaultKind::Order(kind, true);
        world.faults.push(InjectedFault { at_us: 0, for_us, kind, node, host: Some(0) });
    }
}

/// One host of the limited volume after the other is the busiest.
fn add_busiest_hosts(world: &mut World, fraction: f64) {
    let host_count = limited_host_count(world);
    let period_us = (BUSIEST_PERIOD_S * 1e6) as u64;
    for period in 0..(world.seconds / BUSIEST_PERIOD_S).ceil() as u32 {
        let at_us = u64::from(period) * period_us;
        let kind = FaultKind::Busiest(fraction, period % host_count);
        world.faults.push(InjectedFault { at_us, for_us: period_us - 1, kind, node: 0, host: Some(0) });
    }
}
