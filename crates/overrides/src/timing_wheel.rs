//! A hierarchical timing wheel: entries wait in slots whose width grows from level to level, so that adding and removing an entry
//! costs the same however many there are. `tackmast benchmark --timers` compares it with a binary heap.

use tackmast::interface::Instant;

/// The width of the narrowest slot, in microseconds: an entry expires at most this much too late.
const RESOLUTION_US: i64 = 10_000;
/// The number of bits of a time in ticks that one level covers.
const BITS: u32 = 6;
/// The number of slots of a level.
const SLOTS: usize = 1 << BITS;
/// The number of levels. Six levels cover 20 years.
const LEVELS: usize = 6;

/// Identifies an entry, to remove it. A handle never identifies a later entry that reuses the same place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    index: u32,
    generation: u32,
}

struct Entry<K> {
    /// `None` if the place is free.
    key: Option<K>,
    /// The number of entries that had this place before.
    generation: u32,
    /// The expiry time in ticks, rounded up.
    due: u64,
    /// The index of the list that the entry is in.
    list: u16,
    /// The entry's position in that list.
    position: u32,
}

/// The index of the list of entries that are due. It follows the lists of the slots.
const DUE: usize = LEVELS * SLOTS;

/// Entries of type `K`, each with the time at which it expires.
pub struct TimingWheel<K> {
    /// The time up to which the wheel has advanced, in ticks.
    now: u64,
    /// The indices of the entries in each slot, level by level, and then those of the entries that are due.
    lists: Vec<Vec<u32>>,
    /// For each level, a bit for each slot that has entries.
    used: [u64; LEVELS],
    entries: Vec<Entry<K>>,
    /// The indices of free places in `entries`.
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

/// Returns the index of the list for an entry that is due at `due`; both times are in ticks. Its level is that of the highest digit,
/// to the base `SLOTS`, in which the two times differ.
fn list_for(due: u64, now: u64) -> usize {
    if due <= now {
        return DUE;
    }
    let highest_bit = u64::BITS - 1 - (due ^ now).leading_zeros();
    let level = (highest_bit / BITS) as usize;
    if level >= LEVELS {
        // The time is beyond the wheel's range: the entry is placed again when the last level begins its next round.
        return (LEVELS - 1) * SLOTS;
    }
    level * SLOTS + ((due >> (BITS * level as u32)) as usize & (SLOTS - 1))
}

impl<K: Copy + Ord> TimingWheel<K> {
    /// Creates an empty wheel that starts at `now`.
    pub fn new(now: Instant) -> Self {
        TimingWheel {
            now: ticks_down(now),
            lists: (0..=DUE).map(|_| Vec::new()).collect(),
            used: [0; LEVELS],
            entries: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Returns the number of entries that have not been taken out or removed.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Returns whether the wheel has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an entry that expires at `at`. If that is in the past, the next call of `advance` returns it.
    pub fn put(&mut self, key: K, at: Instant) -> Handle {
        let due = ticks_up(at);
        let index = match self.free.pop() {
            Some(index) => index,
            None => {
                self.entries.push(Entry { key: None, generation: 0, due: 0, list: 0, position: 0 });
                self.entries.len() as u32 - 1
            }
        };
        let entry = &mut self.entries[index as usize];
        (entry.key, entry.due) = (Some(key), due);
        let generation = entry.generation;
        self.insert_into_list(index);
        Handle { index, generation }
    }

    /// Puts an entry into the list for its expiry time.
    fn insert_into_list(&mut self, index: u32) {
        let due = self.entries[index as usize].due;
        let list = list_for(due, self.now);
        let position = self.lists[list].len() as u32;
        self.lists[list].push(index);
        if list < DUE {
            self.used[list / SLOTS] |= 1 << (list % SLOTS);
        }
        let entry = &mut self.entries[index as usize];
        (entry.list, entry.position) = (list as u16, position);
    }

    /// Removes an entry. Returns whether it was still in the wheel.
    pub fn remove(&mut self, handle: Handle) -> bool {
        let is_identified = |entry: &&Entry<K>| entry.generation == handle.generation && entry.key.is_some();
        let Some(entry) = self.entries.get(handle.index as usize).filter(is_identified) else { return false };
        let (list, position) = (usize::from(entry.list), entry.position as usize);
        self.lists[list].swap_remove(position);
        if let Some(moved) = self.lists[list].get(position) {
            self.entries[*moved as usize].position = position as u32;
        } else if self.lists[list].is_empty() && list < DUE {
            self.used[list / SLOTS] &= !(1 << (list % SLOTS));
        }
        self.free_place(handle.index);
        true
    }

    /// Frees an entry's place and returns its key.
    fn free_place(&mut self, index: u32) -> Option<K> {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(index);
        entry.key.take()
    }

    /// Returns a time no later than that at which the next entry is due, or `None` if there are no entries.
    pub fn next(&self) -> Option<Instant> {
        if !self.lists[DUE].is_empty() {
            return Some(instant(self.now));
        }
        self.next_slot()
    }

    /// Returns when the next slot that has entries begins.
    fn next_slot(&self) -> Option<Instant> {
        for level in 0..LEVELS {
            let shift = BITS * level as u32;
            let current_slot = (self.now >> shift) as usize & (SLOTS - 1);
            let ahead = self.used[level] & (u64::MAX.checked_shl(current_slot as u32 + 1).unwrap_or(0));
            if ahead > 0 {
                let slot = u64::from(ahead.trailing_zeros());
                let base = self.now >> shift >> BITS << BITS;
                return Some(instant((base | slot) << shift));
            }
            if self.used[level] > 0 {
                // A slot up to the current one can only be in use at the last level: it begins in the next round.
                let base = (self.now >> shift >> BITS) + 1;
                return Some(instant(base << BITS << shift));
            }
        }
        None
    }

    /// Removes the entries that are due at `now` and returns their keys in ascending order.
    pub fn advance(&mut self, now: Instant) -> Vec<K> {
        let until = ticks_down(now);
        while let Some(next) =
            self.next_slot().map(ticks_up).filter(|next| *next <= until && *next > self.now)
        {
            self.now = next;
            for level in 0..LEVELS {
                let shift = BITS * level as u32;
                // A slot of this level begins now only if all lower digits are zero.
                if level > 0 && next & ((1 << shift) - 1) != 0 {
                    break;
                }
                let slot = (next >> shift) as usize & (SLOTS - 1);
                self.used[level] &= !(1 << slot);
                for index in std::mem::take(&mut self.lists[level * SLOTS + slot]) {
                    self.insert_into_list(index);
                }
            }
        }
        self.now = self.now.max(until);
        let due = std::mem::take(&mut self.lists[DUE]);
        let mut keys: Vec<K> = due.into_iter().filter_map(|index| self.free_place(index)).collect();
        keys.sort_unstable();
        keys
    }
}

#[cfg(test)]
mod tests;
