//! Numbers on the wire.

pub const REQUEST_VOTE: u8 = 1;
pub const REQUEST_VOTE_RESPONSE: u8 = 2;
pub const APPEND_ENTRIES: u8 = 3;
pub const APPEND_ENTRIES_RESPONSE: u8 = 4;
pub const INSTALL_SNAPSHOT: u8 = 5;
pub const PROPOSE: u8 = 6;
pub const REQUEST_LEASE: u8 = 7;
pub const LEASE_GRANTED: u8 = 8;
pub const LEADER_HINT: u8 = 9;
pub const FETCH_COMMITTED: u8 = 10;
pub const COMMITTED_ENTRIES: u8 = 11;
pub const COMMITTED_SNAPSHOT: u8 = 12;
pub const BOOTSTRAP: u8 = 13;
pub const STALE_DISK: u8 = 14;

pub const ENTRY_NOOP: u8 = 0;
pub const ENTRY_COMMAND: u8 = 1;
pub const ENTRY_VOTERS: u8 = 2;

/// In place of a leader's host number.
pub const NO_LEADER: u32 = u32::MAX;
