//! Numbers of open sessions.

use std::collections::HashSet;

/// The session numbers in use. Numbers are assigned in rotation, so that each is reused as late as possible.
#[derive(Default)]
pub(super) struct SessionNumbers {
    open: HashSet<u16>,
    last: u16,
}

impl SessionNumbers {
    /// Returns how many numbers are in use.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Reserves a number that no open session has, from 1 to 65535. Returns `None` if `max_sessions` are open; that must be below 65535.
    pub(super) fn try_reserve(&mut self, max_sessions: usize) -> Option<u16> {
        if self.open.len() >= max_sessions {
            return None;
        }
        loop {
            self.last = self.last.wrapping_add(1).max(1);
            if self.open.insert(self.last) {
                return Some(self.last);
            }
        }
    }

    /// Releases the number of a session that has ended.
    pub(super) fn release(&mut self, number: u16) {
        self.open.remove(&number);
    }
}
