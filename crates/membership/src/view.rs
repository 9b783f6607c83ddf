//! Who is there: failure detection by pings, pings through others, suspicion and incarnations, as SWIM has it (Das, Gupta
//! and Motivala, 2002), with digests between pairs so that views meet after a partition. What it says may be wrong: it
//! costs service, never a rule.

use imbl::OrdMap;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, Span};
use tackmast_wire::peer::{Body, Health, News, MOST_NEWS};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ViewSettings {
    pub period: Span,
    /// Hosts that are known at a time, at most.
    pub most: usize,
}

/// Part of a period after which an unanswered ping is tried through others, and of which that has its end.
const DIRECT: f64 = 0.3;
const INDIRECT: f64 = 0.9;
const HELPERS: usize = 3;
/// Periods of suspicion, times the logarithm of how many are there.
const SUSPICION: f64 = 2.0;
/// Each line of news goes out so many times the logarithm of how many are there.
const RETELL: f64 = 3.0;
/// Lines of news beside another message.
const BESIDE: usize = 8;
/// Every so many periods one that is not there, or a seed, is pinged: partitions heal.
const RETRY: u32 = 4;
/// Pings for others that are remembered.
const RELAYS: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub life: u64,
    pub incarnation: u32,
    pub health: Health,
    pub address: SocketAddr,
    pub since: Instant,
}

#[derive(Clone, Debug)]
struct Probe {
    seq: u32,
    slot: u32,
    helped: bool,
    direct_until: Instant,
    until: Instant,
}

#[derive(Clone, Debug)]
struct Telling {
    slot: u32,
    left: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewCounters {
    pub suspected: u64,
    /// Suspicions of others that a later word of theirs took back.
    pub refuted: u64,
    pub dead: u64,
}

pub struct View {
    me: News,
    settings: ViewSettings,
    seeds: Vec<SocketAddr>,
    seen: OrdMap<u32, Seen>,
    turn: Vec<u32>,
    probe: Option<Probe>,
    relays: VecDeque<(u32, SocketAddr, u32, u32)>, // my number, who asks, its number, about whom
    tellings: Vec<Telling>,
    seq: u32,
    periods: u32,
    next_period: Instant,
    chance: oorandom::Rand64,
    sends: VecDeque<(SocketAddr, Body)>,
    /// Changes of health, for the log.
    changes: VecDeque<(u32, Health)>,
    displaced: bool,
    there: u32,
    pub counters: ViewCounters,
}

impl View {
    pub fn new(now: Instant, me: News, seeds: Vec<SocketAddr>, settings: ViewSettings, seed: u64) -> Self {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        // Hosts that start at once do not ping at once.
        let first = Span::from_secs(settings.period.secs() * chance.rand_float());
        let mut view = View {
            me,
            settings,
            seeds,
            seen: OrdMap::new(),
            turn: Vec::new(),
            probe: None,
            relays: VecDeque::new(),
            tellings: Vec::new(),
            seq: 0,
            periods: 0,
            next_period: now + first,
            chance,
            sends: VecDeque::new(),
            changes: VecDeque::new(),
            displaced: false,
            there: 0,
            counters: ViewCounters::default(),
        };
        view.tell(me.slot);
        view.greet();
        view
    }

    /// A snapshot that stays as it is while this goes on.
    pub fn snapshot(&self) -> OrdMap<u32, Seen> {
        self.seen.clone()
    }

    pub fn me(&self) -> News {
        self.me
    }

    pub fn address(&self, slot: u32) -> Option<SocketAddr> {
        self.seen.get(&slot).map(|s| s.address)
    }

    fn put(&mut self, slot: u32, seen: Seen) {
        let is_there = |s: &Seen| u32::from(matches!(s.health, Health::Alive | Health::Suspect));
        let now = is_there(&seen);
        let before = self.seen.insert(slot, seen).map_or(0, |s| is_there(&s));
        self.there = self.there + now - before;
    }

    /// Others that are thought to be there.
    pub fn there(&self) -> u32 {
        self.there
    }

    /// Others that were there and are held dead, or have left.
    pub fn gone(&self) -> u32 {
        self.seen.len() as u32 - self.there
    }

    pub fn live(&self) -> BTreeSet<u32> {
        let there = |s: &Seen| matches!(s.health, Health::Alive | Health::Suspect);
        self.seen.iter().filter(|(_, s)| there(s)).map(|(slot, _)| *slot).collect()
    }

    /// Another life of this slot has been heard of, later than this one.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    pub fn next_send(&mut self) -> Option<(SocketAddr, Body)> {
        self.sends.pop_front()
    }

    pub fn next_change(&mut self) -> Option<(u32, Health)> {
        self.changes.pop_front()
    }

    pub fn next_wake(&self) -> Instant {
        let probe = self.probe.as_ref().map(|p| if p.helped { p.until } else { p.direct_until });
        probe.map_or(self.next_period, |t| t.min(self.next_period))
    }

