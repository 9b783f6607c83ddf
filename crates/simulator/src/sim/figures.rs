//! What a run has shown.

use std::collections::BTreeMap;
use tackmast_trace::Line;

/// Answers of one plan and traffic class.
#[derive(Clone, Debug)]
pub struct Class {
    pub asked: u64,
    pub done: u64,
    pub in_time: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Microseconds until done.
    pub times: hdrhistogram::Histogram<u64>,
}

impl Default for Class {
    fn default() -> Self {
        let times = hdrhistogram::Histogram::new_with_bounds(1, 60_000_000, 2);
        Class {
            asked: 0,
            done: 0,
            in_time: 0,
            rejected: 0,
            failed: 0,
            times: times.expect("the library takes these constants"),
        }
    }
}

/// The trace of a run, and its sums.
#[derive(Default)]
pub struct Run {
    /// By plan and traffic class.
    pub classes: BTreeMap<String, Class>,
    /// The same for first tries of a script's traffic, with what later tries made of them.
    pub firsts: BTreeMap<String, Class>,
    /// Nodes that fell over while cold.
    pub fallen: usize,
    /// Units of all attempts that left, and of those whose request was not done by them in time for its client.
    pub sent_units: f64,
    pub wasted_units: f64,
    /// Units a second of the limited volume over its limit.
    pub limit_used: f64,
    pub trace: Vec<Line>,
    pub asked: u64,
    pub done: u64,
    pub in_time: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Commands, attempts or calls left in the tables of hosts and clients after all is over.
    pub stuck: usize,
    /// Calls of clients that speak a protocol, those done, and those answered after their deadline.
    pub calls: u64,
    pub calls_done: u64,
    pub calls_late: u64,
    /// Overrides that hosts took, and refused.
    pub orders: (u64, u64),
    /// Changes of plans that were acknowledged, and how many of them all hosts went by within the settings' time.
    pub plans: (u64, u64),
    pub events: u64,
    /// The most commands, requests and attempts that one host had open.
    pub max_open: (usize, usize, usize),
}

impl Run {
    /// Of the whole trace, to compare runs by.
    pub fn digest(&self) -> u32 {
        let mut sum = 0;
        for line in &self.trace {
            let text = serde_json::to_vec(line).unwrap_or_default();
            sum = crc32c::crc32c_append(sum, &text);
        }
        sum
    }
}
