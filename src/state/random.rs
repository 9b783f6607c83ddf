//! Random numbers, reproducible from the host's seed.

/// A generator of random numbers.
pub struct Random(oorandom::Rand32);

impl Random {
    /// The same seed gives the same numbers.
    pub fn new(seed: u64) -> Self {
        Random(oorandom::Rand32::new(seed))
    }

    /// From 0 up to 1.
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.0.rand_float())
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}
