//! Nodes that other hosts' newer node lists take away, while this host's own list is older, or its service has gone back.

use super::*;
use tackmast_membership::{NodeListEvent, NodeRemoval};

/// Nodes that are held so, at most.
const MAX_REMOVED_NODES: usize = 4_096;
/// Seconds for which a removal lasts at most: a list service that was reset counts from a low version again.
const REMOVAL_S: f64 = 600.0;

/// By address: the version that removes the node, and when the removal ends.
#[derive(Default)]
pub(super) struct RemovedNodes {
    held: BTreeMap<String, (u64, Instant)>,
    full: bool,
}

impl RemovedNodes {
    /// Whether it is not to be chosen by a host whose list is at that version.
    pub(crate) fn takes(&self, address: &str, version: u64) -> bool {
        self.held.get(address).is_some_and(|(v, _)| *v > version)
    }
}

impl Core {
    /// What peers report of the node list. It only ever takes nodes away.
    pub(super) fn handle_peer_node_list(&mut self, now: Instant, event: NodeListEvent) {
        match event {
            NodeListEvent::Behind { .. } => self.outputs.push_back(Output::FetchList),
            NodeListEvent::RolledBack { from, to } => {
                let kept_for = TimeDelta::from_secs(REMOVAL_S);
                self.emit(EndpointListEvent::PeerListRolledBack { from, to, kept_for });
            }
            NodeListEvent::Removed { version, removal: stop } => self.remove_by_peer(now, version, stop),
        }
    }

    fn remove_by_peer(&mut self, now: Instant, version: u64, stop: NodeRemoval) {
        if version <= self.list_version {
            return;
        }
        let known = self.removed_nodes.held.contains_key(&stop.address);
        if !known && self.removed_nodes.held.len() >= MAX_REMOVED_NODES {
            if !std::mem::replace(&mut self.removed_nodes.full, true) {
                self.emit(EndpointListEvent::PeerRemovalsFull { max: MAX_REMOVED_NODES });
            }
            return;
        }
        let until = now + TimeDelta::from_secs(REMOVAL_S);
        let before = self.removed_nodes.held.insert(stop.address.clone(), (version, until));
        if before.is_none() {
            let (address, is_gone) = (stop.address.clone(), stop.gone);
            self.emit(EndpointListEvent::NodeRemovedByPeer { address, is_gone, version });
        }
        self.refresh_nodes(now, &[stop.address]);
    }

    /// Passes these nodes to the scheduler as they are now.
    fn refresh_nodes(&mut self, now: Instant, addresses: &[String]) {
        for a in addresses {
            let Some(mut entry) = self.nodes.number(a).and_then(|n| self.nodes.entry(n)) else { continue };
            self.apply_overrides(now, &mut entry);
            self.scheduler.nodes_changed(now, ListKind::Changes, &[entry]);
        }
        self.withdraw_from_unavailable_nodes(now);
    }

    /// This host's own list has changed: removals that it is past end, and peers learn its version.
    pub(super) fn handle_own_node_list(&mut self, now: Instant) {
        let version = self.list_version;
        let over = |v: &(u64, Instant)| v.0 <= version || v.1 <= now;
        let ended: Vec<String> =
            self.removed_nodes.held.iter().filter(|(_, v)| over(v)).map(|(a, _)| a.clone()).collect();
        self.removed_nodes.held.retain(|_, v| !over(v));
        self.removed_nodes.full &= !ended.is_empty();
        self.refresh_nodes(now, &ended);
        let Some(peers) = &mut self.peers else { return };
        let stopped = self.nodes.entries().filter(|(_, entry)| entry.state != NodeState::Ready);
        let removed_nodes: Vec<NodeRemoval> = stopped
            .map(|(a, entry)| NodeRemoval { address: a.to_owned(), gone: entry.state == NodeState::Gone })
            .collect();
        peers.member.handle_node_list(now, version, removed_nodes);
        self.process_peer_events(now);
    }
}
