//! A bounded table of the volumes that clients name, and the numbers by which the scheduler knows them.

use std::collections::HashMap;
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
    next_number: usize,
    max_volumes: usize,
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
        is_in_use: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if let Some(volume) = self.volumes.get_mut(&name) {
            volume.last_used = now;
            return Some(volume.number);
        }
        if self.volumes.len() >= self.max_volumes {
            let is_unused = |(_, volume): &(&u64, &NumberedVolume)| !is_in_use(volume.number);
            let by_last_use = |(name, volume): &(&u64, &NumberedVolume)| (volume.last_used, **name);
            let (oldest, _) = self.volumes.iter().filter(is_unused).min_by_key(by_last_use)?;
            let oldest = *oldest;
            self.volumes.remove(&oldest);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.volumes.insert(name, NumberedVolume { number, last_used: now });
        Some(number)
    }
}

#[cfg(test)]
mod tests;
