//! Numbers on the wire: the first byte of each message, and the kind of each entry.

/// A candidate asks for a vote, or in a pre-vote whether it would get one.
pub(super) const REQUEST_VOTE: u8 = 1;
/// The answer to a request for a vote.
pub(super) const REQUEST_VOTE_RESPONSE: u8 = 2;
/// The leader replicates entries, or sends a heartbeat.
pub(super) const APPEND_ENTRIES: u8 = 3;
/// A follower's answer to entries or a heartbeat.
pub(super) const APPEND_ENTRIES_RESPONSE: u8 = 4;
/// The leader sends its snapshot to a replica that is far behind.
pub(super) const INSTALL_SNAPSHOT: u8 = 5;
/// A host proposes a change to the leader.
pub(super) const PROPOSE: u8 = 6;
/// A host asks for a lease, or renews it.
pub(super) const REQUEST_LEASE: u8 = 7;
/// The answer to a request for a lease.
pub(super) const LEASE_GRANTED: u8 = 8;
/// The sender does not lead; who does, as far as it knows.
pub(super) const LEADER_HINT: u8 = 9;
/// A host asks for committed entries.
pub(super) const FETCH_COMMITTED: u8 = 10;
/// Committed entries.
pub(super) const COMMITTED_ENTRIES: u8 = 11;
/// A snapshot of committed state.
pub(super) const COMMITTED_SNAPSHOT: u8 = 12;
/// From an initial voter of a group without a log, or about a log that exists already.
pub(super) const BOOTSTRAP: u8 = 13;
/// Another process has opened the receiver's disk since.
pub(super) const STALE_DISK: u8 = 14;

/// An entry without a change, which a new leader appends.
pub(super) const ENTRY_NOOP: u8 = 0;
/// An entry with a change.
pub(super) const ENTRY_COMMAND: u8 = 1;
/// An entry that changes the voters.
pub(super) const ENTRY_VOTERS: u8 = 2;

/// In place of a leader's host number.
pub(super) const NO_LEADER: u32 = u32::MAX;
