//! What a host remembers of its shards, left with a few others over its restarts: hosts of the platform have no disk. A host
//! tells three others now and then what each shard did for it, and when it ends; its next generation asks them for it. The sum of
//! what all hosts remember stays what it was, so nothing new has to be argued about cold nodes (docs/design.md). Datagrams
//! may be late, doubled or lost: then a host starts without, as ever. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tackmast::interface::{Instant, ShardId, TimeDelta};

/// Bytes of one datagram, at most, by the platform.
pub const MAX: usize = 256;
const HEAD: usize = 5;
const ENTRY: usize = 4;
const A_PIECE: usize = (MAX - HEAD) / ENTRY;
/// Datagrams of one host, at most: shards beyond are left out, those that did least first.
const PIECES: usize = 8;
/// Hosts that keep what one host remembers, evenly apart in the order of hosts, as neighbours are restarted together.
const KEEPERS: usize = 3;
const EVERY: f64 = 5.0; // seconds
/// What was left longer ago says nothing any more.
const KEPT: f64 = 30.0; // seconds
/// A new generation asks at these times, until it has an answer.
const ASKS: [f64; 3] = [0.0, 0.3, 1.0]; // seconds

const KEEP: u8 = 1;
const ASK: u8 = 2;
const BACK: u8 = 3;

type Send = (SocketAddr, Vec<u8>);

pub struct Keepers {
    me: usize,
    peers: Vec<SocketAddr>,
    born: Instant,
    next: Instant,
    asked: usize,
    /// It has left something: what comes back from now on may be its own, and would count twice.
    left: bool,
    kept: BTreeMap<(usize, u8), (Instant, Vec<u8>)>,
    back: BTreeMap<u8, Vec<(ShardId, f64)>>,
    /// Shards that came back: one may stand in an older piece of one keeper and a newer one of another.
    known: BTreeSet<ShardId>,
    pub strangers: u64,
}

impl Keepers {
    /// `peers` are all hosts by their numbers, `me` one of them.
    pub fn new(now: Instant, me: usize, peers: Vec<SocketAddr>) -> Self {
        // Not all at one moment: peers start together.
        let first = EVERY * (1.0 + me as f64 / peers.len().max(1) as f64);
        Keepers {
            me,
            peers,
            born: now,
            next: now + TimeDelta::from_secs(first),
            asked: 0,
            left: false,
            kept: BTreeMap::new(),
            back: BTreeMap::new(),
            known: BTreeSet::new(),
            strangers: 0,
        }
    }

    fn keepers(&self) -> Vec<SocketAddr> {
        let n = self.peers.len();
        let mut all: Vec<usize> =
            (1..=KEEPERS).map(|k| (self.me + k * n / (KEEPERS + 1)) % n.max(1)).collect();
        all.retain(|i| *i != self.me);
        all.dedup();
        all.into_iter().filter_map(|i| self.peers.get(i).copied()).collect()
    }

    /// What is to be sent now. `paces`: units a second of each shard.
    pub fn tick(&mut self, now: Instant, paces: impl FnOnce() -> Vec<(ShardId, f64)>) -> Vec<Send> {
        let mut all = Vec::new();
        let due = ASKS.get(self.asked).is_some_and(|t| (now - self.born).secs() >= *t);
        if due && self.back.is_empty() && !self.left {
            self.asked += 1;
            all.extend(self.keepers().into_iter().map(|to| (to, vec![b't', b'k', ASK, 0, 1])));
        }
        if now >= self.next {
            self.next = now + TimeDelta::from_secs(EVERY);
            all.extend(self.leave(paces()));
        }
        all
    }

