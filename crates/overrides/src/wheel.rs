//! A timing wheel: entries wait in slots of growing width, so that putting in and taking out cost the same however
//! many there are. Measured against a plain heap by `tackmast benchmark --timers`.

use tackmast::interface::{Instant, TimeDelta};

/// Width of the narrowest slot in microseconds; an entry comes out at most that late.
pub const TICK_US: i64 = 10_000;
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// Six levels reach 20 years.
const LEVELS: usize = 6;

/// By this an entry is taken out again; it fits no later one in the same place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    index: u32,
    generation: u32,
}

struct Entry<K> {
    key: Option<K>, // none: the place is free
    generation: u32,
    due: u64, // ticks, rounded up
    list: u16,
    place: u32,
}

/// The list of what was past when it was put in, behind those of the slots.
const DUE: usize = LEVELS * SLOTS;

pub struct Wheel<K> {
    now: u64, // ticks that have come out
    lists: Vec<Vec<u32>>,
    /// A bit for each slot that holds something, by level.
    used: [u64; LEVELS],
    entries: Vec<Entry<K>>,
    free: Vec<u32>,
}

fn ticks_up(at: Instant) -> u64 {
    (((at.secs() * 1e6) as i64).max(0) as u64).div_ceil(TICK_US as u64)
}

fn ticks_down(at: Instant) -> u64 {
    ((at.secs() * 1e6) as i64).max(0) as u64 / TICK_US as u64
}

fn instant(ticks: u64) -> Instant {
    Instant::from_secs(ticks as f64 * TICK_US as f64 / 1e6)
}

