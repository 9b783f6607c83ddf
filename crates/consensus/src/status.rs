//! The state of a replica as operators and tests read it.

use std::collections::BTreeMap;
use std::fmt;
use tackmast::interface::TimeDelta;
use tackmast_wire::consensus::Voters;

/// The state that a Raft server is in (Raft, section 5.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Appends what a leader sends, or fetches what is committed.
    #[default]
    Follower,
    /// Asks for votes or pre-votes.
    Candidate,
    /// Takes proposals and replicates them.
    Leader,
}

impl fmt::Display for ReplicaRole {
    /// As the admin protocol spells it.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            ReplicaRole::Follower => "follows",
            ReplicaRole::Candidate => "asks for votes",
            ReplicaRole::Leader => "leads",
        })
    }
}

/// What a leader knows of another replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowerStatus {
    /// Index of the last entry that it reported to have on disk.
    pub stored_index: u64,
    /// Time since that report.
    pub silent_for: TimeDelta,
}

/// A replica's state at a moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Follower, candidate or leader.
    pub role: ReplicaRole,
    /// The newest term that it has seen.
    pub term: u64,
    /// The leader as far as it knows.
    pub leader: Option<u32>,
    /// Index of its last entry.
    pub last_index: u64,
    /// Index of the last entry that it knows to be committed.
    pub commit_index: u64,
    /// Index of the last entry that its snapshot covers.
    pub snapshot_index: u64,
    /// The configuration.
    pub voters: Voters,
    /// Whether it votes, by its host number and its disk.
    pub is_voter: bool,
    /// Whether the group has a log.
    pub bootstrapped: bool,
    /// Whether its disk has failed a write.
    pub disk_failed: bool,
    /// On a leader: what it knows of the other replicas, by host number.
    pub followers: BTreeMap<u32, FollowerStatus>,
}

/// Events since the replica started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Elections that it started, with a pre-vote.
    pub elections: u64,
    /// Terms that it led.
    pub terms_led: u64,
    /// Entries that it saw committed.
    pub commits: u64,
    /// Leases that it granted.
    pub leases_granted: u64,
    /// Messages from disks that are not a voter's, or are an old copy of a voter's.
    pub rejected_disks: u64,
    /// Messages dropped because too many waited for the disk.
    pub dropped_messages: u64,
    /// Snapshots that it installed.
    pub snapshots_installed: u64,
    /// Snapshots that it took.
    pub snapshots_taken: u64,
}
