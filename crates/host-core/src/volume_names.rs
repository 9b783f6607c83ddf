//! Clients' names of volumes, of which the scheduler knows only small numbers. The table is bounded.

use std::collections::HashMap;
use tackmast::interface::Instant;

/// The number of a volume, and when it was last asked for.
#[derive(Clone, Copy, Debug)]
struct NumberedVolume {
    number: usize,
    last_used: Instant,
}

/// Clients' names of volumes, as the small numbers by which the scheduler knows them.
#[derive(Debug, Default)]
pub(crate) struct VolumeNames {
    volumes: HashMap<u64, NumberedVolume>,
    next_number: usize,
    max_volumes: usize,
}

impl VolumeNames {
    /// A table of at most so many volumes.
    pub(crate) fn new(max_volumes: usize) -> Self {
        VolumeNames { max_volumes, ..VolumeNames::default() }
    }

    /// The volume's number; none: the table is full of volumes that are in use.
    ///
    /// A client that names a new volume in each request would grow this table without bound, which shows as rising memory. So in a
    /// full table the volume that was used longest ago is evicted, of those that are not in use. A number never passes to another
    /// volume: else what the scheduler has learned of one volume would be applied to another.
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
