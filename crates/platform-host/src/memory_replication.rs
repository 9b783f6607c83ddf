//! Replication of what a host remembers of its shards: hosts of the platform have no disk, so a host stores the service rate
//! of each shard at three peers now and then, and when it shuts down; its next generation fetches it back. The sum of what all
//! hosts remember stays what it was, so the bound on warming-up nodes holds as before (docs/design.md). Datagrams may be late,
//! duplicated or lost: then a host starts without. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tackmast::interface::{Instant, ShardId, TimeDelta};

/// Maximum size of a datagram in bytes, by the platform.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Two bytes of magic, the kind, the number of the datagram, and how many there are.
const HEADER_BYTES: usize = 5;
/// Shard, and the upper half of its rate as a 32-bit float.
const ENTRY_BYTES: usize = 4;
const ENTRIES_PER_DATAGRAM: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / ENTRY_BYTES;
/// Datagrams that hold the memory of one host: shards beyond are left out, those with the lowest rates first.
const MAX_DATAGRAMS: usize = 8;
/// Peers that store the memory of one host, evenly apart in the order of hosts, as neighbours are restarted together.
const REPLICAS: usize = 3;
/// Interval between replications, in seconds.
const REPLICATION_INTERVAL: f64 = 5.0;
/// Age in seconds after which stored memory says nothing any more.
const RETENTION: f64 = 30.0;
/// Seconds after its start at which a new generation fetches, until it has an answer.
const FETCH_TIMES: [f64; 3] = [0.0, 0.3, 1.0];

const MAGIC: [u8; 2] = *b"tk";
const STORE: u8 = 1;
const FETCH: u8 = 2;
const RESTORE: u8 = 3;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The peer that it is for.
    pub to: SocketAddr,
    /// At most [`MAX_DATAGRAM_BYTES`].
    pub bytes: Vec<u8>,
}

/// A datagram that this host stores for a peer.
struct Stored {
    at: Instant,
    bytes: Vec<u8>,
}

/// What this host stores at its peers and for them.
pub struct MemoryReplication {
    me: usize,
    peers: Vec<SocketAddr>,
    started_at: Instant,
    next_replication: Instant,
    fetches_sent: usize,
    /// It has stored something: what is restored from now on may be its own, and would count twice.
    handed_off: bool,
    /// By peer and number of the datagram.
    stored: BTreeMap<(usize, u8), Stored>,
    /// By number of the datagram.
    restored: BTreeMap<u8, Vec<(ShardId, f64)>>,
    /// Shards that were restored: one may stand in an older datagram of one peer and a newer one of another.
    restored_shards: BTreeSet<ShardId>,
    /// Datagrams that were malformed, from no peer, or not asked for.
    pub rejected_datagrams: u64,
}

impl MemoryReplication {
    /// `peers` are all hosts by their numbers, `me` one of them.
    pub fn new(now: Instant, me: usize, peers: Vec<SocketAddr>) -> Self {
        // Not all at one moment: peers start together.
        let first = REPLICATION_INTERVAL * (1.0 + me as f64 / peers.len().max(1) as f64);
        MemoryReplication {
            me,
            peers,
            started_at: now,
            next_replication: now + TimeDelta::from_secs(first),
            fetches_sent: 0,
            handed_off: false,
            stored: BTreeMap::new(),
            restored: BTreeMap::new(),
            restored_shards: BTreeSet::new(),
            rejected_datagrams: 0,
        }
    }

    fn replica_addresses(&self) -> Vec<SocketAddr> {
        let n = self.peers.len();
        let mut all: Vec<usize> =
            (1..=REPLICAS).map(|k| (self.me + k * n / (REPLICAS + 1)) % n.max(1)).collect();
        all.retain(|i| *i != self.me);
        all.dedup();
        all.into_iter().filter_map(|i| self.peers.get(i).copied()).collect()
    }

    /// Datagrams that are due now. `rates`: units a second of each shard.
    pub fn handle_timeout(
        &mut self,
        now: Instant,
        rates: impl FnOnce() -> Vec<(ShardId, f64)>,
    ) -> Vec<Datagram> {
        let mut due = Vec::new();
        let fetch_at = FETCH_TIMES.get(self.fetches_sent);
        let fetch_is_due = fetch_at.is_some_and(|t| (now - self.started_at).secs() >= *t);
        if fetch_is_due && self.restored.is_empty() && !self.handed_off {
            self.fetches_sent += 1;
            let fetch = |to| Datagram { to, bytes: header(FETCH, 0, 1) };
            due.extend(self.replica_addresses().into_iter().map(fetch));
        }
        if now >= self.next_replication {
            self.next_replication = now + TimeDelta::from_secs(REPLICATION_INTERVAL);
            due.extend(self.hand_off(rates()));
        }
        due
    }

