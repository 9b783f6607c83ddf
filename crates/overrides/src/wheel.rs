//! A timing wheel: entries wait in slots of growing width, so that putting in and taking out cost the same however
//! many there are. Measured against a plain heap by `tackmast measure --timers`.

use std::collections::HashMap;
use std::hash::Hash;
use tackmast::interface::{Instant, Span};

/// Width of the narrowest slot in microseconds; an entry comes out at most that late.
pub const TICK_US: i64 = 10_000;
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// Six levels reach 20 years.
const LEVELS: usize = 6;

struct Entry {
    due: u64, // ticks, rounded up
    level: usize,
    slot: usize,
    place: usize,
}

pub struct Wheel<K> {
    now: u64, // ticks that have come out
    slots: Vec<Vec<K>>,
    /// A bit for each slot that holds something, by level.
    used: [u64; LEVELS],
    entries: HashMap<K, Entry>,
    due: Vec<K>, // was past when it was put in
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

impl<K: Copy + Eq + Hash + Ord> Wheel<K> {
    pub fn new(now: Instant) -> Self {
        Wheel {
            now: ticks_down(now),
            slots: (0..LEVELS * SLOTS).map(|_| Vec::new()).collect(),
            used: [0; LEVELS],
            entries: HashMap::new(),
            due: Vec::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len() + self.due.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Puts a key in, or moves it.
    pub fn put(&mut self, key: K, at: Instant) {
        self.remove(key);
        self.place(key, ticks_up(at));
    }

    fn place(&mut self, key: K, due: u64) {
        if due <= self.now {
            self.due.push(key);
            return;
        }
        // The level is that of the highest digit, to the base of the slots, in which due and now differ.
        let differ = 63 - (due ^ self.now).leading_zeros();
        let level = ((differ / BITS) as usize).min(LEVELS - 1);
        let slot = match differ / BITS {
            l if (l as usize) < LEVELS => (due >> (BITS * l)) as usize & (SLOTS - 1),
            // Further off than the wheel reaches: looked at again when the last level begins its next round.
            _ => 0,
        };
        let list = &mut self.slots[level * SLOTS + slot];
        self.entries.insert(key, Entry { due, level, slot, place: list.len() });
        list.push(key);
        self.used[level] |= 1 << slot;
    }

    /// Whether the key was in.
    pub fn remove(&mut self, key: K) -> bool {
        let Some(e) = self.entries.remove(&key) else {
            let before = self.due.len();
            self.due.retain(|k| *k != key);
            return self.due.len() < before;
        };
        let list = &mut self.slots[e.level * SLOTS + e.slot];
        list.swap_remove(e.place);
        if let Some(moved) = list.get(e.place) {
            self.entries.entry(*moved).and_modify(|m| m.place = e.place);
        } else if list.is_empty() {
            self.used[e.level] &= !(1 << e.slot);
        }
        true
    }

    /// When something may come out next; never later than when it does.
    pub fn next(&self) -> Option<Instant> {
        if !self.due.is_empty() {
            return Some(instant(self.now));
        }
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
        let mut out = std::mem::take(&mut self.due);
        while let Some(next) = self.next().map(ticks_up).filter(|t| *t <= until) {
            self.now = next;
            let mut moved = Vec::new();
            for level in 0..LEVELS {
                let shift = BITS * level as u32;
                // A slot of this level begins now only where all lower digits are zero.
                if level > 0 && next & ((1 << shift) - 1) != 0 {
                    break;
                }
                let slot = (next >> shift) as usize & (SLOTS - 1);
                moved.append(&mut self.slots[level * SLOTS + slot]);
                self.used[level] &= !(1 << slot);
            }
            for key in moved {
                if let Some(e) = self.entries.remove(&key) {
                    self.place(key, e.due);
                }
            }
            out.append(&mut self.due);
        }
        self.now = self.now.max(until);
        out.sort_unstable();
        out
    }

    /// How late an entry may come out.
    pub fn slack() -> Span {
        Span::from_secs(TICK_US as f64 / 1e6)
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
            for _ in 0..600 {
                let key = chance.rand_range(0..40) as u32;
                match chance.rand_range(0..4) {
                    0 | 1 => {
                        // From at once to 30 years, and now and then in the past.
                        let ahead = 10f64.powf(chance.rand_float() * 12.0 - 3.0) - 0.01;
                        let at = Instant::from_secs(now + ahead);
                        wheel.put(key, at);
                        plain.insert(key, ticks_up(at));
                    }
                    2 => assert_eq!(wheel.remove(key), plain.remove(&key).is_some(), "seed {seed}"),
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
