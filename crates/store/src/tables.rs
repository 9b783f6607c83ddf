//! The tables of a store file and the keys of their named rows. Existing store files contain these names, so they must not
//! change.

use redb::TableDefinition;

/// Version of the stored format. A change of the format needs a higher version.
pub const FORMAT: u64 = 1;

/// Numbers by name: the version of the format, the number of the next override and the newest generation.
pub(crate) const META: TableDefinition<&str, u64> = TableDefinition::new("tackmast");
/// Row of `META`: the version of the stored format.
pub(crate) const FORMAT_KEY: &str = "format";
/// Row of `META`: the number of the next override.
pub(crate) const NEXT_OVERRIDE_KEY: &str = "next override";
/// Row of `META`: the newest generation of the host.
pub(crate) const GENERATION_KEY: &str = "life";

/// Overrides by number, as JSON.
pub(crate) const OVERRIDES: TableDefinition<u64, &[u8]> = TableDefinition::new("overrides");
/// Lines of the audit log by number, as JSON.
pub(crate) const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
/// Lines of the change log of plans by number; line 0 is its checkpoint.
pub(crate) const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes of plans");
/// Peers by slot. A row is the generation in eight big-endian bytes, followed by the address as text.
pub(crate) const MEMBERS: TableDefinition<u64, &[u8]> = TableDefinition::new("members");

/// Entries of the consensus log by index.
pub(crate) const LOG_ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("agreed entries");
/// The other state of the consensus log by name.
pub(crate) const LOG_STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("agreed");
/// Row of `LOG_STATE`: the id of the disk, and the number of times that the log was opened.
pub(crate) const IDENTITY_KEY: &str = "disk";
/// Row of `LOG_STATE`: the current term and the vote in it.
pub(crate) const HARD_STATE_KEY: &str = "hard";
/// Row of `LOG_STATE`: the snapshot.
pub(crate) const SNAPSHOT_KEY: &str = "base";
/// Row of `LOG_STATE`: the initial voters that this replica confirmed.
pub(crate) const CONFIRMED_VOTERS_KEY: &str = "sealed";
/// Row of `LOG_STATE`: the disk identities of the other replicas.
pub(crate) const KNOWN_DISKS_KEY: &str = "known";
