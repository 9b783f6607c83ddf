//! Suspicions (SWIM, section 4.2) and how long they last: the more members confirm one, the sooner it ends (Lifeguard,
//! section 4.2).
//!
//! Without suspicions, one lost answer would cause a death. With a fixed timeout, a host that is itself slow would declare
//! members dead whose refutations it has not read yet, so a suspicion that no other member confirms lasts longer.

use super::local_health::BAD_SCORE;
use super::{MemberState, View, ViewFault, RECENT_PERIODS};
use tackmast::interface::Instant;
use tackmast_wire::peer::Health;

/// Duration of a suspicion in plain SWIM, in protocol periods per unit of the logarithm of the number of members.
const PLAIN_SWIM_PERIODS: f64 = 2.0;
/// Duration of a fully confirmed suspicion, in protocol periods per unit of the same logarithm.
const CONFIRMED_PERIODS: f64 = 0.9;
/// Minimum duration of a suspicion with the dynamic timeout, in protocol periods.
const MIN_PERIODS: f64 = 4.0;
/// Factor by which a suspicion that no other member confirms lasts longer than a fully confirmed one.
const UNCONFIRMED_MULTIPLIER: f64 = 3.0;
/// Number of confirmations that make a suspicion fully confirmed.
const FULL_CONFIRMATIONS: usize = 3;
/// Factor by which a suspicion lasts longer while datagrams of the member are received.
const RECEIVED_MULTIPLIER: f64 = 2.0;

/// Inputs that determine the duration of a suspicion.
struct SuspicionInputs {
    /// Binary logarithm of the number of members, which is the number of rounds of gossip that a refutation takes.
    log_size: f64,
    /// Number of members that suspect it.
    suspecting: usize,
    /// Number of members that are alive or suspected, without this host.
    live_count: usize,
}

/// Returns the duration of a suspicion with Lifeguard's dynamic timeout, in protocol periods. It falls from the maximum,
/// while one member suspects, to the minimum once the suspicion is fully confirmed.
fn dynamic_suspicion_periods(inputs: &SuspicionInputs) -> f64 {
    let min = (CONFIRMED_PERIODS * inputs.log_size).max(MIN_PERIODS);
    // If fewer members are left than a full confirmation takes, fewer confirmations suffice.
    let full = FULL_CONFIRMATIONS.min(inputs.live_count.saturating_sub(1));
    let confirmed = match full {
        0 => 1.0,
        full => ((inputs.suspecting.max(1) as f64).ln() / (full as f64 + 1.0).ln()).min(1.0),
    };
    min * (UNCONFIRMED_MULTIPLIER - (UNCONFIRMED_MULTIPLIER - 1.0) * confirmed)
}

/// Returns the factor by which suspicions last longer at this local health score. If this host's probes go unanswered,
/// refutations are lost as well.
fn local_health_multiplier(local_health_score: u32) -> f64 {
    1.0 + f64::from(local_health_score) / BAD_SCORE
}

impl View {
    /// Suspects a member after this host's own probe of it failed.
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

    /// Records that one more member suspects this one. Once the suspicion is fully confirmed, further confirmations change
    /// nothing and are not gossiped.
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

    /// Returns the duration of a suspicion by this many members, in protocol periods.
    fn suspicion_periods(&self, suspecting: usize) -> f64 {
        let log_size = self.log_size();
        if !self.settings.extensions.suspicion_confirmation {
            return PLAIN_SWIM_PERIODS * log_size;
        }
        let live_count = self.live_count() as usize;
        dynamic_suspicion_periods(&SuspicionInputs { log_size, suspecting, live_count })
    }

    /// Returns whether the time in which a member can refute its suspicion has elapsed.
    fn has_suspicion_timed_out(&self, now: Instant, state: &MemberState) -> bool {
        if self.has_fault(ViewFault::NoSuspicion) {
            return true;
        }
        let extensions = self.settings.extensions;
        let health_multiplier = match extensions.local_health {
            true => local_health_multiplier(self.local_health.score()),
            false => 1.0,
        };
        let is_received = state.was_received_within(now, self.periods(RECENT_PERIODS));
        let received_multiplier =
            if is_received && extensions.buddy_system { RECEIVED_MULTIPLIER } else { 1.0 };
        let periods =
            received_multiplier * health_multiplier * self.suspicion_periods(state.suspected_by.len());
        now - state.since >= self.periods(periods)
    }

    /// Declares members dead that have not refuted their suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Instant) {
        if self.has_fault(ViewFault::SuspicionWithoutEnd) {
            return;
        }
        // No refutation can arrive while this host is cut off. If suspicions timed out then, a host whose link has failed
        // would declare the whole fleet dead. They wait until it receives datagrams again, or has received none for long.
        if self.is_cut_off(now) {
            return;
        }
        let has_timed_out = |slot: &u32| {
            self.members.get(*slot).is_some_and(|state| self.has_suspicion_timed_out(now, state))
        };
        let timed_out: Vec<u32> = self.members.suspects().iter().copied().filter(has_timed_out).collect();
        let mut has_announcements = false;
        for slot in timed_out {
            has_announcements |= self.declare_dead(now, slot);
        }
        // Peers may still ask the dead member for indirect pings, so its death is gossiped without waiting for a probe.
        if has_announcements && self.settings.extensions.suspicion_confirmation {
            self.gossip_now();
        }
    }

    /// Declares a member dead, and returns whether the death is gossiped. A death that is declared in isolation is not:
    /// it is as likely a failure of this host, and gossip would spread it once the host is connected again.
    fn declare_dead(&mut self, now: Instant, slot: u32) -> bool {
        let Some(state) = self.members.get(slot).cloned() else { return false };
        self.counters.declared_dead += 1;
        self.record_death(now, &state.to_update(slot), true);
        if self.has_fault(ViewFault::ForgetsDead) {
            self.remove_member(slot);
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

#[cfg(test)]
mod tests;
