//! Collects the events of one process.

use crate::{now_us, Event, Line};
use std::sync::{Arc, Mutex, PoisonError};

/// Events that a recorder keeps; a trace that lost some is no proof and has a last event that says so.
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

    /// Notes an event that is known to be of an earlier time.
    pub fn note_at(&self, t: u64, event: Event) {
        let Some(kept) = &self.0 else { return };
        let mut lines = kept.lock().unwrap_or_else(PoisonError::into_inner);
        match lines.len() {
            n if n < MAX_EVENTS => lines.push(Line { t, event }),
            MAX_EVENTS => lines.push(Line { t, event: Event::Truncated }),
            _ => {}
        }
    }

    /// All lines so far, by time.
    pub fn take(&self) -> Vec<Line> {
        let Some(kept) = &self.0 else { return Vec::new() };
        let mut lines = std::mem::take(&mut *kept.lock().unwrap_or_else(PoisonError::into_inner));
        lines.sort_by_key(|line| line.t);
        lines
    }
}
