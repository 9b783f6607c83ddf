//! How the latencies of answers are remembered: as coarse histograms in which old answers fade.

use crate::histogram::Histogram;
use crate::interface::TimeDelta;

/// The upper edge of the lowest bin.
const LOWEST_LATENCY: TimeDelta = TimeDelta::from_millis(2);
/// Answers after which the counts are halved.
const LATENCY_WINDOW: f64 = 64.0;
/// The quantile that stands for the usual latency.
const MEDIAN: f64 = 0.5;

/// Latencies of which none is known.
pub fn new_latency_histogram() -> Histogram {
    Histogram::new(LOWEST_LATENCY.secs(), LATENCY_WINDOW)
}

/// The median latency, in seconds; none without an answer.
pub fn median_secs(latencies: &Histogram) -> Option<f64> {
    latencies.quantile(MEDIAN)
}
