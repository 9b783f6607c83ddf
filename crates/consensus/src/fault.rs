//! Deliberate faults. A test builds one in and must then find a violation; else the test would prove nothing.

/// A mistake in the protocol or its implementation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsensusFault {
    /// A vote is sent before it is on disk.
    VoteNotPersisted,
    /// Entries are acknowledged before they are on disk.
    AckBeforePersist,
    /// A lease counts from when its grant arrived, not from its request.
    LeaseFromResponse,
    /// Clocks are taken to run alike.
    IgnoreClockDrift,
    /// An entry of an earlier term counts as committed once a majority has it (Raft, figure 8).
    CommitOldTerm,
    /// A leader grants leases without a heartbeat round.
    StaleRead,
    /// A vote is granted whatever the candidate's log lacks.
    NoLogCheck,
    /// Less than a majority commits, and elects.
    MinorityCommits,
    /// A follower keeps entries that differ from the leader's.
    KeepsConflicts,
    /// A voter that lost its disk votes under its host number.
    LostDiskVotes,
    /// Voters change while the previous change is not committed.
    TwoChangesAtOnce,
    /// A lease is valid although the entries that it names are not here.
    LeaseWithoutEntries,
    /// A leader of an earlier term is followed.
    OldLeaderFollowed,
    /// An old copy of a disk votes.
    OldDiskVotes,
    /// A snapshot lacks the client sessions.
    SnapshotDropsSessions,
    /// A snapshot from the leader removes entries after it that match.
    SnapshotDropsSuffix,
    /// A grant to an earlier process generation counts for a later one.
    GenerationsMixed,
}

impl ConsensusFault {
    /// All of them.
    pub const ALL: [ConsensusFault; 17] = [
        ConsensusFault::VoteNotPersisted,
        ConsensusFault::AckBeforePersist,
        ConsensusFault::LeaseFromResponse,
        ConsensusFault::IgnoreClockDrift,
        ConsensusFault::CommitOldTerm,
        ConsensusFault::StaleRead,
        ConsensusFault::NoLogCheck,
        ConsensusFault::MinorityCommits,
        ConsensusFault::KeepsConflicts,
        ConsensusFault::LostDiskVotes,
        ConsensusFault::TwoChangesAtOnce,
        ConsensusFault::LeaseWithoutEntries,
        ConsensusFault::OldLeaderFollowed,
        ConsensusFault::OldDiskVotes,
        ConsensusFault::SnapshotDropsSessions,
        ConsensusFault::SnapshotDropsSuffix,
        ConsensusFault::GenerationsMixed,
    ];
}
