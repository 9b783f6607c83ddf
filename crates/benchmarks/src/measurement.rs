//! What a load has shown.

use hdrhistogram::Histogram;

/// The longest latency that a histogram takes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// What a load has shown.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Commands that were done.
    pub done: u64,
    /// Commands that were answered otherwise.
    pub not_done: u64,
    /// Commands done a second.
    pub per_s: f64,
    /// Median of the latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
}

/// A histogram of latencies in microseconds, with so many significant digits.
pub(crate) fn latency_histogram(digits: u8) -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, digits).expect("the library takes these constants")
}

/// Counts the answers of a load.
pub(crate) struct LoadRecorder {
    latencies: Histogram<u64>,
    done: u64,
    not_done: u64,
}

impl LoadRecorder {
    pub(crate) fn new() -> Self {
        LoadRecorder { latencies: latency_histogram(3), done: 0, not_done: 0 }
    }

    pub(crate) fn record_done(&mut self, latency_us: u64) {
        self.done += 1;
        _ = self.latencies.record(latency_us.max(1));
    }

    pub(crate) fn record_not_done(&mut self) {
        self.not_done += 1;
    }

    pub(crate) fn add(&mut self, other: &LoadRecorder) {
        _ = self.latencies.add(&other.latencies);
        self.done += other.done;
        self.not_done += other.not_done;
    }

    /// What was counted in so many seconds.
    pub(crate) fn finish(&self, seconds: f64) -> Measurement {
        Measurement {
            done: self.done,
            not_done: self.not_done,
            per_s: self.done as f64 / seconds,
            p50_us: self.latencies.value_at_quantile(0.5),
            p99_us: self.latencies.value_at_quantile(0.99),
        }
    }
}
