//! Exchanges notices of newer endpoint lists. Hosts exchange the version of the list that they hold, and a host with a
//! newer version sends the nodes that this version removes.
//!
//! A host whose own watch of the list receives nothing would keep using nodes that have drained or are gone. By these
//! notices it learns that it is behind, asks its service again, and meanwhile chooses no node that a peer's newer list
//! removes. Nodes that a list adds are never accepted from a peer, because only the service reports how long ago a node
//! started.

use crate::Transmit;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Body, EndpointListMessage, NodeRemoval, MAX_REMOVALS};

/// Maximum number of removals that a host announces, which are the first ones by address.
const MAX_KNOWN_REMOVALS: usize = 2_000;
/// Minimum time between two requests of a host that is behind, to a peer and to its service. The time doubles with each
/// request that brings no newer list.
const MIN_REQUEST_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// Maximum time between two such requests. Two services may number their versions differently forever, and without growing
/// intervals hosts would keep asking at the minimum interval.
const MAX_REQUEST_INTERVAL: TimeDelta = TimeDelta::from_millis(30_000);
/// Maximum number of doublings that are computed. The interval reaches its maximum long before.
const MAX_DOUBLINGS: u32 = 16;
/// Maximum number of notices that wait to be polled.
const MAX_QUEUED_NOTICES: usize = 4_096;

/// A notice about the endpoint lists that other hosts hold, or about a rollback of this host's own list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListNotice {
    /// A peer holds a newer list, so this host is to ask its service.
    Behind {
        /// Version of the newer list.
        version: u64,
    },
    /// A newer list removes this node, which must no longer be chosen.
    Removed {
        /// Version of the newer list that removes the node.
        version: u64,
        /// Node that is removed.
        removal: NodeRemoval,
    },
    /// The service went back to an older version than this host held.
    RolledBack {
        /// Version that this host held.
        from: u64,
        /// Older version that the service has now.
        to: u64,
    },
}

/// The versions of the endpoint list that this host and its peers hold.
#[derive(Clone, Debug, Default)]
pub struct EndpointListExchange {
    enabled: bool,
    /// Newest version that this generation of the host has held.
    version: u64,
    /// Nodes that this version removes.
    removals: Vec<NodeRemoval>,
    last_request: Option<Instant>,
    /// Number of requests since this host last received a newer version.
    request_count: u32,
    notices: VecDeque<EndpointListNotice>,
    transmits: VecDeque<Transmit>,
    /// Number of requests that this host sent because it was behind.
    pub behind: u64,
    /// Number of notices that were dropped because too many waited.
    pub dropped: u64,
}

/// Returns the minimum time from a host's last request to its next, after this many requests that brought no newer list.
fn request_interval(request_count: u32) -> TimeDelta {
    let (min, max) = (MIN_REQUEST_INTERVAL.secs(), MAX_REQUEST_INTERVAL.secs());
    let factor = f64::from(request_count.min(MAX_DOUBLINGS)).exp2() / 2.0;
    TimeDelta::from_secs((min * factor).clamp(min, max))
}

impl EndpointListExchange {
    /// Records the version of this host's list and the nodes that it removes. Returns whether the version is newer than
    /// before and is to be announced to peers.
    pub fn handle_list(&mut self, version: u64, removals: impl IntoIterator<Item = NodeRemoval>) -> bool {
        self.enabled = true;
        if version < self.version {
            self.roll_back(version);
            return false;
        }
        let is_newer = version > self.version;
        if is_newer {
            self.request_count = 0;
        }
        self.version = version;
        self.removals = removals.into_iter().take(MAX_KNOWN_REMOVALS).collect();
        is_newer
    }

    /// Reports that the service went back to an older version, as after a restart from an old copy. Nodes that the newer
    /// version removed stay removed: they may be shut down already, and requests to them would fail.
    fn roll_back(&mut self, to: u64) {
        let from = self.version;
        self.push_notice(EndpointListNotice::RolledBack { from, to });
        for removal in self.removals.clone() {
            self.push_notice(EndpointListNotice::Removed { version: from, removal });
        }
    }

    /// Returns whether this host has an endpoint list.
    pub(crate) fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Returns the message that announces the newest version that this host has held.
    pub fn version_message(&self) -> EndpointListMessage {
        EndpointListMessage::Version { version: self.version }
    }

    /// Handles a message of a peer.
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
                    self.push_notice(EndpointListNotice::Removed { version, removal });
                }
            }
            EndpointListMessage::Version { .. }
            | EndpointListMessage::Request { .. }
            | EndpointListMessage::Removals { .. } => {}
        }
    }

    fn handle_newer_version(&mut self, now: Instant, from: SocketAddr, version: u64) {
        let interval = request_interval(self.request_count);
        if self.last_request.is_some_and(|requested_at| now - requested_at < interval) {
            return;
        }
        self.last_request = Some(now);
        self.request_count += 1;
        self.behind += 1;
        self.push_notice(EndpointListNotice::Behind { version });
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

    fn push_notice(&mut self, notice: EndpointListNotice) {
        if self.notices.len() < MAX_QUEUED_NOTICES {
            self.notices.push_back(notice);
        } else {
            self.dropped += 1;
        }
    }

    /// Returns the next notice, or `None` when all have been polled.
    pub fn poll_event(&mut self) -> Option<EndpointListNotice> {
        self.notices.pop_front()
    }

    /// Returns the next message to send, or `None` when all have been polled.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }
}
