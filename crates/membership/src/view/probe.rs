//! Pings, pings through others, suspicion and its end; and how a host that is itself unwell holds back.

use super::*;

/// Part of a period after which an unanswered ping is tried through others, and of which that has its end.
const DIRECT: f64 = 0.3;
const INDIRECT: f64 = 0.9;
const HELPERS: usize = 3;
/// Pings for others that are remembered, and own ones that wait for an answer.
const RELAYS: usize = 64;
const PROBES: usize = 32;
/// Steps of strain, at most: answers are waited for up to one more than this many times as long.
const STRAIN: u32 = 8;
/// Steps by which suspicions last twice as long, and from which on strain is told of.
const STRAIN_DOUBLES: f64 = 4.0;
/// Periods of a suspicion as plain SWIM has it here, times the logarithm of how many are there.
const SUSPICION: f64 = 2.0;
/// The same for one that others share, at least so many periods, and how many times longer for one that nobody shares.
const SHARED: f64 = 0.9;
const MIN_SHARED: f64 = 4.0;
const ALONE: f64 = 3.0;
/// Others by whom a suspicion is shared in full.
const CONFIRMS: usize = 3;
/// Suspicions of who is heard all the while last longer, by this.
const WHILE_HEARD: f64 = 2.0;
/// Periods without a word of anybody after which a host takes itself for the one that is cut off; and after which it
/// takes the others for gone all the same.
pub(super) const DEAF: f64 = 3.0;
const LONE: f64 = 25.0;
/// Periods from when it hears again until it stands by what it found alone.
const STANDS_BY: f64 = 6.0;

#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub seq: u32,
    pub slot: u32,
    /// The generation that it was sent to: what that one misses is no fault of a later one.
    pub generation: u64,
    pub sent: Instant,
    pub helped: bool,
    pub direct_until: Instant,
    pub until: Instant,
    /// Helpers that said that it does not answer them either.
    pub nays: usize,
}

/// A ping for another host.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub seq: u32,
    pub asker: SocketAddr,
    pub theirs: u32,
    pub about: u32,
    pub until: Instant,
}

impl View {
    pub fn heard(&mut self, now: Instant, from: SocketAddr, slot: u32, message: &ProbeMessage) {
        match message {
            ProbeMessage::Ping { seq } => {
                self.sends.push_back((from, Body::Probe(ProbeMessage::Ack { seq: *seq }), Some(slot)))
            }
            ProbeMessage::Ack { seq } => {
                self.answer(now, *seq, slot);
                let of = |r: &Relay| r.seq == *seq && r.about == slot;
                if let Some(r) = self.relays.iter().position(of).and_then(|i| self.relays.remove(i)) {
                    self.sends.push_back((
                        r.asker,
                        Body::Probe(ProbeMessage::IndirectAck { seq: r.theirs, slot: r.about }),
                        None,
                    ));
                }
            }
            ProbeMessage::IndirectAck { seq, slot: about } => self.answer(now, *seq, *about),
            ProbeMessage::Nack { seq, slot: about } => {
                let of = |p: &&mut Probe| p.seq == *seq && p.slot == *about;
                if let Some(p) = self.probes.iter_mut().find(of) {
                    p.nays += 1;
                    self.answered = now;
                }
            }
            ProbeMessage::PingRequest { seq, slot: about } => {
                let Some(address) = self.address(*about) else { return };
                let mine = self.next_seq();
                if self.relays.len() >= RELAYS {
                    self.relays.pop_front();
                }
                let until = now + self.periods(DIRECT);
                self.relays.push_back(Relay { seq: mine, asker: from, theirs: *seq, about: *about, until });
                self.sends.push_back((address, Body::Probe(ProbeMessage::Ping { seq: mine }), Some(*about)));
            }
        }
    }

    fn answer(&mut self, now: Instant, seq: u32, slot: u32) {
        let before = self.probes.len();
        self.probes.retain(|p| p.seq != seq || p.slot != slot);
        if self.probes.len() < before {
            self.answered = now;
            self.relieve();
        }
    }

    pub(super) fn strain_by(&mut self, steps: u32) {
        let before = self.strain;
        self.strain = (self.strain + steps).min(STRAIN);
        if !self.strain_told && f64::from(self.strain) >= STRAIN_DOUBLES && f64::from(before) < STRAIN_DOUBLES
        {
            self.strain_told = true;
            self.changes.push_back(Change::Strained(self.strain));
        }
    }

    fn relieve(&mut self) {
        if self.strain == 1 && std::mem::take(&mut self.strain_told) {
            self.changes.push_back(Change::Strained(0));
        }
        self.strain = self.strain.saturating_sub(1);
    }

    /// How much longer than usual this host waits for answers.
    fn stretch(&self) -> f64 {
        f64::from(1 + self.strain)
    }

