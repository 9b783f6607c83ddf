//! Draws the requests of a workload with their times.

use crate::{Flow, Workload};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Microseconds from the start.
    pub at_us: u64,
    /// Number of the host.
    pub host: u32,
    /// Index of the flow.
    pub flow: usize,
    /// Whether it writes.
    pub write: bool,
    /// The first block.
    pub block: u64,
    /// Number of blocks.
    pub blocks: u32,
}

/// When a flow may have its next request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    at_us: u64,
    flow: usize,
}

/// The requests of a workload, in order of time.
pub struct Arrivals<'a> {
    workload: &'a Workload,
    host_count: u32,
    next: BinaryHeap<Reverse<Candidate>>,
    /// A generator a flow, so that a change of one flow changes no other.
    generators: Vec<oorandom::Rand64>,
}

impl<'a> Arrivals<'a> {
    pub(crate) fn new(workload: &'a Workload, host_count: u32) -> Self {
        let mut next = BinaryHeap::new();
        let mut generators = Vec::new();
        for (index, flow) in workload.flows.iter().enumerate() {
            let mut generator = oorandom::Rand64::new(u128::from(workload.seed) << 16 | index as u128);
            next.push(Reverse(Candidate {
                at_us: draw_gap_us(&mut generator, flow.max_rate()),
                flow: index,
            }));
            generators.push(generator);
        }
        Arrivals { workload, host_count: host_count.max(1), next, generators }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let Reverse(Candidate { at_us, flow: index }) = self.next.pop()?;
            let at_s = at_us as f64 / 1e6;
            if at_s >= self.workload.seconds {
                continue;
            }
            let flow = &self.workload.flows[index];
            let generator = &mut self.generators[index];
            let next_us = at_us + draw_gap_us(generator, flow.max_rate());
            self.next.push(Reverse(Candidate { at_us: next_us, flow: index }));
            // Drawn whether the candidate counts or not, so that a surge moves no other request.
            let draws = Draws::new(generator);
            if draws.thinning * flow.max_rate() >= flow.rate * flow.rate_factor(at_s) {
                continue;
            }
            let host = draws.host(flow, at_s, self.host_count);
            let blocks = draws.blocks(flow);
            let block = generator.rand_range(0..flow.span - u64::from(blocks) + 1);
            return Some(Arrival {
                at_us,
                host,
                flow: index,
                write: draws.write < flow.writes,
                block,
                blocks,
            });
        }
    }
}

/// What is drawn for each candidate; each from 0 to 1.
struct Draws {
    thinning: f64,
    host: f64,
    size: f64,
    large: f64,
    write: f64,
}

impl Draws {
    fn new(generator: &mut oorandom::Rand64) -> Self {
        let [thinning, host, size, large, write] = std::array::from_fn(|_| generator.rand_float());
        Draws { thinning, host, size, large, write }
    }

    fn host(&self, flow: &Flow, at_s: f64, host_count: u32) -> u32 {
        let hosts = f64::from(host_count);
        let host = match flow.busiest {
            Some(busiest) if self.host < busiest.share => (at_s / busiest.period_s) as u32 % host_count,
            Some(busiest) => ((self.host - busiest.share) / (1.0 - busiest.share) * hosts) as u32,
            None => (self.host * hosts) as u32,
        };
        host.min(host_count - 1)
    }

    fn blocks(&self, flow: &Flow) -> u32 {
        let is_large = |per_thousand: f64| self.large * 1000.0 < per_thousand;
        match flow.large.filter(|large| is_large(large.per_thousand)) {
            Some(large) => large.blocks,
            None => {
                let sizes = f64::from(flow.blocks.max - flow.blocks.min + 1);
                flow.blocks.min + (self.size * sizes) as u32
            }
        }
    }
}

/// Microseconds until the next candidate: a Poisson process of that rate a second.
fn draw_gap_us(generator: &mut oorandom::Rand64, rate: f64) -> u64 {
    (-(1.0 - generator.rand_float()).ln() / rate * 1e6) as u64 + 1
}
