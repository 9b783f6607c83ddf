//! A hierarchical timing wheel: entries wait in slots whose width grows from level to level, so that adding and removing an entry
//! costs the same however many there are. `tackmast benchmark --timers` compares it with a binary heap.

use tackmast::interface::Instant;

/// The width of the narrowest slot, in microseconds: an entry expires at most that late.
const RESOLUTION_US: i64 = 10_000;
/// Bits of a time in ticks that one level covers.
const BITS: u32 = 6;
/// Slots of a level.
const SLOTS: usize = 1 << BITS;
/// Levels of the wheel: these reach 20 years.
const LEVELS: usize = 6;

/// Names an entry, to remove it; it never names a later entry in the same place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    index: u32,
    generation: u32,
}

struct Entry<K> {
    /// None: the place is free.
    key: Option<K>,
    /// Entries that had this place before.
    generation: u32,
    /// In ticks, rounded up.
    due: u64,
    /// The list that it is in.
    list: u16,
    /// Its place in that list.
    place: u32,
}

/// The list of entries that were due already when they were added, behind the lists of the slots.
const DUE: usize = LEVELS * SLOTS;

/// Entries of type `K`, each with the time at which it expires.
pub struct TimingWheel<K> {
    /// In ticks: what was due by then has been taken out.
    now: u64,
    /// A list of entries for each slot, level by level, and then the list of what is due.
    lists: Vec<Vec<u32>>,
    /// By level: a bit for each slot that has entries.
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

/// The list of an entry that is due at `due`; both times are in ticks. The level is that of the highest digit, to the base `SLOTS`, in
/// which the two times differ.
fn list_for(due: u64, now: u64) -> usize {
    if due <= now {
        return DUE;
    }
    let highest_bit = u64::BITS - 1 - (due ^ now).leading_zeros();
    let level = (highest_bit / BITS) as usize;
    if level >= LEVELS {
        // The wheel does not reach that far: the entry is placed again when the last level begins its next round.
        return (LEVELS - 1) * SLOTS;
    }
    level * SLOTS + ((due >> (BITS * level as u32)) as usize & (SLOTS - 1))
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
            Some(index) => index,
            None => {
                self.entries.push(Entry { key: None, generation: 0, due: 0, list: 0, place: 0 });
                self.entries.len() as u32 - 1
            }
        };
        let entry = &mut self.entries[index as usize];
        (entry.key, entry.due) = (Some(key), due);
        let generation = entry.generation;
        self.place(index);
        Handle { index, generation }
    }

    fn place(&mut self, index: u32) {
        let due = self.entries[index as usize].due;
        let list = list_for(due, self.now);
        let place = self.lists[list].len() as u32;
        self.lists[list].push(index);
        if list < DUE {
            self.used[list / SLOTS] |= 1 << (list % SLOTS);
        }
        let entry = &mut self.entries[index as usize];
        (entry.list, entry.place) = (list as u16, place);
    }

    /// Removes an entry; whether it was still there.
    pub fn remove(&mut self, handle: Handle) -> bool {
        let is_named = |entry: &&Entry<K>| entry.generation == handle.generation && entry.key.is_some();
        let Some(entry) = self.entries.get(handle.index as usize).filter(is_named) else { return false };
        let (list, place) = (usize::from(entry.list), entry.place as usize);
        self.lists[list].swap_remove(place);
        if let Some(moved) = self.lists[list].get(place) {
            self.entries[*moved as usize].place = place as u32;
        } else if self.lists[list].is_empty() && list < DUE {
            self.used[list / SLOTS] &= !(1 << (list % SLOTS));
        }
        self.free_place(handle.index);
        true
    }

    fn free_place(&mut self, index: u32) -> Option<K> {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(index);
        entry.key.take()
    }

    /// When an entry may be due next; never later than when it is.
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
                // Only at the last level may a slot before this one be in use: its turn comes in the next round.
                let base = (self.now >> shift >> BITS) + 1;
                return Some(instant(base << BITS << shift));
            }
        }
        None
    }

    /// Removes what is due by now, in the order of the keys.
    pub fn advance(&mut self, now: Instant) -> Vec<K> {
        let until = ticks_down(now);
        while let Some(next) =
            self.next_slot().map(ticks_up).filter(|next| *next <= until && *next > self.now)
        {
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
        let mut out: Vec<K> = due.into_iter().filter_map(|index| self.free_place(index)).collect();
        out.sort_unstable();
        out
    }
}

#[cfg(test)]
mod tests;
