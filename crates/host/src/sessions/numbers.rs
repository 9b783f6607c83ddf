//! Numbers of open sessions.

use std::collections::HashSet;

/// The numbers in use. Numbers are given in rotation, so that one is used again as late as possible.
#[derive(Default)]
pub(super) struct SessionNumbers {
    open: HashSet<u16>,
    last: u16,
}

impl SessionNumbers {
    /// How many are in use.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// A number, from 1, that no open session has; none: `max_sessions` are open. That must be below the number of numbers.
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

    /// The session has ended.
    pub(super) fn release(&mut self, number: u16) {
        self.open.remove(&number);
    }
}
