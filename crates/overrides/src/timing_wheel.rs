//! A timing wheel: entries wait in slots of growing width, so that putting in and taking out cost the same however
//! many there are. Measured against a plain heap by `tackmast benchmark --timers`.

use tackmast::interface::{Instant, TimeDelta};

/// Width of the narrowest slot in microseconds: an entry expires at most that late.
pub const RESOLUTION_US: i64 = 10_000;
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

/// Entries of type `K`, each with the time at which it expires.
pub struct TimingWheel<K> {
    now: u64, // ticks that have come out
    lists: Vec<Vec<u32>>,
    /// A bit for each slot that holds something, by level.
    used: [u64; LEVELS],
    entries: Vec<Entry<K>>,
    free: Vec<u32>,
}

fn ticks_up(at: Instant) -> u64 {
    (((at.secs() * 1e6) as i64).max(0) as u64).div_ceil(RESOLUTION_US as u64)
}

fn ticks_down(at: Instant) -> u64 {
    ((at.secs() * 1e6) as i64).max(0) as u64 / RESOLUTION_US as u64
}

fn instant(ticks: u64) -> Instant {
    Instant::from_secs(ticks as f64 * RESOLUTION_US as f64 / 1e6)
}

impl<K: Copy + Ord> TimingWheel<K> {
    /// An empty wheel at this time.
    pub fn new(now: Instant) -> Self {
        TimingWheel {
            now: ticks_down(now),
            lists: (0..=DUE).map(|_| Vec::new()).collect(),
            used: [0; LEVELS],
            entries: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Entries that have not expired.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// There is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an entry.
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
        if let Some(bump_version) = self.lists[list].get(place) {
            self.entries[*bump_version as usize].place = place as u32;
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
        TimeDelta::from_secs(RESOLUTION_US as f64 / 1e6)
    }
}

#[cfg(test)]
mod tests;
