//! Replication of the service rates of shards. Hosts of the platform have no disk, so a host stores the service rate of each shard
//! at three peers, periodically and when it shuts down, and its next generation fetches the rates back. This does not increase the
//! sum of the rates that all hosts remember, so the bound on warming-up nodes holds (docs/design.md). Datagrams may be late,
//! duplicated or lost; a host that gets no rates back starts without them. This module performs no I/O.

mod datagram;

pub(crate) use datagram::MAX_DATAGRAM_BYTES;

use datagram::{encode_fetch, encode_restore, encode_stores, parse_rates, Header, Kind};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tackmast::interface::{Instant, ShardId, TimeDelta};

/// Number of peers that store the rates of one host. They are evenly spaced in the order of hosts, as neighbours restart together.
const REPLICAS: usize = 3;
/// Time between replications.
const REPLICATION_INTERVAL: TimeDelta = TimeDelta::from_millis(5000);
/// Time for which the rates of a peer are stored; older rates no longer describe the shards.
const STORED_RATE_RETENTION: TimeDelta = TimeDelta::from_millis(30_000);
/// Times after the start at which a new generation fetches its rates, until it has an answer.
const FETCH_TIMES: [TimeDelta; 3] =
    [TimeDelta::from_millis(0), TimeDelta::from_millis(300), TimeDelta::from_millis(1000)];

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Datagram {
    /// The peer to which the datagram is sent.
    pub to: SocketAddr,
    /// The payload, at most [`MAX_DATAGRAM_BYTES`] long.
    pub bytes: Vec<u8>,
}

/// A datagram that this host stores for a peer.
struct Stored {
    /// When the datagram was received.
    at: Instant,
    bytes: Vec<u8>,
}

/// The service rates that this host replicates to its peers, and the datagrams that it stores for them.
pub(crate) struct ServiceRateReplication {
    /// The number of this host, an index into `peers`.
    host_number: usize,
    /// The addresses of all hosts, by their numbers.
    peers: Vec<SocketAddr>,
    started_at: Instant,
    next_replication: Instant,
    fetches_sent: usize,
    /// Whether this generation has sent rates to its peers. Rates that are restored from then on may be its own, and would count twice.
    has_replicated: bool,
    /// Stored datagrams, by peer and number of the datagram.
    stored: BTreeMap<(usize, u8), Stored>,
    /// Restored rates that were not polled yet, by number of the datagram.
    restored: BTreeMap<u8, Vec<(ShardId, f64)>>,
    /// Shards that were restored. A shard may be in an older datagram of one peer and in a newer one of another.
    restored_shards: BTreeSet<ShardId>,
    /// Number of datagrams that were malformed, unsolicited, or not from a peer.
    pub rejected_datagrams: u64,
}

impl ServiceRateReplication {
    /// Creates the replication of a host. `peers` are the addresses of all hosts by their numbers; `host_number` is that of this host.
    pub(crate) fn new(now: Instant, host_number: usize, peers: Vec<SocketAddr>) -> Self {
        // Hosts start together; the offset by host number keeps them from replicating at the same moment.
        let intervals = 1.0 + host_number as f64 / peers.len().max(1) as f64;
        let first = TimeDelta::from_secs(REPLICATION_INTERVAL.secs() * intervals);
        ServiceRateReplication {
            host_number,
            peers,
            started_at: now,
            next_replication: now + first,
            fetches_sent: 0,
            has_replicated: false,
            stored: BTreeMap::new(),
            restored: BTreeMap::new(),
            restored_shards: BTreeSet::new(),
            rejected_datagrams: 0,
        }
    }

    fn replica_addresses(&self) -> Vec<SocketAddr> {
        let peer_count = self.peers.len();
        let replica =
            |index: usize| (self.host_number + index * peer_count / (REPLICAS + 1)) % peer_count.max(1);
        let mut replicas: Vec<usize> = (1..=REPLICAS).map(replica).collect();
        replicas.retain(|peer| *peer != self.host_number);
        replicas.dedup();
        replicas.into_iter().filter_map(|peer| self.peers.get(peer).copied()).collect()
    }

    /// Returns the datagrams that are due now. `rates` gives the service rate of each shard, in units a second.
    pub(crate) fn handle_timeout(
        &mut self,
        now: Instant,
        rates: impl FnOnce() -> Vec<(ShardId, f64)>,
    ) -> Vec<Datagram> {
        let mut due = Vec::new();
        let fetch_at = FETCH_TIMES.get(self.fetches_sent);
        let fetch_is_due = fetch_at.is_some_and(|after| now - self.started_at >= *after);
        if fetch_is_due && self.restored.is_empty() && !self.has_replicated {
            self.fetches_sent += 1;
            let fetch = |to| Datagram { to, bytes: encode_fetch() };
            due.extend(self.replica_addresses().into_iter().map(fetch));
        }
        if now >= self.next_replication {
            self.next_replication = now + REPLICATION_INTERVAL;
            due.extend(self.replicate(rates()));
        }
        due
    }

    /// Returns the datagrams that store the rates, in units a second, at each replica.
    pub(crate) fn replicate(&mut self, rates: Vec<(ShardId, f64)>) -> Vec<Datagram> {
        self.has_replicated = true;
        let datagrams = encode_stores(rates);
        let to_replica = |to| datagrams.iter().map(move |bytes| Datagram { to, bytes: bytes.clone() });
        self.replica_addresses().into_iter().flat_map(to_replica).collect()
    }

    /// Handles a received datagram and returns the answers to it.
    pub(crate) fn handle_datagram(&mut self, now: Instant, from: SocketAddr, bytes: &[u8]) -> Vec<Datagram> {
        let peer = self.peers.iter().position(|address| *address == from);
        let (Some(peer), Some(Header { kind, number })) = (peer, Header::parse(bytes)) else {
            self.rejected_datagrams += 1;
            return Vec::new();
        };
        match kind {
            // Bounded by the number of peers and the number of datagrams of each.
            Kind::Store => {
                self.stored.insert((peer, number), Stored { at: now, bytes: bytes.to_vec() });
            }
            Kind::Fetch => return self.stored_for(now, peer, from),
            // Accepted only from peers that were asked, and once for each datagram: a duplicate would count twice.
            Kind::Restore if self.awaits_restore(from, number) => self.restore(number, bytes),
            Kind::Restore => self.rejected_datagrams += 1,
        }
        Vec::new()
    }

    fn stored_for(&mut self, now: Instant, peer: usize, to: SocketAddr) -> Vec<Datagram> {
        self.stored.retain(|_, stored| now - stored.at < STORED_RATE_RETENTION);
        let of_peer = self.stored.range((peer, 0)..=(peer, u8::MAX));
        of_peer.map(|(_, stored)| Datagram { to, bytes: encode_restore(&stored.bytes) }).collect()
    }

    fn awaits_restore(&self, from: SocketAddr, number: u8) -> bool {
        !self.has_replicated
            && self.fetches_sent > 0
            && self.replica_addresses().contains(&from)
            && !self.restored.contains_key(&number)
    }

    fn restore(&mut self, number: u8, bytes: &[u8]) {
        let seen = &mut self.restored_shards;
        let unseen = parse_rates(bytes).filter(|(shard, _)| seen.insert(*shard));
        self.restored.insert(number, unseen.collect());
    }

    /// Returns the rates of an earlier generation that were restored since the last call, in units a second; each shard once.
    pub(crate) fn poll_restored(&mut self) -> Vec<(ShardId, f64)> {
        self.restored.values_mut().flat_map(std::mem::take).collect()
    }
}

#[cfg(test)]
mod tests;
