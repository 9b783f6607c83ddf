//! Requests that are due, and requests in flight.

use std::cmp::Ordering;

/// Which blocks a request reads or writes.
#[derive(Clone, Copy)]
pub(super) struct BlockRange {
    pub(super) first: u64,
    pub(super) count: u32,
}

/// A request or a retry that is due at a time. All times are in microseconds.
#[derive(Clone)]
pub(super) struct DueRequest {
    pub(super) due_us: u64,
    /// When the first attempt was due.
    pub(super) first_due_us: u64,
    pub(super) traffic_class: usize,
    pub(super) blocks: BlockRange,
    pub(super) is_write: bool,
    pub(super) retries: u32,
}

/// Requests compare by their time; the earliest is the greatest, so that a heap yields it first.
impl Ord for DueRequest {
    fn cmp(&self, other: &Self) -> Ordering {
        other.due_us.cmp(&self.due_us)
    }
}

impl PartialOrd for DueRequest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for DueRequest {
    fn eq(&self, other: &Self) -> bool {
        self.due_us == other.due_us
    }
}

impl Eq for DueRequest {}

/// A request in flight.
pub(super) struct RequestInFlight {
    pub(super) request: DueRequest,
    pub(super) sent_us: u64,
    pub(super) latency_objective_us: u64,
    /// The version that a write sets; `None` for a read.
    pub(super) written_version: Option<u64>,
}
