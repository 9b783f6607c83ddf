//! Bounds on how long and how much unused state is kept, and on how much of a queue is searched.

use crate::interface::TimeDelta;

/// How long a rejected request is kept, so that the client's retry of it is recognised.
pub const REJECTED_REQUEST_RETENTION: TimeDelta = TimeDelta::from_millis(10_000);
/// The number of rejected requests that are kept; beyond it the oldest is forgotten.
pub const MAX_REJECTED_REQUESTS: usize = 8192;
/// The number of rejected requests that asked for the same and are kept. It bounds the work of an arrival, which searches
/// them.
pub const MAX_REJECTED_REPEATS: usize = 512;
/// How long removed nodes and idle volumes are kept. It is longer than any request waits, so they can be dropped
/// afterwards.
pub const IDLE_RETENTION: TimeDelta = TimeDelta::from_millis(30_000);
/// The number of known volumes from which idle ones are dropped. Otherwise a client that names a new volume in each
/// request would grow the table without bound.
pub const MAX_IDLE_VOLUMES: usize = 512;
/// The shortest time between two searches of the table of volumes for idle ones.
pub const VOLUME_SEARCH_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// The number of recently used keys that are kept for each shard. A repeated access to one of them is recognised,
/// since the node may have the data cached.
pub const MAX_RECENT_KEYS: usize = 16;
/// The number of requests of a queue that are searched for one that is not held by a guard of its own.
pub const MAX_SCANNED_REQUESTS: usize = 16;
/// The number of timers below which those that are no longer needed are not searched for.
pub const MIN_TIMER_SEARCH: usize = 16_384;
/// The number of entries of one queue below which those of requests that no longer wait are not searched for.
pub const MIN_QUEUE_SEARCH: usize = 64;
/// The number of unplaced requests for new objects below which those that are over are not searched for.
pub const MIN_UNPLACED_SEARCH: usize = 64;
