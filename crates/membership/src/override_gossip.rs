//! Gossip of operators' overrides to all hosts. The known overrides form a set to which hosts only add overrides and marks
//! that one is cleared, so that the sets of all hosts converge in whichever order messages arrive (a state-based CRDT;
//! Shapiro et al., 2011).
//!
//! An override is identified by the host and generation that took it. Messages carry its remaining time, which needs no
//! common clock; of several ends that a host learns, the earliest holds. A cleared override is remembered as cleared until
//! it would have ended on the slowest clock. A host that was cut off, and does not know that it is cleared, would else set
//! it again everywhere.

use std::collections::{BTreeMap, VecDeque};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_overrides::Origin;
use tackmast_wire::peer::OverrideRecord;

/// Greatest number of known overrides, ended ones included.
const MAX_KNOWN: usize = 20_000;
/// How long an override is remembered after its end, beside a fraction of its duration: peers' clocks may be slower.
const RETENTION_AFTER_END: TimeDelta = TimeDelta::from_millis(60_000);
/// Fraction of an override's duration for which it is remembered longer after its end.
const RETENTION_FRACTION: f64 = 0.02;
/// Overrides with no more time left than this are not in the digest: hosts may differ on whether they have ended.
const DIGEST_MARGIN: TimeDelta = TimeDelta::from_millis(5_000);
/// Overrides with less time left than this count as ended.
const MIN_REMAINING: TimeDelta = TimeDelta::from_millis(50);
/// Bytes that an override's checksum is computed of.
const OVERRIDE_CHECKSUM_INPUT_LEN: usize = 21;

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
    /// Whether this host applied it, and so has to undo it when it is cleared.
    applied: bool,
}

impl KnownOverride {
    /// Seconds until its end.
    fn remaining(&self, now: Instant) -> f64 {
        (self.ends - now).secs()
    }
}

/// The overrides that one host knows.
#[derive(Default)]
pub struct OverrideGossip {
    known: BTreeMap<Origin, KnownOverride>,
    events: VecDeque<OverrideEvent>,
    /// Overrides that were not accepted because too many are known.
    pub over_limit: u64,
}

fn origin_of(record: &OverrideRecord) -> Origin {
    Origin { slot: record.slot, generation: record.generation, number: record.number }
}

impl OverrideGossip {
    /// Adds an override that this host took itself, or had persisted.
    pub(crate) fn add_local(&mut self, now: Instant, record: OverrideRecord) {
        let ends = now + TimeDelta::from_secs(record.remaining_ms as f64 / 1e3);
        let known = KnownOverride { record, ends, applied: true };
        self.known.entry(origin_of(&known.record)).or_insert(known);
    }

    /// An override was cleared on this host.
    pub(crate) fn clear_local(&mut self, origin: Origin) {
        if let Some(known) = self.known.get_mut(&origin) {
            known.record.cleared = true;
        }
    }

    /// Merges what a peer knows of an override.
    pub fn merge(&mut self, now: Instant, record: OverrideRecord) {
        let seconds = record.remaining_ms as f64 / 1e3;
        // A known override ends here by its own time. An unknown one that has ended at a peer has no effect any more.
        if seconds < MIN_REMAINING.secs() {
            return;
        }
        let origin = origin_of(&record);
        let ends = now + TimeDelta::from_secs(seconds);
        if let Some(known) = self.known.get_mut(&origin) {
            // A message's time on its way makes the end look later than it is, never earlier.
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
            now - known.ends < retention_time(total)
        });
    }

    /// Digest of the known overrides, cleared ones included, without those that end soon.
    pub fn digest(&self, now: Instant) -> u32 {
        let lasting = self.known.iter().filter(|(_, known)| known.remaining(now) > DIGEST_MARGIN.secs());
        // A sum does not depend on the order of the overrides.
        let checksums = lasting.map(|(origin, known)| checksum(origin, known.record.cleared));
        checksums.reduce(u32::wrapping_add).unwrap_or(0)
    }

    /// All overrides that have not ended, cleared ones included, with the time that is left now.
    pub fn records(&self, now: Instant) -> Vec<OverrideRecord> {
        let lasting = self.known.values().filter(|known| known.remaining(now) > MIN_REMAINING.secs());
        let record = |known: &KnownOverride| {
            let remaining_ms = (known.remaining(now) * 1e3) as u64;
            OverrideRecord { remaining_ms, ..known.record.clone() }
        };
        lasting.map(record).collect()
    }
}

/// How long an override of so many seconds is remembered after its end.
fn retention_time(duration_secs: f64) -> TimeDelta {
    TimeDelta::from_secs(RETENTION_AFTER_END.secs() + RETENTION_FRACTION * duration_secs)
}

fn checksum(origin: &Origin, cleared: bool) -> u32 {
    let mut bytes = [0u8; OVERRIDE_CHECKSUM_INPUT_LEN];
    bytes[..4].copy_from_slice(&origin.slot.to_be_bytes());
    bytes[4..12].copy_from_slice(&origin.generation.to_be_bytes());
    bytes[12..20].copy_from_slice(&origin.number.to_be_bytes());
    bytes[20] = u8::from(cleared);
    crc32c::crc32c(&bytes)
}
