//! What the core has its store write.

use tackmast_overrides::{Audit, Override, OverrideId};

/// What is persisted before the host acts on it, all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistBatch {
    /// Overrides that were set.
    pub put: Vec<Override>,
    /// Overrides that ended.
    pub remove: Vec<OverrideId>,
    /// Entries of the audit trail.
    pub audits: Vec<Audit>,
    /// Changes of plans by number, as they are written; the checkpoint of the change log is number 0.
    pub changes: Vec<(u64, Vec<u8>)>,
    /// Peers for the next generation to contact, and this one's generation.
    pub members: Option<tackmast_membership::PersistedMembers>,
    /// A write of the replicated log.
    pub consensus: Option<Box<tackmast_consensus::Write>>,
}