    /// Stores the rates, in units a second, at each replica.
    pub fn hand_off(&mut self, mut rates: Vec<(ShardId, f64)>) -> Vec<Datagram> {
        self.handed_off = true;
        rates.retain(|(s, rate)| s.0 <= u32::from(u16::MAX) && rate.is_finite() && *rate > 0.0);
        rates.sort_by(|a, b| b.1.total_cmp(&a.1));
        rates.truncate(ENTRIES_PER_DATAGRAM * MAX_DATAGRAMS);
        let count = rates.len().div_ceil(ENTRIES_PER_DATAGRAM) as u8;
        let chunks = rates.chunks(ENTRIES_PER_DATAGRAM).enumerate();
        let datagrams: Vec<Vec<u8>> = chunks.map(|(i, entries)| encode(i as u8, count, entries)).collect();
        let to_replica = |to| datagrams.iter().map(move |bytes| Datagram { to, bytes: bytes.clone() });
        self.replica_addresses().into_iter().flat_map(to_replica).collect()
    }

    /// Takes in a datagram; gives the answers to it.
    pub fn handle_datagram(&mut self, now: Instant, from: SocketAddr, bytes: &[u8]) -> Vec<Datagram> {
        let Some((peer, kind, number)) = self.parse_header(from, bytes) else {
            self.rejected_datagrams += 1;
            return Vec::new();
        };
        match kind {
            // Bounded by the number of peers and the datagrams of each.
            STORE => {
                self.stored.insert((peer, number), Stored { at: now, bytes: bytes.to_vec() });
            }
            FETCH => return self.stored_for(now, peer, from),
            // Only from those that were asked, each datagram once: a duplicate must not count twice.
            RESTORE if self.awaits_restore(from, number) => self.restore(number, &bytes[HEADER_BYTES..]),
            _ => self.rejected_datagrams += 1,
        }
        Vec::new()
    }

    /// Peer, kind and number of a datagram.
    fn parse_header(&self, from: SocketAddr, bytes: &[u8]) -> Option<(usize, u8, u8)> {
        let peer = self.peers.iter().position(|p| *p == from)?;
        let [first, second, kind, number, _] = bytes.first_chunk::<HEADER_BYTES>()?;
        let is_valid = [*first, *second] == MAGIC
            && bytes.len() <= MAX_DATAGRAM_BYTES
            && usize::from(*number) < MAX_DATAGRAMS;
        is_valid.then_some((peer, *kind, *number))
    }

    fn stored_for(&mut self, now: Instant, peer: usize, to: SocketAddr) -> Vec<Datagram> {
        self.stored.retain(|_, stored| (now - stored.at).secs() < RETENTION);
        let of_peer = self.stored.range((peer, 0)..=(peer, u8::MAX));
        let answers = of_peer.map(|(_, stored)| {
            let mut bytes = stored.bytes.clone();
            bytes[MAGIC.len()] = RESTORE;
            Datagram { to, bytes }
        });
        answers.collect()
    }

    fn awaits_restore(&self, from: SocketAddr, number: u8) -> bool {
        !self.handed_off
            && self.fetches_sent > 0
            && self.replica_addresses().contains(&from)
            && !self.restored.contains_key(&number)
    }

    fn restore(&mut self, number: u8, entries: &[u8]) {
        let entries = entries.chunks_exact(ENTRY_BYTES).filter_map(|e| {
            let rate = f64::from(f32::from_be_bytes([e[2], e[3], 0, 0]));
            let shard = ShardId(u32::from(u16::from_be_bytes([e[0], e[1]])));
            (rate.is_finite() && rate > 0.0).then_some((shard, rate))
        });
        let seen = &mut self.restored_shards;
        self.restored.insert(number, entries.filter(|(shard, _)| seen.insert(*shard)).collect());
    }

    /// Rates of an earlier generation that were restored since the last poll, in units a second; each shard once.
    pub fn poll_restored(&mut self) -> Vec<(ShardId, f64)> {
        self.restored.values_mut().flat_map(std::mem::take).collect()
    }
}

fn header(kind: u8, number: u8, count: u8) -> Vec<u8> {
    vec![MAGIC[0], MAGIC[1], kind, number, count]
}

fn encode(number: u8, count: u8, entries: &[(ShardId, f64)]) -> Vec<u8> {
    let mut bytes = header(STORE, number, count);
    for (shard, rate) in entries {
        bytes.extend((shard.0 as u16).to_be_bytes());
        // The upper half of a float: rounded down to three digits, never up.
        bytes.extend(&(*rate as f32).to_be_bytes()[..2]);
    }
    bytes
}

#[cfg(test)]
mod tests;
