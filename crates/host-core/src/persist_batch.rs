//! The unit of writing between the core and the store.

use tackmast_overrides::{Audit, Override, OverrideId};

/// Records that the store writes atomically. The host acts on a change only after its batch is written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistBatch {
    /// Overrides to insert or replace.
    pub put: Vec<Override>,
    /// Overrides to delete, as they were cleared or have ended.
    pub remove: Vec<OverrideId>,
    /// Records to append to the audit log.
    pub audits: Vec<Audit>,
    /// Changes of plans in their stored form, by number. Number 0 is the checkpoint of the change log.
    pub changes: Vec<(u64, Vec<u8>)>,
    /// This host's generation, and the peers that its next generation contacts.
    pub members: Option<tackmast_membership::PersistedMembers>,
    /// A write of the replicated log.
    pub consensus: Option<Box<tackmast_consensus::Write>>,
}
