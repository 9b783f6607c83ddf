//! Changes of plans on their way from the host that takes them to all others: numbered texts, one after the other, each
//! asked for by whoever hears of a newer one. What a text means, and whether it follows the one before, its reader judges;
//! here it is bytes. A host that takes one tells a few others at once, and each beat tells one more, so that a word lost is
//! said again.

use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Body, CatalogMessage, MAX_PIECE};

/// Texts that are known, and bytes of one, at most. A host that takes changes refuses those beyond.
pub const MAX_PAPERS: usize = 20_000;
pub const MAX_BYTES: usize = 1 << 20;
/// Hosts told at once of a new text.
pub const TOLD: usize = 3;
/// Hosts whose word is remembered, at most.
const MAX_HOSTS: usize = 100_000;
/// A piece that was asked for and has not come within this is asked for again, of whoever is heard next, or else of the same
/// host, so many times.
const AGAIN_S: f64 = 0.1;
const TRIES: u32 = 20;

#[derive(Clone, Debug, PartialEq)]
pub struct Paper {
    pub number: u64,
    pub text: Bytes,
}

struct Fetch {
    from: SocketAddr,
    number: u64,
    pieces: u16,
    got: BytesMut,
    next: u16,
    asked: Instant,
    tries: u32,
}

/// What one host has of them.
#[derive(Default)]
pub struct Papers {
    on: bool,
    texts: BTreeMap<u64, Bytes>,
    newest: (u64, u64),
    ends: Instant,
    /// The newest that was heard of, and how long it has until all go by it.
    heard: (u64, Instant),
    /// By host, the newest that it said it goes by.
    at: BTreeMap<u32, u64>,
    fetch: Option<Fetch>,
    came: VecDeque<Paper>,
    says: VecDeque<(SocketAddr, Body)>,
    /// A host that has as many, and others: it said so, once for each number.
    forked: Option<(u32, u64)>,
    told_fork: u64,
    pub spoilt: u64,
}

impl Papers {
    /// This host follows them, and has these.
    pub fn begin(&mut self, newest: (u64, u64), texts: impl IntoIterator<Item = (u64, Bytes)>) {
        self.on = true;
        self.newest = newest;
        self.texts = texts.into_iter().collect();
    }

    pub fn is_on(&self) -> bool {
        self.on
    }

    /// The text is taken here: by its mark it and all before are known, and by `ends` all have to go by it.
    pub fn taken(&mut self, now: Instant, number: u64, mark: u64, text: Bytes, ends: Instant) {
        self.newest = (number, mark);
        self.ends = ends;
        self.texts.insert(number, text);
        let behind = self.heard.0 > number;
        if let Some(from) = self.fetch.take().filter(|_| behind).map(|f| f.from) {
            self.ask(now, from);
        }
    }

    /// The text that came is no good here.
    pub fn refused(&mut self) {
        self.spoilt += 1;
        self.fetch = None;
    }

    /// What this host says of itself.
    pub fn word(&self, now: Instant) -> Body {
        let left = ((self.ends - now).secs().max(0.0) * 1e3).ceil() as u32;
        Body::Catalog(CatalogMessage::Version {
            number: self.newest.0,
            mark: self.newest.1,
            remaining_ms: left,
        })
    }

    /// How far each host is that said so, and this one.
    pub fn at(&self) -> (u64, &BTreeMap<u32, u64>) {
        (self.newest.0, &self.at)
    }

    /// Whether somebody was heard, and nobody who is further.
    pub fn is_up_to_date(&self) -> bool {
        !self.at.is_empty() && self.heard.0 <= self.newest.0
    }

    /// The newest that was heard of, where that is further than this host.
    pub fn behind(&self) -> Option<u64> {
        Some(self.heard.0).filter(|n| *n > self.newest.0)
    }

    /// Until when all have to go by the newest that was heard of.
    pub fn ends(&self, number: u64, now: Instant) -> Instant {
        if self.heard.0 == number {
            self.heard.1
        } else {
            now
        }
    }

