//! Deliberate faults, for walks and days to find.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreeFault {
    /// A vote is given before it is on disk.
    VoteNotOnDisk,
    /// Entries are told as had before they are on disk.
    AckBeforeDisk,
    /// A lease counts from when its grant came.
    LeaseFromReceipt,
    /// Clocks are taken to run alike.
    NoDrift,
    /// An entry of an earlier term counts as committed once most have it.
    CommitOldTerm,
    /// A leader tells what is newest without asking whether it still leads.
    StaleRead,
    /// Who asks for a vote gets it whatever its log lacks.
    NoLogCheck,
    /// Less than a majority is enough.
    MinorityCommits,
    /// Entries that differ from the leader's stay.
    KeepsConflicts,
    /// A voter that lost its disk votes under its number.
    LostDiskVotes,
    /// Voters change while a change of them is not committed yet.
    TwoChangesAtOnce,
    /// A host goes by its lease though it lacks what the grant named.
    LeaseWithoutEntries,
    /// A leader of an earlier term is still followed.
    OldLeaderFollowed,
    /// An old copy of a disk votes once more.
    OldDiskVotes,
    /// A folded state leaves out who changed last.
    FoldDropsClients,
    /// A state that comes from the leader takes the place of entries that stand behind it.
    StateDropsRest,
    /// An answer to an earlier generation counts for a later one.
    GenerationsMixed,
}

impl AgreeFault {
    pub const ALL: [AgreeFault; 17] = [
        AgreeFault::VoteNotOnDisk,
        AgreeFault::AckBeforeDisk,
        AgreeFault::LeaseFromReceipt,
        AgreeFault::NoDrift,
        AgreeFault::CommitOldTerm,
        AgreeFault::StaleRead,
        AgreeFault::NoLogCheck,
        AgreeFault::MinorityCommits,
        AgreeFault::KeepsConflicts,
        AgreeFault::LostDiskVotes,
        AgreeFault::TwoChangesAtOnce,
        AgreeFault::LeaseWithoutEntries,
        AgreeFault::OldLeaderFollowed,
        AgreeFault::OldDiskVotes,
        AgreeFault::FoldDropsClients,
        AgreeFault::StateDropsRest,
        AgreeFault::GenerationsMixed,
    ];
}
