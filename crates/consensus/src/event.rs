//! What a replica reports to operators: a fixed message and named fields. docs/on-call.md has a row for each message.

use std::fmt::{Display, Formatter, Result};
use tackmast::interface::TimeDelta;

/// A change of a replica that an operator may want to know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConsensusEvent {
    /// A write failed.
    DiskFailed,
    /// This replica won an election.
    BecameLeader {
        /// The term that it leads.
        term: u64,
        /// Index of its last entry.
        last_index: u64,
        /// Index of the last entry that it knows to be committed.
        commit_index: u64,
    },
    /// This replica leads no longer.
    SteppedDown {
        /// The newest term that it has seen.
        term: u64,
    },
    /// This leader steps down, as it may be cut off.
    QuorumLost {
        /// For how long there was no response.
        silent_for: TimeDelta,
        /// Voters that have responded since, this one included.
        reachable: usize,
        /// Voters of a majority.
        quorum: usize,
    },
    /// Another replica leads.
    FollowsLeader {
        /// The leader.
        leader: u32,
        /// Its term.
        term: u64,
    },
    /// This replica installed a snapshot of a group that it was not part of.
    Joined,
    /// The group has begun its log.
    Bootstrapped {
        /// Its number of voters.
        voters: usize,
    },
    /// The group has begun its log without this replica's disk.
    NotBootstrappedWithDisk {
        /// This replica.
        host: u32,
    },
    /// An initial voter's disk was replaced during bootstrap.
    BootstrapDiskChanged {
        /// The voter.
        peer: u32,
    },
    /// This replica's disk is an old copy, or was opened twice.
    StaleDisk {
        /// This replica.
        host: u32,
    },
    /// An operator made this replica begin a new log without a majority.
    LogForced {
        /// This replica.
        host: u32,
        /// Index of the last entry that the new log keeps.
        commit_index: u64,
        /// Id of the new log.
        log_id: u64,
    },
    /// An operator made this replica discard its log.
    LogDiscarded {
        /// This replica.
        host: u32,
        /// Entries that it had.
        commit_index: u64,
    },
    /// Another replica has a different log.
    OtherLog {
        /// That replica.
        peer: u32,
    },
    /// This replica has a valid lease again.
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
    /// The message, the same for every event of its kind.
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

/// One line: the message, then `name=value` for each field; times in seconds, ids of logs in hexadecimal.
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
