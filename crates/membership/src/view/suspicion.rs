//! Suspicions (SWIM, section 4.2) and how long they last: the more members confirm one, the sooner it ends (Lifeguard,
//! section 4.2).

use super::local_health::BAD_SCORE;
use super::{MemberState, View, ViewFault, RECENT};
use tackmast::interface::Instant;
use tackmast_wire::peer::Health;

/// Protocol periods of a suspicion in plain SWIM, times the logarithm of the number of members.
const PLAIN_FACTOR: f64 = 2.0;
/// The same for one that is fully confirmed.
const CONFIRMED_FACTOR: f64 = 0.9;
/// Protocol periods that a fully confirmed one lasts at least.
const MIN_PERIODS: f64 = 4.0;
/// How many times longer one lasts that nobody confirms.
const UNCONFIRMED_MULTIPLIER: f64 = 3.0;
/// Confirmations by which a suspicion is fully confirmed.
const FULL_CONFIRMATIONS: usize = 3;
/// How many times longer a suspicion lasts of a member whose datagrams are received all the while.
const RECEIVED_MULTIPLIER: f64 = 2.0;

impl View {
    /// This host's own probe of a member failed.
    pub(super) fn suspect(&mut self, now: Instant, slot: u32) {
        let Some(state) = self.members.get(slot).cloned() else { return };
        match state.health {
            Health::Alive => self.begin_suspicion(now, slot, state),
            Health::Suspect => self.confirm_suspicion(slot, Some(self.me.slot)),
            Health::Dead | Health::Left => {}
        }
    }

    fn begin_suspicion(&mut self, now: Instant, slot: u32, state: MemberState) {
        self.counters.suspected += 1;
        let flaps = self.flaps(now, &state);
        let suspected_by = vec![self.me.slot];
        let (health, failed_at) = (Health::Suspect, Some(now));
        self.members.insert(slot, MemberState { health, since: now, suspected_by, failed_at, ..state });
        self.changed_at = now;
        self.report_health(slot, health, flaps, flaps);
        self.broadcast(slot);
    }

    /// One more member suspects it, which is gossiped only as long as it makes a difference.
    pub(super) fn confirm_suspicion(&mut self, slot: u32, by: Option<u32>) {
        let Some(by) = by.filter(|_| self.settings.extensions.suspicion_confirmation) else { return };
        let Some(state) = self.members.get(slot) else { return };
        if state.suspected_by.len() > FULL_CONFIRMATIONS || state.suspected_by.contains(&by) {
            return;
        }
        let mut state = state.clone();
        state.suspected_by.push(by);
        self.members.insert(slot, state);
        self.broadcast(slot);
    }

    /// Protocol periods that a suspicion by so many members lasts.
    fn suspicion_periods(&self, suspecting: usize) -> f64 {
        if !self.settings.extensions.suspicion_confirmation {
            return PLAIN_FACTOR * self.log_size();
        }
        let min = (CONFIRMED_FACTOR * self.log_size()).max(MIN_PERIODS);
        // Where fewer members are left than could confirm it, fewer suffice.
        let full = FULL_CONFIRMATIONS.min(self.live_count().saturating_sub(1) as usize);
        let confirmed = match full {
            0 => 1.0,
            full => ((suspecting.max(1) as f64).ln() / (full as f64 + 1.0).ln()).min(1.0),
        };
        min * (UNCONFIRMED_MULTIPLIER - (UNCONFIRMED_MULTIPLIER - 1.0) * confirmed)
    }

    /// Whether a member's suspicion is over. Where answers get lost so do refutations: while this host's own health is
    /// bad they get more time to arrive.
    fn is_suspicion_over(&self, now: Instant, state: &MemberState) -> bool {
        if self.has(ViewFault::NoSuspicion) {
            return true;
        }
        let extensions = self.settings.extensions;
        let patience = match extensions.local_health {
            true => 1.0 + f64::from(self.local_health.score()) / BAD_SCORE,
            false => 1.0,
        };
        let is_received = state.was_received_within(now, self.periods(RECENT));
        let multiplier = if is_received && extensions.buddy_system { RECEIVED_MULTIPLIER } else { 1.0 };
        let periods = multiplier * patience * self.suspicion_periods(state.suspected_by.len());
        now - state.since >= self.periods(periods)
    }

    /// Declares members dead that did not refute their suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Instant) {
        if self.has(ViewFault::SuspicionWithoutEnd) {
            return;
        }
        // While nobody's refutation could arrive, they wait until this host receives again, or decides by itself.
        if self.is_cut_off(now) {
            return;
        }
        let is_over =
            |slot: &u32| self.members.get(*slot).is_some_and(|state| self.is_suspicion_over(now, state));
        let over: Vec<u32> = self.members.suspects().iter().copied().filter(is_over).collect();
        let mut has_announcements = false;
        for slot in over {
            has_announcements |= self.declare_dead(now, slot);
        }
        // What was waited for so long goes out at once.
        if has_announcements && self.settings.extensions.suspicion_confirmation {
            self.gossip_now();
        }
    }

    /// Declares a member dead; returns whether that is gossiped.
    fn declare_dead(&mut self, now: Instant, slot: u32) -> bool {
        let Some(state) = self.members.get(slot).cloned() else { return false };
        self.counters.declared_dead += 1;
        self.record_death(now, &state.to_update(slot), true);
        if self.has(ViewFault::ForgetsDead) {
            self.forget(slot);
            return false;
        }
        let flaps = self.flaps(now, &state);
        let declared_in_isolation = self.is_isolated(now);
        let dead = MemberState {
            health: Health::Dead,
            since: now,
            suspected_by: Vec::new(),
            declared_in_isolation,
            ..state
        };
        self.members.insert(slot, dead);
        self.changed_at = now;
        self.report_health(slot, Health::Dead, flaps, flaps);
        if declared_in_isolation {
            self.broadcasts.remove(slot);
        } else {
            self.broadcast(slot);
        }
        !declared_in_isolation
    }
}
