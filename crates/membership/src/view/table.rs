//! What is known of the other hosts, a line each; and beside it what ticks ask for, so that none of them walks a fleet of
//! hundreds: who is there, who is suspected, who was found dead alone, and the sum of all lines.

use super::*;
use std::ops::Deref;

#[derive(Default)]
pub(super) struct Table {
    lines: OrdMap<u32, Seen>,
    /// Those that are there, by number.
    live: Vec<u32>,
    suspects: BTreeSet<u32>,
    alone: BTreeSet<u32>,
    /// Over all lines, wherever they stand.
    sum: u32,
}

impl Deref for Table {
    type Target = OrdMap<u32, Seen>;

    fn deref(&self) -> &Self::Target {
        &self.lines
    }
}

/// One host's part of a digest.
pub(super) fn mark(
    slot: u32,
    generation: u64,
    incarnation: u32,
    health: Health,
    a: SocketAddr,
    site: Option<u32>,
) -> u32 {
    let mut bytes = [0u8; 39];
    bytes[..4].copy_from_slice(&slot.to_be_bytes());
    bytes[4..12].copy_from_slice(&generation.to_be_bytes());
    bytes[12..16].copy_from_slice(&incarnation.to_be_bytes());
    bytes[16] = health as u8;
    match a.ip() {
        std::net::IpAddr::V4(ip) => bytes[17..21].copy_from_slice(&ip.octets()),
        std::net::IpAddr::V6(ip) => bytes[17..33].copy_from_slice(&ip.octets()),
    }
    bytes[33..35].copy_from_slice(&a.port().to_be_bytes());
    bytes[35..].copy_from_slice(&site.unwrap_or(u32::MAX).to_be_bytes());
    crc32c::crc32c(&bytes)
}

impl Table {
    pub fn put(&mut self, slot: u32, seen: Seen) {
        self.remove(slot);
        if seen.is_there() {
            if let Err(i) = self.live.binary_search(&slot) {
                self.live.insert(i, slot);
            }
        }
        if seen.health == Health::Suspect {
            self.suspects.insert(slot);
        }
        if seen.alone {
            self.alone.insert(slot);
        }
        // Added up, so that the order does not matter.
        self.sum = self.sum.wrapping_add(self.mark_of(slot, &seen));
        self.lines.insert(slot, seen);
    }

    pub fn remove(&mut self, slot: u32) {
        let Some(old) = self.lines.remove(&slot) else { return };
        self.sum = self.sum.wrapping_sub(self.mark_of(slot, &old));
        if let Ok(i) = self.live.binary_search(&slot) {
            self.live.remove(i);
        }
        self.suspects.remove(&slot);
        self.alone.remove(&slot);
    }

    fn mark_of(&self, slot: u32, s: &Seen) -> u32 {
        mark(slot, s.generation, s.incarnation, s.health, s.address, s.site)
    }

    pub fn live(&self) -> &[u32] {
        &self.live
    }

    pub fn suspects(&self) -> &BTreeSet<u32> {
        &self.suspects
    }

    pub fn alone(&self) -> &BTreeSet<u32> {
        &self.alone
    }

    pub fn sum(&self) -> u32 {
        self.sum
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_stands_beside_the_lines_is_what_they_say() {
        let mut chance = oorandom::Rand32::new(7);
        let mut table = Table::default();
        let now = Instant::from_secs(1.0);
        for _ in 0..3_000 {
            let slot = chance.rand_range(0..40);
            if chance.rand_range(0..8) == 0 {
                table.remove(slot);
                continue;
            }
            let health = [Health::Alive, Health::Suspect, Health::Dead, Health::Left]
                [chance.rand_range(0..4) as usize];
            let seen = Seen {
                generation: u64::from(chance.rand_range(0..3)),
                incarnation: chance.rand_range(0..3),
                health,
                address: SocketAddr::from(([10, 0, 0, slot as u8], 7)),
                site: None,
                since: now,
                by: Vec::new(),
                heard: None,
                lost: None,
                stirs: 0.0,
                stirred: now,
                told_back: None,
                alone: chance.rand_range(0..2) == 0,
            };
            table.put(slot, seen);
            let of = |f: fn(&Seen) -> bool| -> Vec<u32> {
                table.iter().filter(|(_, s)| f(s)).map(|(k, _)| *k).collect()
            };
            assert_eq!(table.live(), of(Seen::is_there));
            assert_eq!(
                table.suspects().iter().copied().collect::<Vec<_>>(),
                of(|s| s.health == Health::Suspect)
            );
            assert_eq!(table.alone().iter().copied().collect::<Vec<_>>(), of(|s| s.alone));
            let sum = table.iter().fold(0u32, |x, (k, s)| x.wrapping_add(table.mark_of(*k, s)));
            assert_eq!(table.sum(), sum);
        }
    }
}