impl<K: Copy + Ord> Wheel<K> {
    pub fn new(now: Instant) -> Self {
        Wheel {
            now: ticks_down(now),
            lists: (0..=DUE).map(|_| Vec::new()).collect(),
            used: [0; LEVELS],
            entries: Vec::new(),
            free: Vec::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn put(&mut self, key: K, at: Instant) -> Handle {
        let due = ticks_up(at);
        let index = match self.free.pop() {
            Some(i) => i,
            None => {
                self.entries.push(Entry { key: None, generation: 0, due: 0, list: 0, place: 0 });
                self.entries.len() as u32 - 1
            }
        };
        let e = &mut self.entries[index as usize];
        (e.key, e.due) = (Some(key), due);
        let generation = e.generation;
        self.place(index);
        Handle { index, generation }
    }

    fn place(&mut self, index: u32) {
        let due = self.entries[index as usize].due;
        let list = if due <= self.now {
            DUE
        } else {
            // The level is that of the highest digit, to the base of the slots, in which due and now differ.
            let level = ((63 - (due ^ self.now).leading_zeros()) / BITS) as usize;
            match level {
                l if l < LEVELS => l * SLOTS + ((due >> (BITS * l as u32)) as usize & (SLOTS - 1)),
                // Further off than the wheel reaches: looked at again when the last level begins its next round.
                _ => (LEVELS - 1) * SLOTS,
            }
        };
        let place = self.lists[list].len() as u32;
        self.lists[list].push(index);
        if list < DUE {
            self.used[list / SLOTS] |= 1 << (list % SLOTS);
        }
        let e = &mut self.entries[index as usize];
        (e.list, e.place) = (list as u16, place);
    }

    /// Whether the entry was still in.
    pub fn remove(&mut self, h: Handle) -> bool {
        let Some(e) =
            self.entries.get(h.index as usize).filter(|e| e.generation == h.generation && e.key.is_some())
        else {
            return false;
        };
        let (list, place) = (usize::from(e.list), e.place as usize);
        self.lists[list].swap_remove(place);
        if let Some(moved) = self.lists[list].get(place) {
            self.entries[*moved as usize].place = place as u32;
        } else if self.lists[list].is_empty() && list < DUE {
            self.used[list / SLOTS] &= !(1 << (list % SLOTS));
        }
        self.give_back(h.index);
        true
    }

    fn give_back(&mut self, index: u32) -> Option<K> {
        let e = &mut self.entries[index as usize];
        e.generation = e.generation.wrapping_add(1);
        self.free.push(index);
        e.key.take()
    }

    /// When something may come out next; never later than when it does.
    pub fn next(&self) -> Option<Instant> {
        if !self.lists[DUE].is_empty() {
            return Some(instant(self.now));
        }
        self.next_slot()
    }

    fn next_slot(&self) -> Option<Instant> {
        for level in 0..LEVELS {
            let shift = BITS * level as u32;
            let here = (self.now >> shift) as usize & (SLOTS - 1);
            let ahead = self.used[level] & (u64::MAX.checked_shl(here as u32 + 1).unwrap_or(0));
            if ahead > 0 {
                let slot = u64::from(ahead.trailing_zeros());
                let base = self.now >> shift >> BITS << BITS;
                return Some(instant((base | slot) << shift));
            }
            if self.used[level] > 0 {
                // Only at the last level does a slot behind hold something: it comes round again.
                let base = (self.now >> shift >> BITS) + 1;
                return Some(instant(base << BITS << shift));
            }
        }
        None
    }

    /// What is due by now, by key where several are due at once.
    pub fn advance(&mut self, now: Instant) -> Vec<K> {
        let until = ticks_down(now);
        while let Some(next) = self.next_slot().map(ticks_up).filter(|t| *t <= until && *t > self.now) {
            self.now = next;
            for level in 0..LEVELS {
                let shift = BITS * level as u32;
                // A slot of this level begins now only where all lower digits are zero.
                if level > 0 && next & ((1 << shift) - 1) != 0 {
                    break;
                }
                let slot = (next >> shift) as usize & (SLOTS - 1);
                self.used[level] &= !(1 << slot);
                for index in std::mem::take(&mut self.lists[level * SLOTS + slot]) {
                    self.place(index);
                }
            }
        }
        self.now = self.now.max(until);
        let due = std::mem::take(&mut self.lists[DUE]);
        let mut out: Vec<K> = due.into_iter().filter_map(|i| self.give_back(i)).collect();
        out.sort_unstable();
        out
    }

    /// How late an entry may come out.
    pub fn slack() -> TimeDelta {
        TimeDelta::from_secs(TICK_US as f64 / 1e6)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    /// The wheel against a plain map, over random puts, moves, removals and steps of time.
    #[test]
    fn it_does_as_a_plain_map_does() {
        for seed in 0..40u64 {
            let mut chance = oorandom::Rand64::new(u128::from(seed));
            let mut now = chance.rand_float() * 1e7;
            let mut wheel = Wheel::new(Instant::from_secs(now));
            let mut plain: BTreeMap<u32, u64> = BTreeMap::new();
            let mut handles: BTreeMap<u32, Handle> = BTreeMap::new();
            for _ in 0..600 {
                let key = chance.rand_range(0..40) as u32;
                match chance.rand_range(0..4) {
                    0 | 1 => {
                        // From at once to 30 years, and now and then in the past.
                        let ahead = 10f64.powf(chance.rand_float() * 12.0 - 3.0) - 0.01;
                        let at = Instant::from_secs(now + ahead);
                        if let Some(old) = handles.remove(&key) {
                            wheel.remove(old);
                        }
                        handles.insert(key, wheel.put(key, at));
                        plain.insert(key, ticks_up(at));
                    }
                    2 => {
                        // One that has come out or was taken out before fits nothing any more.
                        let removed = handles.get(&key).is_some_and(|h| wheel.remove(*h));
                        assert_eq!(removed, plain.remove(&key).is_some(), "seed {seed}");
                    }
                    _ => {
                        now += 10f64.powf(chance.rand_float() * 11.0 - 3.0);
                        let until = ticks_down(Instant::from_secs(now));
                        let due: Vec<u32> =
                            plain.iter().filter(|(_, d)| **d <= until).map(|(k, _)| *k).collect();
                        plain.retain(|_, d| *d > until);
                        assert_eq!(wheel.advance(Instant::from_secs(now)), due, "seed {seed}");
                    }
                }
                assert_eq!(wheel.len(), plain.len(), "seed {seed}");
                if let Some(first) = plain.values().min() {
                    let next = wheel.next().map(ticks_up);
                    let limit = (*first).max(ticks_down(Instant::from_secs(now)));
                    assert!(next.is_some_and(|n| n <= limit), "seed {seed}: {next:?} after {limit}");
                }
            }
        }
    }
}