    /// Whether this host is itself the one that is cut off: nobody answers it, neither those it pings nor any helper,
    /// though it hears others; or it hears nobody, and not yet for so long that the others must be gone.
    fn is_cut_off(&self, now: Instant) -> bool {
        let (silent, unanswered) = (now - self.heard, now - self.answered);
        let on = self.settings.ways.local_health && self.there() > 0 && unanswered >= self.periods(DEAF);
        on && (silent < self.periods(DEAF) || silent < self.periods(LONE))
    }

    /// Whether it has heard nobody for so long that it goes on by itself. What it finds then is not told, and any other's
    /// word goes before it.
    fn is_alone(&self, now: Instant) -> bool {
        self.settings.ways.local_health && now - self.heard >= self.periods(DEAF)
    }

    /// It hears others again after a time in which it heard nobody: suspicions of before begin anew.
    pub(super) fn hears_again(&mut self, now: Instant) {
        self.rejoined = now;
        for (slot, s) in self.suspects() {
            self.put(slot, Seen { since: now, ..s });
        }
    }

    fn suspects(&self) -> Vec<(u32, Seen)> {
        let all = self.seen.suspects().iter();
        all.filter_map(|k| self.seen.get(k).map(|s| (*k, s.clone()))).collect()
    }

    /// What it found alone and nobody has said otherwise of, once it had time to hear, is told like any other death.
    pub(super) fn stands_by(&mut self, now: Instant) {
        if self.is_alone(now) || now - self.rejoined < self.periods(STANDS_BY) {
            return;
        }
        let all: Vec<u32> = self.seen.alone().iter().copied().collect();
        for slot in all {
            if let Some(s) = self.seen.get(&slot).cloned() {
                self.put(slot, Seen { alone: false, ..s });
                self.tell(slot);
            }
        }
    }

    /// A host that was stopped, or that its machine kept waiting, missed answers that came: none of it is the others'
    /// fault.
    pub(super) fn stood_still(&mut self, now: Instant) {
        let late = now - self.due;
        if late < self.settings.period {
            return;
        }
        self.counters.pauses += 1;
        self.changes.push_back(Change::Paused(late));
        if self.has(ViewFault::AccusesAfterStop) {
            let all = self.live().to_vec();
            return all.into_iter().for_each(|slot| self.suspect(now, slot));
        }
        if !self.settings.ways.own_pause {
            return;
        }
        self.probes.clear();
        self.relays.clear();
        (self.heard, self.answered) = (now, now);
        self.strain_by(2);
        let suspects = self.suspects();
        for (slot, s) in suspects {
            let since = (s.since + late).min(now);
            self.put(slot, Seen { since, ..s });
        }
    }

    pub(super) fn end_probes(&mut self, now: Instant) {
        while let Some(i) = self.relays.iter().position(|r| now >= r.until) {
            let Some(r) = self.relays.remove(i) else { break };
            if self.settings.ways.local_health {
                self.sends.push_back((
                    r.asker,
                    Body::Probe(ProbeMessage::Nack { seq: r.theirs, slot: r.about }),
                    None,
                ));
            }
        }
        let mut i = 0;
        while i < self.probes.len() {
            let p = self.probes[i].clone();
            if now >= p.until {
                self.probes.remove(i);
                self.missed(now, &p);
                continue;
            }
            if now >= p.direct_until && !p.helped {
                let helpers = self.pick(now, HELPERS, Some(p.slot));
                for helper in &helpers {
                    if let Some(a) = self.address(*helper) {
                        let body = Body::Probe(ProbeMessage::PingRequest { seq: p.seq, slot: p.slot });
                        self.sends.push_back((a, body, Some(*helper)));
                    }
                }
                self.probes[i] = Probe { helped: true, ..p };
            }
            i += 1;
        }
    }

    /// Neither the host nor any helper brought an answer. Helpers that said so show that this host hears well.
    fn missed(&mut self, now: Instant, p: &Probe) {
        let Some(s) = self.seen.get(&p.slot).filter(|s| s.generation == p.generation) else { return };
        let heard_since = s.heard.is_some_and(|t| t >= p.sent);
        if self.settings.ways.local_health {
            // One nay shows that this host is heard, and hears; helpers may be gone as well.
            if p.nays == 0 {
                self.strain_by(1);
            }
            // It speaks, and no helper says that it does not answer: what gets lost is this host's.
            if heard_since && p.nays == 0 {
                return;
            }
        }
        if !self.is_cut_off(now) {
            self.suspect(now, p.slot);
        }
    }

    /// One a period; two while somebody is suspected here, as what befell one may have befallen many, and unless answers are
    /// late all the time.
    pub(super) fn next_probes(&mut self, now: Instant) {
        self.next_probe(now);
        let alarm = !self.seen.suspects().is_empty();
        if alarm && self.settings.ways.confirm && f64::from(self.strain) < STRAIN_DOUBLES {
            self.next_probe(now);
        }
    }

