//! Deliberate faults for tests. A check of an invariant must fail under each fault, which shows that the check works.

/// A fault of the protocol or of its implementation, which a test injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsensusFault {
    /// A vote is sent before it is on disk.
    VoteNotPersisted,
    /// Entries are acknowledged before they are on disk.
    AckBeforePersist,
    /// A lease is counted from the arrival of its grant instead of from its request.
    LeaseFromResponse,
    /// Leases allow for no clock drift.
    IgnoreClockDrift,
    /// An entry of an earlier term counts as committed once a majority stores it (Raft, figure 8).
    CommitOldTerm,
    /// A leader grants leases without a heartbeat round.
    StaleRead,
    /// A vote is granted even if the candidate's log lacks entries.
    NoLogCheck,
    /// Half of an even number of voters suffices to commit an entry and to elect a leader.
    MinorityCommits,
    /// A follower keeps entries that conflict with the leader's.
    KeepsConflicts,
    /// A voter that lost its disk votes with its new disk.
    LostDiskVotes,
    /// A voter change starts before the previous one is committed.
    TwoChangesAtOnce,
    /// A lease is valid before the replica has all entries that it covers.
    LeaseWithoutEntries,
    /// Messages of a leader of an earlier term are accepted.
    OldLeaderFollowed,
    /// An old copy of a voter's disk votes.
    OldDiskVotes,
    /// A snapshot lacks the client sessions.
    SnapshotDropsSessions,
    /// Installing a leader's snapshot removes matching entries after it.
    SnapshotDropsSuffix,
    /// A replica accepts leases granted to an earlier process generation of its host.
    GenerationsMixed,
}

impl ConsensusFault {
    /// All faults.
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
