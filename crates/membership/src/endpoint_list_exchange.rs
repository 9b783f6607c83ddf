//! Notices of newer endpoint lists. Hosts exchange which version of the list they hold, and a host with a newer version sends
//! which nodes it removes.
//!
//! A host whose own watch of the list is silent would keep using nodes that have drained or are gone. By these notices it
//! learns that it is behind, asks its service again, and meanwhile chooses no node that a peer's newer list removes. Nodes
//! that a list adds are never taken from a peer: only the service reports how long ago a node started.

use crate::Transmit;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Body, EndpointListMessage, NodeRemoval, MAX_REMOVALS};

/// Greatest number of removals that a host announces, the first ones by address.
const MAX_KNOWN_REMOVALS: usize = 2_000;
/// Shortest time between two requests of a host that is behind, to a peer and to its service. It doubles with each request
/// that brings nothing newer.
const MIN_REQUEST_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// Longest time between two such requests. Two services may number their versions differently for good, and hosts would
/// else ask endlessly.
const MAX_REQUEST_INTERVAL: TimeDelta = TimeDelta::from_millis(30_000);
/// Greatest number of doublings that are computed; the interval has reached its maximum long before.
const MAX_DOUBLINGS: u32 = 16;
/// Greatest number of events that wait to be polled.
const MAX_QUEUED_NOTICES: usize = 4_096;

/// What a host learns of the endpoint lists that others hold.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListNotice {
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

/// The versions of the endpoint list that this host and its peers hold.
#[derive(Clone, Debug, Default)]
pub struct EndpointListExchange {
    enabled: bool,
    /// The newest version that this host ever held in this generation.
    version: u64,
    /// The nodes that it removes.
    removals: Vec<NodeRemoval>,
    last_request: Option<Instant>,
    /// Requests since this host's list last changed.
    requests: u32,
    events: VecDeque<EndpointListNotice>,
    transmits: VecDeque<Transmit>,
    /// Requests of this host while it was behind.
    pub behind: u64,
    /// Events that were dropped as too many waited.
    pub dropped: u64,
}

/// How long a host waits before it asks again, after so many requests without a newer list.
fn request_interval(requests: u32) -> TimeDelta {
    let (min, max) = (MIN_REQUEST_INTERVAL.secs(), MAX_REQUEST_INTERVAL.secs());
    let factor = f64::from(requests.min(MAX_DOUBLINGS)).exp2() / 2.0;
    TimeDelta::from_secs((min * factor).clamp(min, max))
}

impl EndpointListExchange {
    /// This host's list has that version and removes these nodes. Returns whether it is newer than before, so that peers
    /// are to learn of it.
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

    /// The service went back to an older version, as after a restart from an old copy. Nodes that the newer version removed
    /// stay removed: they may be shut down already, and requests to them would fail.
    fn roll_back(&mut self, to: u64) {
        let from = self.version;
        self.push_event(EndpointListNotice::RolledBack { from, to });
        for removal in self.removals.clone() {
            self.push_event(EndpointListNotice::Removed { version: from, removal });
        }
    }

    /// Whether this host has an endpoint list at all.
    pub(crate) fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// The message with the version that this host holds.
    pub fn version_message(&self) -> EndpointListMessage {
        EndpointListMessage::Version { version: self.version }
    }

    /// A peer has sent a message.
    pub fn handle_message(&mut self, now: Instant, from: SocketAddr, message: EndpointListMessage) {
        if !self.enabled {
            return;
        }
        match message {
            EndpointListMessage::Version { version } if version > self.version => {
                self.handle_newer_version(now, from, version);
            }
            EndpointListMessage::Version { version } if version < self.version => {
                self.send(from, self.version_message());
            }
            EndpointListMessage::Request { version } if version < self.version => self.send_removals(from),
            EndpointListMessage::Removals { version, removals } if version > self.version => {
                for removal in removals {
                    self.push_event(EndpointListNotice::Removed { version, removal });
                }
            }
            EndpointListMessage::Version { .. }
            | EndpointListMessage::Request { .. }
            | EndpointListMessage::Removals { .. } => {}
        }
    }

    fn handle_newer_version(&mut self, now: Instant, from: SocketAddr, version: u64) {
        let interval = request_interval(self.requests);
        if self.last_request.is_some_and(|requested_at| now - requested_at < interval) {
            return;
        }
        self.last_request = Some(now);
        self.requests += 1;
        self.behind += 1;
        self.push_event(EndpointListNotice::Behind { version });
        self.send(from, EndpointListMessage::Request { version: self.version });
    }

    fn send_removals(&mut self, to: SocketAddr) {
        let version = self.version;
        for removals in self.removals.chunks(MAX_REMOVALS) {
            let message = EndpointListMessage::Removals { version, removals: removals.to_vec() };
            self.transmits.push_back(Transmit::to_address(to, Body::EndpointList(message)));
        }
    }

    fn send(&mut self, to: SocketAddr, message: EndpointListMessage) {
        self.transmits.push_back(Transmit::to_address(to, Body::EndpointList(message)));
    }

    fn push_event(&mut self, event: EndpointListNotice) {
        if self.events.len() < MAX_QUEUED_NOTICES {
            self.events.push_back(event);
        } else {
            self.dropped += 1;
        }
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<EndpointListNotice> {
        self.events.pop_front()
    }

    /// The next message to be sent.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }
}
