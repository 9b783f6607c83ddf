//! Words that are longer than a datagram, in pieces: the first is sent, each further one is asked for by whoever gets it, so
//! that none floods a slow receiver and one that gets lost is asked for again.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::agree::MAX_WORD;
use tackmast_wire::peer::{Body, MAX_PIECE};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParcelsSettings {
    /// A piece that has not come within this is asked for again.
    pub again: TimeDelta,
}

/// Parcels that are kept for those who ask for pieces, and bytes of them; the oldest go first.
const KEPT: usize = 64;
const KEPT_BYTES: usize = 64 << 20;
/// Parcels that are gathered at a time, one for each sender; the one that waits longest goes first.
const GATHERED: usize = 64;
/// Pieces that are asked for ahead, and how often one is asked for again.
const AHEAD: u16 = 8;
const TRIES: u32 = 30;

struct Gathering {
    from: SocketAddr,
    number: u32,
    pieces: u16,
    got: Vec<Option<Bytes>>,
    have: u16,
    bytes: usize,
    asked: u16,
    at: Instant,
    tries: u32,
}

pub struct Parcels {
    settings: ParcelsSettings,
    number: u32,
    kept: VecDeque<(u32, Bytes)>,
    gathering: Vec<Gathering>,
    says: VecDeque<(SocketAddr, Body)>,
    pub lost: u64,
}

impl Parcels {
    /// `first`: parcels are numbered from there, so that a new generation's are not taken for an earlier one's.
    pub fn new(settings: ParcelsSettings, first: u32) -> Parcels {
        Parcels {
            settings,
            number: first,
            kept: VecDeque::new(),
            gathering: Vec::new(),
            says: VecDeque::new(),
            lost: 0,
        }
    }

    /// A word for that place: as it is where it fits a datagram.
    pub fn send(&mut self, to: SocketAddr, word: Bytes) {
        if word.len() <= MAX_PIECE {
            return self.says.push_back((to, Body::Consensus { bytes: word }));
        }
        if word.len() > MAX_WORD {
            self.lost += 1;
            return;
        }
        // The same word for several keeps one number, and one that is repeated goes on where it was.
        let number = match self.kept.iter().find(|(_, w)| *w == word) {
            Some((n, _)) => *n,
            None => {
                self.number = self.number.wrapping_add(1);
                self.kept.push_back((self.number, word));
                self.number
            }
        };
        let bytes = |kept: &VecDeque<(u32, Bytes)>| kept.iter().map(|(_, w)| w.len()).sum::<usize>();
        while self.kept.len() > KEPT || (bytes(&self.kept) > KEPT_BYTES && self.kept.len() > 1) {
            self.kept.pop_front();
        }
        self.piece(to, number, 0);
    }

    fn piece(&mut self, to: SocketAddr, number: u32, piece: u16) {
        let Some((_, word)) = self.kept.iter().find(|(n, _)| *n == number) else { return };
        let first = usize::from(piece) * MAX_PIECE;
        if first >= word.len() {
            return;
        }
        let pieces = word.len().div_ceil(MAX_PIECE) as u16;
        let bytes = word.slice(first..word.len().min(first + MAX_PIECE));
        self.says.push_back((to, Body::ConsensusChunk { number, pieces, piece, bytes }));
    }

    pub fn wanted(&mut self, from: SocketAddr, number: u32, piece: u16) {
        self.piece(from, number, piece);
    }

    /// A piece has come; the word, once it is whole.
    pub fn came(
        &mut self,
        now: Instant,
        from: SocketAddr,
        number: u32,
        pieces: u16,
        piece: u16,
        bytes: Bytes,
    ) -> Option<Bytes> {
        if usize::from(pieces) > MAX_WORD.div_ceil(MAX_PIECE) || piece >= pieces {
            return None;
        }
        let at = self.gathering.iter().position(|g| g.from == from);
        // One word of a sender at a time: the newest is what counts.
        let at = match at {
            Some(i) if self.gathering[i].number == number && self.gathering[i].pieces == pieces => i,
            Some(i) if piece == 0 && self.gathering[i].number != number => {
                // A word that is under way goes on; a newer one waits until that is through or given up.
                if self.gathering[i].tries < 2 && self.gathering[i].have * 2 > self.gathering[i].pieces {
                    return None;
                }
                self.gathering.remove(i);
                self.begin(now, from, number, pieces)
            }
            None if piece == 0 => self.begin(now, from, number, pieces),
            _ => return None,
        };
        let g = self.gathering.get_mut(at)?;
        let slot = g.got.get_mut(usize::from(piece))?;
        if slot.is_none() {
            g.have += 1;
            g.bytes += bytes.len();
            *slot = Some(bytes);
            (g.at, g.tries) = (now, 0);
        }
        if g.have < g.pieces {
            let upto = (g.have + AHEAD).min(g.pieces);
            let (first, number) = (g.asked.max(1), g.number);
            g.asked = upto;
            for piece in first..upto {
                self.says.push_back((from, Body::ConsensusChunkRequest { number, piece }));
            }
            return None;
        }
        let g = self.gathering.remove(at);
        let mut word = BytesMut::with_capacity(g.bytes);
        g.got.into_iter().flatten().for_each(|b| word.extend_from_slice(&b));
        Some(word.freeze())
    }

