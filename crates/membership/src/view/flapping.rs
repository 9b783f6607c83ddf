//! Damping of members that flap, as with routes in RFC 2439: each restart or return adds to a score that decays.
//!
//! A member that flaps would be chosen as a helper while it is about to fail again, and each of its changes would be a
//! log line at every host.

use super::{MemberState, View, ViewFault};
use std::collections::BTreeSet;
use tackmast::interface::{Instant, TimeDelta};

/// Score from which on a member counts as flapping.
const FLAPPING_SCORE: f64 = 3.0;
/// Protocol periods in which a score decays to one half.
const HALVING_PERIODS: f64 = 40.0;
/// Shortest halving time in seconds, so that nothing is divided by 0.
const MIN_HALVING_SECS: f64 = 1e-9;

/// Recent restarts and returns of a member; the older count less.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FlapScore {
    value: f64,
    updated_at: Instant,
}

impl FlapScore {
    /// The score of a member that has not flapped.
    pub(super) fn new(now: Instant) -> Self {
        FlapScore { value: 0.0, updated_at: now }
    }

    /// The score as it has decayed until now.
    fn value_at(&self, now: Instant, halving_time: TimeDelta) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let halvings = (now - self.updated_at).secs() / halving_time.secs().max(MIN_HALVING_SECS);
        self.value * 0.5f64.powf(halvings.max(0.0))
    }

    /// The score with one more restart or return.
    pub(super) fn incremented(&self, now: Instant, halving_time: TimeDelta) -> Self {
        FlapScore { value: self.value_at(now, halving_time) + 1.0, updated_at: now }
    }
}

impl View {
    /// Slots of the live members that do not flap.
    pub fn stable(&self, now: Instant) -> BTreeSet<u32> {
        self.live().iter().copied().filter(|slot| !self.is_flapping(now, *slot)).collect()
    }

    /// Whether a member flaps: it is not asked for help, but is probed, listed and sent updates like any other.
    pub fn is_flapping(&self, now: Instant, slot: u32) -> bool {
        self.members.get(slot).is_some_and(|state| self.flaps(now, state))
    }

    pub(super) fn flaps(&self, now: Instant, state: &MemberState) -> bool {
        if self.has(ViewFault::ExcludesFlapping) {
            return state.flap_score.value >= 1.0;
        }
        let score = state.flap_score.value_at(now, self.flap_halving_time());
        self.settings.extensions.flap_damping && score >= FLAPPING_SCORE
    }

    pub(super) fn flap_halving_time(&self) -> TimeDelta {
        self.periods(HALVING_PERIODS)
    }

    /// Random live members; those that flap only where there are no others.
    pub(crate) fn pick(&mut self, now: Instant, count: usize, except: Option<u32>) -> Vec<u32> {
        let mut candidates: Vec<u32> =
            self.live().iter().copied().filter(|slot| Some(*slot) != except).collect();
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
        if stable.is_empty() && !self.has(ViewFault::ExcludesFlapping) {
            flapping.truncate(count);
            return flapping;
        }
        stable
    }
}
