//! Faults of processes and of the network from a seed, for a hunt. A seed must give the same faults in all versions, so the order
//! of the calls to the generator must not change.

#[cfg(test)]
pub(crate) mod tests;

use crate::script::{Action, FaultTarget, ProcessFault, ScheduledFault, Script};
use tackmast_emulators::network_faults::NetworkFault;

/// Greatest number of generated faults.
const MAX_FAULTS: u64 = 6;
/// Seconds at a scenario's end in which no fault begins.
const QUIET_END_S: f64 = 1.5;
/// Earliest begin of a fault, in seconds.
const MIN_START_S: f64 = 0.5;
/// Shortest fault, in seconds.
const MIN_LENGTH_S: f64 = 0.2;
/// Least upper bound of a fault's length, in seconds.
const MIN_LENGTH_BOUND_S: f64 = 0.3;
/// Furthest that a generated wall clock is off, in seconds.
const MAX_CLOCK_OFFSET_S: f64 = 20.0;

struct FaultGenerator<'a> {
    random: oorandom::Rand64,
    script: &'a Script,
}

impl FaultGenerator<'_> {
    fn below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound.max(1))
    }

    /// A number of the range, rounded to hundredths, so that a printed script has exactly the generated values.
    fn between(&mut self, low: f64, high: f64) -> f64 {
        ((low + (high - low) * self.random.rand_float()) * 100.0).round() / 100.0
    }

    fn host(&mut self) -> u32 {
        let host_count = u64::from(self.script.scenario.hosts);
        self.below(host_count) as u32
    }

    /// One host, a group of neighbours, hosts at regular distances, or a site.
    fn host_target(&mut self) -> FaultTarget {
        let sites = u64::from(self.script.scenario.sites);
        match self.below(4) {
            0 => FaultTarget::Host(self.host()),
            1 => FaultTarget::Part(self.below(3) as u32, 3),
            2 if sites > 0 => FaultTarget::Site(self.below(sites) as u32),
            _ => FaultTarget::Every(self.below(4) as u32, 4),
        }
    }

    fn hosts(&mut self) -> Vec<u32> {
        let scenario = &self.script.scenario;
        let hosts = self.host_target().hosts(scenario);
        match hosts.is_empty() {
            true => vec![self.host()],
            false => hosts,
        }
    }

    fn action(&mut self) -> Action {
        let members = self.script.scenario.members;
        match self.below(12) {
            0 => Action::KillHosts(self.hosts()),
            1 => Action::Hosts { hosts: self.hosts(), fault: ProcessFault::Term },
            2 | 3 => Action::Hosts { hosts: self.hosts(), fault: ProcessFault::Stop },
            4 => Action::Hosts { hosts: vec![self.host()], fault: ProcessFault::Wipe },
            5 => Action::Hosts { hosts: vec![self.host()], fault: ProcessFault::OldDisk },
            6 if members => Action::Hosts { hosts: vec![self.host()], fault: ProcessFault::DuplicateId },
            7 if members => Action::Hosts { hosts: self.hosts(), fault: ProcessFault::Moved },
            8 => {
                let off_s = self.between(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S);
                let fault = ProcessFault::Clock { off_s, rate: 1.0 };
                Action::Hosts { hosts: vec![self.host()], fault }
            }
            9 if members => {
                Action::Partition(vec![vec![FaultTarget::Part(0, 2)], vec![FaultTarget::Part(1, 2)]])
            }
            10 => self.fault_towards_others(),
            _ => self.fault_between_hosts(),
        }
    }

    /// A fault between hosts and the list, clients or nodes.
    fn fault_towards_others(&mut self) -> Action {
        let to = match self.below(3) {
            0 => FaultTarget::List,
            1 => FaultTarget::Clients,
            _ => FaultTarget::Nodes(None),
        };
        let fault = if self.below(4) == 0 { NetworkFault::Reset } else { NetworkFault::Cut };
        let from = vec![self.host_target()];
        Action::Network { from, to: vec![to], fault, one_way: self.below(2) == 0 }
    }

    fn fault_between_hosts(&mut self) -> Action {
        let fault = match self.below(4) {
            0 => NetworkFault::Loss(self.between(0.05, 0.3)),
            1 => NetworkFault::Delay(self.between(0.01, 0.3)),
            2 => NetworkFault::Duplicate(self.between(0.05, 0.5)),
            _ => NetworkFault::Cut,
        };
        let from = vec![self.host_target()];
        Action::Network { from, to: vec![FaultTarget::Hosts], fault, one_way: self.below(2) == 0 }
    }
}

/// The script with the faults of a seed added to its own.
pub fn add_generated_faults(script: &Script, seed: u64) -> Script {
    let mut extended = script.clone();
    extended.scenario.seed = seed;
    let mut generator = FaultGenerator { random: oorandom::Rand64::new(u128::from(seed)), script };
    let seconds = script.scenario.seconds;
    let last_start_s = (seconds - QUIET_END_S).max(MIN_START_S);
    let mut affected_hosts: Vec<u32> = Vec::new();
    for index in 0..1 + generator.below(MAX_FAULTS) {
        let at_s = generator.between(MIN_START_S, last_start_s);
        let for_s = generator.between(MIN_LENGTH_S, (seconds - at_s).max(MIN_LENGTH_BOUND_S));
        let action = generator.action();
        // Two faults of one process at the same time would be undone in an order that means nothing.
        if let Action::Hosts { hosts, .. } | Action::KillHosts(hosts) = &action {
            if hosts.iter().any(|host| affected_hosts.contains(host)) {
                continue;
            }
            affected_hosts.extend(hosts);
        }
        extended.faults.push(ScheduledFault { name: format!("generated {index}"), at_s, for_s, action });
    }
    extended
}
