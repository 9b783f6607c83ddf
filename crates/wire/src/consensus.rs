//! Messages of the consensus protocol (Raft with pre-vote and leases), described byte by byte in
//! docs/protocols/consensus.md. A message may be longer than a datagram; `peer` carries it in chunks then.

#![warn(missing_docs)]

mod decode;
mod encode;
mod kind;

use bytes::Bytes;
use std::collections::BTreeMap;

pub use decode::decode_entry;
pub use encode::encode_entry;

/// Bytes of one entry's command, at most.
pub const MAX_ENTRY: usize = 1 << 20;
/// Bytes of a snapshot's state, at most.
pub const MAX_STATE: usize = 16 << 20;
/// Bytes of one message, at most.
pub const MAX_MESSAGE: usize = MAX_STATE + (64 << 10);
/// Voters of one group, at most.
pub const MAX_VOTERS: usize = 7;
/// Entries of one message, at most.
const MAX_ENTRIES: usize = 256;

/// The index of an entry and the term in which a leader appended it. Ordered as Raft compares logs: by term, then by
/// index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Index of the entry, from 1; 0 is before all.
    pub index: u64,
}

/// The configuration: voters by host number, each with the id of the disk that its votes are on.
pub type Voters = BTreeMap<u32, u64>;

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryPayload {
    /// Nothing: a new leader's first entry. Once it is committed, so are all before it.
    Noop,
    /// A command of the replicated state machine.
    Command(Bytes),
    /// A new configuration, which counts from when it is appended.
    Voters(Voters),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: u64,
    /// What it holds.
    pub payload: EntryPayload,
}

/// The disk that a replica runs from, and who opened it. Tells a disk from an older copy of it, and from the same disk
/// opened by two processes: either could vote twice in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskIdentity {
    /// Id of the disk, drawn when it was first used.
    pub disk: u64,
    /// How often the disk has been opened.
    pub boot: u32,
    /// The process generation that opened it last.
    pub generation: u64,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// RequestVote (Raft, section 5.2), or a pre-vote (thesis, section 9.6).
    RequestVote {
        /// Whether it only asks if a vote would be granted.
        pre_vote: bool,
        /// Term of the election.
        term: u64,
        /// The last entry of the candidate's log.
        last_log: LogPosition,
        /// The candidate's disk.
        identity: DiskIdentity,
    },
    /// The response to `RequestVote`.
    RequestVoteResponse {
        /// As in the request.
        pre_vote: bool,
        /// Term of the election where granted, else the sender's term.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// The sender's disk.
        identity: DiskIdentity,
    },
    /// AppendEntries (Raft, section 5.3); without entries a heartbeat.
    AppendEntries {
        /// Identifies the log: voters and terms of a log that was forced elsewhere mean nothing here.
        log_id: u64,
        /// The leader's term.
        term: u64,
        /// The leader's heartbeat round (thesis, section 6.4).
        round: u64,
        /// The entry right before `entries`.
        previous: LogPosition,
        /// Index of the last entry that the leader knows to be committed.
        commit_index: u64,
        /// Entries after `previous`.
        entries: Vec<Entry>,
    },
    /// The response to `AppendEntries` and to `InstallSnapshot`.
    AppendEntriesResponse {
        /// The sender's term.
        term: u64,
        /// The newest round that the sender received.
        round: u64,
        /// Whether the sender's log matches the leader's up to `index`.
        success: bool,
        /// Where it matches; without success, after which index to try next.
        index: u64,
        /// The sender's disk.
        identity: DiskIdentity,
    },
    /// InstallSnapshot (Raft, section 7), for a voter that lacks entries which the leader compacted.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// Identifies the log.
        log_id: u64,
        /// The last entry that the snapshot covers.
        last: LogPosition,
        /// The configuration as of that entry.
        voters: Voters,
        /// The state machine's bytes.
        state: Bytes,
    },
    /// A proposal for the leader to append.
    Propose {
        /// Identifies the log.
        log_id: u64,
        /// The command.
        data: Bytes,
    },
    /// Asks the leader for a lease on what is committed.
    RequestLease {
        /// Number of the request.
        sequence: u32,
        /// Index of the last committed entry on the sender's disk.
        stored_index: u64,
        /// The sender's disk.
        identity: DiskIdentity,
    },
    /// When the request was sent, nothing after `index` was committed.
    LeaseGranted {
        /// Identifies the log.
        log_id: u64,
        /// Generation of the process that asked: an earlier one's sequence numbers were the same.
        to_generation: u64,
        /// Number of the request.
        sequence: u32,
        /// The leader's term.
        term: u64,
        /// Index of the last committed entry.
        index: u64,
        /// How long the lease lasts, in milliseconds from when it was requested.
        duration_ms: u32,
    },
    /// The sender does not lead.
    LeaderHint {
        /// The sender's term.
        term: u64,
        /// The leader as far as the sender knows.
        leader: Option<u32>,
    },
    /// Asks for committed entries after `stored_index`; from replicas that do not vote.
    FetchCommitted {
        /// Index of the last entry that the sender has.
        stored_index: u64,
    },
    /// Committed entries.
    CommittedEntries {
        /// Identifies the log.
        log_id: u64,
        /// Index right before the first entry.
        after: u64,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A snapshot in place of committed entries that the sender compacted.
    CommittedSnapshot {
        /// Identifies the log.
        log_id: u64,
        /// The last entry that the snapshot covers.
        last: LogPosition,
        /// The configuration as of that entry.
        voters: Voters,
        /// The state machine's bytes.
        state: Bytes,
    },
    /// From an initial voter of a group that has no log yet, or about a log that exists already.
    Bootstrap {
        /// The sender's disk.
        identity: DiskIdentity,
        /// Whether the sender has persisted that it begins with `disks`.
        confirmed: bool,
        /// Whether the group has a log already.
        bootstrapped: bool,
        /// The disks of the voters that the sender knows of.
        disks: Voters,
    },
    /// Another process has opened the receiver's disk since, so the receiver's is an old copy, or opened twice.
    StaleDisk {
        /// The disk as the receiver named it.
        identity: DiskIdentity,
    },
}

#[cfg(test)]
mod tests;
