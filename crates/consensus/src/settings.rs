//! Settings of a replica.

use crate::log::LogLength;
use crate::state::PersistentState;
use std::collections::BTreeSet;
use tackmast::interface::TimeDelta;
use tackmast_wire::consensus::DiskIdentity;

/// Intervals and bounds that all replicas of a group share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RaftSettings {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: TimeDelta,
    /// Without a message from a leader for this long, and up to twice as long at random, a voter starts an election.
    pub election_timeout: TimeDelta,
    /// How long a lease lasts, from when it was requested.
    pub lease_duration: TimeDelta,
    /// Fraction by which the replicas' monotonic clocks may drift apart.
    pub max_clock_drift: f64,
    /// Host numbers are below this.
    pub host_count: u32,
    /// Entries after which a snapshot is taken.
    pub snapshot_after_entries: u64,
    /// Bytes of entries after which a snapshot is taken.
    pub snapshot_after_bytes: usize,
}

impl RaftSettings {
    /// Whether the log has grown so long since its last snapshot that a new one is due.
    pub(crate) fn is_snapshot_due(&self, since_snapshot: LogLength) -> bool {
        since_snapshot.entries >= self.snapshot_after_entries
            || since_snapshot.bytes >= self.snapshot_after_bytes
    }

    pub(crate) fn heartbeats(&self, count: f64) -> TimeDelta {
        TimeDelta::from_secs(self.heartbeat_interval.secs() * count)
    }

    pub(crate) fn election_timeouts(&self, count: f64) -> TimeDelta {
        TimeDelta::from_secs(self.election_timeout.secs() * count)
    }
}

/// Settings and persistent state of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// This replica's host number.
    pub host: u32,
    /// The disk that it runs from.
    pub identity: DiskIdentity,
    /// What all replicas share.
    pub raft: RaftSettings,
    /// Hosts that vote while the group has no log yet.
    pub initial_voters: BTreeSet<u32>,
    /// The state on its disk.
    pub persisted: PersistentState,
    /// Seed of its random numbers: election timeouts, and ids of logs and disks.
    pub seed: u64,
}
