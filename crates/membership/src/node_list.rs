//! Notices of newer node lists. Hosts tell each other which version of the list they hold, and of a newer one which nodes
//! it removes. A host whose own watch of the list is silent learns so that it is behind, asks its service again, and
//! meanwhile chooses no node that another host's list shows as draining or gone. Nodes that a list adds are never taken
//! from a peer: only the service tells how long ago a node started.

use crate::Transmit;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Body, NodeListMessage, NodeRemoval, MAX_REMOVALS};

/// Greatest number of removals that a host announces: the first by address.
const MAX_KNOWN_REMOVALS: usize = 2_000;
/// A host that is behind asks a peer, and its service, no more often than this. The interval doubles each time that it
/// gets nothing newer, up to the maximum: two services may count their versions apart for good.
const RETRY_INTERVAL_S: f64 = 0.2;
const MAX_RETRY_INTERVAL_S: f64 = 30.0;
/// Doublings of the interval beyond which it is not computed any further.
const MAX_DOUBLINGS: u32 = 16;
/// Greatest number of events that wait to be polled.
const MAX_EVENTS: usize = 4_096;

/// What a host learns of the node lists that others hold.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeListEvent {
    /// Others hold a newer list: the service is to be asked.
    Behind {
        /// The newer version.
        version: u64,
    },
    /// A newer list removes this node: it must not be chosen.
    Removed {
        /// Version of that list.
        version: u64,
        /// The node.
        removal: NodeRemoval,
    },
    /// The service went back from a version that this host held to an older one.
    RolledBack {
        /// The version that was held.
        from: u64,
        /// The older one.
        to: u64,
    },
}

/// The versions of the node list that this host and its peers hold.
#[derive(Clone, Debug, Default)]
pub struct NodeListNotices {
    enabled: bool,
    /// The newest version that this host ever held in this generation.
    version: u64,
    /// The nodes that it removes.
    removals: Vec<NodeRemoval>,
    last_request: Option<Instant>,
    /// Requests since this host's list last changed.
    requests: u32,
    events: VecDeque<NodeListEvent>,
    transmits: VecDeque<Transmit>,
    /// How often this host was behind, and asked.
    pub behind: u64,
    /// Events that were dropped as too many waited.
    pub dropped: u64,
}

impl NodeListNotices {
    /// This host's list is at that version, and removes these nodes. Returns whether that is newer than before, so that
    /// peers are worth telling.
    pub fn handle_list(&mut self, version: u64, removals: impl IntoIterator<Item = NodeRemoval>) -> bool {
        self.enabled = true;
        if version < self.version {
            self.roll_back(version);
            return false;
        }
        let is_newer = version > self.version;
        if is_newer {
            self.requests = 0;
        }
        self.version = version;
        self.removals = removals.into_iter().take(MAX_KNOWN_REMOVALS).collect();
        is_newer
    }

    /// Against an old copy of the list after its service's restart: nodes that were removed stay removed.
    fn roll_back(&mut self, to: u64) {
        let from = self.version;
        self.push_event(NodeListEvent::RolledBack { from, to });
        for removal in self.removals.clone() {
            self.push_event(NodeListEvent::Removed { version: from, removal });
        }
    }

    /// Whether this host has a node list at all.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Tells a peer which version this host holds.
    pub fn version_message(&self) -> NodeListMessage {
        NodeListMessage::Version { version: self.version }
    }

    /// A peer has sent a message.
    pub fn handle_message(&mut self, now: Instant, from: SocketAddr, message: NodeListMessage) {
        if !self.enabled {
            return;
        }
        match message {
            NodeListMessage::Version { version } if version > self.version => {
                self.handle_newer_version(now, from, version);
            }
            NodeListMessage::Version { version } if version < self.version => {
                self.send(from, self.version_message());
            }
            NodeListMessage::Request { version } if version < self.version => self.send_removals(from),
            NodeListMessage::Removals { version, removals } if version > self.version => {
                for removal in removals {
                    self.push_event(NodeListEvent::Removed { version, removal });
                }
            }
            NodeListMessage::Version { .. }
            | NodeListMessage::Request { .. }
            | NodeListMessage::Removals { .. } => {}
        }
    }

    fn handle_newer_version(&mut self, now: Instant, from: SocketAddr, version: u64) {
        let doubled = f64::from(self.requests.min(MAX_DOUBLINGS)).exp2() / 2.0;
        let interval = (RETRY_INTERVAL_S * doubled).clamp(RETRY_INTERVAL_S, MAX_RETRY_INTERVAL_S);
        if self.last_request.is_some_and(|t| now - t < TimeDelta::from_secs(interval)) {
            return;
        }
        self.last_request = Some(now);
        self.requests += 1;
        self.behind += 1;
        self.push_event(NodeListEvent::Behind { version });
        self.send(from, NodeListMessage::Request { version: self.version });
    }

    fn send_removals(&mut self, to: SocketAddr) {
        let version = self.version;
        for removals in self.removals.chunks(MAX_REMOVALS) {
            let message = NodeListMessage::Removals { version, removals: removals.to_vec() };
            self.transmits.push_back(Transmit::to_address(to, Body::NodeList(message)));
        }
    }

    fn send(&mut self, to: SocketAddr, message: NodeListMessage) {
        self.transmits.push_back(Transmit::to_address(to, Body::NodeList(message)));
    }

    fn push_event(&mut self, event: NodeListEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        } else {
            self.dropped += 1;
        }
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<NodeListEvent> {
        self.events.pop_front()
    }

    /// The next message to be sent.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }
}
