//! Status and counters of a replica, for operators and tests.

use std::collections::BTreeMap;
use std::fmt;
use tackmast::interface::TimeDelta;
use tackmast_wire::consensus::Voters;

/// The role of a Raft server (Raft, section 5.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Appends a leader's entries, or fetches committed entries as a learner.
    #[default]
    Follower,
    /// Requests votes or pre-votes.
    Candidate,
    /// Accepts proposals and replicates them.
    Leader,
}

impl fmt::Display for ReplicaRole {
    /// Writes the role as the admin protocol spells it.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            ReplicaRole::Follower => "follows",
            ReplicaRole::Candidate => "asks for votes",
            ReplicaRole::Leader => "leads",
        })
    }
}

/// The last report of another replica to the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowerStatus {
    /// Index of the last entry that the replica reported to have on disk.
    pub stored_index: u64,
    /// Time since that report.
    pub silent_for: TimeDelta,
}

/// The state of a replica at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Whether the replica is a follower, a candidate or the leader.
    pub role: ReplicaRole,
    /// The latest term that the replica has seen.
    pub term: u64,
    /// Host number of the leader that the replica knows of, if any.
    pub leader: Option<u32>,
    /// Index of the last entry in the replica's log.
    pub last_index: u64,
    /// Index of the last entry that the replica knows to be committed.
    pub commit_index: u64,
    /// Index of the last entry that the replica's snapshot covers.
    pub snapshot_index: u64,
    /// The latest configuration in the log, committed or not.
    pub voters: Voters,
    /// Whether the replica may vote: its host number is a voter's, and its disk is the one registered for it.
    pub is_voter: bool,
    /// Whether the replica has a log, its group's bootstrap being complete.
    pub bootstrapped: bool,
    /// Whether a write failed. The replica then takes no part until it restarts.
    pub disk_failed: bool,
    /// On a leader, the last report of each other replica by host number; else empty.
    pub followers: BTreeMap<u32, FollowerStatus>,
}

/// Numbers of events since the replica started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Elections that the replica started, each with a pre-vote.
    pub elections: u64,
    /// Elections that the replica won.
    pub terms_led: u64,
    /// Entries that the replica learned to be committed.
    pub commits: u64,
    /// Leases that the replica granted as leader.
    pub leases_granted: u64,
    /// Messages rejected because they came from a disk that is not a voter's, or from an old copy of a voter's disk.
    pub rejected_disks: u64,
    /// Messages dropped because too many were waiting for a write.
    pub dropped_messages: u64,
    /// Snapshots received from other replicas and installed.
    pub snapshots_installed: u64,
    /// Snapshots of the replica's own state machine.
    pub snapshots_taken: u64,
}
