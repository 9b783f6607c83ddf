//! Local health: a host whose own health is bad suspects others later or not at all (Lifeguard, section 4.1).
//!
//! A host that is slow, paused or cut off misses answers, and would declare running members dead. It therefore counts
//! probes that went unanswered although the probed member is probably alive, detects that it was paused, and detects that
//! it is cut off from all others.

use super::{MemberState, View, ViewEvent, ViewFault};
use tackmast::interface::Instant;

/// Maximum score. Probe timeouts are multiplied by the score plus one.
const MAX_SCORE: u32 = 8;
/// Score that counts as bad: suspicions last twice as long, fewer probes are sent, and operators are notified.
pub(super) const BAD_SCORE: f64 = 4.0;
/// Increment of the score after a pause.
const PAUSE_SCORE: u32 = 2;
/// Protocol periods without any answer, or without any datagram, after which a host considers itself cut off.
pub(super) const CUT_OFF_PERIODS: f64 = 3.0;
/// Protocol periods without any datagram after which a host that is cut off declares the others dead nevertheless.
const LONG_SILENCE_PERIODS: f64 = 25.0;
/// Protocol periods from the first datagram after an isolation until deaths that were declared during it are gossiped.
const CONFIRM_PERIODS: f64 = 6.0;

/// Lifeguard's local health multiplier, as a score that starts at 0.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalHealth {
    score: u32,
    /// Whether the last reported event is that the score is bad.
    reported: bool,
}

impl LocalHealth {
    /// Returns the score; 0 is good.
    pub(super) fn score(self) -> u32 {
        self.score
    }

    /// Returns the factor by which probe timeouts are prolonged.
    pub(super) fn timeout_multiplier(self) -> f64 {
        f64::from(1 + self.score)
    }

    /// Returns whether the score is bad.
    pub(super) fn is_bad(self) -> bool {
        f64::from(self.score) >= BAD_SCORE
    }

    /// Raises the score. Returns an event when it becomes bad.
    fn degrade(&mut self, increment: u32) -> Option<ViewEvent> {
        let was_bad = self.is_bad();
        self.score = (self.score + increment).min(MAX_SCORE);
        if self.reported || was_bad || !self.is_bad() {
            return None;
        }
        self.reported = true;
        Some(ViewEvent::LocalHealth { score: self.score })
    }

    /// Lowers the score. Returns an event when it reaches 0 after it was reported as bad.
    fn improve(&mut self) -> Option<ViewEvent> {
        let is_good_again = self.score == 1 && std::mem::take(&mut self.reported);
        self.score = self.score.saturating_sub(1);
        is_good_again.then_some(ViewEvent::LocalHealth { score: 0 })
    }
}

impl View {
    /// Returns this host's local health score; 0 is good.
    pub fn local_health_score(&self) -> u32 {
        self.local_health.score()
    }

    pub(super) fn degrade_local_health(&mut self, increment: u32) {
        let event = self.local_health.degrade(increment);
        self.events.extend(event);
    }

    pub(super) fn improve_local_health(&mut self) {
        let event = self.local_health.improve();
        self.events.extend(event);
    }

    /// Returns whether this host considers itself cut off and therefore suspects no member: neither a probed member nor a
    /// helper has answered it for some periods. After a long time without any datagram it no longer does, as the others may
    /// really be dead.
    pub(super) fn is_cut_off(&self, now: Instant) -> bool {
        let is_unanswered = now - self.last_answered >= self.periods(CUT_OFF_PERIODS);
        let may_be_cut_off = self.settings.extensions.local_health && self.live_count() > 0 && is_unanswered;
        may_be_cut_off && now - self.last_received < self.periods(LONG_SILENCE_PERIODS)
    }

    /// Returns whether this host receives no datagrams. Deaths that it declares meanwhile are not gossiped, and an
    /// update of any peer supersedes them.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        let is_silent = now - self.last_received >= self.periods(CUT_OFF_PERIODS);
        self.settings.extensions.local_health && is_silent
    }

    /// Ends an isolation, when a datagram is received again. Pending suspicions begin anew, as no refutation could arrive.
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

    /// Gossips the deaths that were declared in isolation and that no peer has contradicted since.
    ///
    /// If they were gossiped at once, a host whose link had failed would spread the death of the whole fleet when the
    /// link is restored. The wait gives peers' updates time to arrive and supersede them.
    pub(super) fn confirm_isolated_deaths(&mut self, now: Instant) {
        if self.is_isolated(now) || now - self.reconnected_at < self.periods(CONFIRM_PERIODS) {
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

    /// Detects that this host did not run for a protocol period or longer, because its process was stopped or its
    /// machine was busy.
    ///
    /// The host has missed answers during the pause, and would suspect all members that it had probed. Pending probes are
    /// therefore dropped, and the duration of the pause does not count towards suspicions.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        let pause = now - self.expected_timeout;
        if pause < self.settings.protocol_period {
            return;
        }
        self.counters.pauses += 1;
        self.events.push_back(ViewEvent::Paused { duration: pause });
        if self.has_fault(ViewFault::SuspectsAfterPause) {
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
            let since = (state.since + pause).min(now);
            self.members.insert(slot, MemberState { since, ..state });
        }
    }
}
