//! A small histogram of positive numbers with a few coarse bins, in which old values lose weight; and the
//! arithmetic mean.

/// The number of bins. Together with `GROWTH` they span a factor of about ten thousand.
const BINS: usize = 24;
/// The ratio of the upper edges of two neighbouring bins.
const GROWTH: f64 = 1.5;

/// Counts of values by bin. Bin `i` holds values up to `first * 1.5^i`; the last bin also holds all larger
/// values.
#[derive(Clone, Debug)]
pub struct Histogram {
    first: f64,
    halve_at: f64,
    total: f64,
    bins: [f64; BINS],
}

impl Histogram {
    /// Creates an empty histogram. `first` is the upper edge of the lowest bin; all counts are halved each time
    /// their sum reaches `halve_at`.
    pub fn new(first: f64, halve_at: f64) -> Self {
        Histogram { first, halve_at, total: 0.0, bins: [0.0; BINS] }
    }

    /// Counts a value.
    pub fn add(&mut self, value: f64) {
        let steps = (value / self.first).max(1.0).ln() / GROWTH.ln();
        self.bins[(steps.ceil() as usize).min(BINS - 1)] += 1.0;
        self.total += 1.0;
        if self.total >= self.halve_at {
            self.bins.iter_mut().for_each(|n| *n /= 2.0);
            self.total /= 2.0;
        }
    }

    /// Returns the sum of the counts, which halving reduces.
    pub fn count(&self) -> f64 {
        self.total
    }

    /// Returns the upper edge of the bin that holds `quantile`, which is from 0 to 1, or `None` if the histogram
    /// is empty.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.total <= 0.0 {
            return None;
        }
        let mut remaining = quantile * self.total;
        for (i, n) in self.bins.iter().enumerate() {
            remaining -= n;
            if remaining <= 0.0 {
                return Some(self.first * GROWTH.powi(i as i32));
            }
        }
        Some(self.first * GROWTH.powi(BINS as i32 - 1))
    }
}

/// Returns the mean of the values, or zero if there are none.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        0.0
    }
}
