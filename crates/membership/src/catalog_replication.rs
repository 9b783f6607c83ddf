//! Replication of catalog updates from the host that publishes them to all others.
//!
//! Updates are texts with consecutive numbers. A host that learns of a newer number fetches the next text in chunks
//! (pull-based, as in rumour mongering with pull by Demers et al., 1987, section 1.4). The text is opaque here: the
//! code that applies it decides whether it follows from the previous one. A host that applies an update sends its
//! version to a few peers at once, and to one more peer in each protocol period, which compensates for lost messages.

mod fetch;

use crate::Transmit;
use bytes::Bytes;
use fetch::{Fetch, FetchProgress};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Body, CatalogMessage, MAX_PIECE};

/// Maximum number of updates that a host keeps. The publisher rejects further ones.
pub const MAX_CATALOG_UPDATES: usize = 20_000;
/// Maximum length of one update in bytes.
pub const MAX_UPDATE_LEN: usize = 1 << 20;
/// Maximum number of peers whose versions are recorded.
const MAX_PEERS: usize = 100_000;

/// A numbered update of the catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogUpdate {
    /// Number of the update; the first is 1.
    pub number: u64,
    /// Text of the update, which is opaque to the replication.
    pub text: Bytes,
}

/// A version of the catalog.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogVersion {
    /// Number of the last update; 0 if there is none.
    pub number: u64,
    /// First eight bytes of the digest of all updates up to the last one.
    pub digest_prefix: u64,
}

/// An event of the catalog replication.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CatalogEvent {
    /// An update was received, and is to be applied or rejected.
    Update(CatalogUpdate),
    /// A peer has applied a different update under the same number.
    Fork {
        /// Slot of the peer.
        slot: u32,
        /// Number of the update.
        number: u64,
    },
}

/// The newest update that peers have announced, and the deadline by which all hosts must have applied it.
#[derive(Default)]
struct Announced {
    number: u64,
    deadline: Instant,
}

/// Replication of the catalog on one host: the updates that it has, and those that it learns of.
#[derive(Default)]
pub struct CatalogReplication {
    enabled: bool,
    texts: BTreeMap<u64, Bytes>,
    newest: CatalogVersion,
    /// When all hosts must have applied the newest update.
    deadline: Instant,
    announced: Announced,
    /// Number of the newest update that each peer announced, by slot.
    peer_versions: BTreeMap<u32, u64>,
    fetch: Option<Fetch>,
    updates: VecDeque<CatalogUpdate>,
    fork: Option<CatalogEvent>,
    /// Number of the update of the last reported fork. Each fork is reported once.
    reported_fork: u64,
    transmits: VecDeque<Transmit>,
    /// Number of received updates that this host rejected.
    pub rejected: u64,
}

impl CatalogReplication {
    /// Enables replication on this host, which has these updates up to the version `newest`.
    pub fn enable(&mut self, newest: CatalogVersion, updates: impl IntoIterator<Item = CatalogUpdate>) {
        self.enabled = true;
        self.newest = newest;
        self.texts = updates.into_iter().map(|update| (update.number, update.text)).collect();
    }

    /// Returns whether replication is enabled on this host.
    pub(crate) fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Records that an update was applied here, and its deadline, by which all hosts must have applied it.
    pub(crate) fn handle_applied(
        &mut self,
        now: Instant,
        version: CatalogVersion,
        text: Bytes,
        deadline: Instant,
    ) {
        self.newest = version;
        self.deadline = deadline;
        self.texts.insert(version.number, text);
        let is_behind = self.announced.number > version.number;
        if let Some(fetch) = self.fetch.take().filter(|_| is_behind) {
            self.start_fetch(now, fetch.from);
        }
    }

    /// Records that this host rejects the received update.
    pub fn handle_rejected(&mut self) {
        self.rejected += 1;
        self.fetch = None;
    }

    /// Returns the message that announces the version that this host has applied.
    pub(crate) fn version_message(&self, now: Instant) -> CatalogMessage {
        let remaining_ms = ((self.deadline - now).secs().max(0.0) * 1e3).ceil() as u32;
        let CatalogVersion { number, digest_prefix } = self.newest;
        CatalogMessage::Version { number, digest_prefix, remaining_ms }
    }

