//! Persistent state (Raft, figure 2), and the writes that change it.

use crate::log::Snapshot;
use std::collections::BTreeMap;
use tackmast_wire::consensus::{DiskIdentity, Entry, Voters};

/// A replica's current term and its vote in that term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The latest term that this replica has seen.
    pub term: u64,
    /// Host number of the candidate that it voted for in that term; `None` before it votes.
    pub voted_for: Option<u32>,
}

/// The state on a replica's disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// The current term and vote.
    pub hard_state: HardState,
    /// The snapshot that the log starts with.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The initial voters and their disks, as this replica confirmed them during bootstrap.
    pub confirmed_voters: Option<Voters>,
    /// Disks of other voters by host number, as last reported.
    pub known_disks: BTreeMap<u32, DiskIdentity>,
}

/// The entries of a log from an index to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogSuffix {
    /// Index of the first entry.
    pub first_index: u64,
    /// The entries in order of their indexes.
    pub entries: Vec<Entry>,
}

/// An atomic change of the persistent state. Fields that are `None` stay unchanged on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Write {
    /// Number of the write. Writes are performed in the order of their numbers.
    pub write_id: u64,
    /// The new term and vote.
    pub hard_state: Option<HardState>,
    /// The new snapshot. It replaces the old one and all entries; `entries` then holds those after the snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries that replace all entries from the first index on.
    pub entries: Option<LogSuffix>,
    /// The initial voters and their disks that this replica confirms.
    pub confirmed_voters: Option<Voters>,
    /// All known disks of other voters, by host number.
    pub known_disks: Option<BTreeMap<u32, DiskIdentity>>,
    /// The new id of this replica's disk. Votes under the old id are no longer possible.
    pub disk: Option<u64>,
}
