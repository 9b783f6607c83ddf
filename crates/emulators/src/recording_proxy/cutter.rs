//! Cuts sessions on command.

use std::sync::atomic::{AtomicU8, Ordering::SeqCst};
use std::sync::Arc;

/// Where a session is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutPoint {
    /// The session ends when the host has a command that it has not answered.
    AfterRequest = 1,
    /// The session ends in place of the next answer: the host has given it, and the client does not get it.
    BeforeAnswer = 2,
}

/// No cut is due.
const NO_CUT: u8 = 0;

/// Cuts one session for each command. Clones share their commands.
#[derive(Clone, Debug, Default)]
pub struct Cutter(Arc<AtomicU8>);

impl Cutter {
    /// Cuts the next session that reaches this point.
    pub fn cut_at(&self, point: CutPoint) {
        self.0.store(point as u8, SeqCst);
    }

    /// Whether a session that is at this point must be cut; that is so once.
    pub(super) fn take(&self, point: CutPoint) -> bool {
        self.0.compare_exchange(point as u8, NO_CUT, SeqCst, SeqCst).is_ok()
    }
}
