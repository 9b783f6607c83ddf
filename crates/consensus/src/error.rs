//! Errors of proposals, voter changes and recovery steps.

use tackmast_wire::consensus::{MAX_ENTRY, MAX_VOTERS};

/// Why a replica did not accept a proposal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The replica is not the leader.
    #[error("this host is not the leader; {}", describe_leader(*.leader))]
    NotLeader {
        /// Host number of the leader that this replica knows of, if any.
        leader: Option<u32>,
    },
    /// Too many proposals or entries are waiting to be committed.
    #[error("{waiting} proposals are waiting to be committed; retry later")]
    QueueFull {
        /// Number of proposals or entries that are not committed yet.
        waiting: u64,
    },
    /// The proposal is longer than an entry may be.
    #[error("proposal has {bytes} bytes; the maximum is {MAX_ENTRY}")]
    TooLong {
        /// Length of the proposal in bytes.
        bytes: usize,
    },
    /// The previous voter change is not committed yet, or the leader has not yet committed an entry of its term.
    #[error("another voter change is pending; retry after it is committed")]
    VoterChangePending,
    /// The voter change itself is invalid.
    #[error(transparent)]
    VoterChange(#[from] VoterChangeError),
}

fn describe_leader(leader: Option<u32>) -> String {
    match leader {
        Some(host) => format!("the last known leader is host {host}"),
        None => "no leader is known; retry after an election".to_owned(),
    }
}

/// Why a host cannot be added to the voters, or removed from them.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterChangeError {
    /// The leader has received no lease request from the host, and so does not know its disk.
    #[error("host {host} has not contacted this leader yet; retry when it is running")]
    Unknown {
        /// The host to be added.
        host: u32,
    },
    /// The host's log is so far behind that the host could not acknowledge new entries soon.
    #[error("host {host} has stored the log up to index {stored_index}; a voter needs index {min_index}")]
    TooFarBehind {
        /// The host to be added.
        host: u32,
        /// Index of the last entry on the host's disk.
        stored_index: u64,
        /// Index that the host has to reach first.
        min_index: u64,
    },
    /// The host is already a voter.
    #[error("host {host} is already a voter")]
    AlreadyVoter {
        /// The host to be added.
        host: u32,
    },
    /// The group has the maximum number of voters.
    #[error("the group already has {MAX_VOTERS} voters, which is the maximum")]
    TooManyVoters,
    /// The host is not a voter, or it is the only one.
    #[error("host {host} cannot be removed: it is not a voter, or it is the only one")]
    NotRemovable {
        /// The host to be removed.
        host: u32,
    },
}

/// Why an operator's recovery step after the loss of a majority was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecoveryError {
    /// The replica has no log to continue from, or its disk has failed a write.
    #[error("this host has no log to recover from, or a write to its disk has failed")]
    NoLog,
    /// The replica leads, or had contact with a leader too recently: a majority may still be running.
    #[error(
        "last contact with a leader was {silent_s:.1} s ago; {min_silent_s:.1} s are required, as a majority may be running"
    )]
    RecentLeaderContact {
        /// Time since the last message from a leader, in seconds.
        silent_s: f64,
        /// Time without contact that recovery requires, in seconds.
        min_silent_s: f64,
    },
    /// The replica leads or is a voter in contact with a leader, or its disk has failed a write.
    #[error("this host is a voter in contact with a leader; its log may be needed for a majority")]
    ActiveVoter,
}
