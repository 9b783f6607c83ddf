//! Numbers on the wire: the first byte of each message, and the kind of each entry.

pub(super) const REQUEST_VOTE: u8 = 1;
pub(super) const REQUEST_VOTE_RESPONSE: u8 = 2;
pub(super) const APPEND_ENTRIES: u8 = 3;
pub(super) const APPEND_ENTRIES_RESPONSE: u8 = 4;
pub(super) const INSTALL_SNAPSHOT: u8 = 5;
pub(super) const PROPOSE: u8 = 6;
pub(super) const REQUEST_LEASE: u8 = 7;
pub(super) const LEASE_GRANTED: u8 = 8;
pub(super) const LEADER_HINT: u8 = 9;
pub(super) const FETCH_COMMITTED: u8 = 10;
pub(super) const COMMITTED_ENTRIES: u8 = 11;
pub(super) const COMMITTED_SNAPSHOT: u8 = 12;
pub(super) const BOOTSTRAP: u8 = 13;
pub(super) const STALE_DISK: u8 = 14;

pub(super) const ENTRY_NOOP: u8 = 0;
pub(super) const ENTRY_COMMAND: u8 = 1;
pub(super) const ENTRY_VOTERS: u8 = 2;

/// In place of a leader's host number.
pub(super) const NO_LEADER: u32 = u32::MAX;
