//! Events that a replica reports to operators, each with a fixed message and named fields. docs/on-call.md has a row
//! for each message.

use std::fmt::{Display, Formatter, Result};
use tackmast::interface::TimeDelta;

/// A change of a replica's state that is reported to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConsensusEvent {
    /// A write failed. The replica takes no part until it restarts.
    DiskFailed,
    /// This replica won an election.
    BecameLeader {
        /// The term that the replica leads.
        term: u64,
        /// Index of the last entry in the replica's log.
        last_index: u64,
        /// Index of the last entry that the replica knows to be committed.
        commit_index: u64,
    },
    /// This replica is no longer leader.
    SteppedDown {
        /// The latest term that the replica has seen.
        term: u64,
    },
    /// This leader has no responses of a majority and steps down, as it may be partitioned from the others.
    QuorumLost {
        /// The time without responses of a majority.
        silent_for: TimeDelta,
        /// Number of voters that responded within that time, including this one.
        reachable: usize,
        /// Number of voters that make a majority.
        quorum: usize,
    },
    /// This replica has received a message of a new leader.
    FollowsLeader {
        /// Host number of the leader.
        leader: u32,
        /// The leader's term.
        term: u64,
    },
    /// This replica, which had no log, has installed a snapshot of a group's log.
    Joined,
    /// This replica has started the group's log together with the other initial voters.
    Bootstrapped {
        /// Number of voters.
        voters: usize,
    },
    /// The group's log was started without this replica's disk, or its voters have changed since.
    NotBootstrappedWithDisk {
        /// Host number of this replica.
        host: u32,
    },
    /// An initial voter's disk was replaced after this replica had confirmed the old one, so bootstrap cannot complete.
    BootstrapDiskChanged {
        /// Host number of the voter.
        peer: u32,
    },
    /// This replica's disk is an old copy, or was opened by another process since.
    StaleDisk {
        /// Host number of this replica.
        host: u32,
    },
    /// An operator made this replica start a new log without a majority.
    LogForced {
        /// Host number of this replica.
        host: u32,
        /// Index of the last entry that the new log keeps.
        commit_index: u64,
        /// Id of the new log.
        log_id: u64,
    },
    /// An operator made this replica discard its log.
    LogDiscarded {
        /// Host number of this replica.
        host: u32,
        /// Index of the last committed entry in the discarded log.
        commit_index: u64,
    },
    /// Another replica has a different log.
    OtherLog {
        /// Host number of that replica.
        peer: u32,
    },
    /// This replica has a valid lease, which it did not have before.
    LeaseValid {
        /// Index of the last committed entry.
        commit_index: u64,
    },
    /// This replica's lease has expired.
    LeaseExpired {
        /// Index of the last committed entry.
        commit_index: u64,
    },
}

impl ConsensusEvent {
    /// Returns the message, which is the same for all events of one kind.
    pub fn message(&self) -> &'static str {
        match self {
            ConsensusEvent::DiskFailed => {
                "consensus: the disk takes no writes: this host neither votes nor leads until it restarts"
            }
            ConsensusEvent::BecameLeader { .. } => "consensus: this host is leader",
            ConsensusEvent::SteppedDown { .. } => "consensus: this host is leader no longer",
            ConsensusEvent::QuorumLost { .. } => "consensus: no majority has responded",
            ConsensusEvent::FollowsLeader { .. } => "consensus: another host is leader",
            ConsensusEvent::Joined => "consensus: joined a group that has a log",
            ConsensusEvent::Bootstrapped { .. } => "consensus: bootstrapped",
            ConsensusEvent::NotBootstrappedWithDisk { .. } => {
                "consensus: bootstrapped with other disks than this host's: it does not vote"
            }
            ConsensusEvent::BootstrapDiskChanged { .. } => {
                "consensus: a host has another disk than the voters confirmed: the log can't begin"
            }
            ConsensusEvent::StaleDisk { .. } => {
                "consensus: this host's disk is an old copy, or one of two: it votes no more; remove and add the voter"
            }
            ConsensusEvent::LogForced { .. } => {
                "consensus: forced: this host begins a new log alone; the others have to forget theirs"
            }
            ConsensusEvent::LogDiscarded { .. } => "consensus: this host discards its log",
            ConsensusEvent::OtherLog { .. } => {
                "consensus: a host has another log, begun anew: this host keeps its own; the other's store has to go"
            }
            ConsensusEvent::LeaseValid { .. } => "consensus: lease valid",
            ConsensusEvent::LeaseExpired { .. } => {
                "consensus: lease expired: this host keeps to what can't have changed"
            }
        }
    }
}

/// Writes one line: the message, then `name=value` for each field. Times are in seconds, log ids in hexadecimal.
impl Display for ConsensusEvent {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        out.write_str(self.message())?;
        match self {
            ConsensusEvent::DiskFailed | ConsensusEvent::Joined => Ok(()),
            ConsensusEvent::BecameLeader { term, last_index, commit_index } => {
                write!(out, " term={term} last_index={last_index} commit_index={commit_index}")
            }
            ConsensusEvent::SteppedDown { term } => write!(out, " term={term}"),
            ConsensusEvent::QuorumLost { silent_for, reachable, quorum } => {
                let silent_secs = silent_for.secs();
                write!(out, " silent_secs={silent_secs:.2} reachable={reachable} quorum={quorum}")
            }
            ConsensusEvent::FollowsLeader { leader, term } => write!(out, " leader={leader} term={term}"),
            ConsensusEvent::Bootstrapped { voters } => write!(out, " voters={voters}"),
            ConsensusEvent::NotBootstrappedWithDisk { host } | ConsensusEvent::StaleDisk { host } => {
                write!(out, " host={host}")
            }
            ConsensusEvent::BootstrapDiskChanged { peer } | ConsensusEvent::OtherLog { peer } => {
                write!(out, " peer={peer}")
            }
            ConsensusEvent::LogForced { host, commit_index, log_id } => {
                write!(out, " host={host} commit_index={commit_index} log_id={log_id:x}")
            }
            ConsensusEvent::LogDiscarded { host, commit_index } => {
                write!(out, " host={host} commit_index={commit_index}")
            }
            ConsensusEvent::LeaseValid { commit_index } | ConsensusEvent::LeaseExpired { commit_index } => {
                write!(out, " commit_index={commit_index}")
            }
        }
    }
}
