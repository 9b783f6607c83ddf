//! Damping of members that flap, as with routes in RFC 2439: each failure or return adds to a score that decays.

use super::{MemberState, View, ViewFault};
use std::collections::BTreeSet;
use tackmast::interface::Instant;

/// Score from which on a member counts as flapping.
const FLAPPING_SCORE: f64 = 3.0;
/// Protocol periods in which a score decays by half.
const HALF_LIFE: f64 = 40.0;

impl View {
    /// Slots of the live members that do not flap.
    pub fn stable(&self, now: Instant) -> BTreeSet<u32> {
        self.live().iter().copied().filter(|slot| !self.is_flapping(now, *slot)).collect()
    }

    /// Whether a member flaps: it is not asked for help, but probed, listed and told all the same.
    pub fn is_flapping(&self, now: Instant, slot: u32) -> bool {
        self.members.get(slot).is_some_and(|state| self.flaps(now, state))
    }

    pub(super) fn flaps(&self, now: Instant, state: &MemberState) -> bool {
        if self.has(ViewFault::ExcludesFlapping) {
            return state.flap_score >= 1.0;
        }
        self.settings.extensions.flap_damping && self.flap_score(now, state) >= FLAPPING_SCORE
    }

    /// The score as it has decayed until now.
    pub(super) fn flap_score(&self, now: Instant, state: &MemberState) -> f64 {
        if state.flap_score == 0.0 {
            return 0.0;
        }
        let half_lives = (now - state.flap_scored_at).secs() / self.periods(HALF_LIFE).secs().max(1e-9);
        state.flap_score * 0.5f64.powf(half_lives.max(0.0))
    }

    /// Random live members; those that flap only where there are no others.
    pub(crate) fn pick(&mut self, now: Instant, count: usize, except: Option<u32>) -> Vec<u32> {
        let mut candidates: Vec<u32> =
            self.live().iter().copied().filter(|slot| Some(*slot) != except).collect();
        let (mut stable, mut flapping) = (Vec::new(), Vec::new());
        while stable.len() < count && !candidates.is_empty() {
            let i = self.random.rand_range(0..candidates.len() as u64) as usize;
            let slot = candidates.swap_remove(i);
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