    /// All are pinged in turn, in an order by chance.
    fn next_probe(&mut self, now: Instant) {
        let shut_out = |slot: &u32| self.has(ViewFault::ShutsOut) && self.is_flapping(now, *slot);
        let live: Vec<u32> = self.live().iter().copied().filter(|s| !shut_out(s)).collect();
        let slot = loop {
            let Some(slot) = self.turn.pop() else {
                if live.is_empty() {
                    return;
                }
                self.turn = live.clone();
                for i in (1..self.turn.len()).rev() {
                    let j = self.chance.rand_range(0..i as u64 + 1) as usize;
                    self.turn.swap(i, j);
                }
                continue;
            };
            if live.binary_search(&slot).is_ok() {
                break slot;
            }
        };
        let Some((address, generation)) = self.seen.get(&slot).map(|s| (s.address, s.generation)) else {
            return;
        };
        if self.probes.len() >= PROBES {
            return;
        }
        let seq = self.next_seq();
        let stretch = if self.settings.ways.local_health { self.stretch() } else { 1.0 };
        let after = |part: f64| now + self.periods(part * stretch);
        let (direct_until, until) = (after(DIRECT), after(INDIRECT));
        self.probes.push(Probe {
            seq,
            slot,
            generation,
            sent: now,
            helped: false,
            direct_until,
            until,
            nays: 0,
        });
        self.sends.push_back((address, Body::Probe(ProbeMessage::Ping { seq }), Some(slot)));
    }

    /// This host finds that one does not answer.
    pub(super) fn suspect(&mut self, now: Instant, slot: u32) {
        let Some(s) = self.seen.get(&slot).cloned() else { return };
        match s.health {
            Health::Alive => {
                self.counters.suspected += 1;
                let flaps = self.flaps(now, &s);
                let by = vec![self.me.slot];
                self.put(slot, Seen { health: Health::Suspect, since: now, by, lost: Some(now), ..s });
                self.moved = now;
                self.changed(slot, Health::Suspect, flaps, flaps);
                self.tell(slot);
            }
            Health::Suspect => self.confirm(slot, Some(self.me.slot)),
            _ => {}
        }
    }

    /// One more shares a suspicion; as news of it only as long as that makes a difference.
    pub(super) fn confirm(&mut self, slot: u32, by: Option<u32>) {
        let Some(by) = by.filter(|_| self.settings.ways.confirm) else { return };
        let Some(s) = self.seen.get(&slot).filter(|s| s.by.len() <= CONFIRMS && !s.by.contains(&by)) else {
            return;
        };
        let mut s = s.clone();
        s.by.push(by);
        self.put(slot, s);
        self.tell(slot);
    }

    /// How long a suspicion lasts that so many share.
    pub(super) fn suspicion(&self, by: usize) -> f64 {
        if !self.settings.ways.confirm {
            return SUSPICION * self.log_size();
        }
        let least = (SHARED * self.log_size()).max(MIN_SHARED);
        // Where fewer are there than could confirm, fewer do.
        let full = CONFIRMS.min(self.there().saturating_sub(1) as usize);
        let shared = match full {
            0 => 1.0,
            n => ((by.max(1) as f64).ln() / (n as f64 + 1.0).ln()).min(1.0),
        };
        least * (ALONE - (ALONE - 1.0) * shared)
    }

    pub(super) fn end_suspicions(&mut self, now: Instant) {
        if self.has(ViewFault::SuspicionWithoutEnd) {
            return;
        }
        let at_once = self.has(ViewFault::NoSuspicion);
        // Where answers get lost so do the words of those who are accused: they get more time to come.
        let patience = match self.settings.ways.local_health {
            true => 1.0 + f64::from(self.strain) / STRAIN_DOUBLES,
            false => 1.0,
        };
        let over = |s: &Seen| {
            let heard = s.heard.is_some_and(|t| now - t <= self.periods(HEARD));
            let times = if heard && self.settings.ways.told_back { WHILE_HEARD } else { 1.0 };
            let long = self.periods(times * patience * self.suspicion(s.by.len()));
            s.health == Health::Suspect && (at_once || now - s.since >= long)
        };
        let suspects = self.seen.suspects().iter().copied();
        let mut ended: Vec<u32> = suspects.filter(|k| self.seen.get(k).is_some_and(over)).collect();
        if self.is_cut_off(now) {
            // Nobody's answer could come: what is due waits until this host hears again, or takes itself for alone.
            ended.clear();
        }
        let mut told = false;
        for slot in ended {
            let (Some(s), Some(mut n)) = (self.seen.get(&slot).cloned(), self.news_of(slot)) else {
                continue;
            };
            (n.health, n.suspected_by) = (Health::Dead, None);
            self.died(now, &n, true);
            let flaps = self.flaps(now, &s);
            if self.has(ViewFault::ForgetsDead) {
                self.seen.remove(slot);
                self.tellings.forget(slot);
                continue;
            }
            let alone = self.is_alone(now);
            self.put(slot, Seen { health: Health::Dead, since: now, by: Vec::new(), alone, ..s });
            self.moved = now;
            self.changed(slot, Health::Dead, flaps, flaps);
            if alone {
                self.tellings.forget(slot);
            } else {
                self.tell(slot);
                told = true;
            }
        }
        // What was waited for so long goes out at once.
        if told && self.settings.ways.confirm {
            self.say_to_some();
        }
    }
}
