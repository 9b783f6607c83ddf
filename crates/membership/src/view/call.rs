//! Calls to those that are not there: seeds, hosts that an earlier generation knew, hosts held dead, and whoever seems to run
//! under this host's own number.

use super::*;

/// Every so many periods one that is held dead, and a seed, is called: partitions heal.
const RETRY: u32 = 4;
/// Periods in which those held dead are called each period, after one of them was heard.
pub(super) const THAW: f64 = 10.0;
/// Hosts of an earlier generation that are called in a period, and how often each.
const RECALLED: usize = 3;
const RECALLS: u32 = 3;
/// Periods without a word of a later generation of one's own number until it is held not to run; the first is for one that is
/// known at this host's own address, where no other can listen.
const TWIN_HERE: f64 = 3.0;
const TWIN_THERE: f64 = 8.0;

/// A later generation of this host's own number.
#[derive(Clone, Copy, Debug)]
pub(super) struct Twin {
    pub generation: u64,
    pub address: SocketAddr,
    /// Since when it has been silent.
    pub heard: Instant,
}

impl View {
    pub(super) fn greet(&mut self) {
        for i in 0..self.seeds.len() {
            self.call(self.seeds[i]);
        }
    }

    fn call(&mut self, a: SocketAddr) {
        if a != self.me.address {
            let seq = self.next_seq();
            self.sends.push_back((a, Body::Probe(ProbeMessage::Ping { seq }), None));
            self.send_digest(Some(a), None);
        }
    }

    fn one_of(&mut self, all: &[SocketAddr]) -> Option<SocketAddr> {
        match all.len() {
            0 => None,
            n => Some(all[self.chance.rand_range(0..n as u64) as usize]),
        }
    }

    /// One that is thought dead may be back behind a partition that has healed; a seed may know others.
    pub(super) fn calls(&mut self, now: Instant) {
        let more = self.settings.ways.recall;
        let alone = self.there() == 0;
        let thaws = more && now < self.thaw;
        let due = self.periods.is_multiple_of(RETRY) || self.seen.is_empty() || thaws || (more && alone);
        if !due && self.recalled.is_empty() {
            return;
        }
        let here: BTreeSet<SocketAddr> = self.live().iter().filter_map(|s| self.address(*s)).collect();
        if due && !self.has(ViewFault::NoCalls) {
            let dead = self.seen.iter().filter(|(_, s)| s.health == Health::Dead).map(|(_, s)| s.address);
            let mut dead: Vec<SocketAddr> = dead.collect();
            let seeds = self.seeds.iter().copied().filter(|a| *a != self.me.address && !here.contains(a));
            let seeds: Vec<SocketAddr> = seeds.collect();
            if more {
                // A seed each time: among many dead its turn would come too late for a fleet that starts again from it.
                let some = [self.one_of(&dead), self.one_of(&seeds)];
                some.into_iter().flatten().for_each(|a| self.call(a));
            } else {
                dead.extend(seeds);
                if let Some(a) = self.one_of(&dead) {
                    self.call(a);
                }
            }
        }
        // Known by an earlier generation: called, never taken for there.
        for _ in 0..RECALLED {
            let Some((a, times)) = self.recalled.pop_front() else { break };
            if here.contains(&a) {
                continue;
            }
            self.call(a);
            if times + 1 < RECALLS {
                self.recalled.push_back((a, times + 1));
            }
        }
    }

    pub(super) fn displaced_by(&mut self, now: Instant, generation: u64, address: SocketAddr) {
        if !self.displaced {
            self.changes.push_back(Change::Displaced(generation));
            self.moved = now;
        }
        self.displaced = true;
        match &mut self.twin {
            Some(t) if t.generation >= generation => {}
            _ => self.twin = Some(Twin { generation, address, heard: now }),
        }
    }

    /// A datagram under this host's own number came from there.
    pub fn heard_namesake(&mut self, now: Instant, n: MemberUpdate, from: SocketAddr) {
        if n.generation > self.me.generation {
            self.displaced_by(now, n.generation, n.address);
            if let Some(t) = &mut self.twin {
                t.heard = now;
            }
        } else if n.generation < self.me.generation && self.settings.ways.twin {
            // An earlier generation that runs still, or again: it is told that it is not alone.
            self.sends.push_back((from, Body::Gossip, None));
        }
    }

    /// A clock that went back gives a new generation a lower number than the one before it: that one does not run, and this one
    /// would be shut out for as long as it lives. So the later generation is called; if it is silent, this host goes on under a
    /// later number still.
    pub(super) fn look_for_twin(&mut self, now: Instant) {
        let Some(t) = self.twin.filter(|_| self.settings.ways.twin && !self.has(ViewFault::BelievesTwin))
        else {
            return;
        };
        let here = t.address == self.me.address;
        let wait = if here { TWIN_HERE } else { TWIN_THERE };
        if now - t.heard < self.periods(wait) {
            if !here {
                self.call(t.address);
            }
            return;
        }
        (self.twin, self.displaced, self.took_over) = (None, false, Some(here));
        (self.me.generation, self.me.incarnation) = (t.generation + 1, 0);
        self.counters.taken_over += 1;
        self.moved = now;
        self.changes.push_back(Change::TookOver(self.me.generation));
        self.tell(self.me.slot);
        self.say_to_some();
    }
}
