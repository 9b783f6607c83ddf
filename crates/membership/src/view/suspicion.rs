//! Suspicions (SWIM, section 4.2) and how long they last: the more members confirm one, the sooner it ends (Lifeguard,
//! section 4.2).
//!
//! Without a suspicion first, one lost answer would be a death. With a fixed time-out, a host that is itself slow would
//! declare members dead whose refutation it has not read yet; so a suspicion that nobody confirms lasts longer.

use super::local_health::BAD_SCORE;
use super::{MemberState, View, ViewFault, RECENT_PERIODS};
use tackmast::interface::Instant;
use tackmast_wire::peer::Health;

/// Protocol periods of a suspicion in plain SWIM, for each unit of the logarithm of the number of members.
const PLAIN_PERIODS: f64 = 2.0;
/// Protocol periods of a fully confirmed suspicion, for each unit of the same logarithm.
const CONFIRMED_PERIODS: f64 = 0.9;
/// Least protocol periods of a fully confirmed suspicion.
const MIN_PERIODS: f64 = 4.0;
/// How many times longer a suspicion lasts that nobody confirms.
const UNCONFIRMED_MULTIPLIER: f64 = 3.0;
/// Confirmations by which a suspicion is fully confirmed.
const FULL_CONFIRMATIONS: usize = 3;
/// How many times longer a suspicion lasts while datagrams of the member are received.
const RECEIVED_MULTIPLIER: f64 = 2.0;

/// What the length of a suspicion depends on.
struct SuspicionInputs {
    /// Logarithm of the number of members: refutations take so many rounds of gossip.
    log_size: f64,
    /// Members that suspect it.
    suspecting: usize,
    /// Members that are alive or suspected, without this host.
    live_count: usize,
}

/// Protocol periods that a suspicion lasts with Lifeguard's dynamic timeout: the longest time while one member suspects,
/// down to the shortest once it is fully confirmed.
fn dynamic_suspicion_periods(inputs: &SuspicionInputs) -> f64 {
    let min = (CONFIRMED_PERIODS * inputs.log_size).max(MIN_PERIODS);
    // Where fewer members are left than could confirm it, fewer suffice.
    let full = FULL_CONFIRMATIONS.min(inputs.live_count.saturating_sub(1));
    let confirmed = match full {
        0 => 1.0,
        full => ((inputs.suspecting.max(1) as f64).ln() / (full as f64 + 1.0).ln()).min(1.0),
    };
    min * (UNCONFIRMED_MULTIPLIER - (UNCONFIRMED_MULTIPLIER - 1.0) * confirmed)
}

/// How many times longer suspicions last while this host's own health is bad: where its probes go unanswered, refutations
/// get lost as well.
fn local_health_multiplier(local_health_score: u32) -> f64 {
    1.0 + f64::from(local_health_score) / BAD_SCORE
}

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

    /// Records that one more member suspects it. This is gossiped only until the suspicion is fully confirmed, as further
    /// confirmations change nothing.
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
        let log_size = self.log_size();
        if !self.settings.extensions.suspicion_confirmation {
            return PLAIN_PERIODS * log_size;
        }
        let live_count = self.live_count() as usize;
        dynamic_suspicion_periods(&SuspicionInputs { log_size, suspecting, live_count })
    }

    /// Whether the time of a member to refute its suspicion is over.
    fn is_suspicion_over(&self, now: Instant, state: &MemberState) -> bool {
        if self.has(ViewFault::NoSuspicion) {
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

    /// Declares members dead that did not refute their suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Instant) {
        if self.has(ViewFault::SuspicionWithoutEnd) {
            return;
        }
        // No refutation can arrive while this host is cut off. If suspicions expired then, a host with a broken link would
        // declare the whole fleet dead. They wait until it receives again, or has received nothing for long.
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
        // Peers still ask the dead member for help, so its death does not wait for the next probe.
        if has_announcements && self.settings.extensions.suspicion_confirmation {
            self.gossip_now();
        }
    }

    /// Declares a member dead; returns whether the death is gossiped. One that was declared in isolation is not: it is as
    /// likely this host's own failure, and gossip would spread it once the host is connected again.
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

#[cfg(test)]
mod tests;
