//! Damps members that flap, as RFC 2439 does with routes: each restart or return adds to a score that decays.
//!
//! Without damping, a member that flaps would be chosen as a helper while it is about to fail again, and each of its
//! changes would cause a log line at every host.

use super::{MemberState, View, ViewFault};
use std::collections::BTreeSet;
use tackmast::interface::{Instant, TimeDelta};

/// Minimum score of a member that counts as flapping.
const FLAPPING_SCORE: f64 = 3.0;
/// Protocol periods in which a score decays by half.
const HALVING_PERIODS: f64 = 40.0;
/// Minimum halving time in seconds, which prevents a division by 0.
const MIN_HALVING_SECS: f64 = 1e-9;

/// Exponentially decaying count of a member's restarts and returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FlapScore {
    value: f64,
    updated_at: Instant,
}

impl FlapScore {
    /// Creates the score of a member that has not flapped.
    pub(super) fn new(now: Instant) -> Self {
        FlapScore { value: 0.0, updated_at: now }
    }

    /// Returns the value of the score as decayed until now.
    fn value_at(&self, now: Instant, halving_time: TimeDelta) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let halvings = (now - self.updated_at).secs() / halving_time.secs().max(MIN_HALVING_SECS);
        self.value * 0.5f64.powf(halvings.max(0.0))
    }

    /// Returns the score with one more restart or return.
    pub(super) fn incremented(&self, now: Instant, halving_time: TimeDelta) -> Self {
        FlapScore { value: self.value_at(now, halving_time) + 1.0, updated_at: now }
    }
}

impl View {
    /// Returns the slots of the members that are alive or suspected and do not flap.
    pub fn stable(&self, now: Instant) -> BTreeSet<u32> {
        self.live().iter().copied().filter(|slot| !self.is_flapping(now, *slot)).collect()
    }

    /// Returns whether a member flaps. It is then not asked for indirect pings, but it is probed, listed and sent
    /// updates like any other.
    pub fn is_flapping(&self, now: Instant, slot: u32) -> bool {
        self.members.get(slot).is_some_and(|state| self.flaps(now, state))
    }

    pub(super) fn flaps(&self, now: Instant, state: &MemberState) -> bool {
        if self.has_fault(ViewFault::ExcludesFlapping) {
            return state.flap_score.value >= 1.0;
        }
        let score = state.flap_score.value_at(now, self.flap_halving_time());
        self.settings.extensions.flap_damping && score >= FLAPPING_SCORE
    }

    pub(super) fn flap_halving_time(&self) -> TimeDelta {
        self.periods(HALVING_PERIODS)
    }

    /// Returns up to `count` random live members other than `excluded`. Members that flap are returned only if there are no
    /// others.
    pub(crate) fn random_members(&mut self, now: Instant, count: usize, excluded: Option<u32>) -> Vec<u32> {
        let mut candidates: Vec<u32> =
            self.live().iter().copied().filter(|slot| Some(*slot) != excluded).collect();
        let (mut stable, mut flapping) = (Vec::new(), Vec::new());
        while stable.len() < count && !candidates.is_empty() {
            let index = self.random.rand_range(0..candidates.len() as u64) as usize;
            let slot = candidates.swap_remove(index);
            if self.is_flapping(now, slot) {
                flapping.push(slot);
            } else {
                stable.push(slot);
            }
        }
        if stable.is_empty() && !self.has_fault(ViewFault::ExcludesFlapping) {
            flapping.truncate(count);
            return flapping;
        }
        stable
    }
}
