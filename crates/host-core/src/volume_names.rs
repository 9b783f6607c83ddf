//! A bounded table of the volumes that clients name, and the numbers by which the scheduler knows them.

use std::collections::{BTreeSet, HashMap};
use tackmast::interface::Instant;

#[derive(Clone, Copy, Debug)]
struct NumberedVolume {
    number: usize,
    last_used: Instant,
}

/// The scheduler's numbers of the volumes that clients name.
#[derive(Debug, Default)]
pub(crate) struct VolumeNames {
    volumes: HashMap<u64, NumberedVolume>,
    /// The names of all volumes by their last use.
    by_last_use: BTreeSet<(Instant, u64)>,
    next_number: usize,
    max_volumes: usize,
    /// The number of the volume that was evicted last, until it is taken.
    evicted: Option<usize>,
}

impl VolumeNames {
    /// Creates a table of at most `max_volumes` volumes.
    pub(crate) fn new(max_volumes: usize) -> Self {
        VolumeNames { max_volumes, ..VolumeNames::default() }
    }

    /// Returns the number of a volume and assigns one to a new volume, or `None` if the table is full of volumes in use.
    ///
    /// A client that names a new volume in each request would let this table, and with it the memory of the process, grow without
    /// bound. So a full table evicts the least recently used volume that is not in use. A number is never assigned to a second
    /// volume, since the scheduler would apply to it what it has learned of the first.
    pub(crate) fn number(
        &mut self,
        now: Instant,
        name: u64,
        is_in_use: impl FnMut(usize) -> bool,
    ) -> Option<usize> {
        if let Some(volume) = self.volumes.get_mut(&name) {
            self.by_last_use.remove(&(volume.last_used, name));
            self.by_last_use.insert((now, name));
            volume.last_used = now;
            return Some(volume.number);
        }
        if self.volumes.len() >= self.max_volumes {
            self.evict_least_recently_used(is_in_use)?;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.volumes.insert(name, NumberedVolume { number, last_used: now });
        self.by_last_use.insert((now, name));
        Some(number)
    }

    /// Evicts the least recently used volume that is not in use; `None` if all are in use.
    fn evict_least_recently_used(&mut self, mut is_in_use: impl FnMut(usize) -> bool) -> Option<()> {
        let volumes = &self.volumes;
        let is_unused =
            |(_, name): &&(Instant, u64)| volumes.get(name).is_none_or(|volume| !is_in_use(volume.number));
        let oldest = *self.by_last_use.iter().find(is_unused)?;
        self.by_last_use.remove(&oldest);
        self.evicted = self.volumes.remove(&oldest.1).map(|volume| volume.number);
        Some(())
    }

    /// Returns, once, the number of the volume that the last call of `number` evicted.
    pub(crate) fn take_evicted(&mut self) -> Option<usize> {
        self.evicted.take()
    }
}

#[cfg(test)]
mod tests;
