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
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// A number, from 1, that no open session has. There must be one.
    pub(super) fn reserve(&mut self) -> u16 {
        loop {
            self.last = self.last.wrapping_add(1).max(1);
            if self.open.insert(self.last) {
                return self.last;
            }
        }
    }

    /// The session has ended.
    pub(super) fn release(&mut self, number: u16) {
        self.open.remove(&number);
    }
}
