//! The request ids that clients may not reuse yet. This module performs no I/O.

use std::collections::{HashMap, HashSet, VecDeque};
use tackmast::interface::{Instant, TimeDelta};

/// How long the id of a finished request is remembered.
const FINISHED_ID_RETENTION: TimeDelta = TimeDelta::from_millis(5000);
/// Maximum number of ids of finished requests; beyond it the oldest is dropped.
const MAX_FINISHED: usize = 4096;

/// The ids of open requests and, for [`FINISHED_ID_RETENTION`], of finished ones. A request with one of these ids is refused: nodes
/// would treat it as a repetition of the request that they have received.
#[derive(Default)]
pub(crate) struct RequestIds {
    /// The id of each open request, by the id of its connection.
    pub open: HashMap<u32, String>,
    /// Ids of finished requests, the oldest first.
    finished: VecDeque<(Instant, String)>,
    /// All ids in `open` and `finished`.
    in_use: HashSet<String>,
}

impl RequestIds {
    /// Returns whether the id belongs to an open or a recently finished request.
    pub(crate) fn is_in_use(&self, id: &str) -> bool {
        self.in_use.contains(id)
    }

    /// Records that a request with this id was accepted on a connection.
    pub(crate) fn insert(&mut self, connection: u32, id: String) {
        self.in_use.insert(id.clone());
        self.open.insert(connection, id);
    }

    /// Records that the open request of a connection is finished, and drops ids that are no longer remembered.
    pub(crate) fn finish(&mut self, now: Instant, connection: u32) {
        if let Some(id) = self.open.remove(&connection) {
            self.finished.push_back((now, id));
        }
        let is_old = |finished: &mut (Instant, String)| now - finished.0 > FINISHED_ID_RETENTION;
        while let Some((_, id)) = self.finished.pop_front_if(is_old) {
            self.in_use.remove(&id);
        }
        while self.finished.len() > MAX_FINISHED {
            self.finished.pop_front().map(|(_, id)| self.in_use.remove(&id));
        }
    }
}
