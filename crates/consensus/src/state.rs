//! Persistent state (Raft, figure 2), and the writes that change it.

use crate::log::Snapshot;
use std::collections::BTreeMap;
use tackmast_wire::consensus::{DiskIdentity, Entry, Voters};

/// The term, and the vote in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The newest term that this replica has seen.
    pub term: u64,
    /// The candidate that it voted for in that term.
    pub voted_for: Option<u32>,
}

/// The state on a replica's disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The snapshot that the log begins with.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
    /// During bootstrap: the voters' disks that this replica has confirmed.
    pub confirmed_voters: Option<Voters>,
    /// Disks of other voters, as they last reported them.
    pub known_disks: BTreeMap<u32, DiskIdentity>,
}

/// The end of the log from an entry on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogSuffix {
    /// Index of the first entry.
    pub first_index: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// A change of the persistent state: to be on disk as a whole, or not at all, before it is reported as persisted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Write {
    /// Number of the write; they are to be done in this order.
    pub write_id: u64,
    /// The new term and vote.
    pub hard_state: Option<HardState>,
    /// Replaces the old snapshot and all entries; `entries` has those that follow it.
    pub snapshot: Option<Snapshot>,
    /// Replaces all entries from its first index on.
    pub entries: Option<LogSuffix>,
    /// The voters' disks that this replica confirms.
    pub confirmed_voters: Option<Voters>,
    /// The disks of other voters.
    pub known_disks: Option<BTreeMap<u32, DiskIdentity>>,
    /// The disk's new id. It does not vote with its old one any more.
    pub disk: Option<u64>,
}
