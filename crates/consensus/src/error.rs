//! Why a proposal, a change of voters or a recovery step was refused.

use tackmast_wire::consensus::{MAX_ENTRY, MAX_VOTERS};

/// Why a replica did not take a proposal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, perhaps `leader`.
    #[error("this host is not the leader; {}", describe_leader(*.leader))]
    NotLeader {
        /// The leader as far as this replica knows.
        leader: Option<u32>,
    },
    /// As many proposals wait as may wait at a time.
    #[error("{waiting} proposals wait to be committed; retry later")]
    QueueFull {
        /// Proposals or entries that are not committed yet.
        waiting: u64,
    },
    /// The proposal does not fit an entry.
    #[error("a proposal of {bytes} bytes; expected at most {MAX_ENTRY}")]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The previous change of voters is not committed yet.
    #[error("another change of voters is pending; retry once it is committed")]
    VoterChangePending,
    /// The change of voters itself is not possible.
    #[error(transparent)]
    VoterChange(#[from] VoterChangeError),
}

fn describe_leader(leader: Option<u32>) -> String {
    match leader {
        Some(host) => format!("host {host} is, as far as it knows"),
        None => "no leader is known, retry once one is elected".to_owned(),
    }
}

/// Why a host can't become a voter, or can't cease to be one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterChangeError {
    /// The leader has not received anything from the host, and so does not know its disk.
    #[error("host {host}: no message received from it; expected one that runs")]
    Unknown {
        /// The host that was to become a voter.
        host: u32,
    },
    /// The host would have to catch up for long before it could acknowledge new entries.
    #[error("host {host} stores {stored_index} entries; expected {min_index} or more")]
    TooFarBehind {
        /// The host that was to become a voter.
        host: u32,
        /// Index of the last entry on its disk.
        stored_index: u64,
        /// Index that it has to reach first.
        min_index: u64,
    },
    /// The host is a voter already.
    #[error("host {host} is a voter already")]
    AlreadyVoter {
        /// The host that was to become a voter.
        host: u32,
    },
    /// There are as many voters as there may be.
    #[error("{MAX_VOTERS} voters already, the most that there may be")]
    TooManyVoters,
    /// The host is not a voter, or the only one.
    #[error("host {host}: expected one of several voters")]
    NotRemovable {
        /// The host that was to be removed.
        host: u32,
    },
}

/// Why an operator's recovery step, after the loss of a majority, was refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecoveryError {
    /// There is no log here to begin from, or the disk takes no writes.
    #[error("nothing was committed here; expected a host that has a log, and a disk that takes writes")]
    NoLog,
    /// A majority may still be alive.
    #[error(
        "the last contact with a leader was {silent_s:.1} s ago; expected none within {min_silent_s:.1} s, as a majority may be alive"
    )]
    RecentLeaderContact {
        /// Seconds since the last message from a leader.
        silent_s: f64,
        /// Seconds without one that are required.
        min_silent_s: f64,
    },
    /// The host is part of a working majority.
    #[error(
        "this host is a voter, and has contact with a leader; expected one that is not needed where it is"
    )]
    ActiveVoter,
}