    /// Of all that is known, for comparing.
    pub fn digest(&self) -> u32 {
        let mut sum = 0u32;
        let me = (self.me.slot, self.me.life, self.me.incarnation, self.me.health);
        let all = self.seen.iter().map(|(slot, s)| (*slot, s.life, s.incarnation, s.health));
        for (slot, life, incarnation, health) in all.chain([me]) {
            let mut bytes = [0u8; 17];
            bytes[..4].copy_from_slice(&slot.to_be_bytes());
            bytes[4..12].copy_from_slice(&life.to_be_bytes());
            bytes[12..16].copy_from_slice(&incarnation.to_be_bytes());
            bytes[16] = health as u8;
            // Added up, so that the order does not matter.
            sum = sum.wrapping_add(crc32c::crc32c(&bytes));
        }
        sum
    }

    /// All that is known, in pieces of one datagram.
    pub fn all_news(&self) -> Vec<Vec<News>> {
        let of = |(slot, s): (&u32, &Seen)| News {
            slot: *slot,
            life: s.life,
            incarnation: s.incarnation,
            health: s.health,
            address: s.address,
        };
        let all: Vec<News> = self.seen.iter().map(of).chain([self.me]).collect();
        all.chunks(MOST_NEWS).map(<[News]>::to_vec).collect()
    }

    /// What goes along with any message: what was told least often first.
    pub fn beside(&mut self) -> Vec<News> {
        self.tellings.sort_by_key(|t| std::cmp::Reverse(t.left));
        let slots: Vec<u32> = self.tellings.iter().take(BESIDE).map(|t| t.slot).collect();
        for t in self.tellings.iter_mut().take(BESIDE) {
            t.left -= 1;
        }
        self.tellings.retain(|t| t.left > 0);
        slots.into_iter().filter_map(|s| self.news_of(s)).collect()
    }

    fn news_of(&self, slot: u32) -> Option<News> {
        if slot == self.me.slot {
            return Some(self.me);
        }
        let s = self.seen.get(&slot)?;
        Some(News { slot, life: s.life, incarnation: s.incarnation, health: s.health, address: s.address })
    }

    fn log_size(&self) -> f64 {
        ((self.seen.len() + 2) as f64).log2()
    }

    fn tell(&mut self, slot: u32) {
        let left = (RETELL * self.log_size()).ceil() as u32;
        self.tellings.retain(|t| t.slot != slot);
        self.tellings.push(Telling { slot, left });
    }

    fn greet(&mut self) {
        for i in 0..self.seeds.len() {
            let a = self.seeds[i];
            if a != self.me.address {
                self.seq = self.seq.wrapping_add(1);
                self.sends.push_back((a, Body::Ping { seq: self.seq }));
                let (view, orders) = (self.digest(), 0);
                self.sends.push_back((a, Body::Digest { view, orders }));
            }
        }
    }

    /// Takes in what a peer said of hosts; later lives, then later incarnations, then worse health win.
    pub fn learn(&mut self, now: Instant, n: News) {
        if n.slot == self.me.slot {
            return self.learn_of_me(n);
        }
        let rank = |life: u64, incarnation: u32, health: Health| (life, incarnation, health);
        let known = self.seen.get(&n.slot).map(|s| rank(s.life, s.incarnation, s.health));
        if known.is_some_and(|k| k >= rank(n.life, n.incarnation, n.health)) {
            return;
        }
        // A full table takes no more, and who is there already stays.
        if known.is_none() && self.seen.len() >= self.settings.most {
            return;
        }
        let before = self.seen.get(&n.slot).map(|s| s.health);
        if before == Some(Health::Suspect) && n.health == Health::Alive {
            self.counters.refuted += 1;
        }
        if n.health == Health::Dead {
            self.counters.dead += 1;
        }
        let seen = Seen {
            life: n.life,
            incarnation: n.incarnation,
            health: n.health,
            address: n.address,
            since: now,
        };
        self.put(n.slot, seen);
        if before != Some(n.health) {
            self.changes.push_back((n.slot, n.health));
        }
        self.tell(n.slot);
    }

    fn learn_of_me(&mut self, n: News) {
        if n.life > self.me.life {
            self.displaced = true;
        } else if n.life == self.me.life && n.health > self.me.health && n.incarnation >= self.me.incarnation
        {
            // Not so: a later word of one's own says it.
            self.me.incarnation = n.incarnation + 1;
            self.tell(self.me.slot);
        }
    }

    /// The host leaves: it says so itself.
    pub fn leave(&mut self) {
        self.me.health = Health::Left;
        self.tell(self.me.slot);
        let all: Vec<SocketAddr> =
            self.pick(HELPERS * 2, None).into_iter().filter_map(|s| self.address(s)).collect();
        all.into_iter().for_each(|a| self.sends.push_back((a, Body::Tell)));
    }

    /// Some of those that are there, by chance.
    pub(crate) fn pick(&mut self, n: usize, but: Option<u32>) -> Vec<u32> {
        let mut all: Vec<u32> = self.live().into_iter().filter(|s| Some(*s) != but).collect();
        let n = n.min(all.len());
        for i in 0..n {
            let j = i + self.chance.rand_range(0..(all.len() - i) as u64) as usize;
            all.swap(i, j);
        }
        all.truncate(n);
        all
    }

