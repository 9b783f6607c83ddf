//! Whether an attempt has begun to leave the host. The link claims it just before the first byte is written; the core
//! withdraws it when the attempt is over. Only one of the two can succeed, so a withdrawn attempt provably never ran:
//! an attempt that waits behind a node which takes no bytes must not go out after its request was answered, nor
//! after the grace of a drain.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;

const QUEUED: u8 = 0;
const CLAIMED: u8 = 1;
const WITHDRAWN: u8 = 2;
const WRITTEN: u8 = 3;

/// The state of one attempt that core and connection share.
#[derive(Clone, Debug, Default)]
pub struct Ticket(Arc<AtomicU8>);

impl Ticket {
    fn swap(&self, from: u8, to: u8) -> bool {
        self.0.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
    /// The link may write the attempt now; false: it was withdrawn, or claimed before.
    pub fn claim(&self) -> bool {
        self.swap(QUEUED, CLAIMED)
    }
    /// True: no byte of the attempt has left, and none will.
    pub fn withdraw(&self) -> bool {
        self.swap(QUEUED, WITHDRAWN)
    }
    /// The link has handed all bytes of the attempt over.
    pub fn written(&self) {
        self.swap(CLAIMED, WRITTEN);
    }
    /// Whether bytes of it may have left.
    pub fn is_claimed(&self) -> bool {
        matches!(self.0.load(Ordering::Acquire), CLAIMED | WRITTEN)
    }
    /// Whether it was withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.0.load(Ordering::Acquire) == WITHDRAWN
    }
    /// Whether its link is still at it: the node takes no bytes.
    pub fn is_stuck(&self) -> bool {
        self.0.load(Ordering::Acquire) == CLAIMED
    }
}

#[cfg(test)]
mod tests;
