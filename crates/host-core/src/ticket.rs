//! The state that decides whether an attempt is written or withdrawn.
//!
//! An attempt may wait for a long time in its connection while the node reads nothing. If it were written after its request was answered as
//! rejected, or after the drain grace period, it could take effect although nobody expects it. The connection therefore claims the ticket
//! just before it writes the first byte, and the core withdraws the ticket when it gives up the attempt. Only one of the two can succeed,
//! so a withdrawn attempt provably never ran.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;

/// The ticket state in which the attempt waits to be written.
const QUEUED: u8 = 0;
/// The ticket state in which the connection is writing the attempt.
const CLAIMED: u8 = 1;
/// The ticket state in which no byte was or will be written.
const WITHDRAWN: u8 = 2;
/// The ticket state in which all bytes were written.
const WRITTEN: u8 = 3;

/// The state of one attempt, shared between the core and the connection. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Ticket(Arc<AtomicU8>);

impl Ticket {
    /// Changes the state from `from` to `to`. Returns `false` if the state was not `from`.
    fn swap(&self, from: u8, to: u8) -> bool {
        self.0.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Claims the attempt for its connection, which may then write it. Returns `false` if it was withdrawn or claimed before.
    pub fn claim(&self) -> bool {
        self.swap(QUEUED, CLAIMED)
    }

    /// Withdraws the attempt. Returns `true` if this succeeded: no byte of it was written, and none will be.
    pub fn withdraw(&self) -> bool {
        self.swap(QUEUED, WITHDRAWN)
    }

    /// Records that the connection has written all bytes of the attempt.
    pub fn mark_written(&self) {
        self.swap(CLAIMED, WRITTEN);
    }

    /// Returns whether bytes of the attempt may have been written.
    pub fn is_claimed(&self) -> bool {
        matches!(self.0.load(Ordering::Acquire), CLAIMED | WRITTEN)
    }

    /// Returns whether the attempt was withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.0.load(Ordering::Acquire) == WITHDRAWN
    }

    /// Returns whether the connection is still writing the attempt, for example because the node reads nothing.
    pub fn is_stuck(&self) -> bool {
        self.0.load(Ordering::Acquire) == CLAIMED
    }
}

#[cfg(test)]
mod tests;
