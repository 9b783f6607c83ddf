//! What a leader knows of a peer's log (Raft, figure 2: `nextIndex` and `matchIndex`), and what it sends next.
//!
//! Entries are sent without waiting for responses. A lost message is noticed at the next heartbeat round, when nothing new
//! has matched since the last one. A message of many datagrams takes longer than a round; until its time is over nothing is
//! sent again, or its repetitions would fill the link that it is still on.

use super::MAX_APPEND_ENTRIES;
use crate::settings::RaftSettings;
use tackmast::interface::{Instant, TimeDelta};

/// Heartbeat intervals for which a large message counts as on its way. Its receiver is sent heartbeats only meanwhile.
const LARGE_APPEND_HEARTBEATS: f64 = 20.0;

/// What a leader knows of a peer's log.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Index up to which the peer's log, on its disk, is known to match.
    pub match_index: u64,
    /// The newest round that it responded to.
    pub round: u64,
    pub last_response: Instant,
    /// Whether something new matched since the last round.
    has_progressed: bool,
    /// When a large message was sent that may still be on its way.
    large_sent_at: Option<Instant>,
}

impl Progress {
    /// The progress of a peer of whose log nothing is known.
    pub(super) fn new(now: Instant, next_index: u64) -> Progress {
        Progress {
            next_index,
            match_index: 0,
            round: 0,
            last_response: now,
            has_progressed: false,
            large_sent_at: None,
        }
    }

    /// At the beginning of a round: entries that were sent before the last one and did not match since are sent again.
    pub(super) fn retry_if_stalled(&mut self, now: Instant, settings: &RaftSettings) {
        let has_progressed = std::mem::take(&mut self.has_progressed);
        let is_large_pending = self.large_sent_at.is_some_and(|at| !is_large_overdue(now, at, settings));
        if !has_progressed && !is_large_pending {
            self.next_index = self.match_index + 1;
        }
    }

    /// A large message is sent.
    pub(super) fn on_large_sent(&mut self, now: Instant) {
        self.large_sent_at = Some(now);
    }

    /// Whether a large message is still on its way.
    pub(super) fn is_large_pending(&self) -> bool {
        self.large_sent_at.is_some()
    }

    /// Forgets a large message whose time is over.
    pub(super) fn expire_large(&mut self, now: Instant, settings: &RaftSettings) {
        self.large_sent_at = self.large_sent_at.filter(|at| !is_large_overdue(now, *at, settings));
    }

    /// The peer has responded to that round, whether its log matches or not.
    pub(super) fn on_response(&mut self, now: Instant, round: u64) {
        self.last_response = now;
        self.round = self.round.max(round);
    }

    /// The peer's log matches up to `index`, on its disk.
    pub(super) fn on_match(&mut self, index: u64) {
        if index > self.match_index {
            self.has_progressed = true;
            self.large_sent_at = None;
        }
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// The peer's log does not match, and may match up to `hint`. While a large message is on its way, the response is one
    /// to a message before it, and its hint is out of date.
    pub(super) fn on_mismatch(&mut self, hint: u64, last_index: u64) {
        if self.large_sent_at.is_none() {
            self.next_index = (hint + 1).clamp(self.match_index + 1, last_index + 1);
            self.has_progressed = true;
        }
    }

    /// Whether more entries are to be sent at once after a response.
    pub(super) fn wants_more(&self, is_success: bool, last_index: u64) -> bool {
        let is_close = !is_success || self.next_index <= self.match_index + MAX_APPEND_ENTRIES as u64;
        self.next_index <= last_index && is_close && self.large_sent_at.is_none()
    }
}

/// Whether the time of a large message that was sent at `sent_at` is over.
fn is_large_overdue(now: Instant, sent_at: Instant, settings: &RaftSettings) -> bool {
    let time: TimeDelta = settings.heartbeats(LARGE_APPEND_HEARTBEATS);
    now - sent_at >= time
}
