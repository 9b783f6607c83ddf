//! Settings of a replica and of its group.

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
    /// Time without a message from a leader after which a voter starts an election. Each timeout is chosen at random
    /// between one and two times this value.
    pub election_timeout: TimeDelta,
    /// Duration of a lease, counted from when it was requested.
    pub lease_duration: TimeDelta,
    /// Greatest fraction by which the replicas' monotonic clocks may drift apart.
    pub max_clock_drift: f64,
    /// Number of hosts. Host numbers are below it.
    pub host_count: u32,
    /// Number of entries in the log after which a snapshot is taken.
    pub snapshot_after_entries: u64,
    /// Size of the entries in memory, in bytes, after which a snapshot is taken.
    pub snapshot_after_bytes: usize,
}

impl RaftSettings {
    /// Returns whether the log has grown enough since its last snapshot for a new one to be taken.
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
    /// The disk that this replica runs from.
    pub identity: DiskIdentity,
    /// Settings that all replicas of the group share.
    pub raft: RaftSettings,
    /// Host numbers of the voters that bootstrap the group. Not used once the group has a log.
    pub initial_voters: BTreeSet<u32>,
    /// The state on this replica's disk.
    pub persisted: PersistentState,
    /// Seed of the random numbers for election timeouts and for ids of logs and disks.
    pub seed: u64,
}
