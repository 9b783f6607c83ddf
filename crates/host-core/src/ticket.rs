//! Whether an attempt has begun to leave the host.
//!
//! An attempt may wait for a long time in its connection, behind a node that reads nothing. If it were written after its request was
//! answered as rejected, or after the grace of a drain, it could take effect although nobody expects that. So the connection claims the
//! ticket just before it writes the first byte, and the core withdraws the ticket when the attempt is over. Only one of the two can
//! succeed: a withdrawn attempt provably never ran.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;

/// State of a ticket: no byte was written yet.
const QUEUED: u8 = 0;
/// State of a ticket: the connection writes the attempt.
const CLAIMED: u8 = 1;
/// State of a ticket: no byte will be written.
const WITHDRAWN: u8 = 2;
/// State of a ticket: all bytes were written.
const WRITTEN: u8 = 3;

/// The state of one attempt that core and connection share.
#[derive(Clone, Debug, Default)]
pub struct Ticket(Arc<AtomicU8>);

impl Ticket {
    /// Changes the state; false: the state was not `from`.
    fn swap(&self, from: u8, to: u8) -> bool {
        self.0.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Claims the attempt for its connection, which may write it now. False: it was withdrawn, or claimed before.
    pub fn claim(&self) -> bool {
        self.swap(QUEUED, CLAIMED)
    }

    /// Withdraws the attempt. True: no byte of it was written, and none will be.
    pub fn withdraw(&self) -> bool {
        self.swap(QUEUED, WITHDRAWN)
    }

    /// The connection has written all bytes of the attempt.
    pub fn mark_written(&self) {
        self.swap(CLAIMED, WRITTEN);
    }

    /// Whether bytes of it may have been written.
    pub fn is_claimed(&self) -> bool {
        matches!(self.0.load(Ordering::Acquire), CLAIMED | WRITTEN)
    }

    /// Whether it was withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.0.load(Ordering::Acquire) == WITHDRAWN
    }

    /// Whether its connection is still writing it: the node may read nothing.
    pub fn is_stuck(&self) -> bool {
        self.0.load(Ordering::Acquire) == CLAIMED
    }
}

#[cfg(test)]
mod tests;
