//! Replication of the service rates of shards. Hosts of the platform have no disk, so a host stores the service rate of each shard
//! at three peers at an interval and when it shuts down, and its next generation fetches them back. The sum of the rates that all
//! hosts remember does not grow by that, so the bound on warming-up nodes holds (docs/design.md). Datagrams may be late, duplicated or
//! lost; a host that fetches nothing starts without rates. No I/O.

mod datagram;

pub(crate) use datagram::MAX_DATAGRAM_BYTES;

use datagram::{encode_fetch, encode_restore, encode_stores, parse_rates, Header, Kind};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tackmast::interface::{Instant, ShardId, TimeDelta};

/// Peers that store the rates of one host. They are evenly apart in the order of hosts, as neighbours are restarted together.
const REPLICAS: usize = 3;
/// Interval between replications.
const REPLICATION_INTERVAL: TimeDelta = TimeDelta::from_millis(5000);
/// How long the rates of a peer are stored for it: older ones no longer describe the shards.
const STORED_RATE_RETENTION: TimeDelta = TimeDelta::from_millis(30_000);
/// When a new generation fetches, after its start, until it has an answer.
const FETCH_TIMES: [TimeDelta; 3] =
    [TimeDelta::from_millis(0), TimeDelta::from_millis(300), TimeDelta::from_millis(1000)];

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Datagram {
    /// The peer that it is for.
    pub to: SocketAddr,
    /// At most [`MAX_DATAGRAM_BYTES`].
    pub bytes: Vec<u8>,
}

/// A datagram that this host stores for a peer.
struct Stored {
    /// When it was received.
    at: Instant,
    bytes: Vec<u8>,
}

/// The service rates that this host stores at its peers, and those that it stores for them.
pub(crate) struct ServiceRateReplication {
    /// This host's number.
    host_number: usize,
    /// All hosts by their numbers.
    peers: Vec<SocketAddr>,
    started_at: Instant,
    next_replication: Instant,
    fetches_sent: usize,
    /// This generation has stored rates at its peers. Rates that are restored from then on may be its own, and would count twice.
    has_replicated: bool,
    /// By peer and number of the datagram.
    stored: BTreeMap<(usize, u8), Stored>,
    /// By number of the datagram.
    restored: BTreeMap<u8, Vec<(ShardId, f64)>>,
    /// Shards that were restored: a shard may be in an older datagram of one peer and a newer one of another.
    restored_shards: BTreeSet<ShardId>,
    /// Datagrams that were malformed, from no peer, or not asked for.
    pub rejected_datagrams: u64,
}

impl ServiceRateReplication {
    /// `peers` are all hosts by their numbers, `host_number` is that of this host.
    pub(crate) fn new(now: Instant, host_number: usize, peers: Vec<SocketAddr>) -> Self {
        // Peers start together, and would otherwise all replicate at the same moment.
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

    /// Datagrams that are due now. `rates`: units a second of each shard.
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

    /// Stores the rates, in units a second, at each replica.
    pub(crate) fn replicate(&mut self, rates: Vec<(ShardId, f64)>) -> Vec<Datagram> {
        self.has_replicated = true;
        let datagrams = encode_stores(rates);
        let to_replica = |to| datagrams.iter().map(move |bytes| Datagram { to, bytes: bytes.clone() });
        self.replica_addresses().into_iter().flat_map(to_replica).collect()
    }

    /// Takes in a datagram; gives the answers to it.
    pub(crate) fn handle_datagram(&mut self, now: Instant, from: SocketAddr, bytes: &[u8]) -> Vec<Datagram> {
        let peer = self.peers.iter().position(|address| *address == from);
        let (Some(peer), Some(Header { kind, number })) = (peer, Header::parse(bytes)) else {
            self.rejected_datagrams += 1;
            return Vec::new();
        };
        match kind {
            // Bounded by the number of peers and the datagrams of each.
            Kind::Store => {
                self.stored.insert((peer, number), Stored { at: now, bytes: bytes.to_vec() });
            }
            Kind::Fetch => return self.stored_for(now, peer, from),
            // Only from peers that were asked, and each datagram once: a duplicate would count twice.
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

    /// Rates of an earlier generation that were restored since the last poll, in units a second; each shard once.
    pub(crate) fn poll_restored(&mut self) -> Vec<(ShardId, f64)> {
        self.restored.values_mut().flat_map(std::mem::take).collect()
    }
}

#[cfg(test)]
mod tests;
