//! Faults of the network between processes: their begin and their end.

use super::{ActivePathFault, Runner};
use crate::cluster_network::{Endpoints, PathFault, DUPLICATE_OFFSET};
use crate::script::{Action, FaultTarget};
use std::collections::HashSet;
use tackmast_emulators::network_faults::{Endpoint, NetworkFault};

/// Host numbers among the endpoints; a second process counts as its host.
fn host_numbers(endpoints: &Endpoints) -> HashSet<u32> {
    let number = |endpoint: &Endpoint| match endpoint {
        Endpoint::Host(host) => Some(host % DUPLICATE_OFFSET),
        _ => None,
    };
    endpoints.iter().filter_map(number).collect()
}

impl Runner<'_> {
    pub(super) fn begin_network_fault(&mut self, index: usize, name: &str, action: &Action) {
        match action {
            Action::Network { from, to, fault, one_way } => {
                let (from, to, fault) = (self.endpoints(from), self.endpoints(to), *fault);
                self.inject(index, PathFault { from: from.clone(), to: to.clone(), fault });
                if !one_way {
                    self.inject(index, PathFault { from: to, to: from, fault });
                }
            }
            Action::Partition(groups) => {
                let groups: Vec<Endpoints> = groups.iter().map(|group| self.endpoints(group)).collect();
                for (first_index, from) in groups.iter().enumerate() {
                    let others = groups.iter().enumerate().filter(|(other, _)| *other != first_index);
                    for (_, to) in others {
                        let (from, to) = (from.clone(), to.clone());
                        self.inject(index, PathFault { from, to, fault: NetworkFault::Cut });
                    }
                }
            }
            _ => return,
        }
        self.record_fault_change(&format!("{name} begins"));
    }

    fn inject(&mut self, index: usize, path: PathFault) {
        let id = self.network.inject(&path);
        // Only a cut excuses that a host is held dead; loss and delay do not.
        if let Some(watcher) = self.view_watcher.as_ref().filter(|_| path.fault == NetworkFault::Cut) {
            watcher.history().cut_began(id, host_numbers(&path.from), host_numbers(&path.to));
        }
        self.path_faults.entry(index).or_default().push(ActivePathFault { id, path });
    }

    fn endpoints(&self, targets: &[FaultTarget]) -> Endpoints {
        let mut endpoints = HashSet::new();
        for target in targets {
            match target {
                FaultTarget::List => _ = endpoints.insert(Endpoint::List),
                FaultTarget::Clients => _ = endpoints.insert(Endpoint::Clients),
                FaultTarget::Nodes(name) => {
                    let names = match name {
                        None => self.nodes.by_name.keys().cloned().collect(),
                        Some(name) => vec![name.clone()],
                    };
                    let nodes = self.nodes.named(&names);
                    endpoints.extend(nodes.into_iter().map(|node| Endpoint::Node(node.address())));
                }
                hosts => {
                    let hosts = hosts.hosts(&self.script.scenario);
                    endpoints.extend(hosts.into_iter().map(Endpoint::Host));
                }
            }
        }
        endpoints
    }

    pub(super) fn end_network_fault(&mut self, index: usize, name: &str) {
        for ActivePathFault { id, path } in self.path_faults.remove(&index).unwrap_or_default() {
            self.network.clear(id, &path);
            if let Some(watcher) = &self.view_watcher {
                watcher.history().cut_ended(id);
            }
        }
        self.record_fault_change(&format!("{name} ends"));
    }
}