    fn begin(&mut self, now: Instant, from: SocketAddr, number: u32, pieces: u16) -> usize {
        if self.gathering.len() >= GATHERED {
            let oldest = (0..self.gathering.len()).min_by_key(|i| self.gathering[*i].at);
            oldest.into_iter().for_each(|i| _ = self.gathering.remove(i));
            self.lost += 1;
        }
        let got = vec![None; usize::from(pieces)];
        let new = Gathering { from, number, pieces, got, have: 0, bytes: 0, asked: 0, at: now, tries: 0 };
        self.gathering.push(new);
        self.gathering.len() - 1
    }

    pub fn next_wake(&self) -> Option<Instant> {
        self.gathering.iter().map(|g| g.at + self.settings.again).min()
    }

    pub fn tick(&mut self, now: Instant) {
        let again = self.settings.again;
        let before = self.gathering.len();
        self.gathering.retain(|g| g.tries < TRIES);
        self.lost += (before - self.gathering.len()) as u64;
        for g in self.gathering.iter_mut().filter(|g| now - g.at >= again) {
            (g.at, g.tries) = (now, g.tries + 1);
            let missing = (0..g.pieces).filter(|p| g.got[usize::from(*p)].is_none());
            for piece in missing.take(usize::from(AHEAD)) {
                self.says.push_back((g.from, Body::ConsensusChunkRequest { number: g.number, piece }));
            }
        }
    }

    pub fn next_say(&mut self) -> Option<(SocketAddr, Body)> {
        self.says.pop_front()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(port: u16) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, 1], port))
    }

    /// Passes words from one to the other, losing such a part of datagrams; which arrive.
    fn pass(words: &[Bytes], loss: f64, seed: u64) -> Vec<Bytes> {
        let settings = ParcelsSettings { again: TimeDelta::from_secs(0.1) };
        let (mut a, mut b) = (Parcels::new(settings, 7), Parcels::new(settings, 900));
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        let mut now = Instant::from_secs(1.0);
        let mut whole = Vec::new();
        for w in words {
            a.send(at(2), w.clone());
            for _ in 0..2_000 {
                while let Some((_, body)) = a.next_say() {
                    if chance.rand_float() < loss {
                        continue;
                    }
                    match body {
                        Body::Consensus { bytes } => whole.push(bytes),
                        Body::ConsensusChunk { number, pieces, piece, bytes } => {
                            whole.extend(b.came(now, at(1), number, pieces, piece, bytes))
                        }
                        _ => {}
                    }
                }
                while let Some((_, body)) = b.next_say() {
                    if let (Body::ConsensusChunkRequest { number, piece }, true) =
                        (&body, chance.rand_float() >= loss)
                    {
                        a.wanted(at(2), *number, *piece);
                    }
                }
                now = now + TimeDelta::from_secs(0.02);
                b.tick(now);
                if whole.last() == Some(w) {
                    break;
                }
                // The sender says it again now and then, as all words on the log are.
                if chance.rand_float() < 0.02 {
                    a.send(at(2), w.clone());
                }
            }
        }
        whole
    }

    #[test]
    fn words_of_any_length_arrive_whole_and_in_order() {
        let word = |n: usize| Bytes::from((0..n).map(|i| (i * 7 + n) as u8).collect::<Vec<u8>>());
        let words: Vec<Bytes> =
            [1, MAX_PIECE, MAX_PIECE + 1, 40_000, 3 * MAX_PIECE, 900_000].map(word).to_vec();
        for (loss, seed) in [(0.0, 1), (0.2, 2), (0.2, 3)] {
            let mut came = pass(&words, loss, seed);
            came.dedup();
            assert_eq!(came, words, "loss {loss}");
        }
    }

    #[test]
    fn what_is_kept_and_gathered_is_bounded() {
        let settings = ParcelsSettings { again: TimeDelta::from_secs(0.1) };
        let mut p = Parcels::new(settings, 0);
        for i in 0..500u32 {
            p.send(at(2), Bytes::from(vec![i as u8; 2_000 + i as usize]));
            let from = at(1_000 + i as u16);
            let now = Instant::from_secs(f64::from(i));
            assert_eq!(p.came(now, from, 1, 3, 0, Bytes::from_static(b"x")), None);
            // A word longer than any, and a piece of one that nobody began.
            assert_eq!(p.came(now, from, 2, u16::MAX, 0, Bytes::new()), None);
            assert_eq!(p.came(now, at(9), 1, 3, 2, Bytes::new()), None);
        }
        assert!(p.kept.len() <= KEPT && p.gathering.len() <= GATHERED);
        (0..100).for_each(|i| p.tick(Instant::from_secs(1_000.0 + f64::from(i))));
        assert!(p.gathering.is_empty() && p.lost > 0);
    }
}
