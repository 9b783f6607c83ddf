//! What operators are told of: events that go to the log of the process.

use std::fmt;
use tackmast::interface::TimeDelta;

/// A change that operators should know of. Its `Display` is the line of the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
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
        host: u32,
    },
    /// This replica's disk is an old copy, or was opened twice.
    StaleDisk {
        /// This replica.
        host: u32,
    },
    /// An operator made this replica go on without a majority.
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
        host: u32,
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

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("consensus: ")?;
        match *self {
            Event::DiskFailed => {
                write!(f, "the disk takes no writes: this host neither votes nor leads until it restarts")
            }
            Event::BecameLeader { term, last_index, commit_index } => {
                write!(f, "this host is leader, term {term}, {last_index} entries, {commit_index} committed")
            }
            Event::SteppedDown { term } => write!(f, "this host is leader no longer, term {term}"),
            Event::QuorumLost { silent_for, reachable, quorum } => {
                let seconds = silent_for.secs();
                write!(f, "no majority has responded for {seconds:.2} s, {reachable} of {quorum}")
            }
            Event::FollowsLeader { leader, term } => write!(f, "host {leader} is leader, term {term}"),
            Event::Joined => write!(f, "joined a group that has a log"),
            Event::Bootstrapped { voters } => write!(f, "bootstrapped with {voters} voters"),
            Event::NotBootstrappedWithDisk { host } => {
                write!(f, "bootstrapped with other disks than host {host}'s: it does not vote")
            }
            Event::BootstrapDiskChanged { host } => {
                write!(f, "host {host} has another disk than the voters confirmed: it can't begin")
            }
            Event::StaleDisk { host } => write!(
                f,
                "the disk of host {host} is an old copy, or one of two: it votes no more; remove and add the voter"
            ),
            Event::LogForced { host, commit_index, log_id } => write!(
                f,
                "forced: host {host} goes on alone from entry {commit_index}, as log {log_id:x}; the others have to forget theirs"
            ),
            Event::LogDiscarded { host, commit_index } => {
                write!(f, "host {host} discards its log of {commit_index} entries")
            }
            Event::OtherLog { host } => {
                write!(f, "host {host} has another log, begun anew: this host keeps its own; its store has to go")
            }
            Event::LeaseValid { commit_index } => write!(f, "lease valid, up to entry {commit_index}"),
            Event::LeaseExpired { commit_index } => {
                write!(f, "lease expired: this host keeps to what can't have changed, up to {commit_index}")
            }
        }
    }
}
