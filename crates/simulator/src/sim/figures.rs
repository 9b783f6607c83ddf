//! What a run has shown.

use std::collections::BTreeMap;
use tackmast_trace::{AnswerKind, Line};

/// Latencies are recorded up to this, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 2;

/// Commands of one plan and traffic class, and how they were answered.
#[derive(Clone, Debug)]
pub struct Class {
    /// Commands that were submitted.
    pub asked: u64,
    /// Commands that were done.
    pub done: u64,
    /// Commands that were done within the latency objective.
    pub in_time: u64,
    /// Commands that were rejected: they did not run.
    pub rejected: u64,
    /// Commands that failed: they may have run.
    pub failed: u64,
    /// Latency of the commands that were done, in microseconds.
    pub times: hdrhistogram::Histogram<u64>,
}

impl Default for Class {
    fn default() -> Self {
        let times = hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        Class {
            asked: 0,
            done: 0,
            in_time: 0,
            rejected: 0,
            failed: 0,
            times: times.expect("the bounds are valid constants"),
        }
    }
}

impl Class {
    /// Counts an answer. Times are in microseconds.
    pub(super) fn add_answer(&mut self, kind: AnswerKind, latency_us: u64, latency_objective_us: u64) {
        match kind {
            AnswerKind::Done => {
                self.done += 1;
                self.in_time += u64::from(latency_us <= latency_objective_us);
                _ = self.times.record(latency_us.max(1));
            }
            AnswerKind::Rejected => self.rejected += 1,
            _ => self.failed += 1,
        }
    }
}

/// The trace of a run, and its totals.
#[derive(Default)]
pub struct Run {
    /// Figures of each plan and traffic class, by the names of both.
    pub classes: BTreeMap<String, Class>,
    /// Figures of the requests of a script's traffic: a request is counted once, with the answer of its last try.
    pub firsts: BTreeMap<String, Class>,
    /// Nodes that collapsed under an overload.
    pub fallen: usize,
    /// Units of all attempts that were sent.
    pub sent_units: f64,
    /// Units of the attempts whose command was not done within its latency objective.
    pub wasted_units: f64,
    /// Units done of the limited volumes, as a fraction of what their limits allow.
    pub limit_used: f64,
    /// The trace, in the order of time.
    pub trace: Vec<Line>,
    /// Commands that were submitted.
    pub asked: u64,
    /// Commands that were done.
    pub done: u64,
    /// Commands that were done within their latency objective.
    pub in_time: u64,
    /// Commands that were rejected.
    pub rejected: u64,
    /// Commands that failed.
    pub failed: u64,
    /// Commands, requests, attempts, key queues and calls that are left in the tables of hosts and clients at the end.
    pub stuck: usize,
    /// Calls of clients that use a protocol.
    pub calls: u64,
    /// Calls that were done.
    pub calls_done: u64,
    /// Calls that were answered after their deadline.
    pub calls_late: u64,
    /// Overrides that hosts accepted, and refused.
    pub orders: (u64, u64),
    /// Changes of plans that were acknowledged, and how many of these all hosts adopted within the settle time.
    pub plans: (u64, u64),
    /// Events that were handled.
    pub events: u64,
    /// The largest numbers of commands, requests and attempts that one host had open.
    pub max_open: (usize, usize, usize),
}

impl Run {
    /// A checksum of the whole trace, to compare runs by.
    pub fn digest(&self) -> u32 {
        let mut checksum = 0;
        for line in &self.trace {
            let text = serde_json::to_vec(line).unwrap_or_default();
            checksum = crc32c::crc32c_append(checksum, &text);
        }
        checksum
    }
}
