//! Local health: how a host that is itself unwell holds back (Lifeguard, section 4.1). It counts probes that went
//! unanswered for no fault of the other, notices that it was paused, and that it is cut off from all others.

use super::{MemberState, View, ViewEvent, ViewFault};
use tackmast::interface::Instant;

/// Greatest score: answers are waited for up to one more than this many times as long.
const MAX_SCORE: u32 = 8;
/// Score from which on suspicions last twice as long, fewer probes are sent, and the log is told.
pub(super) const BAD_SCORE: f64 = 4.0;
/// By how much a pause raises the score.
const PAUSE_SCORE: u32 = 2;
/// Protocol periods without a datagram from anybody after which a host takes itself for the one that is cut off.
pub(super) const SILENCE: f64 = 3.0;
/// Such periods after which it takes the others for dead all the same.
const LONG_SILENCE: f64 = 25.0;
/// Protocol periods from when it receives again until it gossips the deaths that it declared in isolation.
const CONFIRM_AFTER: f64 = 6.0;

/// Lifeguard's local health multiplier, as a score from 0.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalHealth {
    score: u32,
    /// The log was told that the score is bad, and not yet that it is good again.
    reported: bool,
}

impl LocalHealth {
    /// The score; 0 is good.
    pub fn score(self) -> u32 {
        self.score
    }

    /// How many times longer than usual answers are waited for.
    pub fn timeout_multiplier(self) -> f64 {
        f64::from(1 + self.score)
    }

    /// Whether the score is bad.
    pub fn is_bad(self) -> bool {
        f64::from(self.score) >= BAD_SCORE
    }

    /// Raises the score; returns what is to be reported.
    fn degrade(&mut self, steps: u32) -> Option<ViewEvent> {
        let was_bad = self.is_bad();
        self.score = (self.score + steps).min(MAX_SCORE);
        if self.reported || was_bad || !self.is_bad() {
            return None;
        }
        self.reported = true;
        Some(ViewEvent::LocalHealth { score: self.score })
    }

    /// Lowers the score; returns what is to be reported.
    fn improve(&mut self) -> Option<ViewEvent> {
        let is_good_again = self.score == 1 && std::mem::take(&mut self.reported);
        self.score = self.score.saturating_sub(1);
        is_good_again.then_some(ViewEvent::LocalHealth { score: 0 })
    }
}

impl View {
    /// This host's local health score; 0 is good.
    pub fn local_health_score(&self) -> u32 {
        self.local_health.score()
    }

    pub(super) fn degrade_local_health(&mut self, steps: u32) {
        let event = self.local_health.degrade(steps);
        self.events.extend(event);
    }

    pub(super) fn improve_local_health(&mut self) {
        let event = self.local_health.improve();
        self.events.extend(event);
    }

    /// Whether this host is itself the one that is cut off: nobody answers it, neither those it probes nor any that it
    /// asks for help, though it receives from others; or it receives nothing, and not yet for so long that the others
    /// must be dead.
    pub(super) fn is_cut_off(&self, now: Instant) -> bool {
        let is_unanswered = now - self.last_answered >= self.periods(SILENCE);
        let may_be_cut_off = self.settings.extensions.local_health && self.live_count() > 0 && is_unanswered;
        may_be_cut_off && now - self.last_received < self.periods(LONG_SILENCE)
    }

    /// Whether it has received nothing for so long that it decides by itself. Deaths that it declares then are not
    /// gossiped, and any update of another goes before them.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        let is_silent = now - self.last_received >= self.periods(SILENCE);
        self.settings.extensions.local_health && is_silent
    }

    /// It receives again after an isolation: suspicions of before begin anew.
    pub(super) fn end_isolation(&mut self, now: Instant) {
        self.reconnected_at = now;
        for (slot, state) in self.suspects() {
            self.members.insert(slot, MemberState { since: now, ..state });
        }
    }

    pub(super) fn suspects(&self) -> Vec<(u32, MemberState)> {
        let slots = self.members.suspects().iter();
        slots.filter_map(|slot| self.members.get(*slot).map(|state| (*slot, state.clone()))).collect()
    }

    /// Deaths that it declared in isolation and nobody has contradicted, once it had time to receive, are gossiped like
    /// any other.
    pub(super) fn confirm_isolated_deaths(&mut self, now: Instant) {
        if self.is_isolated(now) || now - self.reconnected_at < self.periods(CONFIRM_AFTER) {
            return;
        }
        let slots: Vec<u32> = self.members.declared_in_isolation().iter().copied().collect();
        for slot in slots {
            if let Some(state) = self.members.get(slot).cloned() {
                self.members.insert(slot, MemberState { declared_in_isolation: false, ..state });
                self.broadcast(slot);
            }
        }
    }

    /// A host whose process was stopped, or that its machine kept waiting, missed answers that arrived: none of it is the
    /// others' fault.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        let late = now - self.expected_timeout;
        if late < self.settings.protocol_period {
            return;
        }
        self.counters.pauses += 1;
        self.events.push_back(ViewEvent::Paused { duration: late });
        if self.has(ViewFault::SuspectsAfterPause) {
            let live = self.live().to_vec();
            return live.into_iter().for_each(|slot| self.suspect(now, slot));
        }
        if !self.settings.extensions.pause_detection {
            return;
        }
        self.probes.clear();
        self.relays.clear();
        self.last_received = now;
        self.last_answered = now;
        self.degrade_local_health(PAUSE_SCORE);
        for (slot, state) in self.suspects() {
            let since = (state.since + late).min(now);
            self.members.insert(slot, MemberState { since, ..state });
        }
    }
}
