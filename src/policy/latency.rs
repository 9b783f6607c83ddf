//! The latencies of answers, which are kept as coarse histograms in which old answers lose weight.

use crate::histogram::Histogram;
use crate::interface::TimeDelta;

/// The upper edge of the lowest bin.
const LOWEST_LATENCY: TimeDelta = TimeDelta::from_millis(2);
/// The number of counted answers at which the counts are halved.
const LATENCY_WINDOW: f64 = 64.0;
/// The quantile that is used as the usual latency.
const MEDIAN: f64 = 0.5;

/// Creates an empty histogram for latencies in seconds.
pub fn new_latency_histogram() -> Histogram {
    Histogram::new(LOWEST_LATENCY.secs(), LATENCY_WINDOW)
}

/// Returns the median latency in seconds, or `None` before the first answer.
pub fn median_secs(latencies: &Histogram) -> Option<f64> {
    latencies.quantile(MEDIAN)
}
