//! Nodes that a peer's newer endpoint list removes while this host's own list is older.
//!
//! The watch of this host's list may report nothing while a node drains, or its list service may have returned to an older version. The
//! host would then continue to send requests to a node that is about to stop. It therefore sends no new requests to a node that a
//! peer's newer list shows as draining or gone.

#[cfg(test)]
mod tests;

use super::Core;
use crate::event::EndpointListEvent;
use crate::output::Output;
use std::collections::BTreeMap;
use tackmast::interface::{Instant, ListKind, NodeEntry, NodeState, TimeDelta};
use tackmast_membership::{EndpointListNotice, NodeRemoval};

/// The maximum number of nodes removed by peers' lists at a time.
const MAX_REMOVED_NODES: usize = 4_096;
/// The maximum duration of a removal. A list service that was reset counts versions from a low number again, so this host's own list
/// may never reach the version of the removal.
const MAX_REMOVAL: TimeDelta = TimeDelta::from_millis(600_000);

/// The removal of a node by a peer's newer list.
struct Removal {
    /// The version of the peer's list.
    version: u64,
    /// When the removal ends if this host's own list has not reached `version` by then.
    ends_at: Instant,
}

impl Removal {
    /// Returns whether this host's own list, at version `own_version`, determines the node's state again.
    fn is_over(&self, now: Instant, own_version: u64) -> bool {
        self.version <= own_version || self.ends_at <= now
    }
}

/// The nodes that peers' lists remove, by address.
#[derive(Default)]
pub(super) struct RemovedNodes {
    by_address: BTreeMap<String, Removal>,
    /// The earliest time at which a removal ends by its duration, or `None` if there are no removals.
    next_end: Option<Instant>,
    /// Whether the full table has been reported and no removal has ended since.
    reported_full: bool,
}

impl RemovedNodes {
    /// Returns whether a node is removed for a host whose own list is at version `own_version`.
    pub(super) fn is_removed(&self, now: Instant, address: &str, own_version: u64) -> bool {
        self.by_address.get(address).is_some_and(|removal| !removal.is_over(now, own_version))
    }

    /// Returns the earliest time at which a removal may end by its duration.
    pub(super) fn poll_timeout(&self) -> Option<Instant> {
        self.next_end
    }

    /// Adds a removal by a list of that version, or extends a known removal of the same node.
    ///
    /// A known removal keeps its version if that is newer. With the older version, this host's own list could end the removal before it
    /// shows the drain itself.
    fn insert(&mut self, now: Instant, address: String, version: u64) {
        let known_version = self.by_address.get(&address).map_or(0, |known| known.version);
        let removal = Removal { version: version.max(known_version), ends_at: now + MAX_REMOVAL };
        self.next_end = Some(self.next_end.map_or(removal.ends_at, |next_end| next_end.min(removal.ends_at)));
        self.by_address.insert(address, removal);
    }

    /// Deletes the removals that are over for a host whose own list is at version `own_version`, and returns the addresses of their
    /// nodes.
    fn take_ended(&mut self, now: Instant, own_version: u64) -> Vec<String> {
        let over = self.by_address.iter().filter(|(_, removal)| removal.is_over(now, own_version));
        let ended: Vec<String> = over.map(|(address, _)| address.clone()).collect();
        self.by_address.retain(|_, removal| !removal.is_over(now, own_version));
        self.next_end = self.by_address.values().map(|removal| removal.ends_at).min();
        self.reported_full &= ended.is_empty();
        ended
    }
}

impl Core {
    /// Handles what peers report of their endpoint lists. Such a report can remove nodes, but never add them.
    pub(super) fn handle_peer_list_notice(&mut self, now: Instant, event: EndpointListNotice) {
        match event {
            EndpointListNotice::Behind { .. } => self.outputs.push_back(Output::FetchEndpointList),
            EndpointListNotice::RolledBack { from, to } => {
                self.emit(EndpointListEvent::PeerListRolledBack { from, to, kept_for: MAX_REMOVAL });
            }
            EndpointListNotice::Removed { version, removal } => {
                self.handle_removal_by_peer(now, version, removal)
            }
        }
    }

    fn handle_removal_by_peer(&mut self, now: Instant, version: u64, removed: NodeRemoval) {
        if version <= self.list_version {
            return;
        }
        let removed_nodes = &mut self.removed_nodes;
        let is_known = removed_nodes.by_address.contains_key(&removed.address);
        if !is_known && removed_nodes.by_address.len() >= MAX_REMOVED_NODES {
            if !std::mem::replace(&mut removed_nodes.reported_full, true) {
                self.emit(EndpointListEvent::PeerRemovalsFull { max: MAX_REMOVED_NODES });
            }
            return;
        }
        removed_nodes.insert(now, removed.address.clone(), version);
        if !is_known {
            let (address, is_gone) = (removed.address.clone(), removed.gone);
            self.emit(EndpointListEvent::NodeRemovedByPeer { address, is_gone, version });
        }
        self.apply_node_states(now, &[removed.address]);
    }

    /// Passes the present states of these nodes to the scheduler, and withdraws unsent attempts at unavailable nodes.
    fn apply_node_states(&mut self, now: Instant, addresses: &[String]) {
        for address in addresses {
            let node = self.nodes.number(address);
            let Some(mut entry) = node.and_then(|node| self.nodes.entry(node)) else { continue };
            self.apply_overrides(now, &mut entry);
            self.scheduler.nodes_changed(now, ListKind::Changes, &[entry]);
        }
        self.withdraw_from_unavailable_nodes(now);
    }

    /// Ends the removals that have reached their maximum duration. They end at a timeout because this host may receive no list for
    /// longer than that.
    pub(super) fn handle_removal_timeout(&mut self, now: Instant) {
        if self.removed_nodes.poll_timeout().is_some_and(|next_end| next_end <= now) {
            self.end_removals(now);
        }
    }

    fn end_removals(&mut self, now: Instant) {
        let ended = self.removed_nodes.take_ended(now, self.list_version);
        self.apply_node_states(now, &ended);
    }

    /// Handles a change of this host's own list: ends each removal whose version this list has reached or whose time is up,
    /// and reports the list to peers.
    pub(super) fn handle_own_endpoint_list(&mut self, now: Instant) {
        self.end_removals(now);
        let version = self.list_version;
        let Some(peers) = &mut self.peers else { return };
        let not_ready = self.nodes.entries().filter(|(_, entry)| entry.state != NodeState::Ready);
        let removal = |(address, entry): (&str, &NodeEntry)| NodeRemoval {
            address: address.to_owned(),
            gone: entry.state == NodeState::Gone,
        };
        peers.member.handle_endpoint_list(now, version, not_ready.map(removal));
        self.process_peer_events(now);
    }
}
