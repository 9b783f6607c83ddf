//! Collects the events of one process.

use crate::{now_us, Event, Line};
use std::sync::{Arc, Mutex, PoisonError};

/// Events that a recorder keeps at most. A trace that lost events proves nothing; its last event is `Truncated`.
const MAX_EVENTS: usize = 8 << 20;

/// Collects the events that many threads saw.
#[derive(Clone)]
pub struct Recorder(Option<Arc<Mutex<Vec<Line>>>>);

impl Default for Recorder {
    fn default() -> Self {
        Recorder(Some(Arc::default()))
    }
}

impl Recorder {
    /// A recorder that keeps nothing, for measurements.
    pub fn off() -> Recorder {
        Recorder(None)
    }

    /// Whether it keeps events.
    pub fn is_on(&self) -> bool {
        self.0.is_some()
    }

    /// Notes an event of this moment.
    pub fn note(&self, event: Event) {
        self.note_at(now_us(), event);
    }

    /// Notes an event of an earlier time, in microseconds of Unix time.
    pub fn note_at(&self, time_us: u64, event: Event) {
        let Some(kept) = &self.0 else { return };
        let mut lines = kept.lock().unwrap_or_else(PoisonError::into_inner);
        match lines.len() {
            count if count < MAX_EVENTS => lines.push(Line { t: time_us, event }),
            MAX_EVENTS => lines.push(Line { t: time_us, event: Event::Truncated }),
            _ => {}
        }
    }

    /// Removes all lines so far and returns them in order of time.
    pub fn take(&self) -> Vec<Line> {
        let Some(kept) = &self.0 else { return Vec::new() };
        let mut lines = std::mem::take(&mut *kept.lock().unwrap_or_else(PoisonError::into_inner));
        lines.sort_by_key(|line| line.t);
        lines
    }
}
