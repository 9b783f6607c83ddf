//! Gossip of operators' overrides to all hosts. The known overrides are a set that only grows by new ones and by what
//! ends them, so that the sets of all hosts converge whichever way messages take (a state-based CRDT; Shapiro et al.,
//! 2011). An override is identified by the host and generation that took it. Its end travels as the time left, which
//! needs no common clock, and the earliest end that was learned holds. One that was cleared is remembered as cleared
//! until it would have ended by itself on the slowest clock, so that a host that was away can't bring it back.

use std::collections::{BTreeMap, VecDeque};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_overrides::Origin;
use tackmast_wire::peer::OverrideRecord;

/// Greatest number of known overrides, ended ones included.
const MAX_KNOWN: usize = 20_000;
/// An override that has ended is remembered for so many seconds, and for this part of its whole duration: other hosts'
/// clocks may be slower.
const REMEMBER_S: f64 = 60.0;
const REMEMBER_FRACTION: f64 = 0.02;
/// Overrides that end within so many seconds are not in the digest: hosts may differ on whether they have ended.
const DIGEST_MARGIN_S: f64 = 5.0;
/// Overrides with less time left than this count as ended, in seconds.
const MIN_REMAINING_S: f64 = 0.05;

/// What this host is to do about an override that another host took.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideEvent {
    /// It is to be applied.
    Set {
        /// Identity of the override.
        origin: Origin,
        /// The override.
        record: OverrideRecord,
        /// Seconds that are left.
        seconds: f64,
    },
    /// It is to be cleared.
    Clear {
        /// Identity of the override.
        origin: Origin,
    },
}

#[derive(Clone, Debug)]
struct KnownOverride {
    record: OverrideRecord,
    ends: Instant,
    /// Whether this host applied it, and is to be told when it is cleared.
    applied: bool,
}

impl KnownOverride {
    fn remaining(&self, now: Instant) -> f64 {
        (self.ends - now).secs()
    }
}

/// The overrides that one host knows.
#[derive(Default)]
pub struct OverrideGossip {
    known: BTreeMap<Origin, KnownOverride>,
    events: VecDeque<OverrideEvent>,
    /// Overrides that were not taken as too many are known.
    pub over_limit: u64,
}

fn origin_of(record: &OverrideRecord) -> Origin {
    Origin { slot: record.slot, generation: record.generation, number: record.number }
}

impl OverrideGossip {
    /// Adds an override that this host took itself, or had persisted.
    pub fn add_local(&mut self, now: Instant, record: OverrideRecord) {
        let ends = now + TimeDelta::from_secs(record.remaining_ms as f64 / 1e3);
        let known = KnownOverride { record, ends, applied: true };
        self.known.entry(origin_of(&known.record)).or_insert(known);
    }

    /// An override was cleared on this host.
    pub fn clear_local(&mut self, origin: Origin) {
        if let Some(known) = self.known.get_mut(&origin) {
            known.record.cleared = true;
        }
    }

    /// Merges what a peer knows of an override.
    pub fn merge(&mut self, now: Instant, record: OverrideRecord) {
        let seconds = record.remaining_ms as f64 / 1e3;
        // What has ended elsewhere ends here by its own time if it is known; else it does not matter any more.
        if seconds < MIN_REMAINING_S {
            return;
        }
        let origin = origin_of(&record);
        let ends = now + TimeDelta::from_secs(seconds);
        if let Some(known) = self.known.get_mut(&origin) {
            // The time that a message takes only makes the end look later.
            known.ends = known.ends.min(ends);
            if record.cleared && !known.record.cleared {
                known.record.cleared = true;
                if known.applied && known.ends > now {
                    self.events.push_back(OverrideEvent::Clear { origin });
                }
            }
        } else if self.known.len() >= MAX_KNOWN {
            self.over_limit += 1;
        } else {
            let applied = !record.cleared;
            if applied {
                self.events.push_back(OverrideEvent::Set { origin, record: record.clone(), seconds });
            }
            self.known.insert(origin, KnownOverride { record, ends, applied });
        }
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<OverrideEvent> {
        self.events.pop_front()
    }

    /// Forgets overrides that have ended long enough ago.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.known.retain(|_, known| {
            let total = known.record.total_ms as f64 / 1e3;
            now - known.ends < TimeDelta::from_secs(REMEMBER_S + REMEMBER_FRACTION * total)
        });
    }

    /// Digest of the known overrides, cleared ones included, without those that end soon.
    pub fn digest(&self, now: Instant) -> u32 {
        let lasting = self.known.iter().filter(|(_, known)| known.remaining(now) > DIGEST_MARGIN_S);
        // Added up, so that the order does not matter.
        let checksums = lasting.map(|(origin, known)| checksum(origin, known.record.cleared));
        checksums.reduce(u32::wrapping_add).unwrap_or(0)
    }

    /// All overrides that have not ended, cleared ones included, with the time that is left now.
    pub fn records(&self, now: Instant) -> Vec<OverrideRecord> {
        let lasting = self.known.values().filter(|known| known.remaining(now) > MIN_REMAINING_S);
        let record = |known: &KnownOverride| {
            let remaining_ms = (known.remaining(now) * 1e3) as u64;
            OverrideRecord { remaining_ms, ..known.record.clone() }
        };
        lasting.map(record).collect()
    }

    /// Number of the overrides in force.
    pub fn active_count(&self, now: Instant) -> usize {
        self.known.values().filter(|known| known.ends > now && !known.record.cleared).count()
    }
}

fn checksum(origin: &Origin, cleared: bool) -> u32 {
    let mut bytes = [0u8; 21];
    bytes[..4].copy_from_slice(&origin.slot.to_be_bytes());
    bytes[4..12].copy_from_slice(&origin.generation.to_be_bytes());
    bytes[12..20].copy_from_slice(&origin.number.to_be_bytes());
    bytes[20] = u8::from(cleared);
    crc32c::crc32c(&bytes)
}
