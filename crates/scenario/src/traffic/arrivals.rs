//! When requests arrive, and which blocks they read or write.

use super::request::{BlockRange, DueRequest};
use super::{Traffic, RATE_MULTIPLE_SCALE};
use crate::lock::lock;
use std::collections::BinaryHeap;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tackmast_trace::now_us;

/// Shortest and longest time, in microseconds, for which the arrivals sleep.
const SLEEP_RANGE_US: (u64, u64) = (100, 2_000);
/// Longest time between two events, in seconds.
const MAX_GAP_S: f64 = 1e6;
/// Lowest rate of requests per second.
const MIN_RATE: f64 = 0.001;
/// Microseconds per second.
const US_PER_S: f64 = 1e6;

/// When the primary host changes and when surges begin and end, in microseconds.
struct RandomEvents {
    surge_ends_us: Option<u64>,
    next_surge_us: u64,
    next_primary_change_us: u64,
}

impl Traffic {
    pub(super) fn run_arrivals(&self, length: Duration) {
        let start_us = now_us();
        let from_us = start_us + (self.block.from_s * US_PER_S) as u64;
        let scenario_end_us = start_us + length.as_micros() as u64;
        let end_us = self.block.for_s.map_or(scenario_end_us, |for_s| from_us + (for_s * US_PER_S) as u64);
        let mut next_us = from_us;
        let mut retries: BinaryHeap<DueRequest> = BinaryHeap::new();
        let surges = self.block.surges;
        let mut events = RandomEvents {
            surge_ends_us: None,
            next_surge_us: surges.map_or(u64::MAX, |(_, _, interval_s)| from_us + self.gap_us(interval_s)),
            next_primary_change_us: (self.block.primary_change_interval_s)
                .map_or(u64::MAX, |interval_s| from_us + self.gap_us(interval_s)),
        };
        while !self.is_over.load(Ordering::Acquire) {
            retries.extend(self.retries.receiver.try_iter());
            let now = now_us();
            self.handle_random_events(&mut events, now);
            while let Some(retry) = retries.pop() {
                if retry.due_us > now {
                    retries.push(retry);
                    break;
                }
                self.send(retry);
            }
            while next_us <= now && next_us < end_us {
                self.send(self.random_request(next_us));
                next_us += self.gap_us(1.0 / self.rate(&events).max(MIN_RATE));
            }
            let wake_us = retries.peek().map_or(next_us, |retry| retry.due_us.min(next_us));
            let wait_us = wake_us.saturating_sub(now_us()).clamp(SLEEP_RANGE_US.0, SLEEP_RANGE_US.1);
            std::thread::sleep(Duration::from_micros(wait_us));
        }
    }

    fn handle_random_events(&self, events: &mut RandomEvents, now: u64) {
        if events.surge_ends_us.is_some_and(|end_us| end_us <= now) {
            events.surge_ends_us = None;
        }
        if events.next_surge_us <= now {
            if let Some((_, length_s, interval_s)) = self.block.surges {
                events.surge_ends_us = Some(now + (length_s * US_PER_S) as u64);
                events.next_surge_us = now + self.gap_us(interval_s);
            }
        }
        if events.next_primary_change_us <= now {
            self.change_primary();
            let interval_s = self.block.primary_change_interval_s.unwrap_or(f64::MAX);
            events.next_primary_change_us = now + self.gap_us(interval_s);
        }
    }

    /// Requests per second at the moment.
    fn rate(&self, events: &RandomEvents) -> f64 {
        let surge = self.block.surges.filter(|_| events.surge_ends_us.is_some());
        let surge_multiple = surge.map_or(1.0, |(multiple, _, _)| multiple);
        let rate_multiple = self.rate_multiple.load(Ordering::Relaxed) as f64;
        self.block.rate * surge_multiple * rate_multiple / RATE_MULTIPLE_SCALE
    }

    /// A random time between two events with this mean, exponentially distributed, in microseconds.
    fn gap_us(&self, mean_s: f64) -> u64 {
        let gap_s = -(1.0 - lock(&self.state).random.rand_float()).ln() * mean_s;
        (gap_s.min(MAX_GAP_S) * US_PER_S) as u64
    }

    fn random_request(&self, due_us: u64) -> DueRequest {
        let mut state = lock(&self.state);
        let (min, max) = self.block.blocks;
        let count = state.random.rand_range(u64::from(min)..u64::from(max) + 1) as u32;
        let last_offset = self.block.span_blocks - u64::from(count);
        let first = self.first_block + state.random.rand_range(0..last_offset + 1);
        let is_write = state.random.rand_float() >= self.block.read_share;
        let large_read = self.volume.large.filter(|large| count >= large.min_blocks && !is_write);
        let by_direction = if is_write { self.volume.writes } else { self.volume.reads };
        let traffic_class = large_read.map_or(by_direction, |large| large.traffic_class) as usize;
        let blocks = BlockRange { first, count };
        DueRequest { due_us, first_due_us: due_us, traffic_class, blocks, is_write, retries: 0 }
    }
}
