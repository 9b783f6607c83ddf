//! Gossips operators' overrides to all hosts. The known overrides form a set to which hosts only add overrides and marks
//! that one is cleared, so that the sets of all hosts converge in any order of messages (a state-based CRDT; Shapiro et
//! al., 2011).
//!
//! An override is identified by the host and generation that accepted it from an operator, and a number. Messages carry its
//! remaining time, which needs no synchronized clocks. If a host learns several ends of an override, the earliest
//! applies. A cleared override is kept until it would have ended on the slowest clock. Otherwise a host that was cut
//! off, and has not learned that it is cleared, would set it again on all hosts.

use std::collections::{BTreeMap, VecDeque};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_overrides::Origin;
use tackmast_wire::peer::OverrideRecord;

/// Maximum number of known overrides, ended ones included.
const MAX_KNOWN: usize = 20_000;
/// How long an override is kept after its end, in addition to a fraction of its duration, as peers' clocks may be slower.
const RETENTION_AFTER_END: TimeDelta = TimeDelta::from_millis(60_000);
/// Fraction of an override's duration for which it is kept longer after its end.
const RETENTION_FRACTION: f64 = 0.02;
/// Overrides with no more remaining time than this are not in the digest, as hosts may differ on whether they have ended.
const DIGEST_MARGIN: TimeDelta = TimeDelta::from_millis(5_000);
/// Overrides with less remaining time than this count as ended.
const MIN_REMAINING: TimeDelta = TimeDelta::from_millis(50);
/// Length in bytes of the input of an override's checksum.
const OVERRIDE_CHECKSUM_INPUT_LEN: usize = 21;

/// An action that this host is to perform on an override that another host accepted from an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideEvent {
    /// Apply the override.
    Set {
        /// Identity of the override.
        origin: Origin,
        /// Override to apply.
        record: OverrideRecord,
        /// Remaining time in seconds.
        seconds: f64,
    },
    /// Clear the override.
    Clear {
        /// Identity of the override.
        origin: Origin,
    },
}

#[derive(Clone, Debug)]
struct KnownOverride {
    record: OverrideRecord,
    ends_at: Instant,
    /// Whether this host applied the override, and has to undo it when it is cleared.
    applied: bool,
}

impl KnownOverride {
    /// Returns the seconds until the override ends.
    fn remaining_secs(&self, now: Instant) -> f64 {
        (self.ends_at - now).secs()
    }
}

/// Gossip of overrides on one host: the overrides that it knows.
#[derive(Default)]
pub struct OverrideGossip {
    known: BTreeMap<Origin, KnownOverride>,
    events: VecDeque<OverrideEvent>,
    /// Number of overrides that were not accepted because too many are known.
    pub over_limit: u64,
}

fn origin_of(record: &OverrideRecord) -> Origin {
    Origin { slot: record.slot, generation: record.generation, number: record.number }
}

impl OverrideGossip {
    /// Adds an override that this host accepted from an operator, or that it had persisted.
    pub(crate) fn add_local(&mut self, now: Instant, record: OverrideRecord) {
        let ends_at = now + TimeDelta::from_secs(record.remaining_ms as f64 / 1e3);
        let known = KnownOverride { record, ends_at, applied: true };
        self.known.entry(origin_of(&known.record)).or_insert(known);
    }

    /// Records that an override was cleared on this host.
    pub(crate) fn clear_local(&mut self, origin: Origin) {
        if let Some(known) = self.known.get_mut(&origin) {
            known.record.cleared = true;
        }
    }

    /// Merges a peer's record of an override.
    pub fn merge(&mut self, now: Instant, record: OverrideRecord) {
        let seconds = record.remaining_ms as f64 / 1e3;
        // A known override ends here at its own time. An unknown one that has ended at a peer has no effect any more.
        if seconds < MIN_REMAINING.secs() {
            return;
        }
        let origin = origin_of(&record);
        let ends_at = now + TimeDelta::from_secs(seconds);
        if let Some(known) = self.known.get_mut(&origin) {
            // The delay of a message can only make the end appear later than it is.
            known.ends_at = known.ends_at.min(ends_at);
            if record.cleared && !known.record.cleared {
                known.record.cleared = true;
                if known.applied && known.ends_at > now {
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
            self.known.insert(origin, KnownOverride { record, ends_at, applied });
        }
    }

    /// Returns the next event, or `None` when all have been polled.
    pub fn poll_event(&mut self) -> Option<OverrideEvent> {
        self.events.pop_front()
    }

    /// Removes overrides whose retention after their end has elapsed.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.known.retain(|_, known| {
            let total = known.record.total_ms as f64 / 1e3;
            now - known.ends_at < retention_time(total)
        });
    }

    /// Returns the digest of the known overrides, cleared ones included, except those that end soon.
    pub fn digest(&self, now: Instant) -> u32 {
        let lasting = self.known.iter().filter(|(_, known)| known.remaining_secs(now) > DIGEST_MARGIN.secs());
        // A sum does not depend on the order of the overrides.
        let checksums = lasting.map(|(origin, known)| checksum(origin, known.record.cleared));
        checksums.reduce(u32::wrapping_add).unwrap_or(0)
    }

    /// Returns all overrides that have not ended, cleared ones included, with their time that remains now.
    pub fn records(&self, now: Instant) -> Vec<OverrideRecord> {
        let lasting = self.known.values().filter(|known| known.remaining_secs(now) > MIN_REMAINING.secs());
        let record = |known: &KnownOverride| {
            let remaining_ms = (known.remaining_secs(now) * 1e3) as u64;
            OverrideRecord { remaining_ms, ..known.record.clone() }
        };
        lasting.map(record).collect()
    }
}

/// Returns how long an override is kept after its end, by its duration in seconds.
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