    /// What this host remembers, for each of its keepers.
    pub fn leave(&mut self, mut paces: Vec<(ShardId, f64)>) -> Vec<Send> {
        self.left = true;
        paces.retain(|(s, rate)| s.0 <= u32::from(u16::MAX) && rate.is_finite() && *rate > 0.0);
        paces.sort_by(|a, b| b.1.total_cmp(&a.1));
        paces.truncate(A_PIECE * PIECES);
        let pieces: Vec<Vec<u8>> = paces
            .chunks(A_PIECE)
            .enumerate()
            .map(|(i, some)| {
                let mut bytes = vec![b't', b'k', KEEP, i as u8, paces.len().div_ceil(A_PIECE) as u8];
                for (shard, rate) in some {
                    bytes.extend((shard.0 as u16).to_be_bytes());
                    // The upper half of a float: rounded down to three digits, never up.
                    bytes.extend(&(*rate as f32).to_be_bytes()[..2]);
                }
                bytes
            })
            .collect();
        let to = self.keepers();
        to.iter().flat_map(|to| pieces.iter().map(move |p| (*to, p.clone()))).collect()
    }

    /// A datagram came; what is to be sent for it.
    pub fn heard(&mut self, now: Instant, from: SocketAddr, bytes: &[u8]) -> Vec<Send> {
        let whom = self.peers.iter().position(|p| *p == from);
        let (Some(whom), Some([b't', b'k', kind, piece, _])) = (whom, bytes.first_chunk::<HEAD>()) else {
            self.strangers += 1;
            return Vec::new();
        };
        if bytes.len() > MAX || usize::from(*piece) >= PIECES {
            self.strangers += 1;
            return Vec::new();
        }
        match *kind {
            // Bounded by the hosts there are and the pieces of each.
            KEEP => _ = self.kept.insert((whom, *piece), (now, bytes.to_vec())),
            ASK => {
                self.kept.retain(|_, (at, _)| (now - *at).secs() < KEPT);
                let of = self.kept.range((whom, 0)..=(whom, u8::MAX));
                let back = of.map(|(_, (_, bytes))| {
                    let mut bytes = bytes.clone();
                    bytes[2] = BACK;
                    (from, bytes)
                });
                return back.collect();
            }
            // Only of those who were asked, each piece once: a doubled one must not count twice.
            BACK if !self.left
                && self.asked > 0
                && self.keepers().contains(&from)
                && !self.back.contains_key(piece) =>
            {
                let entries = bytes[HEAD..].chunks_exact(ENTRY).filter_map(|e| {
                    let rate = f64::from(f32::from_be_bytes([e[2], e[3], 0, 0]));
                    let shard = ShardId(u32::from(u16::from_be_bytes([e[0], e[1]])));
                    (rate.is_finite() && rate > 0.0).then_some((shard, rate))
                });
                let known = &mut self.known;
                self.back.insert(*piece, entries.filter(|(shard, _)| known.insert(*shard)).collect());
            }
            _ => self.strangers += 1,
        }
        Vec::new()
    }

    /// What came back of an earlier generation, each shard once.
    pub fn take_back(&mut self) -> Vec<(ShardId, f64)> {
        self.back.values_mut().flat_map(std::mem::take).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: f64) -> Instant {
        Instant::from_secs(s)
    }

    fn peers(n: u16) -> Vec<SocketAddr> {
        (0..n).map(|i| SocketAddr::from(([127, 0, 0, 1], 1000 + i))).collect()
    }