    pub fn heard(&mut self, from: SocketAddr, slot: u32, body: &Body) {
        match body {
            Body::Ping { seq } => self.sends.push_back((from, Body::Ack { seq: *seq })),
            Body::Ack { seq } => {
                _ = self.probe.take_if(|p| p.seq == *seq && p.slot == slot);
                if let Some(i) =
                    self.relays.iter().position(|(mine, _, _, about)| mine == seq && *about == slot)
                {
                    if let Some((_, asker, theirs, about)) = self.relays.remove(i) {
                        self.sends.push_back((asker, Body::Vouch { seq: theirs, slot: about }));
                    }
                }
            }
            Body::Vouch { seq, slot: about } => {
                _ = self.probe.take_if(|p| p.seq == *seq && p.slot == *about);
            }
            Body::PingFor { seq, slot: about } => {
                let Some(address) = self.address(*about) else { return };
                self.seq = self.seq.wrapping_add(1);
                if self.relays.len() >= RELAYS {
                    self.relays.pop_front();
                }
                self.relays.push_back((self.seq, from, *seq, *about));
                self.sends.push_back((address, Body::Ping { seq: self.seq }));
            }
            _ => {}
        }
    }

    pub fn tick(&mut self, now: Instant) {
        self.end_suspicions(now);
        if let Some(p) = self.probe.clone() {
            if now >= p.until {
                self.probe = None;
                self.suspect(now, p.slot);
            } else if now >= p.direct_until && !p.helped {
                for helper in self.pick(HELPERS, Some(p.slot)) {
                    if let Some(a) = self.address(helper) {
                        self.sends.push_back((a, Body::PingFor { seq: p.seq, slot: p.slot }));
                    }
                }
                self.probe = Some(Probe { helped: true, ..p });
            }
        }
        if now < self.next_period {
            return;
        }
        self.next_period = now + self.settings.period;
        self.periods = self.periods.wrapping_add(1);
        if self.me.health == Health::Left {
            return;
        }
        self.next_probe(now);
        if let Some(a) = self.pick(1, None).first().and_then(|s| self.address(*s)) {
            let (view, orders) = (self.digest(), 0);
            self.sends.push_back((a, Body::Digest { view, orders }));
        }
        if self.periods.is_multiple_of(RETRY) || self.seen.is_empty() {
            self.retry();
        }
    }

    /// All are pinged in turn, in an order by chance.
    fn next_probe(&mut self, now: Instant) {
        let live = self.live();
        let slot = loop {
            let Some(slot) = self.turn.pop() else {
                if live.is_empty() {
                    return;
                }
                self.turn = self.pick(live.len(), None);
                continue;
            };
            if live.contains(&slot) {
                break slot;
            }
        };
        let Some(address) = self.address(slot) else { return };
        self.seq = self.seq.wrapping_add(1);
        let (seq, period) = (self.seq, self.settings.period.secs());
        let after = |part: f64| now + Span::from_secs(part * period);
        self.probe =
            Some(Probe { seq, slot, helped: false, direct_until: after(DIRECT), until: after(INDIRECT) });
        self.sends.push_back((address, Body::Ping { seq }));
    }

    /// One that is thought dead may be back behind a partition that has healed; a seed may know others.
    fn retry(&mut self) {
        let dead = self.seen.iter().filter(|(_, s)| s.health == Health::Dead).map(|(_, s)| s.address);
        let known: BTreeSet<SocketAddr> = self.live().iter().filter_map(|s| self.address(*s)).collect();
        let me = self.me.address;
        let seeds = self.seeds.iter().copied().filter(|a| *a != me && !known.contains(a));
        let all: Vec<SocketAddr> = dead.chain(seeds).collect();
        if !all.is_empty() {
            let a = all[self.chance.rand_range(0..all.len() as u64) as usize];
            self.seq = self.seq.wrapping_add(1);
            self.sends.push_back((a, Body::Ping { seq: self.seq }));
            let (view, orders) = (self.digest(), 0);
            self.sends.push_back((a, Body::Digest { view, orders }));
        }
    }

    fn suspect(&mut self, now: Instant, slot: u32) {
        let Some(s) = self.seen.get(&slot).filter(|s| s.health == Health::Alive).cloned() else { return };
        self.counters.suspected += 1;
        self.put(slot, Seen { health: Health::Suspect, since: now, ..s });
        self.changes.push_back((slot, Health::Suspect));
        self.tell(slot);
    }

    fn end_suspicions(&mut self, now: Instant) {
        let long = Span::from_secs(SUSPICION * self.log_size() * self.settings.period.secs());
        let over = |s: &Seen| s.health == Health::Suspect && now - s.since >= long;
        let dead: Vec<u32> = self.seen.iter().filter(|(_, s)| over(s)).map(|(slot, _)| *slot).collect();
        for slot in dead {
            let Some(s) = self.seen.get(&slot).cloned() else { continue };
            self.counters.dead += 1;
            self.put(slot, Seen { health: Health::Dead, since: now, ..s });
            self.changes.push_back((slot, Health::Dead));
            self.tell(slot);
        }
    }
}
