//! The tables of a store file and the keys of their named rows. These names are on hosts' disks: they never change.

use redb::TableDefinition;

/// Version of the stored form, raised when what is written changes its form.
pub const FORMAT: u64 = 1;

/// Numbers by name: the format, the next override's number and the newest generation.
pub(crate) const META: TableDefinition<&str, u64> = TableDefinition::new("tackmast");
/// Row of `META`: the version of the stored form.
pub(crate) const FORMAT_KEY: &str = "format";
/// Row of `META`: the number of the next override.
pub(crate) const NEXT_OVERRIDE_KEY: &str = "next override";
/// Row of `META`: the newest generation of the host.
pub(crate) const GENERATION_KEY: &str = "life";

/// Overrides by number, as JSON.
pub(crate) const OVERRIDES: TableDefinition<u64, &[u8]> = TableDefinition::new("overrides");
/// Lines of the audit log by number, as JSON.
pub(crate) const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
/// Lines of the change log of plans by number; its checkpoint is number 0.
pub(crate) const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes of plans");
/// Peers by slot: eight bytes of their generation, and the text of their address.
pub(crate) const MEMBERS: TableDefinition<u64, &[u8]> = TableDefinition::new("members");

/// Entries of the consensus log by index.
pub(crate) const LOG_ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("agreed entries");
/// The rest of the consensus log's state by name.
pub(crate) const LOG_STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("agreed");
/// Row of `LOG_STATE`: the id of the disk, and how often the log was opened.
pub(crate) const IDENTITY_KEY: &str = "disk";
/// Row of `LOG_STATE`: term and vote.
pub(crate) const HARD_STATE_KEY: &str = "hard";
/// Row of `LOG_STATE`: the snapshot.
pub(crate) const SNAPSHOT_KEY: &str = "base";
/// Row of `LOG_STATE`: the initial voters, as this replica confirmed them.
pub(crate) const CONFIRMED_VOTERS_KEY: &str = "sealed";
/// Row of `LOG_STATE`: the disks of the other replicas.
pub(crate) const KNOWN_DISKS_KEY: &str = "known";
