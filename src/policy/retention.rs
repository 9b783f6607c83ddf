//! For how long, and how much, is remembered of what is not in use, and how much of it is searched.

use crate::interface::TimeDelta;

/// For how long a client's next try of a rejected request is recognised.
pub const REJECTED_REQUEST_RETENTION: TimeDelta = TimeDelta::from_millis(10_000);
/// Longer than any request waits: nodes that are gone and volumes that are idle for this long can be forgotten.
pub const IDLE_RETENTION: TimeDelta = TimeDelta::from_millis(30_000);
/// Idle volumes are forgotten once so many volumes are known. A client that names a new volume in each request would else grow the
/// table without bound.
pub const MAX_IDLE_VOLUMES: usize = 512;
/// Pieces of a shard's data that are recognised when they are asked for again: a node may have them cached.
pub const MAX_RECENT_KEYS: usize = 16;
/// Requests of a queue that are searched for one which no guard of its own holds.
pub const MAX_SCANNED_REQUESTS: usize = 16;
