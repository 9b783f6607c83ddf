//! Progress of a peer's log as the leader knows it (Raft, figure 2: `nextIndex` and `matchIndex`).
//!
//! Entries are sent without waiting for responses. The leader detects a lost message at the next heartbeat round, if no
//! further entry has matched since the last one. A message of many datagrams takes longer than a round. Until its
//! timeout nothing is sent again, as retransmissions would congest the link that still carries the message.

use super::MAX_APPEND_ENTRIES;
use crate::settings::RaftSettings;
use tackmast::interface::{Instant, TimeDelta};

/// Timeout of a large message, in heartbeat intervals. Until then its receiver is sent only heartbeats.
const LARGE_MESSAGE_TIMEOUT_HEARTBEATS: f64 = 20.0;

/// Progress of a peer's log as the leader knows it.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Index up to which the log on the peer's disk is known to match.
    pub match_index: u64,
    /// The latest heartbeat round that the peer responded to.
    pub round: u64,
    pub last_response: Instant,
    /// Whether the known match has advanced, or `next_index` was corrected, since the last round.
    has_progressed: bool,
    /// When a large message was sent that may still be in flight.
    large_message_sent_at: Option<Instant>,
}

impl Progress {
    /// Returns the progress of a peer whose log is unknown.
    pub(super) fn new(now: Instant, next_index: u64) -> Progress {
        Progress {
            next_index,
            match_index: 0,
            round: 0,
            last_response: now,
            has_progressed: false,
            large_message_sent_at: None,
        }
    }

    /// Goes back to the first entry that is not known to match if there was no progress since the last round. Called at
    /// the start of a round.
    pub(super) fn retry_if_stalled(&mut self, now: Instant, settings: &RaftSettings) {
        let has_progressed = std::mem::take(&mut self.has_progressed);
        let has_large_message =
            self.large_message_sent_at.is_some_and(|at| !has_large_message_timed_out(now, at, settings));
        if !has_progressed && !has_large_message {
            self.next_index = self.match_index + 1;
        }
    }

    /// Records that a large message is sent.
    pub(super) fn on_large_message_sent(&mut self, now: Instant) {
        self.large_message_sent_at = Some(now);
    }

    /// Returns whether a large message may still be in flight.
    pub(super) fn has_large_message_in_flight(&self) -> bool {
        self.large_message_sent_at.is_some()
    }

    /// Considers a large message lost after its timeout.
    pub(super) fn expire_large_message(&mut self, now: Instant, settings: &RaftSettings) {
        let sent_at = self.large_message_sent_at;
        self.large_message_sent_at = sent_at.filter(|at| !has_large_message_timed_out(now, *at, settings));
    }

    /// Records that the peer has responded to a heartbeat round, whether its log matches or not.
    pub(super) fn on_response(&mut self, now: Instant, round: u64) {
        self.last_response = now;
        self.round = self.round.max(round);
    }

    /// Records that the log on the peer's disk matches up to `index`.
    pub(super) fn on_match(&mut self, index: u64) {
        if index > self.match_index {
            self.has_progressed = true;
            self.large_message_sent_at = None;
        }
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Records that the peer's log does not match, but may match up to `hint`. While a large message is in flight, the
    /// response belongs to an earlier message, and its hint is out of date.
    pub(super) fn on_mismatch(&mut self, hint: u64, last_index: u64) {
        if self.large_message_sent_at.is_none() {
            self.next_index = (hint + 1).clamp(self.match_index + 1, last_index + 1);
            self.has_progressed = true;
        }
    }

    /// Returns whether more entries are to be sent immediately after a response. After a success they are sent only
    /// while fewer than `MAX_APPEND_ENTRIES` entries are unacknowledged.
    pub(super) fn should_send_more(&self, is_success: bool, last_index: u64) -> bool {
        let is_within_window = !is_success || self.next_index <= self.match_index + MAX_APPEND_ENTRIES as u64;
        self.next_index <= last_index && is_within_window && self.large_message_sent_at.is_none()
    }
}

/// Returns whether a large message that was sent at `sent_at` has reached its timeout.
fn has_large_message_timed_out(now: Instant, sent_at: Instant, settings: &RaftSettings) -> bool {
    let timeout: TimeDelta = settings.heartbeats(LARGE_MESSAGE_TIMEOUT_HEARTBEATS);
    now - sent_at >= timeout
}
