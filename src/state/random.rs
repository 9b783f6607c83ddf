//! Random numbers that are reproducible from the host's seed.

/// A pseudorandom number generator.
pub struct Random(oorandom::Rand32);

impl Random {
    /// Creates a generator. The same seed gives the same sequence of numbers.
    pub fn new(seed: u64) -> Self {
        Random(oorandom::Rand32::new(seed))
    }

    /// Returns a number from 0 (inclusive) to 1 (exclusive).
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.0.rand_float())
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}
