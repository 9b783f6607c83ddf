//! A small generator of random numbers (xorshift, Marsaglia, 2003), which costs next to nothing beside what is measured.

/// The generator.
pub(crate) struct Xorshift(u64);

impl Xorshift {
    /// From a state, which must not be 0.
    pub(crate) fn from_state(state: u64) -> Self {
        Xorshift(state)
    }

    /// From a seed, which may be any number.
    pub(crate) fn from_seed(seed: u64) -> Self {
        Xorshift(seed.wrapping_mul(GOLDEN_RATIO) | 1)
    }

    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to below 1.
    pub(crate) fn next_fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The golden ratio as a fraction of 2^64, which spreads small seeds.
pub(crate) const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