    /// Returns the number of the newest update that is applied here, or 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.newest.number
    }

    /// Returns the number of the newest update that each peer announced, by slot.
    pub fn peer_versions(&self) -> &BTreeMap<u32, u64> {
        &self.peer_versions
    }

    /// Returns whether at least one peer has announced its version, and none a version newer than this host's.
    pub fn is_up_to_date(&self) -> bool {
        !self.peer_versions.is_empty() && self.announced.number <= self.newest.number
    }

    /// Returns the number of the newest update that peers announced, or `None` if this host has applied it.
    pub fn missing(&self) -> Option<u64> {
        Some(self.announced.number).filter(|number| *number > self.newest.number)
    }

    /// Returns the announced deadline of an update, or `now` if the update is not the newest that was announced.
    pub fn deadline(&self, number: u64, now: Instant) -> Instant {
        if self.announced.number == number {
            self.announced.deadline
        } else {
            now
        }
    }

    /// Handles a message of a peer.
    pub(crate) fn handle_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        slot: u32,
        message: &CatalogMessage,
    ) {
        if !self.enabled {
            return;
        }
        match message {
            CatalogMessage::Version { number, digest_prefix, remaining_ms } => {
                let deadline = now + TimeDelta::from_millis(i64::from(*remaining_ms));
                self.record_announcement(slot, *number, deadline);
                let theirs = CatalogVersion { number: *number, digest_prefix: *digest_prefix };
                self.compare_version(now, from, slot, theirs);
            }
            CatalogMessage::ChunkRequest { number, piece } => self.send_chunk(from, *number, *piece),
            CatalogMessage::Chunk { .. } => self.handle_chunk(now, from, message),
        }
    }

    fn record_announcement(&mut self, slot: u32, number: u64, deadline: Instant) {
        if self.peer_versions.len() < MAX_PEERS || self.peer_versions.contains_key(&slot) {
            self.peer_versions.insert(slot, number);
        }
        let known = &mut self.announced;
        if number > known.number {
            *known = Announced { number, deadline };
        } else if number == known.number {
            // The delay of a message can only make the deadline appear later than it is.
            known.deadline = known.deadline.min(deadline);
        }
    }

    fn compare_version(&mut self, now: Instant, from: SocketAddr, slot: u32, theirs: CatalogVersion) {
        if theirs.number > self.newest.number {
            if !self.fetch.as_ref().is_some_and(|fetch| fetch.is_waiting(now)) {
                self.start_fetch(now, from);
            }
        } else if theirs.number < self.newest.number {
            let message = self.version_message(now);
            self.send(from, message);
        } else if theirs.digest_prefix != self.newest.digest_prefix && self.reported_fork < theirs.number {
            self.reported_fork = theirs.number;
            self.fork = Some(CatalogEvent::Fork { slot, number: theirs.number });
        }
    }

    fn send_chunk(&mut self, to: SocketAddr, number: u64, piece: u16) {
        let Some(text) = self.texts.get(&number) else { return };
        let pieces = text.len().div_ceil(MAX_PIECE).max(1) as u16;
        if piece >= pieces {
            return;
        }
        let start = usize::from(piece) * MAX_PIECE;
        let bytes = text.slice(start..text.len().min(start + MAX_PIECE));
        self.send(to, CatalogMessage::Chunk { number, piece, pieces, bytes });
    }

    /// Fetches the next update. A fetch that has begun is resumed, even from another peer, as an update is the same at all
    /// peers that have it. If each peer's announcement restarted it, the fetch of an update of many chunks would never
    /// complete while datagrams are lost.
    fn start_fetch(&mut self, now: Instant, from: SocketAddr) {
        let number = self.newest.number + 1;
        let begun = self.fetch.take().filter(|fetch| fetch.number == number);
        let fetch = match begun {
            Some(fetch) => fetch.resume(now, from),
            None => Fetch::new(now, from, number),
        };
        self.send(from, fetch.request());
        self.fetch = Some(fetch);
    }

    fn handle_chunk(&mut self, now: Instant, from: SocketAddr, chunk: &CatalogMessage) {
        let Some(fetch) = &mut self.fetch else { return };
        match fetch.handle_chunk(now, from, chunk) {
            FetchProgress::Ignored => {}
            FetchProgress::TooLong => self.handle_rejected(),
            FetchProgress::Incomplete => {
                let request = fetch.request();
                self.send(from, request);
            }
            FetchProgress::Complete(text) => {
                let number = fetch.number;
                self.updates.push_back(CatalogUpdate { number, text });
            }
        }
    }

    /// Repeats the request of a chunk that did not arrive in time, and ends a fetch whose retries are exhausted.
    pub(crate) fn handle_timeout(&mut self, now: Instant) {
        let is_due = self.poll_timeout().is_some_and(|retry_at| retry_at <= now);
        // A peer may announce an update that no peer can send. While an update is missing, clients are rejected and no
        // later update is fetched, so the host gives up the fetch and discards the announcement.
        if self.fetch.as_ref().is_some_and(Fetch::is_exhausted) {
            self.fetch = None;
            self.announced = Announced { number: self.newest.number, deadline: now };
        }
        if let Some(fetch) = self.fetch.as_mut().filter(|_| is_due) {
            fetch.retry(now);
            let (from, request) = (fetch.from, fetch.request());
            self.send(from, request);
        }
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) is due next, or `None` if no request is pending.
    pub(crate) fn poll_timeout(&self) -> Option<Instant> {
        self.fetch.as_ref().and_then(Fetch::retry_at)
    }

    /// Returns the next event, or `None` when all have been polled.
    pub(crate) fn poll_event(&mut self) -> Option<CatalogEvent> {
        self.updates.pop_front().map(CatalogEvent::Update).or_else(|| self.fork.take())
    }

    /// Returns the next message to send, or `None` when all have been polled.
    pub(crate) fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }

    fn send(&mut self, to: SocketAddr, message: CatalogMessage) {
        self.transmits.push_back(Transmit::to_address(to, Body::Catalog(message)));
    }
}