    #[test]
    fn a_new_generation_gets_what_the_one_before_left_and_nothing_twice() {
        // Hosts, shards that are remembered, seconds between the generations; shards that come back.
        for (n, shards, away, back) in [
            (8, 3, 4.0, 3),
            (8, 300, 4.0, 300),
            (8, 900, 4.0, 496),
            (8, 3, 40.0, 0),
            (1, 3, 4.0, 0),
            (2, 3, 4.0, 3),
        ] {
            let all = peers(n);
            let mut hosts: Vec<Keepers> =
                (0..n).map(|i| Keepers::new(at(0.0), usize::from(i), all.clone())).collect();
            let paces: Vec<_> = (0..shards).map(|s| (ShardId(s), 1.0 + f64::from(s) / 7.0)).collect();
            let index = |a: &SocketAddr| usize::from(a.port() - 1000);
            for (to, bytes) in hosts[0].leave(paces.clone()) {
                assert!(bytes.len() <= MAX);
                hosts[index(&to)].heard(at(1.0), all[0], &bytes);
            }
            hosts[0] = Keepers::new(at(1.0 + away), 0, all.clone());
            let asks = hosts[0].tick(at(1.0 + away), Vec::new);
            for (to, bytes) in asks {
                for (_, answer) in hosts[index(&to)].heard(at(1.0 + away), all[0], &bytes) {
                    // Each datagram twice.
                    for _ in 0..2 {
                        hosts[0].heard(at(1.1 + away), to, &answer);
                    }
                }
            }
            let mut found = hosts[0].take_back();
            found.sort_by_key(|f| f.0);
            assert_eq!(found.len(), back, "{n} hosts, {shards} shards, {away} s");
            for (shard, rate) in &found {
                let left = paces[shard.0 as usize].1;
                assert!(*rate <= left && *rate > left * 0.99, "{shard:?}: {rate} of {left}");
            }
            assert!(hosts[0].take_back().is_empty());
        }
    }

    #[test]
    fn what_is_no_word_of_a_peer_changes_nothing() {
        let all = peers(4);
        let mut k = Keepers::new(at(0.0), 0, all.clone());
        let outside: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let good = vec![b't', b'k', KEEP, 0, 1, 0, 7, 0x40, 0];
        for (from, bytes) in [
            (outside, good.clone()),
            (all[1], vec![]),
            (all[1], vec![b'x'; 300]),
            (all[1], vec![b't', b'k', 9, 0, 1]),
            (all[1], vec![b't', b'k', KEEP, 200, 1]),
            // An answer that was not asked for.
            (all[1], vec![b't', b'k', BACK, 0, 1, 0, 7, 0x40, 0]),
        ] {
            assert!(k.heard(at(0.1), from, &bytes).is_empty(), "{bytes:?}");
        }
        assert_eq!((k.strangers, k.kept.len(), k.take_back().len()), (6, 0, 0));
        // Lost asks are said again, three times at most, and each five seconds there is something to leave.
        let sent: usize =
            (0..60).map(|i| k.tick(at(f64::from(i) * 0.1), || vec![(ShardId(1), 2.0)]).len()).sum();
        assert_eq!(sent, 3 * 3 + 3, "asks to three keepers, and one round of leaving");
        // A number that none of the peers has, and no peers at all.
        for (me, n) in [(3, 0), (9, 4), (0, 1)] {
            let mut odd = Keepers::new(at(0.0), me, peers(n));
            let sent = odd.tick(at(9.0 * 9.0), || vec![(ShardId(1), 2.0)]).len();
            assert!(sent == 0 || n > 1, "{me} of {n}: {sent}");
        }
        // What comes back after that may be its own.
        let back = [b't', b'k', BACK, 0, 1, 0, 7, 0x7f, 0x80, 0, 8, 0xc0, 0, 0, 9, 0x40, 0];
        k.heard(at(6.2), all[1], &back);
        assert!(k.take_back().is_empty());
        // Rates that are none are left out.
        let mut k = Keepers::new(at(0.0), 0, all.clone());
        k.tick(at(0.1), Vec::new);
        k.heard(at(0.2), all[1], &back);
        assert_eq!(k.take_back(), [(ShardId(9), 2.0)]);
        // Another keeper's older piece, in which the same shard stands once more: it must not count twice.
        k.heard(at(0.3), all[2], &[b't', b'k', BACK, 1, 2, 0, 9, 0x40, 0, 0, 5, 0x40, 0]);
        assert_eq!(k.take_back(), [(ShardId(5), 2.0)]);
    }
}
