//! Counts of requests and of their answers.

use hdrhistogram::Histogram;

/// Longest time that the histogram resolves, in microseconds; longer ones count as this.
const MAX_TIME_US: u64 = 120_000_000;
/// Significant decimal digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// What became of the requests of one traffic class.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    /// Requests, without retries.
    pub(crate) requests: u64,
    /// Requests done within their latency objective, counted from the first attempt.
    pub(crate) in_time: u64,
    pub(crate) done: u64,
    /// Answers to requests and retries.
    pub(crate) rejected: u64,
    pub(crate) failed: u64,
    pub(crate) lost: u64,
    pub(crate) invalid: u64,
    /// Requests and retries that found no session.
    pub(crate) unreached: u64,
    /// Requests and retries that found a full command window.
    pub(crate) shut: u64,
    /// Times from the first attempt until done, in microseconds.
    pub(crate) times_us: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new() -> Tally {
        let times_us = Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
            .expect("the library takes constant bounds with 1 to 5 significant digits");
        Tally {
            requests: 0,
            in_time: 0,
            done: 0,
            rejected: 0,
            failed: 0,
            lost: 0,
            invalid: 0,
            unreached: 0,
            shut: 0,
            times_us,
        }
    }

    /// Counts a request that was done.
    pub(super) fn record_done(&mut self, time_us: u64, latency_objective_us: u64) {
        self.done += 1;
        self.in_time += u64::from(time_us <= latency_objective_us);
        _ = self.times_us.record(time_us.clamp(1, MAX_TIME_US));
    }

    /// Adds the counts of another tally.
    pub(crate) fn add(&mut self, other: &Tally) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.done += other.done;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.lost += other.lost;
        self.invalid += other.invalid;
        self.unreached += other.unreached;
        self.shut += other.shut;
        _ = self.times_us.add(&other.times_us);
    }
}