    pub fn heard(&mut self, now: Instant, from: SocketAddr, slot: u32, message: &CatalogMessage) {
        if !self.on {
            return;
        }
        match message {
            CatalogMessage::Version { number, mark, remaining_ms } => {
                if self.at.len() < MAX_HOSTS || self.at.contains_key(&slot) {
                    self.at.insert(slot, *number);
                }
                let ends = now + TimeDelta::from_secs(f64::from(*remaining_ms) / 1e3);
                // The way of a message only makes the end look later.
                self.heard = match self.heard {
                    (n, e) if n == *number => (n, e.min(ends)),
                    (n, e) if n > *number => (n, e),
                    _ => (*number, ends),
                };
                if *number > self.newest.0 {
                    let waits = |f: &Fetch| (now - f.asked).secs() < AGAIN_S;
                    if !self.fetch.as_ref().is_some_and(waits) {
                        self.ask(now, from);
                    }
                } else if *number < self.newest.0 {
                    let word = self.word(now);
                    self.says.push_back((from, word));
                } else if *mark != self.newest.1 && self.told_fork < *number {
                    self.told_fork = *number;
                    self.forked = Some((slot, *number));
                }
            }
            CatalogMessage::ChunkRequest { number, piece } => {
                let Some(text) = self.texts.get(number) else { return };
                let pieces = text.len().div_ceil(MAX_PIECE).max(1);
                let (first, pieces) = (usize::from(*piece) * MAX_PIECE, pieces as u16);
                if *piece < pieces {
                    let bytes = text.slice(first..text.len().min(first + MAX_PIECE));
                    self.says.push_back((
                        from,
                        Body::Catalog(CatalogMessage::Chunk {
                            number: *number,
                            piece: *piece,
                            pieces,
                            bytes,
                        }),
                    ));
                }
            }
            CatalogMessage::Chunk { number, piece, pieces, bytes } => {
                self.piece(now, from, *number, *piece, *pieces, bytes)
            }
        }
    }

    /// Asks for the next text. One that was begun goes on, also with another host: a text is the same at all that have it,
    /// and one that takes many pieces would else never be whole where datagrams get lost.
    fn ask(&mut self, now: Instant, from: SocketAddr) {
        let number = self.newest.0 + 1;
        let again = self.fetch.take().filter(|f| f.number == number);
        let f = again.unwrap_or(Fetch {
            from,
            number,
            pieces: 0,
            got: BytesMut::new(),
            next: 0,
            asked: now,
            tries: 0,
        });
        self.says.push_back((from, Body::Catalog(CatalogMessage::ChunkRequest { number, piece: f.next })));
        self.fetch = Some(Fetch { asked: now, from, tries: 0, ..f });
    }

    pub fn next_wake(&self) -> Option<Instant> {
        let f = self.fetch.as_ref().filter(|f| f.tries < TRIES)?;
        Some(f.asked + TimeDelta::from_secs(AGAIN_S))
    }

    /// Against a word that got lost on its way: a large text is many of them.
    pub fn tick(&mut self, now: Instant) {
        let due = self.next_wake().is_some_and(|t| t <= now);
        // Against a word of a change that nobody has: it would hold up clients, and every change at the home.
        if self.fetch.as_ref().is_some_and(|f| f.tries >= TRIES) {
            (self.fetch, self.heard) = (None, (self.newest.0, now));
        }
        if let Some(f) = self.fetch.as_mut().filter(|_| due) {
            (f.asked, f.tries) = (now, f.tries + 1);
            self.says.push_back((
                f.from,
                Body::Catalog(CatalogMessage::ChunkRequest { number: f.number, piece: f.next }),
            ));
        }
    }

    fn piece(&mut self, now: Instant, from: SocketAddr, number: u64, piece: u16, pieces: u16, bytes: &Bytes) {
        let Some(f) = &mut self.fetch else { return };
        // Only what was asked for, of whom it was asked: the others can't fill this host with bytes.
        if f.from != from || f.number != number || f.next != piece || (f.next > 0 && f.pieces != pieces) {
            return;
        }
        if f.got.len() + bytes.len() > MAX_BYTES {
            return self.refused();
        }
        f.got.extend_from_slice(bytes);
        (f.pieces, f.next, f.asked, f.tries) = (pieces, piece + 1, now, 0);
        if f.next < pieces {
            return self
                .says
                .push_back((from, Body::Catalog(CatalogMessage::ChunkRequest { number, piece: f.next })));
        }
        let text = std::mem::take(&mut f.got).freeze();
        self.came.push_back(Paper { number, text });
    }

    pub fn next_came(&mut self) -> Option<Paper> {
        self.came.pop_front()
    }

    pub fn next_say(&mut self) -> Option<(SocketAddr, Body)> {
        self.says.pop_front()
    }

    /// A host that goes by something else under the same number.
    pub fn next_fork(&mut self) -> Option<(u32, u64)> {
        self.forked.take()
    }
}
