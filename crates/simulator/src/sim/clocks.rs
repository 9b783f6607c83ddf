//! The clocks of hosts, which begin at different times, drift, and may show a wrong time of day.

use super::{instant_at, microseconds, Us, START_TIME};
use crate::world::World;
use tackmast::interface::Instant;

/// Mixed into the seed for the clocks of hosts.
const CLOCK_SEED: u128 = 0x0063_6c6f_636b;
/// A steady clock that drifts also begins up to this much earlier or later than virtual time, in microseconds.
const MAX_STEADY_OFFSET_US: f64 = 40e6;

/// The errors of one host's clocks.
#[derive(Clone, Copy, Default)]
pub(super) struct Clock {
    /// By how much the steady clock is ahead when virtual time begins.
    offset_us: i64,
    /// By which fraction the steady clock is too fast.
    drift: f64,
    /// By how much the wall clock is ahead.
    wall_offset_us: i64,
}

impl Clock {
    /// Draws the clock of each host, from random numbers of its own so that the other draws of a seed stay.
    pub(super) fn draw_all(world: &World) -> Vec<Clock> {
        let mut generator = oorandom::Rand64::new(u128::from(world.seed) ^ CLOCK_SEED);
        let mut signed_unit = || 2.0 * generator.rand_float() - 1.0;
        let mut clock = || {
            let drift = world.drift * signed_unit();
            let wall_offset_us = (world.wall_off_s * signed_unit() * 1e6) as i64;
            let offset_us = if world.drift > 0.0 { (MAX_STEADY_OFFSET_US * signed_unit()) as i64 } else { 0 };
            Clock { offset_us, drift, wall_offset_us }
        };
        (0..world.hosts).map(|_| clock()).collect()
    }

    /// What the steady clock shows at a virtual time.
    pub(super) fn steady_at(&self, time: Us) -> Instant {
        let elapsed = time as i64 - START_TIME as i64;
        instant_at((time as i64 + self.offset_us + (elapsed as f64 * self.drift) as i64).max(0) as Us)
    }

    /// The virtual time at which the steady clock will show that instant.
    pub(super) fn virtual_time_of(&self, instant: Instant) -> Us {
        let elapsed = microseconds(instant) as i64 - self.offset_us - START_TIME as i64;
        (START_TIME as i64 + (elapsed as f64 / (1.0 + self.drift)).ceil() as i64).max(0) as Us
    }

    /// What the wall clock shows at a virtual time, in microseconds.
    pub(super) fn wall_at(&self, time: Us) -> Us {
        (time as i64 + self.wall_offset_us).max(0) as Us
    }
}
